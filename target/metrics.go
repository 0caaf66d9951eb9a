package target

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// clientMetrics are the metrics of a Client.
type clientMetrics struct {
	set         *metrics.Set
	calls       *metrics.Counter // sent on a connection, status reads included
	opened      *metrics.Counter
	closed      *metrics.Counter // opened minus closed is the number of open connections
	dialErrors  *metrics.Counter
	mismatched  *metrics.Counter
	silent      *metrics.Counter // connections found silent
	statusReads *metrics.Counter
}

func newClientMetrics(set *metrics.Set) *clientMetrics {
	return &clientMetrics{
		set:         set,
		calls:       set.GetOrCreateCounter("bramley_target_calls_total"),
		opened:      set.GetOrCreateCounter("bramley_target_connections_opened_total"),
		closed:      set.GetOrCreateCounter("bramley_target_connections_closed_total"),
		dialErrors:  set.GetOrCreateCounter("bramley_target_dial_errors_total"),
		mismatched:  set.GetOrCreateCounter("bramley_target_mismatched_answers_total"),
		silent:      set.GetOrCreateCounter("bramley_target_silent_connections_total"),
		statusReads: set.GetOrCreateCounter("bramley_target_status_reads_total"),
	}
}

func (m *clientMetrics) callFailed(kind ErrorKind) {
	name := fmt.Sprintf("bramley_target_call_errors_total{kind=%q}", kind)
	m.set.GetOrCreateCounter(name).Inc()
}
