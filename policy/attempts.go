package policy

import "time"

// send starts an attempt on a shard, as a hedge if hedge is set. If no replica can take
// a first attempt or a retry, the shard waits for one or is given up. If none can take a
// hedge, nothing happens.
func (q *Query) send(now time.Time, shard int, hedge bool) []Action {
	s := &q.shards[shard]
	id, ok := q.pickReplica(now, shard, hedge)
	if !ok {
		if !hedge {
			q.waitForReplica(now, shard)
			q.updatePhase(shard)
		}
		return nil
	}
	if s.sent == 0 {
		s.firstSentAt = now
	}
	s.retryAt = time.Time{}
	s.tried = append(s.tried, id)
	s.sent++
	s.inFlight++
	q.lastAttempt++
	q.sent++
	a := &attempt{id: q.lastAttempt, shard: shard, replica: id, sentAt: now}
	a.expiresAt = now.Add(q.attemptTimeout(now))
	q.attempts[a.id] = a
	q.updatePhase(shard)
	q.scheduleWake(now, a)
	q.table.BeginAttempt(id)
	return []Action{Send{
		Attempt:  a.id,
		Replica:  id,
		Shard:    shard,
		Snapshot: q.snapshot.Name,
		Hedge:    hedge,
		Timeout:  q.spec.Deadline.Sub(now),
	}}
}

// pickReplica returns the replica for the next attempt on a shard, and false if no replica
// can take one. hedge restricts the choice to replicas with a free slot.
func (q *Query) pickReplica(now time.Time, shard int, hedge bool) (ReplicaID, bool) {
	if q.spec.Plain {
		return q.table.PickRandom(q.snapshot.Name, shard)
	}
	s := &q.shards[shard]
	id, ok := q.table.Pick(now, q.snapshot.Name, shard, s.tried, hedge)
	if !ok && !hedge && s.inFlight == 0 {
		// No untried replica can take the attempt, but a tried one may have recovered.
		id, ok = q.table.PickAgain(now, q.snapshot.Name, shard, s.firstSentAt)
	}
	return id, ok
}

// waitForReplica schedules another check of a shard whose replicas are all busy or
// in cooldown, if one of them may take attempts before the deadline. Otherwise, and
// with Spec.Plain, it ends the shard's wait.
func (q *Query) waitForReplica(now time.Time, shard int) {
	s := &q.shards[shard]
	if s.reason == "" {
		s.reason = ReasonNoReplica
	}
	readyAt, ok := q.table.ReadyAgain(now, q.snapshot.Name, shard, nil)
	if q.spec.Plain || !ok || !readyAt.Before(q.spec.Deadline) {
		s.retryAt = time.Time{}
		return
	}
	s.reason = ReasonBusy
	s.retryAt = readyAt
	q.wakeAt = earlier(q.wakeAt, readyAt)
}

// Parameters of the timeout of one attempt: the time after which another attempt is made,
// so that a connection that went silent takes only part of the query's time limit. The
// overdue attempt goes on: if this VM or all targets were slow for a moment, it is answered
// first, and there may be no other attempt left.
const (
	attemptTimeoutQuantile = 0.99                  // quantile of the latency of answered attempts from which the timeout is calculated
	attemptTimeoutFactor   = 4                     // timeout as a multiple of the latency at attemptTimeoutQuantile
	attemptTimeoutMin      = 50 * time.Millisecond // lower bound of the timeout; a query with less time left uses the time left
)

// attemptTimeout returns the timeout of an attempt that is sent now. It is never longer
// than the time left for the query. It equals that time with Spec.Plain: a shard then gets
// one attempt and no retry. While the latency of attempts is not known, as after the start
// of this VM, it is half of the time left, so that a lost attempt leaves time for another
// one.
func (q *Query) attemptTimeout(now time.Time) time.Duration {
	timeLeft := q.spec.Deadline.Sub(now)
	if q.spec.Plain {
		return timeLeft
	}
	slow, ok := q.table.Latency.Quantile(now, attemptTimeoutQuantile)
	if !ok {
		return max(timeLeft/2, min(attemptTimeoutMin, timeLeft))
	}
	limit := max(slow*attemptTimeoutFactor, attemptTimeoutMin)
	if q.table.Median.NearBaseline() {
		// While targets have no queues, an attempt that takes half of the time left is
		// lost rather than slow. Without this bound, a few lost attempts can raise the
		// quantile so far that the timeout exceeds the deadline. Then no retry would be
		// sent. While targets have queues, the bound does not apply: an attempt in a queue
		// may still be answered, and a retry would wait as long.
		limit = min(limit, max(timeLeft/2, attemptTimeoutMin))
	}
	return min(timeLeft, limit)
}

