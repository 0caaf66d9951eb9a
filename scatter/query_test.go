package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// Guards against running a request twice that must run at most once. A leaf runs it, the connection
// breaks before the answer, and the request is sent to another leaf. Only an end that shows that
// nothing ran allows another attempt: a refusal, no connection, or another leaf at the address.
func TestNonIdempotentRequestIsNotResentAfterItMayHaveRun(t *testing.T) {
	w := newWorld(t)
	w.leaf("ledger", homeZone)
	w.leaf("ledger", "other")
	for _, end := range []End{EndBroken, EndSilent} {
		q := NewQuery(w.single("ledger", false), w.table)
		first := sends(q.Start(w.now))
		w.Expect(first).To(gomega.HaveLen(1))
		w.table.AttemptEnded(w.now, first[0].Leaf, first[0].SentAt, end)
		acts := q.Fail(w.now, first[0].Attempt, end)
		w.Expect(sends(acts)).To(gomega.BeEmpty())
		w.Expect(outcome(acts).Verdict).To(gomega.Equal(Unknown))
	}
	for _, end := range []End{EndRefused, EndUnreachable, EndMoved} {
		q := NewQuery(w.single("ledger", false), w.table)
		first := sends(q.Start(w.now))
		w.table.AttemptEnded(w.now, first[0].Leaf, first[0].SentAt, end)
		acts := q.Fail(w.now, first[0].Attempt, end)
		w.Expect(sends(acts)).To(gomega.HaveLen(1))
		w.Expect(sends(acts)[0].Leaf).NotTo(gomega.Equal(first[0].Leaf))
	}
}

// Guards against a caller that waits for its whole time limit until it gets the verdict that
// nothing ran, although from the start no leaf of the service is known.
func TestRequestWithoutLeafsIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	q := NewQuery(w.single("ledger", true), w.table)
	out := outcome(q.Start(w.now))
	w.Expect(out).NotTo(gomega.BeNil())
	w.Expect(out.Verdict).To(gomega.Equal(NotRun))
	w.Expect(out.RetryAfter).To(gomega.BeNumerically(">", 0))
}

// Guards against a request to one service that was not answered and whose log line can't say why.
func TestRequestToOneServiceNamesWhyItFailed(t *testing.T) {
	w := newWorld(t)
	out := outcome(NewQuery(w.single("ledger", true), w.table).Start(w.now))
	w.Expect(out.Gaps).To(gomega.Equal([]Gap{{Cause: GapNoLeaf}}))

	w.leaf("ledger", homeZone)
	q := NewQuery(w.single("ledger", false), w.table)
	first := sends(q.Start(w.now))
	w.table.AttemptEnded(w.now, first[0].Leaf, first[0].SentAt, EndBroken)
	w.Expect(outcome(q.Fail(w.now, first[0].Attempt, EndBroken)).Gaps).To(gomega.Equal([]Gap{{Cause: GapAttempts}}))
}

// Guards against the verdict NotRun although a leaf ran the request: a refusal followed an attempt
// that may have run. The caller would send the request again.
func TestNotRunIsReportedOnlyIfNothingMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.leaf("ledger", homeZone)
		w.leaf("ledger", "other")
		q := NewQuery(w.single("ledger", rapid.Bool().Draw(t, "idempotent")), w.table)
		acts := q.Start(w.now)
		mayHaveRun := false
		for outcome(acts) == nil {
			open := sends(acts)
			if len(open) == 0 {
				w.wait(10 * time.Millisecond)
				acts = q.Tick(w.now)
				continue
			}
			end := rapid.SampledFrom([]End{EndBroken, EndRefused, EndUnreachable, EndSilent}).Draw(t, "end")
			mayHaveRun = mayHaveRun || end == EndBroken || end == EndSilent
			w.table.AttemptEnded(w.now, open[0].Leaf, open[0].SentAt, end)
			acts = q.Fail(w.now, open[0].Attempt, end)
		}
		w.Expect(outcome(acts).Verdict == NotRun).To(gomega.Equal(!mayHaveRun))
	})
}

