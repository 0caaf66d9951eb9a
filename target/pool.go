package target

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// pool holds the connections to one target. Its keeper goroutine opens and
// closes them; calls only borrow them.
type pool struct {
	client     *Client
	name       string
	address    string
	wakeup     chan struct{} // wakes the keeper
	numWaiting atomic.Int32  // len(waiters), readable without mu

	mu            sync.Mutex // guards what follows and the plain fields of each conn
	endpoint      Endpoint
	conns         []*conn     // open, the retiring ones included
	silentTimes   []time.Time // when connections were found silent, within SilentHold
	suspicionTime time.Time   // when the last one was, or since when one is suspect
	waiters       []chan *conn
	retired       bool // the endpoint is no longer in force
	stopped       bool // the keeper has ended, and all connections with it
	watching      bool // the keeper looks at the connections every SuspectAfter
	pacer         pacer
	lastDialErr   error // of the last attempt to open a connection
}

func newPool(c *Client, e Endpoint) *pool {
	return &pool{
		client:  c,
		name:    e.Name,
		address: e.Address,
		wakeup:  make(chan struct{}, 1),
	}
}

// update puts new settings of the same target in force.
func (p *pool) update(e Endpoint) {
	p.mu.Lock()
	p.endpoint = e
	p.pacer.setLimits(e.ConnectCost, &p.client.opts)
	p.mu.Unlock()
	p.wake()
}

// retire lets the connections close once they are idle, then ends the keeper.
func (p *pool) retire() {
	p.mu.Lock()
	p.retired = true
	p.failWaiters()
	p.mu.Unlock()
	p.wake()
}

// reactivate undoes retire, unless the keeper has ended.
func (p *pool) reactivate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = p.stopped
	return !p.stopped
}

func (p *pool) hasStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

func (p *pool) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// acquire borrows a connection for one call. It waits for one while one can be
// expected, and fails at once otherwise; nothing was sent if it fails.
// A probe gets the connection that was idle for longest.
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
	turn := make(chan *conn, 1)
	p.setWaiters(append(p.waiters, turn))
	p.mu.Unlock()
	p.wake()
	return p.awaitTurn(ctx, turn)
}

// waitError returns an error if waiting for a connection makes no sense. p.mu
// must be held.
func (p *pool) waitError(now time.Time) *CallError {
	switch {
	case p.retired:
		return &CallError{Kind: ErrorUnknownTarget, NotStarted: true}
	case len(p.conns) == 0 && p.lastDialErr != nil:
		return p.unreachableError(now)
	case len(p.waiters) >= p.client.opts.MaxWaiters:
		return &CallError{Kind: ErrorBusy, NotStarted: true, cause: errors.New("too many calls wait for a connection")}
	}
	return nil
}

// unreachableError returns the error of a target to which no connection could be
// opened. p.mu must be held.
func (p *pool) unreachableError(now time.Time) *CallError {
	after := p.pacer.notBefore.Sub(now)
	return &CallError{Kind: ErrorUnreachable, NotStarted: true, RetryAfter: max(after, 0), cause: p.lastDialErr}
}

// awaitTurn waits for the turn of a call.
func (p *pool) awaitTurn(ctx context.Context, turn chan *conn) (*conn, *CallError) {
	limit := time.NewTimer(p.client.opts.MaxWait)
	defer limit.Stop()
	select {
	case cn := <-turn:
		return p.connOrError(cn)
	case <-ctx.Done():
	case <-limit.C:
	case <-p.client.tomb.Dying():
	}
	if p.leaveQueue(turn) {
		if ctx.Err() != nil {
			return nil, transportError(ctx, ctx.Err(), true)
		}
		return nil, &CallError{Kind: ErrorBusy, NotStarted: true, cause: errors.New("no connection became free")}
	}
	return p.connOrError(<-turn)
}

func (p *pool) connOrError(cn *conn) (*conn, *CallError) {
	if cn != nil {
		return cn, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return nil, p.unreachableError(time.Now())
}

// leaveQueue reports whether turn was still waiting; if not, it has been served.
func (p *pool) leaveQueue(turn chan *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiters {
		if w == turn {
			p.setWaiters(append(p.waiters[:i:i], p.waiters[i+1:]...))
			return true
		}
	}
	return false
}

// setWaiters must be called with p.mu held.
func (p *pool) setWaiters(waiters []chan *conn) {
	p.waiters = waiters
	p.numWaiting.Store(int32(len(waiters)))
}

// addCall must be called with p.mu held.
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

// pick returns the connection with the fewest calls, or nil if none has room.
// First come those that are not suspect and have received something since the
// last alarm. p.mu must be held.
func (p *pool) pick(now time.Time) *conn {
	var best *conn
	var bestSuspect bool
	for _, cn := range p.conns {
		if !p.hasCapacity(cn) {
			continue
		}
		suspect := cn.isSuspect(now, p.client.opts.SuspectAfter) || cn.wire.lastRead().Before(p.suspicionTime)
		if best == nil || (bestSuspect && !suspect) || (bestSuspect == suspect && cn.calls < best.calls) {
			best, bestSuspect = cn, suspect
		}
	}
	return best
}

// pickIdlest returns the connection that has received nothing for longest, or
// nil if none has room. A suspect one has a probe of its own and would hide the
// target's state from the reader. p.mu must be held.
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

// hasCapacity must be called with p.mu held.
func (p *pool) hasCapacity(cn *conn) bool {
	if cn.retiring || cn.silent || cn.http.Err() != nil {
		return false
	}
	if p.client.opts.Protocol == HTTP1 {
		return cn.calls == 0
	}
	return cn.calls < p.client.opts.MaxStreams && cn.http.Available() > 0
}

// release gives a connection back.
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

// retireMismatched keeps new calls off a connection that delivered another request's
// answer, and closes it once it is idle. The calls still on it are checked like
// any other.
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

// serveWaiters hands connections with room to waiting calls, in their order.
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

// failWaiters tells all waiting calls that no connection can be had. p.mu must
// be held.
func (p *pool) failWaiters() {
	for _, turn := range p.waiters {
		turn <- nil
	}
	p.setWaiters(nil)
}
