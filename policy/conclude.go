package policy

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// finishOrRestart appends a Finish, or the start of another pass, where that is due.
func (q *Query) finishOrRestart(now time.Time, acts []Action) []Action {
	open := q.phases[phaseOpen]
	lost := q.phases[phaseLost] + q.phases[phaseNoHolder]
	switch {
	case open == 0 && lost == 0:
		return append(acts, q.finish(now, EndComplete)...)
	case q.phases[phaseNoHolder] > 0 && q.mayRestart(now):
		return append(acts, q.restart(now)...)
	case open == 0:
		return append(acts, q.finish(now, EndInsufficient)...)
	case q.reachableCoverage(lost) < q.spec.MinCoverage:
		return append(acts, q.finish(now, EndInsufficient)...)
	}
	if q.sufficient(now) {
		return append(acts, q.finish(now, EndSufficient)...)
	}
	return acts
}

// reachableCoverage is the coverage that can still be reached with lost shards missing.
func (q *Query) reachableCoverage(lost int) float64 {
	return float64(len(q.shards)-lost) / float64(len(q.shards))
}

// sufficient reports whether the needed coverage, short of all shards, is reached
// and the grace has passed.
func (q *Query) sufficient(now time.Time) bool {
	if ratio(q.fullShards, q.partialShare, len(q.shards)) < q.spec.MinCoverage {
		return false
	}
	if q.sufficientAt.IsZero() {
		q.sufficientAt = now
	}
	return !now.Before(q.sufficientAt.Add(q.spec.Grace))
}

// mayRestart reports whether the query may begin again, and has the time for
// the slower half of a pass.
func (q *Query) mayRestart(now time.Time) bool {
	if q.spec.PinnedSnapshot != "" || q.spec.Plain || q.restarts >= maxRestarts {
		return false
	}
	median, _ := q.table.Latency.Quantile(now, 0.5)
	return now.Add(median).Before(q.spec.Deadline)
}

// restart begins the whole query again on another snapshot. A query never mixes
// two: when replicas of its snapshot vanish beneath it, the answers it has are
// dropped. It finishes instead if no other snapshot can be read better.
func (q *Query) restart(now time.Time) []Action {
	snap, ok := q.table.ChooseSnapshot(now)
	if !ok || snap.Name == q.snapshot.Name {
		return q.continuePass(now)
	}
	q.restarts++
	acts := q.cancelWhere(now, func(*attempt) bool { return true })
	return append(acts, q.startPass(now, snap)...)
}

// continuePass goes on with the present snapshot without the shards that are lost.
func (q *Query) continuePass(now time.Time) []Action {
	lost := q.phases[phaseLost] + q.phases[phaseNoHolder]
	if q.phases[phaseOpen] == 0 || q.reachableCoverage(lost) < q.spec.MinCoverage {
		return q.finish(now, EndInsufficient)
	}
	if q.sufficient(now) {
		return q.finish(now, EndSufficient)
	}
	return nil
}

func (q *Query) finish(now time.Time, how EndReason) []Action {
	acts := q.cancelWhere(now, func(*attempt) bool { return true })
	q.done = true
	return append(acts, Finish{Outcome: Outcome{
		End:        how,
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

// Abandon ends a query whose caller went away.
func (q *Query) Abandon(now time.Time) []Action {
	if q.done {
		return nil
	}
	return q.finish(now, EndAbandoned)
}

func (q *Query) collectAnswers() []*target.LeafAnswer {
	var list []*target.LeafAnswer
	for i := range q.shards {
		if a := q.shards[i].answer; a != nil {
			list = append(list, a)
		}
	}
	return slices.Clip(list)
}
