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

// phaseNames are the phases of a query that daemons measure, in order.
var phaseNames = []string{"admission", "held", "attempt"}

// phases is where the time of one service's queries went, as all daemons
// together measured it under the adaptive policy.
type phases map[string]phaseHistogram

// phaseHistogram is the time of one phase over some queries.
type phaseHistogram struct {
	seconds, count float64
	buckets        map[float64]float64 // queries that took at most so many seconds
}

const millisecondsPerSecond = 1e3 // in a second

func (p phaseHistogram) meanMS() float64 { return p.seconds / max(p.count, 1) * millisecondsPerSecond }

// quantileBoundMS returns the upper bound of the bucket with the q-quantile.
func (p phaseHistogram) quantileBoundMS(q float64) float64 {
	for _, bound := range slices.Sorted(maps.Keys(p.buckets)) {
		if p.buckets[bound] >= q*p.count {
			return bound * millisecondsPerSecond
		}
	}
	return math.Inf(1)
}

// plusScaled adds o, times a sign.
func (p phaseHistogram) plusScaled(o phaseHistogram, sign float64) phaseHistogram {
	sum := phaseHistogram{
		seconds: p.seconds + sign*o.seconds, count: p.count + sign*o.count, buckets: map[float64]float64{},
	}
	for _, from := range []struct {
		buckets map[float64]float64
		sign    float64
	}{{p.buckets, 1}, {o.buckets, sign}} {
		for bound, n := range from.buckets {
			sum.buckets[bound] += from.sign * n
		}
	}
	return sum
}

// readPhases reads what the daemons measured so far.
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

// readPhase finds the histogram of one phase among a daemon's metrics.
func readPhase(values map[string]float64, service, name string) phaseHistogram {
	const metric = "bramley_query_phase_seconds"
	labels := fmt.Sprintf("{service=%q,phase=%q", service, name)
	sum := phaseHistogram{
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
			sum.buckets[le] = n
		}
	}
	return sum
}

// addDelta counts what was spent between two readings.
func (p phases) addDelta(before, after phases) {
	for _, name := range phaseNames {
		p[name] = p[name].plusScaled(after[name], 1).plusScaled(before[name], -1)
	}
}

func (p phases) String() string {
	var parts []string
	for _, name := range phaseNames {
		parts = append(parts, fmt.Sprintf("%s %.1f (p99 up to %g)", name, p[name].meanMS(), p[name].quantileBoundMS(0.99)))
	}
	return strings.Join(parts, ", ")
}
