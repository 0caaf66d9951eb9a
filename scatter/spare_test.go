package scatter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// spareLoad is a play of gathered requests to 60 shards with three leafs each, of which an answer may
// leave out some.
type spareLoad struct {
	dark     int     // shards whose leafs are all dark
	slow     float64 // slowdown of every third leaf
	pauses   bool    // each leaf pauses for 120 ms every 3 s, at a time of its own
	minShare float64 // share of the shards that an answer needs
}

// play runs the load for 20 s. It returns the numbers of callers, of those that were answered in time, and
// of hedges.
func (load spareLoad) play(t *testing.T) (callers, inTime, hedges int) {
	w := newWorld(t)
	sim := newSimulation(w, 2)
	names := sim.shards(60, leafWork, homeZone, "other", "third")
	for i, name := range names {
		for n, zone := range []string{homeZone, "other", "third"} {
			l := sim.leafs[LeafID{ID: name + "@" + zone, Born: 1}]
			l.dark = i < load.dark
			if load.slow > 0 && (i+n)%3 == 0 {
				l.slowdown = load.slow
			}
			if load.pauses {
				l.pauses = pauses{period: 3 * time.Second, length: 120 * time.Millisecond, offset: time.Duration(sim.rng.Int64N(int64(3 * time.Second)))}
			}
		}
	}
	request := func() Spec {
		spec := w.gathered(names)
		spec.MinShare = load.minShare
		return spec
	}
	const rate = 20
	sim.run(2*time.Second, rate, request)
	callers, inTime = sim.callers, sim.inTime
	sim.ended = func(_ *Query, out *Outcome) { hedges += out.Hedges }
	sim.run(20*time.Second, rate, request)
	return sim.callers - callers, sim.inTime - inTime, hedges
}

// Guards against pauses of single leafs that fail requests while other shards are lost for seconds: the
// lost ones use up what an answer may leave out, and hedges come too late at slow leafs.
func TestShardsThatDecideAreHedgedInTime(t *testing.T) {
	for _, load := range []spareLoad{
		{dark: 3, slow: 7, pauses: true, minShare: 0.95},
		{dark: 2, slow: 5, pauses: true, minShare: 0.95},
	} {
		callers, inTime, hedges := load.play(t)
		g := gomega.NewWithT(t)
		g.Expect(callers-inTime).To(gomega.BeNumerically("<=", callers/100), "%+v", load)
		g.Expect(hedges).To(gomega.BeNumerically("<=", 4*callers), "%+v", load)
	}
}

// Guards against hedges, which are traffic between zones, that only make answers more complete: none on a
// calm day, and no more than pauses take while no shard is lost.
func TestAmpleSpareTakesNoEarlyHedges(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, load := range []spareLoad{{minShare: 0.95}, {slow: 1.3, minShare: 0.95}, {slow: 2, minShare: 0.98}} {
		callers, inTime, hedges := load.play(t)
		g.Expect(inTime).To(gomega.Equal(callers), "%+v", load)
		g.Expect(hedges).To(gomega.BeZero(), "%+v", load)
	}
	for _, minShare := range []float64{0.95, 0.98} {
		callers, inTime, hedges := spareLoad{pauses: true, minShare: minShare}.play(t)
		g.Expect(inTime).To(gomega.BeNumerically(">=", callers*98/100))
		g.Expect(hedges).To(gomega.BeNumerically("<=", callers*11/10))
	}
}
