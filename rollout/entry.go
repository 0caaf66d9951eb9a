// Package rollout brings bundles into force. It contains the head object, which
// names the bundle in force and its revision; the audit chain, whose last entry is
// the head; the operators' changes to the head; and the Follower, which applies the
// head on each VM.
//
// The head object holds the latest entry of the audit chain, signed by the
// operator who made the change. Before an operator advances the head, the entry in
// it is archived under a name of its own. So the chain contains exactly the
// accepted changes: an entry gets into the chain only by having been the head.
package rollout

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// The kinds of objects on the platform, with the names of the objects.
const (
	KindHead    = "bramley-heads"    // kind of the object with the latest accepted change; its name: the deployment
	KindAudit   = "bramley-audit"    // kind of the archived entries of the audit chain; name of each: see AuditName
	KindBundle  = "bramley-bundles"  // kind of the signed bundles, each written once; name of each: the bundle's digest
	KindSignOff = "bramley-signoffs" // kind of the approvals of bundles; name of each: bundle's digest, '.', signer's key id, '.', revision in force when it was signed
	KindRefusal = "bramley-refusals" // kind of the records of refused changes; name of each: deployment, '.', Unix time in nanoseconds, '.', start of the record's hash
)

// Bounds of the lists in a head, which keep its size at a few kilobytes.
const (
	MaxHistory = 8  // maximum length of Entry.History: earlier bundles that a recall can fall back to
	MaxRecalls = 32 // maximum length of Entry.Recalls; Entry.RecallFloor stands for older recalls
)

// AuditName returns the name of the archived entry with that revision. Names sort
// by revision.
func AuditName(deployment string, revision uint64) string {
	return fmt.Sprintf("%s.%020d", deployment, revision)
}

// Action is the kind of a change.
type Action string

// The kinds of changes.
const (
	ActionRollout Action = "rollout" // puts a bundle into force
	ActionRecall  Action = "recall"  // invalidates a bundle's sign-offs, and replaces it if it is in force
)

// PastBundle is a bundle that was in force earlier and has not been recalled since.
type PastBundle struct {
	Digest   string `json:"digest"`   // of the bundle
	Revision uint64 `json:"revision"` // last revision with this bundle in force
}

// Recall says that a bundle was recalled. Sign-offs of the bundle that were made
// before the recall's revision was in force are invalid.
type Recall struct {
	Digest   string `json:"digest"`   // of the recalled bundle
	Revision uint64 `json:"revision"` // revision of the entry that recalled the bundle
}

// Entry is one accepted change and the state of the deployment after it. The latest
// entry is the head.
type Entry struct {
	Deployment string    `json:"deployment"`
	Revision   uint64    `json:"revision"`           // number of the change, from 1
	Op         OpID      `json:"op"`                 // operation that made the change
	Action     Action    `json:"action"`             // kind of the change
	Digest     string    `json:"digest"`             // digest of the bundle in force from this revision on
	Name       string    `json:"name"`               // name of the bundle in force
	Before     string    `json:"before"`             // digest of the bundle in force before this revision; empty for revision 1
	Recalled   string    `json:"recalled,omitempty"` // digest of the recalled bundle, for ActionRecall
	Reason     string    `json:"reason"`             // why the operator made the change
	Person     string    `json:"person"`             // operator who made the change
	At         time.Time `json:"at"`                 // when the change was made, by the operator's clock
	Prev       string    `json:"prev"`               // hash of the previous entry, see Head.Hash; empty for revision 1

	SignOff bundle.Signed `json:"sign_off"` // approval of the bundle in force
	History []PastBundle  `json:"history"`  // earlier bundles, newest first, without the bundle in force
	Recalls []Recall      `json:"recalls"`  // recalled bundles, newest recall first, at most MaxRecalls
	// RecallFloor is the highest revision of a recall that is no longer listed in
	// Recalls, or 0. A rollout needs a sign-off made at this revision or later,
	// because it is no longer known which bundles these recalls were about.
	RecallFloor uint64 `json:"recall_floor"`
}

// Head is a verified entry together with the signed object that contains it. It is
// the latest entry of a deployment, or an archived one that was the head earlier.
type Head struct {
	Entry  Entry
	Signed bundle.Signed
	Hash   string // hash of Signed, which the next entry names in Prev
}

// signEntry returns the entry e as an object signed with the operator's key.
func signEntry(e Entry, key *bundle.PrivateKey) bundle.Signed {
	payload, err := json.Marshal(e)
	if err != nil {
		panic(err) // the entry's fields always encode
	}
	return bundle.Sign(bundle.PurposeEntry, payload, key)
}

// openHead decodes raw, a signed object, and verifies that it is an entry of the
// deployment, signed by the person whom the entry names. Signatures by retired keys
// are accepted only if allowRetired is set.
func openHead(raw []byte, deployment string, keys *bundle.Keyring, allowRetired bool) (*Head, error) {
	s, err := bundle.ParseSigned(raw)
	if err != nil {
		return nil, err
	}
	verify := keys.Verify
	if allowRetired {
		verify = keys.VerifyWithRetired
	}
	key, err := verify(s, bundle.PurposeEntry)
	if err != nil {
		return nil, err
	}
	h := &Head{Signed: s, Hash: s.Hash()}
	if err := json.Unmarshal(s.Payload, &h.Entry); err != nil {
		return nil, result.Wrap(result.NotSigned, err, "decoding the entry")
	}
	switch {
	case h.Entry.Deployment != deployment:
		return nil, result.Errorf(result.NotSigned, "the entry belongs to deployment %q, not %q", h.Entry.Deployment, deployment)
	case h.Entry.Person != key.Person:
		return nil, result.Errorf(result.NotSigned, "key %q belongs to %s, the entry names %q", key.ID, key.Person, h.Entry.Person)
	case h.Entry.Revision == 0:
		return nil, result.Errorf(result.NotSigned, "the entry has revision 0")
	}
	return h, nil
}
