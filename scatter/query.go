package scatter

import "time"

// Spec is one request as the core sees it.
type Spec struct {
	Services   []string // one shard each; a request to a single service has one
	Gathered   bool
	Idempotent bool
	// MaxAttempts is how many leafs may run the request, for each shard.
	MaxAttempts int
	// MinShare is the share of the shards without which an answer is a failure.
	MinShare         float64
	LatencyObjective time.Duration
	// AnswerBy is when a gathered request is answered with what has come in.
	AnswerBy time.Time
	Deadline time.Time
	// MayDelegate allows to ask other VMs for the shards that have no leaf near.
	MayDelegate bool
	// RequestID is the id of the caller's request, the same at all VMs that take part.
	RequestID string
	// Delegated says that another VM asked for it. Views are what that one knows of each
	// service; a shard of which this VM knows otherwise is declined.
	Delegated bool
	Views     []View
	// Required is how many of Services the whole answer can't do without, of a request that
	// another VM delegates; 0 if it doesn't say.
	Required int
	// Redelegated says that yet another VM was asked for the same before: each arrival is a further
	// one, and leafs are chosen as if that one had asked them too.
	Redelegated bool
	// BudgetWeight is the part of a request that counts here for the budget, from 0 to 1:
	// of one that another VM passes on, it counts the rest.
	BudgetWeight float64
}

// AttemptID numbers the requests to leafs of one query, from 1.
type AttemptID int

// CallID numbers the calls to other VMs of one query, from 1.
type CallID int

// Action is something to be done for a query: Send, Ask, or Finish.
type Action interface{ action() }

// Send hands the request to a leaf.
type Send struct {
	Attempt AttemptID
	Shard   int
	Leaf    LeafID
	Address string
	SentAt  time.Time
	// Until is when the leaf is to stop: later, its answer is of no use.
	Until          time.Time
	OtherZone      bool // in another availability zone
	KeepConnection bool // the connection, for later requests
	Reason         AttemptReason
}

// CallVM lets another VM ask the leafs of some shards.
type CallVM struct {
	Call        CallID
	VM          VM
	SentAt      time.Time
	Shards      []int
	Views       []View // one for each of Shards
	Required    int    // of Shards, without which there is no answer
	Redelegated bool   // another VM was asked before, which is silent
	// InterimBy is when that VM answers with what it has, and AnswerBy when it gives
	// up on the rest.
	InterimBy time.Time
	AnswerBy  time.Time
}

// Finish ends the query. What is in flight is the caller's to let end or cut.
type Finish struct{ Outcome Outcome }

func (Send) action()   {}
func (CallVM) action() {}
func (Finish) action() {}

// AttemptReason says what made an attempt necessary.
type AttemptReason int

// The reasons of an attempt.
const (
	FirstAttempt AttemptReason = iota
	Retry                      // after a failure
	Hedge                      // beside one that is slow
)

// String returns the word used in logs and metrics.
func (w AttemptReason) String() string {
	return [...]string{"first", "retry", "hedge"}[w]
}

// Verdict is how a query ended.
type Verdict int

// The verdicts.
const (
	Answered     Verdict = iota // by a leaf, or with enough shards
	LeafFailed                  // a leaf ran it and failed; its answer is passed on
	NotRun                      // no leaf ran it or ever will
	Unknown                     // a leaf may have run it; no answer is to be had
	TimedOut                    // a leaf may have run it; the time is over
	Abandoned                   // the caller left
	TooFewShards                // leafs ran it, but too few shards answered
)

// String returns the word used in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"answered", "leaf_failed", "not_run", "unknown", "timed_out", "abandoned", "short"}[v]
}

// Outcome is what a query came to.
type Outcome struct {
	Verdict Verdict
	// Attempt is the one whose answer is passed on, for a request to one service.
	Attempt AttemptID
	// Parts are the attempts whose answers are included, for a gathered request.
	Parts []AttemptID
	// CallAnswers are the answers of other VMs that are included, numbered from 0 in the order
	// in which CallReply took them. Their shards are not among Parts.
	CallAnswers []int
	Missing     int           // shards that are left out
	Gaps        []Gap         // the shards without an answer, also of a request that failed
	RetryAfter  time.Duration // with NotRun: when to come back
	Refusal     *Refusal      // if this VM's own forecast refused it

	Sent, Hedges, Retries int
	Called                int // calls to other VMs
}

