package scatter

import "time"

// maxSendsPerAttempt bounds how often a request may be sent to leafs of one shard, as a multiple
// of MaxAttempts, the number of leafs that may run it. Refusals and failed connections count as
// sends, but not towards MaxAttempts, since nothing ran.
const maxSendsPerAttempt = 3

// Limits on waiting for a leaf with capacity.
const (
	// leafPollInterval is the time between two checks of a shard that waits for a leaf,
	// since none of its leafs could take a request.
	leafPollInterval = 8 * time.Millisecond
	// leafWaitShare bounds how long a request to a single service waits for a leaf with
	// capacity, as a share of the latency objective. A caller that is refused by then can
	// still retry in time; one that waits longer mostly gets a late answer.
	leafWaitShare = 0.2
)

// trySend makes an attempt on the shard with index i and returns the action that sends it. It
// returns no action if no leaf takes the attempt, the budget does not allow it, or it would be too
// late. The shard then waits for a leaf or is closed, unless the attempt is a hedge or another
// attempt on the shard is in flight.
func (q *Query) trySend(now time.Time, i int, reason AttemptReason) []Action {
	s := &q.shards[i]
	if q.holdsBack(now, s, reason) {
		return nil
	}
	last := reason != FirstAttempt || !q.spec.Idempotent || q.spec.MaxAttempts < 2
	leafs := restrictTrials(now, q.candidates(s), s.tried, last)
	if !q.spec.Gathered && !q.canary && q.table.guard.Knows(q.spec.Content) {
		q.canary = q.needsCanary(now, nil) // a leaf was lost since the request began
	}
	if q.canary {
		if leafs = q.canariesOf(now, i, leafs); len(leafs) == 0 {
			if reason != Hedge && s.inFlight == 0 {
				q.delayAfterCanary(now, i)
			}
			return nil
		}
	}
	filter := leafFilter{exclude: s.tried, idleOnly: reason == Hedge}
	late := false
	if q.spec.Gathered {
		filter.usefulUntil = q.usefulUntil(now)
		// An attempt is late if its answer can't be expected before AnswerBy, when the
		// request is answered with the parts received so far. Its usefulUntil is after
		// AnswerBy. A late attempt is made only if too few shards are answered so far,
		// and only at an idle leaf.
		late = filter.usefulUntil.After(q.spec.AnswerBy)
		if late && q.enough(q.answered()) {
			if s.inFlight == 0 {
				s.close(GapLate)
			}
			return nil
		}
		filter.idleOnly = filter.idleOnly || late
	}
	if reason != Hedge && s.inFlight == 0 && !q.inTurn(now, s, leafs) {
		q.waitForLeaf(now, s, reason, true)
		return nil
	}
	l := q.pickLeaf(now, s, leafs, filter)
	if l == nil && reason != Hedge && s.inFlight == 0 {
		// No available leaf takes the attempt. A leaf in cooldown or a suspect one is
		// better than none: it may have recovered since it refused or was unreachable.
		l = q.table.pickUnavailable(now, leafs, s.tried)
		if late && l != nil && l.suspicion.failedProbes > 0 {
			l = nil
		}
		// Leafs that were tried are used again if no attempt on the shard may have run,
		// or if another VM may query the shard too.
		if l == nil && (s.possibleRuns == 0 || s.shared) {
			filter.exclude = nil
			l = q.table.pickLeaf(now, q.durationKey(), leafs, filter)
		}
	}
	if l == nil {
		suits := reason == Hedge || q.table.urgency == nil || q.table.room(now, leafs) == 0
		q.waitForLeaf(now, s, reason, suits)
		return nil
	}
	if !q.spendBudget(now, s, reason) {
		if reason != Hedge && s.inFlight == 0 {
			s.close(GapBudget)
		}
		return nil
	}
	return []Action{q.send(now, i, l, reason)}
}

// spendBudget reports whether the budget of the shard's service allows an attempt. The first
// attempt that reaches a leaf is always allowed and takes nothing from the budget. Each further
// one, such as a hedge or a retry, is an extra arrival, which is taken from the budget if enough
// of it is left. A hedge on which the answer depends may take the last of it. Before it would usually be due,
// it leaves a part to those that are. The budget grows with the number of requests, so spendBudget also counts the
// request, unless it was counted before.
func (q *Query) spendBudget(now time.Time, s *shard, reason AttemptReason) bool {
	b := q.table.budget(now, s.service)
	if !s.budgetCounted {
		s.budgetCounted = true
		b.countRequest(now, q.spec.BudgetWeight)
	}
	// This is the first arrival: no attempt of this VM has reached a leaf or may still reach
	// one, and no other VM was called that may have sent an attempt.
	if !s.arrived && s.inFlight == 0 && s.call == 0 && !q.spec.Redelegated {
		return true
	}
	reserve := 0.0
	if reason == Hedge {
		reserve = hedgeBudgetReserve
	}
	reserveShare := q.budgetReserveShare(now)
	if reason == Hedge && q.scarce() {
		reserve = 0
		if now.Before(s.hedgeAt) {
			reserveShare = max(reserveShare, earlyHedgeReserveShare)
		}
	}
	if b.spendAbove(now, reserve, reserveShare) {
		return true
	}
	if reason == Retry && reserveShare > 0 {
		q.yielded.Retries++
	}
	return false
}

