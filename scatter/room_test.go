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

// roomVM is a VM that is called in a roomPlay.
type roomVM struct {
	power    float64     // nominal power, in cores
	slowdown float64     // duration of its work as a multiple of that with its nominal power
	told     *room.State // what it tells whatever its state; nil: what it measures
	meter    *room.Meter
	backlog  time.Duration // processor time of the calls that it has not finished
	cpu      time.Duration // processor time used so far
}

// wait returns the time until the VM has finished the calls that it has.
func (o *roomVM) wait() time.Duration {
	return time.Duration(float64(o.backlog) * o.slowdown / o.power)
}

// work lets the VM work for the time d.
func (o *roomVM) work(d time.Duration) {
	done := min(o.backlog, time.Duration(float64(d)*o.power/o.slowdown))
	o.backlog -= done
	o.cpu += done
}

// roomPlay plays calls of several VMs to the owners of one leaf partition in virtual time.
type roomPlay struct {
	*gomega.WithT
	now     time.Time
	rng     *rand.Rand
	callers []*Table
	owners  map[string]*roomVM
	waits   time.Duration // sum over calls: time until the VM has begun it
	calls   int           // calls so far
}

const (
	roomInterval = 200 * time.Millisecond // between two readings of a VM in a roomPlay
	roomWork     = 2 * time.Millisecond   // processor time of a call in a roomPlay
)

// newRoomPlay returns a play with the given numbers of callers, which are in another zone, and of
// owners with the given nominal power each.
func newRoomPlay(t *testing.T, callers, owners int, power float64) *roomPlay {
	p := &roomPlay{
		WithT: gomega.NewWithT(t), now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(5, 6)),
		owners: make(map[string]*roomVM),
	}
	var vms []VM
	for i := range owners {
		v := VM{Name: fmt.Sprintf("owner-%d", i), Zone: "a", Power: power}
		vms = append(vms, v)
		p.owners[v.Name] = &roomVM{power: power, slowdown: 1, meter: room.NewMeter(power)}
	}
	for i := range callers {
		table := tableOf(vms, VM{Name: fmt.Sprintf("caller-%d", i), Zone: "b", Power: 1}, BudgetConfig{Window: time.Second}, p.now, p.now)
		table.rng = rand.New(rand.NewPCG(uint64(i), 7))
		table.UseRoom()
		p.callers = append(p.callers, table)
	}
	return p
}

// run plays calls for the time length, perSecond of them per second on average from all callers
// together. It returns, for each second, the share of the calls that each owner got.
func (p *roomPlay) run(length time.Duration, perSecond float64) []map[string]float64 {
	const step = time.Millisecond
	p.waits, p.calls = 0, 0
	var shares []map[string]float64
	counts := make(map[string]float64)
	total := 0.0
	for elapsed := step; elapsed <= length; elapsed += step {
		p.now = p.now.Add(step)
		for p.rng.Float64() < perSecond*step.Seconds()/(1+perSecond*step.Seconds()) {
			counts[p.call()]++
			total++
		}
		for _, o := range p.owners {
			o.work(step)
			if elapsed%roomInterval == 0 {
				o.meter.Add(room.Sample{At: p.now, CPU: o.cpu, Late: o.wait()})
			}
		}
		if elapsed%time.Second == 0 {
			for name := range counts {
				counts[name] /= max(total, 1)
			}
			shares = append(shares, counts)
			counts, total = make(map[string]float64), 0
		}
	}
	return shares
}

// call makes one call of a random caller, and returns the name of the VM that it called.
func (p *roomPlay) call() string {
	caller := p.callers[p.rng.IntN(len(p.callers))]
	v := caller.pickVM(p.now, zonePartition{zone: "a"}, nil)
	o := p.owners[v.Name]
	wait := o.wait()
	p.calls++
	p.waits += wait
	o.backlog += roomWork
	state, age, ok := o.meter.State(p.now)
	if o.told != nil {
		state, age, ok = *o.told, 0, true
	}
	if ok {
		caller.RoomTold(p.now, v.Name, state, age)
	}
	took := func(usual time.Duration) time.Duration {
		return wait + time.Duration(float64(usual)*o.slowdown)
	}
	caller.CallAcknowledged(p.now, v.Name, took(time.Millisecond))
	caller.CallAnswered(p.now, v.Name, 100*time.Millisecond, 20*time.Millisecond+took(10*time.Millisecond))
	return v.Name
}

