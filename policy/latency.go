package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyWindows  = 4               // kept, the running one included
	latencyWindow   = 5 * time.Second // length of one
	latencyMax      = time.Minute     // longer ones count as this
	latencyFigures  = 2               // significant figures kept
	latencyMinCount = 50              // fewer samples say nothing about a quantile
)

// Latency tells quantiles of recent latencies. Old samples leave with their
// window, so that a change of the targets' speed is followed in seconds.
type Latency struct {
	hist    *hdrhistogram.WindowedHistogram
	rotated time.Time
	merged  *hdrhistogram.Histogram // of all windows; nil after a change
	cached  time.Time
	known   map[float64]time.Duration // quantiles of merged already looked up
}

// NewLatency returns an empty record.
func NewLatency() *Latency {
	return &Latency{
		hist: hdrhistogram.NewWindowed(latencyWindows, 1, latencyMax.Microseconds(), latencyFigures),
	}
}

// Add records one latency.
func (l *Latency) Add(now time.Time, d time.Duration) {
	l.rotate(now)
	us := min(max(d.Microseconds(), 1), latencyMax.Microseconds())
	// The value lies within the histogram's bounds, so recording cannot fail.
	_ = l.hist.Current.RecordValue(us)
}

// Quantile returns the q-quantile, 0 <= q <= 1, and false while there are too
// few samples.
func (l *Latency) Quantile(now time.Time, q float64) (time.Duration, bool) {
	l.rotate(now)
	l.merge(now)
	if l.merged.TotalCount() < latencyMinCount {
		return 0, false
	}
	if d, ok := l.known[q]; ok {
		return d, true
	}
	d := time.Duration(l.merged.ValueAtQuantile(q*100)) * time.Microsecond
	l.known[q] = d
	return d, true
}

// mergeEvery bounds how often the windows are added up: a merge costs far more
// than a query can pay for each of its shards.
const mergeEvery = 100 * time.Millisecond

func (l *Latency) merge(now time.Time) {
	if l.merged != nil && now.Sub(l.cached) < mergeEvery {
		return
	}
	l.merged = l.hist.Merge()
	l.cached = now
	l.known = make(map[float64]time.Duration)
}

func (l *Latency) rotate(now time.Time) {
	if l.rotated.IsZero() {
		l.rotated = now
	}
	for n := 0; n < latencyWindows && now.Sub(l.rotated) >= latencyWindow; n++ {
		l.hist.Rotate()
		l.rotated = l.rotated.Add(latencyWindow)
	}
	if now.Sub(l.rotated) >= latencyWindow {
		l.rotated = now
	}
}
