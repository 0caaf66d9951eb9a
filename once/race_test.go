package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/result"
)

const (
	raceSeeds = 12 // number of seeds; a race is run with each of them, with and without relaying
	raceVMs   = 4  // number of VMs in a race
	raceKeys  = 3  // number of keys for which the VMs of a race compete
	raceTurns = 6  // number of requests that each VM of a race gets
)

// newRace starts VMs on a store that loses writes, loses answers, applies some
// writes late, and delays senders. If relayed is set, the VMs commit for one another,
// and their messages are lost, delayed or duplicated.
func newRace(t *testing.T, seed uint64, relayed bool) *race {
	store := newFaultStore(seed)
	store.loseAnswer, store.loseWrite, store.lateWrite = 0.15, 0.1, 0.1
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 2))
	store.beforePut = func(string) error {
		mu.Lock()
		pause := time.Duration(rng.IntN(8)) * time.Millisecond
		mu.Unlock()
		time.Sleep(pause)
		return nil
	}
	runners := make([]*Runner, raceVMs)
	for i := range runners {
		runners[i] = startRunner(t, store, fmt.Sprint("vm", i))
	}
	lateMessages := &sync.WaitGroup{}
	if relayed {
		lateMessages = connectPeers(runners, seed, true)
	}
	return &race{runners: runners, store: store, lateMessages: lateMessages}
}

// race is a set of VMs that compete for the same keys.
type race struct {
	runners      []*Runner
	store        *faultStore
	lateMessages *sync.WaitGroup // counts delayed messages between VMs that are not yet delivered
	killed       *Runner         // the VM that the method kill stopped; nil if none was
}

// forEachSeed runs the test with each seed, with and without relaying.
func forEachSeed(t *testing.T, test func(t *testing.T, seed uint64, r *race)) {
	for _, relayed := range []bool{false, true} {
		for seed := uint64(1); seed <= raceSeeds; seed++ {
			t.Run(fmt.Sprintf("relayed %v, seed %d", relayed, seed), func(t *testing.T) {
				t.Parallel()
				test(t, seed, newRace(t, seed, relayed))
			})
		}
	}
}

// kill stops the first VM in the middle of its work, if the seed is odd.
func (r *race) kill(seed uint64) {
	if seed%2 == 0 {
		return
	}
	time.Sleep(time.Duration(20*seed) * time.Millisecond)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	r.killed = r.runners[0]
	_ = r.killed.Close(ended)
}

// closeAndWait closes the VMs and waits for delayed writes. The VMs are closed
// first: they still release claims in the background, which may cause more delayed
// writes.
func (r *race) closeAndWait(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, vm := range r.runners {
		if vm != r.killed {
			NewWithT(t).Expect(vm.Close(ctx)).To(Succeed())
		}
	}
	r.lateMessages.Wait()
	r.store.lateWG.Wait()
}

// claimInput is the input of a call in the history that porcupine checks: a claim of a
// key, or the release of such a claim.
type claimInput struct {
	key     int    // index of the key, from 0 to raceKeys-1
	op      string // operation id of the claim
	release bool   // the call releases the claim; else it makes the claim
}

// claimOutput is the result of a claimInput.
type claimOutput struct {
	known  bool   // false if the call may or may not have taken effect
	winner string // id of the operation that holds the key after a claim; unset for a release
}

// claimModel is porcupine's model of the claims: one register per key, which holds ""
// if the key is free, or else the id of the operation that claimed it.
var claimModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, raceKeys)
		for _, o := range history {
			key := o.Input.(claimInput).key
			parts[key] = append(parts[key], o)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		holder, in, out := state.(string), input.(claimInput), output.(claimOutput)
		after := holder
		switch {
		case in.release && holder == in.op:
			after = ""
		case !in.release && holder == "":
			after = in.op
		}
		switch {
		case !out.known:
			return []any{holder, after}
		case in.release:
			return []any{after}
		case after == out.winner:
			return []any{after}
		}
		return nil
	},
}).ToModel()

// TestClaimsAreLinearizable guards against two VMs that both run one request. Both
// claim its key at the same time, are paused before or after their conditional
// update, and lose its answer. If the claims of a key did not behave like operations
// on a single register, both VMs could consider the key theirs.
func TestClaimsAreLinearizable(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64, r *race) {
		h := &history{start: time.Now()}
		base := request("d")
		var wg sync.WaitGroup
		for i, vm := range r.runners {
			wg.Go(func() { h.runClient(vm, base, i, rand.New(rand.NewPCG(seed, uint64(10+i)))) })
		}
		wg.Wait()
		r.closeAndWait(t)
		g := NewWithT(t)
		verdict := porcupine.CheckOperationsTimeout(claimModel, h.ops, time.Minute)
		g.Expect(verdict).To(Equal(porcupine.Ok))
		// Each claim was released or abandoned. No entry may remain, or its key
		// would stay blocked.
		remaining, err := r.store.segment(segmentName(base.Deployment, base.Key.Created()))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(remaining.Entries).To(BeEmpty())
	})
}

