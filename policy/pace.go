package policy

import "time"

// Pace follows how long attempts take: lately, and when targets are at ease.
// Their ratio tells of targets' queues long before the time limit does, and it
// forgets an overload within a second or so of its end.
type Pace struct {
	recent  time.Duration // median of the latest attempts
	ease    time.Duration // the same, without queues
	samples int
	learned time.Time // last call of Learn
}

// Parameters of a Pace.
const (
	paceStep    = 0.01 // by which one attempt moves the median
	paceSamples = 50   // fewer say nothing
	easeFactor  = 1.5  // times the pace at ease: below it hardly any attempt waits
	slowFactor  = 3    // times the pace at ease: some two requests wait for each one that runs

	easeFalls   = time.Second     // time in which ease follows a faster pace
	easeRises   = 3 * time.Second // ... a slower one
	easeCrowded = 5 * time.Minute // ... a slower one while queues may be the cause
	easeStep    = time.Second     // longest time that one Learn stands for
)

// Add takes the duration of an attempt that answered. The median moves by a
// fixed share towards each of them, so a straggler counts as much as any other
// slow one.
func (p *Pace) Add(d time.Duration) {
	p.samples++
	switch {
	case p.recent == 0:
		p.recent = max(d, time.Microsecond)
	case d > p.recent:
		p.recent += time.Duration(paceStep * float64(p.recent))
	case d < p.recent:
		p.recent -= time.Duration(paceStep * float64(p.recent))
	}
}

// Learn moves the pace at ease towards the recent one. If this VM is crowded,
// attempts are slow because of queues rather than because targets have become
// slower, and ease rises very slowly. It rises nonetheless: else a VM that is
// always crowded would hold callers back for good once targets did become slower.
func (p *Pace) Learn(now time.Time, crowded bool) {
	passed := min(now.Sub(p.learned), easeStep)
	p.learned = now
	if p.samples < paceSamples {
		return
	}
	if p.ease == 0 {
		p.ease = p.recent
		return
	}
	follows := easeFalls
	if p.recent > p.ease {
		follows = easeRises
		if crowded {
			follows = easeCrowded
		}
	}
	p.ease += time.Duration(float64(p.recent-p.ease) * passed.Seconds() / follows.Seconds())
}

// Slow reports whether attempts wait in targets' queues.
func (p *Pace) Slow() bool { return p.ease > 0 && p.recent > slowFactor*p.ease }

// AtEase reports whether attempts are about as quick as without queues. Between
// this and Slow some attempts wait and some do not.
func (p *Pace) AtEase() bool {
	return p.ease > 0 && float64(p.recent) < easeFactor*float64(p.ease)
}

// Recent returns the median of the latest attempts, 0 while too few are known.
func (p *Pace) Recent() time.Duration {
	if p.samples < paceSamples {
		return 0
	}
	return p.recent
}
