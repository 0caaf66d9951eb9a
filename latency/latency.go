// Package latency records recent latencies and returns their quantiles.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowCount        = 4               // windows of samples that a Recorder keeps, the current one included
	windowLength       = 5 * time.Second // length of each window of samples
	maxLatency         = time.Minute     // longer latencies are recorded as this
	significantFigures = 2               // precision of recorded latencies, in decimal digits
	minSamples         = 50              // number of latencies below which a quantile of them is meaningless
)

// Recorder estimates quantiles of recent latencies. Samples are dropped with their
// window, at most windowCount*windowLength after they were recorded, so that the quantiles
// follow a change of the targets' speed within seconds. It is not safe for concurrent use.
type Recorder struct {
	hist        *hdrhistogram.WindowedHistogram // of latencies in microseconds
	windowStart time.Time                       // start of the current window
	merged      *hdrhistogram.Histogram         // sum of all windows; nil before the first merge
	mergedAt    time.Time                       // time of the last merge
	quantiles   map[float64]time.Duration       // quantiles of merged that were computed, by q from 0 to 1
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{
		hist: hdrhistogram.NewWindowed(windowCount, 1, maxLatency.Microseconds(), significantFigures),
	}
}

// Add records one latency.
func (r *Recorder) Add(now time.Time, d time.Duration) {
	r.rotate(now)
	us := min(max(d.Microseconds(), 1), maxLatency.Microseconds())
	// The value is within the histogram's bounds, so recording can't fail.
	_ = r.hist.Current.RecordValue(us)
}

// Quantile returns the q-quantile, 0 <= q <= 1, and whether there are enough samples.
// It may be up to mergeInterval old.
func (r *Recorder) Quantile(now time.Time, q float64) (time.Duration, bool) {
	r.rotate(now)
	r.merge(now)
	if r.merged.TotalCount() < minSamples {
		return 0, false
	}
	if d, ok := r.quantiles[q]; ok {
		return d, true
	}
	d := time.Duration(r.merged.ValueAtQuantile(q*100)) * time.Microsecond
	r.quantiles[q] = d
	return d, true
}

// mergeInterval is the least time between two merges of the windows: a merge costs far
// too much to be done for each shard of a query.
const mergeInterval = 100 * time.Millisecond

// merge updates merged and drops the cached quantiles, at most once per mergeInterval.
func (r *Recorder) merge(now time.Time) {
	if r.merged != nil && now.Sub(r.mergedAt) < mergeInterval {
		return
	}
	r.merged = r.hist.Merge()
	r.mergedAt = now
	r.quantiles = make(map[float64]time.Duration)
}

// rotate starts a new window for each windowLength that has passed, and drops the oldest ones.
func (r *Recorder) rotate(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	for n := 0; n < windowCount && now.Sub(r.windowStart) >= windowLength; n++ {
		r.hist.Rotate()
		r.windowStart = r.windowStart.Add(windowLength)
	}
	if now.Sub(r.windowStart) >= windowLength {
		r.windowStart = now
	}
}
