package once

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleybarrow/bramleybarrow/platform"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"
)

const (
	maxLanes       = 16 // segments whose last known state is kept in memory
	downAfter      = 3  // failed store calls in a row
	probeEvery     = 500 * time.Millisecond
	firstBackoff   = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	maxBackoffStep = 7
)

var (
	errBusy   = errors.New("too many operations are waiting")
	errClosed = errors.New("this VM is stopping")
	errDown   = errors.New("the platform does not answer")
	errGaveUp = errors.New("the claim was not confirmed in time")
)

// committer carries operations on segments out by group commit: while one
// conditional update of a segment is on its way or waits for its turn, further
// operations gather and go together with the next.
type committer struct {
	opts  Options
	log   hclog.Logger
	pace  *rate.Limiter
	count counters
	tomb  *tomb.Tomb
	life  context.Context // ends when tomb dies

	// mu guards the fields below and the queue, running and used fields of all
	// lanes. No other lock is taken and no call is made while it is held.
	mu        sync.Mutex
	lanes     map[string]*lane
	waiting   int // operations enqueued and not yet delivered
	closed    bool
	idle      chan struct{} // closed once closed is set and waiting is 0
	failures  int           // failed store calls in a row
	lastProbe time.Time
}

// pending is an operation on its way.
type pending struct {
	op    op
	state atomic.Int32 // of the waiter; see the constants below
	done  chan reply   // gets at most one reply
	// tried and expect are the lane's own: whether a write with this operation
	// was sent whose effect is not known, and which version the last one
	// expected.
	tried  bool
	expect uint64
}

// The states of a waiter. Both ends leave stateWaiting by compare-and-swap, so
// that a claim is either delivered or abandoned, never both.
const (
	stateWaiting int32 = iota
	stateDelivered
	stateAbandoned
)

func newCommitter(opts Options) *committer {
	t, life := tomb.WithContext(context.Background())
	c := &committer{
		tomb:  t,
		life:  life,
		opts:  opts,
		log:   opts.Log,
		pace:  rate.NewLimiter(0, 1),
		count: newCounters(opts.Metrics),
		lanes: make(map[string]*lane),
		idle:  make(chan struct{}),
	}
	c.setShare(opts.FleetWrites / defaultFleet)
	// Keeps the tomb alive between lanes.
	c.tomb.Go(func() error {
		<-c.tomb.Dying()
		return nil
	})
	return c
}

// setShare sets the writes per second of this VM. It may save up those of one
// second.
func (c *committer) setShare(writes float64) {
	c.pace.SetLimit(rate.Limit(writes))
	c.pace.SetBurst(max(1, int(writes)))
}

// do carries out a claim and waits for the reply. After an error the claim is
// abandoned: the caller must not hand anything over, and the committer removes
// the claim if it landed.
func (c *committer) do(ctx context.Context, name string, o op) (reply, error) {
	p := &pending{op: o, done: make(chan reply, 1)}
	if err := c.admit(name, p); err != nil {
		return reply{}, err
	}
	select {
	case rep := <-p.done:
		return rep, nil
	case <-ctx.Done():
	case <-c.tomb.Dying():
	}
	if p.state.CompareAndSwap(stateWaiting, stateAbandoned) {
		return reply{}, errGaveUp
	}
	return <-p.done, nil
}

func (c *committer) admit(name string, p *pending) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errClosed
	}
	if c.waiting >= c.opts.MaxPending {
		return errBusy
	}
	if c.failures >= downAfter {
		// The platform is down: refuse at once instead of after ClaimWait, but
		// let one claim through now and then to find out when it is back.
		if time.Since(c.lastProbe) < probeEvery {
			return errDown
		}
		c.lastProbe = time.Now()
	}
	c.enqueue(name, p)
	return nil
}

// background carries out a settle or a release for as long as it takes.
func (c *committer) background(name string, o op) <-chan reply {
	p := &pending{op: o, done: make(chan reply, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(name, p)
	return p.done
}

// enqueue must be called with mu held.
func (c *committer) enqueue(name string, p *pending) {
	select {
	case <-c.tomb.Dying():
		return // stopped without its outcomes; close has said so
	default:
	}
	l := c.lanes[name]
	if l == nil {
		c.evict()
		l = &lane{name: name}
		c.lanes[name] = l
	}
	l.queue = append(l.queue, p)
	l.used = time.Now()
	c.waiting++
	if !l.running {
		l.running = true
		c.tomb.Go(func() error {
			c.runLane(l)
			return nil
		})
	}
}

// evict makes room for one more lane. It must be called with mu held.
func (c *committer) evict() {
	if len(c.lanes) < maxLanes {
		return
	}
	var oldest *lane
	for _, l := range c.lanes {
		if !l.running && (oldest == nil || l.used.Before(oldest.used)) {
			oldest = l
		}
	}
	if oldest != nil {
		delete(c.lanes, oldest.name)
	}
}

// take removes and returns what waits in the lane. With stop set, an empty
// queue ends the lane's goroutine.
func (c *committer) take(l *lane, stop bool) []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := l.queue
	l.queue = nil
	if len(batch) == 0 && stop {
		l.running = false
	}
	return batch
}

// deliver ends an operation.
func (c *committer) deliver(l *lane, p *pending, rep reply) {
	abandoned := !p.state.CompareAndSwap(stateWaiting, stateDelivered)
	if !abandoned {
		p.done <- rep
	} else if rep.verdict == verdictDone {
		// Only claims are abandoned. This one was won after its request had been
		// told "not run", so that it would block the key for ever.
		c.release(l, p)
	}
	c.retire(1)
}

// retire takes n operations off the count.
func (c *committer) retire(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting -= n
	c.checkIdle()
}

// checkIdle must be called with mu held.
func (c *committer) checkIdle() {
	if !c.closed || c.waiting > 0 {
		return
	}
	select {
	case <-c.idle:
	default:
		close(c.idle)
	}
}

// release queues the removal of an abandoned claim.
func (c *committer) release(l *lane, p *pending) {
	o := p.op
	o.kind = opRelease
	next := &pending{op: o, done: make(chan reply, 1), tried: p.tried, expect: p.expect}
	c.count.abandoned.Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(l.name, next)
}

func (c *committer) noteCall(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || answered(err) {
		c.failures = 0
		return
	}
	c.failures++
	c.count.failures.Inc()
}

// answered tells errors that a working platform gives.
func answered(err error) bool {
	for _, known := range []error{platform.ErrNotFound, platform.ErrConflict, platform.ErrTooLarge, platform.ErrBusy} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// backoff waits before the next try. It returns false if the committer stops.
func (c *committer) backoff(try int) bool {
	ceiling := min(firstBackoff<<min(try, maxBackoffStep), maxBackoff)
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(ceiling))) + time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.tomb.Dying():
		return false
	}
}

// close waits for all operations or for ctx, and stops the lanes.
func (c *committer) close(ctx context.Context) error {
	c.mu.Lock()
	c.closed = true
	c.checkIdle()
	c.mu.Unlock()
	select {
	case <-c.idle:
	case <-ctx.Done():
	}
	c.tomb.Kill(nil)
	_ = c.tomb.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting > 0 {
		return errors.Errorf("%d claims keep no outcome", c.waiting)
	}
	return nil
}
