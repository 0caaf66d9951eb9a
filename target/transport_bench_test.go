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

// The benchmarks behind docs/design/target-transport.md. Both ends run in this
// process.

// transportCases are the ways to reach a target whose 25 connections seven VMs
// share.
var transportCases = []struct {
	name        string
	protocol    Protocol
	connections int
}{
	{"HTTP1/conns=3", HTTP1, 3},
	{"HTTP2/conns=1", HTTP2, 1},
	{"HTTP2/conns=3", HTTP2, 3},
}

const connectCost = 6 * time.Millisecond

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchClient returns a client whose share is open.
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

// waitOpen waits until the connections to target "a" are open and warm.
func waitOpen(c *Client, connections int) {
	p := c.pool("a")
	for open := 0; open < connections; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		open = len(p.conns)
		p.mu.Unlock()
	}
}

func openedCount(set *metrics.Set) uint64 {
	return set.GetOrCreateCounter("bramley_target_connections_opened_total").Get()
}

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

// BenchmarkCancel gives up every second call after 2 ms, while a leaf takes
// 4 ms, and shows what that costs in connections and in the wait of the others.
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
			var kept, keptTime time.Duration
			for n := range b.N {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
				_, _ = c.Search(ctx, "a", 0, request(n))
				cancel()
				start := time.Now()
				if _, err := c.Search(context.Background(), "a", 0, request(n)); err != nil {
					b.Error(err)
				}
				kept++
				keptTime += time.Since(start)
			}
			b.ReportMetric(float64(openedCount(set)-before)/float64(b.N), "conns/cancel")
			b.ReportMetric(float64((keptTime/kept).Microseconds())/1000, "kept-ms")
		})
	}
}

// BenchmarkSilent silences all open connections and measures the time until
// ten calls in a row succeed, one each 10 ms with a time limit of 100 ms.
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
					took, lost := silentTrial(b, k.protocol, k.connections, ping)
					total += took
					failed += lost
				}
				b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "whole-again-ms")
				b.ReportMetric(float64(failed)/float64(b.N), "failed-calls")
			})
		}
	}
}

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
	calls, good, lost := 0, 0, 0
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for good < 10 {
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
			good++
			if !ok {
				good = 0
				lost++
			}
		}
	}
	took := time.Since(start)
	for ; calls > 0; calls-- {
		<-results
	}
	return took, lost
}

// BenchmarkIdlePings shows the processor time that 150 idle connections cost
// both ends together, as a share of one core.
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
