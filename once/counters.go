package once

import "github.com/VictoriaMetrics/metrics"

// counters are the package's metrics.
type counters struct {
	reads      *metrics.Counter // reads of segments sent to the platform
	writes     *metrics.Counter // conditional updates of segments sent to the platform
	operations *metrics.Counter // claims, outcomes and releases in these updates
	bytes      *metrics.Counter // size of the values in these updates
	conflicts  *metrics.Counter // updates refused because the segment had another version
	failures   *metrics.Counter // store calls with another error than those of a working platform, see isPlatformAnswer
	abandoned  *metrics.Counter // claims that this VM gave up and releases in the background, because they may be stored, now or later
	cleared    *metrics.Counter // segments that the cleaner removed, or found removed, because all their keys had expired
	relayed    *metrics.Counter // operations relayed to another VM, which applied them
	fallbacks  *metrics.Counter // operations that another VM should have applied and this VM applied itself
}

// newCounters registers the metrics in set.
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