// Guards against a late answer to a gathered request because one of 20 leafs pauses: the other
// parts arrived in time and are sufficient.
func TestGatheredRequestIsAnsweredInPartInTime(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(20, homeZone))
	q := NewQuery(spec, w.table)
	first := sends(q.Start(w.now))
	w.Expect(first).To(gomega.HaveLen(20))
	w.wait(5 * time.Millisecond)
	for _, s := range first[1:] {
		w.Expect(outcome(q.Reply(w.now, s.Attempt, false))).To(gomega.BeNil())
	}
	w.now = spec.AnswerBy
	out := outcome(q.Tick(w.now))
	w.Expect(out).NotTo(gomega.BeNil())
	w.Expect(out.Verdict).To(gomega.Equal(Answered))
	w.Expect(out.Missing).To(gomega.Equal(1))
	w.Expect(out.Parts).To(gomega.HaveLen(19))
}

// Guards against leaving out answers that have arrived while this VM got no processor time. It runs
// again after AnswerBy, with enough answers and one more besides: all of them are included.
func TestAnswersThatArrivedDuringAPauseAllCount(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(20, homeZone))
	q := NewQuery(spec, w.table)
	first := sends(q.Start(w.now))
	w.now = spec.AnswerBy.Add(time.Millisecond)
	out := outcome(q.Together(w.now, func() []Action {
		var acts []Action
		for _, s := range first[1:] {
			acts = append(acts, q.Reply(w.now, s.Attempt, false)...)
		}
		return acts
	}))
	w.Expect(out).NotTo(gomega.BeNil())
	w.Expect(out.Verdict).To(gomega.Equal(Answered))
	w.Expect(out.Parts).To(gomega.HaveLen(19))
}

// Guards against a gathered request that waits until its deadline although too many shards are
// unreachable. It is refused at once, and leafs do no work for it.
func TestGatheredRequestWithTooFewShardsIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	names := w.shards(10, homeZone)
	q := NewQuery(w.gathered(append(names, "gone-1", "gone-2")), w.table)
	acts := q.Start(w.now)
	w.Expect(sends(acts)).To(gomega.BeEmpty())
	out := outcome(acts)
	w.Expect(out).NotTo(gomega.BeNil())
	w.Expect(out.Verdict).To(gomega.Equal(NotRun))
	w.Expect(out.RetryAfter).To(gomega.BeNumerically(">=", minRetryAfter))
}

// Guards against further waiting when too many shards turn out to be unreachable after requests
// were sent. The query ends as soon as this is certain. Its verdict is not NotRun, since leafs may
// have run some shards.
func TestGatheredRequestEndsOnceTooFewShardsCanAnswer(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(12, homeZone))
	q := NewQuery(spec, w.table)
	first := sends(q.Start(w.now))
	w.now = spec.AnswerBy
	w.Expect(outcome(q.Fail(w.now, first[0].Attempt, EndBroken))).To(gomega.BeNil())
	out := outcome(q.Fail(w.now, first[1].Attempt, EndBroken))
	w.Expect(out).NotTo(gomega.BeNil())
	w.Expect(out.Verdict).To(gomega.Equal(TooFewShards))
}

// Guards against waiting for a leaf that pauses during a query. A second leaf gets the request
// once the first takes longer than answers usually do, and its answer counts.
func TestSlowLeafIsHedged(t *testing.T) {
	w := newWorld(t)
	w.leaf("ledger", homeZone)
	w.leaf("ledger", "other")
	q := NewQuery(w.single("ledger", true), w.table)
	first := sends(q.Start(w.now))
	w.Expect(first[0].OtherZone).To(gomega.BeFalse())
	w.now = q.Wake(w.now)
	w.Expect(w.now.Sub(first[0].SentAt)).To(gomega.Equal(35 * time.Millisecond))
	second := sends(q.Tick(w.now))
	w.Expect(second).To(gomega.HaveLen(1))
	w.Expect(second[0].Reason).To(gomega.Equal(Hedge))
	out := outcome(q.Reply(w.now, second[0].Attempt, false))
	w.Expect(out.Attempt).To(gomega.Equal(second[0].Attempt))
}

