package scatter

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// refusedBy is the answer of a VM that refuses a call since it would itself be too late.
var refusedBy = CallAnswer{Last: true, Refused: true, Cause: RefusedForSelf, RetryAfter: 250 * time.Millisecond}

// Guards against a refusal of one overloaded owner that ends the request: another owner and another
// zone have time and room. The shards are refused everywhere in the end, and the request ends at
// once with the longest delay. No VM is called twice.
func TestRefusedShardsAreAskedForElsewhereOnce(t *testing.T) {
	w := newWorld(t)
	q, call := newQueryWithTwoOwners(w, 10)
	zones, names := []string{call.VM.Zone}, map[string]bool{call.VM.Name: true}
	var out *Outcome
	for out == nil {
		w.wait(2 * time.Millisecond)
		acts := q.CallReply(w.now, call.Call, refusedBy)
		w.Expect(sends(acts)).To(gomega.BeEmpty())
		if out = outcome(acts); out == nil {
			call = vmCalls(acts)[0]
			w.Expect(call.Redelegated).To(gomega.BeFalse())
			w.Expect(call.Shards).To(gomega.HaveLen(10))
			zones, names[call.VM.Name] = append(zones, call.VM.Zone), true
		}
	}
	w.Expect(zones).To(gomega.HaveLen(3))
	w.Expect(names).To(gomega.HaveLen(3))
	w.Expect(zones[1]).To(gomega.Equal(zones[0]))
	w.Expect(zones[2]).NotTo(gomega.Equal(zones[0]))
	w.Expect(call.Final).To(gomega.BeTrue())
	w.Expect(out.Verdict).To(gomega.Equal(NotRun))
	w.Expect(out.RetryAfter).To(gomega.Equal(refusedBy.RetryAfter))
}

// Guards against a shard that runs on more leafs than its route allows: an owner was silent and may have
// sent requests, the next one refuses, and VMs of another zone would choose other leafs.
func TestShardsThatMayHaveRunAreNotAskedForInAnotherZone(t *testing.T) {
	w := newWorld(t)
	q, first := newQueryWithTwoOwners(w, 10)
	second := vmCalls(q.CallFail(w.now, first.Call, false))[0]
	w.Expect(second.Redelegated).To(gomega.BeTrue())
	w.Expect(second.VM.Zone).To(gomega.Equal(first.VM.Zone))
	w.Expect(second.Final).To(gomega.BeTrue())
	w.Expect(vmCalls(q.CallReply(w.now, second.Call, refusedBy))).To(gomega.BeEmpty())
}

// Guards against 69 shards that leafs work on for nobody, since a weak owner refused the other 66 at
// once. The other owner answers those.
func TestRefusalOfOnePartKeepsTheOthers(t *testing.T) {
	w := newWorld(t)
	names := append(w.shards(8, "other"), "own-1", "own-2")
	w.leaf("own-1", homeZone)
	w.leaf("own-2", homeZone)
	w.table.SetVMs(w.now, fleetOf(2, "other"))
	spec := w.gathered(names)
	spec.MayDelegate = true
	q := NewQuery(spec, w.table)
	acts := q.Start(w.now)
	own := sends(acts)
	w.Expect(own).To(gomega.HaveLen(2))
	acts = q.CallReply(w.now, vmCalls(acts)[0].Call, refusedBy)
	w.Expect(outcome(acts)).To(gomega.BeNil())
	second := vmCalls(acts)[0]
	w.Expect(q.CallReply(w.now, second.Call, CallAnswer{Included: second.Shards, Last: true})).To(gomega.BeEmpty())
	q.Reply(w.now, own[0].Attempt, false)
	out := outcome(q.Reply(w.now, own[1].Attempt, false))
	w.Expect(out.Verdict).To(gomega.Equal(Answered))
	w.Expect(out.Missing).To(gomega.BeZero())
}

// Guards against a second VM that is called when no time is left, and against one that is called
// although leafs may have received requests of the first.
func TestRefusedShardsAreAskedForOnlyIfThatIsOfUse(t *testing.T) {
	for name, test := range map[string]struct {
		wait  time.Duration
		cause RefusalCause
	}{
		"no time left":   {85 * time.Millisecond, RefusedForSelf},
		"leafs received": {0, RefusedBySome},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			q, call := newQueryWithTwoOwners(w, 10)
			w.wait(test.wait)
			refusal := refusedBy
			refusal.Cause = test.cause
			acts := q.CallReply(w.now, call.Call, refusal)
			w.Expect(vmCalls(acts)).To(gomega.BeEmpty())
			w.Expect(outcome(acts)).NotTo(gomega.BeNil())
		})
	}
}

// Guards against leafs that are short of slots and work for requests that fail anyway, since every
// refusal by an owner is doubted.
func TestRefusalsForLeafsAreDoubtedRarely(t *testing.T) {
	w := newWorld(t)
	names := w.shards(10, "other", "third")
	w.table.SetVMs(w.now, fleetOf(2, "other", "third"))
	const requests = 100
	asked := 0
	for range requests {
		spec := w.gathered(names)
		spec.MayDelegate = true
		q := NewQuery(spec, w.table)
		calls := vmCalls(q.Start(w.now))
		for len(calls) > 0 {
			calls = vmCalls(q.CallReply(w.now, calls[0].Call, CallAnswer{Last: true, Refused: true, Cause: RefusedForLeafs}))
			asked += len(calls)
		}
	}
	w.Expect(asked).To(gomega.BeNumerically(">", 0))
	w.Expect(asked).To(gomega.BeNumerically("<=", maxDoubts+requests/8))
}

