package room

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

const interval = 200 * time.Millisecond // between two readings

// measured returns the state of a VM of half a core after it has used the given processor time in
// each of n intervals, and its timers ran late by late.
func measured(n int, used, late time.Duration) State {
	m := NewMeter(0.5)
	for i := range n + 1 {
		m.Add(Sample{At: start.Add(time.Duration(i) * interval), CPU: time.Duration(i) * used, Late: late})
	}
	s, _, _ := m.State(start)
	return s
}

// Guards against a VM that is slowed and states all of its room: it uses less processor time than
// before, since it gets less. Its timers run late.
func TestSlowedVMStatesLittleRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(measured(20, 40*time.Millisecond, time.Millisecond).Factor()).To(gomega.Equal(1.0))
	g.Expect(measured(20, 100*time.Millisecond, time.Millisecond).Factor()).To(gomega.BeNumerically("~", fullFactor, 0.02))
	g.Expect(measured(20, 8*time.Millisecond, 100*time.Millisecond).Factor()).To(gomega.BeNumerically("<", 0.25))
}

// Guards against one late timer, as after a pause for collecting garbage, that takes a VM's callers
// away, and against a process that was frozen for seconds and then states the room of before.
func TestMeterSmoothsReadings(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMeter(0.5)
	_, _, ok := m.State(start)
	g.Expect(ok).To(gomega.BeFalse())
	m.Add(Sample{At: start})
	m.Add(Sample{At: start.Add(interval)})
	m.Add(Sample{At: start.Add(2 * interval), Late: 50 * time.Millisecond})
	s, age, ok := m.State(start.Add(3 * interval))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(age).To(gomega.Equal(interval))
	g.Expect(s.Factor()).To(gomega.BeNumerically(">", 0.9))
	m.Add(Sample{At: start.Add(6 * time.Second), Late: 5 * time.Second})
	m.Add(Sample{At: start, Late: 0}) // not after the previous one
	s, _, _ = m.State(start)
	g.Expect(s.Factor()).To(gomega.Equal(MinFactor))
}

// Guards against a slowed VM that states all of its room, or nothing: those that call it find it
// after at most three calls.
func TestObservationOutweighsFalseStatement(t *testing.T) {
	g := gomega.NewWithT(t)
	var b Belief
	now := start
	for range 3 {
		b.Tell(now, State{}, 0)
		b.Observe(now, 60*time.Millisecond, 10*time.Millisecond)
		now = now.Add(500 * time.Millisecond)
	}
	g.Expect(b.Factor(now)).To(gomega.BeNumerically("<", 0.4))
	for range 20 {
		b.Tell(now, State{}, 0)
		b.Observe(now, 10*time.Millisecond, 10*time.Millisecond)
		now = now.Add(500 * time.Millisecond)
	}
	g.Expect(b.Factor(now)).To(gomega.BeNumerically(">", 0.95))
}

// Guards against a VM that is left alone for good after it was slow once: what is believed of it
// returns to nominal by itself, and is forgotten.
func TestBeliefAges(t *testing.T) {
	g := gomega.NewWithT(t)
	var b Belief
	b.Tell(start, State{Late: maxLate}, 0)
	b.Observe(start, time.Second, time.Millisecond)
	g.Expect(b.Factor(start)).To(gomega.Equal(MinFactor))
	g.Expect(b.Factor(start.Add(6 * halfLife))).To(gomega.BeNumerically(">", 0.85))
	g.Expect(b.Expired(start.Add(forgetAfter))).To(gomega.BeFalse())
	g.Expect(b.Expired(start.Add(forgetAfter + 1))).To(gomega.BeTrue())
}

// Guards against a statement whose values or age are out of all bounds, as of a VM with a wrong
// clock, which would be believed for hours.
func TestWrongStatementsAreBounded(t *testing.T) {
	for _, age := range []time.Duration{-time.Hour, 0, 1000 * time.Hour} {
		for _, s := range []State{{Busy: -1e9, Late: -time.Hour}, {Busy: 1e9, Late: 1000 * time.Hour}} {
			g := gomega.NewWithT(t)
			var b Belief
			b.Tell(start, s, age)
			g.Expect(b.Factor(start)).To(gomega.And(gomega.BeNumerically(">=", MinFactor), gomega.BeNumerically("<=", 1)))
			g.Expect(b.Factor(start.Add(forgetAfter))).To(gomega.BeNumerically(">", 0.99))
		}
	}
}

// Guards against all callers coming back at once to a VM that says that it is idle again.
func TestRiseIsBelievedInSteps(t *testing.T) {
	g := gomega.NewWithT(t)
	var b Belief
	g.Expect(b.Tell(start, State{Busy: 1, Late: 50 * time.Millisecond}, 0)).To(gomega.BeFalse())
	low := b.Factor(start)
	g.Expect(b.Tell(start, State{}, 0)).To(gomega.BeTrue())
	g.Expect(b.Factor(start)).To(gomega.BeNumerically("~", (1+low)/2, 0.01))
}

// Guards against a comparison with the times of one or two VMs, before enough is known.
func TestUsualTimeNeedsSeveralTimes(t *testing.T) {
	g := gomega.NewWithT(t)
	var u Usual
	for i := range minTimes - 1 {
		u.Add(time.Duration(i) * time.Millisecond)
	}
	_, ok := u.Median()
	g.Expect(ok).To(gomega.BeFalse())
	for range 2 * recentTimes {
		u.Add(7 * time.Millisecond)
	}
	d, ok := u.Median()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(d).To(gomega.Equal(7 * time.Millisecond))
}

// Guards against requests that are handed over and served by turns, by a VM whose room is near the
// threshold, and against one that is handed to a VM with hardly more room.
func TestShortageHasHysteresis(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Shortage
	g.Expect(s.Update(shortUntil - 0.01)).To(gomega.BeFalse())
	g.Expect(s.Update(shortBelow - 0.01)).To(gomega.BeTrue())
	g.Expect(s.Update(shortUntil - 0.01)).To(gomega.BeTrue())
	g.Expect(s.Update(shortUntil)).To(gomega.BeFalse())
	g.Expect(MayTake(1, 0.134, 0.1)).To(gomega.BeFalse())
	g.Expect(MayTake(TakerFactor-0.01, 0.8, 0.1)).To(gomega.BeFalse())
	g.Expect(MayTake(1, 0.8, 0.1)).To(gomega.BeTrue())
}
