package scatter

import (
	"slices"
	"strconv"
	"time"

	"github.com/bramleybarrow/bramleybarrow/quarantine"
)

// Requests that end leafs.
//
// The process of a leaf may end because of the request that it runs. Each further attempt, on any
// shard, by any VM, and for each attempt of the client, then ends one more. So before each attempt the
// query asks the VM's quarantine.Guard, which counts ended leafs by the content of requests.

const (
	// heldPollInterval is the time between two checks of a shard that is held back until it is known
	// whether the request ends leafs.
	heldPollInterval = 2 * time.Millisecond
	// answerWaitFactor is how long an attempt in flight may still show that the request does not end
	// leafs, as a multiple of its usual duration.
	answerWaitFactor = 2
	// minAnswerWait is the shortest such time.
	minAnswerWait = 20 * time.Millisecond
)

// Guard returns the guard that decides which requests may be sent to leafs.
func (t *Table) Guard() *quarantine.Guard { return t.guard }

// leafName returns the name of a leaf's incarnation in the guard.
func leafName(id LeafID) string { return id.ID + "/" + strconv.FormatInt(id.Born, 10) }

// RecordLost records that the leaf's end closed the connection of an attempt. RecordChecked has to
// follow.
func (t *Table) RecordLost(now time.Time, content quarantine.Fingerprint, id LeafID, sentAt time.Time) {
	t.guard.Lost(now, content, leafName(id), sentAt)
}

// RecordChecked records whether a leaf has ended whose connection was lost.
func (t *Table) RecordChecked(now time.Time, content quarantine.Fingerprint, id LeafID, ended bool) {
	t.guard.Checked(now, content, leafName(id), ended)
}

// RecordEnd records how an attempt ended whose connection was not lost.
func (t *Table) RecordEnd(now time.Time, content quarantine.Fingerprint, id LeafID, sentAt time.Time, end End) {
	switch {
	case !t.guard.Knows(content):
	case end == EndAnswered || end == EndFailed:
		t.guard.Answered(now, content, leafName(id), sentAt)
	default:
		t.guard.Done(now, content, leafName(id), sentAt)
	}
}

// evidence returns what the query knows of its own request.
func (q *Query) evidence(now time.Time) quarantine.Evidence {
	typical, _ := q.table.typicalDuration(now, q.durationKey())
	wait := max(answerWaitFactor*typical, minAnswerWait)
	known := quarantine.Evidence{Sent: q.sent > 0, Lost: q.broken, Answered: q.answered() > 0}
	for _, a := range q.attempts {
		known.InFlight = known.InFlight || now.Sub(a.sentAt) < wait
	}
	for _, c := range q.calls {
		known.Pending = known.Pending || !c.finished
	}
	return known
}

// holdsBack reports whether no attempt on the shard may be made now, since the request ends leafs or
// may do so. The shard is then closed or checked again, unless the attempt is a hedge or another one
// is in flight.
func (q *Query) holdsBack(now time.Time, s *shard, reason AttemptReason) bool {
	if !q.table.guard.Knows(q.spec.Content) {
		return false
	}
	decision, left := q.table.guard.Decide(now, q.spec.Content, q.evidence(now))
	switch {
	case decision == quarantine.Free || decision == quarantine.Trial && reason != Hedge:
		return false
	case reason == Hedge || s.inFlight > 0:
	case decision == quarantine.Refuse:
		q.quarantinedFor = max(q.quarantinedFor, left)
		s.close(GapQuarantined)
	case !now.Before(q.waitUntil()):
		s.close(GapQuarantined)
	default:
		q.setPollAt(s, now.Add(heldPollInterval))
	}
	return true
}

// refuseQuarantined ends a query at its start if its request is quarantined.
func (q *Query) refuseQuarantined(now time.Time) []Action {
	if !q.table.guard.Knows(q.spec.Content) {
		return nil
	}
	decision, left := q.table.guard.Decide(now, q.spec.Content, quarantine.Evidence{})
	if decision != quarantine.Refuse {
		return nil
	}
	q.quarantinedFor = left
	for i := range q.shards {
		q.shards[i].close(GapQuarantined)
	}
	return q.finish(q.failureOutcome(TooFewShards))
}

// mayCallVMs reports whether other VMs may be called for the request. One that is sent to one leaf at
// a time is sent by this VM alone.
func (q *Query) mayCallVMs(now time.Time) bool { return !q.table.guard.Suspects(now, q.spec.Content) }

// quarantined reports whether a shard was closed since the request ends leafs.
func (q *Query) quarantined() bool {
	return slices.ContainsFunc(q.shards, func(s shard) bool { return s.closed && s.gap == GapQuarantined })
}
