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
type phases map[string]phaseSum

// phaseSum is the time of one phase over some queries.
type phaseSum struct {
	seconds, count float64
	buckets        map[float64]float64 // queries that took at most so many seconds
}

const millisecond = 1e3 // in a second

func (p phaseSum) meanMS() float64 { return p.seconds / max(p.count, 1) * millisecond }

// boundMS returns the upper bound of the bucket with the q-quantile.
func (p phaseSum) boundMS(q float64) float64 {
	for _, bound := range slices.Sorted(maps.Keys(p.buckets)) {
		if p.buckets[bound] >= q*p.count {
			return bound * millisecond
		}
	}
	return math.Inf(1)
}

// plus adds o, times a sign.
func (p phaseSum) plus(o phaseSum, sign float64) phaseSum {
	sum := phaseSum{
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

// phases reads what the daemons measured so far.
func (d *deployment) phases(service string) (phases, error) {
	sums := phases{}
	for _, daemon := range d.daemons {
		values, err := daemon.Metrics()
		if err != nil {
			return nil, errors.Trace(err)
		}
		for _, name := range phaseNames {
			sums[name] = sums[name].plus(readPhase(values, service, name), 1)
		}
	}
	return sums, nil
}

// readPhase finds the histogram of one phase among a daemon's metrics.
func readPhase(values map[string]float64, service, name string) phaseSum {
	const metric = "bramley_query_phase_seconds"
	labels := fmt.Sprintf("{service=%q,phase=%q", service, name)
	sum := phaseSum{
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

// add counts what was spent between two readings.
func (p phases) add(before, after phases) {
	for _, name := range phaseNames {
		p[name] = p[name].plus(after[name], 1).plus(before[name], -1)
	}
}

func (p phases) String() string {
	var parts []string
	for _, name := range phaseNames {
		parts = append(parts, fmt.Sprintf("%s %.1f (p99 up to %g)", name, p[name].meanMS(), p[name].boundMS(0.99)))
	}
	return strings.Join(parts, ", ")
}
