package policy

import "time"

// Pressure is what the end of a query shows of the targets' load.
type Pressure int

// The grades of pressure.
const (
	NoPressure      Pressure = iota
	TargetsQueueing          // attempts wait in targets' queues
	TargetsRefusing          // targets turn attempts away: some of what was sent is wasted
)

// Signs of pressure. A single refusal is none: one leaf's queue is full now and
// then, and of a search over few shards it is a large share of the attempts. So the
// share is of the latest attempts of all queries. Nor are attempts that found no
// connection, or replicas that rest after failures: those who cannot be reached are
// not loaded, and the others have slots to spare. Nor is a slow
// query: one straggler or silent connection makes it, while slots are free.
const (
	maxShedShare     = 0.1  // of the latest attempts
	shedWeight       = 0.02 // weight of one attempt in that share
	slowAttemptShare = 0.25 // of the time limit, taken by the median attempt, also if that is its pace at ease
)

// Pressure returns what the end of a query with that time limit shows.
func (t *Table) Pressure(out *Outcome, limit time.Duration) Pressure {
	if t.shedShare > maxShedShare {
		return TargetsRefusing
	}
	for _, gap := range out.Coverage.Gaps {
		if gap.Reason == ReasonShed || (gap.Reason == ReasonBusy && out.Shed > 0) {
			return TargetsRefusing
		}
	}
	if t.Median.Slow() || t.Median.Recent().Seconds() > slowAttemptShare*limit.Seconds() {
		return TargetsQueueing
	}
	return NoPressure
}

// recordShed follows the share of attempts that are turned away for want of slots.
// Those that were cancelled say nothing of it.
func (t *Table) recordShed(end AttemptEnd) {
	switch {
	case end.Cancelled:
	case end.Shed:
		t.shedShare += shedWeight * (1 - t.shedShare)
	default:
		t.shedShare -= shedWeight * t.shedShare
	}
}
