package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// leafWork is how long a leaf of usual speed works on a shard in the plays of this file.
const leafWork = 6 * time.Millisecond

// newWeakOwner returns a simulation of a weak VM that has taken over 66 shards, and a function that
// returns a request to them. The VM takes perAnswer to read an answer. A fifth of the leafs are half
// as slow again as the others.
func newWeakOwner(t *testing.T, perAnswer time.Duration) (*simulation, func() Spec) {
	w := newWorld(t)
	sim := newSimulation(w, 1)
	names := sim.shards(66, leafWork, homeZone, "other")
	for i, name := range names {
		if i%5 == 0 {
			sim.leafs[LeafID{ID: name + "@" + homeZone, Born: 1}].slowdown = 1.5
			sim.leafs[LeafID{ID: name + "@other", Born: 1}].slowdown = 1.5
		}
	}
	sim.slow = map[*Table]*slowReader{sim.tables[0]: {perAnswer: perAnswer}}
	return sim, func() Spec {
		return Spec{
			Services: names, Gathered: true, Idempotent: true, MaxAttempts: 2, MinShare: 0.9,
			LatencyObjective: 50 * time.Millisecond, AnswerBy: w.now.Add(42 * time.Millisecond),
			Deadline: w.now.Add(280 * time.Millisecond), BudgetWeight: 1,
		}
	}
}

// Guards against a false overload where a weak VM takes over from a strong one: its durations hold
// its own lateness in reading 66 answers, so sound and idle leafs seem to have a queue.
func TestWeakOwnerDoesNotTakeItsOwnTimeForAQueue(t *testing.T) {
	sim, request := newWeakOwner(t, 350*time.Microsecond)
	sim.run(time.Second, 10, request)
	before := sim.refused
	sim.run(10*time.Second, 10, func() Spec {
		spec := request()
		sim.table.forecastOf(durationKey{objective: spec.LatencyObjective, gathered: true}).recordTold(sim.now, leafWork)
		return spec
	})
	sim.Expect(sim.refused - before).To(gomega.BeNumerically("<=", sim.callers/20))
	sim.Expect(sim.inTime).To(gomega.BeNumerically(">=", sim.callers*3/4))
}

// Guards against a false overload that feeds itself: the VM was slow, refuses every request since,
// and measures none, so it goes on refusing after it has become fast.
func TestRefusalsEndOnceTheVMIsFastAgain(t *testing.T) {
	sim, request := newWeakOwner(t, 650*time.Microsecond)
	sim.run(5*time.Second, 10, request)
	sim.slow = nil
	sim.run(2*time.Second, 10, request)
	callers, refused := sim.callers, sim.refused
	sim.run(3*time.Second, 10, request)
	sim.Expect(sim.refused - refused).To(gomega.BeNumerically("<=", (sim.callers-callers)/20))
}

// Guards against probes that make up most of the requests while every leaf has a long queue: leafs
// would work for nothing.
func TestProbesAreABoundedShare(t *testing.T) {
	w := newWorld(t)
	names := w.shards(10, homeZone)
	f := w.table.forecastOf(durationKey{objective: 100 * time.Millisecond, gathered: true})
	f.recordAnswer(w.now, leafWork)
	admitted := 0
	for range 200 {
		w.wait(50 * time.Millisecond)
		for _, name := range names {
			w.table.RecordLoad(w.now, LeafID{ID: name + "@" + homeZone, Born: 1}, Load{Running: 2, Waiting: 200, Slots: 2})
		}
		q := NewQuery(w.gathered(names), w.table)
		if out := outcome(q.Start(w.now)); out == nil || out.Refusal == nil {
			admitted++
			q.Abandon()
		}
	}
	w.Expect(admitted).To(gomega.BeNumerically(">", 0))
	w.Expect(admitted).To(gomega.BeNumerically("<=", 200/(refusalsPerProbe+1)))
}

// Guards against a told leaf time that outlives the VM that told it.
func TestToldLeafTimeExpires(t *testing.T) {
	w := newWorld(t)
	f := w.table.forecastOf(durationKey{objective: time.Second, gathered: true})
	f.recordAnswer(w.now, 0)
	f.recordTold(w.now, 5*time.Millisecond)
	f.recordTold(w.now, 30*time.Millisecond)
	leaf, own := f.split(w.now, 40*time.Millisecond)
	w.Expect(leaf).To(gomega.Equal(5 * time.Millisecond))
	w.Expect(own).To(gomega.Equal(35 * time.Millisecond))
	w.wait(toldLifetime)
	leaf, _ = f.split(w.now, 40*time.Millisecond)
	w.Expect(leaf).To(gomega.Equal(40 * time.Millisecond))
}

// Guards against own time that counts as leaf time although it was measured: the attempt was
// written late, and its answer handled late.
func TestMeasuredOwnTimeIsNotLeafTime(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(60, homeZone))
	q := NewQuery(spec, w.table)
	start := w.now
	for _, s := range sends(q.Start(w.now)) {
		w.now = start.Add(30 * time.Millisecond)
		q.Timed(s.Attempt, start.Add(10*time.Millisecond), start.Add(16*time.Millisecond))
		q.Reply(w.now, s.Attempt, false)
	}
	w.Expect(q.LeafTime(w.now.Add(time.Second))).To(gomega.BeNumerically("~", 6*time.Millisecond, time.Millisecond))
}
