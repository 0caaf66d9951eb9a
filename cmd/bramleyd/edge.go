package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/edge"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/platform"
)

// loadEdgeSettings loads and checks the settings file of a daemon on the users' platform.
func loadEdgeSettings(ctx context.Context, cmd *cli.Command) (*edge.Settings, error) {
	return loadUnlessStopped(ctx, cmd, edge.LoadSettings)
}

// checkEdge is the action of the subcommand check-edge. It prints what the settings of a
// daemon on the users' platform mean.
func checkEdge(ctx context.Context, cmd *cli.Command) error {
	cfg, err := loadEdgeSettings(ctx, cmd)
	if err != nil {
		return err
	}
	fmt.Println("settings are valid")
	fmt.Printf("VM %s in zone %s serves callers at %s and uses the store at %s\n", cfg.Name, cfg.Zone, cfg.Listen.Callers, cfg.Store)
	fmt.Printf("extra arrivals at a service, by all VMs together: %g per request and %g more in %g s\n", cfg.Budget.Ratio, cfg.Budget.Floor, cfg.Budget.WindowS)
	return nil
}

// runEdge is the action of the subcommand edge, which runs the daemon on the users'
// platform. It returns when the daemon has shut down after ctx ended.
func runEdge(ctx context.Context, cmd *cli.Command) error {
	cfg, err := loadEdgeSettings(ctx, cmd)
	if err != nil {
		return err
	}
	level, err := logging.ParseLevel(cfg.LogLevel)
	if err != nil {
		return err
	}
	log, flush := logging.New(os.Stdout, logging.Options{Level: level, JSON: true})
	defer flush()
	return edge.NewNode(edge.Options{
		Settings:    cfg,
		Store:       platform.NewStore(cfg.Store),
		HeaderCodec: platform.HeaderCodec{},
		ReadyPath:   platform.ReadyPath,
		Log:         log,
	}).Run(ctx)
}
