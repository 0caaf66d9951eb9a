package policy

import "time"

// Begin counts an attempt handed to a replica.
func (t *Table) Begin(id ReplicaID) {
	if r := t.replica(id); r != nil {
		r.outstanding++
	}
}

// Lacks takes a leaf's word that it does not hold a shard of a snapshot, which
// comes earlier than its next status.
func (t *Table) Lacks(id ReplicaID, snapshot string, shard int) {
	r := t.replica(id)
	key := holdingKey{snapshot, shard}
	if r == nil {
		return
	}
	if _, ok := r.holdings[key]; ok {
		delete(r.holdings, key)
		t.unlist(r, key)
	}
}

// latencyWeight is the weight of a new sample in a replica's smoothed latency.
const latencyWeight = 0.2

// End counts the end of an attempt on a replica.
func (t *Table) End(id ReplicaID, end AttemptEnd, now time.Time) {
	if end.Answered {
		t.Latency.Add(now, end.Took)
		t.Pace.Add(end.Took)
	}
	t.noteShed(end)
	r := t.replica(id)
	if r == nil {
		return
	}
	r.outstanding = max(r.outstanding-1, 0)
	switch {
	case end.Answered:
		r.answered()
		r.smooth(end.Took)
	case end.Cancelled:
		// A loser of a hedge was at least this slow.
		r.smooth(max(end.Took, r.latency))
		if t.stalled(end.Took, now) {
			r.fail(now.Add(-end.Took), now)
		}
	case end.Gone:
		r.answered()
	case end.NoConnection:
		r.target.rest.refuse(now, end.RetryAfter)
		r.target.rest.fail(now.Add(-end.Took), now)
	case end.Refused:
		r.rest.refuse(now, end.RetryAfter)
	default:
		r.fail(now.Add(-end.Took), now)
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

func (r *replica) smooth(d time.Duration) {
	if r.latency == 0 {
		r.latency = d
		return
	}
	r.latency += time.Duration(latencyWeight * float64(d-r.latency))
}

// fail counts a failure of a leaf and of its target.
func (r *replica) fail(sentAt, now time.Time) {
	r.rest.fail(sentAt, now)
	r.target.rest.fail(sentAt, now)
}

// answered takes that a leaf, and so its target, is alive.
func (r *replica) answered() {
	r.rest.answered()
	r.target.rest.answered()
}

func (r *replica) resting(now time.Time) bool {
	return r.rest.resting(now) || r.target.rest.resting(now)
}

func (r *replica) refusing(now time.Time) bool {
	return r.rest.refusing(now) || r.target.rest.refusing(now)
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
	Answered  bool
	Cancelled bool // by this VM, while still running
	Refused   bool // by the target, which did not start it
	Gone      bool // refused only because the leaf lacks the snapshot
	// NoConnection: this VM had none to the target. The target rests longer each
	// time, since its other leaves cannot be reached either and each try spends
	// the budget of retries.
	NoConnection bool
	Shed         bool          // refused for want of slots
	RetryAfter   time.Duration // stated with a refusal
	Took         time.Duration
}
