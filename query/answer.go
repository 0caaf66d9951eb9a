package query

import (
	"cmp"
	"slices"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// newAnswer turns a query's outcome into the caller's answer. Items are given
// only with an answer that meets the coverage that the caller needs.
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

func resultCode(req *Request, out *policy.Outcome) result.Code {
	switch {
	case out.End == policy.EndNoSnapshot && req.Snapshot != "":
		return result.CursorGone
	case out.End == policy.EndNoSnapshot:
		return result.NoReplica
	case out.Coverage.AllAnswered():
		return result.Complete
	case len(out.Answers) > 0 && out.Coverage.Ratio() >= req.MinCoverage:
		return result.Partial
	case out.Sent == 0:
		return result.NoReplica
	case out.NotRun():
		return result.NotStarted
	case out.End == policy.EndDeadline:
		return result.TimedOut
	default:
		return result.CoverageTooLow
	}
}

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

// merge returns the first items of all answers in the order of the search's
// kind. Each leaf gave as many as the caller wants, so none is lost here but
// those beyond the caller's own limit, and More says that these exist.
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

func byKey(a, b target.Item) int { return cmp.Compare(a.Key, b.Key) }

func byScore(a, b target.Item) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}
