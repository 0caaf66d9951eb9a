package scatter

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/quarantine"
)

// Spec describes one request.
type Spec struct {
	Services   []string // names of the services: one shard each; a request to a single service has one
	Gathered   bool     // the answer is put together from the answers of all shards
	Idempotent bool     // the request may run on several leafs
	// MaxAttempts is how many leafs of a shard may run the request.
	MaxAttempts int
	// MinShare is the minimum share of the shards, from 0 to 1, that have to be answered for
	// a gathered request to be answered.
	MinShare         float64
	LatencyObjective time.Duration // duration within which such requests should be answered
	// AnswerBy is when a gathered request is answered with the parts received so far, if
	// they are enough.
	AnswerBy time.Time
	Deadline time.Time // when the query ends at the latest
	// StopAt is when this VM ends what it still serves, since it was told to stop; zero before.
	StopAt time.Time
	// MayDelegate allows calls to other VMs, which then query some of the shards.
	MayDelegate bool
	// RequestID is the id of the caller's request, the same at all VMs that take part.
	RequestID string
	// Content identifies what the request asks, the same for each attempt of the caller.
	Content quarantine.Fingerprint
	// Proven says that a leaf has answered the content of late, as another VM has told.
	Proven bool
	// Delegated says that another VM called this one for the request.
	Delegated bool
	// Views holds, for a delegated request, the calling VM's view of each shard: a hash of
	// its common leafs. A shard is declined if this VM's view of it differs.
	Views []View
	// Required is, for a delegated request, how many of the shards have to be answered so
	// that the calling VM has enough for its caller; 0 if the calling VM did not set it.
	Required int
	// Redelegated says that another VM was called for the same shards before. Each request
	// to a leaf then counts as an extra arrival in the budget, as a retry does, since the
	// other VM may have sent one. Only leafs are used that both the calling and each called
	// VM may use.
	Redelegated bool
	// Final says, for a delegated request, that no other VM would be called if this one refused.
	// Its own lateness is then no reason to refuse.
	Final bool
	// Scarce says, for a delegated request, that the calling VM knows of lost shards elsewhere that
	// use up what its answer may leave out: each of the shards decides. Required does not say so,
	// since the lost ones may answer after all.
	Scarce bool
	// BudgetWeight is the part of the request, from 0 to 1, that counts in this VM's budget.
	// The budget allows hedges and retries in proportion to requests. For a delegated
	// request, the calling VM counts the remainder.
	BudgetWeight float64
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// Tenant is the name of the tenant on whose behalf the request runs, empty if there is none.
	Tenant string
	// Advised is the leaf that a keeper of slots has named for the first attempt; zero for none.
	Advised LeafID
}

// Query is one request in progress. Call Start once, then pass in the events, and carry out
// the actions that each of them returns, until Finish. It is not safe for concurrent use.
//
// Invariants:
//   - There is exactly one Finish.
//   - For each shard, at most MaxAttempts attempts may have run.
//   - For a request that is not idempotent, no attempt is sent after one that may have run.
//   - Every attempt on a shard after the first one that reached a leaf was taken from the budget of
//     hedges and retries.
type Query struct {
	spec      Spec
	table     *Table
	shards    []shard
	startedAt time.Time
	askedAt   time.Time // when the shards were first asked, other than by canaries
	done      bool
	held      bool // several events are being handled, after which the outcome is decided

	attempts       map[AttemptID]*attempt // attempts in flight
	calls          map[CallID]*call       // all calls to other VMs, also those that have ended
	callAnswers    []callAnswer           // answers of other VMs, in the order of arrival
	lastAttempt    AttemptID              // the newest attempt; 0 for none
	failedAttempt  AttemptID              // the latest attempt that a leaf answered with a failure; 0 for none
	dueSince       time.Time              // when the query first found AnswerBy reached; zero before
	answerBy       time.Time              // AnswerBy without the bound by StopAt; zero if there is none
	canary         bool                   // only canaries may get the request, since no leaf has answered its content of late
	delayedCalls   []delegation           // calls to make when a canary has answered
	nextCanaryAt   time.Time              // when to ask one more canary; zero for not
	canaryPatience time.Duration          // time between canaries
	unreachable    []LeafID               // leafs to which no connection could be opened
	notRunBy       []LeafID               // leafs that have said that they did not run it
	hedgeRetryAt   time.Time              // no hedge is sent before this time, since one found no idle leaf or no budget

	reportedScarce bool          // a calling VM has told that every shard decides
	omissionsLeft  int           // number of shards that the answer may leave out, besides those omitted at the start
	refusal        *Refusal      // nil if this VM did not refuse
	retryAfter     time.Duration // delay after which a refused caller should retry; 0 if no VM refused
	quarantinedFor time.Duration // how long the request gets to no leaf since it ends them; 0 if it may

	earlyHedges           int    // number of hedges that went out earlier than usual
	broken                int    // number of attempts whose connection was cut or whose answer was corrupt
	sent, hedges, retries int    // numbers of attempts, and of hedges and retries among them
	yielded               Yields // what was left to others while room was short
}

