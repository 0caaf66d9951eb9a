package scatter

import "time"

// Spare of gathered requests.
//
// An answer may leave some shards out. A shard whose only leafs pause is mostly left out: a second
// attempt at a leaf of another zone is dear, and is made as late as it is still in time. But where
// shards are lost for seconds, they use up what may be left out. Each pause then fails the request, or
// makes it late. So the query counts its spare: the shards that may still be left out, less those that
// are lost. While it is smaller than what pauses usually take, every open shard decides, and
// second attempts are made early.
//
// Each called VM may leave out as many shards as the whole request, so none of them knows that the spare is
// used up elsewhere. The calling VM remembers for a short time which shards were left out, and tells with a
// call that every shard decides. Called VMs refuse no more for it: a shard that was lost may answer.

const (
	// pausedShare is the share of the leafs that usually pause at any moment, from 0 to 1.
	pausedShare = 0.04
	// maxScarceDelayShare is the longest hedge delay while every open shard decides, as a share of
	// the time until AnswerBy. The leaf that gets the hedge may be slow too.
	maxScarceDelayShare = 0.45
	// doubtfulShare is the expected duration of an attempt, as a share of the time until AnswerBy,
	// above which the second attempt follows at once while every open shard decides.
	doubtfulShare = 0.8
	// leftOutMemory is how long a shard counts as lost after a called VM has left it out.
	leftOutMemory = 2 * time.Second
	// scarcityMemory is how long a called VM applies what a calling VM told to other calls.
	scarcityMemory = time.Second
	// earlyHedgeReserveShare is the share of a service's budget of extra arrivals, from 0 to 1, that
	// hedges leave to others while they are earlier than usual. Many of them would prove unneeded.
	earlyHedgeReserveShare = 0.3
)

// reportedScarcity is the latest report of a calling VM that every shard of a kind of request decides. With many
// VMs, each starts few requests, and few know of the lost shards. The VMs that they call learn it from
// those that do. It is not passed on.
type reportedScarcity struct {
	at        time.Time
	omissions int // number of shards of the call that its answer could leave out, if none were lost
}

// applyReportedScarcity determines whether a calling VM has told, with this call or a recent one, that every shard
// decides. A recent one counts only for calls that may leave out as few shards.
func (q *Query) applyReportedScarcity(now time.Time) {
	if !q.spec.Delegated {
		return
	}
	told := &q.table.forecastOf(q.durationKey()).scarce
	omissions := q.omissionsAllowed(len(q.shards))
	if q.spec.Scarce {
		*told = reportedScarcity{at: now, omissions: omissions}
	}
	q.reportedScarce = now.Sub(told.at) < scarcityMemory && omissions <= told.omissions
}

// recordLost records the time at which a called VM has left out shards, or, with a zero time, that it has
// answered them. shards are their indexes.
func (q *Query) recordLost(at time.Time, shards []int) {
	for _, i := range shards {
		if s := q.table.services[q.shards[i].service]; s != nil {
			s.leftOutAt = at
		}
	}
}

// recallLost marks those shards of the given calls as likely lost that called VMs have lately left out.
func (q *Query) recallLost(now time.Time, calls []delegation) {
	for _, d := range calls {
		for _, i := range d.shards {
			s := q.table.services[q.shards[i].service]
			q.shards[i].likelyLost = s != nil && now.Sub(s.leftOutAt) < leftOutMemory
		}
	}
}

// lostShards returns the number of shards without an answer that get none any more or are likely to get
// none, and the number of the others without an answer.
func (q *Query) lostShards() (lost, open int) {
	for i := range q.shards {
		switch s := &q.shards[i]; {
		case s.answered() || s.declined:
		case s.closed && s.inFlight == 0, s.likelyLost:
			lost++
		default:
			open++
		}
	}
	return lost, open
}

// scarce reports whether every open shard of a gathered request decides: shards are lost, and the spare
// is smaller than the number of the other shards that pauses usually take, and than that of the open ones.
func (q *Query) scarce() bool {
	if !q.spec.Gathered {
		return false
	}
	lost, open := q.lostShards()
	if q.reportedScarce {
		return open > 0
	}
	spare := q.omissionsAllowed(len(q.shards)) - lost
	return lost > 0 && spare < open && float64(spare) < pausedShare*float64(len(q.shards)-lost)
}

// scarceHedgeDelay returns the hedge delay of an attempt at a leaf while every open shard decides.
// delay is the one that follows from recent durations.
func (q *Query) scarceHedgeDelay(now time.Time, l *leaf, delay time.Duration) time.Duration {
	window := q.spec.AnswerBy.Sub(now) - hedgeNetworkTime
	typical, _ := q.table.typicalDuration(now, q.durationKey())
	if l.eta(now, typical) > time.Duration(doubtfulShare*float64(window)) {
		return 0
	}
	return max(min(delay, time.Duration(maxScarceDelayShare*float64(window))), minHedgeDelay)
}

// hedgeDue returns when a hedge of the shard's only attempt in flight is due.
func (s *shard) hedgeDue(scarce bool) time.Time {
	if scarce {
		return earlier(s.hedgeAt, s.scarceHedgeAt)
	}
	return s.hedgeAt
}
