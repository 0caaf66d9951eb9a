package scatter

import "time"

// Requests at a VM that stops.
//
// Whatever a VM still serves when its process ends is cut off, and its caller can't know whether it
// ran. The caller's connection ends with this VM, so no other VM could deliver the answer. A request
// is therefore sent to a leaf only if it is expected to end before, also if it was waiting for one when
// the VM was told to stop. Any other one is refused before anything is sent: it has not run, and another
// VM can serve it at once. A request that takes longer than
// expected ends at StopAt as it would at its deadline.

// stopQuantile is the quantile of the durations of recent requests, from 0 to 1, that has to fit into
// the time until this VM stops.
const stopQuantile = 0.95

// boundByStop bounds the query's times by StopAt, and refuses the request if it is not expected to end
// before. It returns nil if the request goes on.
func (q *Query) boundByStop(now time.Time) []Action {
	stop := q.spec.StopAt
	if stop.IsZero() || !q.spec.Deadline.After(stop) {
		return nil
	}
	q.answerBy = q.spec.AnswerBy
	q.spec.Deadline = stop
	q.spec.AnswerBy = earlier(q.spec.AnswerBy, stop)
	return q.refuseAtStop(now)
}

// refuseAtStop refuses the request if this VM stops, the request is not expected to end before, and no
// leaf can have run it. It returns nil if the request goes on.
func (q *Query) refuseAtStop(now time.Time) []Action {
	if !q.endsAtStop() || q.mayHaveRun() {
		return nil
	}
	needed, left := q.expectedDuration(now), q.spec.StopAt.Sub(now)
	if needed <= left {
		return nil
	}
	q.refuse(now, Refusal{Wait: needed, Limit: left, Stopping: true})
	q.retryAfter = minRetryAfter
	return q.finish(q.failureOutcome(NotRun))
}

// endsAtStop reports whether the query ends, at the latest, since this VM does.
func (q *Query) endsAtStop() bool {
	return !q.spec.StopAt.IsZero() && !q.spec.Deadline.Before(q.spec.StopAt)
}

// mayHaveRun reports whether a leaf may have run a part of the request, or another VM may have sent it
// to one.
func (q *Query) mayHaveRun() bool {
	for i := range q.shards {
		if s := &q.shards[i]; s.possibleRuns > 0 || s.call != 0 || s.redelegated {
			return true
		}
	}
	return false
}

// StopsAt handles that this VM was told to stop since the query started, and ends what it serves at the
// given time. A request that waits for a leaf is refused if it is not expected to end before.
func (q *Query) StopsAt(now, stop time.Time) []Action {
	if q.done {
		return nil
	}
	q.spec.StopAt = stop
	return q.boundByStop(now)
}

// expectedDuration returns how long the request takes with the leafs' present load, or as most recent
// ones of its kind took if that is longer. Before there are enough of these, it is the latency
// objective.
func (q *Query) expectedDuration(now time.Time) time.Duration {
	expected, known := q.table.durationsOf(q.durationKey()).Quantile(now, stopQuantile)
	if !known {
		expected = q.spec.LatencyObjective
	}
	if q.spec.Gathered {
		// It would be answered at this time with the parts received so far.
		return min(expected, max(q.answerBy.Sub(now), 0))
	}
	typical, _ := q.table.typicalDuration(now, q.durationKey())
	if eta := q.eta(now, &q.shards[0], typical, typical); eta < never {
		expected = max(expected, eta)
	}
	return expected
}

// Stop ends the query since this VM stops, with the outcome that it would have at its deadline.
func (q *Query) Stop(now time.Time) []Action {
	if q.done {
		return nil
	}
	q.retryAfter = minRetryAfter
	out := q.atDeadline()
	out.Stopped = true
	for _, a := range q.attempts {
		out.AtWork = max(out.AtWork, now.Sub(a.sentAt))
	}
	return q.finish(out)
}
