package policy

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// shardState is the progress of one shard in the current pass of a query.
type shardState struct {
	answer      *target.LeafAnswer
	tried       []ReplicaID
	inFlight    int // attempts in flight
	sent        int // attempts, hedges and retries included
	refused     int // attempts of sent that targets refused without starting them
	budgetWaits int // how often a retry found the retry budget empty
	hedged      bool
	phase       phase
	reason      Reason    // of the last failure
	retryAt     time.Time // when to try to send again; zero: not waiting
}

type attempt struct {
	id        AttemptID
	shard     int
	replica   ReplicaID
	sentAt    time.Time
	expiresAt time.Time
}

// phase is the progress of a shard.
type phase int

const (
	phaseOpen     phase = iota // may still answer
	phaseAnswered              // an answer arrived
	phaseLost                  // can no longer answer
	phaseNoHolder              // as phaseLost, because no replica holds the snapshot any more
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

// updatePhase updates the phase of a shard, and the counts by phase, after a change.
func (q *Query) updatePhase(shard int) {
	s := &q.shards[shard]
	q.phases[s.phase]--
	s.phase = s.currentPhase()
	q.phases[s.phase]++
}
