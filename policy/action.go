package policy

import "time"

// Spec is what a query asks for and what bounds it.
type Spec struct {
	Deadline       time.Time     // by which the answer must be decided
	MinCoverage    float64       // coverage the caller needs, 0 to 1
	Grace          time.Duration // waited for the rest once Need is reached
	PinnedSnapshot string        // snapshot that a cursor names; empty: free choice
	HedgeQuantile  float64       // quantile of latencies after which to hedge; 0: never
	MinHedgeDelay  time.Duration // lower bound of the hedge's delay
	MaxAttempts    int           // per shard, hedges included
	Plain          bool          // one attempt each, to a random replica
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
