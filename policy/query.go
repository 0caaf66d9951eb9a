package policy

import (
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// Spec is what a query asks for and what bounds it.
type Spec struct {
	Deadline    time.Time     // by which the answer must be decided
	Need        float64       // coverage the caller needs, 0 to 1
	Grace       time.Duration // waited for the rest once Need is reached
	Pinned      string        // snapshot that a cursor names; empty: free choice
	HedgeAt     float64       // quantile of latencies after which to hedge; 0: never
	HedgeMin    time.Duration // lower bound of the hedge's delay
	MaxAttempts int           // per shard, hedges included
	Plain       bool          // one attempt each, to a random replica
}

// AttemptID numbers the attempts of one query, from 1.
type AttemptID int

// Action is something for the caller of a Query to carry out.
type Action interface{ isAction() }

// Send asks for an attempt on a replica.
type Send struct {
	Attempt  AttemptID
	Replica  ReplicaID
	Shard    int
	Snapshot string
	Hedge    bool
	Timeout  time.Duration
}

// Cancel asks to give up an attempt whose answer is no longer of use. Its
// answer, should one come, is ignored.
type Cancel struct{ Attempt AttemptID }

// Finish says that the query is decided. It is the last action.
type Finish struct{ Outcome Outcome }

func (Send) isAction()   {}
func (Cancel) isAction() {}
func (Finish) isAction() {}

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

	sent, hedges, retries int
	refused               int // attempts that a target refused to start
}

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

// maxRestarts bounds how often a query begins again on another snapshot.
const maxRestarts = 2

// NewQuery returns a query over the targets in table.
func NewQuery(spec Spec, table *Table) *Query {
	return &Query{spec: spec, table: table, attempts: make(map[AttemptID]*attempt)}
}

