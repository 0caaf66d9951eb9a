package policy

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// Query is the state machine of one query. Call Start once, then HandleAnswer,
// HandleFailure and Tick as events occur, and carry out the actions that each returns.
//
// A pass queries all shards of one snapshot. If replicas of that snapshot are lost, a
// further pass on another snapshot may follow.
//
// Invariants: every attempt reads the snapshot of the query's current pass, and only
// answers of that pass count; a shard is answered at most once; attempts per shard
// that a target may have started <= Spec.MaxAttempts; hedges and retries are within
// the table's budgets; exactly one Finish is returned, at the latest by the first Tick
// at or after Spec.Deadline.
type Query struct {
	spec  Spec
	table *Table

	snapshot     Snapshot               // of the current pass
	shards       []shardState           // progress of each shard in the current pass
	attempts     map[AttemptID]*attempt // in flight
	lastAttempt  AttemptID              // id of the latest attempt sent
	restarts     int                    // passes after the first one, each on another snapshot
	sufficientAt time.Time              // when MinCoverage was reached in this pass; zero before
	done         bool                   // Finish was returned

	// Updated with each change of a shard: in a query over hundreds of shards, reading
	// all of them at each event would cost too much.
	phases       [phaseCount]int // shards in each phase
	fullShards   int             // shards with a complete answer
	partialShare float64         // sum, over the shards with an incomplete answer, of the share of records read
	wakeAt       time.Time       // Tick has no work before this time, except at the end of the grace period

	startedAt  time.Time
	lastAnswer LastAnswer

	sent, hedges, retries int // attempts in all passes: all of them, hedges only, retries only
	refused               int // attempts that no target started
	shed                  int // attempts counted in refused that a target refused because no slot was free
}

// maxRestarts bounds how often a query is restarted on another snapshot.
const maxRestarts = 2

// NewQuery returns a query over the targets in table.
func NewQuery(spec Spec, table *Table) *Query {
	return &Query{spec: spec, table: table, attempts: make(map[AttemptID]*attempt)}
}

// Start chooses the snapshot and sends the first attempts.
func (q *Query) Start(now time.Time) []Action {
	q.startedAt = now
	snap, ok := q.chooseSnapshot(now)
	if !ok {
		return q.finish(now, EndNoSnapshot)
	}
	return q.startPass(now, snap)
}

// chooseSnapshot returns the snapshot of the first pass. A query that is pinned to a
// snapshot reads that one. It returns false if there is no snapshot that the query can
// read.
func (q *Query) chooseSnapshot(now time.Time) (Snapshot, bool) {
	if q.spec.PinnedSnapshot != "" {
		return q.table.FindSnapshot(q.spec.PinnedSnapshot)
	}
	return q.table.ChooseSnapshot(now)
}

// startPass starts a pass: it drops all answers and queries all shards of one snapshot.
func (q *Query) startPass(now time.Time, snap Snapshot) []Action {
	q.snapshot = snap
	q.shards = make([]shardState, snap.Shards)
	q.sufficientAt = time.Time{}
	q.phases = [phaseCount]int{phaseOpen: snap.Shards}
	q.fullShards = 0
	q.partialShare = 0
	q.wakeAt = q.spec.Deadline
	q.table.Hedges.RecordFirst(snap.Shards)
	q.table.Retries.RecordFirst(snap.Shards)
	var acts []Action
	for shard := range q.shards {
		acts = append(acts, q.send(now, shard, false)...)
	}
	return q.finishOrRestart(now, acts)
}

// HandleAnswer records the answer of an attempt. The caller must have checked that the
// answer's Echo matches the attempt.
func (q *Query) HandleAnswer(now time.Time, id AttemptID, answer *target.LeafAnswer) []Action {
	a := q.endAttempt(now, id, AttemptEnd{Answered: true})
	if a == nil || q.done {
		return nil
	}
	s := &q.shards[a.shard]
	if s.answer != nil || answer.Snapshot != q.snapshot.Name {
		return nil
	}
	s.answer = answer
	q.lastAnswer = LastAnswer{SentAfter: a.sentAt.Sub(q.startedAt), Took: now.Sub(a.sentAt)}
	s.retryAt = time.Time{}
	q.updatePhase(a.shard)
	full, share := readShare(answer)
	q.fullShards += full
	q.partialShare += share
	acts := q.cancelShard(now, a.shard)
	return q.finishOrRestart(now, acts)
}

// Failure describes why an attempt has no answer.
type Failure struct {
	Reason       Reason
	Refused      bool          // no target started the attempt
	NoConnection bool          // this VM had no connection to the target
	RetryAfter   time.Duration // from a refusal; 0 if it states none
}

