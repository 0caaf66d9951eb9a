package once

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/juju/errors"
)

// Limits of a segment and parts of its estimated size, in bytes of JSON. The space
// between maxSizeForClaims and maxSizeForResults is reserved for the outcomes of
// claims that are already stored.
const (
	maxSizeForClaims  = objstore.MaxValue / 2     // estimated size of a segment, in bytes, above which no further claim is stored
	maxSizeForResults = objstore.MaxValue * 3 / 4 // estimated size of a segment, in bytes, above which outcomes are stored without their results
	entryOverhead     = 160                       // bytes of an entry's JSON for field names, quotes and numbers
	maxDetailBytes    = 256                       // length of the longest storedOutcome.Detail, in bytes
	barredOverhead    = 10                        // bytes of JSON for the quotes, value and comma of an id in segment.Barred
	maxJSONExpansion  = 6                         // largest number of bytes that JSON needs for one byte of text
)

// segment is the value of one claims object, which holds the claims of keys that
// callers created within one second. It is immutable: apply returns a new one.
type segment struct {
	Entries map[string]entry `json:"entries"` // by claimID, which contains search and key
	// Barred holds the operation ids of claims that must never be added to Entries;
	// see op.barOnRelease.
	Barred map[string]bool `json:"barred,omitempty"`
	// Sealed says that the segment was full once. It accepts no new keys after that,
	// even if claims are released: the further keys of its second are claimed in
	// overflow segments, which are separate objects.
	Sealed   bool `json:"sealed,omitempty"`
	overflow bool // this is an overflow segment: if it is full, new claims are refused
	size     int  // estimated size of the JSON in bytes
}

// entry is one claimed key. While it has no outcome, the request may or may not have
// been handed to a target: nothing is stored at the moment when it is handed over.
type entry struct {
	Digest  string         `json:"digest"`            // digest of the request's payload
	Op      string         `json:"op"`                // id of the operation that won the claim
	Holder  string         `json:"holder"`            // VM that won the claim, with its incarnation (start of the process)
	UntilMS int64          `json:"until_ms"`          // Unix milliseconds; the time by which the holder should be done
	Outcome *storedOutcome `json:"outcome,omitempty"` // nil until the outcome is stored
}

// storedOutcome is the outcome that later requests with the same key get.
type storedOutcome struct {
	Code   result.Code     `json:"code"`
	Result json.RawMessage `json:"result,omitempty"` // the target's result; empty if it was too large
	Detail string          `json:"detail,omitempty"` // explanation for the caller, at most maxDetailBytes
}

// size returns an estimate of the length of the outcome's JSON, in bytes. Result is
// JSON already; characters of Detail may have to be escaped.
func (o *storedOutcome) size() int {
	if o == nil {
		return 0
	}
	return len(o.Result) + maxJSONExpansion*len(o.Detail)
}

// size returns an estimate of the length of the entry's JSON under the given id, in
// bytes.
func (e entry) size(id string) int {
	return entryOverhead + len(id) + len(e.Digest) + len(e.Op) + len(e.Holder) + e.Outcome.size()
}

// opKind is the kind of change that an operation makes to a segment.
type opKind int

// The kinds of operations.
const (
	opClaim    opKind = iota // add an entry for the key unless there is one
	opComplete               // add the outcome to the operation's own claim
	opRelease                // remove the operation's own claim: the request was not handed to a target
)

// op is one operation on one key. It is idempotent: applying it twice has the same
// effect as once.
type op struct {
	kind  opKind
	id    string // the claimID, which contains search and key
	entry entry  // entry.Op identifies the claim for all three kinds
	// barOnRelease makes a release of the claim store the claim's operation id as
	// barred, so that the claim can't be added to the segment later. It is set if the
	// claim was sent to another VM that has not given a final answer. That VM may be
	// frozen with the claim in its queue and add the claim after the caller has given
	// up. The key would then stay blocked, although its caller got the answer "not
	// run". A changed object version would not stop that VM, because it reads the
	// object again before it writes. The barred id does.
	barOnRelease bool
}

// verdict is the kind of result of an op.
type verdict int

// The verdicts.
const (
	verdictDone  verdict = iota // on any operation: the segment is in the state that the operation requested
	verdictHeld                 // on a claim: the key has an entry of another operation
	verdictFull                 // on a claim: the segment has no space for the key
	verdictMoved                // on a claim: the segment is sealed (accepts no new keys); the key belongs in its overflow segment
	verdictGone                 // on a completion: the claim no longer exists; on a claim: its operation id is barred
)

// reply is the whole result of an op: its verdict and the entry that the verdict refers
// to.
type reply struct {
	verdict verdict
	held    entry // the key's entry of another operation, for verdictHeld only
}

// apply applies the batch in order. It returns the resulting segment, one reply per
// op, and whether the content of the segment changed.
func (s segment) apply(batch []op) (segment, []reply, bool) {
	next := segment{Entries: maps.Clone(s.Entries), Barred: maps.Clone(s.Barred), Sealed: s.Sealed, overflow: s.overflow, size: s.size}
	if next.Entries == nil {
		next.Entries = make(map[string]entry)
	}
	replies := make([]reply, len(batch))
	changed := false
	for i, o := range batch {
		var opChanged bool
		replies[i], opChanged = next.applyOne(o)
		changed = changed || opChanged
	}
	return next, replies, changed
}

