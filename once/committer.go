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
	maxSegmentWriters = 16                     // segment writers kept in memory, each with the last known state of its segment
	downThreshold     = 3                      // number of failed store calls in a row after which the platform counts as down
	probeInterval     = 500 * time.Millisecond // time between two claims that are let through while the platform is down

	minBackoff      = 20 * time.Millisecond  // longest wait after the first failed try to read or update a segment; it doubles with each further one
	maxBackoff      = 500 * time.Millisecond // longest wait after any failed try to read or update a segment
	maxBackoffShift = 7                      // largest number of times that minBackoff is doubled, so that the shift cannot overflow
)

// Reasons why the committer did not apply an operation.
var (
	errBusy         = errors.New("too many operations are waiting")     // more operations than Options.MaxPending or MaxPeerPending allows
	errClosed       = errors.New("this VM is stopping")                 // committer.close was called
	errDown         = errors.New("the platform does not answer")        // downThreshold store calls in a row failed
	errClaimTimeout = errors.New("the claim was not confirmed in time") // the claim may be stored all the same
)

// committer applies operations (claims, outcomes and releases of claims) to
// segments, the stored objects that each hold the claims of one second. It uses
// group commit: while one conditional update of a segment is in flight or waits for
// credit, further operations queue up and are sent together in the next update.
type committer struct {
	opts     Options
	log      *slog.Logger
	credit   *credit // this VM's budget of writes to the platform
	counters counters
	tomb     *tomb.Tomb      // stops the goroutines of the segment writers
	ctx      context.Context // canceled when the tomb is killed

	// mu guards the fields below and the queue, running and lastUsed fields of all
	// segment writers. While it is held, no other lock than the tomb's is taken and
	// neither the platform nor another VM is called.
	mu          sync.Mutex
	writers     map[string]*segmentWriter // by segment name
	waiting     int                       // operations whose reply is outstanding: queued, being written or being relayed
	peerWaiting int                       // the part of waiting that other VMs relayed to this one
	closed      bool                      // close was called; new claims and operations of other VMs are rejected
	idle        chan struct{}             // closed once closed is set and waiting is 0
	failures    int                       // failed store calls in a row
	lastProbe   time.Time                 // when a claim was last let through while the platform was down
}

// pending is an operation on a segment that is queued or being written.
type pending struct {
	op       op
	fromPeer bool         // relayed by another VM
	state    atomic.Int32 // stateWaiting, stateDelivered or stateAbandoned
	done     chan reply   // receives at most one reply
	// attempted says that a write with this operation was sent to the platform. The
	// write may have taken effect, or may do so later. Used by the segment writer only.
	attempted bool
	// expectedVersion is the object version on which the last write with this
	// operation was conditional. Used by the segment writer only.
	expectedVersion uint64
}

// The states of a pending operation. stateWaiting is left by compare-and-swap only,
// so that a claim is either delivered or abandoned, never both.
const (
	stateWaiting   int32 = iota // the operation has no reply yet and its caller may still wait
	stateDelivered              // the reply was sent to the caller
	stateAbandoned              // the caller stopped waiting before there was a reply
)

// newCommitter returns a committer. Its credit is that of a fleet of
// defaultFleetSize VMs until SetFleetSize is called.
func newCommitter(opts Options) *committer {
	t, ctx := tomb.WithContext(context.Background())
	c := &committer{
		tomb:     t,
		ctx:      ctx,
		opts:     opts,
		log:      opts.Log,
		credit:   newCredit(opts.FleetWriteRate, opts.FleetWriteRate/defaultFleetSize, time.Now()),
		counters: newCounters(opts.Metrics),
		writers:  make(map[string]*segmentWriter),
		idle:     make(chan struct{}),
	}
	// Keeps the tomb alive while no segment writer runs.
	c.tomb.Go(func() error {
		<-c.tomb.Dying()
		return nil
	})
	return c
}

// abandon queues the release of a claim that this VM no longer waits for and that
// another VM may still add to the segment with the given name. o.barOnRelease must
// be set. For a claim that this VM queued itself, see release.
func (c *committer) abandon(name string, o op) {
	o.kind = opRelease
	c.counters.abandoned.Inc()
	c.commitInBackground(name, o)
}

