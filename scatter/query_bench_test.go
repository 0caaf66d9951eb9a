package scatter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkGatheredQuery measures the time and the allocations of the decisions for one request
// over 90 shards with three leafs each, where all answers arrive one after another. A VM with a
// fifth of a core has about 16 ms of processor time within the latency objective for everything
// that it does.
func BenchmarkGatheredQuery(b *testing.B) {
	w := newWorld(b)
	names := w.shards(90, homeZone, "other", "third")
	spec := w.gathered(names)
	b.ReportAllocs()
	for b.Loop() {
		spec.AnswerBy, spec.Deadline = w.now.Add(90*time.Millisecond), w.now.Add(400*time.Millisecond)
		q := NewQuery(spec, w.table)
		first := sends(q.Start(w.now))
		q.Wake(w.now)
		for _, s := range first {
			w.wait(100 * time.Microsecond)
			w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
			q.Reply(w.now, s.Attempt, false)
			q.Wake(w.now)
		}
	}
}

// BenchmarkDelegatingQuery measures the time and the allocations of the decisions of a weak VM that
// owns no leafs. Of 90 shards, with leafs in three of four zones, a quarter has none in its zone. All
// calls are acknowledged and answered.
func BenchmarkDelegatingQuery(b *testing.B) {
	zones := []string{"a", "b", "c", homeZone}
	var vms []VM
	for _, zone := range zones {
		for i := range 20 {
			power := 0.2
			if i < 2 {
				power = 0.8
			}
			vms = append(vms, VM{Name: fmt.Sprintf("vm-%s-%02d", zone, i), Zone: zone, Power: power})
		}
	}
	w := newWorld(b)
	w.table = tableOf(vms, vms[len(vms)-1], ampleBudget, w.now, w.now.Add(-time.Minute))
	w.table.rng = rand.New(rand.NewPCG(1, 2))
	names := w.shards(90)
	for i, name := range names {
		for n, zone := range zones {
			if n != i%len(zones) {
				w.leaf(name, zone)
			}
		}
		w.table.SetServiceConfig(w.now, name, ServiceConfig{MaxConnections: 61, Shard: true})
	}
	w.table.SetMaxShards(w.now, len(names))
	spec := w.gathered(names)
	spec.MayDelegate, spec.RequestID = true, "9c41d07be2a35f68"
	b.ReportAllocs()
	for b.Loop() {
		w.wait(time.Second)
		spec.AnswerBy, spec.Deadline = w.now.Add(90*time.Millisecond), w.now.Add(400*time.Millisecond)
		q := NewQuery(spec, w.table)
		calls := vmCalls(q.Start(w.now))
		for _, c := range calls {
			q.CallSent(w.now, c.Call)
			q.Wake(w.now)
			q.CallReply(w.now, c.Call, CallAnswer{})
			q.Wake(w.now)
		}
		for _, c := range calls {
			w.wait(time.Millisecond)
			q.CallReply(w.now, c.Call, CallAnswer{Included: c.Shards, Last: true})
			w.table.CallEnded(w.now, c.VM.Name, EndAnswered)
		}
	}
}
