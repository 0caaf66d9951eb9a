package scatter

import "time"

// sendsPerAttempt is how many times MaxAttempts a shard may be sent where leafs
// refuse or can't be reached, neither of which runs anything.
const sendsPerAttempt = 3

// Pauses before a shard without a leaf to send to is looked at again.
const (
	pollInterval = 8 * time.Millisecond
	// queueShare is the part of the aim that a request to one service waits for a
	// leaf to have room. A caller that is refused by then can still come back in
	// time; one that waits longer mostly gets a late answer.
	queueShare = 0.2
)

// trySend sends an attempt on a shard, or notes why none can be sent.
func (q *Query) trySend(now time.Time, i int, why AttemptReason) []Action {
	s := &q.shards[i]
	leafs := q.candidates(s)
	c := leafFilter{exclude: s.tried, idleOnly: why == Hedge}
	if q.spec.Gathered {
		c.answerBy = q.usefulUntil(now)
		late := c.answerBy.After(q.spec.AnswerBy)
		if late && q.enough(q.answered()) {
			if s.inFlight == 0 {
				s.close(GapLate)
			}
			return nil
		}
		c.idleOnly = c.idleOnly || late
	}
	l := q.table.pickLeaf(now, q.durationKey(), leafs, c)
	if l == nil && why != Hedge && s.inFlight == 0 {
		// All cool down after failures, or each was tried. One of them is better than
		// none: a leaf that refused or was out of reach may be well again.
		l = q.table.pickCoolingDown(now, leafs, s.tried)
		if l == nil && (s.maybeRan == 0 || s.shared) {
			c.exclude = nil
			l = q.table.pickLeaf(now, q.durationKey(), leafs, c)
		}
	}
	if l == nil {
		q.waitForLeaf(now, s, why)
		return nil
	}
	if !q.spendBudget(now, s, why) {
		if why != Hedge && s.inFlight == 0 {
			s.close(GapBudget)
		}
		return nil
	}
	return []Action{q.send(now, i, l, why)}
}

// spendBudget counts the arrival that an attempt is going to cause.
func (q *Query) spendBudget(now time.Time, s *shard, why AttemptReason) bool {
	b := q.table.budget(now, s.service)
	if !s.budgetCounted {
		s.budgetCounted = true
		b.countRequest(now, q.spec.BudgetWeight)
	}
	if !s.arrived && s.inFlight == 0 && s.call == 0 && !q.spec.Redelegated {
		return true
	}
	spare := 0.0
	if why == Hedge {
		spare = hedgeReserve
	}
	return b.spend(now, spare)
}

func (q *Query) send(now time.Time, i int, l *leaf, why AttemptReason) Action {
	s := &q.shards[i]
	q.lastAttempt++
	q.sent++
	switch why {
	case Hedge:
		q.hedges++
		s.hedged = true
	case Retry:
		q.retries++
	}
	s.tried = append(s.tried, l.id)
	s.recordChoice(l.id)
	s.sends++
	s.inFlight++
	s.maybeRan++
	s.hedgeAt = now.Add(q.hedgeDelay(now, l))
	q.schedulePoll(s, time.Time{})
	usual, known := q.table.typicalDuration(now, q.durationKey())
	l.recordSent(pendingRequest{sentAt: now, typical: usual, known: known})
	q.attempts[q.lastAttempt] = &attempt{shard: i, leaf: l.id, sentAt: now}
	return Send{
		Attempt:        q.lastAttempt,
		Shard:          i,
		Leaf:           l.id,
		Address:        l.Address,
		SentAt:         now,
		Until:          q.usefulUntil(now),
		OtherZone:      !l.sameZone,
		KeepConnection: q.table.KeepsConnection(l.id),
		Reason:         why,
	}
}

// lateShare is the part of the aim that a leaf is given for a part that can't come before
// AnswerBy any more. The answer is late then, but it is one. Only leafs with a free slot are
// asked for it.
const lateShare = 0.5

// usefulUntil returns when an attempt that is sent now ends being of use. Parts of a gathered
// answer are of none once it was given: with the caller's whole time, which may be many times
// the aim, leafs that are short of slots spend them on parts that nobody waits for.
func (q *Query) usefulUntil(now time.Time) time.Time {
	if !q.spec.Gathered {
		return q.spec.Deadline
	}
	usual, _ := q.table.typicalDuration(now, q.durationKey())
	if now.Add(usual).Before(q.spec.AnswerBy) {
		return earlier(q.spec.AnswerBy, q.spec.Deadline)
	}
	late := now.Add(time.Duration(lateShare * float64(q.spec.LatencyObjective)))
	return earlier(late, q.spec.Deadline)
}

// waitForLeaf lets a shard that has leafs, none of which takes a request just now, be
// looked at again.
func (q *Query) waitForLeaf(now time.Time, s *shard, why AttemptReason) {
	if why == Hedge {
		return
	}
	if s.inFlight > 0 || !now.Before(q.waitUntil()) {
		if s.inFlight == 0 {
			s.close(GapNoCapacity)
		}
		return
	}
	if !q.table.HasUsableLeaf(s.service) && (!q.spec.Gathered || q.spec.Delegated) {
		// A caller who is told at once can turn elsewhere, and so can another VM,
		// which may know leafs that this one, just started, does not.
		s.close(GapNoLeaf)
		return
	}
	q.schedulePoll(s, now.Add(pollInterval))
}

// schedulePoll sets when a leaf of a shard is looked for again, zero for never.
func (q *Query) schedulePoll(s *shard, at time.Time) {
	if s.waitingOn != nil {
		s.waitingOn.waiting--
		s.waitingOn = nil
	}
	s.pollAt = at
	if at.IsZero() {
		return
	}
	if s.waitingOn = q.table.services[s.service]; s.waitingOn != nil {
		s.waitingOn.waiting++
	}
}

func (q *Query) waitUntil() time.Time {
	if q.spec.Gathered {
		return q.spec.AnswerBy
	}
	queue := time.Duration(queueShare * float64(q.spec.LatencyObjective))
	return earlier(q.startedAt.Add(queue), q.spec.Deadline)
}

// retryShard sends another attempt on a shard after one ended without an answer.
func (q *Query) retryShard(now time.Time, i int) []Action {
	s := &q.shards[i]
	if s.answered() || s.closed || s.inFlight > 0 {
		return nil
	}
	if q.spec.Gathered && !now.Before(q.spec.AnswerBy) {
		s.close(GapLate)
		return nil
	}
	if s.maybeRan >= q.spec.MaxAttempts || s.sends >= q.spec.MaxAttempts*sendsPerAttempt {
		s.close(GapAttempts)
		return nil
	}
	if s.maybeRan > 0 && !q.spec.Idempotent {
		s.close(GapAttempts)
		return nil
	}
	why := Retry
	if s.sends == 0 {
		why = FirstAttempt
	}
	return q.trySend(now, i, why)
}
