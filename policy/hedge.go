package policy

import "time"

// sendHedges sends a second attempt on each shard whose first one is slow. It does so
// only once at least half of the shards, or all but one, have answered: when all
// shards are slow, the targets are overloaded, and hedges would add to the load.
func (q *Query) sendHedges(now time.Time) []Action {
	delay, ok := q.hedgeDelay(now)
	if !ok || q.unanswered() > max(len(q.shards)/2, 1) {
		return nil
	}
	var acts []Action
	for _, id := range sortedKeys(q.attempts) {
		a := q.attempts[id]
		s := &q.shards[a.shard]
		if a.overdue || s.hedged || now.Sub(a.sentAt) < delay || q.exhausted(s) {
			continue
		}
		acts = append(acts, q.tryHedge(now, a.shard)...)
	}
	return acts
}

// tryHedge sends a second attempt on a shard if a replica that was not tried has a free
// slot and the hedge budget allows it.
func (q *Query) tryHedge(now time.Time, shard int) []Action {
	if _, ok := q.table.Pick(now, q.snapshot.Name, shard, q.shards[shard].tried, true); !ok {
		return nil
	}
	if !q.table.Hedges.Take() {
		return nil
	}
	q.shards[shard].hedged = true
	q.hedges++
	return q.send(now, shard, true)
}

// mayHedge reports whether the query may send hedges. It sends none with Spec.Plain or a
// HedgeQuantile of 0.
func (q *Query) mayHedge() bool { return !q.spec.Plain && q.spec.HedgeQuantile > 0 }

// hedgeDelay returns how long an attempt runs before a hedge is sent. It returns false if
// the query sends no hedges, and while the latency of attempts is not known.
func (q *Query) hedgeDelay(now time.Time) (time.Duration, bool) {
	if !q.mayHedge() {
		return 0, false
	}
	d, ok := q.table.Latency.Quantile(now, q.spec.HedgeQuantile)
	if !ok {
		return 0, false
	}
	return max(d, q.spec.MinHedgeDelay), true
}
