package operator

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/strictjson"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/rollout"
)

// Settings is the JSON settings file of the command line. Flags take precedence over the
// environment, and the environment over the file.
type Settings struct {
	Platform     string        `json:"platform,omitempty"` // IP address and port
	Deployment   string        `json:"deployment,omitempty"`
	Key          string        `json:"key,omitempty"` // private key file, relative to the settings file
	OperatorKeys []OperatorKey `json:"operator_keys,omitempty"`
	// VMs are the addresses of the VMs' operators' pages. They are used when the
	// platform can't list the VMs.
	VMs []string `json:"vms,omitempty"`
}

// OperatorKey is an operator's public key, in the same form as in the daemons' settings.
type OperatorKey struct {
	ID      string `json:"id"`                // unique in the settings
	Person  string `json:"person"`            // name of the key's owner
	Public  string `json:"public"`            // the key's bytes in base64
	Retired bool   `json:"retired,omitempty"` // no longer accepted on heads and sign-offs
}

// readSettings reads the settings file, if there is one, and applies the environment and
// flags.
func readSettings(c *cli.Command) (Settings, error) {
	var s Settings
	if path := c.String(flagConfig); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return s, result.Wrap(result.BadSettings, err, "--config")
		}
		if findings := strictjson.Decode(data, &s); len(findings) > 0 {
			return s, result.Errorf(result.BadSettings, "%s: %s", path, findings[0])
		}
		if s.Key != "" && !filepath.IsAbs(s.Key) {
			s.Key = filepath.Join(filepath.Dir(path), s.Key)
		}
	}
	override(&s.Platform, c.String(flagPlatform))
	override(&s.Deployment, c.String(flagDeployment))
	override(&s.Key, c.String(flagKey))
	if vms := c.StringSlice(flagVM); len(vms) > 0 {
		s.VMs = vms
	}
	return s, nil
}

// override sets field to value unless value is empty.
func override(field *string, value string) {
	if value != "" {
		*field = value
	}
}

// keyring returns the settings' OperatorKeys, or an error if they are invalid.
func (s Settings) keyring() (*bundle.Keyring, error) {
	keys := make([]bundle.PublicKey, 0, len(s.OperatorKeys))
	for _, k := range s.OperatorKeys {
		keys = append(keys, bundle.PublicKey(k))
	}
	return bundle.NewKeyring(keys...)
}

// readKey reads and checks a private key file that the command keygen has written.
func readKey(path string) (*bundle.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.BadSettings, err, "--key")
	}
	key := &bundle.PrivateKey{}
	if err := json.Unmarshal(data, key); err != nil {
		return nil, result.Wrap(result.BadSettings, err, "--key "+path)
	}
	return key, key.Check()
}

// session holds the settings, keys and clients of a command that uses the platform.
type session struct {
	settings Settings
	keys     *bundle.Keyring  // public keys of all operators in the settings
	store    *objstore.Client // the platform's objects
	client   *rollout.Client  // bundles, sign-offs and changes, kept in store
}

// open creates a session from a command's settings. The session's store is never closed:
// its connections end with the process.
func (a *app) open(c *cli.Command) (*session, error) {
	s, err := readSettings(c)
	if err != nil {
		return nil, err
	}
	if s.Platform == "" {
		return nil, result.Errorf(result.BadSettings, "the platform's address is missing; pass --platform, BRAMLEY_PLATFORM or platform in the settings file")
	}
	if s.Deployment == "" {
		return nil, result.Errorf(result.BadSettings, "the deployment is missing; pass --deployment, BRAMLEY_DEPLOYMENT or deployment in the settings file")
	}
	keys, err := s.keyring()
	if err != nil {
		return nil, err
	}
	var private *bundle.PrivateKey
	if s.Key != "" {
		if private, err = readKey(s.Key); err != nil {
			return nil, err
		}
	}
	// The default timeout is short so that daemons detect an open connection whose other
	// end has stopped responding. A new process has no such connection and can wait longer.
	store := objstore.NewClient(s.Platform, objstore.ClientOptions{CallTimeout: rollout.DefaultCallTimeout})
	client := rollout.NewClient(rollout.ClientOptions{
		Deployment: s.Deployment, Keys: keys, Store: store, Key: private,
		Patience: c.Duration(flagPatience),
	})
	return &session{settings: s, keys: keys, store: store, client: client}, nil
}
