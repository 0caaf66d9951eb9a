package target

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// These benchmarks give the figures in docs/design/target-transport.md. Both ends run
// in this process.

// transportCases are the protocols and connections per VM for a target whose 25
// connections are shared by seven VMs.
var transportCases = []struct {
	name        string
	protocol    Protocol
	connections int
}{
	{"HTTP1/conns=3", HTTP1, 3},
	{"HTTP2/conns=1", HTTP2, 1},
	{"HTTP2/conns=3", HTTP2, 3},
}

// connectCost is the time that the target spends on a new connection.
const connectCost = 6 * time.Millisecond

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchClient returns a client with all connections of its share open, and its metrics.
func benchClient(b *testing.B, s *fakeTarget, protocol Protocol, connections int) (*Client, *metrics.Set) {
	set := metrics.NewSet()
	c := NewClient(Options{Protocol: protocol, Metrics: set, MaxWait: testTimeout, MaxWaiters: 10000})
	b.Cleanup(c.Close)
	endpoint := s.endpoint(connections)
	endpoint.ConnectCost = connectCost
	c.Apply([]Endpoint{endpoint})
	waitOpen(c, connections)
	return c, set
}

// waitOpen waits until the given number of connections to target "a" are open and warmed up.
func waitOpen(c *Client, connections int) {
	p := c.pool("a")
	for open := 0; open < connections; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		open = len(p.conns)
		p.mu.Unlock()
	}
}

// openedCount returns how many connections the client with the metrics in set has opened.
func openedCount(set *metrics.Set) uint64 {
	return set.GetOrCreateCounter("bramley_target_connections_opened_total").Get()
}

// BenchmarkCall measures the time of a search that is answered at once, and the processor
// time that it costs both ends together.
func BenchmarkCall(b *testing.B) {
	for _, k := range transportCases {
		b.Run(k.name, func(b *testing.B) {
			s := newFakeTarget(b, "a", connectCost)
			c, _ := benchClient(b, s, k.protocol, k.connections)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			b.ReportAllocs()
			b.ResetTimer()
			before := cpuTime()
			b.RunParallel(func(pb *testing.PB) {
				for n := 0; pb.Next(); n++ {
					if _, err := c.Search(ctx, "a", 0, request(n)); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkCancel ends every second call after 2 ms, while the target takes 4 ms. It
// reports the connections opened for each call that it ends, and the mean time of
// the other calls.
func BenchmarkCancel(b *testing.B) {
	for _, k := range transportCases {
		b.Run(k.name, func(b *testing.B) {
			s := newFakeTarget(b, "a", connectCost)
			s.setSearchHandler(func(w http.ResponseWriter, r *http.Request, req LeafRequest) {
				select {
				case <-time.After(4 * time.Millisecond):
				case <-r.Context().Done():
				}
				answerSearch(w, r, req)
			})
			c, set := benchClient(b, s, k.protocol, k.connections)
			before := openedCount(set)
			b.ResetTimer()
			var completed, completedTime time.Duration
			for n := range b.N {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
				_, _ = c.Search(ctx, "a", 0, request(n))
				cancel()
				start := time.Now()
				if _, err := c.Search(context.Background(), "a", 0, request(n)); err != nil {
					b.Error(err)
				}
				completed++
				completedTime += time.Since(start)
			}
			b.ReportMetric(float64(openedCount(set)-before)/float64(b.N), "conns/cancel")
			b.ReportMetric(float64((completedTime/completed).Microseconds())/1000, "completed-ms")
		})
	}
}

// BenchmarkSilent makes all open connections silent. It reports the time until ten
// consecutive calls succeed, and the calls that failed before. A call is started
// every 10 ms, with a time limit of 100 ms.
func BenchmarkSilent(b *testing.B) {
	for _, k := range transportCases {
		for _, ping := range []time.Duration{0, 500 * time.Millisecond} {
			if k.protocol == HTTP1 && ping != 0 {
				continue
			}
			b.Run(fmt.Sprintf("%s/ping=%s", k.name, ping), func(b *testing.B) {
				var total time.Duration
				failed := 0
				for range b.N {
					took, failures := silentTrial(b, k.protocol, k.connections, ping)
					total += took
					failed += failures
				}
				b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "recovery-ms")
				b.ReportMetric(float64(failed)/float64(b.N), "failed-calls")
			})
		}
	}
}

// silentTrial makes all open connections silent and starts a call every 10 ms, with a time
// limit of 100 ms. It returns the time until ten consecutive calls succeeded, and the
// number of calls that failed before. ping is the client's PingAfter.
func silentTrial(b *testing.B, protocol Protocol, connections int, ping time.Duration) (time.Duration, int) {
	s := newFakeTarget(b, "a", connectCost)
	c := NewClient(Options{Protocol: protocol, Metrics: metrics.NewSet(), PingAfter: ping})
	defer c.Close()
	endpoint := s.endpoint(connections)
	endpoint.ConnectCost = connectCost
	c.Apply([]Endpoint{endpoint})
	waitOpen(c, connections)
	s.forEachConn(silence)
	start := time.Now()
	results := make(chan bool)
	calls, succeeded, failed := 0, 0, 0
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for succeeded < 10 {
		select {
		case <-tick.C:
			calls++
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				_, err := c.Search(ctx, "a", 0, request(0))
				results <- err == nil
			}()
		case ok := <-results:
			calls--
			succeeded++
			if !ok {
				succeeded = 0
				failed++
			}
		}
	}
	took := time.Since(start)
	for ; calls > 0; calls-- {
		<-results
	}
	return took, failed
}

// BenchmarkIdlePings reports the processor time that 150 idle connections cost both
// ends together, as a percentage of one core, for several intervals of HTTP/2 pings.
func BenchmarkIdlePings(b *testing.B) {
	for _, ping := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
		b.Run(fmt.Sprintf("ping=%s", ping), func(b *testing.B) {
			s := newFakeTarget(b, "a", 0)
			c := NewClient(Options{Metrics: metrics.NewSet(), PingAfter: ping, MinPace: time.Microsecond, MaxOpen: 150})
			defer c.Close()
			endpoint := s.endpoint(150)
			endpoint.ConnectCost = 0
			c.Apply([]Endpoint{endpoint})
			waitOpen(c, 150)
			before, start := cpuTime(), time.Now()
			time.Sleep(4 * time.Second)
			b.ReportMetric(100*float64(cpuTime()-before)/float64(time.Since(start)), "core-%")
		})
	}
}