// history records the calls of a race for porcupine.
type history struct {
	start time.Time  // the times in ops are relative to it
	mu    sync.Mutex // guards ops
	ops   []porcupine.Operation
}

// farFuture is the end of a call that may take effect at any later time, in
// nanoseconds.
const farFuture = int64(1) << 62

// now returns the nanoseconds since the start.
func (h *history) now() int64 { return int64(time.Since(h.start)) }

// add records a call of the given client. call and end are the times at which it began
// and ended, in nanoseconds since the start.
func (h *history) add(client int, in claimInput, out claimOutput, call, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
}

// runClient claims random keys on one VM, releases each claim that it wins, and records
// these calls. base is the request of which only the name of the search is changed.
func (h *history) runClient(r *Runner, base Request, client int, rng *rand.Rand) {
	for range raceTurns {
		key := rng.IntN(raceKeys)
		req := base
		req.Search = fmt.Sprint("search", key)
		claim := r.newClaim(context.Background(), req)
		in := claimInput{key: key, op: claim.entry.Op}
		name := segmentName(req.Deployment, req.Key.Created())
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(10+rng.IntN(60))*time.Millisecond)
		call := h.now()
		_, rep, err := r.claim(ctx, name, &claim)
		cancel()
		end := h.now()
		switch {
		case err != nil:
			// The claim may be stored at any time until it is released in the
			// background.
			h.add(client, in, claimOutput{}, call, farFuture)
			in.release = true
			h.add(client, in, claimOutput{}, end, farFuture)
		case rep.verdict == verdictHeld:
			if claim.barOnRelease {
				// Another VM may add the claim until it is barred in the
				// background.
				h.add(client, in, claimOutput{}, call, farFuture)
				h.add(client, claimInput{key: key, op: in.op, release: true}, claimOutput{}, end, farFuture)
			}
			h.add(client, in, claimOutput{known: true, winner: rep.held.Op}, call, end)
		default:
			h.add(client, in, claimOutput{known: true, winner: in.op}, call, end)
			call = h.now()
			<-r.finish(name, claim, opRelease, nil)
			in.release = true
			h.add(client, in, claimOutput{known: true}, call, h.now())
		}
	}
}

// submission is one call of Run and its outcome.
type submission struct {
	key  int    // index of the request, from 0 to raceKeys-1
	name string // JSON string that identifies the call, and its result if it runs
	out  Outcome
}

// TestRunAtMostOnce guards against a second run. The VMs get requests with the same
// keys at the same time and repeatedly, while the platform loses writes and answers
// and a VM is killed. Each request must run at most once. A call of Run that answers
// "not run" must not have run the request. All calls that get the outcome of a request
// must get the same one.
func TestRunAtMostOnce(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64, r *race) {
		g := NewWithT(t)
		reqs := make([]Request, raceKeys)
		for i := range reqs {
			reqs[i] = request("d")
		}
		var mu sync.Mutex // guards ran and completed
		ran := make(map[int][]string)
		var completed []submission
		submit := func(vm *Runner, s submission, limit time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			s.out = vm.Run(ctx, reqs[s.key], func(context.Context) Outcome {
				mu.Lock()
				defer mu.Unlock()
				ran[s.key] = append(ran[s.key], s.name)
				return Outcome{Code: result.Accepted, Result: []byte(s.name)}
			})
			mu.Lock()
			defer mu.Unlock()
			completed = append(completed, s)
		}
		var wg sync.WaitGroup
		for i, vm := range r.runners {
			rng := rand.New(rand.NewPCG(seed, uint64(20+i)))
			wg.Go(func() {
				for turn := range raceTurns {
					s := submission{key: rng.IntN(raceKeys), name: fmt.Sprintf(`"%d/%d"`, i, turn)}
					submit(vm, s, time.Duration(10+rng.IntN(60))*time.Millisecond)
				}
			})
		}
		wg.Go(func() { r.kill(seed) })
		wg.Wait()
		r.closeAndWait(t)
		for key := range ran {
			g.Expect(ran[key]).To(HaveLen(1), "key %d ran twice", key)
		}
		for _, s := range completed {
			if s.out.Code == result.Accepted {
				g.Expect(ran[s.key]).To(Equal([]string{string(s.out.Result)}))
			}
			if s.out.Code.Info().Ran == result.RanNo {
				g.Expect(ran[s.key]).NotTo(ContainElement(s.name))
			}
		}
	})
}
