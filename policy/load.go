package policy

import "time"

// BeginAttempt counts an attempt that is sent to a replica.
func (t *Table) BeginAttempt(id ReplicaID) {
	if r := t.replica(id); r != nil {
		r.outstanding++
	}
}

// RemoveHolding records that a leaf answered that it does not hold a shard of a
// snapshot. The leaf's next status, which shows the same, comes later.
func (t *Table) RemoveHolding(id ReplicaID, snapshot string, shard int) {
	r := t.replica(id)
	key := holdingKey{snapshot, shard}
	if r == nil {
		return
	}
	if _, ok := r.holdings[key]; ok {
		delete(r.holdings, key)
		t.removeHolder(r, key)
	}
}

// latencySampleWeight is the weight, from 0 to 1, of a new sample in a replica's smoothed
// latency.
const latencySampleWeight = 0.2

// EndAttempt records the end of an attempt on a replica.
func (t *Table) EndAttempt(id ReplicaID, end AttemptEnd, now time.Time) {
	if end.Answered {
		t.Latency.Add(now, end.Took)
		t.Median.Add(end.Took)
	}
	t.recordShed(end)
	r := t.replica(id)
	if r == nil {
		return
	}
	r.outstanding = max(r.outstanding-1, 0)
	switch {
	case end.Answered:
		r.target.answeredAt = now
		r.recordAnswer()
		r.recordLatency(end.Took)
	case end.Cancelled:
		// The latency of an attempt cancelled after a hedge is at least this long.
		r.recordLatency(max(end.Took, r.latency))
		if t.stalled(end.Took, now) {
			r.recordFailure(now.Add(-end.Took), now)
		}
	case end.SnapshotGone: // the leaf is alive, but lacks the snapshot
		r.recordAnswer()
	case end.NoConnection:
		r.target.cooldown.recordRefusal(now, end.RetryAfter)
		r.target.cooldown.recordFailure(now.Add(-end.Took), now)
	case end.Refused:
		r.cooldown.recordRefusal(now, end.RetryAfter)
	default: // the attempt failed
		r.recordFailure(now.Add(-end.Took), now)
	}
}

// AttemptOverdue records that the timeout of an attempt that was sent at sentAt has passed. The
// attempt is still in flight.
func (t *Table) AttemptOverdue(id ReplicaID, sentAt, now time.Time) {
	if r := t.replica(id); r != nil {
		r.recordFailure(sentAt, now)
	}
}

// stallLatencyQuantile is a quantile of the latency of answered attempts. A cancelled
// attempt that took at least that long counts as failed.
const stallLatencyQuantile = 0.99

// stalled reports whether a cancelled attempt took so long that its replica may not
// answer at all. On a connection that went silent every attempt ends in a
// cancellation: a hedge is answered, the first attempt is cancelled, and no failure is
// ever reported. Unless these cancellations count as failures, the replica keeps
// getting its share of attempts and uses up the hedge budget.
func (t *Table) stalled(took time.Duration, now time.Time) bool {
	slow, ok := t.Latency.Quantile(now, stallLatencyQuantile)
	return ok && took >= slow
}

// recordLatency updates the smoothed latency of a replica. The first sample is taken as it
// is.
func (r *replica) recordLatency(latency time.Duration) {
	if r.latency == 0 {
		r.latency = latency
		return
	}
	r.latency += time.Duration(latencySampleWeight * float64(latency-r.latency))
}

// recordFailure records the failure of an attempt, sent at sentAt, in the cooldowns of the
// leaf and of its target.
func (r *replica) recordFailure(sentAt, now time.Time) {
	r.cooldown.recordFailure(sentAt, now)
	r.target.cooldown.recordFailure(sentAt, now)
}

// recordAnswer records that a leaf, and so its target, is alive.
func (r *replica) recordAnswer() {
	r.cooldown.recordAnswer()
	r.target.cooldown.recordAnswer()
}

// inCooldown reports whether the replica or its target is in a cooldown, after failures or
// a refusal.
func (r *replica) inCooldown(now time.Time) bool {
	return r.cooldown.active(now) || r.target.cooldown.active(now)
}

// refusing reports whether the replica or its target is in a cooldown after a refusal.
func (r *replica) refusing(now time.Time) bool {
	return r.cooldown.refusing(now) || r.target.cooldown.refusing(now)
}

// replica returns a replica, nil if it is not in the table.
func (t *Table) replica(id ReplicaID) *replica {
	ts := t.targets[id.Target]
	if ts == nil || id.Leaf < 0 || id.Leaf >= len(ts.replicas) {
		return nil
	}
	return ts.replicas[id.Leaf]
}

// AttemptEnd describes how an attempt ended. With none of the flags set, it failed.
type AttemptEnd struct {
	Answered     bool // by the leaf, with a result
	Cancelled    bool // by this VM, while it was still running
	Refused      bool // by the target without starting it, or not sent for lack of a connection
	SnapshotGone bool // refused only because the leaf does not hold the snapshot
	// NoConnection says that this VM had no connection to the target. The target's
	// cooldown grows each time, since its other leaves cannot be reached either and
	// each attempt uses up retry budget.
	NoConnection bool
	Shed         bool          // refused because no slot was free
	RetryAfter   time.Duration // from a refusal; 0 if it states none
	Took         time.Duration // from the sending of the attempt to its end; set by Query and Submission
}