// meanWait returns the average wait of the calls of the latest run.
func (p *roomPlay) meanWait() time.Duration { return p.waits / time.Duration(max(p.calls, 1)) }

// mean returns the average share of an owner in the given seconds.
func mean(shares []map[string]float64, name string) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s[name]
	}
	return sum / float64(len(shares))
}

// Guards against calls to a VM that is five times slower beside its nominal power, whether it says
// so or states all of its room. It gets less than half of its share, and its share again when it is
// as before.
func TestSlowedVMIsCalledLess(t *testing.T) {
	for name, told := range map[string]*room.State{"tells": nil, "states that it is idle": {}} {
		t.Run(name, func(t *testing.T) {
			const perSecond = 300 // three eighths of the power of all owners
			p := newRoomPlay(t, 100, 4, 0.4)
			p.Expect(mean(p.run(10*time.Second, perSecond), "owner-0")).To(gomega.BeNumerically("~", 0.25, 0.08))
			p.owners["owner-0"].slowdown, p.owners["owner-0"].told = 5, told
			p.run(2*time.Second, perSecond)
			slow := mean(p.run(20*time.Second, perSecond), "owner-0")
			p.Expect(slow).To(gomega.BeNumerically("<", 0.125))
			p.Expect(p.meanWait()).To(gomega.BeNumerically("<", 10*time.Millisecond))
			p.owners["owner-0"].slowdown = 1
			p.run(5*time.Second, perSecond)
			p.Expect(mean(p.run(20*time.Second, perSecond), "owner-0")).To(gomega.BeNumerically("~", 0.25, 0.08))
		})
	}
}

// Guards against a herd: all callers go to the one owner that just said that it is idle, while the
// others are busy.
func TestIdleVMDrawsNoHerd(t *testing.T) {
	p := newRoomPlay(t, 100, 4, 0.4)
	for name, o := range p.owners {
		o.told = &room.State{Busy: 0.95}
		if name == "owner-0" {
			o.told = &room.State{Busy: 0.05}
		}
	}
	p.run(5*time.Second, 200)
	share := mean(p.run(10*time.Second, 200), "owner-0")
	p.Expect(share).To(gomega.BeNumerically(">", 0.26))
	p.Expect(share).To(gomega.BeNumerically("<", 0.36))
}

// Guards against two owners of one partition that are both nearly full, and push the work to and
// fro as their callers hear which of them has room: calls would wait longer than with equal shares.
func TestBusyVMsDoNotSwing(t *testing.T) {
	// run returns the deviation of the shares from one half over the seconds, and the mean wait.
	run := func(useRoom bool) (float64, time.Duration) {
		p := newRoomPlay(t, 100, 2, 0.5)
		for _, table := range p.callers {
			if !useRoom {
				table.rooms = nil
			}
		}
		const perSecond = 450 // nine tenths of the power of both
		p.run(20*time.Second, perSecond)
		squares := 0.0
		shares := p.run(100*time.Second, perSecond)
		for _, s := range shares {
			squares += math.Pow(s["owner-0"]-0.5, 2)
		}
		return math.Sqrt(squares / float64(len(shares))), p.meanWait()
	}
	g := gomega.NewWithT(t)
	nominalDeviation, nominalWait := run(false)
	deviation, wait := run(true)
	g.Expect(deviation).To(gomega.BeNumerically("<", 1.2*nominalDeviation))
	g.Expect(wait).To(gomega.BeNumerically("<", nominalWait+nominalWait/10))
}

// Guards against a choice that differs from that by nominal power while all owners have the same
// room, and against one that changes the draws of a deployment without room.
func TestEqualRoomChoosesByNominalPower(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	vms := largeFleet("a", "b")
	choices := func(prepare func(*Table)) []string {
		table := tableOf(vms, VM{Name: "caller", Zone: "c", Power: 0.2}, BudgetConfig{Window: time.Second}, now, now)
		table.rng = rand.New(rand.NewPCG(1, 2))
		prepare(table)
		var list []string
		for i := range 200 {
			v := table.pickVM(now, zonePartition{zone: "a", partition: i % table.zones["a"].partitions}, nil)
			v.inFlight++
			list = append(list, v.Name)
		}
		return list
	}
	nominal := choices(func(*Table) {})
	for _, told := range []room.State{{}, {Busy: 0.9}, {Late: 30 * time.Millisecond}, {Late: time.Second}} {
		gomega.NewWithT(t).Expect(choices(func(table *Table) {
			table.UseRoom()
			for _, v := range vms {
				table.RoomTold(now, v.Name, told, 0)
			}
		})).To(gomega.Equal(nominal))
	}
}

