package scatter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/bramleybarrow/bramleybarrow/registry"
)

// world is the table of one VM, and a clock that only the test advances.
type world struct {
	*gomega.WithT
	table *Table
	now   time.Time
}

// homeZone is the zone of the VM that has the world's table.
const homeZone = "home"

// newWorld returns a world whose VM is vm-home, without leafs.
func newWorld(t types.GomegaTestingT) *world {
	config := BudgetConfig{Ratio: 0.2, Floor: 50, Window: 10 * time.Second}
	now := time.Unix(1_000_000, 0)
	w := &world{WithT: gomega.NewWithT(t), now: now}
	w.becomeVM("vm-home", homeZone, config)
	return w
}

// becomeVM replaces the table by that of another VM, which started one budget window ago and knows
// no other VMs.
func (w *world) becomeVM(name, zone string, config BudgetConfig) {
	w.table = NewTable(VM{Name: name, Zone: zone, Power: 1}, config, w.now.Add(-config.Window), rand.New(rand.NewPCG(1, 2)))
	w.table.SetVMs(w.now, nil)
}

// leaf adds a leaf of the service with two slots in the zone, and returns its id.
func (w *world) leaf(service, zone string) LeafID {
	id := fmt.Sprintf("%s@%s", service, zone)
	w.table.Apply(w.now, registry.Change{Leaf: registry.Leaf{
		ID: id, Born: 1, Service: service, Zone: zone, Slots: 2, Address: "127.0.0.1:1",
	}})
	return LeafID{ID: id, Born: 1}
}

// shards adds n services with a leaf in each of the zones, and returns the names of the services.
func (w *world) shards(n int, zones ...string) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("shard-%02d", i)
		for _, zone := range zones {
			w.leaf(names[i], zone)
		}
	}
	return names
}

// wait advances the clock by d.
func (w *world) wait(d time.Duration) { w.now = w.now.Add(d) }

// gathered returns a gathered request with a latency objective of 100 ms.
func (w *world) gathered(services []string) Spec {
	return Spec{
		Services: services, Gathered: true, Idempotent: true, MaxAttempts: 2, MinShare: 0.9,
		LatencyObjective: 100 * time.Millisecond, AnswerBy: w.now.Add(90 * time.Millisecond),
		Deadline: w.now.Add(400 * time.Millisecond), BudgetWeight: 1,
	}
}

// single returns a request to one service with a latency objective of 100 ms.
func (w *world) single(service string, idempotent bool) Spec {
	return Spec{
		Services: []string{service}, Idempotent: idempotent, MaxAttempts: 2,
		LatencyObjective: 100 * time.Millisecond, AnswerBy: w.now.Add(90 * time.Millisecond),
		Deadline: w.now.Add(400 * time.Millisecond), BudgetWeight: 1,
	}
}

// viewsOf returns the views of a delegated request's shards, as a VM computes them that knows the
// same leafs as this one.
func (w *world) viewsOf(spec Spec) []View {
	var views []View
	for _, service := range spec.Services {
		views = append(views, viewOf(w.table.commonLeafs(service, w.table.zone, spec.RequestID, spec.MaxAttempts)))
	}
	return views
}

// sends returns those of the actions that send a request to a leaf.
func sends(acts []Action) []Send {
	var out []Send
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return out
}

// vmCalls returns those of the actions that call another VM.
func vmCalls(acts []Action) []CallVM {
	var out []CallVM
	for _, a := range acts {
		if s, ok := a.(CallVM); ok {
			out = append(out, s)
		}
	}
	return out
}

// outcome returns the outcome of the query that the actions end, nil if they don't end it.
func outcome(acts []Action) *Outcome {
	for _, a := range acts {
		if f, ok := a.(Finish); ok {
			return &f.Outcome
		}
	}
	return nil
}
