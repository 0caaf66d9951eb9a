package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// playAnswers lets the leaf of one request after another answer after the time given.
func (w *world) playAnswers(spec Spec, n int, took time.Duration) {
	for range n {
		spec.Deadline = w.now.Add(time.Second)
		q := NewQuery(spec, w.table)
		s := sends(q.Start(w.now))[0]
		w.wait(took)
		q.Reply(w.now, s.Attempt, false)
		w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
	}
}

// A leaf pauses for 100 ms, and the four requests that it had come late. It is as quick as
// ever afterwards, but the next requests go to another zone for seconds: dear bytes for
// nothing.
func TestLeafThatPausedOnceIsAskedAgain(t *testing.T) {
	w := newWorld(t)
	near := w.leaf("ledger", homeZone)
	w.leaf("ledger", "other")
	w.playAnswers(w.single("ledger", true), 60, 8*time.Millisecond)
	var paused []Send
	for range 4 {
		paused = append(paused, sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))...)
		w.wait(time.Millisecond)
	}
	w.wait(100 * time.Millisecond)
	for _, s := range paused {
		w.Expect(s.Leaf).To(gomega.Equal(near))
		w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
	}
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0].Leaf).To(gomega.Equal(near))
}

// A leaf's machine does other work too, and each answer takes six times as long: callers
// get them late. The leaf says so with its first answer; it is left aside at once and asked
// again when it may be well.
func TestLeafOnASlowMachineIsLeftAside(t *testing.T) {
	w := newWorld(t)
	near := w.leaf("ledger", homeZone)
	far := w.leaf("ledger", "other")
	first := func() LeafID { return sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0].Leaf }
	w.Expect(first()).To(gomega.Equal(near))
	w.table.RecordLoad(w.now, near, Load{Slots: 2, Slowdown: 6})
	w.Expect(first()).To(gomega.Equal(far))
	w.wait(3 * slowdownHalfLife)
	w.Expect(first()).To(gomega.Equal(near))
}

// A leaf says that its machine is as usual, but its answers take long each time: the way to
// it is slow. What it says must not outweigh what is seen.
func TestLeafWithSlowAnswersIsAvoidedDespiteStatedSlowdown(t *testing.T) {
	w := newWorld(t)
	near := w.leaf("ledger", homeZone)
	far := w.leaf("ledger", "other")
	w.playAnswers(w.single("ledger", true), 60, 8*time.Millisecond)
	for range 10 {
		s := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0]
		if s.Leaf == far {
			return
		}
		w.wait(60 * time.Millisecond)
		w.table.RecordLoad(w.now, near, Load{Slots: 2, Slowdown: 1})
		w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
	}
	t.Fatal("the slow leaf is asked first for ever")
}

// Requests of two kinds reach one leaf, one of 3 ms and one of 40 ms. With one expected
// time for both, the long ones make the leaf look slow to the short ones, which go to
// another zone.
func TestDurationsOfRequestKindsAreSeparate(t *testing.T) {
	w := newWorld(t)
	near := w.leaf("ledger", homeZone)
	w.leaf("ledger", "other")
	short, long := w.single("ledger", true), w.single("ledger", true)
	short.LatencyObjective, long.LatencyObjective = 50*time.Millisecond, 500*time.Millisecond
	for range 60 {
		w.playAnswers(short, 1, 3*time.Millisecond)
		w.playAnswers(long, 1, 40*time.Millisecond)
	}
	w.Expect(sends(NewQuery(short, w.table).Start(w.now))[0].Leaf).To(gomega.Equal(near))
}

// A VM has just started and knows no durations. Requests that take 60 ms of an aim of 250 are
// taken for pausing leafs after 24 ms, as if all kinds were as quick as parts of a search, and
// the next ones go to another zone.
func TestSlowRequestKindIsNotMistakenForPauseAtStartup(t *testing.T) {
	w := newWorld(t)
	near := w.leaf("ledger", homeZone)
	w.leaf("ledger", "other")
	report := w.single("ledger", true)
	report.LatencyObjective = 250 * time.Millisecond
	for range 2 {
		s := sends(NewQuery(report, w.table).Start(w.now))[0]
		w.Expect(s.Leaf).To(gomega.Equal(near))
		w.wait(50 * time.Millisecond)
	}
}

// A leaf is nine times as slow as others and finishes nothing in time. Once that is forgotten
// a little, a handful of requests goes there before the first of them shows it again.
func TestLeafThatWasTooSlowIsTriedWithOneRequest(t *testing.T) {
	w := newWorld(t)
	near := w.leaf("ledger", homeZone)
	w.playAnswers(w.single("ledger", true), 60, 8*time.Millisecond)
	expire := func(s Send) {
		w.wait(100 * time.Millisecond)
		w.table.AttemptEnded(w.now, near, s.SentAt, EndExpired)
	}
	first := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))
	second := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))
	expire(first[0])
	expire(second[0])
	alone := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))
	w.Expect(alone).To(gomega.HaveLen(1))
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))).To(gomega.BeEmpty())
	w.wait(8 * time.Millisecond)
	w.table.AttemptEnded(w.now, near, alone[0].SentAt, EndAnswered)
	for range 2 {
		w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))).To(gomega.HaveLen(1))
	}
}

// A leaf is so slow that it finishes nothing in time, and so never shows how slow it is by an
// answer. Requests go there as before, each a part that an answer lacks.
func TestLeafThatFinishesNothingInTimeIsLeftAside(t *testing.T) {
	w := newWorld(t)
	near := w.leaf("ledger", homeZone)
	far := w.leaf("ledger", "other")
	w.playAnswers(w.single("ledger", true), 60, 8*time.Millisecond)
	for range 6 {
		s := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0]
		if s.Leaf == far {
			return
		}
		w.wait(90 * time.Millisecond)
		w.table.RecordLoad(w.now, near, Load{Slots: 2})
		w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndExpired)
	}
	t.Fatal("the slow leaf is asked first for ever")
}
