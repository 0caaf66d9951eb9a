package edge

import (
	"net/http"
	"time"

	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/topk"
)

// ShardsAnswer is the answer of some shards, from one leaf or from another VM.
type ShardsAnswer struct {
	Included []int    // shards that answered, as shard numbers of the query
	Receipts []string // one for each shard in Included
	Records  []byte   // merged top records of these shards

	declined []int // shards that the called VM has not queried and will not
	leftOut  []int // shards for which the called VM sends nothing, since they are forecast to be late
	last     bool  // no further answer to the call follows

	refused    bool                 // no leaf has run the request for any shard, and none will
	retryAfter time.Duration        // with refused: delay after which the caller of the request should retry
	cause      scatter.RefusalCause // with refused
	leafTime   time.Duration        // how long a leaf of usual speed takes, as the called VM has measured it; 0 if not stated
}

// mergedResult returns the result of a gathered request, merged from the shards that out
// includes.
func (r *runner) mergedResult(out scatter.Outcome) *Result {
	answers := r.collect(out)
	bodies := make([][]byte, 0, len(answers))
	var receipts []string
	for _, answer := range answers {
		bodies = append(bodies, answer.Records)
		receipts = append(receipts, answer.Receipts...)
	}
	return &Result{
		Status:  http.StatusOK,
		Header:  r.e.headerCodec.GatheredHeaders(receipts, out.Missing),
		Body:    topk.Merge(r.req.Top, bodies),
		Outcome: out,
		dueAt:   r.dueAt,
	}
}

// collect returns the answers of leafs and of other VMs that out includes. Each shard is in one
// of them only. Included is not set in the answers of leafs.
func (r *runner) collect(out scatter.Outcome) []ShardsAnswer {
	answers := make([]ShardsAnswer, 0, len(out.Parts)+len(out.CallAnswers))
	for _, id := range out.Parts {
		ans := r.replies[id]
		answers = append(answers, ShardsAnswer{Receipts: []string{ans.metadata.Receipt}, Records: ans.Body})
	}
	for _, n := range out.CallAnswers {
		answers = append(answers, *r.callAnswers[n])
	}
	return answers
}
