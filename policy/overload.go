package policy

import "time"

// Pressure is the sign of overload that the end of a query shows.
type Pressure int

// The levels of pressure.
const (
	NoPressure      Pressure = iota
	TargetsQueueing          // attempts wait in the targets' queues
	TargetsRefusing          // targets refuse attempts, so part of the work sent is wasted
)

// Thresholds of pressure. These are not signs of pressure:
//   - A single refusal. One leaf's queue is full now and then, and in a search over
//     few shards that is a large share of the attempts. So the share is taken over
//     the recent attempts of all queries.
//   - Attempts without a connection, and replicas in cooldown after failures. Targets
//     that cannot be reached are not loaded, and the others have free slots.
//   - A slow query. One straggler or silent connection causes it while slots are free.
const (
	maxShedShare     = 0.1  // share of recent attempts that are refused because no slot is free
	shedWeight       = 0.02 // weight of one attempt in that smoothed share
	slowAttemptShare = 0.25 // share of the time limit that the median attempt takes, even if that is its latency without queues
)

// Pressure returns the pressure that the end of a query shows. limit is the query's
// time limit.
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

// recordShed updates the share of attempts that are refused because no slot was
// free. Cancelled attempts are ignored, since they do not show whether one was free.
func (t *Table) recordShed(end AttemptEnd) {
	switch {
	case end.Cancelled:
	case end.Shed:
		t.shedShare += shedWeight * (1 - t.shedShare)
	default:
		t.shedShare -= shedWeight * t.shedShare
	}
}
