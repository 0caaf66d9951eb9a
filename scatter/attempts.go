package scatter

import "time"

// maxSendsPerAttempt bounds how often a shard may be sent, as a multiple of MaxAttempts. Sends
// beyond MaxAttempts follow refusals or failed connections, neither of which runs anything.
const maxSendsPerAttempt = 3

// Limits on waiting for a leaf with capacity.
const (
	// leafPollInterval is the time after which a shard is checked again if none of its leafs
	// could take a request.
	leafPollInterval = 8 * time.Millisecond
	// leafWaitShare bounds how long a request to a single service waits for a leaf with
	// capacity, as a share of the latency objective. A caller that is refused by then can
	// still retry in time; one that waits longer mostly gets a late answer.
	leafWaitShare = 0.2
)

// trySend sends an attempt on the shard with index i. If no leaf takes it or the budget does
// not allow it, no action is returned. The shard then waits for a leaf or is closed, unless the
// attempt is a hedge or another attempt on the shard is in flight.
func (q *Query) trySend(now time.Time, i int, reason AttemptReason) []Action {
	s := &q.shards[i]
	leafs := q.candidates(s)
	filter := leafFilter{exclude: s.tried, idleOnly: reason == Hedge}
	if q.spec.Gathered {
		filter.answerBy = q.usefulUntil(now)
		// late: an answer can no longer be expected before AnswerBy. If enough other
		// shards are answered, the request does not wait for this one. Otherwise only
		// an idle leaf gets the attempt.
		late := filter.answerBy.After(q.spec.AnswerBy)
		if late && q.enough(q.answered()) {
			if s.inFlight == 0 {
				s.close(GapLate)
			}
			return nil
		}
		filter.idleOnly = filter.idleOnly || late
	}
	l := q.table.pickLeaf(now, q.durationKey(), leafs, filter)
	if l == nil && reason != Hedge && s.inFlight == 0 {
		// All leafs are in cooldown after failures, or each was tried. Using one of
		// them is better than none: a leaf that refused or was unreachable may have
		// recovered.
		l = q.table.pickCoolingDown(now, leafs, s.tried)
		if l == nil && (s.possibleRuns == 0 || s.shared) {
			filter.exclude = nil
			l = q.table.pickLeaf(now, q.durationKey(), leafs, filter)
		}
	}
	if l == nil {
		q.waitForLeaf(now, s, reason)
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

// spendBudget counts the arrival that an attempt causes at the shard's service, and reports
// whether the budget allows it. The first arrival of a request is always allowed; every
// further one is taken from the budget of extra arrivals.
func (q *Query) spendBudget(now time.Time, s *shard, reason AttemptReason) bool {
	b := q.table.budget(now, s.service)
	if !s.budgetCounted {
		s.budgetCounted = true
		b.countRequest(now, q.spec.BudgetWeight)
	}
	// No attempt of this VM has arrived or may yet arrive, and no other VM was called that
	// may have sent one.
	if !s.arrived && s.inFlight == 0 && s.call == 0 && !q.spec.Redelegated {
		return true
	}
	reserve := 0.0
	if reason == Hedge {
		reserve = hedgeBudgetReserve
	}
	return b.spend(now, reserve)
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
	s.hedgeAt = now.Add(q.hedgeDelay(now, l))
	q.setPollAt(s, time.Time{})
	typical, known := q.table.typicalDuration(now, q.durationKey())
	l.recordSent(pendingRequest{sentAt: now, typical: typical, known: known})
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
		Reason:         reason,
	}
}

// latePartShare is the time that a leaf is given for a shard of a gathered request whose answer
// can no longer be expected before AnswerBy, as a share of the latency objective. The whole
// answer is then late, but is an answer. Only leafs with a free slot get such a request.
const latePartShare = 0.5

// usefulUntil returns until when the answer to an attempt that is sent now is useful: until the
// deadline for a request to a single service. For a gathered request it is AnswerBy, or a short
// time from now if a typical attempt would end after AnswerBy, but never after the deadline.
//
// Parts of a gathered answer are useless once the answer was sent. If leafs were given the
// caller's whole time, which may be many times the latency objective, those short of slots
// would spend them on parts that no caller waits for.
func (q *Query) usefulUntil(now time.Time) time.Time {
	if !q.spec.Gathered {
		return q.spec.Deadline
	}
	typical, _ := q.table.typicalDuration(now, q.durationKey())
	if now.Add(typical).Before(q.spec.AnswerBy) {
		return earlier(q.spec.AnswerBy, q.spec.Deadline)
	}
	late := now.Add(time.Duration(latePartShare * float64(q.spec.LatencyObjective)))
	return earlier(late, q.spec.Deadline)
}

// waitForLeaf schedules another check of a shard for which no leaf takes a request at the
// moment. It closes the shard if the time for waiting is over, or if the service has no usable
// leaf and the caller can turn elsewhere. A hedge does not wait, nor does a shard with an
// attempt in flight.
func (q *Query) waitForLeaf(now time.Time, s *shard, reason AttemptReason) {
	if reason == Hedge {
		return
	}
	if s.inFlight > 0 || !now.Before(q.waitUntil()) {
		if s.inFlight == 0 {
			s.close(GapNoCapacity)
		}
		return
	}
	if !q.table.HasUsableLeaf(s.service) && (!q.spec.Gathered || q.spec.Delegated) {
		// A caller that gets the error at once can turn elsewhere. So can another VM,
		// which may know leafs that this one does not if it has just started.
		s.close(GapNoLeaf)
		return
	}
	q.setPollAt(s, now.Add(leafPollInterval))
}

// setPollAt sets when this query checks again for a leaf of a shard, zero for never. It keeps
// the number of shards that wait for a leaf of the service up to date.
func (q *Query) setPollAt(s *shard, at time.Time) {
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

// waitUntil returns until when a shard may wait for a leaf with capacity.
func (q *Query) waitUntil() time.Time {
	if q.spec.Gathered {
		return q.spec.AnswerBy
	}
	queue := time.Duration(leafWaitShare * float64(q.spec.LatencyObjective))
	return earlier(q.startedAt.Add(queue), q.spec.Deadline)
}

// retryShard sends an attempt on the shard with index i, if the shard has no answer, is not
// closed and has no attempt in flight. It closes the shard instead if it is too late, or if the
// request allows no further attempt. It is called when an attempt ended without an answer, and
// when a shard that waited for a leaf is checked again.
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
