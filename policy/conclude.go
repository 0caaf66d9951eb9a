package policy

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// finishOrRestart appends to acts the actions that finish the query, or start another
// pass, if either is due. A pass queries all shards of one snapshot. Open shards may still
// answer, lost shards no longer.
func (q *Query) finishOrRestart(now time.Time, acts []Action) []Action {
	open := q.phases[phaseOpen]
	lost := q.phases[phaseLost] + q.phases[phaseNoHolder]
	switch {
	case open == 0 && lost == 0: // every shard has answered
		return append(acts, q.finish(now, EndComplete)...)
	case q.phases[phaseNoHolder] > 0 && q.mayRestart(now): // another snapshot may have all shards
		return append(acts, q.restart(now)...)
	case open == 0: // no further answer can arrive
		return append(acts, q.finish(now, EndExhausted)...)
	case q.reachableCoverage(lost) < q.spec.MinCoverage: // too many shards are lost
		return append(acts, q.finish(now, EndExhausted)...)
	}
	if q.sufficient(now) {
		return append(acts, q.finish(now, EndSufficient)...)
	}
	return acts
}

// reachableCoverage returns the share of shards, 0 to 1, that is read if lost is the
// number of shards that get no answer.
func (q *Query) reachableCoverage(lost int) float64 {
	return float64(len(q.shards)-lost) / float64(len(q.shards))
}

// sufficient reports whether a query that has not read all shards may finish: its coverage has
// reached Spec.MinCoverage, and the grace period since then has passed. It records when
// MinCoverage was reached. It is called only while some shard may still answer.
func (q *Query) sufficient(now time.Time) bool {
	if ratio(q.fullShards, q.partialShare, len(q.shards)) < q.spec.MinCoverage {
		return false
	}
	if q.sufficientAt.IsZero() {
		q.sufficientAt = now
	}
	return !now.Before(q.sufficientAt.Add(q.spec.Grace))
}

// mayRestart reports whether the query may be restarted on another snapshot, and an attempt
// with the median latency would end before the query's deadline. A query is not restarted
// if its snapshot is pinned, with Spec.Plain, or after maxRestarts restarts.
func (q *Query) mayRestart(now time.Time) bool {
	if q.spec.PinnedSnapshot != "" || q.spec.Plain || q.restarts >= maxRestarts {
		return false
	}
	median, _ := q.table.Latency.Quantile(now, 0.5)
	return now.Add(median).Before(q.spec.Deadline)
}

// restart starts the whole query again on another snapshot. A query never mixes two
// snapshots: when replicas of its snapshot are lost, the answers so far are dropped.
// If no other snapshot is a better choice, the query stays with the current one.
func (q *Query) restart(now time.Time) []Action {
	snap, ok := q.table.ChooseSnapshot(now)
	if !ok || snap.Name == q.snapshot.Name {
		return q.continuePass(now)
	}
	q.restarts++
	acts := q.cancelWhere(now, func(*attempt) bool { return true })
	return append(acts, q.startPass(now, snap)...)
}

// continuePass continues with the current snapshot without the lost shards, which can no
// longer answer. It finishes the query if no shard can answer any more, if the coverage can
// no longer reach MinCoverage, or if it is sufficient.
func (q *Query) continuePass(now time.Time) []Action {
	lost := q.phases[phaseLost] + q.phases[phaseNoHolder]
	if q.phases[phaseOpen] == 0 || q.reachableCoverage(lost) < q.spec.MinCoverage {
		return q.finish(now, EndExhausted)
	}
	if q.sufficient(now) {
		return q.finish(now, EndSufficient)
	}
	return nil
}

// finish ends the query: it cancels the attempts in flight and returns Finish, with the
// outcome, as the last action.
func (q *Query) finish(now time.Time, reason EndReason) []Action {
	acts := q.cancelWhere(now, func(*attempt) bool { return true })
	q.done = true
	return append(acts, Finish{Outcome: Outcome{
		End:        reason,
		Snapshot:   q.snapshot,
		Coverage:   CoverageOf(q),
		Answers:    q.collectAnswers(),
		Sent:       q.sent,
		Refused:    q.refused,
		Shed:       q.shed,
		Hedges:     q.hedges,
		Retries:    q.retries,
		Restarts:   q.restarts,
		LastAnswer: q.lastAnswer,
	}})
}

// Abandon ends a query whose caller disconnected.
func (q *Query) Abandon(now time.Time) []Action {
	if q.done {
		return nil
	}
	return q.finish(now, EndAbandoned)
}

// collectAnswers returns the answers from the snapshot of the current pass, in order of
// shards.
func (q *Query) collectAnswers() []*target.LeafAnswer {
	var list []*target.LeafAnswer
	for i := range q.shards {
		if a := q.shards[i].answer; a != nil {
			list = append(list, a)
		}
	}
	return slices.Clip(list)
}
