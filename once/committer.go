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
	maxSegmentWriters = 16 // segments whose last known state is kept in memory
	downThreshold     = 3  // failed store calls in a row
	probeInterval     = 500 * time.Millisecond
	minBackoff        = 20 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
	maxBackoffShift   = 7
)

var (
	errBusy         = errors.New("too many operations are waiting")
	errClosed       = errors.New("this VM is stopping")
	errDown         = errors.New("the platform does not answer")
	errClaimTimeout = errors.New("the claim was not confirmed in time")
)

// committer carries operations on segments out by group commit: while one
// conditional update of a segment is on its way or waits for its turn, further
// operations gather and go together with the next.
type committer struct {
	opts   Options
	log    *slog.Logger
	credit *credit
	count  counters
	tomb   *tomb.Tomb
	ctx    context.Context // ends when tomb dies

	// mu guards the fields below and the queue, running and used fields of all
	// lanes. No other lock is taken and no call is made while it is held.
	mu          sync.Mutex
	writers     map[string]*segmentWriter
	waiting     int // operations enqueued and not yet delivered, and those being relayed
	peerWaiting int // those of waiting that other VMs relayed to this one
	closed      bool
	idle        chan struct{} // closed once closed is set and waiting is 0
	failures    int           // failed store calls in a row
	lastProbe   time.Time
}

// pending is an operation on its way.
type pending struct {
	op       op
	fromPeer bool         // relayed by another VM
	state    atomic.Int32 // of the waiter; see the constants below
	done     chan reply   // gets at most one reply
	// attempted and expect are the lane's own: whether a write with this operation
	// was sent whose effect is not known, and which version the last one
	// expected.
	attempted       bool
	expectedVersion uint64
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
		tomb:    t,
		ctx:     life,
		opts:    opts,
		log:     opts.Log,
		credit:  newCredit(opts.FleetWriteRate, opts.FleetWriteRate/defaultFleetSize, time.Now()),
		count:   newCounters(opts.Metrics),
		writers: make(map[string]*segmentWriter),
		idle:    make(chan struct{}),
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
	c.commitInBackground(name, o)
}

// submit carries out a claim and waits for the reply. After an error the claim is
// abandoned: the caller must not hand anything over, and the committer removes
// the claim if it landed.
func (c *committer) submit(ctx context.Context, name string, o op) (reply, error) {
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
		return reply{}, errClaimTimeout
	}
	return <-p.done, nil
}

func (c *committer) admit(name string, p *pending) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errClosed
	}
	if c.waiting-c.peerWaiting >= c.opts.MaxPending {
		return errBusy
	}
	if !c.allowAttempt() {
		return errDown
	}
	c.enqueue(name, p)
	return nil
}

// allowAttempt returns false if the platform is down, so that claims are refused at
// once instead of after ClaimWait. One is let through now and then to find out
// when the platform is back. It must be called with mu held.
func (c *committer) allowAttempt() bool {
	if c.failures < downThreshold {
		return true
	}
	if time.Since(c.lastProbe) < probeInterval {
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
	if c.peerWaiting+len(ops) > c.opts.MaxPeerPending {
		return nil, errBusy
	}
	if !c.allowAttempt() {
		return nil, errDown
	}
	list := make([]*pending, len(ops))
	for i, o := range ops {
		list[i] = &pending{op: o, fromPeer: true, done: make(chan reply, 1)}
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
	if c.waiting-c.peerWaiting >= c.opts.MaxPending {
		return errBusy
	}
	c.waiting++
	return nil
}

// runTracked runs f, which close waits for like for an operation. It returns false if
// the committer has stopped.
func (c *committer) runTracked(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.tomb.Dying():
		return false
	default:
	}
	c.waiting++
	c.tomb.Go(func() error {
		defer c.untrack(false)
		f()
		return nil
	})
	return true
}

// commitInBackground carries out a settle or a release for as long as it takes.
func (c *committer) commitInBackground(name string, o op) <-chan reply {
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
	l := c.writers[name]
	if l == nil {
		c.evict()
		l = &segmentWriter{name: name}
		c.writers[name] = l
	}
	l.queue = append(l.queue, p)
	l.lastUsed = time.Now()
	c.waiting++
	if p.fromPeer {
		c.peerWaiting++
	}
	if !l.running {
		l.running = true
		c.tomb.Go(func() error {
			c.runWriter(l)
			return nil
		})
	}
}

// evict makes room for one more lane. It must be called with mu held.
func (c *committer) evict() {
	if len(c.writers) < maxSegmentWriters {
		return
	}
	var oldest *segmentWriter
	for _, l := range c.writers {
		if !l.running && (oldest == nil || l.lastUsed.Before(oldest.lastUsed)) {
			oldest = l
		}
	}
	if oldest != nil {
		delete(c.writers, oldest.name)
	}
}

// takeQueue removes and returns what waits in the lane. With stop set, an empty
// queue ends the lane's goroutine.
func (c *committer) takeQueue(l *segmentWriter, stop bool) []*pending {
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
func (c *committer) deliver(l *segmentWriter, p *pending, rep reply) {
	abandoned := !p.state.CompareAndSwap(stateWaiting, stateDelivered)
	if !abandoned {
		p.done <- rep
	} else if !p.fromPeer && (rep.verdict == verdictDone || p.op.bar) {
		// This claim was won after its request had been told "not run", so that
		// it would block the key for ever.
		c.release(l, p)
	}
	c.untrack(p.fromPeer)
}

// untrack takes an operation off the counts.
func (c *committer) untrack(peer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	if peer {
		c.peerWaiting--
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
func (c *committer) release(l *segmentWriter, p *pending) {
	o := p.op
	o.kind = opRelease
	next := &pending{op: o, done: make(chan reply, 1), attempted: p.attempted, expectedVersion: p.expectedVersion}
	c.count.abandoned.Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(l.name, next)
}

func (c *committer) recordCall(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || isPlatformAnswer(err) {
		c.failures = 0
		return
	}
	c.failures++
	c.count.failures.Inc()
}

// isPlatformAnswer tells errors that a working platform gives.
func isPlatformAnswer(err error) bool {
	for _, known := range []error{objstore.ErrNotFound, objstore.ErrConflict, objstore.ErrTooLarge, objstore.ErrBusy} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// backoff waits before the next try. It returns false if the committer stops.
func (c *committer) backoff(try int) bool {
	ceiling := min(minBackoff<<min(try, maxBackoffShift), maxBackoff)
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