// shard is the state of one service's part of a query.
type shard struct {
	service        string
	tried          []LeafID  // leafs that an attempt was sent to
	sends          int       // attempts that were sent
	inFlight       int       // attempts that have not ended
	possibleRuns   int       // attempts that ran or may have run, or may still run
	arrived        bool      // an attempt reached a leaf, or may have reached one
	budgetCounted  bool      // the service's budget has counted the request
	hedged         bool      // a hedge was sent
	hedgeAt        time.Time // when the latest attempt is slow enough for a hedge
	scarceHedgeAt  time.Time // the same while every open shard decides whether the answer suffices
	pollAt         time.Time // when to look for a leaf again; zero if the shard does not wait for one
	waitsSince     time.Time // when it began to wait for a leaf; zero if no turn was taken for it
	waitingOn      *service  // the service, while it counts the shard as waiting for a leaf; nil otherwise
	delayed        bool      // it is asked when a canary has answered
	closed         bool      // no further attempt will be made
	gap            GapCause  // if closed: why
	likelyLost     bool      // delegated, and lately left out by the VM that was called for it
	declined       bool      // left to the calling VM, which knows other leafs than this VM
	answer         AttemptID // the attempt that answered the shard; 0 for none
	call           CallID    // the latest call for the shard; 0 for none
	redelegated    bool      // a second VM was called for the shard after a first one that may have queried it
	shared         bool      // another VM may query it too
	commonLeafs    []LeafID  // if shared: leafs that either VM may use
	commonZone     string    // if shared: zone of the called VM, from which commonLeafs were computed
	ownChoice      LeafID    // if shared: the leaf that only this VM uses; zero for none
	includedAnswer int       // number, from 1, of the used answer of another VM that includes the shard; 0 for none
}

// answered reports whether the shard has an answer, from a leaf or from another VM.
func (s *shard) answered() bool { return s.answer != 0 || s.includedAnswer != 0 }

// attempt is a request to a leaf for one shard.
type attempt struct {
	shard  int // index of the shard in the query
	leaf   LeafID
	sentAt time.Time
	until  time.Time // when the leaf stops its work
	late   bool      // it was recorded that it has had no answer for long
	lateAt time.Time // when to record that, if it is later than usual; zero if not
	// writtenAt is when it was written to its connection, and readAt when its answer was read.
	// They are zero while they are not known.
	writtenAt, readAt time.Time
}

// call is a call to another VM, which queries some shards for this one.
type call struct {
	vm          string        // name of the called VM
	partition   zonePartition // leaf partition that the shards belong to
	redelegated bool          // another VM was called for the shards before and may have queried them
	shards      []int         // indexes of the shards in the query
	sentAt      time.Time     // when the query decided to make the call
	step        refusalStep   // how far the calls for the shards have come
	acked       bool          // the VM has sent any message on the call
	failoverAt  time.Time     // when the call fails over if it has no answer
	// writtenAt is when the call was written to its connection, zero before. ackDue is the
	// time by which the VM has to acknowledge the call. It is zero before the call was
	// written and once it was acknowledged.
	writtenAt, ackDue time.Time
	answered          bool // the VM has answered, perhaps in part
	finished          bool // no further answer will arrive
	// resolved says that the call does not fail over any more. It was answered in full, was
	// refused, has failed over, or this VM has sent its shards to leafs itself.
	resolved bool
}

// overdueTime returns when the call becomes overdue: at the earlier of the times by which it has
// to be acknowledged and by which it has to be answered.
func (c *call) overdueTime() time.Time { return earlier(c.failoverAt, c.ackDue) }

// callAnswer is one answer of another VM. It can't be split: all of its shards are used or none.
type callAnswer struct {
	shards []int // indexes of the shards that it includes
	used   bool  // it is part of the answer to the caller
}

