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

	"github.com/bramleybarrow/bramleybarrow/internal/knownred"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

const (
	raceOperators = 4 // number of operators in a race, who make changes at the same time
	raceChanges   = 5 // number of changes that each operator of a race makes
	raceFollowers = 3 // number of VMs that follow the head during a race
)

// changeResult is the result that an operator got for one operation.
type changeResult struct {
	op       OpID   // id of the operation
	revision uint64 // that the operation's change was to get
	accepted bool   // false if another change got the revision
}

// headModel models the head, for porcupine, as a register that holds the revision. A
// change may be accepted only if the register holds the revision before the change's,
// and refused only if the register holds the change's revision or a higher one.
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

// Several operators roll out and recall at the same time without seeing the
// others' changes. Their writes get lost, lose their responses or arrive late, and
// each operator is delayed at random. The test guards against VMs that revert to an
// older bundle, an entry that no operator made, and an operator who gets "not
// accepted" although the change was accepted. Such faults arise if a condition is
// checked before a write instead of by the write itself, or if a lost response is
// treated as a failure.
func TestConcurrentOperatorsGetCorrectOutcomes(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRace(t, seed) })
	}
}

// runRace runs one race of the operators with the given seed and checks its outcome.
func runRace(t *testing.T, seed uint64) {
	g := NewWithT(t)
	env := newTestEnv(t)
	digests := []string{env.pushSignedOff(1), env.pushSignedOff(2), env.pushSignedOff(3)}
	var lateWrites sync.WaitGroup
	followers := make([]*Follower, raceFollowers)
	histories := make([]*revisionHistory, raceFollowers)
	for i := range followers {
		followers[i] = env.follower(newFaultyStore(env.store, seed*100+uint64(i), &lateWrites))
		histories[i] = recordRevisions(t, followers[i])
	}

	var mu sync.Mutex // guards ops
	var ops []porcupine.Operation
	start := time.Now()
	var racing sync.WaitGroup
	for i := range raceOperators {
		racing.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			person := []string{"sigrun", "jon", "asta"}[i%3]
			c := env.client(person, newFaultyStore(env.store, seed*1000+uint64(i), &lateWrites))
			for range raceChanges {
				call := time.Since(start)
				got, err := changeUntilResolved(c, rng, digests)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{
					ClientId: i, Input: got, Call: int64(call), Return: int64(time.Since(start)),
				})
				mu.Unlock()
			}
		})
	}
	racing.Wait()
	lateWrites.Wait()

	c := env.client("asta", env.store)
	audit, err := c.Audit(context.Background())
	g.Expect(err).NotTo(HaveOccurred(), "the chain is unbroken and agrees with the head")
	revisionOf := map[OpID]uint64{}
	for _, e := range audit.Entries {
		revisionOf[e.Op] = e.Revision
	}
	accepted := 0
	for _, op := range ops {
		got := op.Input.(changeResult)
		g.Expect(revisionOf[got.op] != 0).To(Equal(got.accepted), "operation %s", got.op)
		if got.accepted {
			accepted++
			g.Expect(revisionOf[got.op]).To(Equal(got.revision))
		}
	}
	g.Expect(revisionOf).To(HaveLen(accepted), "every entry is an operator's accepted change")
	g.Expect(porcupine.CheckOperations(headModel, ops)).To(BeTrue(), "revisions are linearizable")

	for i, f := range followers {
		g.Eventually(f.Revision, eventTimeout).Should(Equal(audit.Head))
		g.Expect(f.Current().Digest).To(Equal(audit.Entries[audit.Head-1].Digest))
		g.Expect(histories[i].decreased()).To(BeFalse(), "follower %d reverted to an earlier revision", i)
	}
}

