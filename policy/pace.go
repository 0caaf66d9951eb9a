package policy

import "time"

// MedianLatency tracks the recent median latency of attempts and a baseline, the
// median without queues at the targets. The ratio of the two shows queues long before
// attempts reach the time limit, and falls again within about 1 s of an overload's
// end.
type MedianLatency struct {
	recentMedian time.Duration // median latency of recent attempts
	baseline     time.Duration // median latency without queues; 0 while unknown
	samples      int
	updatedAt    time.Time // last call of UpdateBaseline
}

// Parameters of MedianLatency.
const (
	medianStep         = 0.01 // share by which one attempt moves the median
	minMedianSamples   = 50   // with fewer attempts the median is unknown
	nearBaselineFactor = 1.5  // times the baseline: below it hardly any attempt waits
	slowBaselineFactor = 3    // times the baseline: above it about two requests wait for each one that runs

	baselineFallTime = time.Second     // time constant with which the baseline follows a lower median
	baselineRiseTime = 3 * time.Second // time constant with which the baseline follows a higher median
	crowdedRiseTime  = 5 * time.Minute // the same, while queues may be the cause of the higher median
	maxBaselineStep  = time.Second     // longest time that one call of UpdateBaseline accounts for
)

// Add records the latency of an attempt that was answered. Each one moves the median
// by a fixed share of itself, so a straggler counts no more than any other slow
// attempt.
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

// UpdateBaseline moves the baseline towards the recent median. crowded says that this
// VM runs more queries than its share of the slots: attempts are then slow because of
// queues rather than because targets became slower, and the baseline rises very
// slowly. It rises nonetheless: otherwise a VM that is always crowded would limit
// callers permanently after targets did become slower.
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

// Slow reports whether attempts wait in the targets' queues.
func (p *MedianLatency) Slow() bool {
	return p.baseline > 0 && p.recentMedian > slowBaselineFactor*p.baseline
}

// NearBaseline reports whether attempts are about as fast as without queues. Between
// NearBaseline and Slow some attempts wait in queues and some do not.
func (p *MedianLatency) NearBaseline() bool {
	return p.baseline > 0 && float64(p.recentMedian) < nearBaselineFactor*float64(p.baseline)
}

// Recent returns the median latency of recent attempts, or 0 while fewer than
// minMedianSamples were recorded.
func (p *MedianLatency) Recent() time.Duration {
	if p.samples < minMedianSamples {
		return 0
	}
	return p.recentMedian
}
