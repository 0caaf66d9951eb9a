package rollout

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// followerMetrics counts what a keeper reads and refuses.
type followerMetrics struct {
	set          *metrics.Set
	reads        *metrics.Counter // answered by the platform
	readsFailed  *metrics.Counter
	readsSkipped *metrics.Counter // left out, since too many were under way
	watches      *metrics.Counter
	changes      *metrics.Counter // of what is in force
}

// newFollowerMetrics registers in set, or in none if set is nil.
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
