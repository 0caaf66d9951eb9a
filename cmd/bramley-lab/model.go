package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/experiment"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/model"
)

func modelCommand() *cli.Command {
	return &cli.Command{
		Name:      "model",
		Usage:     "play an experiment with the load model, in virtual time, and compare its variants",
		ArgsUsage: "EXPERIMENT.toml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "`FORMAT` of the output: text or json"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			format := cmd.String("output")
			if format != "text" && format != "json" {
				return errors.Errorf("--output: found %q, allowed is text or json", format)
			}
			if cmd.Args().Len() != 1 {
				return errors.Errorf("found %d arguments, allowed is one: an experiment file", cmd.Args().Len())
			}
			e, err := experiment.Load(cmd.Args().First())
			if err != nil {
				return err
			}
			return playExperiment(ctx, e, format == "json")
		},
	}
}

// playExperiment plays an experiment, writes its report to standard output and its progress to
// standard error. It returns an error if something that the experiment expects did not come true.
func playExperiment(ctx context.Context, e *experiment.Experiment, asJSON bool) error {
	began := time.Now()
	report, err := experiment.Run(ctx, e, func(variant string, seed uint64, r model.Result) {
		fmt.Fprintf(os.Stderr, "%5.1f s: %s, seed %d: %d of %d requests in time\n", time.Since(began).Seconds(), variant, seed, r.InTime, r.Asked)
	})
	if err != nil {
		return err
	}
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = report.WriteTable(os.Stdout)
	}
	if err != nil {
		return errors.Annotate(err, "writing the report")
	}
	if n := len(report.Unmet); n > 0 {
		return errors.Errorf("%d expectations of the experiment did not come true", n)
	}
	return nil
}
