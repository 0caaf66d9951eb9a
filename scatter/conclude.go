package scatter

import "time"

// conclude returns the given actions. If the outcome of the query is decided now, it ends the
// query and appends the Finish action. If the query ended before, it returns nothing.
func (q *Query) conclude(now time.Time, acts []Action) []Action {
	if q.done {
		return nil
	}
	if q.held {
		return acts
	}
	acts = append(acts, q.stepCanary(now)...)
	out, decided := q.decide(now)
	if !decided {
		return acts
	}
	q.recordWhole(now, out)
	return append(acts, q.finish(out)...)
}

// finish ends the query and returns the Finish action. The action has the given outcome, completed
// with the gaps (shards without an answer) and the counters of the query.
func (q *Query) finish(out Outcome) []Action {
	q.done = true
	out.Gaps = q.gaps()
	for i := range q.shards {
		q.setPollAt(&q.shards[i], time.Time{})
	}
	out.Refusal = q.refusal
	out.Quarantined = q.quarantined()
	if out.Verdict == Answered && q.broken == 0 {
		q.table.guard.Served(q.startedAt, q.spec.Content)
	}
	out.EarlyHedges = q.earlyHedges
	out.Sent, out.Hedges, out.Retries, out.Called = q.sent, q.hedges, q.retries, len(q.calls)
	for _, c := range q.calls {
		if c.step != firstOwner {
			out.Reasked++
		}
	}
	return []Action{Finish{Outcome: out}}
}

// decide returns the outcome of the query and whether it is decided. While it is not, the returned
// outcome is empty, and the query goes on.
func (q *Query) decide(now time.Time) (Outcome, bool) {
	if q.spec.Gathered {
		return q.decideGathered(now)
	}
	return q.decideSingle()
}

// decideSingle returns the outcome of a request to a single service, which has one shard, and
// whether the outcome is decided. It is not decided while an attempt is in flight, or while the
// shard waits for a leaf: pollAt is then the time at which the query looks for a leaf again.
func (q *Query) decideSingle() (Outcome, bool) {
	s := &q.shards[0]
	switch {
	case s.answer != 0:
		return Outcome{Verdict: Answered, Attempt: s.answer}, true
	case s.inFlight > 0 || !s.pollAt.IsZero():
		return Outcome{}, false
	default:
		return q.failureOutcome(Unknown), true
	}
}

// failureOutcome returns the outcome of a query without a sufficient answer. Its verdict is
//   - LeafFailed, if a leaf answered a request to a single service with a failure;
//   - verdictIfRun, if an attempt of this VM may have run, or another VM may have made one;
//   - NotRun otherwise: no leaf ran the request.
func (q *Query) failureOutcome(verdictIfRun Verdict) Outcome {
	if q.failedAttempt != 0 && !q.spec.Gathered {
		return Outcome{Verdict: LeafFailed, Attempt: q.failedAttempt}
	}
	if q.mayHaveRun() {
		return Outcome{Verdict: verdictIfRun}
	}
	return Outcome{Verdict: NotRun, RetryAfter: q.retryAfterOrDefault()}
}

// Bounds and default of the delay after which a refused caller should retry.
const (
	// defaultRetryAfterShare is the delay after which a refused caller should retry if no VM
	// gave one with its refusal, as a share of the latency objective. It is about the time
	// in which the queue of a leaf drains.
	defaultRetryAfterShare = 0.25
	minRetryAfter          = 10 * time.Millisecond // shortest delay after which a refused caller should retry
	maxRetryAfter          = time.Second           // longest delay after which a refused caller should retry
)

