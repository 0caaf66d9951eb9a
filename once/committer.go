package once

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/juju/errors"
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
	log   *slog.Logger
	pace  *credit
	count counters
	tomb  *tomb.Tomb
	life  context.Context // ends when tomb dies

	// mu guards the fields below and the queue, running and used fields of all
	// lanes. No other lock is taken and no call is made while it is held.
	mu        sync.Mutex
	lanes     map[string]*lane
	waiting   int // operations enqueued and not yet delivered, and those being relayed
	fromPeers int // those of waiting that other VMs relayed to this one
	closed    bool
	idle      chan struct{} // closed once closed is set and waiting is 0
	failures  int           // failed store calls in a row
	lastProbe time.Time
}

// pending is an operation on its way.
type pending struct {
	op    op
	peer  bool         // relayed by another VM
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
		pace:  newCredit(opts.FleetWrites, opts.FleetWrites/defaultFleet, time.Now()),
		count: newCounters(opts.Metrics),
		lanes: make(map[string]*lane),
		idle:  make(chan struct{}),
	}
	// Keeps the tomb alive between lanes.
	c.tomb.Go(func() error {
		<-c.tomb.Dying()
		return nil
	})
	return c
}

// abandon queues the removal of a claim that this VM no longer waits for and
// another VM may enter.
func (c *committer) abandon(name string, o op) {
	o.kind = opRelease
	c.count.abandoned.Inc()
	c.background(name, o)
}

// do carries out a claim and waits for the reply. After an error the claim is
// abandoned: the caller must not hand anything over, and the committer removes
// the claim if it landed.
func (c *committer) do(ctx context.Context, name string, o op) (reply, error) {
	p := &pending{op: o, done: make(chan reply, 1)}
	if err := c.admit(name, p); err != nil {
		if o.bar {
			c.abandon(name, o)
		}
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
	if c.waiting-c.fromPeers >= c.opts.MaxPending {
		return errBusy
	}
	if !c.mayTry() {
		return errDown
	}
	c.enqueue(name, p)
	return nil
}

// mayTry returns false if the platform is down, so that claims are refused at
// once instead of after ClaimWait. One is let through now and then to find out
// when the platform is back. It must be called with mu held.
func (c *committer) mayTry() bool {
	if c.failures < downAfter {
		return true
	}
	if time.Since(c.lastProbe) < probeEvery {
		return false
	}
	c.lastProbe = time.Now()
	return true
}

// admitPeer takes operations that another VM relayed, all or none. Their bound
// is apart from that of callers' work, and they never go to a third VM, so that
// VMs can't block one another in a circle.
func (c *committer) admitPeer(name string, ops []op) ([]*pending, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errClosed
	}
	if c.fromPeers+len(ops) > c.opts.MaxFromPeers {
		return nil, errBusy
	}
	if !c.mayTry() {
		return nil, errDown
	}
	list := make([]*pending, len(ops))
	for i, o := range ops {
		list[i] = &pending{op: o, peer: true, done: make(chan reply, 1)}
		c.enqueue(name, list[i])
	}
	return list, nil
}

// admitRelayed counts in a claim that is being relayed; retire counts it out.
func (c *committer) admitRelayed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errClosed
	}
	if c.waiting-c.fromPeers >= c.opts.MaxPending {
		return errBusy
	}
	c.waiting++
	return nil
}

// aside runs f, which close waits for like for an operation. It returns false if
// the committer has stopped.
func (c *committer) aside(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.tomb.Dying():
		return false
	default:
	}
	c.waiting++
	c.tomb.Go(func() error {
		defer c.retire(false)
		f()
		return nil
	})
	return true
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
	if p.peer {
		c.fromPeers++
	}
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
	} else if !p.peer && (rep.verdict == verdictDone || p.op.bar) {
		// This claim was won after its request had been told "not run", so that
		// it would block the key for ever.
		c.release(l, p)
	}
	c.retire(p.peer)
}

// retire takes an operation off the counts.
func (c *committer) retire(peer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	if peer {
		c.fromPeers--
	}
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

// release queues the removal of an abandoned claim of this VM's own. One that
// another VM relayed must stay: that VM may have found it by a read of its own,
// taken it for won and handed the request over. Were it removed here, a second
// sending would win the key and run the request again.
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
	for _, known := range []error{objstore.ErrNotFound, objstore.ErrConflict, objstore.ErrTooLarge, objstore.ErrBusy} {
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
	c.mu.Lock()
	c.tomb.Kill(nil) // under mu: who sees the tomb alive may still start a goroutine
	c.mu.Unlock()
	_ = c.tomb.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting > 0 {
		return errors.Errorf("%d claims keep no outcome", c.waiting)
	}
	return nil
}
