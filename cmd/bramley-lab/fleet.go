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
			&cli.IntSliceFlag{Name: "size", Value: []int{7, 50, 100, 200}, Usage: "daemons; may be repeated"},
			&cli.IntFlag{Name: "searches", Value: 4, Usage: "in the bundle, each of some 300 bytes"},
			&cli.IntFlag{Name: "targets", Usage: "more in the bundle, at ports 1 and up, where nobody listens"},
			&cli.IntFlag{Name: "places", Usage: "of the fleet, if more than daemons"},
			&cli.IntFlag{Name: "answering", Usage: "more targets in the bundle, which answer reads of their status; their index is switched once"},
			&cli.DurationFlag{Name: "health", Value: 10 * time.Minute, Usage: "between reads of a target's status"},
			&cli.DurationFlag{Name: "rest", Value: 30 * time.Second, Usage: "of the measurement at rest"},
			&cli.IntFlag{Name: "rollouts", Value: 3, Usage: "for each size"},
			&cli.DurationFlag{Name: "every", Value: 24 * time.Second, Usage: "between rollouts"},
			&cli.IntFlag{Name: "drains", Value: 4, Usage: "for each size"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			daemon, self, err := programPaths(cmd)
			if err != nil {
				return err
			}
			return fleetbench.Run(ctx, fleetbench.Options{
				Daemon: daemon, Lab: self,
				Sizes: cmd.IntSlice("size"), Searches: cmd.Int("searches"),
				AbsentTargets: cmd.Int("targets"), MaxVMs: cmd.Int("places"),
				StatusTargets: cmd.Int("answering"), HealthInterval: cmd.Duration("health"),
				IdleTime: cmd.Duration("rest"), Rollouts: cmd.Int("rollouts"), RolloutInterval: cmd.Duration("every"),
				Drains: cmd.Int("drains"), Out: os.Stdout, Progress: os.Stderr,
			})
		},
	}
}
