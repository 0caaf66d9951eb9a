package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// tickUntil calls Tick whenever it is due, until the query ends or the time d from its start. It returns
// the outcome, nil if there is none by then, and the attempts made.
func (w *world) tickUntil(q *Query, d time.Duration) (out *Outcome, sent []Send) {
	for end := q.startedAt.Add(d); out == nil; {
		at := q.Wake(w.now)
		if at.After(end) {
			w.now = end
			return nil, sent
		}
		w.now = later(w.now, at)
		acts := q.Tick(w.now)
		sent = append(sent, sends(acts)...)
		out = outcome(acts)
	}
	return out, sent
}

// Guards against requests that stay open in vain: leafs are silent, and whether they are alive shows only
// hundreds of milliseconds after the answer was due.
func TestLostRequestEndsWithoutWaitingForSilentLeafs(t *testing.T) {
	w := newWorld(t)
	q := NewQuery(w.gathered(w.shards(20, homeZone)), w.table)
	for _, s := range sends(q.Start(w.now))[3:] {
		w.Expect(outcome(q.Reply(w.now.Add(5*time.Millisecond), s.Attempt, false))).To(gomega.BeNil())
	}
	out, _ := w.tickUntil(q, 110*time.Millisecond)
	w.Expect(out).NotTo(gomega.BeNil())
	w.Expect(out.Verdict).To(gomega.Equal(TooFewShards))
	w.Expect(out.Gaps).To(gomega.HaveLen(3))
}

// Guards against a failure of a request whose answers have arrived: this VM was paused beyond the time of
// all attempts, and reads them next.
func TestPausedVMReadsTheAnswersThatHaveArrived(t *testing.T) {
	w := newWorld(t)
	q := NewQuery(w.gathered(w.shards(20, homeZone)), w.table)
	first := sends(q.Start(w.now))
	w.wait(300 * time.Millisecond)
	w.Expect(outcome(q.Tick(w.now))).To(gomega.BeNil())
	for _, s := range first[:17] {
		w.Expect(outcome(q.Reply(w.now, s.Attempt, false))).To(gomega.BeNil())
	}
	w.Expect(outcome(q.Reply(w.now, first[17].Attempt, false)).Verdict).To(gomega.Equal(Answered))
}

// Guards against a failure in place of a late answer: a leaf still works on a late attempt.
func TestLateAttemptIsAwaited(t *testing.T) {
	w := newWorld(t)
	q := NewQuery(w.gathered(w.shards(20, homeZone, "other")), w.table)
	first := sends(q.Start(w.now))
	for _, s := range first[3:] {
		q.Reply(w.now.Add(5*time.Millisecond), s.Attempt, false)
	}
	w.wait(85 * time.Millisecond)
	var second []Send
	for _, s := range first[:3] {
		second = append(second, sends(q.Fail(w.now, s.Attempt, EndBroken))...)
	}
	w.Expect(second).To(gomega.HaveLen(3))
	out, _ := w.tickUntil(q, 120*time.Millisecond)
	w.Expect(out).To(gomega.BeNil())
	out = outcome(q.Reply(w.now, second[0].Attempt, false))
	w.Expect(out.Verdict).To(gomega.Equal(Answered))
}

// Guards against late attempts at leafs that can't be connected to: they keep lost requests open.
func TestLateAttemptsAvoidUnreachableLeafs(t *testing.T) {
	for _, unreachable := range []bool{false, true} {
		w := newWorld(t)
		w.leaf("shard", homeZone)
		other := w.leaf("shard", "other")
		q := NewQuery(w.gathered([]string{"shard"}), w.table)
		first := sends(q.Start(w.now))[0]
		w.table.AttemptEnded(w.now, other, w.now, EndSilent)
		if unreachable {
			w.table.RecordLeafProbe(w.now, other, false)
		}
		w.wait(85 * time.Millisecond)
		w.Expect(sends(q.Fail(w.now, first.Attempt, EndBroken))).To(gomega.HaveLen(map[bool]int{true: 0, false: 1}[unreachable]))
	}
}

// Guards against hedges that take slots at a VM that can't answer enough shards any more, and against
// none at one that can, together with the shards that it leaves to the calling VM.
func TestHedgesAreSentOnlyWhereTheyDecide(t *testing.T) {
	for name, test := range map[string]struct{ declined, closed, hedges int }{
		"lost":              {0, 2, 0},
		"one may be closed": {0, 1, 9},
		"one is declined":   {1, 1, 8},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			spec := w.gathered(w.shards(10, homeZone, "other"))
			spec.Delegated, spec.Views, spec.Required, spec.MinShare = true, w.viewsOf(spec), 9, 0
			for i := range test.declined {
				spec.Views[9-i]++
			}
			q := NewQuery(spec, w.table)
			w.Expect(sends(q.Start(w.now))).To(gomega.HaveLen(10 - test.declined))
			for i := range test.closed {
				q.shards[i].inFlight = 0
				q.shards[i].close(GapAttempts)
			}
			_, sent := w.tickUntil(q, 80*time.Millisecond)
			w.Expect(sent).To(gomega.HaveLen(test.hedges))
		})
	}
}
