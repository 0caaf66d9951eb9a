package gateway

import (
	"encoding/json"

	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// The HTTP headers of requests and answers.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderTimeLimit  = "Time-Limit-Ms" // of a non-idempotent request
	HeaderRequest    = "Request-Id"
	HeaderRetryAfter = "Retry-After" // whole seconds, rounded up
)

// SearchBody is the body of a search or a browse page.
type SearchBody struct {
	Query       string  `json:"query"`
	Limit       int     `json:"limit,omitempty"`         // maximum number of items; the bundle's max_items if 0
	TimeLimitMS int     `json:"time_limit_ms,omitempty"` // the bundle's default if 0
	Coverage    float64 `json:"coverage,omitempty"`      // least coverage, 0 to 1; the bundle's default if 0
	Cursor      string  `json:"cursor,omitempty"`        // from the answer with the page before; browse only
	Explain     bool    `json:"explain,omitempty"`       // list the shards with missing records
}

// Coverage states how many of a snapshot's shards and records an answer is based on.
type Coverage struct {
	Ratio          float64           `json:"ratio"`           // share of the shards that was read, 0 to 1
	Shards         int               `json:"shards"`          // of the snapshot's partition map
	ShardsAnswered int               `json:"shards_answered"` // completely
	Records        int64             `json:"records"`         // read
	Missing        int64             `json:"missing"`         // records known to be missing
	UnknownShards  int               `json:"unknown_shards"`  // shards whose missing records cannot be counted
	Gaps           []policy.ShardGap `json:"gaps,omitempty"`  // only if the request says explain
}

// Answer is the body of every answer.
type Answer struct {
	Code         int             `json:"code"`
	Name         string          `json:"name"`
	Text         string          `json:"text"`
	Detail       string          `json:"detail,omitempty"`
	Request      string          `json:"request"`
	Ran          string          `json:"ran"` // "run", "not run" or "unknown"
	Revision     uint64          `json:"revision"`
	Snapshot     string          `json:"snapshot,omitempty"`
	Coverage     *Coverage       `json:"coverage,omitempty"`
	Items        []target.Item   `json:"items,omitempty"`
	More         bool            `json:"more,omitempty"` // further matches exist
	Cursor       string          `json:"cursor,omitempty"`
	Result       json.RawMessage `json:"result,omitempty"` // of a non-idempotent request
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	TookMS       float64         `json:"took_ms"`
	Attempts     int             `json:"attempts,omitempty"` // calls to leaves
}
