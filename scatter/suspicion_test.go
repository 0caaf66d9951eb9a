package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against detecting anew after each cooldown that a leaf has lost power. Each time, a request
// loses half of its time and spends budget on a second leaf. With a hundred such leafs, no answer
// has enough shards. The leaf is used again only once a connection to it was made.
func TestSilentLeafIsUsedAgainOnlyAfterSuccessfulProbe(t *testing.T) {
	for _, end := range []End{EndSilent, EndUnreachable} {
		w := newWorld(t)
		local := w.leaf("ledger", homeZone)
		remote := w.leaf("ledger", "other")
		first := func() Send { return sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0] }
		s := first()
		w.Expect(s.Leaf).To(gomega.Equal(local))
		w.wait(300 * time.Millisecond)
		w.table.AttemptEnded(w.now, local, s.SentAt, end)
		for range 50 {
			w.wait(100 * time.Millisecond)
			s := first()
			w.Expect(s.Leaf).To(gomega.Equal(remote))
			w.table.AttemptEnded(w.now, remote, s.SentAt, EndAnswered)
			due, next := w.table.SuspectLeafs(w.now)
			if len(due) > 0 {
				w.Expect(w.table.RecordLeafProbe(w.now, local, false)).To(gomega.BeFalse())
				_, next = w.table.SuspectLeafs(w.now)
				w.Expect(next.Sub(w.now)).To(gomega.BeNumerically("<=", maxLeafProbePause))
			}
			w.Expect(next).NotTo(gomega.BeZero())
		}
		w.Expect(w.table.RecordLeafProbe(w.now, local, true)).To(gomega.BeTrue())
		w.Expect(first().Leaf).To(gomega.Equal(local))
	}
}

// Guards against refusing a request because all leafs of a service are suspect. They may have
// recovered, or only this VM was disconnected from them. One of them must still be tried.
func TestSuspectLeafIsUsedWithoutAlternative(t *testing.T) {
	w := newWorld(t)
	local := w.leaf("ledger", homeZone)
	s := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0]
	w.table.AttemptEnded(w.now, local, s.SentAt, EndUnreachable)
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))).To(gomega.HaveLen(1))
	failing := w.leaf("ledger", "other")
	w.table.AttemptEnded(w.now, failing, w.now, EndBroken)
	w.table.AttemptEnded(w.now.Add(time.Millisecond), failing, w.now.Add(time.Millisecond), EndBroken)
	again := sends(NewQuery(w.single("ledger", true), w.table).Start(w.now.Add(time.Millisecond)))
	w.Expect(again[0].Leaf).To(gomega.Equal(failing), "a leaf that answers occasionally is preferred")
}

// Guards against avoiding a leaf whose answer comes late because this VM was frozen. The leaf
// became suspect, but the answer shows that it is alive, and it is used again without a probe.
func TestLateAnswerClearsASuspectLeaf(t *testing.T) {
	w := newWorld(t)
	local := w.leaf("ledger", homeZone)
	w.leaf("ledger", "other")
	spec := w.single("ledger", true)
	one, two := sends(NewQuery(spec, w.table).Start(w.now))[0], sends(NewQuery(spec, w.table).Start(w.now))[0]
	w.wait(2 * time.Second)
	w.table.AttemptEnded(w.now, local, one.SentAt, EndSilent)
	w.table.AttemptEnded(w.now, local, two.SentAt, EndAnswered)
	w.wait(maxCooldown)
	due, next := w.table.SuspectLeafs(w.now)
	w.Expect(due).To(gomega.BeEmpty())
	w.Expect(next).To(gomega.BeZero())
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0].Leaf).To(gomega.Equal(local))
}
