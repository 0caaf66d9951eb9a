package once

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/once/relay"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// fakePeers is the Peers of one VM and connects it to the others within the process.
// If faults is set, VMs disagree about the committer, messages are lost, delayed or
// duplicated, and answers are lost, at random by a fixed seed.
type fakePeers struct {
	runners      []*Runner // all VMs, including the one that uses these Peers
	faults       bool
	hold         time.Duration   // how long a committer waits for the platform before it answers that an operation is undecided
	lateMessages *sync.WaitGroup // counts delayed messages that are not yet delivered

	mu  sync.Mutex // guards rng
	rng *rand.Rand
}

// connectPeers lets the VMs commit for one another, with the faults of fakePeers if
// faults is set. Only then does a committer answer before it knows the outcome. The WaitGroup counts delayed messages that are not yet delivered.
func connectPeers(runners []*Runner, seed uint64, faults bool) *sync.WaitGroup {
	lateMessages := &sync.WaitGroup{}
	hold := testTimeout
	if faults {
		hold = 20 * time.Millisecond
	}
	for i, r := range runners {
		r.dispatcher.peers = &fakePeers{runners: runners, faults: faults, hold: hold, lateMessages: lateMessages, rng: rand.New(rand.NewPCG(seed, uint64(30+i)))}
	}
	return lateMessages
}

// draw returns a random number from 0 to bound-1.
func (p *fakePeers) draw(bound int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(bound)
}

// Committer returns the first VM, or a random one with faults. The bool reports
// whether this is another VM than the one that uses these Peers.
func (p *fakePeers) Committer(string) (objstore.VM, bool) {
	index := 0
	if p.faults && p.draw(4) == 0 {
		index = p.draw(len(p.runners))
	}
	return objstore.VM{Name: strconv.Itoa(index)}, p.runners[index].dispatcher.peers != p
}

// Commit calls Commit of the Runner whose index is the name of vm. With faults, the
// message or its answer may be lost, or the message delivered late or twice.
func (p *fakePeers) Commit(ctx context.Context, vm objstore.VM, req relay.OpRequest) (relay.Reply, relay.Delivery) {
	index, _ := strconv.Atoi(vm.Name)
	batch := relay.Batch{Segment: req.Segment, HoldMS: p.hold.Milliseconds(), Credit: req.Credit(), Ops: []relay.Op{req.Op}}
	deliver := func() (relay.Reply, relay.Delivery) {
		replies, err := p.runners[index].Commit(context.Background(), batch)
		if err != nil {
			return relay.Reply{}, relay.NotAccepted
		}
		return replies[0], relay.Answered
	}
	if !p.faults {
		return deliver()
	}
	deliverLater := func() {
		pause := time.Duration(p.draw(60)) * time.Millisecond
		p.lateMessages.Go(func() {
			time.Sleep(pause)
			_, _ = deliver()
		})
	}
	switch p.draw(8) {
	case 0: // the message is lost
		return relay.Reply{}, relay.Unknown
	case 1: // the other VM is frozen and continues later
		deliverLater()
		return relay.Reply{}, relay.Unknown
	case 2: // applied, but the answer is lost
		_, _ = deliver()
		return relay.Reply{}, relay.Unknown
	case 3: // applied, the answer is lost, and a second delivery follows later
		deliverLater()
		_, _ = deliver()
		return relay.Reply{}, relay.Unknown
	}
	return deliver()
}

// frozenPeer is a Peers whose committer of all segments is frozen: it accepts
// operations without an answer and applies them when the test calls deliverNext.
type frozenPeer struct {
	runner  *Runner          // of the frozen VM
	batches chan relay.Batch // accepted and not yet applied
}

// Committer returns a VM that stands for the frozen committer.
func (p *frozenPeer) Committer(string) (objstore.VM, bool) { return objstore.VM{Name: "held"}, true }

// Commit keeps the operation for deliverNext.
func (p *frozenPeer) Commit(_ context.Context, _ objstore.VM, req relay.OpRequest) (relay.Reply, relay.Delivery) {
	p.batches <- relay.Batch{Segment: req.Segment, HoldMS: 1000, Ops: []relay.Op{req.Op}}
	return relay.Reply{}, relay.Unknown
}

