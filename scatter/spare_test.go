package scatter

import (
	"fmt"
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
	ratio    float64 // extra arrivals that the budget allows for each request; 0 for the usual ones
}

// play runs the load for 20 s. It returns the numbers of callers, of those that were answered in time, and
// of hedges.
func (load spareLoad) play(t *testing.T) (callers, inTime, hedges int) {
	w := newWorld(t)
	if load.ratio > 0 {
		w.table.budgetConfig.Ratio, w.table.budgetConfig.Floor = load.ratio, 0
	}
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

// playCalls runs a load of 20 callers a second for 20 s on a VM without leafs in its zone. It calls one VM for
// 30 shards with leafs in the zones a and a2, of which some are dark, and one for 30 in b and b2, of which
// every third leaf is slow. It returns the numbers of callers, of those that were answered in time,
// and of the attempts.
func playCalls(t *testing.T, dark int, slow float64) (callers, inTime, sent int) {
	const rate = 20
	w := newWorld(t)
	sim := newSimulation(w, 1)
	sim.served, sim.replies = make(map[string]*Table), make(map[*Query]func(*Outcome))
	home := sim.tables[0]
	vms := fleetOf(1, "a", "a2", "b", "b2")
	for _, v := range vms {
		w.becomeVM(v.Name, v.Zone, home.budgetConfig)
		sim.served[v.Name] = w.table
		sim.tables = append(sim.tables, w.table)
	}
	var names []string
	for _, t := range sim.tables {
		sim.table, names = t, nil
		for i := range 60 {
			name := fmt.Sprintf("shard-%02d", i)
			names = append(names, name)
			zones := []string{"a", "a2"}
			if i >= 30 {
				zones = []string{"b", "b2"}
			}
			for n, zone := range zones {
				id := w.leaf(name, zone)
				l := &simulatedLeaf{slots: 2, work: leafWork, slowdown: 1, dark: i < dark}
				if i >= 30 && (i+n)%3 == 0 {
					l.slowdown = slow
				}
				l.pauses = pauses{period: 3 * time.Second, length: 120 * time.Millisecond, offset: time.Duration(sim.rng.Int64N(int64(3 * time.Second)))}
				sim.leafs[id] = l
			}
		}
	}
	for _, t := range sim.tables {
		t.SetVMs(w.now, without(append(vms, VM{Name: "vm-home", Zone: homeZone, Power: 1}), t.self))
	}
	sim.tables = []*Table{home}
	request := func() Spec {
		spec := w.gathered(names)
		spec.MinShare, spec.MayDelegate, spec.RequestID = 0.95, true, fmt.Sprint(sim.callers)
		return spec
	}
	sim.run(2*time.Second, rate, request)
	callers, inTime, sent = sim.callers, sim.inTime, sim.sent
	sim.ended = func(_ *Query, out *Outcome) { sim.sent += out.Sent }
	sim.run(20*time.Second, rate, request)
	return sim.callers - callers, sim.inTime - inTime, sim.sent - sent
}

// Guards against owners that hedge too late, since each may leave out as many shards as the whole answer:
// another owner's dark shards have used that up. Without lost shards, the attempts stay few.
func TestOwnersLearnThatLostShardsElsewhereUseUpTheSpare(t *testing.T) {
	g := gomega.NewWithT(t)
	for dark, perCaller := range map[int]int{0: 64, 3: 61} {
		callers, inTime, sent := playCalls(t, dark, 5)
		g.Expect(inTime).To(gomega.BeNumerically(">=", callers*95/100), "%d dark", dark)
		g.Expect(sent).To(gomega.BeNumerically("<=", perCaller*callers), "%d dark", dark)
	}
}

// Guards against early hedges that outlast the lost shards, and against those for requests that may leave
// out more.
func TestToldScarcityEnds(t *testing.T) {
	w := newWorld(t)
	spec := w.gathered(w.shards(10, homeZone))
	spec.Delegated, spec.Views, spec.Required = true, w.viewsOf(spec), 9
	decides := func(scarce bool, required int) bool {
		spec.Scarce, spec.Required = scarce, required
		q := NewQuery(spec, w.table)
		q.Start(w.now)
		q.Abandon()
		return q.reportedScarce
	}
	w.Expect(decides(false, 9)).To(gomega.BeFalse())
	w.Expect(decides(true, 9)).To(gomega.BeTrue())
	w.Expect(decides(false, 9)).To(gomega.BeTrue(), "another caller's VM does not know yet")
	w.Expect(decides(false, 5)).To(gomega.BeFalse())
	w.wait(scarcityMemory)
	w.Expect(decides(false, 9)).To(gomega.BeFalse())
}

// Guards against shards that count as lost after they have answered, or long after they were left out.
func TestLeftOutShardsAreForgotten(t *testing.T) {
	for name, after := range map[string]func(w *world, q *Query, c CallVM){
		"at once":    func(*world, *Query, CallVM) {},
		"answered":   func(w *world, q *Query, c CallVM) { q.CallReply(w.now, c.Call, CallAnswer{Included: c.Shards}) },
		"long after": func(w *world, _ *Query, _ CallVM) { w.wait(leftOutMemory) },
	} {
		w := newWorld(t)
		q, c := newQueryWithTwoOwners(w, 20)
		w.Expect(c.Scarce).To(gomega.BeFalse())
		q.CallReply(w.now, c.Call, CallAnswer{LeftOut: c.Shards[:2]})
		after(w, q, c)
		spec := q.spec
		spec.AnswerBy, spec.Deadline = w.now.Add(90*time.Millisecond), w.now.Add(400*time.Millisecond)
		again := vmCalls(NewQuery(spec, w.table).Start(w.now))
		w.Expect(again[0].Scarce).To(gomega.Equal(name == "at once"), name)
	}
}

// Guards against early hedges that use up a small budget before those that are due: at leafs that pause.
func TestEarlyHedgesLeaveBudgetForThoseThatAreDue(t *testing.T) {
	callers, inTime, hedges := spareLoad{dark: 3, slow: 9, pauses: true, minShare: 0.95, ratio: 0.06}.play(t)
	g := gomega.NewWithT(t)
	g.Expect(inTime).To(gomega.BeNumerically(">=", callers*9/10))
	g.Expect(hedges).To(gomega.BeNumerically("<=", callers*7/4))
}
