package policy

import "time"

// MedianLatency follows how long attempts take: lately, and when targets are at ease.
// Their ratio tells of targets' queues long before the time limit does, and it
// forgets an overload within a second or so of its end.
type MedianLatency struct {
	recentMedian time.Duration // median of the latest attempts
	baseline     time.Duration // the same, without queues
	samples      int
	updatedAt    time.Time // last call of Learn
}

// Parameters of a Pace.
const (
	medianStep         = 0.01 // by which one attempt moves the median
	minMedianSamples   = 50   // fewer say nothing
	nearBaselineFactor = 1.5  // times the pace at ease: below it hardly any attempt waits
	slowBaselineFactor = 3    // times the pace at ease: some two requests wait for each one that runs

	baselineFallTime = time.Second     // time in which ease follows a faster pace
	baselineRiseTime = 3 * time.Second // ... a slower one
	crowdedRiseTime  = 5 * time.Minute // ... a slower one while queues may be the cause
	maxBaselineStep  = time.Second     // longest time that one Learn stands for
)

// Add takes the duration of an attempt that answered. The median moves by a
// fixed share towards each of them, so a straggler counts as much as any other
// slow one.
func (p *MedianLatency) Add(d time.Duration) {
	p.samples++
	switch {
	case p.recentMedian == 0:
		p.recentMedian = max(d, time.Microsecond)
	case d > p.recentMedian:
		p.recentMedian += time.Duration(medianStep * float64(p.recentMedian))
	case d < p.recentMedian:
		p.recentMedian -= time.Duration(medianStep * float64(p.recentMedian))
	}
}

// UpdateBaseline moves the pace at ease towards the recent one. If this VM is crowded,
// attempts are slow because of queues rather than because targets have become
// slower, and ease rises very slowly. It rises nonetheless: else a VM that is
// always crowded would hold callers back for good once targets did become slower.
func (p *MedianLatency) UpdateBaseline(now time.Time, crowded bool) {
	passed := min(now.Sub(p.updatedAt), maxBaselineStep)
	p.updatedAt = now
	if p.samples < minMedianSamples {
		return
	}
	if p.baseline == 0 {
		p.baseline = p.recentMedian
		return
	}
	follows := baselineFallTime
	if p.recentMedian > p.baseline {
		follows = baselineRiseTime
		if crowded {
			follows = crowdedRiseTime
		}
	}
	p.baseline += time.Duration(float64(p.recentMedian-p.baseline) * passed.Seconds() / follows.Seconds())
}

// Slow reports whether attempts wait in targets' queues.
func (p *MedianLatency) Slow() bool {
	return p.baseline > 0 && p.recentMedian > slowBaselineFactor*p.baseline
}

// NearBaseline reports whether attempts are about as quick as without queues. Between
// this and Slow some attempts wait and some do not.
func (p *MedianLatency) NearBaseline() bool {
	return p.baseline > 0 && float64(p.recentMedian) < nearBaselineFactor*float64(p.baseline)
}

// Recent returns the median of the latest attempts, 0 while too few are known.
func (p *MedianLatency) Recent() time.Duration {
	if p.samples < minMedianSamples {
		return 0
	}
	return p.recentMedian
}
