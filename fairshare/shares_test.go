package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// servedShare returns the share of a tenant's requests whose position is at most cut.
func servedShare(s *Shares, rank int, tenant string, cut float64) float64 {
	const draws = 1000
	n := 0
	for i := range draws {
		if s.Position(start, rank, tenant, (float64(i)+0.5)/draws) <= cut {
			n++
		}
	}
	return float64(n) / draws
}

// Guards against a tenant that sends eight times its usual and takes the room of the others.
func TestFloodIsCutToItsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	for i := range 9 {
		s.Ask(start, 1, fmt.Sprint("tenant-", i), 10)
	}
	s.Ask(start, 1, "flood", 80)
	// Half of 170 is served: nine tenants with 10 each wholly or nearly so.
	g.Expect(servedShare(s, 1, "tenant-3", 0.5)).To(gomega.BeNumerically("~", 0.85, 0.01))
	g.Expect(servedShare(s, 1, "flood", 0.5)).To(gomega.BeNumerically("~", 8.5/80, 0.01))
	// What the others leave, the flood takes.
	g.Expect(servedShare(s, 1, "tenant-3", 0.7)).To(gomega.BeNumerically("==", 1))
	g.Expect(servedShare(s, 1, "flood", 0.7)).To(gomega.BeNumerically("~", 29.0/80, 0.01))
}

// Guards against an order in which a less urgent rank is served more often, or a rank starves:
// whatever is asked and however much of it is served, ranks are served in order, each at least a
// quarter as often as all.
func TestRanksAreServedInOrderAndNoneStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		s := New()
		total := 0.0
		demand := make([]float64, 4)
		for rank := range demand {
			demand[rank] = float64(rapid.IntRange(1, 100).Draw(t, "demand"))
			s.Ask(start, rank, "one", demand[rank])
			total += demand[rank]
		}
		cut := rapid.Float64Range(0.02, 1).Draw(t, "cut")
		shares := make([]float64, len(demand))
		all := 0.0
		for rank := range demand {
			shares[rank] = servedShare(s, rank, "one", cut)
			all += shares[rank] * demand[rank] / total
		}
		for rank, share := range shares {
			g.Expect(share).To(gomega.BeNumerically(">=", all/4-0.002), "rank %d", rank)
			if rank > 0 {
				g.Expect(share).To(gomega.BeNumerically("<=", shares[rank-1]+0.002), "rank %d", rank)
			}
		}
	})
}

// Guards against state that grows with the number of tenants, and against demand that is never
// forgotten.
func TestDemandIsBoundedAndForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	for i := range 2 * maxFlows {
		s.Ask(start, 0, fmt.Sprint(i), 1)
	}
	g.Expect(s.flows).To(gomega.HaveLen(maxFlows))
	later := start.Add(100 * halfLife)
	s.Ask(later, 0, "new", 1)
	g.Expect(s.Position(later.Add(2*orderLifetime), 0, "new", 0.5)).To(gomega.BeNumerically("~", 0.5, 0.001))
	g.Expect(len(s.flows)).To(gomega.BeNumerically("<=", 1))
}

// Guards against equal shares where tenants have paid for unequal ones.
func TestRoomIsSharedByWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetWeights(map[string]float64{"large": 30, "small": 10})
	s.Ask(start, 0, "large", 100)
	s.Ask(start, 0, "small", 100)
	g.Expect(servedShare(s, 0, "large", 0.4)).To(gomega.BeNumerically("~", 0.6, 0.01))
	g.Expect(servedShare(s, 0, "small", 0.4)).To(gomega.BeNumerically("~", 0.2, 0.01))
}

// BenchmarkPosition measures the order of one request among 78 tenants.
func BenchmarkPosition(b *testing.B) {
	s := New()
	for i := range 78 {
		s.Ask(start, i%4, fmt.Sprint("tenant-", i), float64(i))
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Ask(start, 1, "tenant-5", 1)
		s.Position(start, 1, "tenant-5", Draw("0123456789abcdef", start))
	}
}

// BenchmarkOrder measures the order of 10,000 tenants, which is computed twice a second while room
// is short.
func BenchmarkOrder(b *testing.B) {
	s := New()
	for i := range maxFlows {
		s.Ask(start, i%4, fmt.Sprint("tenant-", i), float64(1+i%97))
	}
	b.ReportAllocs()
	for b.Loop() {
		s.order(start, 1)
	}
}

// Guards against an overload that goes on after its cause is gone, and against one that is answered
// by refusing everything or nothing.
func TestLevelFollowsPressure(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start
	var l Level
	play := func(pressure float64, length time.Duration) {
		for range length / (10 * time.Millisecond) {
			now = now.Add(10 * time.Millisecond)
			l.Admits(now, pressure, 0.5)
		}
	}
	g.Expect(l.Admits(now, TargetPressure, 1)).To(gomega.BeTrue())
	play(1, 4*time.Second)
	g.Expect(l.Admits(now, TargetPressure, 0.9)).To(gomega.BeFalse())
	g.Expect(l.Admits(now, TargetPressure, 0.2)).To(gomega.BeTrue())
	g.Expect(l.Admits(now, 0, 1)).To(gomega.BeTrue())
	play(2, time.Minute)
	g.Expect(l.Admits(now, 1, minLevel)).To(gomega.BeTrue())
	play(0, 15*time.Second)
	g.Expect(l.Admits(now, TargetPressure, 0.99)).To(gomega.BeTrue())
}
