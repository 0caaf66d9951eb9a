package rollout

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// OpID identifies one operation: an operator's attempt to make a change. It
// consists of the revision that the change is to get, '-' and a random part. The
// revision makes it easy to find the outcome of a write whose response was lost: the
// entry of that revision shows whether the operation was accepted.
type OpID string

// opRandomBytes is the length of the random part of an OpID, in bytes. The part is
// written in hex, and makes ids of different operators distinct.
const opRandomBytes = 8

// NewOpID returns a new id for an operation whose change is to get the given
// revision.
func NewOpID(revision uint64) (OpID, error) {
	var b [opRandomBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", err
	}
	return OpID(fmt.Sprintf("%d-%s", revision, hex.EncodeToString(b[:]))), nil
}

// Revision returns the revision that the operation's change is to get. If the id is
// malformed, the error has code BadRequest.
func (o OpID) Revision() (uint64, error) {
	text, random, _ := strings.Cut(string(o), "-")
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 || len(random) != 2*opRandomBytes {
		return 0, result.Errorf(result.BadRequest, "operation id: found %q, allowed is REVISION-RANDOM as printed by an earlier run", o)
	}
	return n, nil
}

// HeadRelation is the relation of an offered head to the head in force.
type HeadRelation int

// The relations. An offered head is put into force only if it is HeadNewer.
const (
	HeadNewer HeadRelation = iota // the offered head has a higher revision than the head in force, or nothing is in force
	HeadSame                      // the offered head equals the head in force
	HeadStale                     // the offered head has a lower revision, and comes from a lagging peer or a reverted store
	HeadFork                      // the offered head has the revision in force, but different content
)

// CompareHeads returns the relation of the verified head offered to current, the
// head in force, which is nil before the first. A lower revision never replaces a
// higher one, whichever peer or store offers it, and one revision never has two
// different contents.
func CompareHeads(current, offered *Head) HeadRelation {
	switch {
	case current == nil || offered.Entry.Revision > current.Entry.Revision:
		return HeadNewer
	case offered.Entry.Revision < current.Entry.Revision:
		return HeadStale
	case offered.Hash == current.Hash:
		return HeadSame
	default:
		return HeadFork
	}
}

// Change holds the fields of an Entry, an accepted change, that come from the operator.
type Change struct {
	Op     OpID
	Person string    // the operator
	Reason string    // why the operator makes the change
	At     time.Time // when the change was made, by the operator's clock
}

// Approved is a bundle with the sign-off that allows its rollout.
type Approved struct {
	Digest  string // of the bundle
	Name    string // of the bundle
	SignOff bundle.Signed
	After   uint64 // revision that was in force when SignOff was signed
}

// NextRollout returns the entry that follows head and puts the approved bundle into
// force. head is nil before the first rollout. The error has code Recalled if the
// bundle needs a newer sign-off; see CheckRecalls.
func NextRollout(deployment string, head *Head, c Change, approved Approved) (Entry, error) {
	e := nextEntry(deployment, head, c)
	e.Action = ActionRollout
	e.Digest, e.Name, e.SignOff = approved.Digest, approved.Name, approved.SignOff
	if head != nil {
		previous := PastBundle{Digest: head.Entry.Digest, Revision: head.Entry.Revision}
		e.History = append([]PastBundle{previous}, withoutDigest(e.History, previous.Digest)...)
	}
	e.History = withoutDigest(e.History, approved.Digest) // the bundle in force is not in its own history
	e.History = e.History[:min(len(e.History), MaxHistory)]
	return e, CheckRecalls(&e, approved.After)
}

// NextRecall returns the entry that follows head and recalls the bundle with the
// given digest. If that bundle is in force, it is replaced by fallback, one of the
// bundles that Fallbacks returns; if fallback is nil, the error has code
// NothingBefore. The oldest recall is dropped if Recalls would become too long.
// RecallFloor then keeps the highest revision of the dropped recalls.
func NextRecall(head *Head, c Change, digest string, fallback *Approved) (Entry, error) {
	if head == nil {
		return Entry{}, result.Errorf(result.NothingBefore, "no bundle was rolled out yet")
	}
	e := nextEntry(head.Entry.Deployment, head, c)
	e.Action = ActionRecall
	e.Recalled = digest
	if digest == head.Entry.Digest {
		if fallback == nil {
			return e, result.Errorf(result.NothingBefore, "none of the last %d bundles can replace the recalled one; push, sign and roll out another", MaxHistory)
		}
		e.Digest, e.Name, e.SignOff = fallback.Digest, fallback.Name, fallback.SignOff
	} else {
		e.Digest, e.Name, e.SignOff = head.Entry.Digest, head.Entry.Name, head.Entry.SignOff
	}
	e.History = withoutDigest(withoutDigest(e.History, digest), e.Digest)
	e.Recalls = append([]Recall{{Digest: digest, Revision: e.Revision}}, withoutRecall(e.Recalls, digest)...)
	if len(e.Recalls) > MaxRecalls {
		dropped := e.Recalls[MaxRecalls]
		e.RecallFloor = max(e.RecallFloor, dropped.Revision)
		e.Recalls = e.Recalls[:MaxRecalls]
	}
	return e, nil
}

