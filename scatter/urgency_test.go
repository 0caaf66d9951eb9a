package scatter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// play is a load of several kinds of callers on a simulation, with what each kind got.
type play struct {
	*simulation
	kinds  []kind
	counts map[string]*playCount // by name of the kind
	serial int
}

// kind is a kind of callers.
type kind struct {
	name      string
	rank      int
	tenant    string
	share     float64       // its share of all callers, in any unit
	objective time.Duration // latency objective; the answer is due 14 ms before
	services  []string
	repeats   int  // how often a refused caller repeats its request at once
	single    bool // its requests go to a single service, at most once
}

// playCount counts the callers of one kind: all, those answered in time, and those of which the
// request was refused without having run.
type playCount struct{ callers, inTime, refused int }

// newPlay returns a play on the simulation. on switches decisions by rank and tenant on at all VMs.
func newPlay(sim *simulation, on bool, kinds ...kind) *play {
	p := &play{simulation: sim, kinds: kinds, counts: make(map[string]*playCount)}
	for i, table := range sim.tables {
		table.rng = rand.New(rand.NewPCG(1, uint64(2+i)))
		table.SetTenants(on, nil)
	}
	for _, k := range kinds {
		p.counts[k.name] = &playCount{}
	}
	return p
}

// start plays the load for the time length, perSecond callers per second on average.
func (p *play) start(length time.Duration, perSecond float64) {
	pending := make(map[string]kind) // by request id
	repeated := make(map[string]int)
	p.ended = func(q *Query, out *Outcome) {
		id := q.spec.RequestID
		k := pending[id]
		c := p.counts[k.name]
		switch {
		case out.Verdict == Answered && p.now.Sub(q.startedAt) <= k.objective:
			c.inTime++
		case out.Verdict == NotRun && repeated[id] < k.repeats:
			repeated[id]++
			p.callers--
			p.after(time.Millisecond, func() { p.startQuery(p.request(k, id)) })
			return
		case out.Verdict == NotRun:
			c.refused++
		}
		delete(pending, id)
		delete(repeated, id)
	}
	total := 0.0
	for _, k := range p.kinds {
		total += k.share
	}
	p.run(length, perSecond, func() Spec {
		x := p.rng.Float64() * total
		k := p.kinds[0]
		for _, k = range p.kinds {
			if x -= k.share; x < 0 {
				break
			}
		}
		p.serial++
		id := fmt.Sprint("request-", p.serial)
		pending[id] = k
		p.counts[k.name].callers++
		return p.request(k, id)
	})
}

// request returns the request of a caller.
func (p *play) request(k kind, id string) Spec {
	if k.single {
		return Spec{
			Services: k.services, MaxAttempts: 1, RequestID: id, LatencyObjective: k.objective,
			AnswerBy: p.now.Add(k.objective - 14*time.Millisecond), Deadline: p.now.Add(10 * k.objective),
			BudgetWeight: 1, Rank: k.rank, Tenant: k.tenant,
		}
	}
	return Spec{
		Services: k.services, Gathered: true, Idempotent: true, MaxAttempts: 2, MinShare: 0.89, RequestID: id,
		LatencyObjective: k.objective, AnswerBy: p.now.Add(k.objective - 14*time.Millisecond),
		Deadline: p.now.Add(10 * k.objective), BudgetWeight: 1, Rank: k.rank, Tenant: k.tenant,
	}
}

// inTimeShare returns the share of the callers of a kind that were answered in time, from 0 to 1.
func (p *play) inTimeShare(name string) float64 {
	c := p.counts[name]
	return float64(c.inTime) / float64(c.callers)
}

// allInTime returns the share of all callers that were answered in time, from 0 to 1.
func (p *play) allInTime() float64 {
	sum := playCount{}
	for _, c := range p.counts {
		sum.callers += c.callers
		sum.inTime += c.inTime
	}
	return float64(sum.inTime) / float64(sum.callers)
}

// log writes what each kind got to the test's log.
func (p *play) log(t *testing.T) {
	t.Helper()
	for _, k := range p.kinds {
		t.Logf("%s: %+v, in time %.3f", k.name, *p.counts[k.name], p.inTimeShare(k.name))
	}
	t.Logf("all in time %.3f, refused %d, late %d, failed %d", p.allInTime(), p.refused, p.late, p.failed)
}

