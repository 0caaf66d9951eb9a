package scatter

import "time"

// hedgeBudgetReserve is the number of extra arrivals in the budget that hedges must leave for
// retries: a hedge saves time, a retry saves the answer.
const hedgeBudgetReserve = 1

// Parameters of the hedge delay: the time from an attempt at a leaf until a second attempt, the
// hedge, is sent to another leaf.
const (
	// hedgeDurationQuantile is the quantile of recent durations of requests to leafs from
	// which the delay is computed. Pauses of leafs lie beyond it.
	hedgeDurationQuantile = 0.9
	// hedgeDurationFactor is the hedge delay as a multiple of that quantile of recent
	// durations. It is high enough that ordinary variation causes few hedges.
	hedgeDurationFactor = 1.3
	// maxHedgeDelayShare is the longest hedge delay of a request to a single service, as a
	// share of the latency objective. After a longer one, the answer to the hedge would be
	// late too.
	maxHedgeDelayShare = 0.4
	// defaultHedgeDelayShare is the hedge delay while too few durations are known, as a
	// share of the latency objective.
	defaultHedgeDelayShare = 0.35
	minHedgeDelay          = 4 * time.Millisecond // shortest hedge delay computed from durations

	// hedgeAnswerTimeFactor is the time that the answer to a hedge of a gathered request is
	// given, as a multiple of the quantile of recent durations. A part of a gathered answer
	// is useful until AnswerBy, and the answer to a hedge is traffic from another zone. So a
	// hedge is sent as late as its answer may still be in time: many slow leafs have
	// answered by then.
	hedgeAnswerTimeFactor = 2.5
	// hedgeNetworkTime is the part of the time until AnswerBy that is kept for the network,
	// and not given to the leaf that gets the hedge.
	hedgeNetworkTime = 4 * time.Millisecond
)

// hedgeDelay returns how long an attempt at a leaf may take before a second leaf is tried. It
// is a multiple of a high quantile of recent durations, and longer in proportion for a leaf that
// reports that its machine is slow.
//
// For a gathered request, the delay is extended to the time at which a hedge that takes
// hedgeAnswerTimeFactor times the quantile is just in time for AnswerBy. A longer delay is cut to
// the time at which a hedge that takes the quantile is just in time. Where many leafs are slow,
// the quantile may lie beyond AnswerBy, and no hedge would be in time. Therefore the delay is
// never cut below half of the time until AnswerBy.
func (q *Query) hedgeDelay(now time.Time, l *leaf) time.Duration {
	d, known := q.table.durationsOf(q.durationKey()).Quantile(now, hedgeDurationQuantile)
	if !known {
		return time.Duration(defaultHedgeDelayShare * float64(q.spec.LatencyObjective))
	}
	pace := max(l.slowdown.reportedFactor(now), 1)
	delay := max(time.Duration(hedgeDurationFactor*pace*float64(d)), minHedgeDelay)
	if !q.spec.Gathered {
		return min(delay, time.Duration(maxHedgeDelayShare*float64(q.spec.LatencyObjective)))
	}
	// window is the time from the start of the query in which an answer is in time. inTime
	// and last are the latest delays after which a hedge is in time if it takes
	// hedgeAnswerTimeFactor times the quantile, and the quantile itself.
	window := q.spec.AnswerBy.Sub(q.startedAt) - hedgeNetworkTime
	inTime := window - time.Duration(hedgeAnswerTimeFactor*float64(d))
	last := max(window-d, window/2)
	return max(min(delay, last), inTime, minHedgeDelay)
}

// hedgeRetryPause is the time until hedges are tried again after one was due but could not be
// sent, since no leaf was idle or the budget was used up.
const hedgeRetryPause = 6 * time.Millisecond

// hedge sends a second attempt for each shard whose only attempt in flight takes longer than
// the hedge delay.
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

// hedgingAllowed reports whether the request may run on two leafs at the same time.
func (q *Query) hedgingAllowed() bool { return q.spec.Idempotent && q.spec.MaxAttempts > 1 }

// mayHedge reports whether a hedge may be sent for a shard once its hedge delay is over: exactly
// one attempt is in flight, there was no hedge, and another leaf may run the request.
func (q *Query) mayHedge(s *shard) bool {
	return s.inFlight == 1 && !s.answered() && !s.hedged && s.possibleRuns < q.spec.MaxAttempts
}

// nextHedge returns when the next hedge of the query is due, or the zero time if no attempt in
// flight may be hedged.
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