// deliverNext lets the frozen committer apply the next kept operation and returns the
// reply.
func (p *frozenPeer) deliverNext(t *testing.T) relay.Reply {
	replies, err := p.runner.Commit(t.Context(), <-p.batches)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return replies[0]
}

// newFrozenPeer returns a frozenPeer that applies operations on a new VM named c.
func newFrozenPeer(t *testing.T, store objstore.Store) *frozenPeer {
	return &frozenPeer{runner: startRunner(t, store, "c"), batches: make(chan relay.Batch, 8)}
}

// Guards against a key that stays blocked although its request never ran. The
// committer is frozen with the claim in its queue. VM a updates the segment itself,
// wins the claim, every target refuses the request, and the key is released. Then
// the committer continues and must not add the claim.
func TestResumedCommitterDoesNotUndoRelease(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	c := newFrozenPeer(t, store)
	a, b := startRunner(t, store, "a", func(o *Options) { o.Peers = c }), startRunner(t, store, "b")
	req, w := request("d"), acceptedWork()
	refused := func(context.Context) Outcome { return Outcome{Code: result.NotStarted} }
	g.Expect(a.Run(t.Context(), req, refused).Code).To(Equal(result.NotStarted))
	g.Expect(c.deliverNext(t).Verdict).To(Equal(relay.Gone))
	g.Expect(b.Run(t.Context(), req, w.run).Code).To(Equal(result.Accepted))
}

// Guards against a key that stays blocked although its request never ran. The
// committer is frozen with the claim in its queue. VM a cannot reach the platform in
// time and answers "not run" without a claim. It must then bar the operation id, so
// that the frozen committer cannot add the claim, whenever it continues.
func TestResumedCommitterDoesNotAddAbandonedClaim(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	c := newFrozenPeer(t, store)
	a, b := startRunner(t, store, "a", shortWaits, func(o *Options) { o.Peers = c }), startRunner(t, store, "b")
	req, w := request("d"), acceptedWork()
	store.failAll.Store(true)
	g.Expect(a.Run(t.Context(), req, w.run).Code).To(Equal(result.ClaimsDown))
	store.failAll.Store(false)
	g.Eventually(a.committer.numWaiting, testTimeout).Should(BeZero())
	g.Expect(c.deliverNext(t).Verdict).To(Equal(relay.Gone))
	g.Expect(b.Run(t.Context(), req, w.run).Code).To(Equal(result.Accepted))
	g.Expect(w.ran.Load()).To(BeEquivalentTo(1))
}

// Guards against a request that gets the answer "in progress" because of its own
// claim. The committer adds the claim and stops before it answers. VM a then updates
// the segment itself, finds the entry and must recognize it as its own.
func TestClaimAddedByLostCommitterIsRecognized(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	c := newFrozenPeer(t, store)
	a := startRunner(t, store, "a", func(o *Options) { o.Peers = answerLosingPeer{c, t} })
	w := acceptedWork()
	g.Expect(a.Run(t.Context(), request("d"), w.run).Code).To(Equal(result.Accepted))
	g.Expect(w.ran.Load()).To(BeEquivalentTo(1))
}

// answerLosingPeer is a Peers whose committer applies each operation at once, but its
// answers are lost.
type answerLosingPeer struct {
	*frozenPeer
	t *testing.T
}

// Commit applies the operation and returns Unknown instead of the reply.
func (l answerLosingPeer) Commit(ctx context.Context, vm objstore.VM, req relay.OpRequest) (relay.Reply, relay.Delivery) {
	_, _ = l.frozenPeer.Commit(ctx, vm, req)
	l.deliverNext(l.t)
	return relay.Reply{}, relay.Unknown
}

// Guards against a second run. The committer's write of a claim is stored, but the
// committer gives up waiting for the platform's answer and answers VM a that the claim
// is undecided. It must not remove the claim as abandoned: VM a may have found the
// entry in the meantime, regarded the claim as won and handed the request to a target.
// A later request with the key would find no claim.
func TestCommitterKeepsClaimAfterLateAnswer(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	c := newFrozenPeer(t, store)
	a, b := startRunner(t, store, "a"), startRunner(t, store, "b")
	slow := &slowPeer{frozenPeer: c, stored: make(chan struct{}), resume: make(chan struct{})}
	a.dispatcher.peers = slow
	store.afterPut = func(string, error) error {
		slow.once.Do(func() {
			close(slow.stored)
			<-slow.resume
		})
		return nil
	}
	req, w := request("d"), acceptedWork()
	a.Run(t.Context(), req, func(ctx context.Context) Outcome {
		close(slow.resume)
		g.Eventually(c.runner.committer.numWaiting, testTimeout).Should(BeZero())
		g.Expect(b.Run(ctx, req, w.run).Code).To(Equal(result.InProgress))
		return w.run(ctx)
	})
	g.Expect(b.Run(t.Context(), req, w.run).Replayed).To(BeTrue())
	g.Expect(w.ran.Load()).To(BeEquivalentTo(1))
}

