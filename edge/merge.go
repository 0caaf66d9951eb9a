package edge

import (
	"net/http"
	"time"

	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/topk"
)

// ShardsAnswer is what a VM got from the leafs of some shards.
type ShardsAnswer struct {
	Included []int    // the shards that answered, by their number in the query
	Receipts []string // one for each
	Records  []byte   // the greatest ones of these shards

	declined []int // the shards that this VM has not asked and won't
	last     bool  // no other answer of this VM follows

	refused    bool // no leaf has run any shard, and none will
	retryAfter time.Duration
}

// mergedResult is the result of a gathered request with the shards that out includes.
func (r *runner) mergedResult(out scatter.Outcome) *Result {
	parts := r.collect(out)
	bodies := make([][]byte, 0, len(parts))
	var receipts []string
	for _, part := range parts {
		bodies = append(bodies, part.Records)
		receipts = append(receipts, part.Receipts...)
	}
	return &Result{
		Status:  http.StatusOK,
		Header:  r.e.exchange.Gathered(receipts, out.Missing),
		Body:    topk.Merge(r.req.Top, bodies),
		Outcome: out,
	}
}

// collect returns the answers that out includes, each shard in one of them only.
func (r *runner) collect(out scatter.Outcome) []ShardsAnswer {
	parts := make([]ShardsAnswer, 0, len(out.Parts)+len(out.CallAnswers))
	for _, id := range out.Parts {
		ans := r.answers[id]
		parts = append(parts, ShardsAnswer{Receipts: []string{ans.metadata.Receipt}, Records: ans.Body})
	}
	for _, n := range out.CallAnswers {
		parts = append(parts, *r.callAnswers[n])
	}
	return parts
}
