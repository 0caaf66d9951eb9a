package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/bench"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure the query path in the shapes of both deployments",
		Flags: []cli.Flag{
			daemonFlag(),
			&cli.StringSliceFlag{Name: "shape", Usage: "only this deployment; may be repeated"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "only this scenario; may be repeated"},
			&cli.DurationFlag{Name: "window", Value: 5 * time.Second, Usage: "of one measurement"},
			&cli.IntFlag{Name: "rounds", Value: 4, Usage: "windows for each scenario and policy"},
			&cli.IntFlag{Name: "slowdown", Value: 1, Usage: "of service times and time limits, for a machine that does other work too"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of arrivals and queries"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			daemon, self, err := programPaths(cmd)
			if err != nil {
				return err
			}
			return bench.Run(ctx, bench.Options{
				Daemon: daemon, Lab: self,
				Shapes: cmd.StringSlice("shape"), Scenarios: cmd.StringSlice("scenario"),
				Window: cmd.Duration("window"), Rounds: cmd.Int("rounds"), Seed: cmd.Uint64("seed"), Slowdown: cmd.Int("slowdown"),
				Out: os.Stdout, Progress: os.Stderr,
			})
		},
	}
}