// scarceShards returns a simulation of some VMs with 20 shards of two leafs, and the names of the
// shards. In the first ones, as many as slow says, one of the leafs is slower by slowdown. While
// these answer nothing in time, the others suffice for scarceRoom requests per second.
func scarceShards(t *testing.T, vms, slow int, slowdown float64) (*simulation, []string) {
	sim := newSimulation(newWorld(t), vms)
	names := sim.shards(20, partWork, homeZone, "other")
	for _, name := range names[:slow] {
		sim.leafs[LeafID{ID: name + "@other", Born: 1}].slowdown = slowdown
	}
	return sim, names
}

const (
	scarceRoom = 72 // requests per second, see scarceShards
	playLength = 20 * time.Second
	// urgentObjective and patientObjective are latency objectives of callers.
	urgentObjective  = 200 * time.Millisecond
	patientObjective = time.Second
)

// expectFewFail checks that hardly any caller waited for nothing.
func (p *play) expectFewFail() {
	p.Expect(100 * (p.failed + p.late)).To(gomega.BeNumerically("<=", p.callers))
}

// Guards against requests that can wait in front of those that can't: shards have too few slots for
// a third of the requests, and without an order only the most patient are served.
func TestMoreUrgentRanksAreServedMoreOften(t *testing.T) {
	for _, vms := range []int{1, 5} {
		sim, names := scarceShards(t, vms, 6, 20)
		p := newPlay(sim, true,
			kind{name: "urgent", rank: 0, share: 1, objective: urgentObjective, services: names},
			kind{name: "usual", rank: 1, share: 1, objective: urgentObjective, services: names},
			kind{name: "least", rank: 2, share: 1, objective: patientObjective, services: names},
		)
		p.start(playLength, 100)
		p.log(t)
		p.expectFewFail()
		p.Expect(p.inTimeShare("urgent")).To(gomega.BeNumerically(">", 0.8))
		p.Expect(p.inTimeShare("urgent")).To(gomega.BeNumerically(">", p.inTimeShare("usual")))
		p.Expect(p.inTimeShare("usual")).To(gomega.BeNumerically(">", p.inTimeShare("least")))
		p.Expect(p.inTimeShare("least")).To(gomega.BeNumerically(">", p.allInTime()/4))
		p.Expect(p.allInTime()).To(gomega.BeNumerically(">", 0.8*scarceRoom/100))
	}
}

// Guards against one tenant that takes the room of the others by sending eight times its usual.
func TestTenantThatSendsManyTimesItsUsualIsRefusedFirst(t *testing.T) {
	for _, vms := range []int{1, 5} {
		sim, names := scarceShards(t, vms, 6, 20)
		kinds := []kind{{name: "flood", tenant: "flood", share: 8, objective: urgentObjective, services: names}}
		for i := range 9 {
			name := fmt.Sprint("tenant-", i)
			kinds = append(kinds, kind{name: name, tenant: name, share: 1, objective: urgentObjective, services: names})
		}
		p := newPlay(sim, true, kinds...)
		p.start(playLength, 100)
		p.log(t)
		p.expectFewFail()
		// The room suffices for the nine tenants and two fifths of the flood.
		p.Expect(p.inTimeShare("flood")).To(gomega.BeNumerically("<", 0.6))
		for _, k := range kinds[1:] {
			p.Expect(p.inTimeShare(k.name)).To(gomega.BeNumerically(">", p.allInTime()), k.name)
			p.Expect(p.inTimeShare(k.name)).To(gomega.BeNumerically(">", p.inTimeShare("flood")+0.25), k.name)
		}
	}
}

// Guards against callers that get more than others by repeating a refused request at once and often.
func TestRepeatingAtOnceGainsNothing(t *testing.T) {
	sim, names := scarceShards(t, 1, 6, 20)
	p := newPlay(sim, true,
		kind{name: "patient", tenant: "patient", share: 1, objective: urgentObjective, services: names},
		kind{name: "repeating", tenant: "repeating", share: 1, objective: urgentObjective, services: names, repeats: 20},
	)
	p.start(playLength, 100)
	p.log(t)
	p.expectFewFail()
	p.Expect(p.inTimeShare("patient")).To(gomega.BeNumerically(">", p.inTimeShare("repeating")-0.05))
}

