package edge

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Shares of the time between SIGTERM and SIGKILL, all counted from SIGTERM.
const (
	// lameDuckGraceShare is the share after which this VM closes its listener and idle connections.
	// The load balancer's list lags by some seconds, so until then this VM serves callers while it
	// reports not ready.
	lameDuckGraceShare = 0.7
	// answerGraceShare is the share after which what this VM still serves is answered as at its
	// deadline. The rest is for writing these answers on a slow VM.
	answerGraceShare = 0.95
	// exitGraceShare is the share after which the process ends at the latest.
	exitGraceShare = 0.98
)

// stopClock says when this VM ends what it still serves. It is safe for concurrent use.
type stopClock struct {
	at   atomic.Pointer[time.Time] // nil while this VM was not told to stop
	over context.Context           // ends at that time
	end  context.CancelFunc
}

// newStopClock returns the clock of a VM that was not told to stop.
func newStopClock() *stopClock {
	c := new(stopClock)
	c.over, c.end = context.WithCancel(context.Background())
	return c
}

// set sets the time at which requests end.
func (c *stopClock) set(at time.Time) {
	c.at.Store(&at)
	time.AfterFunc(time.Until(at), c.end)
}

// time returns the time at which requests end, zero if this VM was not told to stop.
func (c *stopClock) time() time.Time {
	if at := c.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// bound returns a child of ctx that ends with it, at the given deadline, and when the time of this VM is
// over.
func (c *stopClock) bound(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	stop := context.AfterFunc(c.over, cancel)
	return ctx, func() { stop(); cancel() }
}

// peerWork counts what this VM does for other VMs: calls to query shards, and requests that they have
// handed over. It is safe for concurrent use. The zero value is ready.
type peerWork struct {
	mu      sync.Mutex
	closed  bool
	bodies  int            // size of the bodies of the requests, in bytes
	running sync.WaitGroup // Add is called with mu held, and not after closed is set
}

var (
	errStopping   = errors.New("edge: this VM is about to stop")
	errBodiesFull = errors.New("edge: the bodies of requests of other VMs take too much memory")
)

// begin reports whether work on a request with a body of so many bytes may begin: errStopping after
// close, errBodiesFull if the bodies would exceed maxPeerBodies. After nil, end has to be called.
func (w *peerWork) begin(body int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.closed:
		return errStopping
	case body > 0 && w.bodies+body > maxPeerBodies:
		return errBodiesFull
	}
	w.bodies += body
	w.running.Add(1)
	return nil
}

// end records that work has ended on a request with a body of so many bytes.
func (w *peerWork) end(body int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bodies -= body
	w.running.Done()
}

// close lets no more work begin, and waits until all has ended, or ctx.
func (w *peerWork) close(ctx context.Context) error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		w.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Leave marks this VM as not ready, hands its leaf partitions over if it is needed for them, continues
// to serve while the load balancer moves callers to other VMs, waits for requests in flight, and
// stops. From now on only requests are started that are expected to end before this VM does.
func (n *Node) Leave() {
	told := time.Now()
	n.engine.stopping.set(told.Add(n.graceShare(answerGraceShare)))
	n.leaving.Store(true)
	n.engine.leaving.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), told.Add(n.graceShare(lameDuckGraceShare)))
	defer cancel()
	n.handOver(ctx)
	if err := n.store.Withdraw(ctx, n.self.Name); err != nil {
		n.log.Warn("removing this VM from the list of VMs failed", "error", err)
	}
	<-ctx.Done()
	n.finishRequests(told.Add(n.graceShare(exitGraceShare)))
	n.stop()
	if p := n.transport.Load(); p != nil {
		go p.close() // waits for calls in progress, which the process needn't do
	}
	for _, server := range n.auxServers {
		// Only readiness checks and metrics requests can be open here.
		_ = server.Close()
	}
	n.log.Info("stopped", "ms", time.Since(told).Milliseconds())
}

// finishRequests takes no more requests, and waits for those of callers and of other VMs until end at
// the latest.
func (n *Node) finishRequests(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	peersDone := make(chan error, 1)
	go func() { peersDone <- n.engine.peerWork.close(ctx) }()
	// Shutdown looks ever more seldom whether connections are idle, so it is called again once the
	// last requests have ended.
	if n.callerServer.Shutdown(n.engine.stopping.over) != nil {
		if err := n.callerServer.Shutdown(ctx); err != nil {
			n.log.Warn("requests in flight were cut off", "error", err)
		}
	}
	if err := <-peersDone; err != nil {
		n.log.Warn("work for other VMs was cut off", "error", err)
	}
}

// graceShare returns a share of the time between SIGTERM and SIGKILL.
func (n *Node) graceShare(share float64) time.Duration {
	return time.Duration(share * n.settings.GraceS * float64(time.Second))
}