// Start chooses the snapshot and sends the first attempts.
func (q *Query) Start(now time.Time) []Action {
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

// send starts an attempt on a shard, or notes why none can be started.
func (q *Query) send(now time.Time, shard int, hedge bool) []Action {
	s := &q.shards[shard]
	id, ok := q.pick(now, shard, hedge)
	if !ok {
		if !hedge {
			q.wait(now, shard)
			q.settle(shard)
		}
		return nil
	}
	s.pending = time.Time{}
	s.tried = append(s.tried, id)
	s.sent++
	s.flying++
	q.next++
	q.sent++
	a := &attempt{id: q.next, shard: shard, replica: id, sentAt: now}
	a.expires = now.Add(q.attemptTimeout(now))
	q.attempts[a.id] = a
	q.settle(shard)
	q.wakeFor(now, a)
	q.table.Begin(id)
	return []Action{Send{
		Attempt:  a.id,
		Replica:  id,
		Shard:    shard,
		Snapshot: q.snapshot.Name,
		Hedge:    hedge,
		Timeout:  a.expires.Sub(now),
	}}
}

func (q *Query) pick(now time.Time, shard int, hedge bool) (ReplicaID, bool) {
	if q.spec.Plain {
		return q.table.PickRandom(q.snapshot.Name, shard)
	}
	s := &q.shards[shard]
	id, ok := q.table.Pick(now, q.snapshot.Name, shard, s.tried, hedge)
	if !ok && !hedge && s.flying == 0 {
		// Every replica was tried: one that has recovered may be tried again.
		id, ok = q.table.Pick(now, q.snapshot.Name, shard, nil, false)
	}
	return id, ok
}

// wait lets a shard whose replicas are all busy or resting be looked at again,
// if one of them takes attempts before the deadline.
func (q *Query) wait(now time.Time, shard int) {
	s := &q.shards[shard]
	if s.reason == "" {
		s.reason = ReasonNoReplica
	}
	at, ok := q.table.ReadyAgain(now, q.snapshot.Name, shard, nil)
	if q.spec.Plain || !ok || !at.Before(q.spec.Deadline) {
		s.pending = time.Time{}
		return
	}
	s.reason = ReasonBusy
	s.pending = at
	q.wake = earlier(q.wake, at)
}

// The timeout of one attempt, so that a connection that went silent costs a
// part of the time limit only.
const (
	attemptTimeoutQuantile = 0.99
	attemptTimeoutFactor   = 4
	attemptTimeoutMin      = 50 * time.Millisecond
)

func (q *Query) attemptTimeout(now time.Time) time.Duration {
	left := q.spec.Deadline.Sub(now)
	if q.spec.Plain {
		return left
	}
	slow, ok := q.table.Latency.Quantile(now, attemptTimeoutQuantile)
	if !ok {
		return left
	}
	return min(left, max(slow*attemptTimeoutFactor, attemptTimeoutMin))
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
	a := q.end(now, id, AttemptEnd{
		Refused:      f.Refused,
		Gone:         gone,
		NoConnection: f.NoConnection,
		RetryAfter:   f.RetryAfter,
	})
	if a == nil || q.done {
		return nil
	}
	if gone {
		q.table.Lacks(a.replica, q.snapshot.Name, a.shard)
	}
	return q.conclude(now, q.afterFailure(now, a, f.Reason))
}

func (q *Query) afterFailure(now time.Time, a *attempt, reason Reason) []Action {
	s := &q.shards[a.shard]
	if s.answer != nil {
		return nil
	}
	s.reason = reason
	q.settle(a.shard)
	if s.flying > 0 {
		return nil // the other attempt may still answer
	}
	return q.retry(now, a.shard)
}

// retry sends a further attempt on a shard. If the budget is empty, the shard
// waits a little for it to fill rather than being given up at once: the answers
// of all other shards would be lost with it. It does not wait for long, since a
// query in progress keeps others from being admitted.
func (q *Query) retry(now time.Time, shard int) []Action {
	s := &q.shards[shard]
	if q.exhausted(s) {
		s.pending = time.Time{}
		q.settle(shard)
		return nil
	}
	if _, ok := q.pick(now, shard, false); !ok {
		q.wait(now, shard)
		q.settle(shard)
		return nil
	}
	if !q.table.Retries.Take() {
		if s.waits++; s.waits > maxBudgetWaits {
			s.pending = time.Time{}
			q.settle(shard)
			return nil
		}
		s.pending = now.Add(budgetPause)
		q.wake = earlier(q.wake, s.pending)
		q.settle(shard)
		return nil
	}
	q.retries++
	return q.send(now, shard, false)
}

// budgetPause is how soon a retry that found the budget empty is tried again.
const budgetPause = 10 * time.Millisecond

// maxBudgetWaits is how often a shard may find the budget empty.
const maxBudgetWaits = 2

// refusedFactor is how many times MaxAttempts may be sent where targets refuse
// to start them.
const refusedFactor = 3

// exhausted reports whether a shard may get no further attempt. Attempts that a
// target refused to start count less: they cost it next to nothing.
func (q *Query) exhausted(s *shardState) bool {
	if q.spec.Plain {
		return s.sent > 0
	}
	return s.sent-s.refused >= q.spec.MaxAttempts || s.sent >= q.spec.MaxAttempts*refusedFactor
}

// end removes an attempt from the flying ones; nil if it is not among them.
func (q *Query) end(now time.Time, id AttemptID, e AttemptEnd) *attempt {
	a := q.attempts[id]
	if a == nil {
		return nil
	}
	delete(q.attempts, id)
	if e.Refused {
		q.refused++
		q.shards[a.shard].refused++
	}
	e.Took = now.Sub(a.sentAt)
	q.table.End(a.replica, e, now)
	q.shards[a.shard].flying--
	q.settle(a.shard)
	return a
}

// cancelShard gives up the attempts still in flight on a shard.
func (q *Query) cancelShard(now time.Time, shard int) []Action {
	if q.shards[shard].flying == 0 {
		return nil
	}
	return q.cancelWhere(now, func(a *attempt) bool { return a.shard == shard })
}

func (q *Query) cancelWhere(now time.Time, match func(*attempt) bool) []Action {
	var acts []Action
	for _, id := range sortedKeys(q.attempts) {
		if match(q.attempts[id]) {
			q.end(now, id, AttemptEnd{Cancelled: true})
			acts = append(acts, Cancel{Attempt: id})
		}
	}
	return acts
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

// hedge sends second attempts beside slow first ones. It does so only once half
// of the shards have answered: when all are slow, the targets are overloaded and
// a second attempt would make that worse.
func (q *Query) hedge(now time.Time) []Action {
	due, ok := q.hedgeDelay(now)
	if !ok || 2*q.unanswered() > len(q.shards) {
		return nil
	}
	var acts []Action
	for _, id := range sortedKeys(q.attempts) {
		a := q.attempts[id]
		s := &q.shards[a.shard]
		if s.hedged || now.Sub(a.sentAt) < due || q.exhausted(s) {
			continue
		}
		acts = append(acts, q.tryHedge(now, a.shard)...)
	}
	return acts
}

func (q *Query) tryHedge(now time.Time, shard int) []Action {
	if _, ok := q.table.Pick(now, q.snapshot.Name, shard, q.shards[shard].tried, true); !ok {
		return nil
	}
	if !q.table.Hedges.Take() {
		return nil
	}
	q.shards[shard].hedged = true
	q.hedges++
	return q.send(now, shard, true)
}

func (q *Query) hedgeDelay(now time.Time) (time.Duration, bool) {
	if q.spec.Plain || q.spec.HedgeAt <= 0 {
		return 0, false
	}
	d, ok := q.table.Latency.Quantile(now, q.spec.HedgeAt)
	if !ok {
		return 0, false
	}
	return max(d, q.spec.HedgeMin), true
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

// conclude appends a Finish, or the start of another pass, where that is due.
func (q *Query) conclude(now time.Time, acts []Action) []Action {
	open := q.phases[phaseOpen]
	lost := q.phases[phaseLost] + q.phases[phaseMoved]
	switch {
	case open == 0 && lost == 0:
		return append(acts, q.finish(now, EndAnswered)...)
	case q.phases[phaseMoved] > 0 && q.mayRestart(now):
		return append(acts, q.restart(now)...)
	case open == 0:
		return append(acts, q.finish(now, EndGivenUp)...)
	case q.best(lost) < q.spec.Need:
		return append(acts, q.finish(now, EndGivenUp)...)
	}
	if q.enough(now) {
		return append(acts, q.finish(now, EndEnough)...)
	}
	return acts
}

// best is the coverage that can still be reached with lost shards missing.
func (q *Query) best(lost int) float64 {
	return float64(len(q.shards)-lost) / float64(len(q.shards))
}

// enough reports whether the needed coverage, short of all shards, is reached
// and the grace has passed.
func (q *Query) enough(now time.Time) bool {
	if ratio(q.full, q.partial, len(q.shards)) < q.spec.Need {
		return false
	}
	if q.enoughAt.IsZero() {
		q.enoughAt = now
	}
	return !now.Before(q.enoughAt.Add(q.spec.Grace))
}

// mayRestart reports whether the query may begin again, and has the time for
// the slower half of a pass.
func (q *Query) mayRestart(now time.Time) bool {
	if q.spec.Pinned != "" || q.spec.Plain || q.restarts >= maxRestarts {
		return false
	}
	median, _ := q.table.Latency.Quantile(now, 0.5)
	return now.Add(median).Before(q.spec.Deadline)
}

// restart begins the whole query again on another snapshot. A query never mixes
// two: when replicas of its snapshot vanish beneath it, the answers it has are
// dropped. It finishes instead if no other snapshot can be read better.
func (q *Query) restart(now time.Time) []Action {
	snap, ok := q.table.ChooseSnapshot(now)
	if !ok || snap.Name == q.snapshot.Name {
		return q.stay(now)
	}
	q.restarts++
	acts := q.cancelWhere(now, func(*attempt) bool { return true })
	return append(acts, q.begin(now, snap)...)
}

// stay goes on with the present snapshot without the shards that are lost.
func (q *Query) stay(now time.Time) []Action {
	lost := q.phases[phaseLost] + q.phases[phaseMoved]
	if q.phases[phaseOpen] == 0 || q.best(lost) < q.spec.Need {
		return q.finish(now, EndGivenUp)
	}
	if q.enough(now) {
		return q.finish(now, EndEnough)
	}
	return nil
}

func (q *Query) finish(now time.Time, how End) []Action {
	acts := q.cancelWhere(now, func(*attempt) bool { return true })
	q.done = true
	return append(acts, Finish{Outcome: Outcome{
		End:      how,
		Snapshot: q.snapshot,
		Coverage: CoverageOf(q),
		Answers:  q.answers(),
		Sent:     q.sent,
		Refused:  q.refused,
		Hedges:   q.hedges,
		Retries:  q.retries,
		Restarts: q.restarts,
	}})
}

// Abandon ends a query whose caller went away.
func (q *Query) Abandon(now time.Time) []Action {
	if q.done {
		return nil
	}
	return q.finish(now, EndAbandoned)
}

func (q *Query) answers() []*target.LeafAnswer {
	var list []*target.LeafAnswer
	for i := range q.shards {
		if a := q.shards[i].answer; a != nil {
			list = append(list, a)
		}
	}
	return slices.Clip(list)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