// send records an attempt on the shard with index i at leaf l, and returns the action that
// sends it.
func (q *Query) send(now time.Time, i int, l *leaf, reason AttemptReason) Action {
	s := &q.shards[i]
	q.lastAttempt++
	q.sent++
	switch reason {
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
	s.possibleRuns++
	usual, scarce := q.hedgeDelay(now, l)
	s.hedgeAt, s.scarceHedgeAt = now.Add(usual), now.Add(scarce)
	q.setPollAt(s, time.Time{})
	s.waitsSince = time.Time{}
	typical, known := q.table.typicalDuration(now, q.durationKey())
	l.recordSent(pendingRequest{sentAt: now, typical: typical, known: known})
	q.table.recordIfLimited(now, l)
	if q.table.guard.Knows(q.spec.Content) {
		q.table.guard.Sent(now, q.spec.Content, leafName(l.id), s.sends > 1)
	}
	until := q.usefulUntil(now)
	q.attempts[q.lastAttempt] = &attempt{shard: i, leaf: l.id, sentAt: now, until: until}
	if q.canary && q.lastCanary(now) {
		q.announce(now, q.attempts[q.lastAttempt])
	}
	return Send{
		Attempt:        q.lastAttempt,
		Shard:          i,
		Leaf:           l.id,
		Address:        l.Address,
		SentAt:         now,
		Until:          until,
		OtherZone:      !l.sameZone,
		KeepConnection: q.table.KeepsConnection(l.id),
		Reason:         reason,
	}
}

// lateAttemptShare is the time that a leaf is given for a late attempt, as a share of the latency
// objective. An attempt of a gathered request is late if its answer can't be expected before
// AnswerBy, when the request is answered with the parts received so far. Late attempts are made
// only if too few shards are answered: a late answer is better than a failure. They are sent only
// to leafs with a free slot.
const lateAttemptShare = 0.5

// usefulUntil returns the time from which the answer to an attempt that is sent now is useless.
// For a request to a single service it is the deadline. For a gathered request it is AnswerBy,
// when the request is answered with the parts received so far. If a typical attempt would end
// after AnswerBy, it is lateAttemptShare of the latency objective from now instead. It is never
// after the deadline.
//
// The deadline may be many times the latency objective away. If the leafs of a gathered request
// were given all of that time, those short of slots would spend their slots on attempts whose
// answers no caller waits for.
func (q *Query) usefulUntil(now time.Time) time.Time {
	if !q.spec.Gathered {
		return q.spec.Deadline
	}
	typical, _ := q.table.typicalDuration(now, q.durationKey())
	if now.Add(typical).Before(q.spec.AnswerBy) {
		return earlier(q.spec.AnswerBy, q.spec.Deadline)
	}
	lateUntil := now.Add(time.Duration(lateAttemptShare * float64(q.spec.LatencyObjective)))
	return earlier(lateUntil, q.spec.Deadline)
}

// waitForLeaf is called for a shard for which no leaf takes a request at the moment. It schedules
// another check of the shard. It closes the shard instead if the time for waiting is over, or if
// the service has no usable leaf and the caller can turn elsewhere. It does nothing for a hedge,
// or if an attempt on the shard is in flight.
//
// suits is false if leafs have room for the shard, but none of them suits it.
func (q *Query) waitForLeaf(now time.Time, s *shard, reason AttemptReason, suits bool) {
	if reason == Hedge {
		return
	}
	if s.inFlight > 0 || !now.Before(q.waitUntil()) {
		if s.inFlight == 0 {
			q.recordShortage(now)
			s.close(GapNoCapacity)
		}
		return
	}
	if !q.table.HasUsableLeaf(s.service) && (!q.spec.Gathered || q.spec.Delegated) {
		// A caller that gets the error at once can turn elsewhere. So can a VM that
		// delegated the request to this one. It may know leafs that this VM does not
		// know, since this VM may have just started.
		s.close(q.table.gapWithoutLeaf(s.service))
		return
	}
	q.setPollAt(s, now.Add(leafPollInterval))
	s.pollAt = now.Add(q.joinLine(now, s, suits))
}

// setPollAt sets when this query checks again for a leaf of a shard; a zero time means never. It
// also updates the service's count of shards that wait for a leaf.
func (q *Query) setPollAt(s *shard, at time.Time) {
	if s.waitingOn != nil {
		s.waitingOn.waiting--
		s.waitingOn.leaveLine(s)
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

// waitUntil returns the time until which a shard may wait for a leaf with capacity. For a gathered
// request it is AnswerBy, when the request is answered with the parts received so far. For a
// request to a single service it is leafWaitShare of the latency objective after the start, but
// not after the deadline.
func (q *Query) waitUntil() time.Time {
	if q.spec.Gathered {
		return q.spec.AnswerBy
	}
	maxWait := time.Duration(leafWaitShare * float64(q.spec.LatencyObjective))
	return earlier(q.startedAt.Add(maxWait), q.spec.Deadline)
}

// retryShard sends an attempt on the shard with index i. It does nothing if the shard has an
// answer, is closed or has an attempt in flight. It closes the shard if a gathered request has
// reached AnswerBy, or if the request allows no further attempt. It is called when an attempt ended
// without an answer, and when a shard that waited for a leaf is checked again.
func (q *Query) retryShard(now time.Time, i int) []Action {
	s := &q.shards[i]
	if s.answered() || s.closed || s.inFlight > 0 {
		return nil
	}
	if q.spec.Gathered && !now.Before(q.spec.AnswerBy) {
		s.close(GapLate)
		return nil
	}
	if s.possibleRuns >= q.spec.MaxAttempts || s.sends >= q.spec.MaxAttempts*maxSendsPerAttempt {
		s.close(GapAttempts)
		return nil
	}
	if s.possibleRuns > 0 && !q.spec.Idempotent {
		s.close(GapAttempts)
		return nil
	}
	reason := Retry
	if s.sends == 0 {
		reason = FirstAttempt
	}
	return q.trySend(now, i, reason)
}
