package target

import (
	"math/rand/v2"
	"time"
)

// pacer decides when the next connection to a target may be opened. A new
// connection costs the target milliseconds, and after a fault all VMs want new
// ones at once: one at a time and with pauses, VM by VM, they take a bounded
// part of the target's time.
type pacer struct {
	notBefore time.Time // no connection is opened before
	pause     time.Duration
	maxPause  time.Duration
	failures  int // in a row
}

func (p *pacer) setLimits(connectCost time.Duration, o *Options) {
	pause := time.Duration(float64(connectCost) * o.PaceFactor)
	p.pause = max(pause, o.MinPace)
	p.maxPause = max(o.MaxBackoff, p.pause)
}

// opened notes a connection that was opened and warmed up at now.
func (p *pacer) opened(now time.Time) {
	p.failures = 0
	p.notBefore = now.Add(jitter(p.pause))
}

// closed notes a connection that was closed at now. The pause gives the target
// time to notice, so that it never counts the old and the new one at once.
func (p *pacer) closed(now time.Time) {
	if next := now.Add(jitter(p.pause)); next.After(p.notBefore) {
		p.notBefore = next
	}
}

// failed notes that no connection could be opened at now.
func (p *pacer) failed(now time.Time) {
	pause := p.pause
	for i := 0; i < p.failures && pause < p.maxPause; i++ {
		pause *= 2
	}
	p.failures++
	p.notBefore = now.Add(jitter(min(pause, p.maxPause)))
}

// jitter spreads d over d/2 to 3d/2, so that VMs that start together drift
// apart.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}
