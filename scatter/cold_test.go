package scatter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// coldRoom is a shard with one leaf, seen by many VMs, each with a table of its own. The leaf
// tolerates 10 requests per second while it is cold, times 1.5, plus 5.
type coldRoom struct {
	vms    []VM
	tables []*Table
	now    time.Time
	sent   []time.Time // by all VMs, oldest first
}

const (
	coldPerSecond = 10
	coldLimit     = coldPerSecond*1.5 + 5
)

// join adds the table of a VM that knows the given VMs, itself among them. It has run for a minute.
func (r *coldRoom) join(self VM, known []VM, leaf registry.Leaf) {
	t := tableOf(known, self, ampleBudget, r.now, r.now.Add(-time.Minute))
	t.rng = rand.New(rand.NewPCG(1, 2))
	t.SetColdConfig(ColdConfig{Excess: 1.5, Slack: 5})
	t.SetServiceConfig(r.now, leaf.Service, ServiceConfig{ColdPerSecond: coldPerSecond, ColdFor: 3 * time.Second, Shard: true})
	t.Apply(r.now, registry.Change{Leaf: leaf})
	r.tables = append(r.tables, t)
}

// request makes a VM query the leaf, and answers it at once.
func (r *coldRoom) request(t *Table, gathered bool) *Outcome {
	spec := Spec{
		Services: []string{"shard"}, Gathered: gathered, Idempotent: true, MaxAttempts: 2, LatencyObjective: 100 * time.Millisecond,
		AnswerBy: r.now.Add(90 * time.Millisecond), Deadline: r.now.Add(400 * time.Millisecond), BudgetWeight: 1, MinShare: 1,
	}
	q := NewQuery(spec, t)
	acts := q.Start(r.now)
	for _, s := range sends(acts) {
		r.sent = append(r.sent, r.now)
		t.AttemptEnded(r.now, s.Leaf, s.SentAt, EndAnswered)
		acts = append(acts, q.Reply(r.now, s.Attempt, false)...)
	}
	return outcome(acts)
}

// greatestRate returns the largest number of requests within one second.
func (r *coldRoom) greatestRate() int {
	most, first := 0, 0
	for i, at := range r.sent {
		for at.Sub(r.sent[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a cold leaf that crashes since all VMs together send it more requests per second
// than it tolerates: those with equal lists of VMs, those whose lists lag behind, and those that
// have just started and know no VM.
func TestAllVMsTogetherKeepTheLimitOfAColdLeaf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &coldRoom{now: time.Unix(1_000_000, 0), vms: fleetOf(20, "a", "b")}
		leaf := registry.Leaf{ID: "l", Born: 1, Service: "shard", Zone: "a", Slots: 50, Address: "127.0.0.1:1", Cold: true}
		// Two VMs of the zone were replaced, and some VMs do not know of it yet.
		old := append(fleetOf(20, "a", "b")[2:], VM{Name: "vm-a-old-0", Zone: "a", Power: 1}, VM{Name: "vm-a-old-1", Zone: "a", Power: 1})
		for _, self := range r.vms {
			known := r.vms
			if rapid.Bool().Draw(t, "lags") {
				known = append(old, self)
			}
			r.join(self, known, leaf)
		}
		starting := NewTable(VM{Name: "vm-a-new", Zone: "a", Power: 1}, ampleBudget, r.now, rand.New(rand.NewPCG(1, 2)))
		starting.SetServiceConfig(r.now, "shard", ServiceConfig{ColdPerSecond: coldPerSecond})
		starting.Apply(r.now, registry.Change{Leaf: leaf})
		r.tables = append(r.tables, starting)
		gathered := rapid.Bool().Draw(t, "gathered")
		for range 300 {
			r.request(r.tables[rapid.IntRange(0, len(r.tables)-1).Draw(t, "vm")], gathered)
			r.now = r.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
		}
		if n := r.greatestRate(); n > coldLimit {
			t.Fatalf("%d requests within a second", n)
		}
	})
}

// Guards against a cold leaf that gets no requests at all, against callers that wait for it, and
// against a limit that stays in force once the leaf is warm.
func TestColdLeafGetsItsShareUntilItIsWarm(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &coldRoom{now: time.Unix(1_000_000, 0), vms: fleetOf(20, "a")}
	leaf := registry.Leaf{ID: "l", Born: 1, Service: "shard", Zone: "a", Slots: 50, Address: "127.0.0.1:1", Cold: true}
	for _, self := range r.vms {
		r.join(self, r.vms, leaf)
	}
	refused := 0
	for i := range 100 {
		out := r.request(r.tables[i%len(r.tables)], true)
		g.Expect(out).NotTo(gomega.BeNil(), "answered or refused at once")
		if out.Verdict == NotRun {
			refused++
		}
	}
	g.Expect(len(r.sent)).To(gomega.BeNumerically(">", 0))
	g.Expect(refused).To(gomega.BeNumerically(">", 0))
	leaf.Cold = false
	before := len(r.sent)
	for _, table := range r.tables {
		table.Apply(r.now, registry.Change{Leaf: leaf})
	}
	for i := range 100 {
		r.request(r.tables[i%len(r.tables)], true)
	}
	g.Expect(len(r.sent) - before).To(gomega.Equal(100))
}

// Guards against a rush to leafs that are cold after the evacuation of their zone, before their
// entries say so. Where the service states no limit, nothing is held back.
func TestLeafsCountAsColdJustAfterAnEvacuation(t *testing.T) {
	for _, limited := range []bool{true, false} {
		w := newWorld(t)
		w.leaf("ledger", homeZone)
		config := ServiceConfig{ColdFor: 3 * time.Second}
		if limited {
			config.ColdPerSecond = 1
		}
		w.table.SetServiceConfig(w.now, "ledger", config)
		w.table.SetEvacuatedZones(w.now, []string{homeZone})
		w.table.SetEvacuatedZones(w.now, nil)
		run := func() int {
			n := 0
			for i := range 10 {
				q := NewQuery(w.single("ledger", true), w.table)
				for _, s := range sends(q.Start(w.now)) {
					n++
					w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
					q.Reply(w.now, s.Attempt, false)
				}
				w.wait(time.Duration(i) * time.Millisecond)
			}
			return n
		}
		if limited {
			w.Expect(run()).To(gomega.BeNumerically("<", 10))
			w.wait(3 * time.Second)
		}
		w.Expect(run()).To(gomega.Equal(10), fmt.Sprint("limited ", limited))
	}
}
