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
	// lateFactor is the multiple of the usual duration of an attempt after which its leaf may be silent, and
	// minLateTime is the shortest such time.
	lateFactor  = 3
	minLateTime = 30 * time.Millisecond
	// maxVMsToldOfOneSilence is the number of other VMs up to which they are told of a single leaf that may be silent.
	maxVMsToldOfOneSilence = 16
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

// RecordAlive records that a leaf is alive whose connection was lost.
func (t *Table) RecordAlive(now time.Time, content quarantine.Fingerprint, id LeafID) {
	t.guard.FoundAlive(now, content, leafName(id))
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

// RecordSilent records that an attempt was given up without any sign of its leaf. answered says that leafs have
// answered its request otherwise.
func (t *Table) RecordSilent(now time.Time, content quarantine.Fingerprint, id LeafID, sentAt time.Time, answered bool) {
	t.guard.Done(now, content, leafName(id), sentAt)
	t.guard.GivenUp(now, content, t.silence(id, sentAt), answered)
}

// silence returns the silence of a leaf to which a request was sent.
func (t *Table) silence(id LeafID, sentAt time.Time) quarantine.Silence {
	s := quarantine.Silence{Leaf: leafName(id), SentAt: sentAt}
	if l := t.findLeaf(id); l != nil {
		s.Zone = l.Zone
	}
	return s
}

// lateTime returns how long an attempt of the query may take before its leaf may be silent.
func (q *Query) lateTime(now time.Time) time.Duration {
	typical, known := q.table.typicalDuration(now, q.durationKey())
	if known {
		typical *= lateFactor
	}
	return max(typical, minLateTime)
}

// recordLate records the attempts that have had no answer for long, unless leafs have answered the request otherwise.
// Other VMs are told where the request has no other attempt that may answer soon.
func (q *Query) recordLate(now time.Time) {
	if len(q.attempts) == 0 || q.spec.Content.IsZero() || q.answered() > 0 {
		return
	}
	limit := q.lateTime(now)
	late, news := 0, false
	for _, a := range q.attempts {
		if now.Sub(a.sentAt) < limit {
			continue
		}
		late++
		if !a.late && !now.Before(a.lateAt) {
			news = q.table.guard.Late(now, q.spec.Content, q.table.silence(a.leaf, a.sentAt)) || news
			a.late = q.table.guard.HasLost(now, q.spec.Content, leafName(a.leaf))
			a.lateAt = now.Add(minLateTime)
		}
	}
	if news && (q.canary || !q.spec.Gathered || q.mayLoseAll() && late == len(q.attempts)) {
		// In a large fleet, a single leaf that may be slow is not worth the messages.
		lost, others := q.table.guard.LostLeafs(now, q.spec.Content)
		if len(q.table.vms) <= maxVMsToldOfOneSilence || len(lost)+others > 1 {
			q.table.guard.Tell(now, q.spec.Content)
		}
	}
}

// nextLate returns when the next attempt has had no answer for long, zero for never.
func (q *Query) nextLate(now time.Time) time.Time {
	var next time.Time
	if q.spec.Content.IsZero() || q.answered() > 0 {
		return next
	}
	limit := q.lateTime(now)
	for _, a := range q.attempts {
		if !a.late {
			next = earlier(next, later(a.sentAt.Add(limit), a.lateAt))
		}
	}
	return next
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
