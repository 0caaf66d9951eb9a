package bench

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// phaseNames are the phases of a query that daemons measure, in their order: waiting for
// admission, then held until the attempt with the last answer was sent, then that attempt.
var phaseNames = []string{"admission", "held", "attempt"}

// phases holds the distribution of the time that the queries of one service spent in
// each phase, by the phase's name. It adds up the metrics of all daemons, which
// measure the phases under the adaptive policy.
type phases map[string]phaseHistogram

// phaseHistogram is the distribution of the time that queries spent in one phase.
type phaseHistogram struct {
	seconds, count float64             // total time, and number of queries
	buckets        map[float64]float64 // cumulative number of queries by upper bound in seconds
}

const millisecondsPerSecond = 1e3

// meanMS returns the mean time in milliseconds, or 0 without queries.
func (p phaseHistogram) meanMS() float64 { return p.seconds / max(p.count, 1) * millisecondsPerSecond }

// quantileBoundMS returns the upper bound, in milliseconds, of the bucket that holds
// the q-quantile, or infinity if no bucket does.
func (p phaseHistogram) quantileBoundMS(q float64) float64 {
	for _, bound := range slices.Sorted(maps.Keys(p.buckets)) {
		if p.buckets[bound] >= q*p.count {
			return bound * millisecondsPerSecond
		}
	}
	return math.Inf(1)
}

// plusScaled returns p + factor*other. A factor of -1 subtracts other.
func (p phaseHistogram) plusScaled(other phaseHistogram, factor float64) phaseHistogram {
	sum := phaseHistogram{
		seconds: p.seconds + factor*other.seconds, count: p.count + factor*other.count, buckets: map[float64]float64{},
	}
	for _, term := range []struct {
		buckets map[float64]float64
		factor  float64
	}{{p.buckets, 1}, {other.buckets, factor}} {
		for bound, n := range term.buckets {
			sum.buckets[bound] += term.factor * n
		}
	}
	return sum
}

// readPhases returns the phase histograms of a service, added up over all daemons and
// since their start.
func (d *deployment) readPhases(service string) (phases, error) {
	sums := phases{}
	for _, daemon := range d.daemons {
		values, err := daemon.Metrics()
		if err != nil {
			return nil, errors.Trace(err)
		}
		for _, name := range phaseNames {
			sums[name] = sums[name].plusScaled(readPhase(values, service, name), 1)
		}
	}
	return sums, nil
}

// readPhase returns the histogram of a service's phase from a daemon's metrics. Values are
// the metrics by name with labels.
func readPhase(values map[string]float64, service, name string) phaseHistogram {
	const metric = "bramley_query_phase_seconds"
	labels := fmt.Sprintf("{service=%q,phase=%q", service, name)
	histogram := phaseHistogram{
		seconds: values[metric+"_sum"+labels+"}"],
		count:   values[metric+"_count"+labels+"}"],
		buckets: map[float64]float64{},
	}
	for key, n := range values {
		bound, ok := strings.CutPrefix(key, metric+"_bucket"+labels+`,le="`)
		if !ok {
			continue
		}
		if le, err := strconv.ParseFloat(strings.TrimSuffix(bound, `"}`), 64); err == nil {
			histogram.buckets[le] = n
		}
	}
	return histogram
}

// addDelta adds what the daemons measured between two calls of readPhases. Before and
// after are the results of the earlier and the later call.
func (p phases) addDelta(before, after phases) {
	for _, name := range phaseNames {
		p[name] = p[name].plusScaled(after[name], 1).plusScaled(before[name], -1)
	}
}

// String returns the mean time of each phase in milliseconds, and an upper bound of its
// 99th percentile.
func (p phases) String() string {
	var parts []string
	for _, name := range phaseNames {
		parts = append(parts, fmt.Sprintf("%s %.1f (p99 up to %g)", name, p[name].meanMS(), p[name].quantileBoundMS(0.99)))
	}
	return strings.Join(parts, ", ")
}
