package leafhttp

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Endpoint is the leaf at an address. Connections are kept for each Endpoint, so that those
// to a former leaf of an address are never used for the next one.
type Endpoint struct {
	Key     string // of this lifetime of the leaf
	Address string // IP and port
	// Transient connections are closed soon after their request. A leaf accepts a number of
	// connections, which idle ones of many VMs would use up.
	Transient bool
}

// transientIdleTimeout is how long a transient connection stays idle. Requests to a leaf that a VM seldom
// asks come in bursts, as after a start of all VMs, and a new connection takes a slot.
const transientIdleTimeout = 500 * time.Millisecond

// limitIdle returns how long a connection may stay idle that the leaf limitIdle for a time.
func (p Endpoint) limitIdle(d time.Duration) time.Duration {
	if p.Transient {
		return min(d, transientIdleTimeout)
	}
	return d
}

// Pool keeps idle connections to leafs. It is safe for concurrent use. How many
// requests a leaf gets at once, and so how many connections, is the caller's to
// bound.
type Pool struct {
	mu   sync.Mutex // guards idle
	idle map[string][]*conn

	dials, reuses, discarded atomic.Uint64
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*conn)} }

// Stats counts connections opened, reused, and thrown away with bytes on them that
// nobody had asked for, or closed by the leaf.
func (p *Pool) Stats() (dials, reuses, dirty uint64) {
	return p.dials.Load(), p.reuses.Load(), p.discarded.Load()
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// errAnswerTooLong is an answer beyond maxAnswer.
var errAnswerTooLong = errors.New("leafhttp: answer too long")

// errMismatchedAnswer is an answer to another request.
var errMismatchedAnswer = errors.New("leafhttp: answer to another request")

// UnreachableError says that nothing of a request was sent.
type UnreachableError struct{ Err error }

// Error implements error.
func (e *UnreachableError) Error() string { return "leafhttp: unreachable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Do sends a request to a leaf and returns its whole answer. Extra headers are added
// to the request's own. An error that is not an UnreachableError says nothing about
// whether the leaf ran the request. Do sends it once only. If ctx ends, the connection
// is closed. An answer that accept refuses belongs to another request: it is an error,
// and the connection is closed.
func (p *Pool) Do(ctx context.Context, leaf Endpoint, req *Request, extra http.Header, accept func(*Answer) bool) (*Answer, error) {
	c, err := p.get(ctx, leaf)
	if err != nil {
		return nil, &UnreachableError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() {
		// Reads and writes in progress end at once.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	ans, keep, err := roundTrip(c, req, extra)
	if err == nil && !accept(ans) {
		ans, err = nil, errMismatchedAnswer
	}
	if !stop() || err != nil || keep <= 0 {
		_ = c.Close()
		return ans, err
	}
	p.put(leaf, c, leaf.limitIdle(keep))
	return ans, nil
}

// concurrentWriteSize is the size from which a body is written beside reading: a leaf may answer
// before it has read all of it, and small windows would keep the writer waiting.
const concurrentWriteSize = 8 << 10

// roundTrip sends a request and reads its answer. keep is how long the connection may
// be kept.
func roundTrip(c *conn, req *Request, extra http.Header) (ans *Answer, keep time.Duration, err error) {
	head := req.head(extra)
	written := make(chan error, 1)
	if len(req.Body) < concurrentWriteSize {
		if _, err := c.Write(append(head, req.Body...)); err != nil {
			return nil, 0, err
		}
		written <- nil
	} else {
		go func() {
			_, err := c.Write(append(head, req.Body...))
			written <- err
		}()
	}
	ans, resp, err := readAnswer(c, req.Method)
	if err != nil {
		return nil, 0, err
	}
	select {
	case err := <-written:
		if err != nil {
			return ans, 0, nil
		}
	default:
		// Answered before the body was sent. The leaf reads the rest later, so the
		// next request on this connection would be taken for it.
		return ans, 0, nil
	}
	return ans, idleTimeoutAfter(resp), nil
}

func (p *Pool) get(ctx context.Context, leaf Endpoint) (*conn, error) {
	for {
		c := p.pop(leaf)
		if c == nil {
			break
		}
		if time.Now().Before(c.reusableUntil) && c.reusable() {
			p.reuses.Add(1)
			return c, nil
		}
		p.discarded.Add(1)
		_ = c.Close()
	}
	p.dials.Add(1)
	return dial(ctx, leaf.Address)
}

// pop takes the connection that was used last: it is the least likely to have been
// closed or forgotten meanwhile.
func (p *Pool) pop(leaf Endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[leaf.Key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[leaf.Key] = list[:len(list)-1]
	return c
}

func (p *Pool) put(leaf Endpoint, c *conn, keep time.Duration) {
	c.reusableUntil = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[leaf.Key] = append(p.idle[leaf.Key], c)
}

// Warm opens a connection to a leaf that has no idle one.
func (p *Pool) Warm(ctx context.Context, leaf Endpoint) error {
	if c := p.pop(leaf); c != nil {
		if time.Now().Before(c.reusableUntil) && c.reusable() {
			p.put(leaf, c, time.Until(c.reusableUntil))
			return nil
		}
		p.discarded.Add(1)
		_ = c.Close()
	}
	p.dials.Add(1)
	c, err := dial(ctx, leaf.Address)
	if err != nil {
		return err
	}
	p.put(leaf, c, leaf.limitIdle(defaultIdleTimeout))
	return nil
}

// CloseIdle closes the idle connections to a leaf that is gone.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	list := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes connections whose time is over.
func (p *Pool) CloseExpired(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.reusableUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}
