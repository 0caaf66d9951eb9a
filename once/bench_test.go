package once

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// BenchmarkRun measures store calls per request, on a platform that answers in
// 3 ms and takes 300 writes and 2000 reads a second. The VMs share 280 writes.
func BenchmarkRun(b *testing.B) {
	for _, vms := range []int{1, 7} {
		for _, callers := range []int{1, 16, 64, 256} {
			b.Run(fmt.Sprintf("vms=%d/callers=%d", vms, callers), func(b *testing.B) {
				benchmarkRun(b, vms, callers)
			})
		}
	}
}

func benchmarkRun(b *testing.B, vms, callers int) {
	store := platformsim.NewStore()
	store.SetFaults(platformsim.Faults{SlowMS: 3, WritesPerSecond: 300, ReadsPerSecond: 2000})
	set := metrics.NewSet()
	runners := make([]*Runner, vms)
	for i := range runners {
		runners[i] = NewRunner(Options{Store: store, VM: fmt.Sprint("vm", i), Incarnation: "1", Metrics: set})
		runners[i].SetFleet(vms)
	}
	var left, done atomic.Int64
	left.Store(int64(b.N))
	var wg sync.WaitGroup
	b.ResetTimer()
	for i := range callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				out := runners[i%vms].Run(context.Background(), request("d"), func(context.Context) Outcome {
					return Outcome{Code: result.Accepted, Result: []byte(`{"filed":true}`)}
				})
				if out.Code == result.Accepted {
					done.Add(1)
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	took := b.Elapsed()
	for _, r := range runners {
		_ = r.Close(context.Background())
	}
	calls, n := store.Counters(), float64(done.Load())
	count := newCounters(set)
	b.ReportMetric(n/float64(calls.Put), "requests/write")
	b.ReportMetric(float64(calls.Put)/n, "writes/request")
	b.ReportMetric(float64(calls.Get)/n, "reads/request")
	b.ReportMetric(float64(count.conflicts.Get())/float64(calls.Put), "conflicts/write")
	b.ReportMetric(float64(calls.Refused)/float64(calls.Put), "refused/call")
	b.ReportMetric(float64(count.bytes.Get())/float64(calls.Put), "B/write")
	b.ReportMetric(n/took.Seconds(), "requests/s")
	b.ReportMetric(float64(took.Milliseconds())*float64(callers)/float64(b.N), "ms/request")
	b.ReportMetric(float64(int64(b.N)-done.Load()), "not_accepted")
	b.ReportMetric(0, "ns/op")
}
