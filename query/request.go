package query

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// Request is a search or one browse page. It must already be checked against the
// bundle under which it runs.
type Request struct {
	ID          string         // id of the caller's request
	Search      *bundle.Search // from the bundle in force when the request arrived
	Arrived     time.Time      // when the request arrived at this VM
	TimeLimit   time.Duration  // how long the caller waits, from Arrived
	MinCoverage float64        // coverage that the caller needs, 0 to 1
	Query       string         // passed to the leaves unchanged
	MaxItems    int            // maximum number of items to return
	Snapshot    string         // name of the snapshot to read, from a cursor; empty if any may be read
	After       string         // browse only: return keys greater than this one
}

// Answer is the outcome of a Request.
type Answer struct {
	Code       result.Code
	Detail     string          // more about Code, for the caller; may be empty
	RetryAfter time.Duration   // wait before the caller may retry; for codes whose Retry is RetryLater
	Ran        result.Ran      // whether a target ran the request
	Snapshot   policy.Snapshot // the snapshot that was read
	Coverage   policy.Coverage // how much of the snapshot the answer is based on
	Items      []target.Item   // the records found: best score first, or in key order for a browse page
	More       bool            // further matches exist beyond Items
	Sent       int             // attempts sent, hedges and retries included
	Hedges     int             // how many of the attempts sent were hedges
	Retries    int             // how many of the attempts sent were retries
}

// The part of the time limit that is reserved for merging and sending the answer.
const (
	reserveDivisor = 20                    // the reserved time is the request's time limit divided by this, within minReserve and maxReserve
	minReserve     = 2 * time.Millisecond  // least time reserved for merging and sending an answer
	maxReserve     = 20 * time.Millisecond // longest time reserved for merging and sending an answer
)

// deadline returns when the outcome must be decided for the answer to arrive in time: the
// end of the time limit, less the time reserved for merging and sending the answer.
func (r *Request) deadline() time.Time {
	reserve := min(max(r.TimeLimit/reserveDivisor, minReserve), maxReserve)
	return r.Arrived.Add(r.TimeLimit - reserve)
}

// plain reports whether the search has bundle.PolicyPlain: one attempt per shard, to a random
// replica, without hedges, retries and admission. The end of such a request is not recorded
// in the admission policy and the metrics.
func (r *Request) plain() bool { return r.Search.Policy == bundle.PolicyPlain }

// spec returns the request's deadline, coverage, and rules for hedges and retries, in the form
// that package policy takes. Plain states that the search uses bundle.PolicyPlain.
func (r *Request) spec() policy.Spec {
	s := r.Search
	return policy.Spec{
		Deadline:       r.deadline(),
		MinCoverage:    r.MinCoverage,
		Grace:          time.Duration(s.Coverage.GraceMS) * time.Millisecond,
		PinnedSnapshot: r.Snapshot,
		HedgeQuantile:  s.Hedge.Quantile,
		MinHedgeDelay:  time.Duration(s.Hedge.MinDelayMS) * time.Millisecond,
		MaxAttempts:    max(s.Retry.MaxAttempts, 1),
		Plain:          r.plain(),
	}
}
