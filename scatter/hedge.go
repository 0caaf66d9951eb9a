package scatter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// hedgeBudgetReserve is the number of extra arrivals that hedges must leave in the budget for
// retries. An extra arrival is a request that reaches a leaf again, as a hedge or a retry. Retries
// come first, since a hedge saves time, but a retry saves the answer.
const hedgeBudgetReserve = 1

// Parameters of the hedge delay: the time from an attempt at a leaf until a second attempt, the
// hedge, is sent to another leaf.
const (
	// hedgeDurationQuantile is a quantile of the recent durations of requests to leafs, from
	// 0 to 1. The hedge delay is computed from it. Requests that a pause of a leaf delays
	// take longer than this quantile.
	hedgeDurationQuantile = 0.9
	// hedgeDurationFactor is the hedge delay as a multiple of the hedgeDurationQuantile of
	// recent durations. It is high enough that ordinary variation causes few hedges.
	hedgeDurationFactor = 1.3
	// maxHedgeDelayShare is the longest hedge delay of a request to a single service, as a
	// share of the latency objective. After a longer one, the answer to the hedge would be
	// late too.
	maxHedgeDelayShare = 0.4
	// defaultHedgeDelayShare is the hedge delay while too few durations are known, as a
	// share of the latency objective.
	defaultHedgeDelayShare = 0.35
	// minHedgeDelay is the shortest hedge delay that is computed from recent durations.
	minHedgeDelay = 4 * time.Millisecond

	// hedgeAnswerTimeFactor is the time that a hedge of a gathered request is given for its
	// answer, as a multiple of the hedgeDurationQuantile of recent durations. No hedge is
	// sent earlier than this time before AnswerBy, when the request is answered with the
	// parts received so far. By then, many slow leafs have answered and need no hedge, whose
	// answer would be traffic from another zone.
	hedgeAnswerTimeFactor = 2.5
	// hedgeNetworkTime is the part of the time until AnswerBy, when a gathered request is
	// answered, that is kept for the network and not given to the leaf that gets the hedge.
	hedgeNetworkTime = 4 * time.Millisecond
)

// hedgeDelay returns how long an attempt at a leaf may take before a second leaf is tried. It is
// hedgeDurationFactor times the hedgeDurationQuantile of recent durations. For a leaf that
// reports that its machine is slow, it is longer in proportion.
//
// The delay of a gathered request has two more bounds. They depend on AnswerBy, when the request
// is answered with the parts received so far. After the lower bound, a hedge has
// hedgeAnswerTimeFactor times the quantile until AnswerBy; after the upper bound, it has the
// quantile. Where many leafs are slow, the quantile may lie beyond AnswerBy, and no hedge would be
// in time. The upper bound is therefore never less than half of the time from the start to
// AnswerBy.
//
// scarce is the delay while every open shard decides whether the answer suffices (see spare.go).
func (q *Query) hedgeDelay(now time.Time, l *leaf) (usual, scarce time.Duration) {
	d, known := q.table.durationsOf(q.durationKey()).Quantile(now, hedgeDurationQuantile)
	if !known {
		usual = time.Duration(defaultHedgeDelayShare * float64(q.spec.LatencyObjective))
		return usual, q.scarceHedgeDelay(now, l, usual)
	}
	machineSlowdown := max(l.slowdown.reportedFactor(now), 1)
	delay := max(time.Duration(hedgeDurationFactor*machineSlowdown*float64(d)), minHedgeDelay)
	if !q.spec.Gathered {
		usual = min(delay, time.Duration(maxHedgeDelayShare*float64(q.spec.LatencyObjective)))
		return usual, usual
	}
	// window is the time from the first attempts within which an answer of a leaf is in
	// time. If minDelay is above maxDelay, minDelay counts.
	window := q.spec.AnswerBy.Sub(q.askedAt) - hedgeNetworkTime
	minDelay := window - time.Duration(hedgeAnswerTimeFactor*float64(d))
	maxDelay := max(window-d, window/2)
	return max(min(delay, maxDelay), minDelay, minHedgeDelay), q.scarceHedgeDelay(now, l, delay)
}

// hedgeRetryPause is the time for which a query tries no hedge after one was due but could not
// be sent, since no leaf was idle or the budget was used up.
const hedgeRetryPause = 6 * time.Millisecond

// hedge sends a second attempt for each shard whose only attempt in flight takes longer than
// the hedge delay.
func (q *Query) hedge(now time.Time) []Action {
	if !q.hedgingAllowed() || now.Before(q.hedgeRetryAt) {
		return nil
	}
	var acts []Action
	for _, i := range q.dueHedges(now) {
		if q.yieldsHedge(now) {
			q.yielded.Hedges++
			q.hedgeRetryAt = now.Add(hedgeRetryPause)
			break
		}
		early := now.Before(q.shards[i].hedgeAt)
		sent := q.trySend(now, i, Hedge)
		if early {
			q.earlyHedges += len(sent)
		}
		if len(sent) == 0 {
			q.hedgeRetryAt = now.Add(hedgeRetryPause)
		}
		acts = append(acts, sent...)
	}
	return acts
}

// dueHedges returns the indexes of the shards whose hedge is due. While every open shard decides, those
// whose attempt is at the slowest leafs come first: leafs and budget may not suffice for all.
func (q *Query) dueHedges(now time.Time) []int {
	scarce := q.scarce()
	var due []int
	for i := range q.shards {
		if s := &q.shards[i]; q.mayHedge(s) && !now.Before(s.hedgeDue(scarce)) {
			due = append(due, i)
		}
	}
	if scarce {
		slices.SortStableFunc(due, func(a, b int) int { return cmp.Compare(q.doubt(now, b), q.doubt(now, a)) })
	}
	return due
}

// doubt returns the slowdown of the leaf that the latest attempt on the shard with index i was sent to.
func (q *Query) doubt(now time.Time, i int) float64 {
	tried := q.shards[i].tried
	if l := q.table.findLeaf(tried[len(tried)-1]); l != nil {
		return l.slowdown.factor(now)
	}
	return math.Inf(1)
}

// hedgingAllowed reports whether the request may run on two leafs at the same time, and a second answer
// can still matter.
func (q *Query) hedgingAllowed() bool {
	if q.spec.Gathered && q.mayLoseAll() {
		return false
	}
	return q.spec.Idempotent && q.spec.MaxAttempts > 1 && (!q.spec.Gathered || q.extraAttemptDecides())
}

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
	scarce := q.scarce()
	for i := range q.shards {
		if s := &q.shards[i]; q.mayHedge(s) {
			first = earlier(first, s.hedgeDue(scarce))
		}
	}
	if first.IsZero() {
		return first
	}
	return later(first, q.hedgeRetryAt)
}
