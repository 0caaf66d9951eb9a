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
	PathStatus        = "/status"            // path of the status
	HeaderIncarnation = "Target-Incarnation" // header of an answer: the value of Status.Incarnation
	HeaderState       = "Target-State"       // header of an answer: the target's State
)

// State is a target's state as the target itself reports it. It may be out of
// date.
type State string

// The states of a target.
const (
	StateStarting State = "starting" // cold: answers slowly or refuses requests
	StateServing  State = "serving"  // accepts requests
	StateDraining State = "draining" // leaving: accepts no new requests
)

// Kind is the kind of an idempotent request. It determines the order in which a leaf
// returns items.
type Kind string

// The kinds of idempotent requests.
const (
	KindSearch Kind = "search" // returns the items with the best scores, best first
	KindBrowse Kind = "browse" // returns items in key order, from after a given key
)

// Echo identifies one attempt. Each answer repeats it. An answer whose Echo
// differs from its request's belongs to another request and must not be used.
type Echo struct {
	Request  string `json:"request"`  // id of the caller's request
	Attempt  int    `json:"attempt"`  // number of the attempt within the request
	Shard    int    `json:"shard"`    // number of the shard that is read
	Snapshot string `json:"snapshot"` // name of the snapshot that is read
}

// LeafRequest is a request to one leaf for items from its shard of one snapshot.
type LeafRequest struct {
	Echo
	Kind       Kind   `json:"kind"`
	Query      string `json:"query"`           // the caller's query, unchanged
	After      string `json:"after,omitempty"` // browse: only keys greater than this
	Limit      int    `json:"limit"`           // maximum number of items
	DeadlineMS int64  `json:"deadline_ms"`     // time left for the answer, in milliseconds
}

// Item is one matching record.
type Item struct {
	Key    string          `json:"key"`              // key of the record
	Score  float64         `json:"score"`            // score of the match; higher is better
	Fields json.RawMessage `json:"fields,omitempty"` // fields of the record; passed to the caller unchanged
}

// LeafAnswer is a leaf's answer from its shard.
type LeafAnswer struct {
	Echo
	Items    []Item `json:"items"`
	More     bool   `json:"more"`     // Limit cut off further matches
	Records  int64  `json:"records"`  // records that the shard holds in this snapshot
	Complete bool   `json:"complete"` // false: the leaf could not read all of these records
	Missing  int64  `json:"missing"`  // records that the leaf could not read; only valid if not Complete
}

// SubmitRequest is a non-idempotent request. A target runs every one that it
// receives, duplicates included.
type SubmitRequest struct {
	Echo
	Key        string          `json:"key"`         // the caller's idempotency key
	Payload    json.RawMessage `json:"payload"`     // the caller's payload, unchanged
	DeadlineMS int64           `json:"deadline_ms"` // time left for the answer, in milliseconds
}

// SubmitAnswer confirms that the request was run.
type SubmitAnswer struct {
	Echo
	Key    string          `json:"key"`    // the key of the SubmitRequest
	Result json.RawMessage `json:"result"` // result for the caller, passed on unchanged
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
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"` // wait before the next try; 0 if not known
}

// Holding is one shard of one snapshot that a leaf holds.
type Holding struct {
	Snapshot string `json:"snapshot"` // name of the snapshot
	Seq      int64  `json:"seq"`      // sequence number of the snapshot; a newer snapshot has a higher one
	Shards   int    `json:"shards"`   // number of shards in the snapshot's partition map
	Shard    int    `json:"shard"`    // number of the shard that the leaf holds
	Records  int64  `json:"records"`  // number of records in that shard
}

// LeafStatus is one leaf's part of Status.
type LeafStatus struct {
	Leaf     int       `json:"leaf"` // number of the leaf within its target
	Load     float64   `json:"load"` // requests running and queued, as reported; may be out of date or wrong
	Holdings []Holding `json:"holdings"`
}

// Status is a target's report of its own state and of its leaves.
type Status struct {
	Target      string       `json:"target"`      // name of the target
	Incarnation string       `json:"incarnation"` // id of the target's process; new at each start
	State       State        `json:"state"`
	Leaves      []LeafStatus `json:"leaves"`
}