// Query is the course of one request. Feed it Start once, then the events; carry out
// the actions that each returns, until Finish.
//
// Invariants: exactly one Finish; attempts that may have run <= MaxAttempts for each
// shard; of a request that is not idempotent no attempt is sent after one that may
// have run; every attempt after a shard's first arrival was taken from the budget.
type Query struct {
	spec      Spec
	table     *Table
	shards    []shard
	startedAt time.Time
	done      bool

	attempts      map[AttemptID]*attempt
	calls         map[CallID]*call
	callAnswers   []callAnswer // of other VMs, in the order in which they came
	lastAttempt   AttemptID    // newest number
	failedAttempt AttemptID    // the latest with a leaf's own failure
	hedgeRetryAt  time.Time    // no hedge before; one that was due found no idle leaf or no budget

	omissionsLeft int           // shards that may be left out besides those that are
	refusal       *Refusal      // nil if this VM did not refuse
	retryAfter    time.Duration // that a refused caller is told; 0 if nobody refused

	sent, hedges, retries int
}

// shard is the state of one service's part of a query.
type shard struct {
	service        string
	tried          []LeafID
	sends          int
	inFlight       int  // attempts without an end
	maybeRan       int  // attempts that ran or may have
	arrived        bool // an attempt reached a leaf or may have
	budgetCounted  bool // as a first arrival
	hedged         bool
	hedgeAt        time.Time // when the latest attempt is slow enough for a hedge
	pollAt         time.Time // when to look for a leaf again; zero if not waiting
	waitingOn      *service  // that counts it among the waiting, nil for none
	closed         bool      // no further attempt will be made
	gap            GapCause  // why it was closed
	declined       bool      // left to the VM that called
	answer         AttemptID // 0 without one
	call           CallID    // that it was delegated to last; 0 if to none
	redelegated    bool      // it was delegated twice
	shared         bool      // another VM may ask it too
	commonLeafs    []LeafID  // that either VM may ask, if it is shared
	ownChoice      LeafID    // that only this VM asks, if it is shared; zero for none
	includedAnswer int       // the number of the included answer of another VM that has it, from 1; 0 without one
}

func (s *shard) answered() bool { return s.answer != 0 || s.includedAnswer != 0 }

type attempt struct {
	shard  int
	leaf   LeafID
	sentAt time.Time
}

type call struct {
	vm          string
	partition   zonePartition
	redelegated bool // follows another call for the same shards
	shards      []int
	sentAt      time.Time
	acked       bool      // the VM has said anything
	failoverAt  time.Time // when its shards are asked for elsewhere
	// writtenAt is when the call went out, zero before; ackDue is by when it must be
	// acknowledged, zero before it went out and once it was.
	writtenAt, ackDue time.Time
	answered          bool // it has answered, perhaps in part
	finished          bool // nothing more will come of it
	resolved          bool
}

// overdueTime is when the shards of a call are asked for elsewhere unless its VM says something.
func (c *call) overdueTime() time.Time { return earlier(c.failoverAt, c.ackDue) }

// callAnswer is what one answer of another VM includes. It can't be taken apart.
type callAnswer struct {
	shards []int
	used   bool
}

// NewQuery returns a query that has not begun.
func NewQuery(spec Spec, table *Table) *Query {
	q := &Query{
		spec:     spec,
		table:    table,
		shards:   make([]shard, len(spec.Services)),
		attempts: make(map[AttemptID]*attempt),
		calls:    make(map[CallID]*call),
	}
	for i, name := range spec.Services {
		q.shards[i].service = name
	}
	return q
}

