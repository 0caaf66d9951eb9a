package policy

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

type shardState struct {
	answer  *target.LeafAnswer
	tried   []ReplicaID
	flying  int // attempts in flight
	sent    int
	refused int // of sent, by a target that did not start them
	waits   int // for the budget of retries
	hedged  bool
	phase   phase
	reason  Reason    // of the last failure
	pending time.Time // when to look for a replica again; zero: not waiting
}

type attempt struct {
	id      AttemptID
	shard   int
	replica ReplicaID
	sentAt  time.Time
	expires time.Time
}

// phase is how far a shard has come.
type phase int

const (
	phaseOpen     phase = iota // may still answer
	phaseAnswered              // has answered
	phaseLost                  // cannot answer any more
	phaseMoved                 // lost because no replica holds its snapshot now
	phaseCount
)

func (s *shardState) findPhase() phase {
	switch {
	case s.answer != nil:
		return phaseAnswered
	case s.flying > 0 || !s.pending.IsZero():
		return phaseOpen
	case s.reason == ReasonSnapshotGone || s.reason == ReasonNoReplica:
		return phaseMoved
	default:
		return phaseLost
	}
}

// settle recounts a shard after a change.
func (q *Query) settle(shard int) {
	s := &q.shards[shard]
	q.phases[s.phase]--
	s.phase = s.findPhase()
	q.phases[s.phase]++
}
