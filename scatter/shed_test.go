package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// runRefused runs n requests at the given interval. The given leaf refuses those that it gets,
// and reports load with each refusal. Other leafs answer.
func (w *world) runRefused(service string, leaf LeafID, n int, interval time.Duration, load Load) {
	for range n {
		s := sends(NewQuery(w.single(service, true), w.table).Start(w.now))[0]
		end := EndAnswered
		w.wait(time.Millisecond)
		if s.Leaf == leaf {
			w.table.RecordLoad(w.now, s.Leaf, load)
			end = EndRefused
		}
		w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, end)
		w.wait(interval)
	}
}

// Guards against sending each request first to a leaf that refuses requests although it has
// free slots.
func TestLeafThatRefusesWithFreeSlotsIsAvoided(t *testing.T) {
	w := newWorld(t)
	local := w.leaf("ledger", homeZone)
	remote := w.leaf("ledger", "other")
	first := func() LeafID { return sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0].Leaf }
	w.runRefused("ledger", local, 5, 2*refusedCooldown, Load{Running: 0, Slots: 2})
	w.Expect(first()).To(gomega.Equal(remote))
	w.wait(3 * failureRateHalfLife)
	w.Expect(first()).To(gomega.Equal(local))
}

// Guards against avoiding a leaf for seconds that was full for a moment.
func TestLeafThatRefusesWhileFullIsUsedAgain(t *testing.T) {
	w := newWorld(t)
	local := w.leaf("ledger", homeZone)
	w.leaf("ledger", "other")
	w.runRefused("ledger", local, 6, reportedLoadLifetime, Load{Running: 2, Waiting: 12, Slots: 2})
	w.Expect(sends(NewQuery(w.single("ledger", true), w.table).Start(w.now))[0].Leaf).To(gomega.Equal(local))
}

// Guards against spending the budget of extra arrivals on leafs that refuse six attempts of ten,
// while the other leaf of each shard has slots to spare.
func TestCallersAreServedWhileHalfOfLeafsShedLoad(t *testing.T) {
	w := newWorld(t)
	sim := newSimulation(w, 1)
	names := sim.shards(30, 9*time.Millisecond, homeZone, "other")
	for id, l := range sim.leafs {
		if w.table.findLeaf(id).Zone == homeZone {
			l.shedShare = 0.6
		}
	}
	sim.run(10*time.Second, 20, func() Spec { return w.gathered(names) })
	t.Logf("callers %d, in time %d, late %d, refused %d, failed %d", sim.callers, sim.inTime, sim.late, sim.refused, sim.failed)
	w.Expect(float64(sim.failed+sim.refused) / float64(sim.callers)).To(gomega.BeNumerically("<", 0.03))
	w.Expect(sim.credit / float64(sim.callers)).To(gomega.BeNumerically(">", 0.95))
}