// afterFailure records the reason for the failure of an attempt, or for its being overdue,
// and retries the shard unless it has an answer, another attempt on it is in flight and not
// overdue, or it waits to be retried.
func (q *Query) afterFailure(now time.Time, a *attempt, reason Reason) []Action {
	s := &q.shards[a.shard]
	if s.answer != nil {
		return nil
	}
	s.reason = reason
	q.updatePhase(a.shard)
	if s.inFlight > 0 || !s.retryAt.IsZero() {
		return nil
	}
	return q.retry(now, a.shard)
}

// retry sends a further attempt on a shard. If the retry budget is empty, the shard waits
// until it refills: a shard given up at once could make the coverage too low, and then the
// answers of all other shards are lost too. Unless an overdue attempt may still be answered,
// the wait is short, since a query in progress keeps others from being admitted.
func (q *Query) retry(now time.Time, shard int) []Action {
	s := &q.shards[shard]
	if q.exhausted(s) {
		s.retryAt = time.Time{}
		q.updatePhase(shard)
		return nil
	}
	if _, ok := q.pickReplica(now, shard, false); !ok {
		q.waitForReplica(now, shard)
		q.updatePhase(shard)
		return nil
	}
	if !q.table.Retries.Take() {
		if s.budgetWaits++; s.budgetWaits > maxBudgetWaits && s.overdue == 0 {
			s.retryAt = time.Time{}
			q.updatePhase(shard)
			return nil
		}
		s.retryAt = now.Add(budgetRetryDelay)
		q.wakeAt = earlier(q.wakeAt, s.retryAt)
		q.updatePhase(shard)
		return nil
	}
	q.retries++
	return q.send(now, shard, false)
}

// budgetRetryDelay is the time after which a retry that found the retry budget empty is
// tried again.
const budgetRetryDelay = 10 * time.Millisecond

// maxBudgetWaits bounds how often a shard without an attempt in flight may wait for the
// retry budget in one pass of the query. A pass queries all shards of one snapshot.
const maxBudgetWaits = 2

// maxRefusedFactor bounds the attempts on a shard, those included that a target refused to
// start, as a multiple of Spec.MaxAttempts. Refused attempts cost the target little.
const maxRefusedFactor = 3

// exhausted reports whether a shard may get no further attempt. With Spec.Plain, it gets
// a single one. Otherwise there are two bounds: Spec.MaxAttempts for the attempts that a
// target may have started, and maxRefusedFactor times as many for all attempts. The bound
// that includes refused attempts is higher, since they cost the target little.
func (q *Query) exhausted(s *shardState) bool {
	if q.spec.Plain {
		return s.sent > 0
	}
	return s.sent-s.refused >= q.spec.MaxAttempts || s.sent >= q.spec.MaxAttempts*maxRefusedFactor
}

// endAttempt records how an attempt ended and returns the attempt, or nil if it was not in
// flight.
func (q *Query) endAttempt(now time.Time, id AttemptID, end AttemptEnd) *attempt {
	a := q.attempts[id]
	if a == nil {
		return nil
	}
	delete(q.attempts, id)
	if end.Refused {
		q.refused++
		q.shards[a.shard].refused++
	}
	end.Took = now.Sub(a.sentAt)
	q.table.EndAttempt(a.replica, end, now)
	if a.overdue {
		q.shards[a.shard].overdue--
	} else {
		q.shards[a.shard].inFlight--
	}
	q.updatePhase(a.shard)
	return a
}

// cancelShard cancels the attempts that are still in flight on a shard.
func (q *Query) cancelShard(now time.Time, shard int) []Action {
	if q.shards[shard].inFlight+q.shards[shard].overdue == 0 {
		return nil
	}
	return q.cancelWhere(now, func(a *attempt) bool { return a.shard == shard })
}

// cancelWhere cancels the attempts in flight for which match returns true.
func (q *Query) cancelWhere(now time.Time, match func(*attempt) bool) []Action {
	var acts []Action
	for _, id := range sortedKeys(q.attempts) {
		if match(q.attempts[id]) {
			q.endAttempt(now, id, AttemptEnd{Cancelled: true})
			acts = append(acts, Cancel{Attempt: id})
		}
	}
	return acts
}
