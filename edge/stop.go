package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Times of a stop, counted from SIGTERM.
const (
	// lameDuckGraceShare is the share of the time until SIGKILL after which this VM closes its
	// listener and idle connections. The load balancer's list lags by some seconds, so until then this
	// VM serves callers while it reports not ready.
	lameDuckGraceShare = 0.7
	// answerWriteMargin is how long before SIGKILL this VM answers what it still serves as at its
	// deadline: a slow VM has to be scheduled, and to write hundreds of answers.
	answerWriteMargin = 300 * time.Millisecond
	// maxWriteMarginShare bounds answerWriteMargin, as a share of the time until SIGKILL.
	maxWriteMarginShare = 0.2
	// reportMarginShare is how long before SIGKILL this VM reports what it has not answered, as a share
	// of the margin for writing answers.
	reportMarginShare = 1.0 / 3
)

// stopTimes are the times of a stop.
type stopTimes struct {
	told      time.Time // SIGTERM
	lameDuck  time.Time // end of the time in which callers' new requests are expected
	answer    time.Time // what is still served is answered
	report    time.Time // what is not answered is reported
	lastWrite time.Time // SIGKILL; the process ends at the latest
}

// stopTimesOf returns the times of a stop of a VM that was told to stop, and is killed after grace.
func stopTimesOf(told time.Time, grace time.Duration) stopTimes {
	share := func(s float64) time.Duration { return time.Duration(s * float64(grace)) }
	margin := min(answerWriteMargin, share(maxWriteMarginShare))
	end := told.Add(grace)
	return stopTimes{
		told:      told,
		lameDuck:  told.Add(share(lameDuckGraceShare)),
		answer:    end.Add(-margin),
		report:    end.Add(-time.Duration(reportMarginShare * float64(margin))),
		lastWrite: end,
	}
}

// retryAfterStopping is the Retry-After time of a request that was not sent anywhere since this VM ends.
// Another VM can serve it at once.
const retryAfterStopping = 10 * time.Millisecond

// maxNamedOpen bounds the requests that are named in the log when the process ends.
const maxNamedOpen = 32

// stopClock says when this VM ends what it still serves. It is safe for concurrent use.
type stopClock struct {
	at    atomic.Pointer[time.Time] // nil while this VM was not told to stop
	told  atomic.Pointer[time.Time] // when this VM was told to stop; set before at
	begun chan struct{}             // closed when this VM is told to stop
	over  context.Context           // ends when requests end
	end   context.CancelFunc
	ends  stopEnds
}

// stopEnds counts callers' requests that ended after this VM was told to stop.
type stopEnds struct {
	answered  atomic.Int64
	refused   atomic.Int64 // by this VM, before they were sent anywhere
	stopped   atomic.Int64 // answered as at their deadline since this VM ended
	abandoned atomic.Int64 // the caller disconnected
	failed    atomic.Int64 // answered with a failure
}

// count counts a request with this outcome.
func (s *stopEnds) count(out scatter.Outcome) {
	switch {
	case out.Stopped:
		s.stopped.Add(1)
	case out.Verdict == scatter.Answered:
		s.answered.Add(1)
	case out.Verdict == scatter.NotRun:
		s.refused.Add(1)
	case out.Verdict == scatter.Abandoned:
		s.abandoned.Add(1)
	default:
		s.failed.Add(1)
	}
}

// newStopClock returns the clock of a VM that was not told to stop.
func newStopClock() *stopClock {
	c := &stopClock{begun: make(chan struct{})}
	c.over, c.end = context.WithCancel(context.Background())
	return c
}

// set records when this VM was told to stop, and when requests end. It is called once.
func (c *stopClock) set(told, at time.Time) {
	c.told.Store(&told)
	c.at.Store(&at)
	close(c.begun)
	time.AfterFunc(time.Until(at), c.end)
}

