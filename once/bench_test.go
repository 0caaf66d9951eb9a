package once

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/once/relay"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// BenchmarkRun measures throughput, latency and store calls per request, on a
// platform that answers in 3 ms and accepts 300 writes and 2000 reads per second. The
// VMs share 280 writes per second.
func BenchmarkRun(b *testing.B) {
	for _, vms := range []int{1, 7, 50} {
		for _, callers := range []int{1, 16, 64, 256} {
			b.Run(fmt.Sprintf("vms=%d/callers=%d", vms, callers), func(b *testing.B) {
				benchmarkRun(b, vms, callers)
			})
		}
	}
}

// benchmarkRun runs b.N requests from the given number of concurrent callers, who are
// spread over the VMs.
func benchmarkRun(b *testing.B, vms, callers int) {
	store := platformsim.NewStore()
	store.SetFaults(platformsim.Faults{SlowMS: 3, WritesPerSecond: 300, ReadsPerSecond: 2000})
	set := metrics.NewSet()
	runners := make([]*Runner, vms)
	for i := range runners {
		runners[i] = NewRunner(Options{Store: store, VM: fmt.Sprint("vm", i), Incarnation: "1", Metrics: set})
		runners[i].SetFleetSize(vms)
	}
	connectOverLoopback(b, runners)
	var remaining, done atomic.Int64
	remaining.Store(int64(b.N))
	var wg sync.WaitGroup
	b.ResetTimer()
	for i := range callers {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
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
	b.ReportMetric(float64(count.fallbacks.Get())/n, "fallbacks/request")
	b.ReportMetric(float64(calls.Refused)/float64(calls.Put), "refused/call")
	b.ReportMetric(float64(count.bytes.Get())/float64(calls.Put), "B/write")
	b.ReportMetric(n/took.Seconds(), "requests/s")
	b.ReportMetric(float64(took.Milliseconds())*float64(callers)/float64(b.N), "ms/request")
	b.ReportMetric(float64(int64(b.N)-done.Load()), "not_accepted")
	b.ReportMetric(0, "ns/op")
}

// fakeFleet is a relay.Fleet with a fixed list of VMs that are all alive.
type fakeFleet struct {
	vms     []objstore.VM // returned by Live
	options wire.Options  // of connections to other VMs, returned by WireOptions
}

func (f *fakeFleet) Live() []objstore.VM       { return f.vms }
func (f *fakeFleet) WireOptions() wire.Options { return f.options }

// connectOverLoopback lets the VMs commit for one another, over loopback connections.
func connectOverLoopback(b *testing.B, runners []*Runner) {
	var vms []objstore.VM
	fleets := make([]*fakeFleet, len(runners))
	for i, r := range runners {
		o := wire.Options{
			Self: wire.Identity{Deployment: "vatnsleit", VM: r.opts.VM, Incarnation: "1"},
			Keys: [][]byte{make([]byte, wire.MinKeyBytes)},
			Handler: func(ctx context.Context, _ *wire.Conn, method string, params json.RawMessage) (any, error) {
				return relay.Handle(ctx, r, method, params)
			},
		}
		server, err := wire.Listen("127.0.0.1:0", o, &wire.Counters{}, func(c *wire.Conn) { c.Serve() })
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(server.Stop)
		vms = append(vms, objstore.VM{Name: r.opts.VM, Address: server.Addr().String()})
		fleets[i] = &fakeFleet{options: o}
	}
	for i, r := range runners {
		fleets[i].vms = vms
		links := relay.NewLinks(relay.Options{Self: r.opts.VM, Fleet: fleets[i]})
		b.Cleanup(links.Stop)
		r.dispatcher.peers = links
	}
}