// NewQuery returns a query that has not started.
func NewQuery(spec Spec, table *Table) *Query {
	q := &Query{
		spec:   spec,
		table:  table,
		shards: make([]shard, len(spec.Services)),
		calls:  make(map[CallID]*call),
	}
	// A query that may delegate makes few attempts itself.
	firstAttempts := 0
	if !spec.MayDelegate {
		firstAttempts = len(spec.Services)
	}
	q.attempts = make(map[AttemptID]*attempt, firstAttempts)
	for i, name := range spec.Services {
		q.shards[i].service = name
	}
	return q
}

// Start starts the query and returns its first actions: calls to other VMs and attempts at
// leafs. If the request is not expected to be answered in time, Start refuses it and returns
// Finish.
func (q *Query) Start(now time.Time) []Action {
	q.startedAt, q.askedAt = now, now
	if acts := q.refuseQuarantined(now); acts != nil {
		return acts
	}
	if acts := q.boundByStop(now); acts != nil {
		return acts
	}
	q.applyReportedScarcity(now)
	var calls []delegation
	if q.spec.MayDelegate = q.spec.MayDelegate && q.mayCallVMs(now); q.spec.MayDelegate {
		calls = q.delegations(now)
	}
	if q.spec.Delegated {
		q.decline()
	}
	if acts := q.yield(now, q.ownShards(calls)); acts != nil {
		return acts
	}
	refusal := q.admit(now, q.ownShards(calls))
	if refusal != nil && refusal.OwnTime > 0 && q.spec.MayDelegate {
		if moved := q.delegateOwnShards(now, q.ownShards(calls)); len(moved) > 0 {
			calls = append(calls, moved...)
			refusal = q.admit(now, q.ownShards(calls))
		}
	}
	if refusal != nil {
		q.recordShortage(now)
		q.refuse(now, *refusal)
		return q.finish(q.failureOutcome(TooFewShards))
	}
	q.recallLost(now, calls)
	if q.needsCanary(now, calls) {
		return q.conclude(now, q.startCanary(now, calls))
	}
	return q.conclude(now, q.sendFirst(now, calls))
}

// sendFirst makes the given calls, and the first attempts on the shards that no call is for.
func (q *Query) sendFirst(now time.Time, calls []delegation) []Action {
	own := len(q.shards)
	for _, d := range calls {
		own -= len(d.shards)
	}
	acts := make([]Action, 0, len(calls)+max(own, 0))
	for _, d := range calls {
		acts = append(acts, q.callVM(now, d, false))
	}
	delayOwnShards := q.delaysOwnShards(now, calls)
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.call != 0 || s.closed || s.sends > 0 || !s.pollAt.IsZero():
		case delayOwnShards:
			q.setPollAt(s, now.Add(ownShardsDelay))
		default:
			acts = append(acts, q.trySend(now, i, FirstAttempt)...)
		}
	}
	return acts
}

// decline closes the shards for which this VM computes other common leafs than the calling VM did. The
// calling VM queries them itself.
func (q *Query) decline() {
	for i := range q.shards {
		s := &q.shards[i]
		q.shareShard(s, q.table.zone)
		s.declined = viewOf(s.commonLeafs) != q.spec.Views[i]
		if s.declined {
			s.close(GapDeclined)
		}
	}
}

// ownShards returns the indexes of the shards that this VM queries itself: those that are
// neither closed nor part of one of the given calls.
func (q *Query) ownShards(calls []delegation) []int {
	delegated := make([]bool, len(q.shards))
	left := len(q.shards)
	for _, d := range calls {
		for _, i := range d.shards {
			delegated[i] = true
		}
		left -= len(d.shards)
	}
	list := make([]int, 0, max(left, 0))
	for i := range q.shards {
		if !delegated[i] && !q.shards[i].closed {
			list = append(list, i)
		}
	}
	return list
}

// shareShard records that another VM may query the shard too, and computes the leafs that either
// VM may use. Leafs in zone, the zone of the called VM, come first.
func (q *Query) shareShard(s *shard, zone string) {
	s.shared, s.commonZone = true, zone
	s.commonLeafs = q.table.commonLeafs(s.service, zone, q.spec.RequestID, q.spec.MaxAttempts)
}

// Declined returns the indexes of the shards of a delegated query that this VM does not query,
// since it knows other leafs than the calling VM does.
func (q *Query) Declined() []int {
	var list []int
	for i := range q.shards {
		if q.shards[i].declined {
			list = append(list, i)
		}
	}
	return list
}

