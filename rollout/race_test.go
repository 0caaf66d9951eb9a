package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

const (
	raceOperators = 4
	raceChanges   = 5
	raceFollowers = 3
)

// changeResult is what one operator was changeResult about one operation.
type changeResult struct {
	op       OpID
	revision uint64 // that the operation wanted to become
	accepted bool
}

// headModel is the register that racing operators advance: the revision.
var headModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		revision, in := state.(uint64), input.(changeResult)
		if in.accepted {
			return revision == in.revision-1, in.revision
		}
		return revision >= in.revision, revision
	},
}

// Several operators roll out and recall at the same time, none seeing the
// others' changes; their writes lose answers, get lost or arrive late, and each
// is paused at random. A user would see VMs fall back to an older bundle, a
// change that nobody is accountable for, or an operator told "not accepted"
// whose bundle is in force. The cause would be a check made before a write
// instead of by it, or a lost answer taken for a failure.
func TestConcurrentOperatorsGetCorrectOutcomes(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRace(t, seed) })
	}
}

func runRace(t *testing.T, seed uint64) {
	g := NewWithT(t)
	o := newTestEnv(t)
	digests := []string{o.pushSignedOff(1), o.pushSignedOff(2), o.pushSignedOff(3)}
	var late sync.WaitGroup
	keepers := make([]*Follower, raceFollowers)
	seen := make([]*revisionHistory, raceFollowers)
	for i := range keepers {
		keepers[i] = o.follower(newFaultyStore(o.store, seed*100+uint64(i), &late))
		seen[i] = recordRevisions(t, keepers[i])
	}

	var mu sync.Mutex // guards history
	var ops []porcupine.Operation
	begin := time.Now()
	var racing sync.WaitGroup
	for i := range raceOperators {
		racing.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			person := []string{"sigrun", "jon", "asta"}[i%3]
			c := o.client(person, newFaultyStore(o.store, seed*1000+uint64(i), &late))
			for range raceChanges {
				call := time.Since(begin)
				got, err := changeUntilResolved(c, rng, digests)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{
					ClientId: i, Input: got, Call: int64(call), Return: int64(time.Since(begin)),
				})
				mu.Unlock()
			}
		})
	}
	racing.Wait()
	late.Wait()

	c := o.client("asta", o.store)
	audit, err := c.Audit(context.Background())
	g.Expect(err).NotTo(HaveOccurred(), "the chain is unbroken and agrees with the head")
	landed := map[OpID]uint64{}
	for _, e := range audit.Entries {
		landed[e.Op] = e.Revision
	}
	accepted := 0
	for _, op := range ops {
		got := op.Input.(changeResult)
		g.Expect(landed[got.op] != 0).To(Equal(got.accepted), "operation %s", got.op)
		if got.accepted {
			accepted++
			g.Expect(landed[got.op]).To(Equal(got.revision))
		}
	}
	g.Expect(landed).To(HaveLen(accepted), "every entry was somebody's accepted change")
	g.Expect(porcupine.CheckOperations(headModel, ops)).To(BeTrue(), "revisions are linearizable")

	for i, k := range keepers {
		g.Eventually(k.Revision, eventTimeout).Should(Equal(audit.Head))
		g.Expect(k.Current().Digest).To(Equal(audit.Entries[audit.Head-1].Digest))
		g.Expect(seen[i].decreased()).To(BeFalse(), "keeper %d went back", i)
	}
}

// changeUntilResolved makes one random change and, while its outcome is unknown,
// asks again with its id.
func changeUntilResolved(c *Client, rng *rand.Rand, digests []string) (changeResult, error) {
	ctx := context.Background()
	digest := digests[rng.IntN(len(digests))]
	do := c.Rollout
	if rng.IntN(4) == 0 {
		do = c.Recall
	}
	ask := Request{Reason: "race"}
	for {
		e, err := do(ctx, digest, ask)
		switch code := result.Of(err); code {
		case result.Complete:
			return changeResult{op: e.Op, revision: e.Revision, accepted: true}, nil
		case result.Conflict:
			revision, err := e.Op.Revision()
			return changeResult{op: e.Op, revision: revision}, err
		case result.WriteUnknown:
			ask.Op = e.Op
		case result.Recalled:
			if _, err := c.SignOff(ctx, digest, "good again"); err != nil && result.Of(err) != result.SelfSigned {
				return changeResult{}, err
			}
			ask, do = Request{Reason: "race"}, c.Recall
		case result.NothingBefore, result.PlatformDown:
			ask, do = Request{Reason: "race"}, c.Rollout
		default:
			return changeResult{}, err
		}
	}
}

// revisionHistory records what a keeper has in force, in order.
type revisionHistory struct {
	mu   sync.Mutex // guards revs
	revs []uint64
}

// recordRevisions records until the test ends.
func recordRevisions(t *testing.T, k *Follower) *revisionHistory {
	h := &revisionHistory{}
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			changed := k.Changed()
			h.mu.Lock()
			h.revs = append(h.revs, k.Revision())
			h.mu.Unlock()
			select {
			case <-changed:
			case <-done:
				return
			}
		}
	})
	t.Cleanup(func() { close(done); wait.Wait() })
	return h
}

func (h *revisionHistory) decreased() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := 1; i < len(h.revs); i++ {
		if h.revs[i] < h.revs[i-1] {
			return true
		}
	}
	return false
}

