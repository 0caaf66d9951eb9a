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

// Sink is told what is learned of targets. Its methods may be called at the
// same time and must not block.
type Sink interface {
	// TargetStatus is called after each successful read of a status.
	TargetStatus(target string, status Status, at time.Time)
	// TargetFailed is called after each read of a status that failed.
	TargetFailed(target string, err error, at time.Time)
	// TargetState is called with what the headers of an answer state.
	TargetState(target, incarnation string, state State, at time.Time)
}

// Client calls the leaves of targets. It keeps connections to each target, up
// to this VM's share, and opens them ahead of the calls. It is safe for
// concurrent use.
type Client struct {
	opts      Options
	transport *http.Transport
	metrics   *clientMetrics
	dialSlots chan struct{} // holds a token for each connection being opened
	tomb      tomb.Tomb     // runs the keeper of each pool

	mu           sync.RWMutex // guards what follows; may be held when a pool's mu is taken
	pools        map[string]*pool
	withoutShare map[string]struct{} // endpoints in force of which this VM has no share
	retiredPools []*pool             // retired, but with connections that calls still use
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
	c.tomb.Go(func() error {
		<-c.tomb.Dying()
		return nil
	})
	return c
}

// Apply puts the endpoints in force. Connections to endpoints that are gone, or
// whose address changed, or of which this VM has no share any more, take no new
// calls and close once they are idle.
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

// reuseOrCreatePool returns a pool for an endpoint that is new. If the endpoint was
// taken out a moment ago, as by a recall, calls may still run on connections of
// its old pool. These count against the share, so the old pool goes on. c.mu
// must be held.
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

// Close ends all calls and connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.pools = nil
	c.mu.Unlock()
	c.tomb.Kill(nil)
	_ = c.tomb.Wait() // keepers return no error
}

func (c *Client) pool(target string) *pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.pools[target]
}

// noPoolError returns the error of a target without a pool. Pools are kept for targets
// of which this VM has a share, since a VM owns few of a large deployment's.
func (c *Client) noPoolError(target string) *CallError {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if _, inForce := c.withoutShare[target]; inForce {
		return &CallError{Kind: ErrorBusy, NotStarted: true, cause: errors.New("this VM has no share of connections")}
	}
	return &CallError{Kind: ErrorUnknownTarget, NotStarted: true}
}

// Search asks one leaf for its shard. The request's DeadlineMS is set to the
// time left until ctx ends. The error is a *CallError.
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

// Submit hands a non-idempotent request to one leaf, once. The error is a
// *CallError; unless it says NotStarted, the request may have been run.
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

// Status reads what the target says of itself. The error is a *CallError.
func (c *Client) Status(ctx context.Context, target string) (Status, error) {
	var status Status
	c.metrics.statusReads.Inc()
	err := c.do(ctx, statusCall(target, &status))
	if err != nil {
		return Status{}, err
	}
	return status, nil
}