// Guards against a burst of the least urgent requests, which have much time, that fills the queues
// in front of the most urgent ones. Five VMs that share the leafs know less of the queues than one.
func TestBurstOfLeastUrgentLeavesRoomForMostUrgent(t *testing.T) {
	for vms, least := range map[int]float64{1: 0.95, 5: 0.8} {
		sim, names := scarceShards(t, vms, 0, 1)
		p := newPlay(sim, true,
			kind{name: "urgent", rank: 0, share: 1, objective: urgentObjective, services: names},
			kind{name: "burst", rank: 3, share: 8, objective: patientObjective, services: names},
		)
		p.start(playLength, 250)
		p.log(t)
		p.Expect(p.inTimeShare("urgent")).To(gomega.BeNumerically(">", least))
		p.Expect(p.allInTime()).To(gomega.BeNumerically(">", 0.48))
	}
}

// Guards against less urgent requests in front of urgent ones at slow leafs of a third of the shards,
// which still answer in time while their queues are short.
func TestUrgentAreServedWhileLeafsOfAThirdOfShardsAreSlow(t *testing.T) {
	sim, names := scarceShards(t, 1, 7, 4)
	p := newPlay(sim, true,
		kind{name: "urgent", rank: 0, share: 1, objective: urgentObjective, services: names},
		kind{name: "least", rank: 2, share: 2, objective: patientObjective, services: names},
	)
	p.start(playLength, 110)
	p.log(t)
	p.expectFewFail()
	p.Expect(p.inTimeShare("urgent")).To(gomega.BeNumerically(">", 0.85))
	p.Expect(p.inTimeShare("least")).To(gomega.BeNumerically(">", p.allInTime()/4))
}

// Guards against decisions by rank and tenant that change anything where there is room enough.
func TestNothingYieldsWhereThereIsRoom(t *testing.T) {
	var served [2]int
	for i, on := range []bool{false, true} {
		sim, names := scarceShards(t, 5, 0, 1)
		p := newPlay(sim, on,
			kind{name: "urgent", rank: 0, tenant: "a", share: 1, objective: urgentObjective, services: names},
			kind{name: "least", rank: 2, tenant: "b", share: 1, objective: patientObjective, services: names},
		)
		p.start(playLength, 60)
		p.log(t)
		p.Expect(p.refused + p.failed + p.late).To(gomega.BeZero())
		served[i] = p.inTime
	}
	newWorld(t).Expect(served[1]).To(gomega.Equal(served[0]))
}

// Guards against less urgent requests in front of urgent ones at a single service of few slots and long
// work, which has room for two thirds of the requests.
func TestUrgentAreServedFirstAtASingleService(t *testing.T) {
	sim := newSimulation(newWorld(t), 1)
	const work = 90 * time.Millisecond
	sim.shards(1, work, homeZone, "b", "c", "d", "e", "f")
	service := []string{"shard-00"}
	p := newPlay(sim, true,
		kind{name: "urgent", rank: 0, share: 1, objective: 4 * work, services: service, single: true},
		kind{name: "least", rank: 2, share: 2, objective: 10 * work, services: service, single: true},
	)
	p.start(playLength, 200)
	p.log(t)
	p.Expect(p.inTimeShare("urgent")).To(gomega.BeNumerically(">", 0.9))
	p.Expect(p.inTimeShare("least")).To(gomega.BeNumerically(">", p.allInTime()/4))
	p.Expect(p.allInTime()).To(gomega.BeNumerically(">", 0.55))
}

// Guards against a tenant, or a kind, that is refused first at a service because it asks for much that
// does not touch the service's leafs.
func TestRoomOfAServiceIsSharedApart(t *testing.T) {
	w := newWorld(t)
	w.table.SetTenants(true, nil)
	query := func(gathered bool, rank int, tenant string) *Query {
		spec := w.single("ledger", false)
		spec.Gathered, spec.Rank, spec.Tenant = gathered, rank, tenant
		q := NewQuery(spec, w.table)
		q.startedAt = w.now
		return q
	}
	query(true, 0, "searches").pool().shares.Ask(w.now, 0, "searches", 100)
	for _, tenant := range []string{"searches", "other"} {
		query(false, 1, tenant).pool().shares.Ask(w.now, 1, tenant, 1)
	}
	for _, tenant := range []string{"searches", "other"} {
		w.Expect(query(false, 1, tenant).position(w.now, typicalDraw)).To(gomega.BeNumerically("~", 0.5, 0.001))
	}
}