// applyOne applies one operation to s itself. The bool reports whether s changed.
func (s *segment) applyOne(o op) (reply, bool) {
	existing, present := s.Entries[o.id]
	sameOp := present && existing.Op == o.entry.Op
	switch o.kind {
	case opClaim:
		return s.claim(o, existing, present, sameOp)
	case opComplete:
		return s.complete(o, existing, sameOp)
	default:
		return s.release(o, existing, sameOp)
	}
}

// claim applies a claim. existing is the key's entry, if present; sameOp says that
// the entry is of this operation. The bool reports whether the segment changed.
func (s *segment) claim(o op, existing entry, present, sameOp bool) (reply, bool) {
	if sameOp {
		// An earlier write of this claim took effect and its answer was lost.
		return reply{verdict: verdictDone}, false
	}
	if s.Barred[o.entry.Op] {
		return reply{verdict: verdictGone}, false
	}
	if present {
		return reply{verdict: verdictHeld, held: existing}, false
	}
	if s.Sealed {
		return reply{verdict: verdictMoved}, false
	}
	if s.size+o.entry.size(o.id) > maxSizeForClaims {
		return s.rejectFull()
	}
	s.put(o.id, o.entry)
	return reply{verdict: verdictDone}, true
}

// rejectFull rejects a claim for lack of space. Unless s is an overflow segment, it
// seals s, so that s accepts no new keys even when releases free space. Otherwise a
// key that has been claimed in its overflow segment could also be claimed in s, and
// its request could run twice. The bool reports whether the segment changed.
func (s *segment) rejectFull() (reply, bool) {
	if s.overflow {
		return reply{verdict: verdictFull}, false
	}
	s.Sealed = true
	return reply{verdict: verdictMoved}, true
}

// complete adds the outcome to the operation's own claim. existing is the key's
// entry; sameOp says that the entry is of this operation. If the segment has no
// space for the result, the outcome is stored without the result. The bool reports
// whether the segment changed.
func (s *segment) complete(o op, existing entry, sameOp bool) (reply, bool) {
	if !sameOp {
		return reply{verdict: verdictGone}, false
	}
	if existing.Outcome != nil {
		return reply{verdict: verdictDone}, false
	}
	existing.Outcome = o.entry.Outcome
	if s.size+existing.Outcome.size() > maxSizeForResults {
		existing.Outcome = &storedOutcome{Code: existing.Outcome.Code, Detail: detailNotStored}
	}
	s.put(o.id, existing)
	return reply{verdict: verdictDone}, true
}

// release removes the operation's own claim, and bars the claim's operation id if
// o.barOnRelease is set. existing is the key's entry; sameOp says that the entry is
// of this operation. The bool reports whether the segment changed.
func (s *segment) release(o op, existing entry, sameOp bool) (reply, bool) {
	barred := o.barOnRelease && s.barOperation(o.entry.Op)
	// The request of a claim with an outcome was handed to a target: the claim stays.
	if !sameOp || existing.Outcome != nil {
		return reply{verdict: verdictDone}, barred
	}
	s.size -= existing.size(o.id)
	delete(s.Entries, o.id)
	return reply{verdict: verdictDone}, true
}

// barOperation marks a claim's operation id as barred, so that the claim is never
// added later. It reports whether the id was not barred before.
func (s *segment) barOperation(opID string) bool {
	if s.Barred[opID] {
		return false
	}
	if s.Barred == nil {
		s.Barred = make(map[string]bool)
	}
	s.Barred[opID] = true
	s.size += len(opID) + barredOverhead
	return true
}

// put adds or replaces the entry with the given id and updates the estimated size.
func (s *segment) put(id string, e entry) {
	if old, ok := s.Entries[id]; ok {
		s.size -= old.size(id)
	}
	s.Entries[id] = e
	s.size += e.size(id)
}

// encode returns the segment's JSON. It leaves '<' and '&' unescaped, so that the
// results of targets stay as the targets wrote them.
func (s segment) encode() ([]byte, error) {
	var value bytes.Buffer
	encoder := json.NewEncoder(&value)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(s)
	return value.Bytes(), errors.Trace(err)
}

// decodeSegment decodes the value of the segment with the given name. It returns an
// error for any value that it does not understand in full, such as one written by
// another version of the software. If it ignored a claim, the claim would be lost
// with the next update, and its request could run again.
func decodeSegment(name string, value []byte) (segment, error) {
	s := segment{overflow: isOverflow(name)}
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return segment{}, errors.Annotate(err, "cannot decode a claims object")
	}
	if s.Entries == nil || decoder.More() {
		return segment{}, errors.New("cannot decode a claims object: it has no entries, or data after the JSON value")
	}
	for id, e := range s.Entries {
		s.size += e.size(id)
	}
	if len(s.Barred) == 0 {
		s.Barred = nil // so that decoding an encoded segment returns an equal one
	}
	for opID := range s.Barred {
		s.size += len(opID) + barredOverhead
	}
	return s, nil
}
