package scatter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// benchmarkShards runs a benchmark of a gathered request at each number of shards.
func benchmarkShards(b *testing.B, f func(b *testing.B, shards int)) {
	for _, shards := range []int{90, 135} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) { f(b, shards) })
	}
}

// BenchmarkGatheredQuery measures the time and the allocations of the decisions for one request
// with three leafs for each shard, where all answers arrive one after another. A VM with a
// fifth of a core has about 16 ms of processor time within the latency objective for everything
// that it does.
func BenchmarkGatheredQuery(b *testing.B) {
	benchmarkShards(b, func(b *testing.B, shards int) {
		w := newWorld(b)
		names := w.shards(shards, homeZone, "other", "third")
		spec := w.gathered(names)
		benchmarkOwner(b, w, spec)
	})
}

// BenchmarkCalledQuery measures the same for a VM that another one has called.
func BenchmarkCalledQuery(b *testing.B) {
	benchmarkShards(b, func(b *testing.B, shards int) {
		w := newWorld(b)
		names := w.shards(shards, homeZone, "other", "third")
		spec := w.gathered(names)
		spec.Delegated, spec.RequestID = true, "9c41d07be2a35f68"
		for _, name := range names {
			spec.Views = append(spec.Views, viewOf(w.table.commonLeafs(name, w.table.zone, spec.RequestID, spec.MaxAttempts)))
		}
		benchmarkOwner(b, w, spec)
	})
}

// benchmarkOwner runs a query whose attempts are all answered, one after another, by leafs that report
// their load.
func benchmarkOwner(b *testing.B, w *world, spec Spec) {
	b.ReportAllocs()
	for b.Loop() {
		spec.AnswerBy, spec.Deadline = w.now.Add(90*time.Millisecond), w.now.Add(400*time.Millisecond)
		q := NewQuery(spec, w.table)
		first := sends(q.Start(w.now))
		q.Wake(w.now)
		for _, s := range first {
			w.wait(100 * time.Microsecond)
			w.table.RecordLoad(w.now, s.Leaf, Load{Running: 1, Slots: 2, Slowdown: 1.2})
			w.table.AttemptEnded(w.now, s.Leaf, s.SentAt, EndAnswered)
			q.Reply(w.now, s.Attempt, false)
			q.Wake(w.now)
		}
	}
}

// BenchmarkDelegatingQuery measures the time and the allocations of the decisions of a weak VM that
// owns no leafs. The shards have leafs in three of four zones, a quarter of them none in its zone. All
// calls are acknowledged and answered.
func BenchmarkDelegatingQuery(b *testing.B) {
	benchmarkShards(b, benchmarkDelegatingQuery)
}

func benchmarkDelegatingQuery(b *testing.B, shards int) {
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
	names := w.shards(shards)
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

// BenchmarkYield measures the time and the allocations of refusing one of 5,000 requests per second
// over 135 shards with three leafs each, of a tenant that is beyond its share, while room is short.
func BenchmarkYield(b *testing.B) {
	w := newWorld(b)
	names := w.shards(135, homeZone, "other", "third")
	w.table.SetTenants(true, nil)
	room := w.table.urgency.gathered
	for range 100 {
		w.wait(100 * time.Millisecond)
		room.level.Admits(w.now, 2, 1)
	}
	for i := range 78 {
		room.shares.Ask(w.now, i%4, fmt.Sprint("tenant-", i), float64(len(names)))
	}
	spec := w.gathered(names)
	spec.Rank, spec.Tenant = 2, "flood"
	refused := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			room.shortUntil = w.now.Add(shortageMemory)
			for _, l := range w.table.leafs {
				l.typicalWork = 10 * time.Millisecond
				l.recordLoad(w.now, Load{Running: l.Slots, Waiting: 100, Slots: l.Slots, Slowdown: 1})
			}
		}
		w.wait(time.Second / 5000)
		spec.AnswerBy, spec.Deadline = w.now.Add(90*time.Millisecond), w.now.Add(400*time.Millisecond)
		spec.RequestID = names[i%len(names)]
		if out := outcome(NewQuery(spec, w.table).Start(w.now)); out != nil && out.Verdict == NotRun {
			refused++
		}
	}
	b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
}
