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
func loadSettings(ctx context.Context, cmd *cli.Command) (*settings.Settings, error) {
	return loadUnlessStopped(ctx, cmd, settings.Load)
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

// loadUnlessStopped loads the command's settings file. It returns errStopped if ctx ends first; load may
// then still block, as the read of a named pipe does.
func loadUnlessStopped[S any](ctx context.Context, cmd *cli.Command, load func(path string) (*S, error)) (*S, error) {
	path, err := settingsPath(cmd)
	if err != nil {
		return nil, err
	}
	type loaded struct {
		settings *S
		err      error
	}
	done := make(chan loaded, 1)
	go func() {
		s, err := load(path)
		done <- loaded{s, err}
	}()
	select {
	case l := <-done:
		return l.settings, l.err
	case <-ctx.Done():
		return nil, errStopped
	}
}

// check is the action of the subcommand check.
func check(ctx context.Context, cmd *cli.Command) error {
	if _, err := loadSettings(ctx, cmd); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

// run is the action of the subcommand run. It returns when the daemon has shut down after
// ctx ended.
func run(ctx context.Context, cmd *cli.Command) error {
	cfg, err := loadSettings(ctx, cmd)
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
