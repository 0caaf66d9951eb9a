package scatter

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/registry"
	"github.com/bramleybarrow/bramleybarrow/slotbook"
)

// Parameters of slotPlay: 6 leafs of two slots and 90 ms, asked by 102 VMs.
const (
	slotVMs      = 102
	slotLeafs    = 6
	slotWork     = 90 * time.Millisecond
	slotWay      = 500 * time.Microsecond // one way of a message
	slotRequests = 10_000
)

// slotPlay plays requests that are not idempotent to a service of few slots.
type slotPlay struct {
	events  timedEvents
	now     time.Duration
	rng     *rand.Rand
	tables  []*Table
	leafs   map[string]*slotLeaf
	keepers []*slotbook.Book

	pending map[slotbook.ID]func(slotbook.Grant) // by request: receives the answer of the keeper

	keeperOf func(vm int) int // number of the keeper that a VM asks, -1 for none
	silent   func() bool      // the first keeper answers nothing
	lost     func() bool      // the next message about an end is lost
	patience time.Duration    // longest wait that a request states

	runs     map[int]int     // by request: how often it ran
	ended    map[int]int     // by request: how often its query ended
	waits    []time.Duration // for a slot, beside the time of messages
	refusals []time.Duration // times after which refused requests should come back
	paused   map[int]bool    // VMs that the first keeper has left without an answer
	works    []time.Duration // by request
	arrivals []time.Duration // by request
}

// slotLeaf is a leaf of a slotPlay.
type slotLeaf struct {
	registry.Leaf
	running, queue []func() // each starts a queued request; of those that run only the number counts
	life           int      // incarnations before this one
}

type timedEvent struct {
	at time.Duration
	fn func()
}

type timedEvents []timedEvent

