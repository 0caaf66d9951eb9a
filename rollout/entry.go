// Package rollout brings bundles into force. It has the head object, which names
// the bundle in force and its revision; the audit chain, whose last entry is the
// head; the operators' changes to the head; and the Follower, which applies the
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

// The kinds of objects on the platform.
const (
	KindHead    = "bramley-heads"    // name: the deployment
	KindAudit   = "bramley-audit"    // name: AuditName
	KindBundle  = "bramley-bundles"  // name: the digest; written once
	KindSignOff = "bramley-signoffs" // name: digest, '.', key id, '.', revision
	KindRefusal = "bramley-refusals" // name: deployment, '.', time, '.', start of the refusal's hash
)

// Bounds of the lists in a head, which keep its size at a few kilobytes.
const (
	MaxHistory = 8  // bundles that a recall can fall back to
	MaxRecalls = 32 // recalls that are listed; RecallFloor stands for older ones
)

// AuditName is the name of an archived entry. Names sort by revision.
func AuditName(deployment string, revision uint64) string {
	return fmt.Sprintf("%s.%020d", deployment, revision)
}

// Action is the kind of a change.
type Action string

// The kinds of changes.
const (
	ActionRollout Action = "rollout"
	ActionRecall  Action = "recall"
)

// PastBundle is a bundle that was in force earlier and was not recalled since.
type PastBundle struct {
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision"` // of an entry that put it into force
}

// Recall is a recalled bundle. Sign-offs made before that revision are invalid.
type Recall struct {
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision"` // of the entry that recalled it
}

// Entry is one accepted change and the state of the head after it.
type Entry struct {
	Deployment string    `json:"deployment"`
	Revision   uint64    `json:"revision"`
	Op         OpID      `json:"op"`
	Action     Action    `json:"action"`
	Digest     string    `json:"digest"` // in force from this revision on
	Name       string    `json:"name"`   // of that bundle
	Before     string    `json:"before"` // digest in force before; empty for the first
	Recalled   string    `json:"recalled,omitempty"`
	Reason     string    `json:"reason"`
	Person     string    `json:"person"`
	At         time.Time `json:"at"`   // by the operator's clock
	Prev       string    `json:"prev"` // hash of the entry before; empty for the first

	SignOff     bundle.Signed `json:"sign_off"`     // of the bundle in force
	History     []PastBundle  `json:"history"`      // newest first, without the bundle in force
	Recalls     []Recall      `json:"recalls"`      // newest first
	RecallFloor uint64        `json:"recall_floor"` // highest revision of a recall that is no longer listed, or 0
}

// Head is a verified entry with the signed object that it came in.
type Head struct {
	Entry  Entry
	Signed bundle.Signed
	Hash   string
}

// signEntry returns e as a signed object.
func signEntry(e Entry, key *bundle.PrivateKey) bundle.Signed {
	payload, err := json.Marshal(e)
	if err != nil {
		panic(err) // the entry's fields always encode
	}
	return bundle.Sign(bundle.PurposeEntry, payload, key)
}

// openHead verifies raw as an entry of the deployment. Signatures by retired keys
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
		return nil, result.Wrap(result.NotSigned, err, "entry")
	}
	switch {
	case h.Entry.Deployment != deployment:
		return nil, result.Errorf(result.NotSigned, "the entry is of deployment %q, not %q", h.Entry.Deployment, deployment)
	case h.Entry.Person != key.Person:
		return nil, result.Errorf(result.NotSigned, "key %q belongs to %s, the entry names %q", key.ID, key.Person, h.Entry.Person)
	case h.Entry.Revision == 0:
		return nil, result.Errorf(result.NotSigned, "the entry has revision 0")
	}
	return h, nil
}
