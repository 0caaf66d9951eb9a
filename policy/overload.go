package policy

import "time"

// Signs of overload. A single refusal is none: of hundreds of attempts, one
// nearly always meets a leaf whose queue is full for a moment. Nor is a slow
// query: one straggler or silent connection makes it, while slots are free.
const (
	refusedShare = 0.1  // of a query's attempts
	slowShare    = 0.25 // of the time limit, taken by the median attempt
)

// Overloaded reports whether the end of a query with that time limit shows that
// the targets have more work than they can do.
func (t *Table) Overloaded(out *Outcome, limit time.Duration, now time.Time) bool {
	if float64(out.Refused) > refusedShare*float64(out.Sent) {
		return true
	}
	for _, gap := range out.Coverage.Gaps {
		if gap.Reason == ReasonBusy || gap.Reason == ReasonShed {
			return true
		}
	}
	median, ok := t.Latency.Quantile(now, 0.5)
	return ok && median.Seconds() > slowShare*limit.Seconds()
}
