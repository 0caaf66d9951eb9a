package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// A report is filed twice: the leaf ran it, its connection broke before the answer,
// and the daemon sent it to another leaf. Only a leaf's own word, or a connection that
// never stood, frees a request that must run once.
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

// An inspector waits for the whole time limit and is then told that nothing ran: every
// leaf of the service was gone, which the daemon knew from the start.
func TestRequestWithoutLeafsIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	q := NewQuery(w.single("ledger", true), w.table)
	out := outcome(q.Start(w.now))
	w.Expect(out).NotTo(gomega.BeNil())
	w.Expect(out.Verdict).To(gomega.Equal(NotRun))
	w.Expect(out.RetryAfter).To(gomega.BeNumerically(">", 0))
}

// A caller is told "not run" and files its report anew, but a leaf had run it: the
// refusal came after an attempt whose end nobody knew.
func TestNotRunIsSaidOnlyIfNothingMayHaveRun(t *testing.T) {
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

// A register comes back late as a whole since one leaf of thirty pauses: the other
// parts were there in time, and enough of them.
func TestGatheredRequestIsAnsweredInPartBeforeTheAim(t *testing.T) {
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

// A caller waits for a register of which too much is out of reach, until its time is
// over. It is refused at once, and leafs do nothing for it.
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

// Too much of a register turns out to be out of reach after leafs were asked. The caller is
// told as soon as that is sure, and not that its request has not run.
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

// A leaf pauses in the middle of a query. A second leaf is asked once the first takes
// longer than answers usually do, and its answer counts.
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

// A draining leaf gets requests after it said that it leaves, and answers none of
// them.
func TestDrainingLeafGetsNoRequests(t *testing.T) {
	w := newWorld(t)
	near := w.leaf("ledger", homeZone)
	far := w.leaf("ledger", "other")
	w.table.Apply(w.now, registry.Change{Leaf: registry.Leaf{
		ID: near.ID, Born: 1, Service: "ledger", Zone: homeZone, Slots: 2, Address: "127.0.0.1:1", Draining: true,
	}})
	for range 20 {
		q := NewQuery(w.single("ledger", true), w.table)
		s := sends(q.Start(w.now))
		w.Expect(s).To(gomega.HaveLen(1))
		w.Expect(s[0].Leaf).To(gomega.Equal(far))
		w.table.AttemptEnded(w.now, far, s[0].SentAt, EndAnswered)
	}
}

// A leaf starts anew under its old id. What was known of its former life, a rest after
// many failures, must not keep requests away, and late ends of old requests must not
// count for it.
func TestNewLifetimeOfALeafStartsWithCleanCounts(t *testing.T) {
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
	young := LeafID{ID: old.ID, Born: 2}
	w.Expect(w.table.findLeaf(young).cooldown.active(w.now)).To(gomega.BeFalse())
	w.Expect(w.table.findLeaf(old)).To(gomega.BeNil())
	w.table.AttemptEnded(w.now, old, w.now, EndUnreachable)
	w.Expect(w.table.findLeaf(young).cooldown.active(w.now)).To(gomega.BeFalse())
}

// Whatever leafs do and whenever, a query ends exactly once, by its deadline, asks no
// more leafs of a shard than allowed, and a request that must run once is not sent on
// after it may have run.
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

// invariantRun plays random events and checks what a query does.
type invariantRun struct {
	w    *world
	q    *Query
	spec Spec
	open map[AttemptID]Send
	ran  map[int]map[LeafID]bool
	ends int
}

func (r *invariantRun) apply(acts []Action) {
	for _, s := range sends(acts) {
		r.open[s.Attempt] = s
		if r.ran[s.Shard] == nil {
			r.ran[s.Shard] = map[LeafID]bool{}
		}
		if !r.spec.Idempotent {
			r.w.Expect(r.ran[s.Shard]).To(gomega.BeEmpty(), "sent again after it may have run")
		}
		r.ran[s.Shard][s.Leaf] = true
		r.w.Expect(len(r.ran[s.Shard])).To(gomega.BeNumerically("<=", r.spec.MaxAttempts))
	}
	if outcome(acts) != nil {
		r.ends++
	}
}

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

// The address of a leaf that crashed belongs to another, which refuses each request that
// means the first. Its entry stays for seconds, and every request tries it again.
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

// A VM that has just started and knows no leafs is called by another. It says so at once;
// waiting for leafs to come up cost the other VM all of its request's time.
func TestVMWithoutLeafsAnswersACallAtOnce(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered([]string{"unknown-1", "unknown-2"})
	spec.Delegated, spec.Views = true, make([]View, len(spec.Services))
	spec.MinShare = 0
	w.Expect(outcome(NewQuery(spec, w.table).Start(w.now))).NotTo(gomega.BeNil())
}

// Bytes between zones double though every answer would be in time: a near leaf is a
// little slower than one in another zone, which is asked in its place. Only a near leaf
// that is slow for the request's aim is left aside.
func TestNearLeafIsKeptWhileItIsInTime(t *testing.T) {
	for _, c := range []struct {
		near time.Duration
		far  bool
	}{{10 * time.Millisecond, false}, {18 * time.Millisecond, false}, {30 * time.Millisecond, false}, {40 * time.Millisecond, true}} {
		w := newWorld(t)
		names := w.shards(1, homeZone, "other")
		for _, zone := range []string{homeZone, "other"} {
			l := w.table.leafs["shard-00@"+zone]
			if zone == homeZone {
				l.slowdown.recordStated(w.now, float64(c.near)/(defaultTypicalShare*float64(100*time.Millisecond)))
			}
		}
		first := sends(NewQuery(w.gathered(names), w.table).Start(w.now))
		w.Expect(first[0].OtherZone).To(gomega.Equal(c.far), "near leaf takes %v of an aim of 100 ms", c.near)
	}
}

// A leaf fails half of its requests, says that it is healthy and answers the others, so
// no two failures come in a row. Each failure costs its request a retry; another leaf,
// though in another zone, is asked in its place until the failures are some seconds old.
func TestLeafThatFailsEveryOtherRequestIsLeftAside(t *testing.T) {
	for _, end := range []End{EndBroken, EndFailed} {
		w := newWorld(t)
		grey := w.leaf("ledger", homeZone)
		w.leaf("ledger", "other")
		first := func() Send { return sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0] }
		for i := range 6 {
			s := first()
			w.wait(5 * time.Millisecond)
			if s.Leaf == grey && i%2 == 0 {
				w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, end)
			} else {
				w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
			}
		}
		w.Expect(first().Leaf).NotTo(gomega.Equal(grey))
		w.wait(4 * failureHalfLife)
		w.Expect(first().Leaf).To(gomega.Equal(grey))
	}
}