// Guards against a doubt that is spent where nobody can be asked: on too few shards for a call.
func TestDoubtIsKeptWhereNobodyCanBeAsked(t *testing.T) {
	w := newWorld(t)
	q, call := newQueryWithTwoOwners(w, 10)
	w.table.doubts = maxDoubts
	w.Expect(outcome(q.CallReply(w.now, call.Call, CallAnswer{LeftOut: call.Shards[:2]}))).NotTo(gomega.BeNil())
	w.Expect(w.table.doubts).To(gomega.Equal(float64(maxDoubts)))
}

// Guards against a request that ends only when its calls do although it is known that it fails: two
// owners each leave out no more shards than an answer may, and together more.
func TestRequestEndsOnceOwnersTogetherLeaveOutTooMuch(t *testing.T) {
	w := newWorld(t)
	names := w.shards(20, "other")
	for i := range 20 {
		name := fmt.Sprintf("far-%02d", i)
		w.leaf(name, "third")
		names = append(names, name)
	}
	w.table.SetVMs(w.now, fleetOf(1, "other", "third"))
	spec := w.gathered(names)
	spec.MayDelegate = true
	q := NewQuery(spec, w.table)
	calls := vmCalls(q.Start(w.now))
	w.Expect(calls).To(gomega.HaveLen(2))
	w.Expect(outcome(q.CallReply(w.now, calls[0].Call, CallAnswer{LeftOut: calls[0].Shards[:3]}))).To(gomega.BeNil())
	out := outcome(q.CallReply(w.now, calls[1].Call, CallAnswer{LeftOut: calls[1].Shards[:2]}))
	w.Expect(out).NotTo(gomega.BeNil())
	w.Expect(out.Verdict).To(gomega.Equal(TooFewShards))
	w.Expect(out.Gaps[0].Cause).To(gomega.Equal(GapForecast))
}

// Guards against a weak owner that turns its own callers away while a strong owner of the same leafs
// is idle.
func TestLateOwnerHandsItsOwnShardsToAnotherOwner(t *testing.T) {
	w := newWorld(t)
	strong := VM{Name: "vm-strong", Zone: homeZone, Power: 2}
	w.table.SetVMs(w.now, []VM{strong})
	spec := w.gathered(w.shards(20, homeZone))
	spec.MayDelegate = true
	kind := durationKey{objective: spec.LatencyObjective, gathered: true}
	for range 60 {
		w.table.durationsOf(kind).Add(w.now, 150*time.Millisecond)
	}
	f := w.table.forecastOf(kind)
	f.recordAnswer(w.now, leafWork)
	f.recordTold(w.now, leafWork)
	for _, name := range spec.Services {
		w.table.RecordLoad(w.now, LeafID{ID: name + "@" + homeZone, Born: 1}, Load{Running: 2, Waiting: 1, Slots: 2})
	}
	q := NewQuery(spec, w.table)
	acts := q.Start(w.now)
	w.Expect(outcome(acts)).To(gomega.BeNil())
	w.Expect(vmCalls(acts)).To(gomega.HaveLen(1))
	w.Expect(vmCalls(acts)[0].VM).To(gomega.Equal(strong))
	w.Expect(sends(acts)).To(gomega.BeEmpty())
}

// Guards against refusing the last call for some shards only because this VM is late: an answer in
// part is better than none.
func TestFinalCallIsNotRefusedForOwnTime(t *testing.T) {
	for _, final := range []bool{false, true} {
		w := newWorld(t)
		spec := w.gathered(w.shards(20, homeZone))
		spec.Delegated, spec.Views, spec.Required, spec.Final = true, w.viewsOf(spec), 20, final
		kind := durationKey{objective: spec.LatencyObjective, gathered: true}
		for range 60 {
			w.table.durationsOf(kind).Add(w.now, 150*time.Millisecond)
		}
		f := w.table.forecastOf(kind)
		f.recordAnswer(w.now, leafWork)
		f.recordTold(w.now, leafWork)
		for _, name := range spec.Services {
			w.table.RecordLoad(w.now, LeafID{ID: name + "@" + homeZone, Born: 1}, Load{Running: 2, Waiting: 1, Slots: 2})
		}
		out := outcome(NewQuery(spec, w.table).Start(w.now))
		w.Expect(out == nil).To(gomega.Equal(final))
		if !final {
			w.Expect(out.Refusal.OwnTime).NotTo(gomega.BeZero())
		}
	}
}

// Guards against hedges at a VM that can't answer enough shards any more.
func TestExtraAttemptsEndWhereTheAnswerIsLost(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(10, homeZone))
	spec.Delegated, spec.Views, spec.Required = true, w.viewsOf(spec), 9
	q := NewQuery(spec, w.table)
	q.Start(w.now)
	for i := range 2 {
		w.Expect(q.extraAttemptDecides()).To(gomega.BeTrue())
		q.shards[i].inFlight = 0
		q.shards[i].close(GapAttempts)
	}
	w.Expect(q.extraAttemptDecides()).To(gomega.BeFalse())
}