func (e timedEvents) Len() int           { return len(e) }
func (e timedEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e timedEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *timedEvents) Push(x any)        { *e = append(*e, x.(timedEvent)) }
func (e *timedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (p *slotPlay) after(d time.Duration, fn func()) {
	heap.Push(&p.events, timedEvent{p.now + d, fn})
}

func (p *slotPlay) clock() time.Time { return time.Unix(1_000_000, 0).Add(p.now) }

// newSlotPlay returns a play at a share of what the leafs can do, in which one VM keeps account.
func newSlotPlay(load float64) *slotPlay {
	p := &slotPlay{
		rng: rand.New(rand.NewPCG(5, 6)), leafs: make(map[string]*slotLeaf), runs: make(map[int]int), ended: make(map[int]int),
		paused: make(map[int]bool), pending: make(map[slotbook.ID]func(slotbook.Grant)), patience: time.Minute,
		keeperOf: func(int) int { return 0 }, silent: func() bool { return false }, lost: func() bool { return false },
	}
	for vm := range slotVMs {
		config := BudgetConfig{Ratio: 0.2, Floor: 50, Window: 10 * time.Second}
		name := fmt.Sprint("vm-", vm)
		p.tables = append(p.tables, NewTable(VM{Name: name, Zone: homeZone, Power: 1}, config, p.clock().Add(-time.Hour), rand.New(rand.NewPCG(uint64(vm), 1))))
		p.keepers = append(p.keepers, slotbook.New())
	}
	for i := range slotLeafs {
		l := &slotLeaf{Leaf: registry.Leaf{ID: fmt.Sprint("leaf-", i), Born: 1, Service: "ledger", Zone: homeZone, Slots: 2, Address: "127.0.0.1:1"}}
		p.leafs[l.ID] = l
		p.publish(l.Leaf)
	}
	at := time.Duration(0)
	for range slotRequests {
		at += time.Duration(p.rng.ExpFloat64() * float64(slotWork) / (load * slotLeafs * 2))
		p.arrivals = append(p.arrivals, at)
		p.works = append(p.works, time.Duration(float64(slotWork)*(0.7+0.6*p.rng.Float64())))
	}
	return p
}

// publish tells all VMs of a leaf.
func (p *slotPlay) publish(l registry.Leaf) {
	for _, t := range p.tables {
		t.Apply(p.clock(), registry.Change{Leaf: l})
	}
}

// play runs the play to its end.
func (p *slotPlay) play() *slotPlay {
	for n, at := range p.arrivals {
		heap.Push(&p.events, timedEvent{at, func() { p.arrive(n, p.rng.IntN(slotVMs)) }})
	}
	for len(p.events) > 0 {
		ev := heap.Pop(&p.events).(timedEvent)
		p.now = ev.at
		ev.fn()
	}
	return p
}

// arrive makes request n arrive at a VM, which asks a keeper for a leaf.
func (p *slotPlay) arrive(n, vm int) {
	spec := Spec{
		Services: []string{"ledger"}, MaxAttempts: 2, LatencyObjective: 400 * time.Millisecond,
		AnswerBy: p.clock().Add(390 * time.Millisecond), Deadline: p.clock().Add(2 * time.Second), BudgetWeight: 1,
	}
	keeper := p.keeperOf(vm)
	if keeper < 0 {
		p.query(n, vm, keeper, spec)
		return
	}
	const limit = 8 * time.Millisecond
	if keeper == 0 && p.paused[vm] {
		keeper = 1
	}
	if keeper == 0 && p.silent() {
		p.after(limit, func() {
			p.paused[vm] = true
			p.query(n, vm, -1, spec)
		})
		return
	}
	req, ok := p.tables[vm].SlotRequest(p.clock(), spec)
	if !ok {
		panic("work of 90 ms is worth asking")
	}
	req.ID, req.MaxWait = slotbook.ID{VM: fmt.Sprint("vm-", vm), Number: uint64(n)}, p.patience
	p.pending[req.ID] = func(grant slotbook.Grant) {
		delete(p.pending, req.ID)
		if spec.Advised = LeafID(grant.Leaf); grant.RetryAfter > 0 {
			p.refusals = append(p.refusals, grant.RetryAfter)
			p.ended[n]++
			return
		}
		p.query(n, vm, keeper, spec)
	}
	p.after(slotWay, func() {
		book := p.keepers[keeper]
		book.SetLeafs(p.tables[keeper].SlotLeafs(p.clock(), "ledger"))
		grant := book.Reserve(p.clock(), req)
		p.answer(keeper, append(book.Tick(p.clock()), grant))
	})
	p.after(p.patience+2*slotWay, func() {
		if answer := p.pending[req.ID]; answer != nil {
			p.tell(n, vm, keeper, slotbook.End{Unused: true})
			answer(slotbook.Grant{})
		}
	})
}

// answer makes grants of a keeper reach the VMs that asked.
func (p *slotPlay) answer(keeper int, grants []slotbook.Grant) {
	for _, grant := range grants {
		if grant.Wait || keeper == 0 && p.silent() {
			continue
		}
		p.after(slotWay, func() {
			if answer := p.pending[grant.ID]; answer != nil {
				answer(grant)
			}
		})
	}
}

// query runs the query of request n at a VM, and tells the keeper of its end.
func (p *slotPlay) query(n, vm, keeper int, spec Spec) {
	q := NewQuery(spec, p.tables[vm])
	var carryOut func(acts []Action)
	carryOut = func(acts []Action) {
		for _, act := range acts {
			switch a := act.(type) {
			case Finish:
				p.ended[n]++
				if keeper >= 0 && !q.SentAsAdvised() {
					p.tell(n, vm, keeper, slotbook.End{Unused: true})
				}
			case Send:
				ways := 1
				if spec.Advised.ID != "" {
					ways = 3
				}
				p.send(n, a, time.Duration(ways)*slotWay, func(end End, load Load) {
					t := p.tables[vm]
					if end == EndAnswered || end == EndRefused {
						t.RecordLoad(p.clock(), a.Leaf, load)
					}
					t.AttemptEnded(p.clock(), a.Leaf, a.SentAt, end)
					if keeper >= 0 && a.Leaf == spec.Advised {
						p.tell(n, vm, keeper, slotbook.End{Full: end == EndRefused, Stated: end == EndAnswered, Running: load.Running, Waiting: load.Waiting})
					}
					if end == EndAnswered {
						carryOut(q.Reply(p.clock(), a.Attempt, false))
					} else {
						carryOut(q.Fail(p.clock(), a.Attempt, end))
					}
				})
			}
		}
		if wake := q.Wake(p.clock()); !q.done && !wake.IsZero() {
			p.after(max(wake.Sub(p.clock()), time.Microsecond), func() {
				if !q.done {
					carryOut(q.Tick(p.clock()))
				}
			})
		}
	}
	carryOut(q.Start(p.clock()))
}

// tell tells a keeper of the end of a request.
func (p *slotPlay) tell(n, vm, keeper int, end slotbook.End) {
	end.ID = slotbook.ID{VM: fmt.Sprint("vm-", vm), Number: uint64(n)}
	if !p.lost() {
		p.after(slotWay, func() {
			if keeper > 0 || !p.silent() {
				p.answer(keeper, p.keepers[keeper].End(p.clock(), end))
			}
		})
	}
}

// send makes request n reach a leaf, which calls done once with its end. ways is the time of the
// messages from its arrival until a leaf has it, without any wait.
func (p *slotPlay) send(n int, s Send, ways time.Duration, done func(End, Load)) {
	end := func(end End, load Load) { p.after(slotWay, func() { done(end, load) }) }
	p.after(slotWay, func() {
		l := p.leafs[s.Leaf.ID]
		load := func() Load { return Load{Running: len(l.running), Waiting: len(l.queue), Slots: l.Slots} }
		if s.Leaf.Born != l.Born {
			end(EndMoved, Load{})
			return
		}
		if len(l.running) == l.Slots && len(l.queue) == 2*l.Slots {
			end(EndRefused, load())
			return
		}
		life := l.life
		run := func() {
			p.runs[n]++
			p.waits = append(p.waits, p.now-p.arrivals[n]-ways)
			p.after(p.works[n], func() {
				if l.life != life {
					end(EndBroken, Load{})
					return
				}
				end(EndAnswered, load())
				l.running = l.running[1:]
				if len(l.queue) > 0 {
					next := l.queue[0]
					l.queue, l.running = l.queue[1:], append(l.running, next)
					next()
				}
			})
		}
		if len(l.running) < l.Slots {
			l.running = append(l.running, run)
			run()
			return
		}
		l.queue = append(l.queue, run)
	})
}

// restart restarts a leaf. VMs learn it half a second later.
func (p *slotPlay) restart(id string) {
	l := p.leafs[id]
	l.running, l.queue = nil, nil
	l.Born++
	l.life++
	p.after(500*time.Millisecond, func() { p.publish(l.Leaf) })
}

// meanWait returns the mean time for which requests that ran have waited for a slot.
func (p *slotPlay) meanWait() time.Duration {
	total := time.Duration(0)
	for _, w := range p.waits {
		total += w
	}
	return total / time.Duration(len(p.waits))
}

// oneQueue returns the mean wait of the same requests in one queue for all slots.
func (p *slotPlay) oneQueue() time.Duration {
	free := make([]time.Duration, slotLeafs*2)
	total := time.Duration(0)
	for n, at := range p.arrivals {
		slices.Sort(free)
		begin := max(free[0], at)
		free[0] = begin + p.works[n]
		total += begin - at
	}
	return total / slotRequests
}

// Guards against requests that wait at one leaf while others have free slots, since no VM knows what
// the others have in flight.
func TestNamedLeafsWaitAsInOneQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	for load, factor := range map[float64]float64{0.5: 1.2, 0.9: 1.5} {
		p := newSlotPlay(load).play()
		alone := newSlotPlay(load)
		alone.keeperOf = func(int) int { return -1 }
		alone.play()
		t.Logf("load %v: one queue %v, named %v, alone %v (%d ran)", load, p.oneQueue(), p.meanWait(), alone.meanWait(), len(alone.waits))
		g.Expect(float64(p.meanWait())).To(gomega.BeNumerically("<=", factor*float64(p.oneQueue())))
		g.Expect(p.runs).To(gomega.HaveLen(slotRequests))
	}
}

