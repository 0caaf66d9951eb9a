package policy

import "time"

// Pressure is the degree of overload of the targets, as judged at the end of a query.
type Pressure int

// The levels of pressure.
const (
	NoPressure      Pressure = iota // no sign of overload
	TargetsQueueing                 // attempts wait in the targets' queues
	TargetsRefusing                 // targets refuse attempts, so part of the work sent is wasted
)

// Thresholds of pressure. These are not signs of pressure:
//   - A single refusal. One leaf's queue is full now and then, and in a search over
//     few shards that is a large share of the attempts. So the share is taken over
//     the recent attempts of all queries.
//   - Attempts without a connection, and replicas in cooldown after failures. Targets
//     that cannot be reached are not loaded, and the others have free slots.
//   - A slow query. One straggler or silent connection causes it while slots are free.
const (
	maxShedShare     = 0.1  // targets count as refusing if more than this share of recent attempts was refused because no slot was free
	shedSampleWeight = 0.02 // weight, from 0 to 1, of one attempt in the smoothed share of attempts refused because no slot was free
	// slowMedianShareOfTimeLimit is a share of a query's time limit. Attempts with a median
	// latency above that share count as waiting in queues, even if they are as slow without
	// queues.
	slowMedianShareOfTimeLimit = 0.25
)

// Pressure returns the targets' pressure at the end of a query. It depends on the recent
// attempts of all queries, and on the shards without an answer in out, the query's outcome.
// limit is the query's time limit.
func (t *Table) Pressure(out *Outcome, limit time.Duration) Pressure {
	if t.shedShare > maxShedShare {
		return TargetsRefusing
	}
	// A shard of this query has no answer because targets refused attempts.
	for _, gap := range out.Coverage.Gaps {
		if gap.Reason == ReasonShed || (gap.Reason == ReasonBusy && out.Shed > 0) {
			return TargetsRefusing
		}
	}
	if t.Median.Slow() || t.Median.Recent().Seconds() > slowMedianShareOfTimeLimit*limit.Seconds() {
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
		t.shedShare += shedSampleWeight * (1 - t.shedShare)
	default:
		t.shedShare -= shedSampleWeight * t.shedShare
	}
}
