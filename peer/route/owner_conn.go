package route

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/peer/hop"
	"github.com/bramleybarrow/bramleybarrow/platform"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

const (
	dialTimeout = time.Second
	// dialPause is for how long an owner that couldn't be reached isn't dialled.
	dialPause = 500 * time.Millisecond
)

var errClosed = errors.New("route: the router has stopped")

// ownerConn is the connection to one owner. It is dialled by no call in
// particular: a call that is cancelled, as the loser of a hedge is, neither ends
// the dial that others wait for nor says anything about the owner.
type ownerConn struct {
	dial func(context.Context) (*hop.Caller, error)

	mu      sync.Mutex // guards what follows; taken after no other
	caller  *hop.Caller
	dialing chan struct{} // closed when the dial under way has ended; nil if none is
	failed  time.Time
	err     error
	closed  bool
}

// get returns the connection and dials it if there is none. It waits for a dial
// until ctx ends.
func (c *ownerConn) get(ctx context.Context) (*hop.Caller, error) {
	for {
		caller, dialing, err := c.look()
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

// look returns the connection, or the dial to wait for, or why there is neither.
func (c *ownerConn) look() (*hop.Caller, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil, nil, errClosed
	case c.caller != nil && !ended(c.caller):
		return c.caller, nil, nil
	case c.dialing != nil:
		return nil, c.dialing, nil
	case c.err != nil && time.Since(c.failed) < dialPause:
		return nil, nil, c.err
	}
	c.dialing = make(chan struct{})
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
	c.caller, c.err = caller, err
	if err != nil {
		c.failed = time.Now()
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

// caller returns the connection to an owner.
func (r *Router) caller(ctx context.Context, vm platform.VM) (*hop.Caller, error) {
	r.mu.Lock()
	c := r.peers[vm.Address]
	if c == nil {
		c = &ownerConn{dial: func(ctx context.Context) (*hop.Caller, error) {
			return hop.Dial(ctx, vm.Address, r.fleet.WireOptions(), &wire.Counters{})
		}}
		r.peers[vm.Address] = c
	}
	r.mu.Unlock()
	return c.get(ctx)
}
