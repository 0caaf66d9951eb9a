package leafhttp

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Endpoint is one incarnation of a leaf and its address. Idle connections are kept by
// Key, so that a connection to an earlier leaf at an address is never used for the next
// leaf there.
type Endpoint struct {
	Key     string // identifies the leaf's incarnation
	Address string // IP and port
	// Transient means that connections are closed soon after their request. A leaf accepts
	// a limited number of connections, which idle ones of many VMs would use up.
	Transient bool
}

// transientIdleTimeout is how long a transient connection may stay idle. Requests to a leaf
// that a VM rarely uses come in bursts, as after a start of all VMs, and each new connection
// takes a slot of the leaf.
const transientIdleTimeout = 500 * time.Millisecond

// limitIdle returns how long a connection to the endpoint may stay idle if the leaf
// allows d. This is less than d only for a transient connection.
func (e Endpoint) limitIdle(d time.Duration) time.Duration {
	if e.Transient {
		return min(d, transientIdleTimeout)
	}
	return d
}

// Pool keeps idle connections to leafs. It is safe for concurrent use. It does not limit
// the number of concurrent requests to a leaf, and thereby the number of its connections:
// the code that calls Do must limit them.
type Pool struct {
	mu   sync.Mutex         // guards idle and surplusAt
	idle map[string][]*conn // by Endpoint.Key; the most recently used one is last
	// surplusAt is when a leaf last sent bytes that no request waits for, by Endpoint.Key, if it did.
	surplusAt map[string]time.Time

	dials, reuses, discarded atomic.Uint64 // numbers of connections dialled, reused, and discarded before reuse; see Stats
	// repeats and extraAnswers are the numbers of connections that were replaced for a request sent
	// again, and of answers to other requests that were dropped; see AnswerStats.
	repeats, extraAnswers atomic.Uint64
	longBodies            longBodies
	onSurplus             func(key string)              // see OnSurplus
	tooLong               [len(partNames)]atomic.Uint64 // by Part: numbers of answers that exceeded its bound; see TooLong
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*conn), surplusAt: make(map[string]time.Time), onSurplus: func(string) {}}
}

// OnSurplus sets a function that is called with the Endpoint.Key of a leaf which has sent bytes that no
// request waits for, once for each connection, which is closed. It must be set before the pool is used.
func (p *Pool) OnSurplus(f func(key string)) { p.onSurplus = f }

// LimitLongBodies lowers the bound of the long bodies of all answers that are read at the same time to so many
// bytes, but not below the longest body. It must be called before the pool is used.
func (p *Pool) LimitLongBodies(bytes int64) {
	p.longBodies.limit = min(max(bytes, 2*maxAnswerBytes), maxLongBodies)
}

// Stats returns how many connections were dialled (failed dials included), how many were
// reused, and how many were discarded while they were idle: they had expired when they were about
// to be reused, had unexpected bytes to read, or had been closed by the leaf.
func (p *Pool) Stats() (dials, reuses, discarded uint64) {
	return p.dials.Load(), p.reuses.Load(), p.discarded.Load()
}

// AnswerStats returns how many connections were closed and replaced since a request was sent again on
// which an answer to it may still have come, and how many answers to other requests were dropped.
func (p *Pool) AnswerStats() (replaced, dropped uint64) {
	return p.repeats.Load(), p.extraAnswers.Load()
}

// TooLong returns how many answers exceeded the bound of a part.
func (p *Pool) TooLong(part Part) uint64 { return p.tooLong[part].Load() }

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

// errMismatchedAnswer reports an answer that belongs to another request.
var errMismatchedAnswer = errors.New("leafhttp: answer to another request")

// UnreachableError reports that no connection to a leaf could be opened. Nothing of the
// request was sent, so the leaf did not run it.
type UnreachableError struct{ Err error }

