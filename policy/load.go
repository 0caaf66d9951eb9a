package policy

import "time"

// BeginAttempt counts an attempt handed to a replica.
func (t *Table) BeginAttempt(id ReplicaID) {
	if r := t.replica(id); r != nil {
		r.outstanding++
	}
}

// RemoveHolding takes a leaf's word that it does not hold a shard of a snapshot, which
// comes earlier than its next status.
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

// latencyWeight is the weight of a new sample in a replica's smoothed latency.
const latencyWeight = 0.2

// EndAttempt counts the end of an attempt on a replica.
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
		r.recordAnswer()
		r.recordLatency(end.Took)
	case end.Cancelled:
		// A loser of a hedge was at least this slow.
		r.recordLatency(max(end.Took, r.latency))
		if t.stalled(end.Took, now) {
			r.recordFailure(now.Add(-end.Took), now)
		}
	case end.SnapshotGone:
		r.recordAnswer()
	case end.NoConnection:
		r.target.cooldown.recordRefusal(now, end.RetryAfter)
		r.target.cooldown.recordFailure(now.Add(-end.Took), now)
	case end.Refused:
		r.cooldown.recordRefusal(now, end.RetryAfter)
	default:
		r.recordFailure(now.Add(-end.Took), now)
	}
}

// stallQuantile is the quantile of latencies beyond which an attempt that a hedge
// overtook counts as failed.
const stallQuantile = 0.99

// stalled reports whether an attempt without an answer took so long that its
// replica may not answer at all. Behind a connection that went silent every
// attempt ends like that: a hedge answers, the first attempt is cancelled, and
// nothing ever says that it failed. Unless these cancellations count, the replica
// goes on getting its share of attempts and uses up the budget of hedges.
func (t *Table) stalled(took time.Duration, now time.Time) bool {
	slow, ok := t.Latency.Quantile(now, stallQuantile)
	return ok && took >= slow
}

func (r *replica) recordLatency(d time.Duration) {
	if r.latency == 0 {
		r.latency = d
		return
	}
	r.latency += time.Duration(latencyWeight * float64(d-r.latency))
}

// recordFailure counts a failure of a leaf and of its target.
func (r *replica) recordFailure(sentAt, now time.Time) {
	r.cooldown.recordFailure(sentAt, now)
	r.target.cooldown.recordFailure(sentAt, now)
}

// recordAnswer takes that a leaf, and so its target, is alive.
func (r *replica) recordAnswer() {
	r.cooldown.recordAnswer()
	r.target.cooldown.recordAnswer()
}

func (r *replica) inCooldown(now time.Time) bool {
	return r.cooldown.active(now) || r.target.cooldown.active(now)
}

func (r *replica) refusing(now time.Time) bool {
	return r.cooldown.refusing(now) || r.target.cooldown.refusing(now)
}

func (t *Table) replica(id ReplicaID) *replica {
	ts := t.targets[id.Target]
	if ts == nil || id.Leaf < 0 || id.Leaf >= len(ts.replicas) {
		return nil
	}
	return ts.replicas[id.Leaf]
}

// AttemptEnd is how an attempt ended. With none of the flags set, it failed.
type AttemptEnd struct {
	Answered     bool
	Cancelled    bool // by this VM, while still running
	Refused      bool // by the target, which did not start it
	SnapshotGone bool // refused only because the leaf lacks the snapshot
	// NoConnection: this VM had none to the target. The target rests longer each
	// time, since its other leaves cannot be reached either and each try spends
	// the budget of retries.
	NoConnection bool
	Shed         bool          // refused for want of slots
	RetryAfter   time.Duration // stated with a refusal
	Took         time.Duration
}
