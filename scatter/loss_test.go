package scatter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// lossModel plays the loss of a zone to the VMs of the other zones in virtual time. Each VM has a
// table of its own and makes its decisions by it. Lost VMs answer nothing. Leafs are not modelled:
// only what becomes of calls to VMs counts.
type lossModel struct {
	now    time.Time
	events simulatedEvents
	serial int
	rng    *rand.Rand
	tables map[string]*Table   // of the VMs that stand
	links  map[string][]string // for each VM that stands, those that call it or that it calls
	names  []string            // of the VMs that stand
	shards []string

	lostAt   time.Time
	suffered []time.Duration // when requests began that called a lost VM, from the loss on
}

// Times of the model.
const (
	modelHop  = 2 * time.Millisecond   // time for a message between two VMs
	modelPing = 150 * time.Millisecond // time after which a liveness check has failed
)

// newLossModel returns a model of the VMs of four zones, perZone in each, of which the last zone is
// lost at once. A tenth of the VMs is four times as strong as the others.
func newLossModel(perZone int) *lossModel {
	zones := []string{"a", "b", "c", "lost"}
	var vms []VM
	for _, zone := range zones {
		for i := range perZone {
			power := 0.2
			if i < max(perZone/10, 1) {
				power = 0.8
			}
			vms = append(vms, VM{Name: fmt.Sprintf("vm-%s-%03d", zone, i), Zone: zone, Power: power})
		}
	}
	m := &lossModel{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(5, 6)),
		tables: make(map[string]*Table), links: make(map[string][]string),
	}
	m.lostAt = m.now
	for _, v := range vms {
		if v.Zone == "lost" {
			continue
		}
		w := &world{table: tableOf(vms, v, ampleBudget, m.now, m.now.Add(-time.Minute)), now: m.now}
		w.table.rng = m.rng
		m.shards = w.shards(20, "a", "b", "c", "lost")
		for i, name := range m.shards {
			// Each shard has leafs in three of the four zones.
			w.table.Apply(m.now, registry.Change{Gone: true, Leaf: registry.Leaf{ID: name + "@" + zones[i%len(zones)], Service: name}})
			w.table.SetServiceConfig(m.now, name, ServiceConfig{Shard: true})
		}
		w.table.SetMaxShards(m.now, len(m.shards))
		m.tables[v.Name], m.names = w.table, append(m.names, v.Name)
	}
	for name, t := range m.tables {
		for _, v := range t.Delegates(m.now) {
			m.links[name] = append(m.links[name], v.Name)
			m.links[v.Name] = append(m.links[v.Name], name)
		}
	}
	return m
}

// after schedules a call of fn at the time d from now.
func (m *lossModel) after(d time.Duration, fn func()) {
	m.serial++
	heap.Push(&m.events, simulatedEvent{at: m.now.Add(d), serial: m.serial, fn: fn})
}

// run plays requests at random VMs, perSecond of them per second on average.
func (m *lossModel) run(length time.Duration, perSecond float64) {
	for at := time.Duration(0); at < length; at += time.Duration(m.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		m.after(at, m.request)
	}
	for len(m.events) > 0 {
		ev := heap.Pop(&m.events).(simulatedEvent)
		m.now = ev.at
		ev.fn()
	}
}

// request starts a request at a random VM. Its calls to VMs that stand are acknowledged and
// answered, and those to lost VMs are not.
func (m *lossModel) request() {
	name := m.names[m.rng.IntN(len(m.names))]
	w := &world{table: m.tables[name], now: m.now}
	spec := w.gathered(m.shards)
	spec.MayDelegate, spec.RequestID = true, fmt.Sprint(m.serial)
	q := NewQuery(spec, w.table)
	suffers := false
	for _, call := range vmCalls(q.Start(m.now)) {
		q.CallSent(m.now, call.Call)
		if call.VM.Zone == "lost" {
			suffers = true
			m.after(spec.AnswerBy.Sub(m.now), func() { m.tables[name].CallEnded(m.now, call.VM.Name, EndSilent); m.check(name) })
			continue
		}
		q.CallReply(m.now, call.Call, CallAnswer{Included: call.Shards, Last: true})
		w.table.CallEnded(m.now, call.VM.Name, EndAnswered)
	}
	if suffers {
		m.suffered = append(m.suffered, m.now.Sub(m.lostAt))
		m.after(q.Wake(m.now).Sub(m.now), func() { q.Tick(m.now); m.check(name) })
	}
}

// check makes a round of liveness checks at a VM if one was requested.
func (m *lossModel) check(name string) {
	t := m.tables[name]
	due := t.StartLivenessRound(m.now)
	if len(due) == 0 {
		return
	}
	m.after(modelPing, func() {
		for _, v := range due {
			t.RecordLivenessCheck(m.now, v.Name, v.Zone != "lost")
		}
		if t.EndLivenessRound(m.now).Report {
			m.report(name)
		}
	})
}

// report tells all VMs to which a VM has a connection that VMs were lost.
func (m *lossModel) report(name string) {
	for _, other := range m.links[name] {
		t := m.tables[other]
		if t == nil {
			continue
		}
		m.after(modelHop, func() {
			if t.LossReported(m.now) {
				m.report(other)
			}
			m.check(other)
		})
	}
}

// Guards against the loss of a request at each of hundreds of VMs before all of them know that a
// zone is lost. The users' aim is that callers of other zones are served as usual from the second
// after the loss on, at every number of VMs under the same load of the whole system.
func TestLossOfAZoneIsKnownEverywhereWithinASecond(t *testing.T) {
	const perSecond = 46
	for _, perZone := range []int{3, 25, 75, 250} {
		g := gomega.NewWithT(t)
		m := newLossModel(perZone)
		m.run(4*time.Second, perSecond)
		late := 0
		for _, at := range m.suffered {
			if at > time.Second {
				late++
			}
		}
		g.Expect(late).To(gomega.BeZero(), "%d VMs a zone: requests that call a lost VM more than 1 s after the loss", perZone)
		g.Expect(len(m.suffered)).To(gomega.BeNumerically("<=", perSecond), "%d VMs a zone", perZone)
		t.Logf("%d VMs: %d requests called a lost VM", 4*perZone, len(m.suffered))
	}
}
