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
// consists of the revision that the change is to get, '-' and a random part. With
// the revision, the outcome of a write whose response was lost is easy to find: the
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

// Revision returns the revision that the operation's change is to get. The error
// has code BadRequest.
func (o OpID) Revision() (uint64, error) {
	text, random, _ := strings.Cut(string(o), "-")
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 || len(random) != 2*opRandomBytes {
		return 0, result.Errorf(result.BadRequest, "operation id: found %q, allowed is REVISION-RANDOM as printed by an earlier run", o)
	}
	return n, nil
}

// HeadRelation is the relation of an offered head to the one in force.
type HeadRelation int

// The relations. Only a HeadNewer is put into force.
const (
	HeadNewer HeadRelation = iota // higher revision, or nothing is in force
	HeadSame                      // equal to the head in force
	HeadStale                     // lower revision, from a lagging peer or a reverted store
	HeadFork                      // the revision in force, but with different content
)

// CompareHeads compares a verified head with the one in force. A lower revision
// never replaces a higher one, whoever offers it, and one revision never has two
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

// Change holds what the operator contributes to an entry.
type Change struct {
	Op     OpID
	Person string // the operator
	Reason string
	At     time.Time // by the operator's clock
}

// Approved is a bundle with the sign-off that allows its rollout.
type Approved struct {
	Digest  string // of the bundle
	Name    string // of the bundle
	SignOff bundle.Signed
	After   uint64 // revision that was in force when the bundle was signed off
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
// given digest. If that bundle is in force, fallback replaces it, which has to be
// one of Fallbacks; without a fallback, the error has code NothingBefore. A recall
// that no longer fits into Recalls is dropped. RecallFloor then keeps the highest
// revision of the dropped recalls: a rollout needs a sign-off that is not older.
func NextRecall(head *Head, c Change, digest string, fallback *Approved) (Entry, error) {
	if head == nil {
		return Entry{}, result.Errorf(result.NothingBefore, "no bundle was rolled out yet")
	}
	e := nextEntry(head.Entry.Deployment, head, c)
	e.Action = ActionRecall
	e.Recalled = digest
	if digest == head.Entry.Digest {
		if fallback == nil {
			return e, result.Errorf(result.NothingBefore, "no earlier bundle of the last %d is left; push, sign and roll out another", MaxHistory)
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

// nextEntry returns an entry that follows head, with the head's lists and without
// an action. head is nil before the first rollout.
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
	// No digest is empty: these two calls copy the whole lists.
	e.History = withoutDigest(head.Entry.History, "")
	e.Recalls = withoutRecall(head.Entry.Recalls, "")
	e.RecallFloor = head.Entry.RecallFloor
	return e
}

// CheckRecalls returns an error with code Recalled if the sign-off of the bundle
// that e puts into force was made before the bundle's last recall. after is the
// revision that was in force at the time of the sign-off. Recalls that e no longer
// lists count for every bundle: RecallFloor is the highest revision of such a
// recall. So dropping one from the list never lets a recalled bundle back in.
// Bundles that a recall falls back to are exempt: they are known not to be
// recalled.
func CheckRecalls(e *Entry, after uint64) error {
	for _, r := range e.Recalls {
		if r.Digest == e.Digest && after < r.Revision {
			return result.Errorf(result.Recalled,
				"bundle %s was recalled in revision %d and its sign-off dates from revision %d; sign it again", e.Digest, r.Revision, after)
		}
	}
	if e.Action == ActionRollout && after < e.RecallFloor {
		return result.Errorf(result.Recalled,
			"the sign-off dates from revision %d, before revision %d to which recalls are no longer listed; sign it again", after, e.RecallFloor)
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

// Outcome is the outcome of an operation, as far as known.
type Outcome int

// The outcomes.
const (
	OutcomeOpen         Outcome = iota // not accepted so far; a write in flight may still be accepted
	OutcomeAccepted                    // the operation's entry is part of the audit chain
	OutcomeConflict                    // the entry of another operation got that revision
	OutcomeNeedArchived                // the head has a higher revision; the archived entry, not read yet, decides
)

// Resolve returns the outcome of the operation op, whose entry was to get the given
// revision. It looks at the head or, if the head has a higher revision, at the
// archived entry of the given revision. archived may be nil if it was not read yet.
// Only one entry can have got a revision, so its operation id decides.
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
