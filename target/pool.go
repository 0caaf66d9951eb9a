package target

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// pool holds the connections to one target. Its maintainer goroutine opens and
// closes them; calls only acquire and release them.
type pool struct {
	client     *Client
	name       string        // name of the target
	address    string        // address of the target: IP and port
	wakeup     chan struct{} // wakes the maintainer
	numWaiting atomic.Int32  // len(waiters), readable without mu

	mu       sync.Mutex // guards the fields below, and the fields of each conn except http and wire
	endpoint Endpoint   // the settings in force
	conns    []*conn    // open connections, including retiring and closing ones
	// suspicionTime is the latest time at which a connection was found silent or a
	// suspect connection began to wait for data. Connections that have received
	// nothing since then are probed.
	suspicionTime time.Time
	waiters       []chan *conn // waiting calls, oldest first; each receives a conn, or nil if it fails
	retired       bool         // the endpoint is no longer in force
	stopped       bool         // the maintainer has returned or is about to, and opens no more connections
	watching      bool         // the maintainer checks for suspect connections every SuspectAfter
	pacer         pacer        // determines when the next connection may be opened
	lastDialErr   error        // error of the last try to open a connection; nil if it succeeded
	shareHeld     bool         // only silent connections are left, and none may be opened until one of them has been closed
}

// newPool returns an empty pool for an endpoint. The caller must call update with the
// endpoint's settings, and run maintain, which opens the connections.
func newPool(c *Client, e Endpoint) *pool {
	return &pool{
		client:  c,
		name:    e.Name,
		address: e.Address,
		wakeup:  make(chan struct{}, 1),
	}
}

// update applies new settings of the same target.
func (p *pool) update(e Endpoint) {
	p.mu.Lock()
	p.endpoint = e
	p.pacer.setLimits(e.ConnectCost, &p.client.opts)
	p.mu.Unlock()
	p.wake()
}

// retire makes the connections close once they are idle, and the maintainer stop
// after that. Waiting calls fail.
func (p *pool) retire() {
	p.mu.Lock()
	p.retired = true
	p.failWaiters()
	p.mu.Unlock()
	p.wake()
}

// reactivate undoes retire. It returns false, and does nothing, if the maintainer
// has stopped.
func (p *pool) reactivate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The pool stays retired only if its maintainer has stopped.
	p.retired = p.stopped
	return !p.stopped
}

// hasStopped reports whether the maintainer has returned or is about to.
func (p *pool) hasStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// wake makes the maintainer look for work again. It never blocks.
func (p *pool) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// acquire returns a connection for one call. The caller must release the connection
// afterwards. If none is free, acquire waits up to MaxWait for one, or fails at once if
// none can be expected to become free. If it fails, nothing was sent. If probe is set, it
// returns the connection that has received nothing for longest.
func (p *pool) acquire(ctx context.Context, probe bool) (*conn, *CallError) {
	p.mu.Lock()
	now := time.Now()
	choose := p.pick
	if probe {
		choose = p.pickIdlest
	}
	if cn := choose(now); cn != nil {
		p.addCall(cn, now)
		p.mu.Unlock()
		return cn, nil
	}
	if err := p.waitError(now); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	waiter := make(chan *conn, 1)
	p.setWaiters(append(p.waiters, waiter))
	p.mu.Unlock()
	p.wake()
	return p.awaitTurn(ctx, waiter)
}

// waitError returns an error if a call can't wait for a connection, and nil if it
// can. p.mu must be held.
func (p *pool) waitError(now time.Time) *CallError {
	switch {
	case p.retired:
		return &CallError{Kind: ErrorUnknownTarget, NotStarted: true}
	case p.shareHeld, p.count((*conn).isHeard) == 0 && p.lastDialErr != nil:
		return p.unreachableError(now)
	case len(p.waiters) >= p.client.opts.MaxWaiters:
		return &CallError{Kind: ErrorBusy, NotStarted: true, cause: errors.New("too many calls wait for a connection")}
	}
	return nil
}

// unreachableError returns the error for a target to which no connection could be
// opened. p.mu must be held.
func (p *pool) unreachableError(now time.Time) *CallError {
	retryAfter, cause := p.pacer.notBefore.Sub(now), p.lastDialErr
	if p.shareHeld {
		cause = errShareHeld
	}
	return &CallError{Kind: ErrorUnreachable, NotStarted: true, RetryAfter: max(retryAfter, 0), cause: cause}
}

// errShareHeld is the cause of calls that fail because silent connections take up the share.
var errShareHeld = errors.New("all connections are silent, and the target may still count them")

// awaitTurn waits until waiter, which is in the queue of waiting calls, receives a
// connection. It fails after MaxWait, and when ctx ends or the client is closed.
func (p *pool) awaitTurn(ctx context.Context, waiter chan *conn) (*conn, *CallError) {
	limit := time.NewTimer(p.client.opts.MaxWait)
	defer limit.Stop()
	select {
	case cn := <-waiter:
		return p.connOrError(cn)
	case <-ctx.Done():
	case <-limit.C:
	case <-p.client.tomb.Dying():
	}
	if p.leaveQueue(waiter) {
		if ctx.Err() != nil {
			return nil, transportError(ctx, ctx.Err(), true)
		}
		return nil, &CallError{Kind: ErrorBusy, NotStarted: true, cause: errors.New("no connection became free")}
	}
	return p.connOrError(<-waiter)
}