// Each case guards against a failure of a keeper, a message or a leaf that lets a request run twice,
// leaves it without an end, or makes the choice worse than without a keeper.
func TestKeeperFailuresCostOnlyTheChoice(t *testing.T) {
	const middle, length = 30 * time.Second, 5 * time.Second
	during := func(p *slotPlay) bool { return p.now >= middle && p.now < middle+length }
	cases := map[string]func(p *slotPlay){
		"the keeper is killed": func(p *slotPlay) {
			p.silent = func() bool { return p.now >= middle }
		},
		"the keeper is frozen and returns": func(p *slotPlay) {
			p.silent = func() bool {
				if p.now >= middle+length {
					clear(p.paused) // it answers pings
				}
				return during(p)
			}
		},
		"two VMs keep account": func(p *slotPlay) {
			p.keeperOf = func(vm int) int {
				if during(p) {
					return vm % 2
				}
				return 0
			}
		},
		"messages about ends are lost": func(p *slotPlay) {
			p.lost = func() bool { return p.rng.Float64() < 0.05 }
		},
		"a leaf restarts": func(p *slotPlay) {
			heap.Push(&p.events, timedEvent{middle, func() { p.restart("leaf-0") }})
		},
	}
	alone := newSlotPlay(0.5)
	alone.keeperOf = func(int) int { return -1 }
	alone.play()
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := newSlotPlay(0.5)
			p.patience = 80 * time.Millisecond
			fail(p)
			p.play()
			t.Logf("wait %v, alone %v, refused %d, ran %d", p.meanWait(), alone.meanWait(), len(p.refusals), len(p.runs))
			for n := range slotRequests {
				g.Expect(p.runs[n]).To(gomega.BeNumerically("<=", 1))
				g.Expect(p.ended[n]).To(gomega.Equal(1))
			}
			g.Expect(len(p.runs)).To(gomega.BeNumerically(">=", slotRequests*99/100))
			g.Expect(p.meanWait()).To(gomega.BeNumerically("<", alone.meanWait()/2))
		})
	}
}

