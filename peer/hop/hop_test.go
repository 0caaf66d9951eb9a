package hop

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/target"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// testLimit bounds each wait of a test.
const testLimit = 20 * time.Second

// fakeLeaves answers immediately, with these exceptions: leaf 7 answers after release
// is closed, leaf 8 refuses as cold, and leaf 9 waits until the call's context ends.
type fakeLeaves struct {
	started, cancelled atomic.Int64  // numbers of searches and status reads that began, and of searches of leaf 9 whose context ended
	mismatch           atomic.Bool   // answers have the echo of another attempt
	release            chan struct{} // closed to answer the calls of leaf 7
}

// Search answers depending on the number of the leaf; see fakeLeaves. Records of an answer
// is the time in milliseconds that the request had left, so that tests can check it.
func (f *fakeLeaves) Search(ctx context.Context, name string, leaf int, req target.LeafRequest) (target.LeafAnswer, error) {
	f.started.Add(1)
	switch {
	case leaf == 9:
		<-ctx.Done()
		f.cancelled.Add(1)
		return target.LeafAnswer{}, &target.CallError{Kind: target.ErrorCancelled, Target: name}
	case leaf == 7:
		<-f.release
	case leaf == 8:
		return target.LeafAnswer{}, &target.CallError{
			Kind: target.ErrorRefused, Reason: target.ReasonCold, NotStarted: true, RetryAfter: time.Second, Incarnation: "i",
		}
	}
	echo := req.Echo
	if f.mismatch.Load() {
		echo.Attempt++
	}
	return target.LeafAnswer{Echo: echo, Records: req.DeadlineMS, Complete: true}, nil
}

// Submit answers with the request's echo and key.
func (f *fakeLeaves) Submit(_ context.Context, _ string, _ int, req target.SubmitRequest) (target.SubmitAnswer, error) {
	return target.SubmitAnswer{Echo: req.Echo, Key: req.Key}, nil
}

// Status returns the status of incarnation "i" and counts the read in started.
func (f *fakeLeaves) Status(_ context.Context, name string) (target.Status, error) {
	f.started.Add(1)
	return target.Status{Target: name, Incarnation: "i"}, nil
}

// testPair is a caller connected to an owner of the target "owned" with 2 slots per
// leaf.
type testPair struct {
	*WithT
	leaves   *fakeLeaves
	owner    *Owner
	server   *wire.Server
	caller   *Caller
	counters *wire.Counters
}

// newPair returns a connected caller and owner. The owner accepts at most maxCalls calls of
// other VMs at once, or the default number if maxCalls is 0.
func newPair(t *testing.T, maxCalls int) *testPair {
	return newMixedPair(t, maxCalls, wire.Version, wire.Version)
}

// newMixedPair is newPair with the newest protocol version that each end speaks.
func newMixedPair(t *testing.T, maxCalls, ownerVersion, callerVersion int) *testPair {
	p := &testPair{WithT: NewWithT(t), leaves: &fakeLeaves{release: make(chan struct{})}, counters: &wire.Counters{}}
	p.owner = NewOwner(OwnerOptions{
		Leaves:   p.leaves,
		Slots:    func(name string, leaf int) (int, bool) { return 2, name == "owned" },
		MaxCalls: maxCalls,
	})
	o := wire.Options{
		Self: wire.Identity{Deployment: "d", VM: "owner", Incarnation: "1"},
		Keys: [][]byte{bytes.Repeat([]byte("k"), wire.MinKeyBytes)}, Handler: p.owner.Handle,
		MaxVersion: ownerVersion,
	}
	var err error
	p.server, err = wire.Listen("127.0.0.1:0", o, &wire.Counters{}, func(c *wire.Conn) { c.Serve() })
	p.Expect(err).NotTo(HaveOccurred())
	o.Self.VM, o.MaxVersion = "caller", callerVersion
	p.caller, err = Dial(context.Background(), p.server.Addr().String(), o, p.counters)
	p.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		p.caller.Close()
		p.server.Stop()
		goleak.VerifyNone(t)
	})
	return p
}

// request returns a search of a shard. All searches have the same request id, attempt and
// snapshot, and no deadline yet.
func request(shard int) target.LeafRequest {
	return target.LeafRequest{Echo: target.Echo{Request: "r", Attempt: 1, Shard: shard, Snapshot: "s"}}
}

