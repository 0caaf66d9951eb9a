// Package room holds the rules by which VMs know how much work another VM can do now, as opposed
// to its nominal power. A Meter turns readings of this VM into the State that it tells others. A
// Belief is what a VM makes of another one's told states and of its own observations.
//
// The package is pure: the caller passes readings and times in. The types are not safe for
// concurrent use.
package room

import (
	"math"
	"time"
)

// State is what a VM tells others about its room.
type State struct {
	Busy float64       // smoothed processor time used, as a share of the VM's nominal power
	Late time.Duration // smoothed time by which its timers run late
}

// Bounds of a stated State. Larger values count as these.
const (
	maxBusy = 2.0
	maxLate = time.Second
)

// Parameters of the factor by which a VM's nominal power is reduced.
const (
	// freeBusy is the share of nominal power up to which a VM counts as having all of its room.
	freeBusy = 0.6
	// fullFactor is the factor of a VM that uses all of its nominal power. With a lower one,
	// VMs that divide work by it would push the work to and fro.
	fullFactor = 0.6
	// usualLate is the lateness of timers up to which a VM counts as having all of its room.
	// Callers whose aim is 50 ms still get their answer in time. With a shorter one, VMs that
	// are busy but serve all of their calls would push the work to and fro.
	usualLate = 20 * time.Millisecond
	// MinFactor is the smallest factor. A VM with less room still gets some calls, which show
	// whether it has room again.
	MinFactor = 0.1
)

// Factor returns the share of its nominal power that a VM in this state can give to more work,
// from MinFactor to 1.
func (s State) Factor() float64 {
	factor := 1.0
	if busy := min(s.Busy, 1); busy > freeBusy {
		factor = 1 - (1-fullFactor)*(busy-freeBusy)/(1-freeBusy)
	}
	if late := min(s.Late, maxLate); late > usualLate {
		factor *= float64(usualLate) / float64(late)
	}
	return max(factor, MinFactor)
}

// bounded returns the state with values within their bounds.
func (s State) bounded() State {
	if math.IsNaN(s.Busy) {
		s.Busy = 0
	}
	return State{Busy: min(max(s.Busy, 0), maxBusy), Late: min(max(s.Late, 0), maxLate)}
}

// Sample is one reading of a VM.
type Sample struct {
	At   time.Time
	CPU  time.Duration // processor time that the process has used since its start
	Late time.Duration // how late the timer of this reading ran
}

// minPower is the smallest power, in cores, that a VM is assumed to have.
const minPower = 0.01

// smoothing is the time constant with which a Meter follows its readings.
const smoothing = time.Second

// Meter smooths the readings of one VM.
type Meter struct {
	power float64 // nominal power, in cores
	last  Sample  // the latest reading; zero before the first
	known bool    // two readings were taken, so that state is known
	state State
}

// NewMeter returns a meter of a VM with the given nominal power, in cores.
func NewMeter(power float64) *Meter { return &Meter{power: max(power, minPower)} }

// Add takes a reading. Readings with a time that is not after the previous one's are ignored.
func (m *Meter) Add(s Sample) {
	last := m.last
	wall := s.At.Sub(last.At)
	switch {
	case last.At.IsZero():
		m.last = s
		return
	case wall <= 0:
		return
	}
	m.last, m.known = s, true
	busy := max(float64(s.CPU-last.CPU), 0) / (float64(wall) * m.power)
	weight := 1 - math.Exp(-float64(wall)/float64(smoothing))
	m.state.Busy += weight * (min(busy, maxBusy) - m.state.Busy)
	late := min(max(s.Late, 0), maxLate)
	m.state.Late += time.Duration(weight * float64(late-m.state.Late))
}

// State returns the smoothed state and its age. ok is false before the second reading.
func (m *Meter) State(now time.Time) (s State, age time.Duration, ok bool) {
	return m.state, max(now.Sub(m.last.At), 0), m.known
}
