package scatter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/room"
)

// zonePlay plays gathered requests of callers in several zones in virtual time. Each takes one call
// to an owner of this zone or another one.
type zonePlay struct {
	now     time.Time
	rng     *rand.Rand
	zones   []string
	callers map[string][]*Table // by zone
	owners  map[string]*roomVM
	late    map[string]int // by zone: requests that waited for more than playAim
	served  map[string]int // by zone: all requests
	moved   map[string]int // by zone: requests that went to another zone
}

const (
	playAim     = 50 * time.Millisecond // longest wait in time in a zonePlay
	playWay     = 3 * time.Millisecond  // to another zone and back
	playOwners  = 4                     // owners of each zone, of 0.4 cores each
	playCallers = 60                    // VMs of each zone that own nothing
	// playCapacity is the number of calls that the owners of a zone serve per second.
	playCapacity = playOwners * 0.4 / 0.002
)

// newZonePlay returns a play of VMs in zones a, b and c. Without useRoom, VMs choose by nominal power.
func newZonePlay(useRoom bool) *zonePlay {
	p := &zonePlay{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(8, 9)), zones: []string{"a", "b", "c"},
		callers: make(map[string][]*Table), owners: make(map[string]*roomVM),
		late: make(map[string]int), served: make(map[string]int), moved: make(map[string]int),
	}
	var vms []VM
	for _, zone := range p.zones {
		for i := range playOwners {
			v := VM{Name: fmt.Sprintf("owner-%s-%d", zone, i), Zone: zone, Power: 0.4}
			vms = append(vms, v)
			p.owners[v.Name] = &roomVM{power: v.Power, slowdown: 1, meter: room.NewMeter(v.Power)}
		}
		for i := range playCallers {
			vms = append(vms, VM{Name: fmt.Sprintf("caller-%s-%d", zone, i), Zone: zone, Power: 0.1})
		}
	}
	for i, v := range vms {
		if v.Power > 0.1 {
			continue
		}
		table := tableOf(vms, v, BudgetConfig{Window: time.Second}, p.now, p.now)
		table.rng = rand.New(rand.NewPCG(uint64(i), 7))
		if useRoom {
			table.UseRoom()
		}
		p.callers[v.Zone] = append(p.callers[v.Zone], table)
	}
	return p
}

// run plays requests for the time length. rate returns how many of them per second begin in a zone.
// The counts begin anew.
func (p *zonePlay) run(length time.Duration, rate func(zone string, elapsed time.Duration) float64) {
	const step = time.Millisecond
	clear(p.late)
	clear(p.served)
	clear(p.moved)
	for elapsed := step; elapsed <= length; elapsed += step {
		p.now = p.now.Add(step)
		for _, zone := range p.zones {
			mean := rate(zone, elapsed) * step.Seconds()
			for p.rng.Float64() < mean/(1+mean) {
				p.request(zone)
			}
		}
		for _, o := range p.owners {
			o.work(step)
			if elapsed%roomInterval == 0 {
				o.meter.Add(room.Sample{At: p.now, CPU: o.cpu, Late: o.wait()})
			}
		}
	}
}

// request plays one request that begins in the zone.
func (p *zonePlay) request(home string) {
	caller := p.callers[home][p.rng.IntN(playCallers)]
	zone, way := "", time.Duration(0)
	if caller.rooms != nil && caller.spills(p.now) {
		zone = caller.pickSpillZone(p.now, func(string) float64 { return 1 })
	}
	if zone == "" {
		zone = home
	} else {
		way = playWay
		p.moved[home]++
	}
	v := caller.pickVM(p.now, zonePartition{zone: zone}, nil)
	o := p.owners[v.Name]
	wait := o.wait() + way
	o.backlog += roomWork
	p.served[home]++
	if wait > playAim {
		p.late[home]++
	}
	if state, age, ok := o.meter.State(p.now); ok {
		caller.RoomTold(p.now, v.Name, state, age)
	}
	caller.CallAcknowledged(p.now, v.Name, wait+time.Millisecond)
}

// lateShare returns the share of all requests that were late.
func (p *zonePlay) lateShare() float64 {
	late, served := 0, 0
	for _, zone := range p.zones {
		late, served = late+p.late[zone], served+p.served[zone]
	}
	return float64(late) / float64(served)
}

// Guards against callers that wait in a zone with too much work while another has room: the demand
// of two zones goes up and down by half, at opposite times. Requests that go to the other zone must
// come back as soon as room returns, and not be pushed to and fro.
func TestOppositeWavesShareTheirRoom(t *testing.T) {
	waves := func(zone string, elapsed time.Duration) float64 {
		wave := 0.55 * math.Sin(2*math.Pi*elapsed.Seconds()/13)
		switch zone {
		case "a":
			return 0.75 * playCapacity * (1 + wave)
		case "b":
			return 0.75 * playCapacity * (1 - wave)
		}
		return 0.6 * playCapacity
	}
	g := gomega.NewWithT(t)
	p := newZonePlay(true)
	p.run(39*time.Second, waves)
	g.Expect(p.lateShare()).To(gomega.BeNumerically("<", 0.05))
	p.run(10*time.Second, func(string, time.Duration) float64 { return 0.5 * playCapacity })
	p.run(20*time.Second, func(string, time.Duration) float64 { return 0.5 * playCapacity })
	g.Expect(p.moved).To(gomega.BeEmpty(), "room has returned")
}