// search searches a leaf of the named target through the owner and returns the error.
func (p *testPair) search(ctx context.Context, name string, leaf int) error {
	_, err := p.caller.Search(ctx, name, leaf, request(leaf))
	return err
}

// callError returns err as a *target.CallError, or nil if it isn't one.
func callError(err error) *target.CallError {
	var call *target.CallError
	errors.As(err, &call)
	return call
}

// TestFanOutIsBatched: a query calls many leaves through one owner. Each call must get
// its own answer and not that of another call of the same message, and the calls must be
// sent in far fewer messages than there are calls.
func TestFanOutIsBatched(t *testing.T) {
	p := newPair(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	const calls = 200
	before := p.counters.Writes.Load()
	var wg sync.WaitGroup
	failures := make(chan error, calls)
	for shard := range calls {
		wg.Go(func() {
			a, err := p.caller.Search(ctx, "owned", 10+shard, request(shard))
			if err != nil || a.Shard != shard || a.Records > testLimit.Milliseconds() || a.Records <= 0 {
				failures <- fmt.Errorf("shard %d: %+v, %w", shard, a, err)
			}
		})
	}
	wg.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	p.Expect(p.counters.Writes.Load() - before).To(BeNumerically("<", calls/4))
	_, err := p.caller.Submit(ctx, "owned", 1, target.SubmitRequest{Key: "k"})
	p.Expect(err).NotTo(HaveOccurred())
}

// TestFailuresReachCallerUnchanged: a failure reported by the target, or by an owner that
// didn't call the target, must reach the caller unchanged. A customer's request is
// answered as not run only if NotStarted is set.
func TestFailuresReachCallerUnchanged(t *testing.T) {
	p := newPair(t, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	p.Expect(callError(p.search(ctx, "owned", 8))).To(And(
		HaveField("Kind", target.ErrorRefused), HaveField("Reason", target.ReasonCold), HaveField("NotStarted", true),
		HaveField("RetryAfter", time.Second), HaveField("Incarnation", "i")))
	p.Expect(callError(p.search(ctx, "stranger", 1))).To(And(
		HaveField("Kind", target.ErrorUnknownTarget), HaveField("NotStarted", true)))
	// This owner accepts one call from other VMs at a time.
	result := make(chan error, 1)
	go func() { result <- p.search(ctx, "owned", 9) }()
	p.Eventually(p.leaves.started.Load).WithTimeout(testLimit).Should(BeNumerically("==", 2))
	p.Expect(callError(p.search(ctx, "owned", 1))).To(And(
		HaveField("Kind", target.ErrorBusy), HaveField("NotStarted", true)))
	cancel()
	p.Expect(callError(<-result)).To(HaveField("NotStarted", false))
}

// TestCancellationReachesTarget: one of two hedged calls is answered and the other is
// cancelled. The owner must cancel its call to the target, or the call keeps its slot.
func TestCancellationReachesTarget(t *testing.T) {
	p := newPair(t, 0)
	ctx, cancel := context.WithCancel(context.Background())
	result := p.startCall(ctx, 9)
	cancel()
	p.Expect(callError(<-result)).To(HaveField("Kind", target.ErrorCancelled))
	p.Eventually(p.leaves.cancelled.Load).WithTimeout(testLimit).Should(BeNumerically("==", 1))
}

// startCall makes the pair's first call and returns once the owner's target has
// received it.
func (p *testPair) startCall(ctx context.Context, leaf int) <-chan error {
	result := make(chan error, 1)
	go func() { result <- p.search(ctx, "owned", leaf) }()
	p.Eventually(p.leaves.started.Load).WithTimeout(testLimit).Should(BeNumerically("==", 1))
	return result
}

// TestOwnerStopsDuringCall: the owner stops while a call is in flight. The call must
// fail immediately and must not be reported as not started. A call made afterwards
// must be reported as not started.
func TestOwnerStopsDuringCall(t *testing.T) {
	p := newPair(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	result := p.startCall(ctx, 9)
	p.server.Stop()
	p.Expect(callError(<-result)).To(And(HaveField("Kind", target.ErrorBroken), HaveField("NotStarted", false)))
	p.Eventually(func() *target.CallError { return callError(p.search(ctx, "owned", 1)) }).
		WithTimeout(testLimit).Should(And(HaveField("Kind", target.ErrorUnreachable), HaveField("NotStarted", true)))
}

// TestStatusReadsAreShared: many VMs read a target's status through its owner. Without
// the owner's cache, the target would be queried once for each VM.
func TestStatusReadsAreShared(t *testing.T) {
	p := newPair(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	var wg sync.WaitGroup
	var wrong atomic.Int64
	for range 50 {
		wg.Go(func() {
			if status, err := p.caller.Status(ctx, "owned"); err != nil || status.Incarnation != "i" {
				wrong.Add(1)
			}
		})
	}
	wg.Wait()
	p.Expect(wrong.Load()).To(BeZero())
	p.Expect(p.leaves.started.Load()).To(BeNumerically("<", 25))
	_, err := p.caller.Status(ctx, "stranger")
	p.Expect(callError(err)).To(HaveField("NotStarted", true))
}

// TestDrainWaitsForCalls: an owner stops while calls of other VMs are in flight. Their
// answers must not be lost: the owner waits until the calls have ended and their
// answers are sent before it closes its connections.
func TestDrainWaitsForCalls(t *testing.T) {
	p := newPair(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	result := p.startCall(ctx, 7)
	shortCtx, stop := context.WithTimeout(ctx, 10*drainPollInterval)
	defer stop()
	p.Expect(p.owner.Drain(shortCtx)).To(MatchError(context.DeadlineExceeded), "Drain returned before the call ended")
	drained := make(chan error, 1)
	go func() {
		drained <- p.owner.Drain(ctx)
		p.server.Stop()
	}()
	close(p.leaves.release)
	p.Expect(<-drained).To(Succeed())
	p.Expect(<-result).To(Succeed())
}

// TestMismatchedAnswerClosesConnection: an owner returns the answer of another attempt,
// which would be taken for the answer to this one. The caller must drop the answer and
// close the connection, since other answers on it can't be trusted either.
func TestMismatchedAnswerClosesConnection(t *testing.T) {
	p := newPair(t, 0)
	p.leaves.mismatch.Store(true)
	p.Expect(callError(p.search(context.Background(), "owned", 1))).To(HaveField("Kind", target.ErrorMismatched))
	p.Eventually(p.caller.Done()).WithTimeout(testLimit).Should(BeClosed())
}

// TestSlotQueueInvariants applies random arrivals, completions and cancellations to a
// queue. It checks that no more calls run than there are slots, that no call is lost
// or run twice, that no slot is free while calls wait, and that each VM's calls run in
// the order of their arrival.
func TestSlotQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := newSlotQueue(slots)
		now := time.Unix(0, 0)
		var running, waiting []*waiter
		removeWaiting := func(w *waiter) {
			for i := range waiting {
				if waiting[i] == w {
					waiting = append(waiting[:i:i], waiting[i+1:]...)
					return
				}
			}
			t.Fatal("the queue returned a call that wasn't waiting")
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
			switch step := rapid.IntRange(0, 2).Draw(t, "step"); {
			case step == 0:
				w := &waiter{
					peer:     fmt.Sprint("vm-", rapid.IntRange(0, 2).Draw(t, "vm")),
					deadline: now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "limit")) * time.Millisecond),
				}
				run, ok, _ := q.offer(w, now)
				switch {
				case run:
					running = append(running, w)
				case ok:
					waiting = append(waiting, w)
				}
			case step == 1 && len(running) > 0:
				running = running[1:]
				next, expired := q.release(4*time.Millisecond, now)
				for _, w := range expired {
					removeWaiting(w)
				}
				if next != nil {
					checkOldestFirst(t, waiting, next)
					removeWaiting(next)
					running = append(running, next)
				}
			case step == 2 && len(waiting) > 0:
				w := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "given up")]
				if !q.remove(w) || q.remove(w) {
					t.Fatal("remove must succeed exactly once for a waiting call")
				}
				removeWaiting(w)
			}
			if len(running) > slots || q.running != len(running) || q.queued != len(waiting) {
				t.Fatalf("%d running (%d counted), %d waiting (%d counted), %d slots", len(running), q.running, len(waiting), q.queued, slots)
			}
			if len(waiting) > 0 && len(running) < slots {
				t.Fatal("a slot is free while calls wait")
			}
		}
	})
}

