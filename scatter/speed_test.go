package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// runAnswered runs n requests, one after another, that are each answered after took.
func (w *world) runAnswered(spec Spec, n int, took time.Duration) {
	for range n {
		spec.Deadline = w.now.Add(time.Second)
		q := NewQuery(spec, w.table)
		s := sends(q.Start(w.now))[0]
		w.wait(took)
		q.Reply(w.now, s.Attempt, false)
		w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
	}
}

// Guards against avoiding a leaf that paused once. A leaf pauses for 100 ms, and its four requests
// are answered late. Afterwards it is as fast as before, but for seconds the next requests would go
// to another zone, which causes needless traffic between zones.
func TestLeafThatPausedOnceIsUsedAgain(t *testing.T) {
	w := newWorld(t)
	local := w.leaf("ledger", homeZone)
	w.leaf("ledger", "other")
	w.runAnswered(w.single("ledger", true), 60, 8*time.Millisecond)
	var paused []Send
	for range 4 {
		paused = append(paused, sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))...)
		w.wait(time.Millisecond)
	}
	w.wait(100 * time.Millisecond)
	for _, s := range paused {
		w.Expect(s.Leaf).To(gomega.Equal(local))
		w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
	}
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0].Leaf).To(gomega.Equal(local))
}

// Guards against late answers from a leaf whose machine does other work too, so that each answer
// takes six times as long. The leaf reports this with its first answer. It is avoided at once and
// used again when it may have recovered.
func TestLeafOnASlowMachineIsAvoided(t *testing.T) {
	w := newWorld(t)
	local := w.leaf("ledger", homeZone)
	remote := w.leaf("ledger", "other")
	first := func() LeafID { return sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0].Leaf }
	w.Expect(first()).To(gomega.Equal(local))
	w.table.RecordLoad(w.now, local, Load{Slots: 2, Slowdown: 6})
	w.Expect(first()).To(gomega.Equal(remote))
	w.wait(3 * slowdownHalfLife)
	w.Expect(first()).To(gomega.Equal(local))
}

// Guards against trusting a leaf that reports a machine of usual speed, while each of its answers
// takes long because of a slow network. The reported slowdown must not outweigh the durations of
// the answers.
func TestLeafWithSlowAnswersIsAvoidedDespiteReportedSlowdown(t *testing.T) {
	w := newWorld(t)
	local := w.leaf("ledger", homeZone)
	remote := w.leaf("ledger", "other")
	w.runAnswered(w.single("ledger", true), 60, 8*time.Millisecond)
	for range 10 {
		s := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0]
		if s.Leaf == remote {
			return
		}
		w.wait(60 * time.Millisecond)
		w.table.RecordLoad(w.now, local, Load{Slots: 2, Slowdown: 1})
		w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
	}
	t.Fatal("the slow leaf is always used first")
}

// Guards against one expected duration for two kinds of requests, of 3 ms and of 40 ms, at one
// leaf. Because of the long ones, the leaf would count as slow for the short ones, which would go
// to another zone.
func TestDurationsOfRequestKindsAreSeparate(t *testing.T) {
	w := newWorld(t)
	local := w.leaf("ledger", homeZone)
	w.leaf("ledger", "other")
	short, long := w.single("ledger", true), w.single("ledger", true)
	short.LatencyObjective, long.LatencyObjective = 50*time.Millisecond, 500*time.Millisecond
	for range 60 {
		w.runAnswered(short, 1, 3*time.Millisecond)
		w.runAnswered(long, 1, 40*time.Millisecond)
	}
	w.Expect(sends(NewQuery(short, w.table).Start(w.now))[0].Leaf).To(gomega.Equal(local))
}

// Guards against mistaking a slow kind of request for a pause of the leaf. A VM has just started and
// knows no durations. If it assumed that all kinds were as fast as parts of a search, a leaf with
// requests that take 60 ms of a latency objective of 250 ms would count as stalled after 24 ms, and
// the next requests would go to another zone.
func TestSlowRequestKindIsNotMistakenForPauseAtStartup(t *testing.T) {
	w := newWorld(t)
	local := w.leaf("ledger", homeZone)
	w.leaf("ledger", "other")
	report := w.single("ledger", true)
	report.LatencyObjective = 250 * time.Millisecond
	for range 2 {
		s := sends(NewQuery(report, w.table).Start(w.now))[0]
		w.Expect(s.Leaf).To(gomega.Equal(local))
		w.wait(50 * time.Millisecond)
	}
}

// Guards against sending several requests to a leaf that was nine times as slow as others and
// finished nothing in time. Once its recorded slowdown has partly decayed, a few requests would go
// there before the first of them showed that it is still slow.
func TestLeafThatWasTooSlowIsTriedWithOneRequest(t *testing.T) {
	w := newWorld(t)
	local := w.leaf("ledger", homeZone)
	w.runAnswered(w.single("ledger", true), 60, 8*time.Millisecond)
	expire := func(s Send) {
		w.wait(100 * time.Millisecond)
		w.table.AttemptEnded(w.now, local, s.SentAt, EndExpired)
	}
	first := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))
	second := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))
	expire(first[0])
	expire(second[0])
	alone := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))
	w.Expect(alone).To(gomega.HaveLen(1))
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))).To(gomega.BeEmpty())
	w.wait(8 * time.Millisecond)
	w.table.AttemptEnded(w.now, local, alone[0].SentAt, EndAnswered)
	for range 2 {
		w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))).To(gomega.HaveLen(1))
	}
}

// Guards against a leaf that finishes nothing in time, and so never shows by an answer how
// slow it is. Requests would continue to go there, and each answer would lack a part.
func TestLeafThatFinishesNothingInTimeIsAvoided(t *testing.T) {
	w := newWorld(t)
	local := w.leaf("ledger", homeZone)
	remote := w.leaf("ledger", "other")
	w.runAnswered(w.single("ledger", true), 60, 8*time.Millisecond)
	for range 6 {
		s := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0]
		if s.Leaf == remote {
			return
		}
		w.wait(90 * time.Millisecond)
		w.table.RecordLoad(w.now, local, Load{Slots: 2})
		w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndExpired)
	}
	t.Fatal("the slow leaf is always used first")
}

// Guards against a leaf that looks faster, and gets more requests, since some of them fail in less time than an
// answer takes.
func TestFailuresDoNotMakeALeafLookFast(t *testing.T) {
	w := newWorld(t)
	leaf := w.leaf("ledger", homeZone)
	fail := func(took time.Duration) {
		q := NewQuery(w.single("ledger", true), w.table)
		s := sends(q.Start(w.now))[0]
		w.wait(took)
		w.table.AttemptEnded(w.now, leaf, s.SentAt, EndFailed)
		q.Reply(w.now, s.Attempt, true)
	}
	w.runAnswered(w.single("ledger", true), 100, 20*time.Millisecond)
	usual := w.table.findLeaf(leaf).slowdown.factor(w.now)
	for range 20 {
		fail(time.Millisecond)
	}
	w.Expect(w.table.findLeaf(leaf).slowdown.factor(w.now)).To(gomega.BeNumerically(">=", usual-0.01))
	fail(300 * time.Millisecond)
	w.Expect(w.table.findLeaf(leaf).slowdown.factor(w.now)).To(gomega.BeNumerically(">", 1.2), "it takes long to fail")
}
