package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Leafs lose power without a word. After each rest the next request finds out anew, loses
// half of its time and spends the budget on a second leaf: with a hundred such leafs no
// answer has enough shards. The leaf is asked again once a connection to it was made.
func TestSilentLeafIsUsedAgainOnlyAfterSuccessfulProbe(t *testing.T) {
	for _, end := range []End{EndSilent, EndUnreachable} {
		w := newWorld(t)
		near := w.leaf("ledger", homeZone)
		far := w.leaf("ledger", "other")
		first := func() Send { return sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0] }
		s := first()
		w.Expect(s.Leaf).To(gomega.Equal(near))
		w.wait(300 * time.Millisecond)
		w.table.AttemptEnded(w.now, near, s.SentAt, end)
		for range 50 {
			w.wait(100 * time.Millisecond)
			s := first()
			w.Expect(s.Leaf).To(gomega.Equal(far))
			w.table.AttemptEnded(w.now, far, s.SentAt, EndAnswered)
			due, next := w.table.SuspectLeafs(w.now)
			if len(due) > 0 {
				w.Expect(w.table.RecordLeafProbe(w.now, near, false)).To(gomega.BeFalse())
				_, next = w.table.SuspectLeafs(w.now)
				w.Expect(next.Sub(w.now)).To(gomega.BeNumerically("<=", maxLeafProbe))
			}
			w.Expect(next).NotTo(gomega.BeZero())
		}
		w.Expect(w.table.RecordLeafProbe(w.now, near, true)).To(gomega.BeTrue())
		w.Expect(first().Leaf).To(gomega.Equal(near))
	}
}

// All leafs of a service went dark, or this VM was cut off from them. One is asked
// nonetheless: refusing would be the worse guess.
func TestSuspectLeafIsUsedWithoutAlternative(t *testing.T) {
	w := newWorld(t)
	near := w.leaf("ledger", homeZone)
	s := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0]
	w.table.AttemptEnded(w.now, near, s.SentAt, EndUnreachable)
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))).To(gomega.HaveLen(1))
	rests := w.leaf("ledger", "other")
	w.table.AttemptEnded(w.now, rests, w.now, EndBroken)
	w.table.AttemptEnded(w.now.Add(time.Millisecond), rests, w.now.Add(time.Millisecond), EndBroken)
	again := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now.Add(time.Millisecond)))
	w.Expect(again[0].Leaf).To(gomega.Equal(rests), "one that answers now and then is the better guess")
}

// A leaf was taken for dark while this VM was frozen, and its answer comes late. It lives,
// and is asked again without a probe.
func TestLateAnswerClearsASuspectLeaf(t *testing.T) {
	w := newWorld(t)
	near := w.leaf("ledger", homeZone)
	w.leaf("ledger", "other")
	spec := w.single("ledger", true)
	one, two := sends(NewQuery(spec, w.table).Start(w.now))[0], sends(NewQuery(spec, w.table).Start(w.now))[0]
	w.wait(2 * time.Second)
	w.table.AttemptEnded(w.now, near, one.SentAt, EndSilent)
	w.table.AttemptEnded(w.now, near, two.SentAt, EndAnswered)
	w.wait(maxCooldown)
	due, next := w.table.SuspectLeafs(w.now)
	w.Expect(due).To(gomega.BeEmpty())
	w.Expect(next).To(gomega.BeZero())
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0].Leaf).To(gomega.Equal(near))
}