// Start sends the first attempts, or refuses the request if it can't be answered in time.
func (q *Query) Start(now time.Time) []Action {
	q.startedAt = now
	var calls []delegation
	if q.spec.MayDelegate {
		calls = q.delegations(now)
	}
	if q.spec.Delegated {
		q.decline()
	}
	if !q.admit(now, q.ownShards(calls)) {
		return q.finish(q.failureOutcome(TooFewShards))
	}
	var acts []Action
	for _, d := range calls {
		acts = append(acts, q.callVM(now, d, false))
	}
	hold := q.holdsOwnShards(now, calls)
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.call != 0 || s.closed:
		case hold:
			q.schedulePoll(s, now.Add(holdTime))
		default:
			acts = append(acts, q.trySend(now, i, FirstAttempt)...)
		}
	}
	return q.conclude(now, acts)
}

// decline leaves the shards of which this VM knows other leafs to the VM that called.
func (q *Query) decline() {
	for i := range q.shards {
		s := &q.shards[i]
		q.shareShard(s, q.table.zone)
		s.declined = q.table.View(s.service) != q.spec.Views[i]
		if s.declined {
			s.close(GapDeclined)
		}
	}
}

// ownShards returns the shards whose leafs this VM asks itself.
func (q *Query) ownShards(calls []delegation) []int {
	delegated := make(map[int]bool)
	for _, d := range calls {
		for _, i := range d.shards {
			delegated[i] = true
		}
	}
	var list []int
	for i := range q.shards {
		if !delegated[i] && !q.shards[i].closed {
			list = append(list, i)
		}
	}
	return list
}

// shareShard fixes the leafs that may run a shard for either VM, where another may ask for it too.
func (q *Query) shareShard(s *shard, zone string) {
	s.shared = true
	s.commonLeafs = q.table.commonLeafs(s.service, zone, q.spec.RequestID, q.spec.MaxAttempts)
}

// Declined returns the shards of a delegated query that this VM does not ask, since it
// knows other leafs of them than the VM that called.
func (q *Query) Declined() []int {
	var list []int
	for i := range q.shards {
		if q.shards[i].declined {
			list = append(list, i)
		}
	}
	return list
}

// Reply takes a leaf's answer. Failed says that it is the leaf's own failure.
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
		q.schedulePoll(s, time.Time{})
	}
	return q.conclude(now, nil)
}

// Fail takes that an attempt ended without an answer.
func (q *Query) Fail(now time.Time, id AttemptID, end End) []Action {
	a := q.attempts[id]
	if a == nil || q.done {
		return nil
	}
	delete(q.attempts, id)
	s := &q.shards[a.shard]
	s.inFlight--
	if !end.mayHaveRun() {
		s.maybeRan--
		s.clearChoice(a.leaf)
	}
	if end != EndUnreachable {
		s.arrived = true
	}
	return q.conclude(now, q.retryShard(now, a.shard))
}

// Tick takes that time has passed. Call it at the time that Wake returned.
func (q *Query) Tick(now time.Time) []Action {
	if q.done {
		return nil
	}
	if !now.Before(q.spec.Deadline) {
		return q.finish(q.atDeadline())
	}
	if out, decided := q.decide(now); decided {
		// Whatever is overdue after a pause of this VM, an answer comes first.
		return q.finish(out)
	}
	acts := q.failOverOverdueCalls(now)
	for i := range q.shards {
		s := &q.shards[i]
		if !s.pollAt.IsZero() && !now.Before(s.pollAt) {
			q.schedulePoll(s, time.Time{})
			acts = append(acts, q.retryShard(now, i)...)
		}
	}
	acts = append(acts, q.hedge(now)...)
	return q.conclude(now, acts)
}

// AnsweredAttempts returns the attempts that answered a shard so far, for a query that
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

// Abandon takes that the caller left.
func (q *Query) Abandon() []Action {
	if q.done {
		return nil
	}
	return q.finish(Outcome{Verdict: Abandoned})
}

func (q *Query) durationKey() durationKey {
	return durationKey{objective: q.spec.LatencyObjective, shard: q.spec.Gathered}
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Wake returns when Tick has to be called next if nothing else happens.
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
	return earlier(wake, q.nextHedge())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
