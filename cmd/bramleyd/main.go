// Command bramleyd is the daemon that receives callers' requests and sends them to
// targets.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/node"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/settings"
)

func main() {
	// Settings are fixed while the process runs.
	signal.Ignore(syscall.SIGHUP)
	// No other code catches signals: a second registration would hide a signal from the first.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	app := &cli.Command{
		Name:  "bramleyd",
		Usage: "serve searches over sharded targets",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run the daemon", ArgsUsage: "SETTINGS", Action: run},
			{Name: "edge", Usage: "run the daemon on the users' platform", ArgsUsage: "SETTINGS", Action: runEdge},
			{Name: "check-edge", Usage: "only check a settings file of the users' platform", ArgsUsage: "SETTINGS", Action: checkEdge},
			{Name: "check", Usage: "only check a settings file", ArgsUsage: "SETTINGS", Action: check},
		},
	}
	err := app.Run(ctx, os.Args)
	if errors.Is(err, errStopped) {
		fmt.Fprintln(os.Stderr, "bramleyd:", err)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bramleyd:", err)
		os.Exit(int(result.CodeOf(err).Class()))
	}
}

// loadSettings loads and checks the settings file of a daemon that is not on the users'
// platform.
func loadSettings(cmd *cli.Command) (*settings.Settings, error) {
	path, err := settingsPath(cmd)
	if err != nil {
		return nil, err
	}
	return settings.Load(path)
}

// settingsPath returns the command's only argument, the settings file.
func settingsPath(cmd *cli.Command) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", result.Errorf(result.BadSettings, "found %d arguments, allowed is one: the settings file", cmd.Args().Len())
	}
	return cmd.Args().First(), nil
}

// errStopped means that the process was told to stop before it had read its settings.
var errStopped = errors.New("stopped while the settings were read")

// loadUnlessStopped returns what load returns, or errStopped if ctx ends first. load may then still
// block, as the read of a named pipe does.
func loadUnlessStopped[S any](ctx context.Context, load func() (S, error)) (S, error) {
	type loaded struct {
		settings S
		err      error
	}
	done := make(chan loaded, 1)
	go func() {
		s, err := load()
		done <- loaded{s, err}
	}()
	select {
	case l := <-done:
		return l.settings, l.err
	case <-ctx.Done():
		var none S
		return none, errStopped
	}
}

// check is the action of the subcommand check.
func check(_ context.Context, cmd *cli.Command) error {
	if _, err := loadSettings(cmd); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

// run is the action of the subcommand run. It returns when the daemon has shut down after
// ctx ended.
func run(ctx context.Context, cmd *cli.Command) error {
	cfg, err := loadUnlessStopped(ctx, func() (*settings.Settings, error) { return loadSettings(cmd) })
	if err != nil {
		return err
	}
	level, err := logging.ParseLevel(cfg.Log.Level)
	if err != nil {
		return err
	}
	log, flush := logging.New(os.Stdout, logging.Options{Level: level, JSON: cfg.Log.JSON})
	defer flush()
	n, err := node.New(cfg, log.With("vm", cfg.Name))
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