// slowPeer is a Peers whose committer has to answer after the write of an operation
// was stored, but before the platform's answer to the write arrives.
type slowPeer struct {
	*frozenPeer
	once           sync.Once     // for the first write only
	stored, resume chan struct{} // stored is closed when the write is stored; resume lets the platform answer
}

// Commit lets the committer's time limit end when the write is stored. It returns
// Unknown, or NotAccepted if the committer's reply is not Undecided.
func (s *slowPeer) Commit(_ context.Context, _ objstore.VM, req relay.OpRequest) (relay.Reply, relay.Delivery) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.stored
		cancel()
	}()
	replies, err := s.runner.Commit(ctx, relay.Batch{Segment: req.Segment, HoldMS: 1000, Ops: []relay.Op{req.Op}})
	if err != nil || replies[0].Verdict != relay.Undecided {
		return relay.Reply{}, relay.NotAccepted
	}
	return relay.Reply{}, relay.Unknown
}

// Guards against requests of other VMs that wait until a leaving committer counts
// as lost. A committer that is being closed must finish the operations that it
// accepted, and refuse others at once.
func TestLeavingCommitterFinishesAcceptedWork(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	a, c := startRunner(t, store, "a"), startRunner(t, store, "c")
	connectPeers([]*Runner{c, a}, 1, false)
	putStarted, resumed := make(chan struct{}), make(chan struct{})
	resume := sync.OnceFunc(func() { close(resumed) })
	defer resume()
	var firstPut sync.Once
	store.beforePut = func(string) error {
		firstPut.Do(func() {
			close(putStarted)
			<-resumed
		})
		return nil
	}
	w := acceptedWork()
	outcome := make(chan Outcome, 1)
	go func() { outcome <- a.Run(context.Background(), request("d"), w.run) }()
	<-putStarted
	closed := make(chan error, 1)
	go func() { closed <- c.Close(context.Background()) }()
	g.Eventually(c.committer.isClosed, testTimeout).Should(BeTrue())
	_, err := c.Commit(t.Context(), relay.Batch{Segment: "d.1", HoldMS: 1000, Ops: []relay.Op{{Kind: relay.Claim, ID: "k", Entry: relay.Entry{Op: "o"}}}})
	g.Expect(err).To(MatchError(errClosed))
	resume()
	g.Expect((<-outcome).Code).To(Equal(result.Accepted))
	g.Expect(<-closed).To(Succeed())
	g.Expect(w.ran.Load()).To(BeEquivalentTo(1))
	g.Expect(a.committer.counters.fallbacks.Get()).To(BeEquivalentTo(1), "the outcome must be stored by a's own update")
}

// Guards against a committer that refuses its own callers' requests because the VMs
// of a large fleet all relay their claims to it. Operations of other VMs must have a
// separate limit.
func TestPeerOperationsHaveSeparateLimit(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	c := startRunner(t, store, "c", func(o *Options) { o.MaxPeerPending, o.MaxPending = 2, 2 })
	store.failPuts.Store(true)
	ops := func(n int) []op {
		list := make([]op, n)
		for i := range list {
			list[i] = op{id: strconv.Itoa(i), entry: entry{Op: strconv.Itoa(i)}}
		}
		return list
	}
	_, err := c.committer.admitPeer("d.1", ops(2))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.committer.admitPeer("d.1", ops(1))
	g.Expect(err).To(MatchError(errBusy))
	g.Expect(c.committer.admitRelayed()).To(Succeed())
	c.committer.untrack(false)
	store.failPuts.Store(false)
	g.Eventually(c.committer.numWaiting, testTimeout).Should(BeZero())
	_, err = c.committer.admitPeer("d.1", ops(2))
	g.Expect(err).NotTo(HaveOccurred())
}
