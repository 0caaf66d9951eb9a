package room

import (
	"math"
	"time"
)

// Parameters of a Belief.
const (
	// halfLife is the half-life with which a belief returns to nominal while nothing new is
	// heard of the VM.
	halfLife = 3 * time.Second
	// forgetAfter is the time after which a belief equals nominal, so that it can be dropped.
	forgetAfter = 10 * halfLife
	// maxToldAge bounds the age that a VM may state of its reading.
	maxToldAge = time.Minute
	// riseWeight is the weight of a told factor that is higher than the believed one. A lower
	// one is believed at once.
	riseWeight = 0.5
	// observedWeight is the weight of one observed excess in the smoothed one.
	observedWeight = 0.5
	// maxExcess is the largest excess that one observation counts as.
	maxExcess = 10.0
	// noise is added to observed and usual times before they are compared. Shorter differences
	// say nothing about a VM.
	noise = 5 * time.Millisecond
)

// Belief is what one VM believes of the room of another. The zero value is nominal.
type Belief struct {
	told       float64   // believed factor of the told states; 0 if none was told
	toldAt     time.Time // when the latest told state was read by the VM that told it
	excess     float64   // smoothed duration of its answers as a multiple of the usual; 0 if none was observed
	observedAt time.Time // when the latest answer was observed
}

// Tell records a state that the VM has told, and the age that it states of its reading. It reports
// whether the state was believed only in part: it claims more room than was believed before.
func (b *Belief) Tell(now time.Time, s State, age time.Duration) (damped bool) {
	factor := s.bounded().Factor()
	believed := b.toldFactor(now)
	if factor > believed {
		damped = true
		factor = believed + riseWeight*(factor-believed)
	}
	b.told = factor
	b.toldAt = now.Add(-min(max(age, 0), maxToldAge))
	return damped
}

// Observe records how long the VM took for an answer, and how long such an answer usually takes
// from all VMs.
func (b *Belief) Observe(now time.Time, took, usual time.Duration) {
	ratio := float64(took+noise) / float64(max(usual, 0)+noise)
	excess := b.observedExcess(now)
	b.excess = excess + observedWeight*(min(max(ratio, 1), maxExcess)-excess)
	b.observedAt = now
}

// Factor returns the share of its nominal power that the VM is believed to have for more work, from
// MinFactor to 1: the lower of what it has told and what was observed.
func (b *Belief) Factor(now time.Time) float64 {
	return max(min(b.toldFactor(now), 1/b.observedExcess(now)), MinFactor)
}

// Told returns the share of its nominal power that the VM has told to have for more work, as far as
// it is still believed. It is 1 if nothing was told.
func (b *Belief) Told(now time.Time) float64 { return b.toldFactor(now) }

// Expired reports whether nothing was heard of the VM for so long that the belief can be dropped.
func (b *Belief) Expired(now time.Time) bool {
	return now.Sub(b.toldAt) > forgetAfter && now.Sub(b.observedAt) > forgetAfter
}

// toldFactor returns the told factor, which returns to 1 as it ages.
func (b *Belief) toldFactor(now time.Time) float64 {
	if b.told == 0 {
		return 1
	}
	return aged(b.told, now.Sub(b.toldAt))
}

// observedExcess returns the smoothed excess, which returns to 1 as it ages.
func (b *Belief) observedExcess(now time.Time) float64 {
	if b.excess == 0 {
		return 1
	}
	return aged(b.excess, now.Sub(b.observedAt))
}

// aged returns a value that returns to 1 with halfLife.
func aged(value float64, age time.Duration) float64 {
	return 1 + math.Exp2(-float64(max(age, 0))/float64(halfLife))*(value-1)
}