// HandleFailure records that an attempt ended without an answer.
func (q *Query) HandleFailure(now time.Time, id AttemptID, f Failure) []Action {
	snapshotGone := f.Reason == ReasonSnapshotGone
	// The target refused the attempt because no slot was free.
	shed := f.Refused && !f.NoConnection && (f.Reason == ReasonShed || f.Reason == ReasonBusy)
	a := q.endAttempt(now, id, AttemptEnd{
		Refused:      f.Refused,
		SnapshotGone: snapshotGone,
		NoConnection: f.NoConnection,
		Shed:         shed,
		RetryAfter:   f.RetryAfter,
	})
	if a == nil || q.done {
		return nil
	}
	if shed {
		q.shed++
	}
	if snapshotGone {
		q.table.RemoveHolding(a.replica, q.snapshot.Name, a.shard)
	}
	return q.finishOrRestart(now, q.afterFailure(now, a, f.Reason))
}

// Tick performs the actions that are due at time now. Call it at the time that
// NextTick returned.
func (q *Query) Tick(now time.Time) []Action {
	if q.done {
		return nil
	}
	if !now.Before(q.spec.Deadline) {
		return q.finish(now, EndDeadline)
	}
	acts := q.expireAttempts(now)
	acts = append(acts, q.retryPending(now)...)
	acts = append(acts, q.sendHedges(now)...)
	q.wakeAt = q.recomputeWake(now)
	return q.finishOrRestart(now, acts)
}

// expireAttempts marks the attempts whose timeout has passed as overdue, and retries their
// shards.
func (q *Query) expireAttempts(now time.Time) []Action {
	var acts []Action
	for _, id := range sortedKeys(q.attempts) {
		a := q.attempts[id]
		if a.overdue || now.Before(a.expiresAt) {
			continue
		}
		a.overdue = true
		q.shards[a.shard].inFlight--
		q.shards[a.shard].overdue++
		q.table.AttemptOverdue(a.replica, a.sentAt, now)
		acts = append(acts, q.afterFailure(now, a, ReasonTimeout)...)
	}
	return acts
}

// retryPending sends attempts on the shards that waited for a replica or for the retry
// budget and whose wait is over. A shard without any attempt so far gets its first one,
// which uses no retry budget.
func (q *Query) retryPending(now time.Time) []Action {
	var acts []Action
	for shard := range q.shards {
		s := &q.shards[shard]
		if s.retryAt.IsZero() || now.Before(s.retryAt) {
			continue
		}
		if s.sent == 0 {
			acts = append(acts, q.send(now, shard, false)...)
			continue
		}
		acts = append(acts, q.retry(now, shard)...)
	}
	return acts
}

// unanswered returns the number of shards without an answer in the current pass, which
// reads one snapshot.
func (q *Query) unanswered() int { return len(q.shards) - q.phases[phaseAnswered] }

// hedgeRetryInterval is the time after which a hedge that was due but not sent, for
// lack of an idle replica or of budget, is tried again.
const hedgeRetryInterval = 5 * time.Millisecond

// latencyRecheckInterval is the time after which a query whose hedges wait for the latency of
// attempts to become known checks that again.
const latencyRecheckInterval = 100 * time.Millisecond

// NextTick returns when Tick must be called next if no other event occurs. The time
// may be earlier than needed.
func (q *Query) NextTick() time.Time {
	if q.sufficientAt.IsZero() {
		return q.wakeAt
	}
	return earlier(q.wakeAt, q.sufficientAt.Add(q.spec.Grace))
}

// scheduleWake moves wakeAt to an earlier time if the timeout of an attempt, its hedge, or a
// check whether the delay of hedges has become known is due before wakeAt.
func (q *Query) scheduleWake(now time.Time, a *attempt) {
	if a.overdue {
		return
	}
	q.wakeAt = earlier(q.wakeAt, a.expiresAt)
	if !q.mayHedge() || q.shards[a.shard].hedged {
		return
	}
	delay, known := q.hedgeDelay(now)
	if !known {
		q.wakeAt = earlier(q.wakeAt, now.Add(latencyRecheckInterval))
		return
	}
	// The hedge may be overdue because it could not be sent. It is then tried again only
	// after hedgeRetryInterval.
	q.wakeAt = earlier(q.wakeAt, later(a.sentAt.Add(delay), now.Add(hedgeRetryInterval)))
}

// recomputeWake sets wakeAt to the earliest time at which Tick has work, and returns that
// time.
func (q *Query) recomputeWake(now time.Time) time.Time {
	q.wakeAt = q.spec.Deadline
	for _, a := range q.attempts {
		q.scheduleWake(now, a)
	}
	for i := range q.shards {
		if retryAt := q.shards[i].retryAt; !retryAt.IsZero() {
			q.wakeAt = earlier(q.wakeAt, retryAt)
		}
	}
	return q.wakeAt
}

// earlier returns the earlier of two times. A zero time has no special meaning.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
