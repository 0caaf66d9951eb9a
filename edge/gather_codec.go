package edge

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleybarrow/bramleybarrow/quarantine"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Methods of the messages between VMs. Each message is a JSON-RPC notification with a body in
// CBOR instead of parameters in JSON. JSON parameters would be parsed several times, and
// records in them would be encoded as text.
const (
	methodGather   = "gather"   // method of a gatherCall, which requests the results of some shards
	methodGathered = "gathered" // method of a gatherAnswer; one call may get several
	methodLost     = "lost"     // tells that several VMs were lost, without parameters; the VM that gets it checks those that it calls
)

// gatherCall is a call to another VM to query the shards that have leafs near it. Each shard
// is given by the service that answers for it. Fields that end in US are in microseconds; all
// but LatencyObjectiveUS count from the sending of the call.
type gatherCall struct {
	held *heldBody // the message, at the called VM; retained by attempts

	Key                uint64   `cbor:"1,keyasint"` // identifies the call; chosen by the calling VM
	ID                 string   `cbor:"2,keyasint"` // id of the caller's request
	peerRequest                 // fields 3 to 6, 27 and 28
	Services           []string `cbor:"7,keyasint"`  // one service for each shard
	Top                int      `cbor:"8,keyasint"`  // maximum number of records in an answer
	MaxAttempts        int      `cbor:"9,keyasint"`  // how many leafs of a shard may run the request, as the route states it
	LatencyObjectiveUS int64    `cbor:"10,keyasint"` // latency objective of the route
	InterimUS          int64    `cbor:"11,keyasint"` // time until an answer with the results so far must be sent
	AnswerUS           int64    `cbor:"12,keyasint"` // time until the last answer must be sent
	DeadlineUS         int64    `cbor:"13,keyasint"` // time until the deadline of the caller's request
	// Views holds one hash for each of Services: of the leafs of the service that both VMs may
	// use, as the calling VM has computed them. The called VM declines a shard if it computes
	// other ones.
	Views []scatter.View `cbor:"14,keyasint"`
	// Required is how many of Services must answer so that the calling VM has enough shards
	// for its caller; 0 if not stated.
	Required int `cbor:"15,keyasint,omitempty"`
	// Redelegated is true if another VM was called for the same shards before and did not
	// answer.
	Redelegated bool `cbor:"16,keyasint,omitempty"`
	// Rank and Tenant are those of the caller's request, see scatter.Spec.
	Rank   int    `cbor:"17,keyasint,omitempty"`
	Tenant string `cbor:"18,keyasint,omitempty"`
	// Final is true if no other VM would be called for the shards if this call were refused.
	Final bool `cbor:"23,keyasint,omitempty"`
	// Scarce is true if each of Services decides, see scatter.Spec.
	Scarce bool `cbor:"24,keyasint,omitempty"`
	// ManifestVersion is that of the calling VM's manifest if it names tenants, else 0.
	ManifestVersion int64 `cbor:"19,keyasint,omitempty"`
	// Content is that of the caller's request, see scatter.Spec; empty from a VM of an earlier
	// release.
	Content []byte `cbor:"25,keyasint,omitempty"`
	// Quarantine is what the calling VM knows of Content, at most one notice.
	Quarantine []quarantineNotice `cbor:"26,keyasint,omitempty"`
	// Proven is true if a leaf has answered Content of late. A VM of an earlier release does not state it.
	Proven bool `cbor:"29,keyasint,omitempty"`
}

// content returns the fingerprint of the request in the call, and whether the call holds the whole
// request: the calling VM has stated the same. A VM of an earlier release may leave the body out, and
// one of a release before that states no fingerprint.
func (c *gatherCall) content() (f quarantine.Fingerprint, whole bool) {
	f = quarantine.FingerprintOf(c.Tenant, c.Method, c.Host, c.Target, c.Body)
	return f, len(c.Content) != len(f) || bytes.Equal(c.Content, f[:])
}

// gatherAnswer is an answer to a gatherCall. One with only a Key acknowledges the call. Each
// shard is in at most one answer.
type gatherAnswer struct {
	Key      uint64   `cbor:"1,keyasint"` // key of the gatherCall
	Included []int    `cbor:"2,keyasint"` // shards that have answered, as indexes into gatherCall.Services
	Receipts []string `cbor:"3,keyasint"` // for each index in Included, the leaf's proof that it ran the request
	Records  []byte   `cbor:"4,keyasint"` // merged top records of these shards
	Last     bool     `cbor:"5,keyasint"` // no further answer follows
	// Declined holds the shards that were not queried and will not be, as indexes into
	// gatherCall.Services.
	Declined []int `cbor:"6,keyasint,omitempty"`
	// Refused is true if no leaf has run the request for any shard of the call, and none
	// will. The caller of the request should retry after RetryAfterUS, in microseconds. Set
	// only with Last.
	Refused      bool  `cbor:"7,keyasint,omitempty"`
	RetryAfterUS int64 `cbor:"8,keyasint,omitempty"`
	// Room is what the called VM tells of its room; nil if it doesn't measure it.
	Room *roomReport `cbor:"9,keyasint,omitempty"`
	// Cause says, with Refused, why the call was refused.
	Cause scatter.RefusalCause `cbor:"10,keyasint,omitempty"`
	// LeftOut holds the shards for which nothing is sent since they are forecast to be late, as
	// indexes into gatherCall.Services.
	LeftOut []int `cbor:"11,keyasint,omitempty"`
	// LeafTimeUS is how long a leaf of usual speed takes for such a request, in microseconds, as
	// this VM has measured it; 0 if not known.
	LeafTimeUS int64 `cbor:"12,keyasint,omitempty"`
	// ManifestVersion is that of the called VM's manifest if it names tenants, else 0. Only the
	// acknowledgement states it.
	ManifestVersion int64 `cbor:"13,keyasint,omitempty"`
	// Quarantine is what the called VM knows of the content of the call, at most one notice. Only the
	// last answer states it.
	Quarantine []quarantineNotice `cbor:"14,keyasint,omitempty"`
}

// decodeBody decodes the body of a message into a *gatherCall or a *gatherAnswer. The sender may
// be a VM of a later release, so unknown fields are ignored.
func decodeBody(body []byte, into any) error {
	if err := cbor.Unmarshal(body, into); err != nil {
		return result.Wrap(result.BadMessage, err, "body")
	}
	return nil
}
