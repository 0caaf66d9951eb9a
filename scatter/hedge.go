package scatter

import "time"

// hedgeReserve is the number of arrivals in the budget that hedges leave for retries: a hedge
// saves time, a retry saves the answer.
const hedgeReserve = 1

// Parameters of the time to hedge.
const (
	hedgeQuantile     = 0.9  // of recent durations; pauses of leafs lie beyond it
	hedgeFactor       = 1.3  // multiple of that quantile, so that ordinary variation causes few hedges
	hedgeLatestShare  = 0.4  // of the latency objective: later, the second answer would be late as well
	hedgeDefaultShare = 0.35 // of the latency objective, until durations are known
	minHedgeDelay     = 4 * time.Millisecond

	// hedgeAnswerFactor is the time that a second answer is given, as a multiple of that
	// quantile, and hedgeSlack is added for the network. A part of a gathered answer is
	// useful until AnswerBy, and the answer to a hedge is traffic from another zone. So a
	// hedge is sent as late as its answer may still be in time: many slow leafs have
	// answered by then.
	hedgeAnswerFactor = 2.5
	hedgeSlack        = 4 * time.Millisecond
)

// hedgeDelay returns how long an attempt at a leaf may take before a second leaf is tried.
//
// A leaf that states that its machine is slow gets proportionally longer. It is still hedged
// while a second answer that takes the quantile would be in time, or after half of the time if
// none would be: where many leafs are slow, the quantile over all leafs may lie beyond
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

// hedgeRetryPause is the time until a hedge that was due, but had no idle leaf or no budget,
// is tried again.
const hedgeRetryPause = 6 * time.Millisecond

// hedge sends a second attempt for each shard whose first attempt is slow.
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
	return s.inFlight == 1 && !s.answered() && !s.hedged && s.possibleRuns < q.spec.MaxAttempts
}

// nextHedge returns when the first hedge is due, zero if none will be.
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
