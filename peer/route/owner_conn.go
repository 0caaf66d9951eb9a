package route

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/hop"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

const (
	dialTimeout = time.Second
	// redialDelay is for how long an owner that couldn't be reached isn't dialled.
	redialDelay = 500 * time.Millisecond

	// slowDialAfter is when an owner that is being dialled goes behind the others.
	slowDialAfter = 50 * time.Millisecond

	defaultIdleAfter = 5 * time.Second
	// idleChecks is how often idle connections are looked for within IdleAfter.
	idleChecks = 5
)

var errClosed = errors.New("route: the router has stopped")

// ownerConn is the connection to one owner. It is dialled by no call in
// particular: a call that is cancelled, as the loser of a hedge is, neither ends
// the dial that others wait for nor says anything about the owner.
type ownerConn struct {
	dial func(context.Context) (*hop.Caller, error)

	mu          sync.Mutex // guards what follows; taken after Router.mu
	users       int        // calls that use the connection or wait for it
	lastUsed    time.Time  // when a call last ended
	health      ownerHealth
	caller      *hop.Caller
	dialing     chan struct{} // closed when the dial under way has ended; nil if none is
	dialStarted time.Time     // the last dial
	dialFailed  time.Time
	dialErr     error
	closed      bool
}

// get returns the connection and dials it if there is none. It waits for a dial
// until ctx ends.
func (c *ownerConn) get(ctx context.Context) (*hop.Caller, error) {
	for {
		caller, dialing, err := c.callerOrDial()
		if caller != nil || err != nil {
			return caller, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// callerOrDial returns the connection, or the dial to wait for, or why there is neither.
func (c *ownerConn) callerOrDial() (*hop.Caller, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil, nil, errClosed
	case c.caller != nil && !ended(c.caller):
		return c.caller, nil, nil
	case c.dialing != nil:
		return nil, c.dialing, nil
	case c.dialErr != nil && time.Since(c.dialFailed) < redialDelay:
		return nil, nil, c.dialErr
	}
	c.dialing = make(chan struct{})
	c.dialStarted = time.Now()
	go c.open()
	return nil, c.dialing, nil
}

func ended(caller *hop.Caller) bool {
	select {
	case <-caller.Done():
		return true
	default:
		return false
	}
}

// open dials once, for all calls that wait.
func (c *ownerConn) open() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	caller, err := c.dial(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.dialing)
	c.dialing = nil
	c.caller, c.dialErr = caller, err
	if err != nil {
		c.dialFailed = time.Now()
		c.health.markUnreachable(c.dialFailed)
	}
	if c.closed && caller != nil {
		caller.Close()
	}
}

// close ends the connection. A dial under way is closed as soon as it has ended.
func (c *ownerConn) close() {
	c.mu.Lock()
	caller := c.caller
	c.closed = true
	c.mu.Unlock()
	if caller != nil {
		caller.Close()
	}
}

// acquire counts a call in.
func (c *ownerConn) acquire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users++
}

// release counts a call out.
func (c *ownerConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users--
	c.lastUsed = time.Now()
}

// idle tells whether no call uses the connection, nor has for some time.
func (c *ownerConn) idle(now time.Time, idleAfter time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.users == 0 && c.dialing == nil && now.Sub(c.lastUsed) >= idleAfter
}

// lease is a connection to an owner that isn't closed as idle until release.
type lease struct {
	*hop.Caller
	conn *ownerConn
}

func (l lease) release() { l.conn.release() }

// call makes a call about a target, notes how it went and releases the lease.
func (l lease) call(ctx context.Context, name string, f func(hop.Leaves) error) error {
	defer l.release()
	start := time.Now()
	l.conn.updateHealth(func(h *ownerHealth) { h.sent(start) })
	err := f(l.Caller)
	now := time.Now()
	l.conn.updateHealth(func(h *ownerHealth) { h.record(ctx, name, err, ended(l.Caller), now.Sub(start), now) })
	return err
}

func (c *ownerConn) updateHealth(event func(*ownerHealth)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	event(&c.health)
}

// inCooldown tells whether other owners of a target should be tried first. A dial
// takes milliseconds, or as long as its limit if the owner is silent.
func (c *ownerConn) inCooldown(target string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	slowDial := c.dialing != nil && now.Sub(c.dialStarted) > slowDialAfter
	return slowDial || c.health.inCooldown(target, now)
}

// acquireConn returns the connection to an owner; the call releases it at its end.
func (r *Router) acquireConn(ctx context.Context, vm objstore.VM) (lease, error) {
	c := r.connFor(vm)
	caller, err := c.get(ctx)
	if err != nil {
		c.release()
		return lease{}, err
	}
	return lease{Caller: caller, conn: c}, nil
}

func (r *Router) connFor(vm objstore.VM) *ownerConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.ownerConns[vm.Address]
	if c == nil {
		c = &ownerConn{dial: func(ctx context.Context) (*hop.Caller, error) {
			return hop.Dial(ctx, vm.Address, r.fleet.WireOptions(), &wire.Counters{})
		}}
		r.ownerConns[vm.Address] = c
	}
	c.acquire()
	return c
}

// closeIdle closes connections that no call has used for some time; otherwise a
// VM would ping one to nearly every other VM. A call and the close of its
// connection can't cross: a connection is taken, and found idle and dropped,
// under Router.mu, so a later call opens another.
func (r *Router) closeIdle() error {
	ticker := time.NewTicker(r.opts.IdleAfter / idleChecks)
	defer ticker.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		for _, c := range r.dropIdle(time.Now(), r.opts.IdleAfter) {
			c.close()
		}
	}
}

// dropIdle takes idle connections out of the table. It also forgets owners that
// are no more.
func (r *Router) dropIdle(now time.Time, idleAfter time.Duration) (dropped []*ownerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, c := range r.ownerConns {
		if c.idle(now, idleAfter) {
			delete(r.ownerConns, address)
			dropped = append(dropped, c)
		}
	}
	return dropped
}
