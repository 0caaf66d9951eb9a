package target

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
)

// Sink receives the states and failures of targets that a Client and a Monitor observe;
// at is the time of the observation. Its methods may be called concurrently and must not
// block.
type Sink interface {
	// TargetStatus is called after each successful status read.
	TargetStatus(target string, status Status, at time.Time)
	// TargetFailed is called after each failed status read.
	TargetFailed(target string, err error, at time.Time)
	// TargetState is called with the incarnation and the state in the headers
	// of an answer.
	TargetState(target, incarnation string, state State, at time.Time)
}

// Client calls the leaves of targets. It keeps connections to each target and opens
// them before calls need them. Their number never exceeds this VM's share: the number
// of connections that this VM may hold to the target. It is safe for concurrent use.
type Client struct {
	opts      Options
	transport *http.Transport
	metrics   *clientMetrics
	dialSlots chan struct{} // holds a token for each connection being opened
	tomb      tomb.Tomb     // runs the maintainer of each pool

	mu           sync.RWMutex        // guards the fields below; a pool's mu may be acquired while this mu is held
	pools        map[string]*pool    // by target name; only targets of which this VM has a share
	withoutShare map[string]struct{} // names of the endpoints in force to which this VM may open no connections
	retiredPools []*pool             // pools of removed endpoints, on whose connections calls may still run
	closed       bool
}

// NewClient returns a client without endpoints. Close ends it.
func NewClient(opts Options) *Client {
	opts = opts.withDefaults()
	c := &Client{
		opts:      opts,
		transport: newTransport(&opts),
		metrics:   newClientMetrics(opts.Metrics),
		dialSlots: make(chan struct{}, opts.MaxDials),
		pools:     make(map[string]*pool),
	}
	// Keeps the tomb alive until Close. Without this goroutine, tomb.Go would panic once all
	// maintainers have ended, and tomb.Wait would block if none was ever started.
	c.tomb.Go(func() error {
		<-c.tomb.Dying()
		return nil
	})
	return c
}

// Apply replaces the endpoints in force. Connections to an endpoint that was removed, whose
// address changed, or for which this VM no longer has a share accept no new calls and close
// once they are idle. After Close, Apply does nothing.
func (c *Client) Apply(endpoints []Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	old := c.pools
	c.pools = make(map[string]*pool, len(endpoints))
	c.withoutShare = make(map[string]struct{})
	for _, e := range endpoints {
		if e.Connections <= 0 {
			c.withoutShare[e.Name] = struct{}{}
			continue
		}
		p := old[e.Name]
		if p == nil || p.address != e.Address {
			p = c.reuseOrCreatePool(e)
		}
		p.update(e)
		c.pools[e.Name] = p
	}
	for name, p := range old {
		if c.pools[name] != p {
			p.retire()
			c.retiredPools = append(c.retiredPools, p)
		}
	}
}

// reuseOrCreatePool returns a pool for an endpoint that has none in force. If the
// endpoint was removed a moment ago and is now back, for example after a recall,
// calls may still run on connections of its old pool. Those count against the
// share, so the old pool is used again. c.mu must be held.
func (c *Client) reuseOrCreatePool(e Endpoint) *pool {
	c.retiredPools = slices.DeleteFunc(c.retiredPools, (*pool).hasStopped)
	for i, p := range c.retiredPools {
		if p.name == e.Name && p.address == e.Address && p.reactivate() {
			c.retiredPools = slices.Delete(c.retiredPools, i, i+1)
			return p
		}
	}
	p := newPool(c, e)
	c.tomb.Go(p.maintain)
	return p
}

// Close ends all calls, closes all connections and waits until that is done.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.pools = nil
	c.mu.Unlock()
	c.tomb.Kill(nil)
	_ = c.tomb.Wait() // maintainers return no error
}

// pool returns the pool of connections to a target, or nil if it has none.
func (c *Client) pool(target string) *pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.pools[target]
}

// noPoolError returns the error for a target without a pool: ErrorBusy if the target is in
// force but this VM has no share of its connections, and ErrorUnknownTarget otherwise.
// Targets without a share have no pool, because in a large deployment a VM owns few of the
// targets.
func (c *Client) noPoolError(target string) *CallError {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if _, inForce := c.withoutShare[target]; inForce {
		return &CallError{Kind: ErrorBusy, NotStarted: true, cause: errors.New("this VM has no share of connections")}
	}
	return &CallError{Kind: ErrorUnknownTarget, NotStarted: true}
}

// Search sends a search or browse request to one leaf. It sets the request's
// DeadlineMS to the time left until ctx's deadline. The error is a *CallError.
func (c *Client) Search(ctx context.Context, target string, leaf int, req LeafRequest) (LeafAnswer, error) {
	var answer LeafAnswer
	err := c.do(ctx, &call{
		target:     target,
		method:     http.MethodPost,
		path:       leafPath(leaf, "search"),
		request:    &req,
		echo:       req.Echo,
		answer:     &answer,
		deadlineMS: &req.DeadlineMS,
		validate:   func() error { return checkAnswer(&req, &answer) },
	})
	if err != nil {
		return LeafAnswer{}, err
	}
	return answer, nil
}

// Submit sends a non-idempotent request to one leaf at most once. The error is a
// *CallError; unless its NotStarted is true, the request may have been run.
func (c *Client) Submit(ctx context.Context, target string, leaf int, req SubmitRequest) (SubmitAnswer, error) {
	var answer SubmitAnswer
	err := c.do(ctx, &call{
		target:     target,
		method:     http.MethodPost,
		path:       leafPath(leaf, "submit"),
		request:    &req,
		echo:       req.Echo,
		answer:     &answer,
		deadlineMS: &req.DeadlineMS,
		validate:   func() error { return checkSubmitAnswer(&req, &answer) },
	})
	if err != nil {
		return SubmitAnswer{}, err
	}
	return answer, nil
}

// Status reads the target's status. If ctx's deadline passes and the connection has received
// nothing since the read began, the connection is closed as silent. The error is a *CallError.
func (c *Client) Status(ctx context.Context, target string) (Status, error) {
	var status Status
	c.metrics.statusReads.Inc()
	err := c.do(ctx, statusCall(target, &status))
	if err != nil {
		return Status{}, err
	}
	return status, nil
}
