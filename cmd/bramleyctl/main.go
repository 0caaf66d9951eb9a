// Command bramleyctl is the operators' command line for bundles, sign-offs,
// rollouts, recalls and the audit trail.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bramleybarrow/bramleybarrow/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := operator.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
