package once

import "github.com/VictoriaMetrics/metrics"

// counters are the package's metrics.
type counters struct {
	reads      *metrics.Counter
	writes     *metrics.Counter // conditional updates sent
	operations *metrics.Counter // claims, outcomes and releases in them
	bytes      *metrics.Counter // of the values in them
	conflicts  *metrics.Counter
	failures   *metrics.Counter // store calls without an answer
	abandoned  *metrics.Counter // claims given up that may have landed
	cleared    *metrics.Counter // segments removed
	relayed    *metrics.Counter // operations that another VM carried out
	fallbacks  *metrics.Counter // operations that another VM should have carried out and did not
}

func newCounters(set *metrics.Set) counters {
	return counters{
		reads:      set.GetOrCreateCounter("bramley_once_reads_total"),
		writes:     set.GetOrCreateCounter("bramley_once_writes_total"),
		operations: set.GetOrCreateCounter("bramley_once_operations_total"),
		bytes:      set.GetOrCreateCounter("bramley_once_written_bytes_total"),
		conflicts:  set.GetOrCreateCounter("bramley_once_conflicts_total"),
		failures:   set.GetOrCreateCounter("bramley_once_failures_total"),
		abandoned:  set.GetOrCreateCounter("bramley_once_abandoned_total"),
		relayed:    set.GetOrCreateCounter("bramley_once_relayed_total"),
		fallbacks:  set.GetOrCreateCounter("bramley_once_fallbacks_total"),
		cleared:    set.GetOrCreateCounter("bramley_once_cleared_total"),
	}
}