// time returns the time at which requests end, zero if this VM was not told to stop.
func (c *stopClock) time() time.Time {
	if at := c.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// logFields counts a request that has ended, took so long, and had this outcome, and returns the fields
// for its log line; none before this VM was told to stop.
func (c *stopClock) logFields(out scatter.Outcome, took time.Duration) []any {
	stop := c.time()
	if stop.IsZero() {
		return nil
	}
	c.ends.count(out)
	arrived := time.Now().Add(-took)
	return []any{
		"arrived_after_stop_ms", arrived.Sub(*c.told.Load()).Milliseconds(),
		"stop_left_ms", time.Until(stop).Milliseconds(),
		"leaf_ms", out.AtWork.Milliseconds(),
	}
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
	open    int            // number of the requests and calls
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
	w.open++
	w.running.Add(1)
	return nil
}

// end records that work has ended on a request with a body of so many bytes.
func (w *peerWork) end(body int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bodies -= body
	w.open--
	w.running.Done()
}

// number returns how many requests and calls are worked on.
func (w *peerWork) number() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.open
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
func (n *Node) Leave() { n.leave(time.Now()) }

// leave is Leave for a VM that was told to stop at the time told.
func (n *Node) leave(told time.Time) {
	times := stopTimesOf(told, n.grace())
	n.engine.stopping.set(told, times.answer)
	n.leaving.Store(true)
	n.engine.leaving.Store(true)
	n.logPhase("told", told)
	ctx, cancel := context.WithDeadline(context.Background(), times.lameDuck)
	defer cancel()
	n.handOver(ctx)
	n.logPhase("handed_over", told)
	if err := n.announcer.withdraw(ctx); err != nil {
		n.log.Warn("removing this VM from the list of VMs failed", "error", err)
	}
	n.logPhase("withdrawn", told)
	<-ctx.Done()
	open := n.finishRequests(times)
	n.stop()
	if p := n.transport.Load(); p != nil {
		go p.close() // waits for calls in progress, which the process needn't do
	}
	for _, server := range n.auxServers {
		// Only readiness checks and metrics requests can be open here.
		_ = server.Close()
	}
	ends := &n.engine.stopping.ends
	n.log.Info("stopped", "open", open, "ms", time.Since(told).Milliseconds(), "answered", ends.answered.Load(), "refused", ends.refused.Load(),
		"ended_by_stop", ends.stopped.Load(), "abandoned", ends.abandoned.Load(), "failed", ends.failed.Load())
}

// logPhase logs and records how long after told, when this VM was told to stop, a phase of its stop
// begins.
func (n *Node) logPhase(phase string, told time.Time) {
	since, conns := time.Since(told), n.engine.callerConns.counts()
	n.engine.stats.set.GetOrCreateGauge(fmt.Sprintf(`bramley_edge_stop_seconds{phase=%q}`, phase), nil).Set(since.Seconds())
	n.log.Info("leaving", "phase", phase, "ms", since.Milliseconds(), "idle", conns.idle, "unused", conns.unused, "active", conns.active)
}

// acceptTime bounds the time in which the connections are accepted that wait when this VM closes its
// listener.
const acceptTime = 100 * time.Millisecond

// closeAccepted closes a listener once the connections that wait in the kernel's queue are accepted, or
// after acceptTime. The close resets those that still wait, with the requests that were sent on them.
func closeAccepted(ln net.Listener) error {
	for end := time.Now().Add(acceptTime); hasPending(ln) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return ln.Close()
}

// hasPending reports whether a connection waits in the kernel's queue of a listener.
func hasPending(ln net.Listener) bool {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	poll := []unix.PollFd{{Events: unix.POLLIN}}
	err = raw.Control(func(fd uintptr) {
		poll[0].Fd = int32(fd)
		_, _ = unix.Poll(poll, 0) // an error leaves Revents empty
	})
	return err == nil && poll[0].Revents&unix.POLLIN != 0
}

// finishRequests takes no more requests, and waits for those of callers and of other VMs. It returns how
// many of callers are left open.
func (n *Node) finishRequests(times stopTimes) (open int) {
	n.logPhase("connections_closed", times.told)
	if err := closeAccepted(n.callerSocket); err != nil {
		n.log.Warn("closing the listener for callers failed", "error", err)
	}
	ctx, cancel := context.WithDeadline(context.Background(), times.lastWrite)
	defer cancel()
	peersDone := make(chan error, 1)
	go func() { peersDone <- n.engine.peerWork.close(ctx) }()
	conns := n.engine.callerConns
	closed := n.engine.stats.set.GetOrCreateCounter("bramley_edge_idle_connections_closed_total")
	closed.Add(conns.closeIdle(time.Now()))
	defer time.AfterFunc(firstRequestTime, func() { closed.Add(conns.closeIdle(time.Now())) }).Stop()
	// SIGKILL may come sooner than this VM believes, so what is open is reported before.
	defer time.AfterFunc(time.Until(times.report), n.reportOpen).Stop()
	if !conns.awaitNone(n.engine.stopping.over) {
		n.logPhase("requests_ended", times.told)
		conns.awaitNone(ctx)
	}
	if err := <-peersDone; err != nil {
		n.log.Warn("work for other VMs was cut off", "requests", n.engine.peerWork.number(), "error", err)
	}
	open = len(conns.requests())
	conns.endAbruptly()
	_ = n.callerServer.Close()
	return open
}

// reportOpen logs and counts the requests that the end of the process may cut off. Connections that carry
// none are not among them.
func (n *Node) reportOpen() {
	open, ofOtherVMs := n.engine.callerConns.requests(), n.engine.peerWork.number()
	if len(open)+ofOtherVMs == 0 {
		return
	}
	n.log.Warn("requests are open at the end", "requests", len(open), "of_other_vms", ofOtherVMs)
	for i, req := range open {
		stage := requestStageNames[req.stage.Load()]
		n.engine.stats.count(`bramley_edge_requests_open_at_end_total{stage=%q}`, stage)
		if i < maxNamedOpen {
			n.log.Warn("request is open at the end", "request", req.id, "stage", stage, "ms", time.Since(req.since).Milliseconds())
		}
	}
}

// grace returns the time between SIGTERM and SIGKILL.
func (n *Node) grace() time.Duration {
	return time.Duration(n.settings.GraceS * float64(time.Second))
}
