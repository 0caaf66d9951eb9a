package main

import (
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/rolloutbench"
)

func benchRolloutCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench-rollout",
		Usage: "measure rollouts from their write to the last VM, under faults of the platform",
		Flags: []cli.Flag{
			daemonFlag(),
			&cli.IntFlag{Name: "vms", Value: 7, Usage: "number of daemons"},
			&cli.IntFlag{Name: "rollouts", Value: 100, Usage: "rollouts in each scenario"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			dir, err := os.MkdirTemp("", "bramley-bench")
			if err != nil {
				return errors.Trace(err)
			}
			defer os.RemoveAll(dir)
			daemon, lab, err := programPaths(cmd)
			if err != nil {
				return err
			}
			return rolloutbench.Run(ctx, rolloutbench.Options{
				Daemon: daemon, Lab: lab, Dir: dir,
				VMs: cmd.Int("vms"), Rollouts: cmd.Int("rollouts"), Out: os.Stdout,
			})
		},
	}
}
