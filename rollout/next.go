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

// OpID names one operation: the revision that it wants to become, '-', and a
// random part. The revision makes a lost answer easy to resolve: one entry
// tells whether the operation landed.
type OpID string

// opRandomBytes makes two operators' ids differ.
const opRandomBytes = 8

// NewOpID returns a fresh id for an operation that is to become revision.
func NewOpID(revision uint64) (OpID, error) {
	var b [opRandomBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", err
	}
	return OpID(fmt.Sprintf("%d-%s", revision, hex.EncodeToString(b[:]))), nil
}

// Revision returns the revision that the operation wants to become.
func (o OpID) Revision() (uint64, error) {
	text, random, _ := strings.Cut(string(o), "-")
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 || len(random) != 2*opRandomBytes {
		return 0, result.Errorf(result.BadRequest, "operation id: found %q, allowed is REVISION-RANDOM as printed by an earlier run", o)
	}
	return n, nil
}

// HeadRelation says what a VM does with a head that it is shown.
type HeadRelation int

// The verdicts.
const (
	HeadNewer HeadRelation = iota // higher: put it into force
	HeadSame                      // the one in force
	HeadStale                     // lower: a lagging peer or a store that was set back
	HeadFork                      // the revision in force with another content
)

// CompareHeads decides what a verified head does to the one in force. A lower
// revision never takes the place of a higher one, whoever offers it, and one
// revision never stands for two contents.
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

// Change is what an operator asks for.
type Change struct {
	Op     OpID
	Person string
	Reason string
	At     time.Time
}

// Approved is a bundle with the sign-off that a rollout rests on.
type Approved struct {
	Digest  string
	Name    string
	SignOff bundle.Signed
	After   uint64 // SignOff.After
}

// NextRollout returns the entry that puts b into force on top of head, which
// is nil before the first rollout.
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

// NextRecall returns the entry that takes the bundle back. If it is the one in
// force, fallback takes its place, which has to be one of Fallbacks.
func NextRecall(head *Head, c Change, digest string, fallback *Approved) (Entry, error) {
	if head == nil {
		return Entry{}, result.Errorf(result.NothingBefore, "nothing was ever rolled out")
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

// Fallbacks returns what may take the place of a recalled digest, best first.
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

// CheckRecalls refuses a bundle in force whose sign-off was made before it was
// last recalled. Recalls that e no longer lists count as if they spoke of
// every bundle, so that forgetting one never lets a recalled bundle back in;
// a bundle that a recall falls back to is known not to be recalled.
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

// Outcome is what became of an operation.
type Outcome int

// The outcomes.
const (
	OutcomeOpen         Outcome = iota // not landed so far; a write on its way still may
	OutcomeAccepted                    // it is an entry of the chain
	OutcomeConflict                    // another operation became that revision
	OutcomeNeedArchived                // the head has moved on; the kept entry tells
)

// Resolve tells what became of op from the head and, if the head is past the
// operation's revision, from the entry kept under that revision. Only one
// entry can have become a revision, so its operation id decides.
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
