package policy

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// feed ends n attempts of duration d within a time of ms, from the given one on,
// and learns the pace as queries do.
func feed(p *Pace, ms, n int, within int, d time.Duration, crowded bool) {
	for i := range n {
		p.Add(d)
		p.Learn(at(ms+i*within/n), crowded)
	}
}

// Callers are still refused long after an overload has ended, although slots are
// free: the speed of attempts was judged by the last 20 s, and each query that
// ended well was taken for one more sign of overload.
func TestOverloadIsForgotten(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 1, 1)
	limit := 200 * time.Millisecond
	run := func(ms, n int, took time.Duration) {
		for i := range n {
			now := at(ms + i*10)
			f.table.End(ReplicaID{Target: targetName(0, 0)}, AttemptEnd{Answered: true, Took: took}, now)
			f.table.Pace.Learn(now, took > 50*time.Millisecond)
		}
	}
	run(0, 500, 5*time.Millisecond)
	g.Expect(f.table.Pressure(&Outcome{Sent: 1}, limit)).To(Equal(NoPressure))
	run(5000, 1000, 60*time.Millisecond)
	g.Expect(f.table.Pressure(&Outcome{Sent: 1}, limit)).To(Equal(Queueing))
	run(15000, 300, 5*time.Millisecond)
	g.Expect(f.table.Pressure(&Outcome{Sent: 1}, limit)).To(Equal(NoPressure))
}

// Callers with a long time limit wait most of it under overload: queues at the
// targets count as no sign until attempts take a quarter of the time limit.
func TestQueuesShowBeforeTheTimeLimitIsNear(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 1, 1)
	feed(&f.table.Pace, 0, 500, 5000, 10*time.Millisecond, false)
	feed(&f.table.Pace, 5000, 500, 2000, 40*time.Millisecond, true)
	g.Expect(f.table.Pressure(&Outcome{Sent: 1}, 10*time.Second)).To(Equal(Queueing))
}

// Targets have become slower for good, with a new index, and callers are held
// back as if they were overloaded. A VM that runs few queries learns it in seconds,
// a crowded one, whose own queries may be the cause, in minutes.
func TestSlowerTargetsAreLearned(t *testing.T) {
	g := NewWithT(t)
	for _, crowded := range []bool{false, true} {
		var p Pace
		feed(&p, 0, 500, 5000, 10*time.Millisecond, crowded)
		feed(&p, 5000, 500, 100, 40*time.Millisecond, crowded)
		g.Expect(p.Slow()).To(BeTrue())
		seconds := 10
		if crowded {
			g.Expect(p.ease).To(BeNumerically("<", 11*time.Millisecond), "queues pass for slow targets")
			seconds = 300
		}
		feed(&p, 6000, seconds*50, seconds*1000, 40*time.Millisecond, crowded)
		g.Expect(p.Slow()).To(BeFalse())
	}
}

// TestPaceInvariants feeds random durations: both paces stay among them, and
// what one attempt can change is bounded.
func TestPaceInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pace
		ms := 0
		least, most := time.Hour, time.Duration(0)
		for range 300 {
			d := time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
			least, most = min(least, d), max(most, d)
			before := p.recent
			p.Add(d)
			if before > 0 && (p.recent-before).Abs().Seconds() > 1.01*paceStep*before.Seconds() {
				t.Fatalf("one attempt moved the pace from %v to %v", before, p.recent)
			}
			ms += rapid.IntRange(0, 2000).Draw(t, "pause")
			p.Learn(at(ms), rapid.Bool().Draw(t, "crowded"))
			for _, pace := range []time.Duration{p.recent, p.ease} {
				if pace > 0 && (pace.Seconds() < (1-paceStep)*least.Seconds() || pace.Seconds() > (1+paceStep)*most.Seconds()) {
					t.Fatalf("pace %v of attempts between %v and %v", pace, least, most)
				}
			}
		}
	})
}
