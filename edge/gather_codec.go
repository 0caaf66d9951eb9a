package edge

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// The messages between VMs. They travel as CBOR bodies beside JSON-RPC notifications:
// JSON-RPC walks through parameters several times and writes records as text.
const (
	methodGather   = "gather"   // gatherCall: ask the leafs of some shards
	methodGathered = "gathered" // gatherAnswer: what they answered, in one message or two
)

// gatherCall asks a VM for the shards near it.
type gatherCall struct {
	Key                uint64      `cbor:"1,keyasint"` // of the call, chosen by the caller
	ID                 string      `cbor:"2,keyasint"` // of the caller's request
	Method             string      `cbor:"3,keyasint"`
	Target             string      `cbor:"4,keyasint"` // path and query
	Host               string      `cbor:"5,keyasint"`
	Header             http.Header `cbor:"6,keyasint"`
	Services           []string    `cbor:"7,keyasint"` // one shard each
	Top                int         `cbor:"8,keyasint"`
	MaxAttempts        int         `cbor:"9,keyasint"`
	LatencyObjectiveUS int64       `cbor:"10,keyasint"`
	InterimUS          int64       `cbor:"11,keyasint"` // from now until a first answer with what has come in
	AnswerUS           int64       `cbor:"12,keyasint"` // until the last one
	DeadlineUS         int64       `cbor:"13,keyasint"` // until the caller's deadline
	// Views is what the calling VM knows of each of Services.
	Views []scatter.View `cbor:"14,keyasint"`
	// Required is how many of Services the whole answer can't do without; 0 if not stated.
	Required int `cbor:"15,keyasint,omitempty"`
	// Redelegated says that another VM was called for the same before, and is silent.
	Redelegated bool `cbor:"16,keyasint,omitempty"`
}

// gatherAnswer is an answer to a gatherCall; an empty one acknowledges it. Each shard is in one
// answer at most.
type gatherAnswer struct {
	Key      uint64   `cbor:"1,keyasint"` // of the call
	Included []int    `cbor:"2,keyasint"` // indexes of gatherCall.Services
	Receipts []string `cbor:"3,keyasint"` // one for each of Included
	Records  []byte   `cbor:"4,keyasint"` // the greatest ones of these shards
	Last     bool     `cbor:"5,keyasint"` // no other answer follows
	// Declined are indexes of gatherCall.Services that were not asked and won't be.
	Declined []int `cbor:"6,keyasint,omitempty"`
	// Refused says that no leaf has run any of the others, and none will; the caller's
	// caller should come back after RetryAfterUS. Only with Last.
	Refused      bool  `cbor:"7,keyasint,omitempty"`
	RetryAfterUS int64 `cbor:"8,keyasint,omitempty"`
}

// decodeBody decodes a message. The other end is a VM of this system, perhaps of a
// later release: unknown fields are passed over.
func decodeBody(body []byte, into any) error {
	if err := cbor.Unmarshal(body, into); err != nil {
		return result.Wrap(result.BadMessage, err, "body")
	}
	return nil
}
