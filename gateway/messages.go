package gateway

import (
	"encoding/json"

	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// The HTTP headers of requests and answers.
const (
	HeaderKey        = "Idempotency-Key" // of a non-idempotent request: the key under which it runs at most once
	HeaderTimeLimit  = "Time-Limit-Ms"   // of a non-idempotent request: how long the caller waits, in ms
	HeaderRequest    = "Request-Id"      // of an answer: the id that this VM gave to the request
	HeaderRetryAfter = "Retry-After"     // of an answer: wait before a retry, in whole seconds, rounded up
)

// SearchBody is the body of a request for a search or a browse page.
type SearchBody struct {
	Query       string  `json:"query"`                   // passed to the targets unchanged
	Limit       int     `json:"limit,omitempty"`         // maximum number of items; the bundle's max_items if 0
	TimeLimitMS int     `json:"time_limit_ms,omitempty"` // how long the caller waits; the bundle's default if 0
	Coverage    float64 `json:"coverage,omitempty"`      // least coverage, 0 to 1; the bundle's default if 0
	Cursor      string  `json:"cursor,omitempty"`        // from the answer with the previous page; browse only
	Explain     bool    `json:"explain,omitempty"`       // list the shards with missing records
}

// Coverage states how many of a snapshot's shards and records an answer is based on.
type Coverage struct {
	Ratio          float64           `json:"ratio"`           // share of the shards that was read, 0 to 1
	Shards         int               `json:"shards"`          // number of shards in the snapshot's partition map
	ShardsAnswered int               `json:"shards_answered"` // number of shards that answered completely
	Records        int64             `json:"records"`         // number of records that were read
	Missing        int64             `json:"missing"`         // records known to be missing
	UnknownShards  int               `json:"unknown_shards"`  // shards whose missing records cannot be counted
	Gaps           []policy.ShardGap `json:"gaps,omitempty"`  // the shards with missing records; only if the request says explain
}

// Answer is the body of every answer.
type Answer struct {
	Code         int             `json:"code"`               // the result code
	Name         string          `json:"name"`               // name of the result code
	Text         string          `json:"text"`               // what the result code means
	Detail       string          `json:"detail,omitempty"`   // more about this failure; may be empty
	Request      string          `json:"request"`            // the id that this VM gave to the request
	Ran          string          `json:"ran"`                // whether a target ran the request: "run", "not run" or "unknown"
	Revision     uint64          `json:"revision"`           // revision of the bundle under which the request was handled; 0 if none was in force
	Snapshot     string          `json:"snapshot,omitempty"` // name of the snapshot that was read
	Coverage     *Coverage       `json:"coverage,omitempty"`
	Items        []target.Item   `json:"items,omitempty"`
	More         bool            `json:"more,omitempty"`           // further matches exist beyond Items
	Cursor       string          `json:"cursor,omitempty"`         // for the request of the next page; browse only
	Result       json.RawMessage `json:"result,omitempty"`         // the target's result of a non-idempotent request
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"` // wait before a retry, in ms; 0 if none is stated
	TookMS       float64         `json:"took_ms"`                  // time from the arrival of the request to its answer, in ms
	Attempts     int             `json:"attempts,omitempty"`       // calls to leaves
}
