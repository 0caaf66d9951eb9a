// Package target is the client's side of the targets that a search fans out
// to: the messages, the connections and the health of each target.
package target

import "encoding/json"

// The HTTP interface of a target:
//
//	POST /leaves/{leaf}/search   LeafRequest  -> LeafAnswer
//	POST /leaves/{leaf}/submit   SubmitRequest -> SubmitAnswer
//	GET  /status                 Status
//
// A target that refuses answers with status 503 and a Refusal. Every answer
// carries HeaderIncarnation and HeaderState. A target gives up a search when
// its connection or HTTP/2 stream is cancelled or when its deadline passes.
const (
	PathStatus        = "/status"
	HeaderIncarnation = "Target-Incarnation"
	HeaderState       = "Target-State"
)

// State is what a target says of itself. It lags.
type State string

// The states of a target.
const (
	StateStarting State = "starting" // cold: answers slowly or refuses
	StateServing  State = "serving"
	StateDraining State = "draining" // leaving: takes no new work
)

// Kind tells how a leaf orders and merges.
type Kind string

// The kinds of idempotent requests.
const (
	KindSearch Kind = "search" // best score first
	KindBrowse Kind = "browse" // in order of keys, after a given key
)

// Echo names one attempt. Each answer repeats it; an answer whose Echo differs
// from its request's belongs to some other request and must not be used.
type Echo struct {
	Request  string `json:"request"`
	Attempt  int    `json:"attempt"`
	Shard    int    `json:"shard"`
	Snapshot string `json:"snapshot"`
}

// LeafRequest asks one leaf for its shard of one snapshot.
type LeafRequest struct {
	Echo
	Kind       Kind   `json:"kind"`
	Query      string `json:"query"`
	After      string `json:"after,omitempty"` // browse: keys greater than this
	Limit      int    `json:"limit"`           // items wanted at most
	DeadlineMS int64  `json:"deadline_ms"`     // time left, in milliseconds
}

// Item is one record found.
type Item struct {
	Key    string          `json:"key"`
	Score  float64         `json:"score"`
	Fields json.RawMessage `json:"fields,omitempty"`
}

// LeafAnswer is a leaf's answer from its shard.
type LeafAnswer struct {
	Echo
	Items    []Item `json:"items"`
	More     bool   `json:"more"`     // further matches were left out because of Limit
	Records  int64  `json:"records"`  // records that the shard holds in this snapshot
	Complete bool   `json:"complete"` // false: the leaf itself could not read all of them
	Missing  int64  `json:"missing"`  // records it could not read; meaningful if not Complete
}

// SubmitRequest is a non-idempotent request. A target runs each one it gets.
type SubmitRequest struct {
	Echo
	Key        string          `json:"key"`
	Payload    json.RawMessage `json:"payload"`
	DeadlineMS int64           `json:"deadline_ms"`
}

// SubmitAnswer says that the request was run.
type SubmitAnswer struct {
	Echo
	Key    string          `json:"key"`
	Result json.RawMessage `json:"result"`
}

// Reason is why a target refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonShed       Reason = "shed"        // too much load
	ReasonDraining   Reason = "draining"    // the target is leaving
	ReasonCold       Reason = "cold"        // the target has not warmed up
	ReasonNoSnapshot Reason = "no_snapshot" // the leaf does not hold that shard of that snapshot
	ReasonDeadline   Reason = "deadline"    // the deadline had passed on arrival
)

// Refusal is the body of a status 503. NotStarted is true if the target
// guarantees that it did not start the request. A refusal whose Echo is given
// and differs from its request's belongs to some other request.
type Refusal struct {
	Echo         *Echo  `json:"echo,omitempty"`
	Reason       Reason `json:"reason"`
	NotStarted   bool   `json:"not_started"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Holding is one shard of one snapshot on a leaf. Shards is the number of
// shards of that snapshot's partition map; Seq orders snapshots, newest last.
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
	Load     float64   `json:"load"` // requests running and queued, as reported; lags or misleads
	Holdings []Holding `json:"holdings"`
}

// Status is what a target says of itself.
type Status struct {
	Target      string       `json:"target"`
	Incarnation string       `json:"incarnation"` // new at each start of the target
	State       State        `json:"state"`
	Leaves      []LeafStatus `json:"leaves"`
}
