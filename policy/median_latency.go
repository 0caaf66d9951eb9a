package policy

import "time"

// MedianLatency tracks the recent median latency of attempts and a baseline, the
// median without queues at the targets. The ratio of the two shows queues long before
// attempts reach the time limit, and falls again within about 1 s of an overload's
// end.
type MedianLatency struct {
	recentMedian time.Duration // median latency of recent attempts
	baseline     time.Duration // median latency without queues; 0 while unknown
	samples      int           // attempts recorded
	updatedAt    time.Time     // last call of UpdateBaseline
}

// Parameters of MedianLatency.
const (
	medianStepShare    = 0.01 // share of the median latency by which one attempt moves the median
	minMedianSamples   = 50   // number of recorded attempts below which the median latency is unknown
	nearBaselineFactor = 1.5  // multiple of the baseline (the median latency without queues); with a median below it hardly any attempt waits in a queue
	slowBaselineFactor = 3    // multiple of the baseline (the median latency without queues); with a median above it about two requests wait for each one that runs

	baselineFallTime        = time.Second     // time constant with which the baseline follows a lower median
	baselineRiseTime        = 3 * time.Second // time constant with which the baseline follows a higher median
	crowdedBaselineRiseTime = 5 * time.Minute // replaces baselineRiseTime while this VM runs more queries than its share of the slots, so that queues may be the cause of the higher median
	maxBaselineInterval     = time.Second     // longest time that one call of UpdateBaseline accounts for
)

// Add records the latency of an attempt that was answered. Each attempt moves the median
// towards its latency by a fixed share of the median, so a straggler counts as much as
// any other slow attempt.
func (m *MedianLatency) Add(d time.Duration) {
	m.samples++
	switch {
	case m.recentMedian == 0:
		m.recentMedian = max(d, time.Microsecond)
	case d > m.recentMedian:
		m.recentMedian += time.Duration(medianStepShare * float64(m.recentMedian))
	case d < m.recentMedian:
		m.recentMedian -= time.Duration(medianStepShare * float64(m.recentMedian))
	}
}

// UpdateBaseline moves the baseline towards the recent median. crowded says that this
// VM runs more queries than its share of the slots: attempts are then slow because of
// queues rather than because targets became slower, and the baseline rises very
// slowly. It still has to rise: otherwise a VM that is always crowded would limit
// callers permanently after targets did become slower.
func (m *MedianLatency) UpdateBaseline(now time.Time, crowded bool) {
	elapsed := min(now.Sub(m.updatedAt), maxBaselineInterval)
	m.updatedAt = now
	if m.samples < minMedianSamples {
		return
	}
	if m.baseline == 0 {
		m.baseline = m.recentMedian
		return
	}
	timeConstant := baselineFallTime
	if m.recentMedian > m.baseline {
		timeConstant = baselineRiseTime
		if crowded {
			timeConstant = crowdedBaselineRiseTime
		}
	}
	// The difference to the recent median shrinks by the share elapsed / timeConstant.
	m.baseline += time.Duration(float64(m.recentMedian-m.baseline) * elapsed.Seconds() / timeConstant.Seconds())
}

// Slow reports whether attempts wait in the targets' queues. It returns false while the
// baseline is unknown.
func (m *MedianLatency) Slow() bool {
	return m.baseline > 0 && m.recentMedian > slowBaselineFactor*m.baseline
}

// NearBaseline reports whether attempts are about as fast as without queues. It returns
// false while the baseline is unknown. If both NearBaseline and Slow return false, some
// attempts wait in queues and some do not.
func (m *MedianLatency) NearBaseline() bool {
	return m.baseline > 0 && float64(m.recentMedian) < nearBaselineFactor*float64(m.baseline)
}

// Recent returns the median latency of recent attempts, or 0 while fewer than
// minMedianSamples were recorded.
func (m *MedianLatency) Recent() time.Duration {
	if m.samples < minMedianSamples {
		return 0
	}
	return m.recentMedian
}