// Guards against callers that are lost with their zone's room: nine tenths of the callers of one
// zone move to another within a second.
func TestCallersThatMoveZonesAreServed(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newZonePlay(true)
	even := func(string, time.Duration) float64 { return 0.6 * playCapacity }
	p.run(5*time.Second, even)
	g.Expect(p.moved).To(gomega.BeEmpty())
	shift := func(zone string, elapsed time.Duration) float64 {
		share := 0.9 * min(elapsed.Seconds(), 1)
		switch zone {
		case "a":
			return 0.6 * playCapacity * (1 - share)
		case "b":
			return 0.6 * playCapacity * (1 + share)
		}
		return 0.6 * playCapacity
	}
	p.run(10*time.Second, shift)
	g.Expect(p.lateShare()).To(gomega.BeNumerically("<", 0.1))
}

// newSpillingQuery returns a query of a VM in zone a, whose owners have told that they have no room.
// The shards have leafs in zones a and b.
func newSpillingQuery(w *world) *Query {
	vms := largeFleet("a", "b", "c")
	names := w.joinFleet(vms, vms[1], 20)
	w.table.UseRoom()
	w.table.AllowSpill()
	for _, v := range vms[:33] {
		w.table.RoomTold(w.now, v.Name, room.State{Busy: 1, Late: time.Second}, 0)
	}
	spec := w.gathered(names)
	spec.MayDelegate = true
	return NewQuery(spec, w.table)
}

// zonesCalled returns the zones to which 20 queries delegate shards, with the number of shards.
func zonesCalled(w *world, q *Query) map[string]int {
	zones := make(map[string]int)
	for range 20 {
		for _, d := range q.delegations(w.now) {
			zones[d.partition.zone] += len(d.shards)
		}
	}
	return zones
}

// Guards against shards that stay in a zone without room, or that are spilled where that can't help:
// to a zone that has no room either, whose leafs are evacuated or cold, that has no leaf of the
// shards, or that is lost, and when there is no time for the way.
func TestShardsSpillOnlyWhereTheyAreServed(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*world, *Query)
		spills  bool
	}{
		"other zone has room": {func(*world, *Query) {}, true},
		"other zone has no room": {func(w *world, _ *Query) {
			for _, v := range largeFleet("b") {
				w.table.RoomTold(w.now, v.Name, room.State{Busy: 1}, 0)
			}
		}, false},
		"other zone is evacuated": {func(w *world, _ *Query) { w.table.SetEvacuatedZones(w.now, []string{"b"}) }, false},
		"other zone's leafs are cold": {func(w *world, _ *Query) {
			for _, l := range w.table.leafs {
				l.Cold = l.Zone == "b"
			}
		}, false},
		"other zone has no leafs": {func(w *world, _ *Query) {
			for _, l := range w.table.leafs {
				if l.Zone == "b" {
					w.table.removeLeaf(l)
				}
			}
		}, false},
		"other zone is lost":      {func(w *world, _ *Query) { w.table.lostZones["b"] = true }, false},
		"no time for the way":     {func(w *world, q *Query) { q.spec.AnswerBy = w.now.Add(minSpillTime - 1) }, false},
		"spilling is not allowed": {func(w *world, _ *Query) { w.table.rooms.maySpill = false }, false},
		"room was told long ago":  {func(w *world, _ *Query) { w.wait(20 * time.Second) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			q := newSpillingQuery(w)
			c.prepare(w, q)
			zones := zonesCalled(w, q)
			if c.spills {
				w.Expect(zones["b"]).To(gomega.BeNumerically(">", zones["a"]))
				w.Expect(w.table.RoomStats(w.now).Spilled).To(gomega.BeNumerically(">", 0))
			} else {
				w.Expect(zones).NotTo(gomega.HaveKey("b"))
			}
			w.Expect(zones).NotTo(gomega.HaveKey("c"), "it has no leafs")
		})
	}
}

// Guards against work that stays with the leafs of one zone while they run at a quarter of their pace
// and those of another zone are idle. Owners compare the leafs of both zones; nothing is spilled.
func TestLeafsOfSlowZoneAreLeft(t *testing.T) {
	sim := newSimulation(newWorld(t), 4)
	names := sim.shards(20, 11*time.Millisecond, homeZone, "other")
	request := func() Spec {
		spec := sim.gathered(names)
		spec.LatencyObjective, spec.AnswerBy = 150*time.Millisecond, sim.now.Add(140*time.Millisecond)
		return spec
	}
	sim.run(5*time.Second, 130, request)
	for id, l := range sim.leafs {
		if sim.table.findLeaf(id).Zone == homeZone {
			l.slowdown = 4
		}
	}
	sim.run(time.Second, 130, request) // until it is known
	sim.callers, sim.inTime = 0, 0
	sim.run(10*time.Second, 130, request)

	sim.Expect(float64(sim.inTime) / float64(sim.callers)).To(gomega.BeNumerically(">", 0.99))
}