// Guards against sending requests to a leaf that has announced that it drains: it would answer
// none of them.
func TestDrainingLeafGetsNoRequests(t *testing.T) {
	w := newWorld(t)
	local := w.leaf("ledger", homeZone)
	remote := w.leaf("ledger", "other")
	w.table.Apply(w.now, registry.Change{Leaf: registry.Leaf{
		ID: local.ID, Born: 1, Service: "ledger", Zone: homeZone, Slots: 2, Address: "127.0.0.1:1", Draining: true,
	}})
	for range 20 {
		q := NewQuery(w.single("ledger", true), w.table)
		s := sends(q.Start(w.now))
		w.Expect(s).To(gomega.HaveLen(1))
		w.Expect(s[0].Leaf).To(gomega.Equal(remote))
		w.table.AttemptEnded(w.now, remote, s[0].SentAt, EndAnswered)
	}
}

// Guards against applying the history of a leaf to its next incarnation under the same id. A
// cooldown after many failures must not keep requests from the new one, and late ends of old
// requests must not count for it.
func TestNewIncarnationOfLeafStartsWithoutHistory(t *testing.T) {
	w := newWorld(t)
	old := w.leaf("ledger", homeZone)
	for range 5 {
		w.table.AttemptEnded(w.now, old, w.now, EndUnreachable)
		w.wait(2 * time.Second)
	}
	w.table.AttemptEnded(w.now, old, w.now, EndUnreachable)
	w.Expect(w.table.findLeaf(old).cooldown.active(w.now)).To(gomega.BeTrue())
	w.table.Apply(w.now, registry.Change{Leaf: registry.Leaf{
		ID: old.ID, Born: 2, Service: "ledger", Zone: homeZone, Slots: 2, Address: "127.0.0.1:1",
	}})
	renewed := LeafID{ID: old.ID, Born: 2}
	w.Expect(w.table.findLeaf(renewed).cooldown.active(w.now)).To(gomega.BeFalse())
	w.Expect(w.table.findLeaf(old)).To(gomega.BeNil())
	w.table.AttemptEnded(w.now, old, w.now, EndUnreachable)
	w.Expect(w.table.findLeaf(renewed).cooldown.active(w.now)).To(gomega.BeFalse())
}

// Guards against a query that ends twice or after its deadline, or sends a shard to more leafs than
// allowed, because of an order of events that was not foreseen. It also guards against sending a
// request that is not idempotent again after it may have run.
func TestQueryInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		gathered := rapid.Bool().Draw(t, "gathered")
		spec := w.single("shard-00", rapid.Bool().Draw(t, "idempotent"))
		names := w.shards(6, homeZone, "other", "third")
		if gathered {
			spec = w.gathered(names)
		}
		q := NewQuery(spec, w.table)
		run := &invariantRun{w: w, q: q, spec: spec, open: map[AttemptID]Send{}, ran: map[int]map[LeafID]bool{}}
		run.apply(q.Start(w.now))
		for run.ends == 0 {
			run.step(t)
		}
		w.Expect(run.ends).To(gomega.Equal(1))
		w.Expect(w.now).NotTo(gomega.BeTemporally(">", spec.Deadline.Add(time.Millisecond)))
	})
}

// invariantRun passes random events to a query and checks the actions that it returns.
type invariantRun struct {
	w    *world
	q    *Query
	spec Spec
	open map[AttemptID]Send      // attempts in flight
	ran  map[int]map[LeafID]bool // by shard: leafs that may have run it
	ends int                     // number of Finish actions
}

// apply records the actions and checks them.
func (r *invariantRun) apply(acts []Action) {
	for _, s := range sends(acts) {
		r.open[s.Attempt] = s
		if r.ran[s.Shard] == nil {
			r.ran[s.Shard] = map[LeafID]bool{}
		}
		if !r.spec.Idempotent {
			r.w.Expect(r.ran[s.Shard]).To(gomega.BeEmpty(), "resent after it may have run")
		}
		r.ran[s.Shard][s.Leaf] = true
		r.w.Expect(len(r.ran[s.Shard])).To(gomega.BeNumerically("<=", r.spec.MaxAttempts))
	}
	if outcome(acts) != nil {
		r.ends++
	}
}

