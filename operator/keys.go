package operator

import (
	"context"
	"encoding/json"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// keyFileMode is the mode of a new private key file: only the file's owner may read it.
const keyFileMode = 0o600

func (a *app) keygenCommand() *cli.Command {
	return &cli.Command{
		Name:  "keygen",
		Usage: "make a key pair and print the public key for the settings of VMs and operators",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Required: true, Usage: "`ID` of the key, such as asta-2026"},
			&cli.StringFlag{Name: "person", Required: true, Usage: "`NAME` of its owner"},
			&cli.StringFlag{Name: "out", Required: true, Usage: "`FILE` for the private key; must not exist"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			key, err := bundle.NewPrivateKey(c.String("id"), c.String("person"))
			if err != nil {
				return err
			}
			if err := key.Check(); err != nil {
				return err
			}
			if err := writeKey(c.String("out"), key); err != nil {
				return err
			}
			// The public key is printed as JSON in both formats, to be copied into
			// settings.
			return a.printJSON(key.Public())
		},
	}
}

// writeKey writes the key to a new file. It fails if the file exists, since the key in it
// may be in use.
func writeKey(path string, key *bundle.PrivateKey) error {
	data, err := json.MarshalIndent(key, "", "  ")
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return result.Wrap(result.BadRequest, err, "--out")
	}
	if _, err := file.Write(append(data, '\n')); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

func (a *app) keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "list the public keys of the settings file",
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := readSettings(c)
			if err != nil {
				return err
			}
			ring, err := s.keyring()
			if err != nil {
				return err
			}
			keys := ring.Keys()
			t := table{header: []string{"ID", "PERSON", "STATE", "PUBLIC"}}
			for _, k := range keys {
				state := "active"
				if k.Retired {
					state = "retired"
				}
				t.add(k.ID, k.Person, state, k.Public)
			}
			return a.print(keys, t)
		},
	}
}
