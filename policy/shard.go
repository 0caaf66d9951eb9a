package policy

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// shardState is the progress of one shard in the current pass of a query.
type shardState struct {
	answer      *target.LeafAnswer // nil before the shard has answered
	tried       []ReplicaID        // replicas that got an attempt
	inFlight    int                // attempts in flight whose timeout hasn't passed
	overdue     int                // attempts in flight whose timeout has passed; they may still be answered
	sent        int                // attempts, hedges and retries included
	firstSentAt time.Time          // when the first attempt was sent; zero before
	refused     int                // attempts counted in sent that targets refused without starting them
	budgetWaits int                // how often a retry found the retry budget empty
	hedged      bool               // a hedge was sent
	phase       phase              // as of the last call of updatePhase
	reason      Reason             // why the shard has no answer yet; empty before a first failure or wait
	retryAt     time.Time          // when to try to send again; zero: not waiting
}

// attempt is an attempt in flight.
type attempt struct {
	id        AttemptID
	shard     int
	replica   ReplicaID
	sentAt    time.Time
	expiresAt time.Time // when its timeout ends
	overdue   bool      // its timeout has passed
}

// phase is the progress of a shard in one pass of a query.
type phase int

const (
	phaseOpen     phase = iota // the shard may still answer
	phaseAnswered              // the shard has an answer
	phaseLost                  // the shard can no longer answer, for another reason than phaseNoHolder
	phaseNoHolder              // the shard can no longer answer: no usable replica holds it, or the one that got the last attempt no longer holds the snapshot
	phaseCount                 // number of phases
)

// currentPhase derives the phase from the other fields. A shard without an answer is open
// while an attempt is in flight, overdue or not, or it waits to send one.
func (s *shardState) currentPhase() phase {
	switch {
	case s.answer != nil:
		return phaseAnswered
	case s.inFlight > 0 || s.overdue > 0 || !s.retryAt.IsZero():
		return phaseOpen
	case s.reason == ReasonSnapshotGone || s.reason == ReasonNoReplica:
		return phaseNoHolder
	default:
		return phaseLost
	}
}

// updatePhase updates the phase of a shard, and the number of shards in each phase, after
// a change of the shard.
func (q *Query) updatePhase(shard int) {
	s := &q.shards[shard]
	q.phases[s.phase]--
	s.phase = s.currentPhase()
	q.phases[s.phase]++
}
