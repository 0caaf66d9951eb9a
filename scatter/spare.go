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

const (
	// pausedShare is the share of the leafs that usually pause at any moment, from 0 to 1.
	pausedShare = 0.04
	// maxScarceDelayShare is the longest hedge delay while every open shard decides, as a share of
	// the time until AnswerBy. The leaf that gets the hedge may be slow too.
	maxScarceDelayShare = 0.45
	// doubtfulShare is the expected duration of an attempt, as a share of the time until AnswerBy,
	// above which the second attempt follows at once while every open shard decides.
	doubtfulShare = 0.8
)

// lostShards returns the number of shards without an answer that get none any more, and the number
// of those that may still get one.
func (q *Query) lostShards() (lost, open int) {
	for i := range q.shards {
		switch s := &q.shards[i]; {
		case s.answered() || s.declined:
		case s.closed && s.inFlight == 0:
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
