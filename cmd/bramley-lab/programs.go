package main

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

const daemonFlagName = "daemon"

// daemonFlag names the program that a command starts as daemons.
func daemonFlag() cli.Flag {
	return &cli.StringFlag{Name: daemonFlagName, Usage: "path of bramleyd; beside this program if empty"}
}

// programPaths returns the paths of bramleyd and of this program.
func programPaths(cmd *cli.Command) (daemon, lab string, err error) {
	if lab, err = os.Executable(); err != nil {
		return "", "", errors.Trace(err)
	}
	if daemon = cmd.String(daemonFlagName); daemon == "" {
		daemon = filepath.Join(filepath.Dir(lab), "bramleyd")
	}
	return daemon, lab, nil
}
