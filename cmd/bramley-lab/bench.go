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
			&cli.StringSliceFlag{Name: "shape", Usage: "measure only this deployment; may be repeated"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "measure only this scenario; may be repeated"},
			&cli.DurationFlag{Name: "window", Value: 5 * time.Second, Usage: "length of one measurement"},
			&cli.IntFlag{Name: "rounds", Value: 4, Usage: "number of measurements for each scenario and policy"},
			&cli.IntFlag{Name: "slowdown", Value: 1, Usage: "factor on service times and time limits, for a machine with other load"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and queries"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			daemon, lab, err := programPaths(cmd)
			if err != nil {
				return err
			}
			return bench.Run(ctx, bench.Options{
				Daemon: daemon, Lab: lab,
				Shapes: cmd.StringSlice("shape"), Scenarios: cmd.StringSlice("scenario"),
				Window: cmd.Duration("window"), Rounds: cmd.Int("rounds"), Seed: cmd.Uint64("seed"), Slowdown: cmd.Int("slowdown"),
				Out: os.Stdout, Progress: os.Stderr,
			})
		},
	}
}