// changeUntilResolved makes one random change until it is accepted or another change
// gets its revision. While the outcome is unknown, it runs the change again with the
// same operation id. If the change is refused for another reason, it tries a recall or
// a rollout of the same bundle as a new operation.
func changeUntilResolved(c *Client, rng *rand.Rand, digests []string) (changeResult, error) {
	ctx := context.Background()
	digest := digests[rng.IntN(len(digests))]
	change := c.Rollout
	if rng.IntN(4) == 0 {
		change = c.Recall
	}
	req := Request{Reason: "race"}
	for {
		e, err := change(ctx, digest, req)
		switch code := result.CodeOf(err); code {
		case result.Complete:
			return changeResult{op: e.Op, revision: e.Revision, accepted: true}, nil
		case result.Conflict:
			revision, err := e.Op.Revision()
			return changeResult{op: e.Op, revision: revision}, err
		case result.WriteUnknown:
			req.Op = e.Op
		case result.Recalled:
			if _, err := c.SignOff(ctx, digest, "good again"); err != nil && result.CodeOf(err) != result.SelfSigned {
				return changeResult{}, err
			}
			req, change = Request{Reason: "race"}, c.Recall
		case result.NothingBefore, result.PlatformDown:
			req, change = Request{Reason: "race"}, c.Rollout
		default:
			return changeResult{}, err
		}
	}
}

// revisionHistory records the revisions that a follower puts into force, in order.
type revisionHistory struct {
	mu   sync.Mutex // guards revs
	revs []uint64
}

// recordRevisions records the follower's revisions until the test ends.
func recordRevisions(t *testing.T, f *Follower) *revisionHistory {
	h := &revisionHistory{}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			changed := f.Changed()
			h.mu.Lock()
			h.revs = append(h.revs, f.Revision())
			h.mu.Unlock()
			select {
			case <-changed:
			case <-done:
				return
			}
		}
	})
	t.Cleanup(func() { close(done); wg.Wait() })
	return h
}

// decreased reports whether a recorded revision is lower than the one before it.
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

// An operator's program is killed at one of its writes, before or after the write
// takes effect. The test guards against partial changes: an entry in the audit
// chain for a change that never came into force, or a revision that the chain
// lacks. The next operator must be able to continue, and a retry with the
// operation's id must return the correct outcome.
func TestOperatorStoppedAtAnyWrite(t *testing.T) {
	for writesLeft := range 3 {
		for _, applyLast := range []bool{false, true} {
			t.Run(fmt.Sprintf("write %d applied %v", writesLeft+1, applyLast), func(t *testing.T) {
				runStoppedOperator(t, writesLeft, applyLast)
			})
		}
	}
}

// runStoppedOperator stops an operator's program at the write after writesLeft
// successful ones. applyLast says that this write still takes effect.
func runStoppedOperator(t *testing.T, writesLeft int, applyLast bool) {
	g := NewWithT(t)
	ctx := context.Background()
	env := newTestEnv(t)
	first, second, third := env.pushSignedOff(1), env.pushSignedOff(2), env.pushSignedOff(3)
	_, err := env.client("asta", env.store).Rollout(ctx, first, Request{Reason: "begin"})
	g.Expect(err).NotTo(HaveOccurred())

	stopped := env.client("jon", &crashStore{Store: env.store, writesLeft: writesLeft, applyLast: applyLast})
	stopped.opts.Patience = 50 * time.Millisecond
	e, err := stopped.Rollout(ctx, second, Request{Reason: "stopped"})

	next, nextErr := env.client("asta", env.store).Rollout(ctx, third, Request{Reason: "go on"})
	g.Expect(nextErr).NotTo(HaveOccurred())
	audit, auditErr := env.client("asta", env.store).Audit(ctx)
	g.Expect(auditErr).NotTo(HaveOccurred())
	inChain := audit.Entries[1].Op == e.Op
	g.Expect(next.Revision).To(Equal(map[bool]uint64{false: 2, true: 3}[inChain]))

	again, againErr := env.client("jon", env.store).Rollout(ctx, second, Request{Reason: "stopped", Op: e.Op})
	switch result.CodeOf(err) {
	case result.Complete:
		g.Expect(inChain).To(BeTrue())
	case result.PlatformDown:
		g.Expect(inChain).To(BeFalse(), "PlatformDown says that nothing was changed")
	default:
		g.Expect(result.CodeOf(err)).To(Equal(result.WriteUnknown))
	}
	if inChain {
		g.Expect(againErr).NotTo(HaveOccurred())
		g.Expect(again.Revision).To(Equal(uint64(2)))
	} else {
		g.Expect(result.CodeOf(againErr)).To(Equal(result.Conflict))
	}
}

