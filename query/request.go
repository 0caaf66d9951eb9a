package query

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// Request is a search or one browse page. The caller has checked it against
// the bundle under which it runs.
type Request struct {
	ID          string
	Search      *bundle.Search // of the bundle in force when the request arrived
	Arrived     time.Time
	TimeLimit   time.Duration // the caller waits this long from Arrived
	MinCoverage float64       // coverage
	Query       string
	MaxItems    int    // wanted at most
	Snapshot    string // that a cursor pins; empty: free choice
	After       string // browse: keys greater than this
}

// Answer is the outcome of a Request.
type Answer struct {
	Code       result.Code
	Detail     string
	RetryAfter time.Duration // for codes that say later
	Ran        result.Ran
	Snapshot   policy.Snapshot
	Coverage   policy.Coverage
	Items      []target.Item
	More       bool // further matches exist beyond Items
	Sent       int  // attempts
	Hedges     int
	Retries    int
}

// decisionReserve is the part of the time limit that is kept for merging and
// sending the answer, within bounds.
const (
	reserveDivisor = 20 // one part in
	minReserve     = 2 * time.Millisecond
	maxReserve     = 20 * time.Millisecond
)

// deadline is when the decision must be made for the answer to arrive in time.
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
