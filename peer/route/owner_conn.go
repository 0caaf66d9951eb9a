package route

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer/hop"
	"github.com/bramleybarrow/bramleybarrow/target"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

const (
	// dialTimeout bounds one dial of an owner.
	dialTimeout = time.Second
	// redialDelay is the minimum time between a failed dial of an owner and the next one
	// of the same owner.
	redialDelay = 500 * time.Millisecond

	// slowDialAfter is the time since the start of a dial of an owner after which calls
	// try the other owners first, if the dial is still in progress.
	slowDialAfter = 50 * time.Millisecond

	// defaultIdleAfter is the default of Options.IdleAfter: how long a connection to an
	// owner stays open without a call.
	defaultIdleAfter = 5 * time.Second
	// idleChecks is the number of times that closeIdle checks for idle connections to owners
	// within one Options.IdleAfter.
	idleChecks = 5
)

// errClosed is the error of a call through an owner whose connection was closed because the
// router stopped.
var errClosed = errors.New("route: the router has stopped")

// ownerConn is the connection to one owner, a VM through which this VM calls targets. Its
// dial doesn't use the context of any call. So a call that is cancelled, like the slower
// one of two hedged calls, neither ends a dial that other calls wait for nor marks the
// owner as unreachable.
type ownerConn struct {
	dial func(context.Context) (*hop.Caller, error) // connects to the owner

	mu          sync.Mutex    // guards the fields below; locked after Router.mu
	users       int           // number of calls that use the connection or wait for it
	lastUsed    time.Time     // when a call last ended
	health      ownerHealth   // decides whether other owners are tried first
	caller      *hop.Caller   // the result of the last dial; nil if it failed or none has ended
	dialing     chan struct{} // closed when the current dial has ended; nil without a dial
	dialStarted time.Time     // start of the last dial
	dialFailed  time.Time     // end of the last dial that failed
	dialErr     error         // of the last dial; nil if it succeeded
	closed      bool          // close was called
}

// get returns the connection to the owner. If none is open, it dials the owner and waits
// for the dial until ctx ends.
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

// callerOrDial returns the connection to the owner if it is open. Otherwise it starts a
// dial unless one is in progress, and returns a channel that is closed when the dial has
// ended. If the last dial failed less than redialDelay ago, it returns the error of that
// dial and starts no new one.
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

// ended reports whether a connection has ended.
func ended(caller *hop.Caller) bool {
	select {
	case <-caller.Done():
		return true
	default:
		return false
	}
}

// open dials the owner once, for all calls that wait for the connection, and records the
// result. It closes a connection that was opened after close was called.
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

// close closes the connection. The connection of a dial that is still running is closed
// when the dial ends.
func (c *ownerConn) close() {
	c.mu.Lock()
	caller := c.caller
	c.closed = true
	c.mu.Unlock()
	if caller != nil {
		caller.Close()
	}
}

// acquire counts one more call that uses the connection, so that it isn't closed as idle.
func (c *ownerConn) acquire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users++
}

// release counts one call less that uses the connection, and records when it ended.
func (c *ownerConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users--
	c.lastUsed = time.Now()
}

// idle reports whether the connection can be closed as idle: no call uses it or has used
// it within idleAfter, and no dial is in progress.
func (c *ownerConn) idle(now time.Time, idleAfter time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.users == 0 && c.dialing == nil && now.Sub(c.lastUsed) >= idleAfter
}

// lease is a connection to an owner that isn't closed as idle until release is called.
type lease struct {
	*hop.Caller
	conn  *ownerConn
	owner string // name of the owner's VM
}

// release ends the use of the connection.
func (l lease) release() { l.conn.release() }

// call makes a call to the named target through the owner by calling f. It records the
// outcome in the owner's health, names the owner in the error and releases the lease.
func (l lease) call(ctx context.Context, name string, f func(hop.Leaves) error) error {
	defer l.release()
	start := time.Now()
	l.conn.updateHealth(func(h *ownerHealth) { h.sent(start) })
	err := f(l.Caller)
	if call, ok := err.(*target.CallError); ok {
		call.Via = l.owner
	}
	now := time.Now()
	l.conn.updateHealth(func(h *ownerHealth) { h.record(ctx, name, err, ended(l.Caller), now.Sub(start), now) })
	return err
}

// updateHealth calls event with the owner's health while it holds c.mu.
func (c *ownerConn) updateHealth(event func(*ownerHealth)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	event(&c.health)
}

// inCooldown reports whether other owners of the named target should be tried before this one:
// the owner's health says so, or its dial is slow. A dial takes milliseconds, or up to
// dialTimeout if the owner doesn't answer.
func (c *ownerConn) inCooldown(name string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	slowDial := c.dialing != nil && now.Sub(c.dialStarted) > slowDialAfter
	return slowDial || c.health.inCooldown(name, now)
}

// acquireConn returns a lease on the connection to an owner, which it dials if necessary.
// The caller must release the lease. The error is that of the dial or of ctx.
func (r *Router) acquireConn(ctx context.Context, vm objstore.VM) (lease, error) {
	c := r.reserveConn(vm)
	caller, err := c.get(ctx)
	if err != nil {
		c.release()
		return lease{}, err
	}
	return lease{Caller: caller, conn: c, owner: vm.Name}, nil
}

// reserveConn returns the connection to an owner, which may not be dialled yet, and
// counts a call that uses it.
func (r *Router) reserveConn(vm objstore.VM) *ownerConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.ownerConns[vm.Address]
	if c == nil {
		c = &ownerConn{dial: func(ctx context.Context) (*hop.Caller, error) {
			return hop.Dial(ctx, vm.Address, r.fleet.WireOptions(), &wire.Counters{})
		}}
		c.health.meanLatency = r.meanOwnerLatency()
		r.ownerConns[vm.Address] = c
	}
	c.acquire()
	return c
}

// meanOwnerLatency returns the mean over the owners with a connection of the time until an
// answer; 0 if none has answered. It stands for the latency of an owner that has not
// answered yet. The caller must hold mu.
func (r *Router) meanOwnerLatency() time.Duration {
	var sum, n time.Duration
	for _, c := range r.ownerConns {
		c.mu.Lock()
		if c.health.meanLatency > 0 {
			sum += c.health.meanLatency
			n++
		}
		c.mu.Unlock()
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// closeIdle closes connections that no call has used for IdleAfter, until the router stops.
// Otherwise a VM would keep connections to nearly every other VM and ping them. A call
// can't use a connection that is being closed: reserving a connection, and detecting and
// removing an idle one, both happen under Router.mu. A later call opens a new connection.
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

// dropIdle removes the connections that no call has used for idleAfter from ownerConns,
// and returns them for the caller to close. Connections to VMs that are no longer owners
// are removed in this way too.
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
