package policy

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

type shardState struct {
	answer      *target.LeafAnswer
	tried       []ReplicaID
	inFlight    int // attempts in flight
	sent        int
	refused     int // of sent, by a target that did not start them
	budgetWaits int // for the budget of retries
	hedged      bool
	phase       phase
	reason      Reason    // of the last failure
	retryAt     time.Time // when to look for a replica again; zero: not waiting
}

type attempt struct {
	id        AttemptID
	shard     int
	replica   ReplicaID
	sentAt    time.Time
	expiresAt time.Time
}

// phase is how far a shard has come.
type phase int

const (
	phaseOpen     phase = iota // may still answer
	phaseAnswered              // has answered
	phaseLost                  // cannot answer any more
	phaseNoHolder              // lost because no replica holds its snapshot now
	phaseCount
)

func (s *shardState) currentPhase() phase {
	switch {
	case s.answer != nil:
		return phaseAnswered
	case s.inFlight > 0 || !s.retryAt.IsZero():
		return phaseOpen
	case s.reason == ReasonSnapshotGone || s.reason == ReasonNoReplica:
		return phaseNoHolder
	default:
		return phaseLost
	}
}

// updatePhase recounts a shard after a change.
func (q *Query) updatePhase(shard int) {
	s := &q.shards[shard]
	q.phases[s.phase]--
	s.phase = s.currentPhase()
	q.phases[s.phase]++
}