// checkOldestFirst checks that next is the oldest waiting call of its VM.
func checkOldestFirst(t *rapid.T, waiting []*waiter, next *waiter) {
	for _, w := range waiting {
		if w.peer == next.peer {
			if w != next {
				t.Fatal("a VM's calls run out of order")
			}
			return
		}
	}
}

// TestVMsTakeTurns: one VM sends many calls to a leaf at the same time. If a slot went to
// the oldest call of all VMs, the single call of another VM would wait for all of them.
// That call must get the second slot that is freed.
func TestVMsTakeTurns(t *testing.T) {
	g := NewWithT(t)
	q := newSlotQueue(1)
	now := time.Unix(0, 0)
	deadline := now.Add(time.Hour)
	for range 10 {
		q.offer(&waiter{peer: "greedy", deadline: deadline}, now)
	}
	q.offer(&waiter{peer: "modest", deadline: deadline}, now)
	q.release(time.Millisecond, now)
	second, _ := q.release(time.Millisecond, now)
	g.Expect(second.peer).To(Equal("modest"))
}

// TestLateCallIsRefusedImmediately: a call that can't be served in time must be refused
// on arrival, with the time to wait before a retry. If it were queued until its deadline
// has passed, it would also make other calls late.
func TestLateCallIsRefusedImmediately(t *testing.T) {
	g := NewWithT(t)
	q := newSlotQueue(1)
	q.meanService = 100 * time.Millisecond
	now := time.Unix(0, 0)
	q.offer(&waiter{peer: "a", deadline: now.Add(time.Second)}, now)
	_, ok, wait := q.offer(&waiter{peer: "a", deadline: now.Add(150 * time.Millisecond)}, now)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(100 * time.Millisecond))
	_, ok, _ = q.offer(&waiter{peer: "a", deadline: now.Add(250 * time.Millisecond)}, now)
	g.Expect(ok).To(BeTrue())
}

