package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/ops"
)

// Run serves until ctx ends, then shuts down in steps. First this VM reports that it is not
// ready. During the lame-duck time it asks callers to use other VMs, but still serves their
// requests. Then Run closes the callers' listener and waits for the requests in flight.
func (n *Node) Run(ctx context.Context) error {
	if err := n.openListeners(); err != nil {
		return errors.Trace(err)
	}
	if err := n.peers.Start(); err != nil {
		return errors.Trace(err)
	}
	n.router.Start(n.peers)
	n.health.Start(n.peers, n.monitor)
	n.follower.Start()
	n.monitor.Start()
	n.tomb.Go(n.followRevisions)
	n.tomb.Go(n.followDrains)
	n.tomb.Go(n.updateWatching)
	n.tomb.Go(n.serve(n.ops))
	n.tomb.Go(n.serve(n.callers))
	n.log.Info("serving", "callers", n.callers.socket.Addr(), "ops", n.ops.socket.Addr(), "incarnation", n.incarnation)
	select {
	case <-ctx.Done():
	case <-n.tomb.Dying():
	}
	n.leave()
	return errors.Trace(n.shutdown())
}

// openListeners opens the listeners for callers and for operators. They do not serve yet.
func (n *Node) openListeners() error {
	var err error
	if n.callers, err = listen(n.settings.Listen.Callers, n.gateway.Server()); err != nil {
		return errors.Trace(err)
	}
	n.ops, err = listen(n.settings.Listen.Ops, ops.NewHTTPServer(ops.Options{
		Status:  n.Status,
		Metrics: []func(io.Writer){n.metrics.WritePrometheus, n.peers.WriteMetrics, n.router.WriteMetrics},
	}))
	return errors.Trace(err)
}

// serve returns a function that serves HTTP requests on l until its server is shut down.
func (n *Node) serve(l *listener) func() error {
	return func() error {
		err := l.server.Serve(l.socket)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Trace(err)
	}
}

// leave announces that this VM is leaving and still serves for the lame-duck time. The
// platform's list of VMs lags, so callers still use this VM for a while. Closing the
// listener immediately would cut off requests that are already on their way.
func (n *Node) leave() {
	n.leaving.Store(true)
	n.gateway.Leave()
	n.peers.AnnounceLeaving()
	n.log.Info("leaving", "lame_duck_ms", n.settings.LameDuckMS)
	time.Sleep(time.Duration(n.settings.LameDuckMS) * time.Millisecond)
}

// shutdownTimeout bounds those waits in shutdown that take a context, all together. It is
// longer than 1 min, the longest time limit of a request that the gateway's server allows for.
const shutdownTimeout = 70 * time.Second

// shutdown waits for the callers' requests in flight, then stops all parts of the daemon and
// returns the first error. The operators' listener stays open until the other parts have
// stopped.
func (n *Node) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := n.callers.server.Shutdown(ctx)
	n.tomb.Kill(nil)
	err = firstError(err, n.claims.Close(ctx))
	n.links.Stop()
	err = firstError(err, n.monitor.Stop())
	err = firstError(err, n.health.Stop())
	err = firstError(err, n.follower.Stop(ctx))
	err = firstError(err, n.router.Drain(ctx))
	err = firstError(err, n.peers.Stop(ctx))
	n.engine.Close()
	n.client.Close()
	err = firstError(err, n.router.Stop())
	err = firstError(err, n.ops.server.Shutdown(ctx))
	return firstError(err, n.tomb.Wait())
}

// firstError returns a, or b if a is nil.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