// connOrError converts what a waiter received to the results of acquire. A nil conn
// means that failWaiters was called.
func (p *pool) connOrError(cn *conn) (*conn, *CallError) {
	if cn != nil {
		return cn, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return nil, p.unreachableError(time.Now())
}

// leaveQueue removes waiter from the queue of waiting calls. It returns false if waiter is
// no longer queued, because it has received its result.
func (p *pool) leaveQueue(waiter chan *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, queued := range p.waiters {
		if queued == waiter {
			p.setWaiters(append(p.waiters[:i:i], p.waiters[i+1:]...))
			return true
		}
	}
	return false
}

// setWaiters sets the queue of waiting calls. p.mu must be held.
func (p *pool) setWaiters(waiters []chan *conn) {
	p.waiters = waiters
	p.numWaiting.Store(int32(len(waiters)))
}

// addCall counts a call on a connection and starts the checks for suspect
// connections. p.mu must be held.
func (p *pool) addCall(cn *conn, now time.Time) {
	cn.calls++
	if !cn.awaitsData() {
		cn.waitingSince = now
	}
	if !p.watching {
		p.watching = true
		p.wake()
	}
}

// pick returns a connection for another call, or nil if none accepts one. It prefers
// connections that are not suspect and have received data since suspicionTime, when a
// connection of the pool was last suspect or silent. Among those it prefers the one with
// the fewest calls. p.mu must be held.
func (p *pool) pick(now time.Time) *conn {
	var best *conn
	var bestSuspect bool
	for _, cn := range p.conns {
		if !p.hasCapacity(cn) {
			continue
		}
		suspect := cn.isSuspect(now, p.client.opts.SuspectAfter) || cn.wire.lastRead().Before(p.suspicionTime)
		// Replace best by a connection that is not suspect if best is, or by one with
		// fewer calls if both or neither are suspect.
		if best == nil || (bestSuspect && !suspect) || (bestSuspect == suspect && cn.calls < best.calls) {
			best, bestSuspect = cn, suspect
		}
	}
	return best
}

// pickIdlest returns the connection for a status read: the one that has received nothing
// for longest, or nil if none accepts another call. It returns a suspect connection only if
// there is no other: suspect connections get a probe of their own, and if one is silent, the
// status read would not return the target's state. p.mu must be held.
func (p *pool) pickIdlest(now time.Time) *conn {
	var idlest *conn
	for _, cn := range p.conns {
		if !p.hasCapacity(cn) || cn.probing || cn.isSuspect(now, p.client.opts.SuspectAfter) {
			continue
		}
		if idlest == nil || cn.wire.lastRead().Before(idlest.wire.lastRead()) {
			idlest = cn
		}
	}
	if idlest == nil {
		return p.pick(now)
	}
	return idlest
}

// hasCapacity reports whether a connection accepts another call. p.mu must be held.
func (p *pool) hasCapacity(cn *conn) bool {
	if cn.retiring || cn.silent || cn.http.Err() != nil {
		return false
	}
	if p.client.opts.Protocol == HTTP1 {
		return cn.calls == 0
	}
	// Available is the number of calls that net/http can still start on the connection.
	return cn.calls < p.client.opts.MaxStreams && cn.http.Available() > 0
}

// release ends one call's use of a connection, which may then serve a waiting call.
func (p *pool) release(cn *conn) {
	p.mu.Lock()
	cn.calls--
	idle := cn.retiring && cn.calls == 0
	p.serveWaiters()
	p.mu.Unlock()
	if idle {
		p.wake()
	}
}

// retireMismatched retires a connection that delivered another request's answer: it
// accepts no new calls and is closed once idle. The answers of calls still on it
// are checked like all others.
func (p *pool) retireMismatched(cn *conn, err *CallError) {
	p.client.metrics.mismatched.Inc()
	p.mu.Lock()
	first := !cn.retiring
	cn.retiring = true
	p.mu.Unlock()
	if first {
		p.client.opts.Log.Warn("a connection delivered another request's answer and is closed", "target", p.name, "error", err.cause)
	}
}

// serveWaiters assigns connections that accept calls to waiting calls, oldest first.
// p.mu must be held.
func (p *pool) serveWaiters() {
	for len(p.waiters) > 0 {
		now := time.Now()
		cn := p.pick(now)
		if cn == nil {
			return
		}
		p.addCall(cn, now)
		p.waiters[0] <- cn
		p.setWaiters(p.waiters[1:])
	}
}

// failWaiters fails all waiting calls. p.mu must be held.
func (p *pool) failWaiters() {
	for _, waiter := range p.waiters {
		waiter <- nil
	}
	p.setWaiters(nil)
}
