package target

import (
	"math/rand/v2"
	"time"
)

// pacer determines when the next connection to a target may be opened. A new
// connection costs the target milliseconds, and after a fault all VMs need new
// ones at the same time. Each VM opens one at a time, with pauses, so that new
// connections take a bounded part of the target's time.
type pacer struct {
	notBefore time.Time     // earliest time for the next connection
	pause     time.Duration // mean wait before the next connection after one was opened or closed
	maxPause  time.Duration // upper bound of the mean wait after repeated failures
	failures  int           // failures in a row to open a connection
}

// setLimits sets the pauses for a target that spends connectCost on a new connection: the
// pause after each connection is PaceFactor times connectCost, but at least MinPace.
func (p *pacer) setLimits(connectCost time.Duration, o *Options) {
	pause := time.Duration(float64(connectCost) * o.PaceFactor)
	p.pause = max(pause, o.MinPace)
	p.maxPause = max(o.MaxBackoff, p.pause)
}

// opened records that a connection was opened and warmed up at now.
func (p *pacer) opened(now time.Time) {
	p.failures = 0
	p.notBefore = now.Add(jitter(p.pause))
}

// closed records that a connection was closed at now. The pause before the next
// connection gives the target time to notice the close, so that it never counts the
// old connection together with a new one.
func (p *pacer) closed(now time.Time) {
	if next := now.Add(jitter(p.pause)); next.After(p.notBefore) {
		p.notBefore = next
	}
}

// failed records that no connection could be opened at now. The pause before the next try
// doubles with each failure in a row, up to maxPause.
func (p *pacer) failed(now time.Time) {
	pause := p.pause
	for i := 0; i < p.failures && pause < p.maxPause; i++ {
		pause *= 2
	}
	p.failures++
	p.notBefore = now.Add(jitter(min(pause, p.maxPause)))
}

// jitter returns a random duration from d/2 to 3d/2, so that VMs that start
// together do not stay synchronized.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}
