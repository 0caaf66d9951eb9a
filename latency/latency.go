// Package latency records recent latencies and returns their quantiles.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowCount        = 4               // windows of samples that a Recorder keeps, the current one included
	windowLength       = 5 * time.Second // time for which samples are added to one window
	maxLatency         = time.Minute     // longer latencies are recorded as maxLatency
	significantFigures = 2               // precision of recorded latencies, in decimal digits
	minSamples         = 50              // least samples for a quantile; with fewer it is meaningless
)

// Recorder estimates quantiles of recent latencies. A sample is dropped at most
// windowCount*windowLength after it was recorded, together with its window. The quantiles
// therefore follow a change of the targets' speed within seconds. A Recorder is not safe for
// concurrent use.
type Recorder struct {
	hist        *hdrhistogram.WindowedHistogram // of latencies in microseconds
	windowStart time.Time                       // start of the current window; zero before the first call of rotate
	merged      *hdrhistogram.Histogram         // sum of all windows; nil before the first merge
	stale       bool                            // merged has samples of a window that was dropped since
	mergedAt    time.Time                       // time of the last merge
	samples     int64                           // number of samples in merged at that time
	quantiles   []quantile                      // quantiles of merged that were asked for
}

// quantile is one computed quantile.
type quantile struct {
	q     float64 // from 0 to 1
	value time.Duration
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{
		hist: hdrhistogram.NewWindowed(windowCount, 1, maxLatency.Microseconds(), significantFigures),
	}
}

// Add records the latency d. Now is the current time, which Recorder does not read itself.
func (r *Recorder) Add(now time.Time, d time.Duration) {
	r.rotate(now)
	us := min(max(d.Microseconds(), 1), maxLatency.Microseconds())
	// The value is within the histogram's bounds, so recording can't fail.
	_ = r.hist.Current.RecordValue(us)
	if r.merged != nil && !r.stale {
		_ = r.merged.RecordValue(us)
	}
}

// Quantile returns the q-quantile of the latencies, 0 <= q <= 1. The value may be up to
// mergeInterval old. The second result is false if there are fewer than minSamples samples.
func (r *Recorder) Quantile(now time.Time, q float64) (time.Duration, bool) {
	r.rotate(now)
	r.merge(now)
	if r.samples < minSamples {
		return 0, false
	}
	for _, known := range r.quantiles {
		if known.q == q {
			return known.value, true
		}
	}
	d := r.compute(q)
	r.quantiles = append(r.quantiles, quantile{q: q, value: d})
	return d, true
}

// compute returns the q-quantile of merged.
func (r *Recorder) compute(q float64) time.Duration {
	return time.Duration(r.merged.ValueAtQuantile(q*100)) * time.Microsecond
}

// mergeInterval is the least time between two merges of a Recorder's windows: quantiles cost
// far too much to be computed for each shard of a query. It is short compared with a window. Until
// there are enough samples, merges are more frequent.
const (
	mergeInterval      = time.Second
	firstMergeInterval = 100 * time.Millisecond
)

// merge updates merged and the quantiles, at most once per mergeInterval. The windows are summed only
// after one of them was dropped, as that costs too much for each query of a VM that gets one a second:
// Add keeps the sum up to date.
func (r *Recorder) merge(now time.Time) {
	interval := firstMergeInterval
	if r.samples >= minSamples {
		interval = mergeInterval
	}
	if r.merged != nil && now.Sub(r.mergedAt) < interval {
		return
	}
	if r.merged == nil || r.stale {
		r.merged, r.stale = r.hist.Merge(), false
	}
	r.mergedAt = now
	r.samples = r.merged.TotalCount()
	if r.samples < minSamples {
		r.quantiles = r.quantiles[:0]
	}
	for i := range r.quantiles {
		r.quantiles[i].value = r.compute(r.quantiles[i].q)
	}
}

// rotate starts a new window for each windowLength that has passed since the current one
// started, and drops the oldest windows.
func (r *Recorder) rotate(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	if now.Sub(r.windowStart) < windowLength {
		return
	}
	for n := 0; n < windowCount && now.Sub(r.windowStart) >= windowLength; n++ {
		r.hist.Rotate()
		r.stale = true
		r.windowStart = r.windowStart.Add(windowLength)
	}
	if now.Sub(r.windowStart) >= windowLength {
		r.windowStart = now
	}
}
