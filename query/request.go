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
	ID          string
	Search      *bundle.Search // from the bundle in force when the request arrived
	Arrived     time.Time
	TimeLimit   time.Duration // how long the caller waits, from Arrived
	MinCoverage float64       // coverage that the caller needs, 0 to 1
	Query       string
	MaxItems    int    // maximum number of items to return
	Snapshot    string // the one that a cursor names; empty if any may be read
	After       string // browse only: return keys greater than this one
}

// Answer is the outcome of a Request.
type Answer struct {
	Code       result.Code
	Detail     string
	RetryAfter time.Duration // for codes whose Retry is RetryLater
	Ran        result.Ran
	Snapshot   policy.Snapshot
	Coverage   policy.Coverage
	Items      []target.Item
	More       bool // further matches exist beyond Items
	Sent       int  // attempts sent, hedges and retries included
	Hedges     int
	Retries    int
}

// The part of the time limit that is reserved for merging and sending the answer: one
// part in reserveDivisor, within minReserve and maxReserve.
const (
	reserveDivisor = 20
	minReserve     = 2 * time.Millisecond
	maxReserve     = 20 * time.Millisecond
)

// deadline returns when the outcome must be decided for the answer to arrive in time.
func (r *Request) deadline() time.Time {
	reserve := min(max(r.TimeLimit/reserveDivisor, minReserve), maxReserve)
	return r.Arrived.Add(r.TimeLimit - reserve)
}

func (r *Request) plain() bool { return r.Search.Policy == bundle.PolicyPlain }

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
