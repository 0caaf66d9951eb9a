package scatter

import "time"

// AttemptID numbers the requests to leafs of one query, from 1.
type AttemptID int

// CallID numbers the calls to other VMs of one query, from 1.
type CallID int

// Action is something that has to be carried out for a query: Send, CallVM, or Finish.
type Action interface{ action() }

// Send sends the request to a leaf.
type Send struct {
	Attempt AttemptID
	Shard   int       // index of the shard in the query
	Leaf    LeafID    // the leaf to send it to
	Address string    // the leaf's address
	SentAt  time.Time // when the query decided to send it
	// Until is when the leaf has to stop its work, since a later answer is useless.
	Until          time.Time
	OtherZone      bool // the leaf is in another availability zone
	KeepConnection bool // the connection stays open for later requests
	Reason         AttemptReason
}

// CallVM calls another VM to query the leafs of some shards.
type CallVM struct {
	Call        CallID
	VM          VM
	SentAt      time.Time // when the query decided to make the call
	Shards      []int     // indexes of the shards in the query
	Views       []View    // for each of Shards, a hash of the common leafs that the calling VM has computed
	Required    int       // how many of Shards have to be answered so that the whole answer is sufficient
	Redelegated bool      // another VM was called for the shards before and may have queried them
	Final       bool      // no other VM would be called if this one refused
	Scarce      bool      // lost shards elsewhere use up what the whole answer may leave out
	// InterimBy is when the called VM sends a first answer with the shards answered so far.
	InterimBy time.Time
	// AnswerBy is when the called VM stops waiting for the other shards and sends its last
	// answer.
	AnswerBy time.Time
}

// Finish ends the query with an outcome. The code that drives the query decides whether requests
// in flight complete or are cancelled.
type Finish struct{ Outcome Outcome }

func (Send) action()   {}
func (CallVM) action() {}
func (Finish) action() {}

// AttemptReason is the reason for an attempt, which is a request to a leaf.
type AttemptReason int

// The reasons for an attempt.
const (
	FirstAttempt AttemptReason = iota // the shard had no attempt before
	Retry                             // an earlier attempt failed, or a call to another VM gave no answer for the shard
	Hedge                             // another attempt on the shard is slow and still in flight
)

// String returns the word used in logs and metrics.
func (r AttemptReason) String() string {
	return [...]string{"first", "retry", "hedge"}[r]
}

// Verdict is how a query ended.
type Verdict int

// The verdicts.
const (
	Answered     Verdict = iota // a leaf answered, or, for a gathered request, enough shards are answered
	LeafFailed                  // a leaf ran the request and failed; its answer is passed on
	NotRun                      // no leaf ran the request or ever will
	Unknown                     // a leaf may have run the request; there will be no answer
	TimedOut                    // a leaf may have run the request; the deadline passed
	Abandoned                   // the caller cancelled the request or disconnected
	TooFewShards                // leafs may have run the request, but too few shards answered
)

// String returns the word used in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"answered", "leaf_failed", "not_run", "unknown", "timed_out", "abandoned", "short"}[v]
}

// Outcome is the result of a query.
type Outcome struct {
	Verdict Verdict
	// Attempt is the attempt whose answer is passed on, for a request to one service.
	Attempt AttemptID
	// Parts are the attempts whose answers are included, for a gathered request.
	Parts []AttemptID
	// CallAnswers are the included answers of other VMs, numbered from 0 in the order in
	// which CallReply received them. Their shards are not among Parts.
	CallAnswers []int
	Missing     int           // number of shards that the answer leaves out
	Gaps        []Gap         // the shards without an answer, also of a request that failed
	RetryAfter  time.Duration // with NotRun: the delay after which the caller should retry
	Refusal     *Refusal      // set if this VM's own forecast refused the request
	Stopped     bool          // this VM stopped before the query was decided
	AtWork      time.Duration // if Stopped: how long the oldest attempt in flight has taken; 0 for none
	Quarantined bool          // a shard got no attempt since the request ends leafs, or may do so

	Sent, Hedges, Retries int // numbers of attempts sent, and of hedges and retries among them
	EarlyHedges           int // number of hedges sent earlier than usual, since every open shard decided
	Called                int // number of calls to other VMs
	Reasked               int // number of calls made since another VM refused the shards or left them out
}
