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

// Signs of pressure. A single refusal is none: of hundreds of attempts, one
// nearly always meets a leaf whose queue is full for a moment. Nor are attempts
// that found no connection, or replicas that rest after failures: those who cannot
// be reached are not loaded, and the others have slots to spare. Nor is a slow
// query: one straggler or silent connection makes it, while slots are free.
const (
	shedShare = 0.1  // of a query's attempts
	slowShare = 0.25 // of the time limit, taken by the median attempt, also if that is its pace at ease
)

// Pressure returns what the end of a query with that time limit shows.
func (t *Table) Pressure(out *Outcome, limit time.Duration) Pressure {
	if float64(out.Shed) > shedShare*float64(out.Sent) {
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
