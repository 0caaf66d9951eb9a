package rollout

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// followerMetrics counts the reads, watches, changes and refused heads of a
// Follower.
type followerMetrics struct {
	set          *metrics.Set
	reads        *metrics.Counter // answered by the platform
	readsFailed  *metrics.Counter
	readsSkipped *metrics.Counter // not started, since maxConcurrentReads were running
	watches      *metrics.Counter
	changes      *metrics.Counter // of the revision in force
}

// newFollowerMetrics registers the metrics in set, or in a private set if set is
// nil.
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

func (m *followerMetrics) countRefused(code result.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bramley_heads_refused_total{code="%s"}`, code)).Inc()
}
