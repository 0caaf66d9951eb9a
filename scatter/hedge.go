package scatter

import "time"

// hedgeReserve is what hedges leave of the budget for retries: a hedge saves time, a
// retry saves the answer.
const hedgeReserve = 1

// Parameters of the moment to hedge.
const (
	hedgeQuantile     = 0.9  // of recent durations; beyond it lie the pauses of leafs
	hedgeFactor       = 1.3  // times that quantile, so that spread alone hedges little
	hedgeLatestShare  = 0.4  // of the aim: later, the second answer would be late as well
	hedgeDefaultShare = 0.35 // of the aim, until durations are known
	minHedgeDelay     = 4 * time.Millisecond

	// hedgeAnswerFactor is how many times that quantile a second answer is given, and
	// hedgeSlack what is added for the way. A part of a gathered answer is of use
	// until AnswerBy, and a hedge is an answer's bytes from another zone: it is sent
	// as late as it may still be in time, since of the leafs that are slow many have
	// answered by then.
	hedgeAnswerFactor = 2.5
	hedgeSlack        = 4 * time.Millisecond
)

// hedgeDelay is how long an attempt at a leaf may take before a second leaf is asked.
//
// A leaf that states that its machine is slow is given as much longer. It is hedged
// nonetheless while a second answer that takes the quantile is still in time, or at half of
// the time if none would be: where many leafs are slow, the quantile of all may lie beyond
// AnswerBy.
func (q *Query) hedgeDelay(now time.Time, l *leaf) time.Duration {
	d, known := q.table.durationsOf(q.durationKey()).Quantile(now, hedgeQuantile)
	if !known {
		return time.Duration(hedgeDefaultShare * float64(q.spec.LatencyObjective))
	}
	pace := max(l.slowdown.statedFactor(now), 1)
	delay := max(time.Duration(hedgeFactor*pace*float64(d)), minHedgeDelay)
	if !q.spec.Gathered {
		return min(delay, time.Duration(hedgeLatestShare*float64(q.spec.LatencyObjective)))
	}
	window := q.spec.AnswerBy.Sub(q.startedAt) - hedgeSlack
	inTime := window - time.Duration(hedgeAnswerFactor*float64(d))
	last := max(window-d, window/2)
	return max(min(delay, last), inTime, minHedgeDelay)
}

// hedgeRetryPause is how soon a hedge that was due, but had no idle leaf or no budget, is
// tried again.
const hedgeRetryPause = 6 * time.Millisecond

// hedge asks a second leaf of each shard whose first one is slow.
func (q *Query) hedge(now time.Time) []Action {
	if !q.hedgingAllowed() || now.Before(q.hedgeRetryAt) {
		return nil
	}
	var acts []Action
	for i := range q.shards {
		s := &q.shards[i]
		if !q.mayHedge(s) || now.Before(s.hedgeAt) {
			continue
		}
		sent := q.trySend(now, i, Hedge)
		if len(sent) == 0 {
			q.hedgeRetryAt = now.Add(hedgeRetryPause)
		}
		acts = append(acts, sent...)
	}
	return acts
}

func (q *Query) hedgingAllowed() bool { return q.spec.Idempotent && q.spec.MaxAttempts > 1 }

func (q *Query) mayHedge(s *shard) bool {
	return s.inFlight == 1 && !s.answered() && !s.hedged && s.maybeRan < q.spec.MaxAttempts
}

// nextHedge returns when the first hedge falls due, zero if none will.
func (q *Query) nextHedge() time.Time {
	if !q.hedgingAllowed() {
		return time.Time{}
	}
	var first time.Time
	for i := range q.shards {
		if s := &q.shards[i]; q.mayHedge(s) {
			first = earlier(first, s.hedgeAt)
		}
	}
	if first.IsZero() {
		return first
	}
	return later(first, q.hedgeRetryAt)
}
