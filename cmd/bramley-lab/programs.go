package main

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

const daemonName = "daemon"

// daemonFlag names the program that a command starts as daemons.
func daemonFlag() cli.Flag {
	return &cli.StringFlag{Name: daemonName, Usage: "path of bramleyd; beside this program if empty"}
}

// programs returns the paths of bramleyd and of this program.
func programs(cmd *cli.Command) (daemon, lab string, err error) {
	if lab, err = os.Executable(); err != nil {
		return "", "", errors.Trace(err)
	}
	if daemon = cmd.String(daemonName); daemon == "" {
		daemon = filepath.Join(filepath.Dir(lab), "bramleyd")
	}
	return daemon, lab, nil
}