// Fallbacks returns the bundles that may replace the recalled bundle with the given
// digest, newest first: those that were in force earlier and were not recalled.
func Fallbacks(head *Head, digest string) []PastBundle {
	return withoutDigest(head.Entry.History, digest)
}

// nextEntry returns an entry that follows head, with copies of the head's lists. It
// sets neither the action nor the bundle. head is nil before the first rollout.
func nextEntry(deployment string, head *Head, c Change) Entry {
	e := Entry{
		Deployment: deployment, Revision: 1,
		Op: c.Op, Reason: c.Reason, Person: c.Person, At: c.At,
		History: []PastBundle{}, Recalls: []Recall{},
	}
	if head == nil {
		return e
	}
	e.Revision = head.Entry.Revision + 1
	e.Before = head.Entry.Digest
	e.Prev = head.Hash
	// No digest is empty, so these two calls copy the whole lists.
	e.History = withoutDigest(head.Entry.History, "")
	e.Recalls = withoutRecall(head.Entry.Recalls, "")
	e.RecallFloor = head.Entry.RecallFloor
	return e
}

// CheckRecalls returns an error with code Recalled if the sign-off of the bundle
// that e puts into force was made before the bundle's last recall. after is the
// revision that was in force at the time of the sign-off. A recall that e no longer
// lists counts against every bundle that is rolled out, because RecallFloor keeps only
// the recall's revision. So a bundle does not become valid again when its recall is
// dropped from the list. RecallFloor does not apply if e is a recall: the bundle that
// it falls back to is known not to be recalled.
func CheckRecalls(e *Entry, after uint64) error {
	for _, r := range e.Recalls {
		if r.Digest == e.Digest && after < r.Revision {
			return result.Errorf(result.Recalled,
				"bundle %s was recalled in revision %d and its sign-off dates from revision %d; sign it again", e.Digest, r.Revision, after)
		}
	}
	if e.Action == ActionRollout && after < e.RecallFloor {
		return result.Errorf(result.Recalled,
			"the sign-off dates from revision %d, but recalls up to revision %d are no longer listed; sign the bundle again", after, e.RecallFloor)
	}
	return nil
}

// withoutDigest returns a copy of the list without the bundle with that digest.
func withoutDigest(list []PastBundle, digest string) []PastBundle {
	kept := make([]PastBundle, 0, len(list)+1)
	for _, p := range list {
		if p.Digest != digest {
			kept = append(kept, p)
		}
	}
	return kept
}

// withoutRecall returns a copy of the list without the recalls of the bundle with
// that digest.
func withoutRecall(list []Recall, digest string) []Recall {
	kept := make([]Recall, 0, len(list)+1)
	for _, r := range list {
		if r.Digest != digest {
			kept = append(kept, r)
		}
	}
	return kept
}

// Outcome is the outcome of an operation (an operator's attempt to make a change), as far
// as known.
type Outcome int

// The outcomes.
const (
	OutcomeOpen         Outcome = iota // the operation is not accepted so far; a write in flight may still be accepted
	OutcomeAccepted                    // the operation's entry is part of the audit chain
	OutcomeConflict                    // the entry of another operation got the revision that this one was to get
	OutcomeNeedArchived                // the head has a higher revision than the operation's; the archived entry of that revision has to be read
)

// Resolve returns the outcome of the operation op, whose entry was to get the given
// revision. Each revision has exactly one entry, so the operation id in the entry of
// that revision decides. The entry is head or, if head has a higher revision,
// archived: the archived entry of the given revision, or nil if it was not read yet.
func Resolve(op OpID, revision uint64, head, archived *Head) Outcome {
	if head == nil || head.Entry.Revision < revision {
		return OutcomeOpen
	}
	accepted := head
	if head.Entry.Revision > revision {
		accepted = archived
	}
	switch {
	case accepted == nil:
		return OutcomeNeedArchived
	case accepted.Entry.Op == op:
		return OutcomeAccepted
	default:
		return OutcomeConflict
	}
}
