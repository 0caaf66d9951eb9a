package policy

import "time"

// Spec holds the requirements and limits of a query.
type Spec struct {
	Deadline       time.Time     // the query finishes at this time at the latest
	MinCoverage    float64       // lowest Coverage.Ratio that the caller accepts, 0 to 1
	Grace          time.Duration // wait for the remaining shards once MinCoverage is reached
	PinnedSnapshot string        // name of the snapshot to read, from the caller's cursor; empty: any snapshot
	HedgeQuantile  float64       // latency quantile after which to hedge, 0 to 1; 0: never
	MinHedgeDelay  time.Duration // lower bound of the hedge delay
	MaxAttempts    int           // upper bound of the attempts per shard that a target may have started, hedges included
	Plain          bool          // bundle.PolicyPlain: one attempt per shard, to a random replica, without hedges and retries
}

// AttemptID numbers the attempts of one query, starting at 1.
type AttemptID int

// Action is a step that the caller of a Query must carry out.
type Action interface{ isAction() }

// Send starts an attempt: a request to one replica for one shard.
type Send struct {
	Attempt  AttemptID
	Replica  ReplicaID
	Shard    int           // number of the shard, from 0
	Snapshot string        // name of the snapshot to read
	Hedge    bool          // sent because an earlier attempt on the shard is slow
	Timeout  time.Duration // until the query's deadline; 0 from a Submission
}

// Cancel cancels an attempt whose answer is no longer needed. An answer that
// still arrives is ignored.
type Cancel struct{ Attempt AttemptID }

// Finish reports the outcome of the query. It is the last action of a Query.
type Finish struct{ Outcome Outcome }

func (Send) isAction()   {}
func (Cancel) isAction() {}
func (Finish) isAction() {}
