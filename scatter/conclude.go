package scatter

import "time"

// conclude ends the query if its course is decided, and returns acts otherwise.
func (q *Query) conclude(now time.Time, acts []Action) []Action {
	if q.done {
		return nil
	}
	out, decided := q.decide(now)
	if !decided {
		return acts
	}
	return append(acts, q.finish(out)...)
}

func (q *Query) finish(out Outcome) []Action {
	q.done = true
	if q.spec.Gathered {
		out.Gaps = q.gaps()
	}
	for i := range q.shards {
		q.schedulePoll(&q.shards[i], time.Time{})
	}
	out.Refusal = q.refusal
	out.Sent, out.Hedges, out.Retries, out.Called = q.sent, q.hedges, q.retries, len(q.calls)
	return []Action{Finish{Outcome: out}}
}

func (q *Query) decide(now time.Time) (Outcome, bool) {
	if q.spec.Gathered {
		return q.decideGathered(now)
	}
	return q.decideSingle()
}

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

// failureOutcome is the outcome of a query without an answer. Only if no attempt may have
// run is the caller told so; mayHaveRun is the verdict otherwise.
func (q *Query) failureOutcome(mayHaveRun Verdict) Outcome {
	if q.failedAttempt != 0 && !q.spec.Gathered {
		return Outcome{Verdict: LeafFailed, Attempt: q.failedAttempt}
	}
	for i := range q.shards {
		if s := &q.shards[i]; s.maybeRan > 0 || s.call != 0 || s.redelegated {
			return Outcome{Verdict: mayHaveRun}
		}
	}
	return Outcome{Verdict: NotRun, RetryAfter: q.retryAfterOrDefault()}
}

// Bounds of what a refused caller is told.
const (
	retryAfterShare = 0.25 // of the aim, about the time in which a queue drains
	minRetryAfter   = 10 * time.Millisecond
	maxRetryAfter   = time.Second
)

func (q *Query) retryAfterOrDefault() time.Duration {
	if q.retryAfter > 0 {
		return q.retryAfter
	}
	d := time.Duration(retryAfterShare * float64(q.spec.LatencyObjective))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func (q *Query) decideGathered(now time.Time) (Outcome, bool) {
	answered, possible := 0, 0
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.answered():
			answered++
		case s.inFlight > 0 || !s.pollAt.IsZero() || q.callPending(s):
			possible++
		}
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

// callPending reports whether another VM may yet answer a shard, also one that has been
// overtaken: it may be slow rather than gone, and the budget may not have allowed to ask
// leafs directly.
func (q *Query) callPending(s *shard) bool {
	return s.call != 0 && !q.calls[s.call].finished
}

// answered returns how many shards have an answer.
func (q *Query) answered() int {
	n := 0
	for i := range q.shards {
		if q.shards[i].answered() {
			n++
		}
	}
	return n
}

// enough reports whether n shards make an answer.
func (q *Query) enough(n int) bool {
	return n > 0 && float64(n) >= q.spec.MinShare*float64(len(q.shards))
}

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

func (q *Query) atDeadline() Outcome {
	answered := q.answered()
	if q.spec.Gathered && q.enough(answered) {
		return q.gatheredOutcome(answered)
	}
	return q.failureOutcome(TimedOut)
}