// step advances the clock to the next tick, or ends the oldest attempt in flight in a random way.
func (r *invariantRun) step(t *rapid.T) {
	if len(r.open) == 0 || rapid.Bool().Draw(t, "tick") {
		r.w.now = later(r.q.Wake(r.w.now), r.w.now)
		r.apply(r.q.Tick(r.w.now))
		return
	}
	var id AttemptID
	for candidate := range r.open {
		if id == 0 || candidate < id {
			id = candidate
		}
	}
	s := r.open[id]
	delete(r.open, id)
	end := rapid.SampledFrom([]End{EndAnswered, EndBroken, EndRefused, EndUnreachable, EndSilent}).Draw(t, "end")
	r.w.table.AttemptEnded(r.w.now, s.Leaf, s.SentAt, end)
	switch end {
	case EndAnswered:
		r.apply(r.q.Reply(r.w.now, id, rapid.Bool().Draw(t, "failed")))
	default:
		if end == EndRefused || end == EndUnreachable {
			delete(r.ran[s.Shard], s.Leaf)
		}
		r.apply(r.q.Fail(r.w.now, id, end))
	}
}

// Guards against retrying a leaf whose address now belongs to another leaf. The first leaf
// crashed and its entry stays in the list for seconds, while the other refuses each request
// that is meant for the first.
func TestLeafWhoseAddressHasMovedIsNotTriedAgain(t *testing.T) {
	w := newWorld(t)
	moved := w.leaf("ledger", homeZone)
	w.table.AttemptEnded(w.now, moved, w.now, EndMoved)
	w.wait(5 * time.Second)
	out := outcome(NewQuery(w.single("ledger", true), w.table).Start(w.now))
	w.Expect(out.Verdict).To(gomega.Equal(NotRun))
	w.table.Apply(w.now, registry.Change{Leaf: registry.Leaf{
		ID: moved.ID, Born: 2, Service: "ledger", Zone: homeZone, Slots: 2, Address: "127.0.0.1:2",
	}})
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))).To(gomega.HaveLen(1))
}

// Guards against a called VM that waits for leafs. A VM that has just started knows no leafs, and
// must answer the call at once. If it waited, the calling VM would lose all of its request's time.
func TestVMWithoutLeafsAnswersACallAtOnce(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered([]string{"unknown-1", "unknown-2"})
	spec.Delegated, spec.Views = true, make([]View, len(spec.Services))
	spec.MinShare = 0
	w.Expect(outcome(NewQuery(spec, w.table).Start(w.now))).NotTo(gomega.BeNil())
}

// Guards against needless traffic between zones. A leaf in this zone is slightly slower than one in
// another zone, which would be used instead: twice the traffic between zones, although every
// answer would be in time anyway. The leaf in this zone is avoided only if it is slow relative to
// the latency objective.
func TestNearLeafIsKeptWhileItIsInTime(t *testing.T) {
	for _, c := range []struct {
		nearDuration time.Duration
		farUsed      bool
	}{{10 * time.Millisecond, false}, {18 * time.Millisecond, false}, {30 * time.Millisecond, false}, {40 * time.Millisecond, true}} {
		w := newWorld(t)
		names := w.shards(1, homeZone, "other")
		for _, zone := range []string{homeZone, "other"} {
			l := w.table.leafs["shard-00@"+zone]
			if zone == homeZone {
				l.slowdown.recordReported(w.now, float64(c.nearDuration)/(defaultTypicalDurationShare*float64(100*time.Millisecond)))
			}
		}
		first := sends(NewQuery(w.gathered(names), w.table).Start(w.now))
		w.Expect(first[0].OtherZone).To(gomega.Equal(c.farUsed), "leaf in this zone takes %v of a latency objective of 100 ms", c.nearDuration)
	}
}

