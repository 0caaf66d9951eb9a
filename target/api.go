// Package target implements the client side of targets, the back ends that a
// search fans out to: the messages, the connections and the health of each
// target.
package target

import "encoding/json"

// The HTTP interface of a target:
//
//	POST /leaves/{leaf}/search   LeafRequest  -> LeafAnswer
//	POST /leaves/{leaf}/submit   SubmitRequest -> SubmitAnswer
//	GET  /status                 Status
//
// A target that refuses a request answers with status 503 and a Refusal. Every
// answer carries HeaderIncarnation and HeaderState. A target stops a search
// when its connection or HTTP/2 stream is cancelled or when its deadline passes.
const (
	PathStatus        = "/status"
	HeaderIncarnation = "Target-Incarnation"
	HeaderState       = "Target-State"
)

// State is a target's state as the target itself reports it. It may be out of
// date.
type State string

// The states of a target.
const (
	StateStarting State = "starting" // cold: answers slowly or refuses requests
	StateServing  State = "serving"
	StateDraining State = "draining" // leaving: accepts no new requests
)

// Kind determines the order in which a leaf returns and merges items.
type Kind string

// The kinds of idempotent requests.
const (
	KindSearch Kind = "search" // best score first
	KindBrowse Kind = "browse" // in key order, after a given key
)

// Echo identifies one attempt. Each answer repeats it. An answer whose Echo
// differs from its request's belongs to another request and must not be used.
type Echo struct {
	Request  string `json:"request"`
	Attempt  int    `json:"attempt"`
	Shard    int    `json:"shard"`
	Snapshot string `json:"snapshot"`
}

// LeafRequest is a request to one leaf for items from its shard of one snapshot.
type LeafRequest struct {
	Echo
	Kind       Kind   `json:"kind"`
	Query      string `json:"query"`
	After      string `json:"after,omitempty"` // browse: only keys greater than this
	Limit      int    `json:"limit"`           // maximum number of items
	DeadlineMS int64  `json:"deadline_ms"`     // time left, in milliseconds
}

// Item is one matching record.
type Item struct {
	Key    string          `json:"key"`
	Score  float64         `json:"score"`
	Fields json.RawMessage `json:"fields,omitempty"`
}

// LeafAnswer is a leaf's answer from its shard.
type LeafAnswer struct {
	Echo
	Items    []Item `json:"items"`
	More     bool   `json:"more"`     // Limit cut off further matches
	Records  int64  `json:"records"`  // records that the shard holds in this snapshot
	Complete bool   `json:"complete"` // false: the leaf could not read all of them
	Missing  int64  `json:"missing"`  // records that it could not read; only valid if not Complete
}

// SubmitRequest is a non-idempotent request. A target runs every one that it
// receives.
type SubmitRequest struct {
	Echo
	Key        string          `json:"key"`
	Payload    json.RawMessage `json:"payload"`
	DeadlineMS int64           `json:"deadline_ms"`
}

// SubmitAnswer confirms that the request was run.
type SubmitAnswer struct {
	Echo
	Key    string          `json:"key"`
	Result json.RawMessage `json:"result"`
}

// Reason is the reason for which a target refused a request.
type Reason string

// The reasons for a refusal.
const (
	ReasonShed       Reason = "shed"        // the target is overloaded
	ReasonDraining   Reason = "draining"    // the target is leaving
	ReasonCold       Reason = "cold"        // the target has not warmed up
	ReasonNoSnapshot Reason = "no_snapshot" // the leaf does not hold that shard of that snapshot
	ReasonDeadline   Reason = "deadline"    // the deadline had passed on arrival
)

// Refusal is the body of a response with status 503. NotStarted is true if the
// target guarantees that it did not start the request. A refusal whose Echo is
// set and differs from its request's belongs to another request.
type Refusal struct {
	Echo         *Echo  `json:"echo,omitempty"`
	Reason       Reason `json:"reason"`
	NotStarted   bool   `json:"not_started"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Holding is one shard of one snapshot that a leaf holds. Shards is the number
// of shards in that snapshot's partition map. A newer snapshot has a higher Seq.
type Holding struct {
	Snapshot string `json:"snapshot"`
	Seq      int64  `json:"seq"`
	Shards   int    `json:"shards"`
	Shard    int    `json:"shard"`
	Records  int64  `json:"records"`
}

// LeafStatus is one leaf's part of Status.
type LeafStatus struct {
	Leaf     int       `json:"leaf"`
	Load     float64   `json:"load"` // requests running and queued, as reported; may be out of date or wrong
	Holdings []Holding `json:"holdings"`
}

// Status is a target's report of its own state and of its leaves.
type Status struct {
	Target      string       `json:"target"`
	Incarnation string       `json:"incarnation"` // new at each start of the target
	State       State        `json:"state"`
	Leaves      []LeafStatus `json:"leaves"`
}
