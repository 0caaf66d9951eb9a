package query

import (
	"cmp"
	"slices"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// newAnswer turns a query's outcome into the caller's answer. It includes items only
// if the answer reaches the coverage that the caller needs.
func newAnswer(req *Request, out *policy.Outcome) *Answer {
	a := &Answer{
		Code:     resultCode(req, out),
		Ran:      ranState(out),
		Snapshot: out.Snapshot,
		Coverage: out.Coverage,
		Sent:     out.Sent,
		Hedges:   out.Hedges,
		Retries:  out.Retries,
	}
	switch a.Code {
	case result.Complete, result.Partial:
		a.Items, a.More = merge(req, out.Answers)
	default:
		if a.Code.Info().Retry == result.RetryLater {
			a.RetryAfter = defaultRetryAfter
		}
	}
	return a
}

// resultCode returns the code of the answer to a query that ended with out. It is Complete
// if all shards answered, Partial if the answers reach the coverage that the caller needs,
// and otherwise the reason of the failure.
func resultCode(req *Request, out *policy.Outcome) result.Code {
	switch {
	case out.End == policy.EndNoSnapshot && req.Snapshot != "": // a cursor named the snapshot
		return result.CursorGone
	case out.End == policy.EndNoSnapshot:
		return result.NoReplica
	case out.Coverage.AllAnswered():
		return result.Complete
	case len(out.Answers) > 0 && out.Coverage.Ratio() >= req.MinCoverage:
		return result.Partial
	case out.Sent == 0: // no attempt was sent to any leaf
		return result.NoReplica
	case out.NotRun():
		return result.NotStarted
	case out.End == policy.EndDeadline:
		return result.TimedOut
	default:
		return result.CoverageTooLow
	}
}

// ranState returns whether a target ran the query: RanYes if a leaf answered, RanNo if it is
// certain that none ran it, and RanUnknown otherwise.
func ranState(out *policy.Outcome) result.Ran {
	switch {
	case len(out.Answers) > 0:
		return result.RanYes
	case out.NotRun():
		return result.RanNo
	default:
		return result.RanUnknown
	}
}

// merge sorts the items of all answers, by key for a browse page and by score for a
// search. It returns the first req.MaxItems of them, and whether further matches exist.
// Each leaf returns up to req.MaxItems items, so merge drops only items beyond the
// caller's own limit.
func merge(req *Request, answers []*target.LeafAnswer) ([]target.Item, bool) {
	var items []target.Item
	more := false
	for _, a := range answers {
		items = append(items, a.Items...)
		more = more || a.More
	}
	if req.Search.Kind == bundle.KindBrowse {
		slices.SortFunc(items, byKey)
	} else {
		slices.SortFunc(items, byScore)
	}
	if len(items) > req.MaxItems {
		items = slices.Clip(items[:req.MaxItems])
		more = true
	}
	return items, more
}

// byKey compares two items for sorting by ascending key.
func byKey(a, b target.Item) int { return cmp.Compare(a.Key, b.Key) }

// byScore compares two items for sorting: best score first, equal scores by ascending key.
func byScore(a, b target.Item) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}
