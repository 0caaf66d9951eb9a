package main

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// daemonFlagName is the name of the flag for the path of bramleyd.
const daemonFlagName = "daemon"

// daemonFlag returns the flag for the path of bramleyd.
func daemonFlag() cli.Flag {
	return &cli.StringFlag{Name: daemonFlagName, Usage: "path of bramleyd; in the directory of this program if empty"}
}

// programPaths returns the path of bramleyd, from daemonFlag or else in this program's
// directory, and the path of this program, bramley-lab.
func programPaths(cmd *cli.Command) (daemon, lab string, err error) {
	if lab, err = os.Executable(); err != nil {
		return "", "", errors.Trace(err)
	}
	if daemon = cmd.String(daemonFlagName); daemon == "" {
		daemon = filepath.Join(filepath.Dir(lab), "bramleyd")
	}
	return daemon, lab, nil
}