// Guards against repeated use of a leaf that fails every other request. It reports that it is
// healthy and answers the others. So there are no two consecutive failures, which would start a
// cooldown, and each failure costs its request a retry. Another leaf, even in another zone, is
// used until the failures are some seconds old.
func TestLeafThatFailsEveryOtherRequestIsAvoided(t *testing.T) {
	for _, end := range []End{EndBroken, EndFailed} {
		w := newWorld(t)
		failing := w.leaf("ledger", homeZone)
		w.leaf("ledger", "other")
		first := func() Send { return sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0] }
		for i := range 6 {
			s := first()
			w.wait(5 * time.Millisecond)
			if s.Leaf == failing && i%2 == 0 {
				w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, end)
			} else {
				w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
			}
		}
		w.Expect(first().Leaf).NotTo(gomega.Equal(failing))
		w.wait(4 * failureRateHalfLife)
		w.Expect(first().Leaf).To(gomega.Equal(failing))
	}
}

// Guards against leafs that work for seconds on parts of answers that were sent long ago,
// while parts that are still useful wait behind them. The shard is short of slots.
func TestAttemptEndsWhenItsAnswerIsTooLate(t *testing.T) {
	w := newWorld(t)
	names := w.shards(10, homeZone, "other")
	spec := w.gathered(names)
	spec.Deadline = w.now.Add(1500 * time.Millisecond)
	q := NewQuery(spec, w.table)
	for _, s := range sends(q.Start(w.now)) {
		w.Expect(s.Until).To(gomega.Equal(spec.AnswerBy))
	}
	w.wait(85 * time.Millisecond)
	late := sends(q.Fail(w.now, 1, EndBroken))
	w.Expect(late).To(gomega.HaveLen(1))
	w.Expect(late[0].Until).To(gomega.BeTemporally(">", spec.AnswerBy))
	w.Expect(late[0].Until).To(gomega.BeTemporally("<", spec.Deadline))
	report := w.single("shard-00", false)
	w.Expect(sends(NewQuery(report, w.table).Start(w.now))[0].Until).To(gomega.Equal(report.Deadline))
}

// Guards against an attempt whose part no caller waits for, and which delays other requests. The
// attempt would follow one that fails just before AnswerBy, when the answer is sufficient without
// its part.
func TestLateAttemptIsNotSentForSufficientAnswer(t *testing.T) {
	for _, missing := range []int{1, 2} {
		w := newWorld(t)
		spec := w.gathered(w.shards(10, homeZone, "other"))
		q := NewQuery(spec, w.table)
		first := sends(q.Start(w.now))
		w.wait(10 * time.Millisecond)
		for _, s := range first[missing:] {
			q.Reply(w.now, s.Attempt, false)
		}
		w.now = spec.AnswerBy.Add(-2 * time.Millisecond)
		again := sends(q.Fail(w.now, first[0].Attempt, EndBroken))
		w.Expect(again).To(gomega.HaveLen(missing-1), "an answer that lacks %d of 10 shards", missing)
	}
}

// Guards against reporting that a request may have run although no leaf started it: the queues of
// the leafs are so long that the time of all parts is over before they start.
func TestAttemptsThatWereNotStartedHaveNotRun(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(2, homeZone))
	q := NewQuery(spec, w.table)
	first := sends(q.Start(w.now))
	w.now = spec.AnswerBy
	w.Expect(outcome(q.Fail(w.now, first[0].Attempt, EndNotStarted)).Verdict).To(gomega.Equal(TooFewShards), "the other attempt may still run")
	q = NewQuery(spec, w.table)
	spec.MinShare = 0.1
	q.spec = spec
	w.now = w.now.Add(-90 * time.Millisecond)
	first = sends(q.Start(w.now))
	w.now = spec.AnswerBy
	w.Expect(outcome(q.Fail(w.now, first[0].Attempt, EndNotStarted))).To(gomega.BeNil())
	w.Expect(outcome(q.Fail(w.now, first[1].Attempt, EndNotStarted)).Verdict).To(gomega.Equal(NotRun))
}
