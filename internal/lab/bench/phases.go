package bench

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// phaseNames are the phases of a query that daemons measure, in order.
var phaseNames = []string{"admission", "held", "attempt"}

// phases is where the time of one service's queries went, as all daemons
// together measured it under the adaptive policy.
type phases map[string]phaseSum

// phaseSum is the time of one phase over some queries.
type phaseSum struct{ seconds, count float64 }

func (p phaseSum) meanMS() float64 {
	const millisecond = 1e3
	return p.seconds / max(p.count, 1) * millisecond
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
			labels := fmt.Sprintf("{service=%q,phase=%q}", service, name)
			sum := sums[name]
			sum.seconds += values["bramley_query_phase_seconds_sum"+labels]
			sum.count += values["bramley_query_phase_seconds_count"+labels]
			sums[name] = sum
		}
	}
	return sums, nil
}

// add counts what was spent between two readings.
func (p phases) add(before, after phases) {
	for _, name := range phaseNames {
		sum := p[name]
		sum.seconds += after[name].seconds - before[name].seconds
		sum.count += after[name].count - before[name].count
		p[name] = sum
	}
}

func (p phases) String() string {
	var parts []string
	for _, name := range phaseNames {
		parts = append(parts, fmt.Sprintf("%s %.1f", name, p[name].meanMS()))
	}
	return strings.Join(parts, ", ")
}