// Guards against advice that is followed although the VM knows better.
func TestAdviceIsIgnoredWhereTheVMKnowsBetter(t *testing.T) {
	cases := map[string]func(w *world, id LeafID){
		"unknown": func(w *world, id LeafID) {
			w.table.Apply(w.now, registry.Change{Gone: true, Leaf: w.table.leafs[id.ID].Leaf})
		},
		"suspect":     func(w *world, id LeafID) { w.table.leafs[id.ID].suspicion.raise(w.now) },
		"in cooldown": func(w *world, id LeafID) { w.table.leafs[id.ID].cooldown.startAtLeast(w.now, time.Second) },
		"cold":        func(w *world, id LeafID) { w.table.leafs[id.ID].Cold = true },
		"evacuated":   func(w *world, _ LeafID) { w.table.SetEvacuatedZones(w.now, []string{"far"}) },
		"":            func(*world, LeafID) {},
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			near, far := w.leaf("ledger", homeZone), w.leaf("ledger", "far")
			spec := w.single("ledger", false)
			spec.Advised = far
			spoil(w, far)
			q := NewQuery(spec, w.table)
			sent := sends(q.Start(w.now))
			w.Expect(sent).To(gomega.HaveLen(1))
			w.Expect(sent[0].Leaf).To(gomega.Equal(cmp.Or(map[string]LeafID{"": far}[name], near)))
			w.Expect(q.SentAsAdvised()).To(gomega.Equal(name == ""))
		})
	}
}

// manyVMs returns n VMs.
func manyVMs(n int) []VM {
	var vms []VM
	for i := range n {
		vms = append(vms, VM{Name: fmt.Sprint("vm-", i), Zone: homeZone, Power: 1})
	}
	return vms
}

// Guards against a keeper that is asked for short work, of which there may be very much.
func TestKeepersAreNotAskedForShortWork(t *testing.T) {
	w := newWorld(t)
	id := w.leaf("ledger", homeZone)
	spec := w.single("ledger", false)
	for _, took := range []time.Duration{minKeptWork / 4, 4 * minKeptWork} {
		for range 200 {
			w.table.recordDuration(w.now, durationKey{objective: spec.LatencyObjective}, &attempt{leaf: id, sentAt: w.now.Add(-took)})
		}
		_, ok := w.table.SlotRequest(w.now, spec)
		w.Expect(ok).To(gomega.Equal(took > minKeptWork))
		w.wait(time.Hour)
	}
}

// Guards against VMs that choose different keepers, weak keepers, and keepers that can't be called.
func TestAllVMsChooseTheSameKeepers(t *testing.T) {
	g := gomega.NewWithT(t)
	var vms []VM
	for i := range 40 {
		vms = append(vms, VM{Name: fmt.Sprint("vm-", i), Zone: []string{homeZone, "bare"}[i%2], Power: []float64{0.2, 0.8}[i/2%2]})
	}
	var chosen []string
	for i, self := range vms {
		w := newWorld(t)
		w.becomeVM(self.Name, self.Zone, w.table.budgetConfig)
		w.table.power = self.Power
		w.leaf("ledger", homeZone)
		w.table.SetVMs(w.now, slices.Concat(vms[:i], vms[i+1:]))
		g.Expect(w.table.SlotsShared("ledger")).To(gomega.BeTrue())
		var names []string
		for _, vm := range w.table.SlotKeepers(w.now, "ledger") {
			g.Expect(vm.Zone + fmt.Sprint(vm.Power)).To(gomega.Equal(homeZone + "0.8"))
			names = append(names, vm.Name)
		}
		if chosen == nil {
			chosen = names
		}
		g.Expect(names).To(gomega.Equal(chosen))
		if v := w.table.vms[chosen[0]]; v != nil {
			v.suspicion.raise(w.now)
			g.Expect(w.table.SlotKeepers(w.now, "ledger")[0].Name).To(gomega.Equal(chosen[1]))
		}
		w.becomeVM(self.Name, self.Zone, w.table.budgetConfig)
		w.leaf("ledger", homeZone)
		w.table.SetVMs(w.now, vms[38:39])
		g.Expect(w.table.SlotsShared("ledger")).To(gomega.BeFalse(), "two VMs share two slots")
	}
	w := newWorld(t)
	for i := range maxKeptSlots {
		g.Expect(w.table.SlotsShared("archive")).To(gomega.Equal(i > 0 && i <= maxKeptSlots/2))
		w.leaf("archive", fmt.Sprint("zone-", i))
		w.table.SetVMs(w.now, manyVMs(2*maxKeptSlots))
	}
}