// retryAfterOrDefault returns the delay after which the caller should retry: the one of the VM
// that refused the request, or else the default.
func (q *Query) retryAfterOrDefault() time.Duration {
	if wait := max(q.retryAfter, q.quarantinedFor); wait > 0 {
		return wait
	}
	d := time.Duration(defaultRetryAfterShare * float64(q.spec.LatencyObjective))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// decideGathered returns the outcome of a gathered request and whether it is decided. It is
// decided, and the query ends,
//   - when all shards are answered;
//   - when enough shards are answered and no other one can be answered any more;
//   - when too few shards can be answered, which is a failure (see hopelessAttempts);
//   - from AnswerBy on, as soon as enough shards are answered.
func (q *Query) decideGathered(now time.Time) (Outcome, bool) {
	answered, possible, delayed := 0, 0, 0 // possible: shards without an answer that may still get one
	hopeless := q.hopelessAttempts(now)
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.answered():
			answered++
		case s.inFlight > hopeless[i] || !s.pollAt.IsZero() || q.callPending(s):
			possible++
		case s.delayed:
			delayed++
		}
	}
	if possible > 0 || !q.nextCanaryAt.IsZero() {
		possible += delayed // a canary may still answer
	}
	switch {
	case answered == len(q.shards), possible == 0 && q.enough(answered):
		return q.gatheredOutcome(answered), true
	case !q.enough(answered + possible):
		return q.failureOutcome(TooFewShards), true
	case !now.Before(q.spec.AnswerBy) && q.enough(answered):
		return q.gatheredOutcome(answered), true
	}
	return Outcome{}, false
}

// hopelessAttempts returns how many attempts in flight get no answer any more, by shard. None is counted
// before AnswerBy: until then another attempt may be made. A leaf stops when the time of an attempt is
// over. Where it does not say so, the attempt stays in flight for longer, to find out whether the
// leaf is alive. A request for which too few shards are left ends without waiting for that.
func (q *Query) hopelessAttempts(now time.Time) map[int]int {
	if now.Before(q.spec.AnswerBy) {
		return nil
	}
	if q.dueSince.IsZero() {
		q.dueSince = now
	}
	var list map[int]int
	transit := q.answerTransit(now)
	for _, a := range q.attempts {
		if now.Before(later(a.until, q.dueSince).Add(transit)) {
			continue
		}
		if list == nil {
			list = make(map[int]int)
		}
		list[a.shard]++
	}
	return list
}

// nextHopeless returns when the next attempt in flight becomes hopeless, zero if that is before AnswerBy
// or never.
func (q *Query) nextHopeless(now time.Time) time.Time {
	var next time.Time
	if !q.spec.Gathered || now.Before(q.spec.AnswerBy) {
		return next
	}
	transit := q.answerTransit(now)
	for _, a := range q.attempts {
		if at := later(a.until, q.dueSince).Add(transit); at.After(now) {
			next = earlier(next, at)
		}
	}
	return next
}

// lastOwnTime is the own time of the last answer that a VM reads of many that arrive together, as a
// multiple of the median one.
const lastOwnTime = 2

// answerTransit returns how long an answer may take from a leaf until this VM has read it.
func (q *Query) answerTransit(now time.Time) time.Duration {
	leafTime, typical := q.leafTime(now)
	return callRoundTrip + lastOwnTime*(typical-leafTime)
}

// callPending reports whether the VM that was called for a shard may still answer it. This
// includes a call that failed over: the called VM may be slow rather than stopped. Its answer may
// be the only one, since the budget of hedges and retries may not have allowed direct requests to
// leafs.
func (q *Query) callPending(s *shard) bool {
	return s.call != 0 && !q.calls[s.call].finished
}

// answered returns the number of shards that have an answer.
func (q *Query) answered() int {
	n := 0
	for i := range q.shards {
		if q.shards[i].answered() {
			n++
		}
	}
	return n
}

// enough reports whether n answered shards are sufficient for an answer.
func (q *Query) enough(n int) bool {
	return n > 0 && float64(n) >= q.spec.MinShare*float64(len(q.shards))
}

// gatheredOutcome returns the outcome of a gathered request that is answered; answered is the
// number of its shards with an answer. The outcome lists the answers of other VMs that are used,
// and the answers of leafs for the shards that none of these includes.
func (q *Query) gatheredOutcome(answered int) Outcome {
	out := Outcome{Verdict: Answered, Missing: len(q.shards) - answered}
	for i := range q.shards {
		s := &q.shards[i]
		if s.includedAnswer == 0 && s.answer != 0 {
			out.Parts = append(out.Parts, s.answer)
		}
	}
	for n, ans := range q.callAnswers {
		if ans.used {
			out.CallAnswers = append(out.CallAnswers, n)
		}
	}
	return out
}

// atDeadline returns the outcome of a query that reaches its deadline: an answer if enough
// shards of a gathered request are answered, and a failure otherwise.
func (q *Query) atDeadline() Outcome {
	answered := q.answered()
	if q.spec.Gathered && q.enough(answered) {
		return q.gatheredOutcome(answered)
	}
	return q.failureOutcome(TimedOut)
}