// Error implements error.
func (e *UnreachableError) Error() string { return "leafhttp: unreachable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Reading says what an answer means for the request that waits for it.
type Reading struct {
	ID string // id of the request that the answer states, empty if it states none
	// Last is true if the request is not sent to this leaf again. Otherwise the next send takes
	// another connection: a late copy of this answer would state the same id.
	Last bool
}

// Do sends a request to a leaf, once only, and returns the whole answer. id is the one that leafs
// repeat in their answers, and the extra headers are added to the request's own. After an error other
// than an UnreachableError the leaf may or may not have run the request. If ctx ends, reads and writes
// in progress fail and the connection is closed. read is called for each answer on the connection. Do
// drops an answer to another request, reads on, and closes the connection after the request's own.
func (p *Pool) Do(ctx context.Context, leaf Endpoint, req *Request, id string, extra http.Header, read func(*Answer) Reading) (*Answer, error) {
	c, err := p.get(ctx, leaf, id)
	if err != nil {
		return nil, &UnreachableError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() {
		// Makes reads and writes in progress fail at once.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	ans, idleTimeout, err := p.roundTrip(c, req, id, extra, read)
	surplus := err == nil && idleTimeout > 0 && c.reader.Buffered() > 0
	if surplus {
		p.recordSurplus(leaf.Key)
	}
	if !stop() || err != nil || idleTimeout <= 0 || surplus || !p.putAfterAnswer(leaf, c, leaf.limitIdle(idleTimeout)) {
		_ = c.Close()
	}
	return ans, err
}

// concurrentWriteSize is the body size, in bytes, from which a request is written while
// its answer is being read. A leaf may answer before it has read the whole body. With a
// small TCP window, a write that precedes the reading would block until the leaf has read
// the rest.
const concurrentWriteSize = 8 << 10

// roundTrip sends a request, with the extra headers, and reads its answer. idleTimeout is
// how long the connection may stay idle afterwards; 0 means that it can't be reused.
func (p *Pool) roundTrip(c *conn, req *Request, id string, extra http.Header, read func(*Answer) Reading) (ans *Answer, idleTimeout time.Duration, err error) {
	head := req.head(extra)
	var written chan error // receives the result of a write that goes on while the answer is read
	var writtenAt time.Time
	if len(req.Body) < concurrentWriteSize {
		if _, err := c.Write(append(head, req.Body...)); err != nil {
			return nil, 0, err
		}
		writtenAt = time.Now()
	} else {
		written = make(chan error, 1)
		go func() {
			// The attempts of a gathered request share its body.
			_, err := c.Write(head)
			if err == nil {
				_, err = c.Write(req.Body)
			}
			written <- err
		}()
	}
	ans, idleTimeout, err = p.readOwnAnswer(c, req.Method, id, read)
	if err != nil {
		return nil, 0, err
	}
	ans.WrittenAt, ans.ReadAt = writtenAt, time.Now()
	if written == nil {
		return ans, idleTimeout, nil
	}
	select {
	case err := <-written:
		if err != nil {
			return ans, 0, nil
		}
	default:
		// The leaf answered before the whole body was sent. It still expects the
		// rest of the body, so it would read the next request as part of it.
		return ans, 0, nil
	}
	return ans, idleTimeout, nil
}

// maxDroppedAnswers bounds the answers to other requests that are read before the own one.
const maxDroppedAnswers = 3

// readOwnAnswer reads answers until that to the request with the given id.
func (p *Pool) readOwnAnswer(c *conn, method, id string, read func(*Answer) Reading) (*Answer, time.Duration, error) {
	for dropped := 0; ; dropped++ {
		ans, resp, err := p.readAnswer(c, method)
		if err != nil {
			return nil, 0, err
		}
		reading := read(ans)
		idleTimeout := idleTimeoutAfter(resp)
		switch {
		case c.belongsTo(id, reading.ID):
			c.record(id, reading)
			if dropped > 0 || c.worn() {
				idleTimeout = 0
			}
			return ans, idleTimeout, nil
		case reading.ID == "" || dropped == maxDroppedAnswers || idleTimeout <= 0:
			// Which request it answers is not known, or the own answer does not follow.
			return nil, 0, errMismatchedAnswer
		}
		p.extraAnswers.Add(1)
	}
}

// get returns an idle connection that can be reused for the request with the given id, or a new one.
func (p *Pool) get(ctx context.Context, leaf Endpoint, id string) (*conn, error) {
	for {
		c, usable := p.pop(leaf, id)
		if c == nil {
			break
		}
		if !usable {
			// The leaf limits its connections, so a new one takes the place of this one.
			p.repeats.Add(1)
			_ = c.Close()
			break
		}
		if time.Now().Before(c.reusableUntil) && p.checkIdle(leaf.Key, c) {
			p.reuses.Add(1)
			return c, nil
		}
		p.discarded.Add(1)
		_ = c.Close()
	}
	p.dials.Add(1)
	return dial(ctx, leaf.Address)
}

// surplusMemory is how long no connection to a leaf is kept for another request after the leaf has sent bytes that
// no request waits for. More of them may come just after the next request was sent, which would be lost.
const surplusMemory = time.Second

// recordSurplus records that a leaf has sent bytes that no request waits for.
func (p *Pool) recordSurplus(key string) {
	p.mu.Lock()
	p.surplusAt[key] = time.Now()
	p.mu.Unlock()
	p.onSurplus(key)
}

// checkIdle reports whether an idle connection to the leaf with that key can be reused.
func (p *Pool) checkIdle(key string, c *conn) bool {
	state := c.state()
	if state == connSurplus {
		p.recordSurplus(key)
	}
	return state == connClean
}

// pop removes and returns the idle connection that was used last, or nil. That one is
// the least likely to have been closed by the leaf or dropped by the network meanwhile. Connections on
// which an answer to the request with the given id may still come are passed over. If there are no
// others, pop returns one of these, and usable is false.
func (p *Pool) pop(leaf Endpoint, id string) (c *conn, usable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[leaf.Key]
	if len(list) == 0 {
		return nil, false
	}
	i := len(list) - 1
	for i > 0 && list[i].mayRepeat(id) {
		i--
	}
	c = list[i]
	p.idle[leaf.Key] = slices.Delete(list, i, i+1)
	return c, !c.mayRepeat(id)
}

// put keeps an idle connection for at most idleTimeout.
func (p *Pool) put(leaf Endpoint, c *conn, idleTimeout time.Duration) {
	c.reusableUntil = time.Now().Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[leaf.Key] = append(p.idle[leaf.Key], c)
}

// putAfterAnswer is put for a connection that has carried an answer. It keeps none, and returns false, if the leaf
// has lately sent bytes that no request waits for.
func (p *Pool) putAfterAnswer(leaf Endpoint, c *conn, idleTimeout time.Duration) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, known := p.surplusAt[leaf.Key]; known && now.Sub(at) < surplusMemory {
		return false
	}
	c.reusableUntil = now.Add(idleTimeout)
	p.idle[leaf.Key] = append(p.idle[leaf.Key], c)
	return true
}

// Warm makes sure that a leaf has an idle connection, and opens one if needed.
func (p *Pool) Warm(ctx context.Context, leaf Endpoint) error {
	if c, _ := p.pop(leaf, ""); c != nil {
		if time.Now().Before(c.reusableUntil) && p.checkIdle(leaf.Key, c) {
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

// CloseIdle closes the idle connections to the leaf whose Endpoint.Key is key. It is for a
// leaf that was removed or does not answer.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	list := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes connections that have been idle for longer than allowed, and those on which the
// leaf has sent what no request waits for, or which it has closed. Such a leaf may go on sending until then.
func (p *Pool) CloseExpired(now time.Time) {
	var unusable []*conn
	var surplus []string // keys of leafs
	p.mu.Lock()
	for key, list := range p.idle {
		open := list[:0]
		for _, c := range list {
			if !now.Before(c.reusableUntil) {
				unusable = append(unusable, c)
				continue
			}
			switch c.state() {
			case connClean:
				open = append(open, c)
				continue
			case connSurplus:
				surplus = append(surplus, key)
			}
			p.discarded.Add(1)
			unusable = append(unusable, c)
		}
		if p.idle[key] = open; len(open) == 0 {
			delete(p.idle, key)
		}
	}
	for key, at := range p.surplusAt {
		if now.Sub(at) >= surplusMemory {
			delete(p.surplusAt, key)
		}
	}
	p.mu.Unlock()
	for _, c := range unusable {
		_ = c.Close()
	}
	for _, key := range surplus {
		p.recordSurplus(key)
	}
}