// Reply handles a leaf's answer and returns the actions that follow. failed says that the answer
// reports a failure of the leaf, after which the shard may be retried.
func (q *Query) Reply(now time.Time, id AttemptID, failed bool) []Action {
	a := q.attempts[id]
	if a == nil || q.done {
		return nil
	}
	delete(q.attempts, id)
	s := &q.shards[a.shard]
	s.inFlight--
	if failed {
		q.failedAttempt = id
		return q.conclude(now, q.retryShard(now, a.shard))
	}
	q.table.recordDuration(now, q.durationKey(), a)
	if s.answer == 0 {
		s.answer = id
		q.setPollAt(s, time.Time{})
	}
	return q.conclude(now, nil)
}

// Fail handles an attempt that ended without an answer and returns the actions that follow. end
// says how it ended.
func (q *Query) Fail(now time.Time, id AttemptID, end End) []Action {
	a := q.attempts[id]
	if a == nil || q.done {
		return nil
	}
	delete(q.attempts, id)
	s := &q.shards[a.shard]
	s.inFlight--
	if end == EndRefused || end == EndMoved || end == EndNotStarted {
		q.notRunBy = append(q.notRunBy, a.leaf)
	}
	if end == EndUnreachable {
		q.unreachable = append(q.unreachable, a.leaf)
	}
	if !end.mayHaveRun() {
		s.possibleRuns--
		s.clearChoice(a.leaf)
	}
	if end != EndUnreachable {
		s.arrived = true
	}
	if end == EndBroken {
		q.broken++
	}
	return q.conclude(now, q.retryShard(now, a.shard))
}

// Together handles several events that are there at the same moment. events passes them to the query,
// all with the time now, and returns the actions that follow. The outcome is decided only after all of
// them: where this VM comes late, after AnswerBy, an answer that arrived counts, whichever came first.
func (q *Query) Together(now time.Time, events func() []Action) []Action {
	q.held = true
	acts := events()
	q.held = false
	return q.conclude(now, acts)
}

// Tick returns the actions that are due at the current time: hedges, retries, failovers, or the
// end of the query. It has to be called at the time that Wake returned.
func (q *Query) Tick(now time.Time) []Action {
	if q.done {
		return nil
	}
	if !now.Before(q.spec.Deadline) {
		if q.endsAtStop() {
			return q.Stop(now)
		}
		return q.finish(q.atDeadline())
	}
	if out, decided := q.decide(now); decided {
		// If the outcome is decided, the query ends before anything else is done. Other
		// actions may have become overdue while this VM was paused, but are of no use.
		q.recordWhole(now, out)
		return q.finish(out)
	}
	if acts := q.refuseAtStop(now); acts != nil {
		return acts
	}
	q.recordLate(now)
	acts := q.failOverOverdueCalls(now)
	for i := range q.shards {
		s := &q.shards[i]
		if !s.pollAt.IsZero() && !now.Before(s.pollAt) {
			q.setPollAt(s, time.Time{})
			acts = append(acts, q.retryShard(now, i)...)
		}
	}
	acts = append(acts, q.hedge(now)...)
	return q.conclude(now, acts)
}

// AnsweredAttempts returns the attempts that have answered a shard so far, for a query that
// delegates nothing.
func (q *Query) AnsweredAttempts() []AttemptID {
	var ids []AttemptID
	for i := range q.shards {
		if id := q.shards[i].answer; id != 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Abandon ends the query since the caller cancelled the request or disconnected.
func (q *Query) Abandon() []Action {
	if q.done {
		return nil
	}
	return q.finish(Outcome{Verdict: Abandoned})
}

// durationKey returns the key under which the durations of this query's attempts are recorded.
func (q *Query) durationKey() durationKey {
	return durationKey{objective: q.spec.LatencyObjective, gathered: q.spec.Gathered}
}

// earlier returns the earlier of two times, where a zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Wake returns when Tick has to be called next if there is no other event.
func (q *Query) Wake(now time.Time) time.Time {
	wake := q.spec.Deadline
	if q.spec.Gathered && now.Before(q.spec.AnswerBy) {
		wake = earlier(wake, q.spec.AnswerBy)
	}
	for _, c := range q.calls {
		if !c.resolved {
			wake = earlier(wake, c.overdueTime())
		}
	}
	for i := range q.shards {
		wake = earlier(wake, q.shards[i].pollAt)
	}
	if q.canary {
		wake = earlier(wake, q.nextCanaryAt)
	}
	wake = earlier(wake, q.nextLate(now))
	return earlier(earlier(wake, q.nextHopeless(now)), q.nextHedge())
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