// An operator's program is killed at one of its writes, before or after that
// write takes effect. A user would see half a change: an entry in the trail for
// a change that never came into force, or a revision that the trail lacks. The
// next operator must be able to go on, and asking again with the operation's id
// must tell the truth.
func TestOperatorStoppedAtAnyWrite(t *testing.T) {
	for after := range 3 {
		for _, landed := range []bool{false, true} {
			t.Run(fmt.Sprintf("write %d landed %v", after+1, landed), func(t *testing.T) {
				runStoppedOperator(t, after, landed)
			})
		}
	}
}

func runStoppedOperator(t *testing.T, after int, landed bool) {
	g := NewWithT(t)
	ctx := context.Background()
	o := newTestEnv(t)
	first, second, third := o.pushSignedOff(1), o.pushSignedOff(2), o.pushSignedOff(3)
	_, err := o.client("asta", o.store).Rollout(ctx, first, Request{Reason: "begin"})
	g.Expect(err).NotTo(HaveOccurred())

	stopped := o.client("jon", &crashStore{Store: o.store, writesLeft: after, applyLast: landed})
	stopped.opts.Patience = 50 * time.Millisecond
	e, err := stopped.Rollout(ctx, second, Request{Reason: "stopped"})

	next, nextErr := o.client("asta", o.store).Rollout(ctx, third, Request{Reason: "go on"})
	g.Expect(nextErr).NotTo(HaveOccurred())
	audit, auditErr := o.client("asta", o.store).Audit(ctx)
	g.Expect(auditErr).NotTo(HaveOccurred())
	inChain := audit.Entries[1].Op == e.Op
	g.Expect(next.Revision).To(Equal(map[bool]uint64{false: 2, true: 3}[inChain]))

	again, againErr := o.client("jon", o.store).Rollout(ctx, second, Request{Reason: "stopped", Op: e.Op})
	switch result.Of(err) {
	case result.Complete:
		g.Expect(inChain).To(BeTrue())
	case result.PlatformDown:
		g.Expect(inChain).To(BeFalse(), "told that nothing was changed")
	default:
		g.Expect(result.Of(err)).To(Equal(result.WriteUnknown))
	}
	if inChain {
		g.Expect(againErr).NotTo(HaveOccurred())
		g.Expect(again.Revision).To(Equal(uint64(2)))
	} else {
		g.Expect(result.Of(againErr)).To(Equal(result.Conflict))
	}
}

// The answer to the write of the head is lost and the platform goes down at
// once. The operator cannot know whether the bundle is in force and must be
// told so; when the platform is back, asking again with the id must tell, and
// must not make the change a second time.
func TestLostResponseIsResolvedByOperationID(t *testing.T) {
	for _, lands := range []bool{false, true} {
		g := NewWithT(t)
		ctx := context.Background()
		o := newTestEnv(t)
		digest := o.pushSignedOff(1)
		c := o.client("asta", &crashStore{Store: o.store, applyLast: lands})
		c.opts.Patience = 50 * time.Millisecond
		e, err := c.Rollout(ctx, digest, Request{Reason: "begin"})
		g.Expect(result.Of(err)).To(Equal(result.WriteUnknown))

		// Asked while the platform is still down, and about another bundle.
		c.opts.Store = &crashStore{down: true}
		_, err = c.Rollout(ctx, digest, Request{Reason: "begin", Op: e.Op})
		g.Expect(result.Of(err)).To(Equal(result.WriteUnknown), "not: nothing was changed")
		for range 2 {
			again, err := o.client("asta", o.store).Rollout(ctx, digest, Request{Reason: "begin", Op: e.Op})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again.Revision).To(Equal(uint64(1)))
			g.Expect(again.Op).To(Equal(e.Op))
		}
		_, err = o.client("asta", o.store).Rollout(ctx, o.pushSignedOff(2), Request{Reason: "begin", Op: e.Op})
		g.Expect(result.Of(err)).To(Equal(result.KeyReused))
		audit, err := c.withStore(o.store).Audit(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(audit.Entries).To(HaveLen(1))
	}
}

func (c *Client) withStore(store objstore.Store) *Client {
	opts := c.opts
	opts.Store = store
	return NewClient(opts)
}

// Two operators decide on the same head; one wins. The other's bundle must not
// be in force, and he must learn what came first, by whom and why, or he would
// believe his change made or repeat it blindly over the other's.
func TestConflictReportsWinningChange(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	o := newTestEnv(t)
	first, second := o.pushSignedOff(1), o.pushSignedOff(2)
	asta, jon := o.client("asta", o.store), o.client("jon", o.store)
	_, err := asta.Rollout(ctx, first, Request{Reason: "more zones"})
	g.Expect(err).NotTo(HaveOccurred())
	op, err := NewOpID(1)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = jon.Rollout(ctx, second, Request{Reason: "mine", Op: op})
	g.Expect(result.Of(err)).To(Equal(result.Conflict))
	g.Expect(err.Error()).To(And(ContainSubstring("asta"), ContainSubstring("more zones"), ContainSubstring(first)))
	_, err = jon.Rollout(ctx, second, Request{Reason: "mine", Expect: 7})
	g.Expect(result.Of(err)).To(Equal(result.Conflict))
	refused, err := asta.Refusals(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(refused).To(HaveLen(2))
}