// A shard is short of slots, and its leafs go on for seconds with parts of answers that were
// given long ago, while parts that are still of use wait behind them.
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

// An attempt fails just before an answer leaves that is good without it. Leafs work on another
// one that nobody waits for, and other requests queue behind it.
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

// The leafs' queues are so long that the time of all parts is over before any is begun. The
// caller hears that its request may have run, though no leaf has begun with it.
func TestAttemptsThatWereNotStartedHaveNotRun(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(2, homeZone))
	q := NewQuery(spec, w.table)
	first := sends(q.Start(w.now))
	w.now = spec.AnswerBy
	w.Expect(outcome(q.Fail(w.now, first[0].Attempt, EndNotStarted)).Verdict).To(gomega.Equal(TooFewShards), "the other may run yet")
	q = NewQuery(spec, w.table)
	spec.MinShare = 0.1
	q.spec = spec
	w.now = w.now.Add(-90 * time.Millisecond)
	first = sends(q.Start(w.now))
	w.now = spec.AnswerBy
	w.Expect(outcome(q.Fail(w.now, first[0].Attempt, EndNotStarted))).To(gomega.BeNil())
	w.Expect(outcome(q.Fail(w.now, first[1].Attempt, EndNotStarted)).Verdict).To(gomega.Equal(NotRun))
}
