// Package latency keeps recent latencies and tells their quantiles.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowCount        = 4               // kept, the running one included
	windowLength       = 5 * time.Second // length of one
	maxLatency         = time.Minute     // longer ones count as this
	significantFigures = 2               // significant figures kept
	minSamples         = 50              // fewer samples say nothing about a quantile
)

// Recorder tells quantiles of recent latencies. Old samples leave with their
// window, so that a change of the targets' speed is followed in seconds.
type Recorder struct {
	hist        *hdrhistogram.WindowedHistogram
	windowStart time.Time
	merged      *hdrhistogram.Histogram // of all windows; nil after a change
	mergedAt    time.Time
	quantiles   map[float64]time.Duration // quantiles of merged already looked up
}

// New returns an empty record.
func New() *Recorder {
	return &Recorder{
		hist: hdrhistogram.NewWindowed(windowCount, 1, maxLatency.Microseconds(), significantFigures),
	}
}

// Add records one latency.
func (l *Recorder) Add(now time.Time, d time.Duration) {
	l.rotate(now)
	us := min(max(d.Microseconds(), 1), maxLatency.Microseconds())
	// The value lies within the histogram's bounds, so recording cannot fail.
	_ = l.hist.Current.RecordValue(us)
}

// Quantile returns the q-quantile, 0 <= q <= 1, and false while there are too
// few samples.
func (l *Recorder) Quantile(now time.Time, q float64) (time.Duration, bool) {
	l.rotate(now)
	l.merge(now)
	if l.merged.TotalCount() < minSamples {
		return 0, false
	}
	if d, ok := l.quantiles[q]; ok {
		return d, true
	}
	d := time.Duration(l.merged.ValueAtQuantile(q*100)) * time.Microsecond
	l.quantiles[q] = d
	return d, true
}

// mergeInterval bounds how often the windows are added up: a merge costs far more
// than a query can pay for each of its shards.
const mergeInterval = 100 * time.Millisecond

func (l *Recorder) merge(now time.Time) {
	if l.merged != nil && now.Sub(l.mergedAt) < mergeInterval {
		return
	}
	l.merged = l.hist.Merge()
	l.mergedAt = now
	l.quantiles = make(map[float64]time.Duration)
}

func (l *Recorder) rotate(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	for n := 0; n < windowCount && now.Sub(l.windowStart) >= windowLength; n++ {
		l.hist.Rotate()
		l.windowStart = l.windowStart.Add(windowLength)
	}
	if now.Sub(l.windowStart) >= windowLength {
		l.windowStart = now
	}
}
