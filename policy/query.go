package policy

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// Query decides the course of one query. Feed it Start once, then Answered,
// Failed and Tick; carry out the actions that each returns.
//
// Invariants: every attempt carries the one snapshot of the query's present
// pass, and only answers of that pass count; a shard is answered at most once;
// attempts per shard that a target may have started <= Spec.MaxAttempts; hedges
// and retries are within the table's budgets; exactly one Finish is returned, at
// the latest by the first Tick at or after Spec.Deadline.
type Query struct {
	spec  Spec
	table *Table

	snapshot Snapshot
	shards   []shardState
	attempts map[AttemptID]*attempt
	next     AttemptID
	restarts int
	enoughAt time.Time // when the needed coverage was reached
	done     bool

	// Kept up to date with each change of a shard, since a query of hundreds of
	// shards cannot afford to look at all of them at each event.
	phases  [phaseCount]int // shards in each phase
	full    int             // shards that answered in full
	partial float64         // shares read of shards that answered in part
	wake    time.Time       // no later than anything that Tick has to do

	began time.Time
	last  LastAnswer

	sent, hedges, retries int
	refused               int // attempts that no target started
	shed                  int // of refused, for want of slots
}

// maxRestarts bounds how often a query begins again on another snapshot.
const maxRestarts = 2

// NewQuery returns a query over the targets in table.
func NewQuery(spec Spec, table *Table) *Query {
	return &Query{spec: spec, table: table, attempts: make(map[AttemptID]*attempt)}
}

// Start chooses the snapshot and sends the first attempts.
func (q *Query) Start(now time.Time) []Action {
	q.began = now
	snap, ok := q.choose(now)
	if !ok {
		return q.finish(now, EndNoSnapshot)
	}
	return q.begin(now, snap)
}

func (q *Query) choose(now time.Time) (Snapshot, bool) {
	if q.spec.Pinned != "" {
		return q.table.FindSnapshot(q.spec.Pinned)
	}
	return q.table.ChooseSnapshot(now)
}

// begin starts a pass over all shards of one snapshot.
func (q *Query) begin(now time.Time, snap Snapshot) []Action {
	q.snapshot = snap
	q.shards = make([]shardState, snap.Shards)
	q.enoughAt = time.Time{}
	q.phases = [phaseCount]int{phaseOpen: snap.Shards}
	q.full = 0
	q.partial = 0
	q.wake = q.spec.Deadline
	q.table.Hedges.First(snap.Shards)
	q.table.Retries.First(snap.Shards)
	var acts []Action
	for shard := range q.shards {
		acts = append(acts, q.send(now, shard, false)...)
	}
	return q.conclude(now, acts)
}

// Answered takes the answer of an attempt. The caller has checked its echo.
func (q *Query) Answered(now time.Time, id AttemptID, answer *target.LeafAnswer) []Action {
	a := q.end(now, id, AttemptEnd{Answered: true})
	if a == nil || q.done {
		return nil
	}
	s := &q.shards[a.shard]
	if s.answer != nil || answer.Snapshot != q.snapshot.Name {
		return nil
	}
	s.answer = answer
	q.last = LastAnswer{Held: a.sentAt.Sub(q.began), Took: now.Sub(a.sentAt)}
	s.pending = time.Time{}
	q.settle(a.shard)
	full, share := readShare(answer)
	q.full += full
	q.partial += share
	acts := q.cancelShard(now, a.shard)
	return q.conclude(now, acts)
}

// Failure is why an attempt gave no answer.
type Failure struct {
	Reason       Reason
	Refused      bool          // the target did not start it
	NoConnection bool          // this VM had none to the target
	RetryAfter   time.Duration // stated with a refusal
}

// Failed takes that an attempt ended without an answer.
func (q *Query) Failed(now time.Time, id AttemptID, f Failure) []Action {
	gone := f.Reason == ReasonSnapshotGone
	shed := f.Refused && !f.NoConnection && (f.Reason == ReasonShed || f.Reason == ReasonBusy)
	a := q.end(now, id, AttemptEnd{
		Refused:      f.Refused,
		Gone:         gone,
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
	if gone {
		q.table.Lacks(a.replica, q.snapshot.Name, a.shard)
	}
	return q.conclude(now, q.afterFailure(now, a, f.Reason))
}

// Tick takes that time has passed. Call it at the time that Wake returned.
func (q *Query) Tick(now time.Time) []Action {
	if q.done {
		return nil
	}
	if !now.Before(q.spec.Deadline) {
		return q.finish(now, EndDeadline)
	}
	acts := q.expire(now)
	acts = append(acts, q.lookAgain(now)...)
	acts = append(acts, q.hedge(now)...)
	q.wake = q.nextWake(now)
	return q.conclude(now, acts)
}

// expire gives up attempts that have had no answer within their timeout.
func (q *Query) expire(now time.Time) []Action {
	var acts []Action
	for _, id := range sortedKeys(q.attempts) {
		a := q.attempts[id]
		if now.Before(a.expires) {
			continue
		}
		q.end(now, id, AttemptEnd{})
		acts = append(acts, Cancel{Attempt: id})
		acts = append(acts, q.afterFailure(now, a, ReasonTimeout)...)
	}
	return acts
}

// lookAgain tries shards whose replicas were all busy or resting.
func (q *Query) lookAgain(now time.Time) []Action {
	var acts []Action
	for shard := range q.shards {
		s := &q.shards[shard]
		if s.pending.IsZero() || now.Before(s.pending) {
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

func (q *Query) unanswered() int { return len(q.shards) - q.phases[phaseAnswered] }

// hedgePoll is how soon a hedge that was due but not sent, for want of an idle
// replica or of budget, is tried again.
const hedgePoll = 5 * time.Millisecond

// Wake returns when Tick has to be called next if nothing else happens. It may
// be earlier than needed.
func (q *Query) Wake() time.Time {
	if q.enoughAt.IsZero() {
		return q.wake
	}
	return earlier(q.wake, q.enoughAt.Add(q.spec.Grace))
}

// wakeFor moves the wake forward to what an attempt may need.
func (q *Query) wakeFor(now time.Time, a *attempt) {
	q.wake = earlier(q.wake, a.expires)
	due, hedging := q.hedgeDelay(now)
	if hedging && !q.shards[a.shard].hedged {
		q.wake = earlier(q.wake, later(a.sentAt.Add(due), now.Add(hedgePoll)))
	}
}

// nextWake looks at everything that Tick may have to do.
func (q *Query) nextWake(now time.Time) time.Time {
	q.wake = q.spec.Deadline
	for _, a := range q.attempts {
		q.wakeFor(now, a)
	}
	for i := range q.shards {
		if at := q.shards[i].pending; !at.IsZero() {
			q.wake = earlier(q.wake, at)
		}
	}
	return q.wake
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