// Guards against an owner that is weak by power and called only because the strong ones are slowed:
// it must be found in the same partition, and left again when they are as before.
func TestWeakOwnerHelpsWhileStrongOnesAreSlow(t *testing.T) {
	w := newWorld(t)
	w.table = tableOf([]VM{
		{Name: "strong-0", Zone: "a", Power: 0.8}, {Name: "strong-1", Zone: "a", Power: 0.8}, {Name: "weak", Zone: "a", Power: 0.134},
	}, VM{Name: "caller", Zone: "b", Power: 0.2}, BudgetConfig{Window: time.Second}, w.now, w.now)
	w.table.rng = rand.New(rand.NewPCG(1, 2))
	w.table.UseRoom()
	called := func() map[string]bool {
		names := make(map[string]bool)
		for range 100 {
			names[w.table.pickVM(w.now, zonePartition{zone: "a"}, nil).Name] = true
		}
		return names
	}
	w.Expect(called()).NotTo(gomega.HaveKey("weak"))
	for _, name := range []string{"strong-0", "strong-1"} {
		w.table.RoomTold(w.now, name, room.State{Late: 100 * time.Millisecond}, 0)
	}
	w.Expect(called()).To(gomega.HaveKey("weak"))
	w.wait(10 * time.Second)
	w.Expect(called()).NotTo(gomega.HaveKey("weak"))
	w.Expect(w.table.RoomStats(w.now).Shifted).To(gomega.BeNumerically(">", 0))
}

// Guards against knowledge that grows with the number of VMs.
func TestBeliefsStayFew(t *testing.T) {
	for _, vms := range []int{10, 100, 1000} {
		w := newWorld(t)
		var fleet []VM
		for i := range vms {
			fleet = append(fleet, VM{Name: fmt.Sprintf("vm-%04d", i), Zone: string("abc"[i%3]), Power: 0.134 + 0.666*float64(i%10/9)})
		}
		names := w.joinFleet(fleet, fleet[0], 90)
		w.table.UseRoom()
		for range 200 {
			spec := w.gathered(names)
			spec.MayDelegate = true
			for _, call := range vmCalls(NewQuery(spec, w.table).Start(w.now)) {
				w.table.RoomTold(w.now, call.VM.Name, room.State{Busy: w.table.rng.Float64(), Late: 20 * time.Millisecond}, 0)
			}
			w.wait(100 * time.Millisecond)
		}
		partitions := 0
		for _, z := range w.table.zones {
			partitions += z.partitions
		}
		stats := w.table.RoomStats(w.now)
		w.Expect(stats.Believed).To(gomega.BeNumerically("<=", min(partitions*ownersPerLeaf, 60)), vms)
		w.wait(time.Minute)
		w.Expect(w.table.RoomStats(w.now).Believed).To(gomega.BeZero())
	}
}

// Guards against VMs without room that all hand their requests to the same VM, to one of another
// zone, to one without room, or to one to which there is no connection.
func TestTakersAreSpread(t *testing.T) {
	w := newWorld(t)
	vms := largeFleet("a", "b")
	taken := make(map[string]int)
	for i, self := range vms[:33] {
		if self.Power > 0.5 {
			continue
		}
		w.table = tableOf(vms, self, BudgetConfig{Window: time.Second}, w.now, w.now)
		w.table.rng = rand.New(rand.NewPCG(uint64(i), 1))
		_, ok := w.table.PickTaker(w.now, 0.2, func(VM) bool { return true })
		w.Expect(ok).To(gomega.BeFalse(), "room is not used")
		w.table.UseRoom()
		w.table.RoomTold(w.now, "vm-a-05", room.State{Late: 100 * time.Millisecond}, 0)
		for range 20 {
			v, ok := w.table.PickTaker(w.now, 0.2, func(VM) bool { return true })
			w.Expect(ok).To(gomega.BeTrue())
			w.Expect(v.Zone).To(gomega.Equal("a"))
			taken[v.Name]++
		}
		_, ok = w.table.PickTaker(w.now, 0.2, func(VM) bool { return false })
		w.Expect(ok).To(gomega.BeFalse())
	}
	total, most := 0, 0
	for _, n := range taken {
		total, most = total+n, max(most, n)
	}
	w.Expect(most).To(gomega.BeNumerically("<", total*3/4))
	w.Expect(taken).NotTo(gomega.HaveKey("vm-a-05"))
}