// The response to the write of the head is lost and the platform fails immediately
// afterwards. The operator can't know whether the bundle is in force and must get
// WriteUnknown. When the platform is available again, a retry with the operation
// id must return the outcome and must not make the change a second time.
func TestLostResponseIsResolvedByOperationID(t *testing.T) {
	knownred.Skip(t)
	for _, applied := range []bool{false, true} {
		g := NewWithT(t)
		ctx := context.Background()
		env := newTestEnv(t)
		digest := env.pushSignedOff(1)
		c := env.client("asta", &crashStore{Store: env.store, applyLast: applied})
		c.opts.Patience = 50 * time.Millisecond
		e, err := c.Rollout(ctx, digest, Request{Reason: "begin"})
		g.Expect(result.CodeOf(err)).To(Equal(result.WriteUnknown))

		// A retry while the platform is still down. The retries below run with the
		// platform available, the last one with another bundle.
		c.opts.Store = &crashStore{down: true}
		_, err = c.Rollout(ctx, digest, Request{Reason: "begin", Op: e.Op})
		g.Expect(result.CodeOf(err)).To(Equal(result.WriteUnknown), "not PlatformDown, which says that nothing was changed")
		for range 2 {
			again, err := env.client("asta", env.store).Rollout(ctx, digest, Request{Reason: "begin", Op: e.Op})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again.Revision).To(Equal(uint64(1)))
			g.Expect(again.Op).To(Equal(e.Op))
		}
		_, err = env.client("asta", env.store).Rollout(ctx, env.pushSignedOff(2), Request{Reason: "begin", Op: e.Op})
		g.Expect(result.CodeOf(err)).To(Equal(result.KeyReused))
		audit, err := c.withStore(env.store).Audit(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(audit.Entries).To(HaveLen(1))
	}
}

// withStore returns a Client with the same options but the given store.
func (c *Client) withStore(store objstore.Store) *Client {
	opts := c.opts
	opts.Store = store
	return NewClient(opts)
}

// Two operators make a change on the same head, and one change is accepted. The bundle
// of the other change must not come into force, and its operator must get a Conflict
// that names the accepted change, its person and its reason. Otherwise this operator
// would assume that the other change was accepted, or would repeat it over the
// accepted one without knowing of that one.
func TestConflictReportsWinningChange(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	env := newTestEnv(t)
	first, second := env.pushSignedOff(1), env.pushSignedOff(2)
	asta, jon := env.client("asta", env.store), env.client("jon", env.store)
	_, err := asta.Rollout(ctx, first, Request{Reason: "more zones"})
	g.Expect(err).NotTo(HaveOccurred())
	op, err := NewOpID(1)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = jon.Rollout(ctx, second, Request{Reason: "mine", Op: op})
	g.Expect(result.CodeOf(err)).To(Equal(result.Conflict))
	g.Expect(err.Error()).To(And(ContainSubstring("asta"), ContainSubstring("more zones"), ContainSubstring(first)))
	_, err = jon.Rollout(ctx, second, Request{Reason: "mine", Expect: 7})
	g.Expect(result.CodeOf(err)).To(Equal(result.Conflict))
	refused, err := asta.Refusals(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(refused).To(HaveLen(2))
}
