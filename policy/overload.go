package policy

import "time"

// Pressure is what the end of a query shows of the targets' load.
type Pressure int

// The grades of pressure.
const (
	NoPressure Pressure = iota
	Queueing            // attempts wait in targets' queues
	Refusing            // targets turn attempts away: some of what was sent is wasted
)

// Signs of pressure. A single refusal is none: one leaf's queue is full now and
// then, and of a search over few shards it is a large share of the attempts. So the
// share is of the latest attempts of all queries. Nor are attempts that found no
// connection, or replicas that rest after failures: those who cannot be reached are
// not loaded, and the others have slots to spare. Nor is a slow
// query: one straggler or silent connection makes it, while slots are free.
const (
	shedShare = 0.1  // of the latest attempts
	shedStep  = 0.02 // weight of one attempt in that share
	slowShare = 0.25 // of the time limit, taken by the median attempt, also if that is its pace at ease
)

// Pressure returns what the end of a query with that time limit shows.
func (t *Table) Pressure(out *Outcome, limit time.Duration) Pressure {
	if t.shed > shedShare {
		return Refusing
	}
	for _, gap := range out.Coverage.Gaps {
		if gap.Reason == ReasonShed || (gap.Reason == ReasonBusy && out.Shed > 0) {
			return Refusing
		}
	}
	if t.Pace.Slow() || t.Pace.Recent().Seconds() > slowShare*limit.Seconds() {
		return Queueing
	}
	return NoPressure
}

// noteShed follows the share of attempts that are turned away for want of slots.
// Those that were cancelled say nothing of it.
func (t *Table) noteShed(end AttemptEnd) {
	switch {
	case end.Cancelled:
	case end.Shed:
		t.shed += shedStep * (1 - t.shed)
	default:
		t.shed -= shedStep * t.shed
	}
}
