package policy

import "time"

// send starts an attempt on a shard, or notes why none can be started.
func (q *Query) send(now time.Time, shard int, hedge bool) []Action {
	s := &q.shards[shard]
	id, ok := q.pick(now, shard, hedge)
	if !ok {
		if !hedge {
			q.wait(now, shard)
			q.settle(shard)
		}
		return nil
	}
	s.pending = time.Time{}
	s.tried = append(s.tried, id)
	s.sent++
	s.flying++
	q.next++
	q.sent++
	a := &attempt{id: q.next, shard: shard, replica: id, sentAt: now}
	a.expires = now.Add(q.attemptTimeout(now))
	q.attempts[a.id] = a
	q.settle(shard)
	q.wakeFor(now, a)
	q.table.Begin(id)
	return []Action{Send{
		Attempt:  a.id,
		Replica:  id,
		Shard:    shard,
		Snapshot: q.snapshot.Name,
		Hedge:    hedge,
		Timeout:  a.expires.Sub(now),
	}}
}

func (q *Query) pick(now time.Time, shard int, hedge bool) (ReplicaID, bool) {
	if q.spec.Plain {
		return q.table.PickRandom(q.snapshot.Name, shard)
	}
	s := &q.shards[shard]
	id, ok := q.table.Pick(now, q.snapshot.Name, shard, s.tried, hedge)
	if !ok && !hedge && s.flying == 0 {
		// Every replica was tried: one that has recovered may be tried again.
		id, ok = q.table.Pick(now, q.snapshot.Name, shard, nil, false)
	}
	return id, ok
}

// wait lets a shard whose replicas are all busy or resting be looked at again,
// if one of them takes attempts before the deadline.
func (q *Query) wait(now time.Time, shard int) {
	s := &q.shards[shard]
	if s.reason == "" {
		s.reason = ReasonNoReplica
	}
	at, ok := q.table.ReadyAgain(now, q.snapshot.Name, shard, nil)
	if q.spec.Plain || !ok || !at.Before(q.spec.Deadline) {
		s.pending = time.Time{}
		return
	}
	s.reason = ReasonBusy
	s.pending = at
	q.wake = earlier(q.wake, at)
}

// The timeout of one attempt, so that a connection that went silent costs a
// part of the time limit only.
const (
	attemptTimeoutQuantile = 0.99
	attemptTimeoutFactor   = 4
	attemptTimeoutMin      = 50 * time.Millisecond
)

func (q *Query) attemptTimeout(now time.Time) time.Duration {
	left := q.spec.Deadline.Sub(now)
	if q.spec.Plain {
		return left
	}
	slow, ok := q.table.Latency.Quantile(now, attemptTimeoutQuantile)
	if !ok {
		return left
	}
	limit := max(slow*attemptTimeoutFactor, attemptTimeoutMin)
	if q.table.Pace.AtEase() {
		// One that takes half of the time left while targets are at ease is lost
		// rather than slow. Without this bound its timeout can pass the deadline,
		// and nobody tries again: a few lost attempts raise the quantile. In a
		// queue it may yet be answered, and another would wait as long.
		limit = min(limit, max(left/2, attemptTimeoutMin))
	}
	return min(left, limit)
}

func (q *Query) afterFailure(now time.Time, a *attempt, reason Reason) []Action {
	s := &q.shards[a.shard]
	if s.answer != nil {
		return nil
	}
	s.reason = reason
	q.settle(a.shard)
	if s.flying > 0 {
		return nil // the other attempt may still answer
	}
	return q.retry(now, a.shard)
}

// retry sends a further attempt on a shard. If the budget is empty, the shard
// waits a little for it to fill rather than being given up at once: the answers
// of all other shards would be lost with it. It does not wait for long, since a
// query in progress keeps others from being admitted.
func (q *Query) retry(now time.Time, shard int) []Action {
	s := &q.shards[shard]
	if q.exhausted(s) {
		s.pending = time.Time{}
		q.settle(shard)
		return nil
	}
	if _, ok := q.pick(now, shard, false); !ok {
		q.wait(now, shard)
		q.settle(shard)
		return nil
	}
	if !q.table.Retries.Take() {
		if s.waits++; s.waits > maxBudgetWaits {
			s.pending = time.Time{}
			q.settle(shard)
			return nil
		}
		s.pending = now.Add(budgetPause)
		q.wake = earlier(q.wake, s.pending)
		q.settle(shard)
		return nil
	}
	q.retries++
	return q.send(now, shard, false)
}

// budgetPause is how soon a retry that found the budget empty is tried again.
const budgetPause = 10 * time.Millisecond

// maxBudgetWaits is how often a shard may find the budget empty.
const maxBudgetWaits = 2

// refusedFactor is how many times MaxAttempts may be sent where targets refuse
// to start them.
const refusedFactor = 3

// exhausted reports whether a shard may get no further attempt. Attempts that a
// target refused to start count less: they cost it next to nothing.
func (q *Query) exhausted(s *shardState) bool {
	if q.spec.Plain {
		return s.sent > 0
	}
	return s.sent-s.refused >= q.spec.MaxAttempts || s.sent >= q.spec.MaxAttempts*refusedFactor
}

// end removes an attempt from the flying ones; nil if it is not among them.
func (q *Query) end(now time.Time, id AttemptID, e AttemptEnd) *attempt {
	a := q.attempts[id]
	if a == nil {
		return nil
	}
	delete(q.attempts, id)
	if e.Refused {
		q.refused++
		q.shards[a.shard].refused++
	}
	e.Took = now.Sub(a.sentAt)
	q.table.End(a.replica, e, now)
	q.shards[a.shard].flying--
	q.settle(a.shard)
	return a
}

// cancelShard gives up the attempts still in flight on a shard.
func (q *Query) cancelShard(now time.Time, shard int) []Action {
	if q.shards[shard].flying == 0 {
		return nil
	}
	return q.cancelWhere(now, func(a *attempt) bool { return a.shard == shard })
}

func (q *Query) cancelWhere(now time.Time, match func(*attempt) bool) []Action {
	var acts []Action
	for _, id := range sortedKeys(q.attempts) {
		if match(q.attempts[id]) {
			q.end(now, id, AttemptEnd{Cancelled: true})
			acts = append(acts, Cancel{Attempt: id})
		}
	}
	return acts
}
