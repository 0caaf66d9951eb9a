package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleetbench"
)

func fleetBenchCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet-bench",
		Usage: "measure the exchange between daemons in fleets of growing size",
		Flags: []cli.Flag{
			daemonFlag(),
			&cli.IntSliceFlag{Name: "size", Value: []int{7, 50, 100, 200}, Usage: "number of daemons; may be repeated"},
			&cli.IntFlag{Name: "searches", Value: 4, Usage: "searches in the bundle, each of some 300 bytes"},
			&cli.IntFlag{Name: "targets", Usage: "additional targets in the bundle, at ports from 1 without a listener"},
			&cli.IntFlag{Name: "places", Usage: "the bundle's limit of VMs, if more than the daemons"},
			&cli.IntFlag{Name: "answering", Usage: "additional targets in the bundle that serve their status only; their index is switched once"},
			&cli.DurationFlag{Name: "health", Value: 10 * time.Minute, Usage: "interval between reads of a target's status"},
			&cli.DurationFlag{Name: "rest", Value: 30 * time.Second, Usage: "length of the measurement while idle"},
			&cli.IntFlag{Name: "rollouts", Value: 3, Usage: "rollouts for each size"},
			&cli.DurationFlag{Name: "every", Value: 24 * time.Second, Usage: "interval between rollouts"},
			&cli.IntFlag{Name: "drains", Value: 4, Usage: "drains for each size"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			daemon, lab, err := programPaths(cmd)
			if err != nil {
				return err
			}
			return fleetbench.Run(ctx, fleetbench.Options{
				Daemon: daemon, Lab: lab,
				Sizes: cmd.IntSlice("size"), Searches: cmd.Int("searches"),
				AbsentTargets: cmd.Int("targets"), MaxVMs: cmd.Int("places"),
				StatusTargets: cmd.Int("answering"), HealthInterval: cmd.Duration("health"),
				IdleTime: cmd.Duration("rest"), Rollouts: cmd.Int("rollouts"), RolloutInterval: cmd.Duration("every"),
				Drains: cmd.Int("drains"), Out: os.Stdout, Progress: os.Stderr,
			})
		},
	}
}
