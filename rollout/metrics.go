package rollout

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// followerMetrics counts the reads, watches, changes and refused heads of a
// Follower.
type followerMetrics struct {
	set          *metrics.Set     // in which the metrics are registered
	reads        *metrics.Counter // reads of the head that the platform answered
	readsFailed  *metrics.Counter // reads of the head that failed
	readsSkipped *metrics.Counter // reads of the head that were not started, because maxConcurrentReads were in flight
	watches      *metrics.Counter // watches of the head started
	changes      *metrics.Counter // changes of the revision in force on this VM
}

// newFollowerMetrics registers the metrics in set, or in a private set if set is
// nil. revision returns the revision in force.
func newFollowerMetrics(set *metrics.Set, revision func() float64) *followerMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	set.GetOrCreateGauge("bramley_revision", revision)
	return &followerMetrics{
		set:          set,
		reads:        set.GetOrCreateCounter(`bramley_head_reads_total{result="answered"}`),
		readsFailed:  set.GetOrCreateCounter(`bramley_head_reads_total{result="failed"}`),
		readsSkipped: set.GetOrCreateCounter(`bramley_head_reads_total{result="left_out"}`),
		watches:      set.GetOrCreateCounter("bramley_head_watches_total"),
		changes:      set.GetOrCreateCounter("bramley_revision_changes_total"),
	}
}

// countRefused counts a refused head by the result code of its refusal.
func (m *followerMetrics) countRefused(code result.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bramley_heads_refused_total{code="%s"}`, code)).Inc()
}
