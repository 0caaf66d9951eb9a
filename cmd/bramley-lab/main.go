// Command bramley-lab runs what tests and benchmarks use in place of real machines: a
// simulator of the platform, a simulator of a target, or a fault proxy, which forwards TCP
// connections and injects faults. Each is a separate process and prints a labhttp.Ready as
// one line of JSON when it is ready to serve. The command also runs the benchmarks and the
// demo.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/faultproxy"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/labhttp"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:  "bramley-lab",
		Usage: "simulators and a fault proxy for tests and benchmarks",
		Commands: []*cli.Command{
			platformCommand(),
			targetCommand(),
			proxyCommand(),
			benchCommand(),
			benchRolloutCommand(),
			fleetBenchCommand(),
			modelCommand(),
			demoCommand(),
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bramley-lab:", err)
		os.Exit(1)
	}
}

// listenFlags returns the flags that the simulators and the fault proxy have in common.
func listenFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Usage: "IP and port to serve on; a free loopback port if empty"},
		&cli.StringFlag{Name: "control", Usage: "IP and port of the control endpoint; a free loopback port if empty"},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a platform with its object API in memory",
		Flags: append(listenFlags(),
			&cli.DurationFlag{Name: "watch-wait", Value: 10 * time.Second, Usage: "how long a watch waits for a change"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			store := platformsim.NewStore()
			store.SetWatchWait(cmd.Duration("watch-wait"))
			return runPlatform(ctx, store, cmd.String("listen"), cmd.String("control"))
		},
	}
}

// runPlatform serves the object API of store at the address listen, and the endpoint that
// sets store's faults at the address control, until ctx is done.
func runPlatform(ctx context.Context, store *platformsim.Store, listen, control string) error {
	apiListener, err := net.Listen("tcp", labhttp.ListenAddress(listen))
	if err != nil {
		return errors.Trace(err)
	}
	controlListener, err := net.Listen("tcp", labhttp.ListenAddress(control))
	if err != nil {
		return errors.Trace(err)
	}
	apiServer := &http.Server{Handler: store.Handler()}
	controlServer := &http.Server{Handler: store.ControlHandler()}
	failed := make(chan error, 2)
	go func() { failed <- apiServer.Serve(apiListener) }()
	go func() { failed <- controlServer.Serve(controlListener) }()
	if err := printReady("platform", apiListener.Addr().String(), controlListener.Addr().String()); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	apiServer.Close()
	controlServer.Close()
	return nil
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run one target with its leaves; on SIGTERM it drains and exits",
		Flags: append(listenFlags(),
			&cli.StringFlag{Name: "options", Required: true, Usage: "JSON file with targetsim.Options"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			opts, err := readTargetOptions(cmd.String("options"))
			if err != nil {
				return err
			}
			if cmd.IsSet("listen") {
				opts.Listen = cmd.String("listen")
			}
			if cmd.IsSet("control") {
				opts.Control = cmd.String("control")
			}
			target, err := targetsim.Start(opts)
			if err != nil {
				return errors.Trace(err)
			}
			if err := printReady("target", target.Address(), target.ControlAddress()); err != nil {
				return err
			}
			<-ctx.Done()
			return target.DrainAndClose()
		},
	}
}

// readTargetOptions reads the options of a target from a JSON file. It returns an error if
// the file has unknown fields.
func readTargetOptions(path string) (targetsim.Options, error) {
	file, err := os.Open(path)
	if err != nil {
		return targetsim.Options{}, errors.Trace(err)
	}
	defer file.Close()
	dec := json.NewDecoder(file)
	dec.DisallowUnknownFields()
	var opts targetsim.Options
	err = dec.Decode(&opts)
	return opts, errors.Annotate(err, path)
}

func proxyCommand() *cli.Command {
	return &cli.Command{
		Name:  "proxy",
		Usage: "run a TCP proxy with faults",
		Flags: append(listenFlags(),
			&cli.StringFlag{Name: "target", Required: true, Usage: "IP and port to forward to"},
			&cli.BoolFlag{Name: "peers", Usage: "the target is a daemon's listen.peers address: distinguish clients by the VM name that they send"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			proxy, err := faultproxy.Start(faultproxy.Options{
				Listen: cmd.String("listen"), Control: cmd.String("control"), Target: cmd.String("target"),
				ReadHello: cmd.Bool("peers"),
			})
			if err != nil {
				return errors.Trace(err)
			}
			if err := printReady("proxy", proxy.Address(), proxy.ControlAddress()); err != nil {
				return err
			}
			<-ctx.Done()
			return proxy.Close()
		},
	}
}

// printReady prints the labhttp.Ready of a simulator or fault proxy as a line of JSON to
// standard output. Role is the name of the subcommand; listen and control are the addresses
// of its two listeners.
func printReady(role, listen, control string) error {
	return errors.Trace(json.NewEncoder(os.Stdout).Encode(labhttp.Ready{Role: role, Listen: listen, Control: control}))
}