// TestDrainRefusesNewCalls: an owner drains, and VMs that know no other owner keep sending
// calls. If the owner accepted them, Drain might never return. It must refuse them and
// report them as not started.
func TestDrainRefusesNewCalls(t *testing.T) {
	p := newPair(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	result := p.startCall(ctx, 7)
	drained := make(chan error, 1)
	go func() { drained <- p.owner.Drain(ctx) }()
	p.Eventually(func() *target.CallError { return callError(p.search(ctx, "owned", 1)) }).WithTimeout(testLimit).
		Should(And(HaveField("Kind", target.ErrorUnknownTarget), HaveField("NotStarted", true)))
	_, err := p.caller.Status(ctx, "owned")
	p.Expect(callError(err)).To(HaveField("NotStarted", true))
	close(p.leaves.release)
	p.Expect(<-result).To(Succeed())
	p.Expect(<-drained).To(Succeed())
}

// TestLocalCallsShareSlotsWithPeers: an owner's own queries and those of other VMs call
// one leaf at the same time. When each group had its own limit, both together sent
// twice as many calls as there are slots, and the target shed calls that could have
// waited.
func TestLocalCallsShareSlotsWithPeers(t *testing.T) {
	p := newPair(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	local := p.owner.QueuedLeaves()
	localSearch := func() error {
		_, err := local.Search(ctx, "owned", 7, request(7))
		return err
	}
	results := make(chan error, 8)
	for range 4 {
		go func() { results <- localSearch() }()
		go func() { results <- p.search(ctx, "owned", 7) }()
	}
	key := leafKey{"owned", 7}
	waiting := func() int {
		p.owner.mu.Lock()
		defer p.owner.mu.Unlock()
		if q := p.owner.queues[key]; q != nil {
			return q.queued
		}
		return 0
	}
	p.Eventually(waiting).WithTimeout(testLimit).Should(Equal(6))
	p.Expect(p.leaves.started.Load()).To(BeNumerically("==", 2))

	// A cancelled call leaves the queue and is reported as not started.
	cancelCtx, stop := context.WithCancel(ctx)
	cancelled := make(chan error, 1)
	go func() {
		_, err := local.Search(cancelCtx, "owned", 7, request(7))
		cancelled <- err
	}()
	p.Eventually(waiting).WithTimeout(testLimit).Should(Equal(7))
	stop()
	p.Expect(callError(<-cancelled)).To(And(HaveField("Kind", target.ErrorCancelled), HaveField("NotStarted", true)))

	close(p.leaves.release)
	for range 8 {
		p.Expect(<-results).To(Succeed())
	}
	p.Expect(p.leaves.started.Load()).To(BeNumerically("==", 8))
	p.Eventually(func() int {
		p.owner.mu.Lock()
		defer p.owner.mu.Unlock()
		return p.owner.queues[key].running
	}).WithTimeout(testLimit).Should(BeZero())
}
