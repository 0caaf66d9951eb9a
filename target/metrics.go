package target

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// clientMetrics are the metrics of a Client.
type clientMetrics struct {
	set         *metrics.Set
	calls       *metrics.Counter // requests sent on a connection, status reads included
	opened      *metrics.Counter // connections opened
	closed      *metrics.Counter // connections closed; opened minus closed is the number of open connections
	dialErrors  *metrics.Counter // connections that could not be opened or warmed up
	mismatched  *metrics.Counter // answers that belonged to another request
	silent      *metrics.Counter // connections found silent
	statusReads *metrics.Counter // calls of Client.Status
}

// newClientMetrics returns the metrics of a Client. It registers those in set that are not
// registered yet.
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

// callFailed counts a call that failed with an error of the given kind.
func (m *clientMetrics) callFailed(kind ErrorKind) {
	name := fmt.Sprintf("bramley_target_call_errors_total{kind=%q}", kind)
	m.set.GetOrCreateCounter(name).Inc()
}
