package scatter

import (
	"math"
	"time"

	"github.com/bramleybarrow/bramleybarrow/latency"
)

// Parameters of the forecast of one kind of request. Own time is the part of a request's duration
// that passes in this VM: sending and reading are late where it sends many requests at once.
const (
	// toldLifetime is how long a leaf time that another VM told is used.
	toldLifetime = 5 * time.Second
	// ownTimeHalfLife is the time in which the own time that a forecast counts falls to half
	// while no request of its kind is answered.
	ownTimeHalfLife = time.Second
	// probeAfter and refusalsPerProbe are the time without an answer to a request of one kind,
	// and the number of refused ones since, after which one is admitted in spite of the
	// forecast. What is refused is not measured, and the forecast could not find out that it is
	// wrong.
	probeAfter       = 500 * time.Millisecond
	refusalsPerProbe = 4
)

// forecast tells the leafs' time of one kind of request from the time that passes in this VM. The
// two differ: own time passes once for a request, and says nothing about the queue at a leaf.
type forecast struct {
	// leafTimes are the durations of recent requests to leafs, at a leaf of usual speed, less
	// the own time that was measured for each.
	leafTimes  *latency.Recorder
	answeredAt time.Time     // when a leaf last answered a request of this kind; zero for never
	refused    int           // requests refused since the latest answer or probe
	probedAt   time.Time     // when a request was last admitted in spite of the forecast
	told       time.Duration // least leaf time that another VM recently told
	toldAt     time.Time
	scarce     reportedScarcity
}

// forecastOf returns the forecast of one kind of request.
func (t *Table) forecastOf(kind durationKey) *forecast {
	f := t.forecasts[kind]
	if f == nil {
		f = &forecast{leafTimes: latency.New()}
		t.forecasts[kind] = f
	}
	return f
}

// recordAnswer records the duration of a request to a leaf, at a leaf of usual speed and without
// the own time that was measured.
func (f *forecast) recordAnswer(now time.Time, leafTime time.Duration) {
	f.answeredAt, f.refused = now, 0
	f.leafTimes.Add(now, leafTime)
}

// recordTold records the leaf time that another VM told. The least one is kept until it is as old
// as toldLifetime.
func (f *forecast) recordTold(now time.Time, leafTime time.Duration) {
	if leafTime <= 0 || f.told > 0 && leafTime > f.told && now.Sub(f.toldAt) < toldLifetime {
		return
	}
	f.told, f.toldAt = leafTime, now
}

// measured returns the leaf time that this VM has measured itself. It is what other VMs are told.
// known is false if there are too few answers.
func (f *forecast) measured(now time.Time) (d time.Duration, known bool) {
	return f.leafTimes.Quantile(now, typicalDurationQuantile)
}

// split divides the typical duration of a kind of request into the time of a leaf of usual speed
// and the own time, which loses weight while no answer is measured.
func (f *forecast) split(now time.Time, typical time.Duration) (leaf, own time.Duration) {
	leaf = typical
	if d, known := f.measured(now); known {
		leaf = min(leaf, d)
	}
	if f.told > 0 && now.Sub(f.toldAt) < toldLifetime {
		leaf = min(leaf, f.told)
	}
	age := max(now.Sub(f.answeredAt), 0)
	return leaf, time.Duration(math.Exp2(-float64(age)/float64(ownTimeHalfLife)) * float64(typical-leaf))
}

// probes reports whether a request that would be refused is admitted in spite of the forecast. That
// is so once nothing of its kind was measured for probeAfter and refusalsPerProbe requests were
// refused since. Otherwise probes counts the refusal. Before the first answer there are no durations
// that could have become wrong.
func (f *forecast) probes(now time.Time) bool {
	if f.answeredAt.IsZero() || f.refused < refusalsPerProbe || now.Sub(f.answeredAt) < probeAfter || now.Sub(f.probedAt) < probeAfter {
		f.refused++
		return false
	}
	f.refused, f.probedAt = 0, now
	return true
}

// Timed records when an attempt was written to its connection and when its answer was read. The time
// from the decision to send until then, and from the read until Reply, is own time: it passed in
// this VM. Timed has to be called before Reply.
func (q *Query) Timed(id AttemptID, written, read time.Time) {
	if a := q.attempts[id]; a != nil {
		a.writtenAt, a.readAt = written, read
	}
}

// ownTime returns the part of the duration of an attempt that is answered now that passed in this
// VM, as far as it was measured.
func (a *attempt) ownTime(now time.Time) time.Duration {
	if a.writtenAt.IsZero() || a.readAt.IsZero() {
		return 0
	}
	return max(a.writtenAt.Sub(a.sentAt), 0) + max(now.Sub(a.readAt), 0)
}

// LeafTime returns how long a leaf of usual speed takes for an attempt of this query, as measured
// by this VM, so that calling VMs can be told. It is 0 if it is not known.
func (q *Query) LeafTime(now time.Time) time.Duration {
	d, _ := q.table.forecastOf(q.durationKey()).measured(now)
	return d
}
