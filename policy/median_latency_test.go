package policy

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// addSamples records n attempts with latency d, spread over windowMS milliseconds from
// startMS on. It updates the baseline after each attempt, as the end of a query does.
// crowded says that this VM runs more queries than its share of the targets' slots.
func addSamples(m *MedianLatency, startMS, n int, windowMS int, d time.Duration, crowded bool) {
	for i := range n {
		m.Add(d)
		m.UpdateBaseline(at(startMS+i*windowMS/n), crowded)
	}
}

// Guards against callers that are refused long after an overload has ended, although
// slots are free. This happens if the latency of attempts is taken over the last 20 s:
// each successful query then counts as another sign of overload.
func TestPressureEndsSoonAfterOverload(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 1, 1)
	limit := 200 * time.Millisecond
	run := func(ms, n int, took time.Duration) {
		for i := range n {
			now := at(ms + i*10)
			f.table.EndAttempt(ReplicaID{Target: targetName(0, 0)}, AttemptEnd{Answered: true, Took: took}, now)
			f.table.Median.UpdateBaseline(now, took > 50*time.Millisecond)
		}
	}
	run(0, 500, 5*time.Millisecond)
	g.Expect(f.table.Pressure(&Outcome{Sent: 1}, limit)).To(Equal(NoPressure))
	run(5000, 1000, 60*time.Millisecond)
	g.Expect(f.table.Pressure(&Outcome{Sent: 1}, limit)).To(Equal(TargetsQueueing))
	run(15000, 300, 5*time.Millisecond)
	g.Expect(f.table.Pressure(&Outcome{Sent: 1}, limit)).To(Equal(NoPressure))
}

// Guards against callers with a long time limit that wait most of it under overload.
// This happens if queues at the targets count as overload only once attempts take a
// quarter of the time limit.
func TestQueueingIsDetectedWithLongTimeLimit(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 1, 1)
	addSamples(&f.table.Median, 0, 500, 5000, 10*time.Millisecond, false)
	addSamples(&f.table.Median, 5000, 500, 2000, 40*time.Millisecond, true)
	g.Expect(f.table.Pressure(&Outcome{Sent: 1}, 10*time.Second)).To(Equal(TargetsQueueing))
}

// Guards against callers that are limited as under overload although targets became
// permanently slower, for instance with a new index. The baseline of a VM that runs few
// queries follows within seconds. That of a crowded VM, whose own queries may be the
// cause, follows within minutes.
func TestBaselineFollowsSlowerTargets(t *testing.T) {
	g := NewWithT(t)
	for _, crowded := range []bool{false, true} {
		var m MedianLatency
		addSamples(&m, 0, 500, 5000, 10*time.Millisecond, crowded)
		addSamples(&m, 5000, 500, 100, 40*time.Millisecond, crowded)
		g.Expect(m.Slow()).To(BeTrue())
		seconds := 10
		if crowded {
			g.Expect(m.baseline).To(BeNumerically("<", 11*time.Millisecond), "queues count as slower targets")
			seconds = 300
		}
		addSamples(&m, 6000, seconds*50, seconds*1000, 40*time.Millisecond, crowded)
		g.Expect(m.Slow()).To(BeFalse())
	}
}

// TestMedianLatencyInvariants adds random latencies. The median and the baseline stay
// within their range, and one attempt changes the median by a bounded share.
func TestMedianLatencyInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m MedianLatency
		ms := 0
		shortest, longest := time.Hour, time.Duration(0)
		for range 300 {
			d := time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
			shortest, longest = min(shortest, d), max(longest, d)
			before := m.recentMedian
			m.Add(d)
			if before > 0 && (m.recentMedian-before).Abs().Seconds() > 1.01*medianStepShare*before.Seconds() {
				t.Fatalf("one attempt moved the median from %v to %v", before, m.recentMedian)
			}
			ms += rapid.IntRange(0, 2000).Draw(t, "pause")
			m.UpdateBaseline(at(ms), rapid.Bool().Draw(t, "crowded"))
			for _, value := range []time.Duration{m.recentMedian, m.baseline} {
				if value > 0 && (value.Seconds() < (1-medianStepShare)*shortest.Seconds() || value.Seconds() > (1+medianStepShare)*longest.Seconds()) {
					t.Fatalf("median or baseline is %v, for attempts between %v and %v", value, shortest, longest)
				}
			}
		}
	})
}