// submit applies a claim to the segment with the given name and waits for the
// reply. After an error the claim is abandoned: the caller must not hand the
// request to a target, and the committer removes the claim if it was stored. The
// error is errClosed, errBusy, errDown or errClaimTimeout.
func (c *committer) submit(ctx context.Context, name string, o op) (reply, error) {
	p := &pending{op: o, done: make(chan reply, 1)}
	if err := c.admit(name, p); err != nil {
		if o.barOnRelease {
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

// admit queues a claim of one of this VM's own callers. It returns errClosed,
// errBusy or errDown if the claim can't be accepted.
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

// allowAttempt reports whether a claim may be queued. While the platform is down, it
// returns false, so that claims are refused at once instead of after ClaimWait. Only
// one claim per probeInterval is let through, to detect that the platform is back.
// It must be called with mu held.
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

// admitPeer queues operations that another VM relayed, either all or none. They have
// a limit of their own, MaxPeerPending, and are never relayed to a third VM, so that
// VMs cannot block one another in a cycle. The error is errClosed, errBusy or
// errDown.
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

// admitRelayed counts a claim that this VM is about to relay to another VM. untrack
// removes it from the count. It returns errClosed or errBusy, without counting, if
// the claim can't be accepted.
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

// runTracked runs f in a goroutine that counts as an outstanding operation, so that
// close waits for it. It returns false without running f if the committer has
// stopped.
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

// commitInBackground queues a completion or a release of a claim. The operation is
// retried until it succeeds or the committer stops. The channel gets the reply, or
// nothing if the committer stops first.
func (c *committer) commitInBackground(name string, o op) <-chan reply {
	p := &pending{op: o, done: make(chan reply, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(name, p)
	return p.done
}

// enqueue adds an operation to the queue of its segment, and starts the segment's
// writer if it does not run. It must be called with mu held.
func (c *committer) enqueue(name string, p *pending) {
	select {
	case <-c.tomb.Dying():
		return // the committer has stopped and applies no further operations
	default:
	}
	w := c.writers[name]
	if w == nil {
		c.evict()
		w = &segmentWriter{name: name}
		c.writers[name] = w
	}
	w.queue = append(w.queue, p)
	w.lastUsed = time.Now()
	c.waiting++
	if p.fromPeer {
		c.peerWaiting++
	}
	if !w.running {
		w.running = true
		c.tomb.Go(func() error {
			c.runWriter(w)
			return nil
		})
	}
}

// evict makes space for one more segment writer. If maxSegmentWriters are held, it
// drops the least recently used one of those that do not run, with the segment's
// state. While all writers run, it drops none, and their number may exceed
// maxSegmentWriters. It must be called with mu held.
func (c *committer) evict() {
	if len(c.writers) < maxSegmentWriters {
		return
	}
	var oldest *segmentWriter
	for _, w := range c.writers {
		if !w.running && (oldest == nil || w.lastUsed.Before(oldest.lastUsed)) {
			oldest = w
		}
	}
	if oldest != nil {
		delete(c.writers, oldest.name)
	}
}

// takeQueue removes and returns the operations that wait for the writer. If there
// are none and endIfEmpty is set, it marks the writer as not running, and the
// writer's goroutine has to end.
func (c *committer) takeQueue(w *segmentWriter, endIfEmpty bool) []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := w.queue
	w.queue = nil
	if len(batch) == 0 && endIfEmpty {
		w.running = false
	}
	return batch
}

// deliver completes an operation: it sends the reply to the caller, or releases the
// claim if the caller no longer waits.
func (c *committer) deliver(w *segmentWriter, p *pending, rep reply) {
	abandoned := !p.state.CompareAndSwap(stateWaiting, stateDelivered)
	if !abandoned {
		p.done <- rep
	} else if !p.fromPeer && (rep.verdict == verdictDone || p.op.barOnRelease) {
		// The caller got the answer "not run", but the claim was stored
		// (verdictDone), or another VM may still store it (op.barOnRelease). The
		// claim would block the key forever.
		c.release(w, p)
	}
	c.untrack(p.fromPeer)
}

// untrack removes an operation from the count of outstanding operations and, if
// fromPeer is set, from the count of those that other VMs relayed to this one.
func (c *committer) untrack(fromPeer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	if fromPeer {
		c.peerWaiting--
	}
	c.checkIdle()
}

// checkIdle closes the channel idle if close was called and no operations are left.
// It must be called with mu held.
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

// release queues the removal of an abandoned claim of one of this VM's own callers.
// p is the claim as it was queued at w. release must not be used for a claim that
// another VM relayed: that VM may have found the claim by a read of its own, regarded
// it as won and handed the request to a target. If the claim were removed here, a
// later request with the same key would win the key and run again.
func (c *committer) release(w *segmentWriter, p *pending) {
	o := p.op
	o.kind = opRelease
	next := &pending{op: o, done: make(chan reply, 1), attempted: p.attempted, expectedVersion: p.expectedVersion}
	c.counters.abandoned.Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(w.name, next)
}

// recordCall records the result of a store call. Failed calls in a row are counted,
// to detect that the platform is down; see allowAttempt.
func (c *committer) recordCall(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || isPlatformAnswer(err) {
		c.failures = 0
		return
	}
	c.failures++
	c.counters.failures.Inc()
}

// isPlatformAnswer reports whether the error is one that a working platform
// returns.
func isPlatformAnswer(err error) bool {
	for _, known := range []error{objstore.ErrNotFound, objstore.ErrConflict, objstore.ErrTooLarge, objstore.ErrBusy} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// backoff waits after the failed try with the given number, counted from 0. The wait
// is random: at least 1 ms, and at most about minBackoff after try 0. The upper bound
// doubles with each further try up to maxBackoff. backoff returns false if the
// committer stops.
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

// close rejects new claims and operations of other VMs, waits until all operations
// are complete or ctx ends, and stops the segment writers. It returns an error if
// operations are left.
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
	c.tomb.Kill(nil) // with mu held: a goroutine that holds mu and sees the tomb alive may still call tomb.Go
	c.mu.Unlock()
	_ = c.tomb.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting > 0 {
		return errors.Errorf("%d operations on claims were not completed before the VM stopped", c.waiting)
	}
	return nil
}
