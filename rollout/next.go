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

// OpID identifies one operation. It consists of the revision that the operation is
// to become, '-' and a random part. With the revision, a lost response is easy to
// resolve: the entry of that revision shows whether the operation was accepted.
type OpID string

// opRandomBytes is the length of the random part, which makes ids of different
// operators distinct.
const opRandomBytes = 8

// NewOpID returns a new id for an operation that is to become revision.
func NewOpID(revision uint64) (OpID, error) {
	var b [opRandomBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", err
	}
	return OpID(fmt.Sprintf("%d-%s", revision, hex.EncodeToString(b[:]))), nil
}

// Revision returns the revision that the operation is to become.
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

// Change holds the operator's part of an entry.
type Change struct {
	Op     OpID
	Person string
	Reason string
	At     time.Time
}

// Approved is a bundle with the sign-off that allows its rollout.
type Approved struct {
	Digest  string
	Name    string
	SignOff bundle.Signed
	After   uint64 // the revision in force when it was signed off
}

// NextRollout returns the entry that puts the approved bundle into force on top of
// head, which is nil before the first rollout.
func NextRollout(deployment string, head *Head, c Change, approved Approved) (Entry, error) {
	e := nextEntry(deployment, head, c)
	e.Action = ActionRollout
	e.Digest, e.Name, e.SignOff = approved.Digest, approved.Name, approved.SignOff
	if head != nil {
		previous := PastBundle{Digest: head.Entry.Digest, Revision: head.Entry.Revision}
		e.History = append([]PastBundle{previous}, withoutDigest(e.History, previous.Digest)...)
	}
	e.History = withoutDigest(e.History, approved.Digest)
	e.History = e.History[:min(len(e.History), MaxHistory)]
	return e, CheckRecalls(&e, approved.After)
}

// NextRecall returns the entry that recalls the bundle. If that is the one in
// force, fallback replaces it, which has to be one of Fallbacks.
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

// Fallbacks returns the bundles that may replace a recalled digest, newest first.
func Fallbacks(head *Head, digest string) []PastBundle {
	return withoutDigest(head.Entry.History, digest)
}

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
	e.History = withoutDigest(head.Entry.History, "")
	e.Recalls = withoutRecall(head.Entry.Recalls, "")
	e.RecallFloor = head.Entry.RecallFloor
	return e
}

// CheckRecalls returns Recalled if the sign-off of the bundle in force was made
// before the bundle's last recall. after is the revision in force at the time of
// the sign-off. Recalls that e no longer lists count for every bundle, so that
// dropping one from the list never lets a recalled bundle back in. Bundles that a
// recall falls back to are exempt: they are known not to be recalled.
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

func withoutDigest(list []PastBundle, digest string) []PastBundle {
	kept := make([]PastBundle, 0, len(list)+1)
	for _, p := range list {
		if p.Digest != digest {
			kept = append(kept, p)
		}
	}
	return kept
}

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
	OutcomeOpen         Outcome = iota // not accepted so far; a write in flight may still be
	OutcomeAccepted                    // the operation is an entry of the chain
	OutcomeConflict                    // another operation became that revision
	OutcomeNeedArchived                // the head is past the revision; the archived entry decides
)

// Resolve returns the outcome of op. It looks at the head or, if the head is past
// the operation's revision, at the archived entry of that revision, which may be
// nil if it was not read yet. Only one entry can have become a revision, so its
// operation id decides.
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
