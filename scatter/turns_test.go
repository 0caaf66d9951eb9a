package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// rankedWorld returns a world in which a quarter of the demand is of rank 0 and the rest of rank 2.
func rankedWorld(t *testing.T) *world {
	w := newWorld(t)
	w.table.SetTenants(true, nil)
	for _, p := range []*pool{w.table.urgency.gathered, w.ranked("ledger", 0).pool()} {
		p.shares.Ask(w.now, 0, "", 100)
		p.shares.Ask(w.now, 2, "", 300)
	}
	return w
}

// ranked returns a query of a request to one service.
func (w *world) ranked(service string, rank int) *Query {
	spec := w.single(service, true)
	spec.Rank = rank
	return NewQuery(spec, w.table)
}

// Guards against a leaf's place that goes to whichever request happens to look for one first.
func TestFreedPlaceGoesToMostUrgentWaiter(t *testing.T) {
	w := rankedWorld(t)
	w.leaf("ledger", homeZone)
	first := sends(w.ranked("ledger", 2).Start(w.now))[0]
	for range 2*maxInFlightPerSlot - 1 {
		w.Expect(sends(w.ranked("ledger", 2).Start(w.now))).To(gomega.HaveLen(1))
	}
	w.wait(time.Millisecond)
	least, urgent, later := w.ranked("ledger", 2), w.ranked("ledger", 0), w.ranked("ledger", 2)
	w.Expect(sends(least.Start(w.now))).To(gomega.BeEmpty())
	w.wait(time.Millisecond)
	w.Expect(sends(urgent.Start(w.now))).To(gomega.BeEmpty())
	w.table.AttemptEnded(w.now, first.Leaf, first.SentAt, EndAnswered)
	w.Expect(sends(later.Start(w.now))).To(gomega.BeEmpty(), "a request that comes now does not overtake")
	w.now = urgent.Wake(w.now)
	w.Expect(sends(least.Tick(w.now))).To(gomega.BeEmpty())
	w.Expect(sends(urgent.Tick(w.now))).To(gomega.HaveLen(1))
	w.Expect(w.table.services["ledger"].line).To(gomega.HaveLen(2))
	w.wait(time.Second)
	least.Tick(w.now)
	later.Tick(w.now)
	w.Expect(w.table.services["ledger"].line).To(gomega.BeEmpty())
}

// Guards against a waiting shard that no free leaf suits and that keeps others from the leafs.
func TestUnsuitedWaiterHoldsNobodyUp(t *testing.T) {
	w := rankedWorld(t)
	w.leaf("ledger", homeZone)
	for range 2*maxInFlightPerSlot - 1 {
		w.ranked("ledger", 2).Start(w.now)
	}
	urgent := w.ranked("ledger", 0)
	urgent.joinLine(w.now, &urgent.shards[0], false)
	w.Expect(sends(w.ranked("ledger", 2).Start(w.now))).To(gomega.HaveLen(1))
}

// Guards against hedges of less urgent requests that take slots while room is short.
func TestHedgesOfLessUrgentYieldWhileRoomIsShort(t *testing.T) {
	hedges := func(rank int, short bool) int {
		w := rankedWorld(t)
		w.leaf("ledger", homeZone)
		w.leaf("ledger", "other")
		q := w.ranked("ledger", rank)
		if short {
			q.recordShortage(w.now)
		}
		q.Start(w.now)
		w.wait(35 * time.Millisecond)
		n := len(sends(q.Tick(w.now)))
		w.Expect(n + q.Yields().Hedges).To(gomega.Equal(1))
		return n
	}
	w := newWorld(t)
	w.Expect(hedges(0, false)).To(gomega.Equal(1))
	w.Expect(hedges(2, false)).To(gomega.Equal(1))
	w.Expect(hedges(0, true)).To(gomega.Equal(1))
	w.Expect(hedges(2, true)).To(gomega.BeZero())
}

// Guards against less urgent requests that use up the budget of hedges and retries.
func TestRestOfBudgetIsKeptForMoreUrgent(t *testing.T) {
	w := rankedWorld(t)
	w.leaf("ledger", homeZone)
	retry := func(rank int) bool {
		q := w.ranked("ledger", rank)
		q.shards[0].arrived, q.shards[0].budgetCounted = true, true
		return q.spendBudget(w.now, &q.shards[0], Retry)
	}
	spent := 0
	for retry(2) {
		spent++
	}
	kept := 0
	for retry(0) {
		kept++
	}
	w.Expect(spent).To(gomega.BeNumerically(">", 0))
	w.Expect(float64(kept) / float64(kept+spent)).To(gomega.BeNumerically("~", budgetReserveShare, 0.05))
}

// Guards against a request that yields although another VM may have started it.
func TestStartedRequestDoesNotYield(t *testing.T) {
	w := rankedWorld(t)
	names := w.shards(4, homeZone)
	room := w.table.urgency.gathered
	for range 200 {
		w.wait(50 * time.Millisecond)
		room.level.Admits(w.now, 2, 1)
	}
	room.shortUntil = w.now.Add(shortageMemory)
	for _, l := range w.table.leafs {
		l.typicalWork = 20 * time.Millisecond
		l.recordLoad(w.now, Load{Running: 2, Waiting: 2, Slots: 2, Slowdown: 1})
	}
	spec := w.gathered(names)
	spec.Rank, spec.RequestID = 2, "9c41d07be2a35f68"
	spec.Redelegated = true
	q := NewQuery(spec, w.table)
	q.Start(w.now)
	w.Expect(q.Yields().Request).To(gomega.BeFalse())
	spec.Redelegated = false
	q = NewQuery(spec, w.table)
	out := outcome(q.Start(w.now))
	w.Expect(q.Yields().Request).To(gomega.BeTrue())
	w.Expect(out.Verdict).To(gomega.Equal(NotRun))
	w.Expect(out.RetryAfter).To(gomega.BeNumerically(">=", minRetryAfter))
	w.Expect(out.Refusal.Position).To(gomega.BeNumerically(">", out.Refusal.Level))
}

// Guards against refusing requests at once, for want of room, whose leafs are all out of reach for a
// moment and may be back.
func TestLeafsOutOfReachAreNoLackOfRoom(t *testing.T) {
	w := rankedWorld(t)
	id := w.leaf("ledger", homeZone)
	w.table.findLeaf(id).suspicion.raise(w.now)
	q := w.ranked("ledger", 2)
	room := q.pool()
	for range 200 {
		w.wait(50 * time.Millisecond)
		room.level.Admits(w.now, 2, 1)
	}
	room.shortUntil = w.now.Add(shortageMemory)
	q.spec = w.single("ledger", true)
	q.spec.Rank = 2
	w.Expect(sends(q.Start(w.now))).To(gomega.HaveLen(1))
	w.Expect(q.Yields().Request).To(gomega.BeFalse())
}
