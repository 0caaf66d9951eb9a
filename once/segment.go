package once

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/juju/errors"
)

// Limits of a segment, in bytes of its estimated JSON. The space between
// maxSizeForClaims and maxSizeForResults is reserved for the outcomes of claims
// that are already stored.
const (
	maxSizeForClaims  = objstore.MaxValue / 2
	maxSizeForResults = objstore.MaxValue * 3 / 4
	entryOverhead     = 160 // field names, quotes and numbers of an entry
	maxDetailBytes    = 256 // of a stored outcome's detail
	barredOverhead    = 10  // quotes, value and comma of a barred id
	maxJSONExpansion  = 6   // largest number of bytes that JSON needs for one byte of text
)

// segment is the value of one claims object. It is immutable: apply returns a new
// one.
type segment struct {
	Entries map[string]entry `json:"entries"` // by search and key
	// Barred holds the operation ids of claims that must never be entered; see
	// op.bar.
	Barred map[string]bool `json:"barred,omitempty"`
	// Sealed says that the segment of a second has been full. It accepts no new
	// keys, whatever is released later, because they are claimed in one of the
	// overflow segments.
	Sealed   bool `json:"sealed,omitempty"`
	overflow bool // this is an overflow segment: when it is full, there is no other one
	size     int  // estimated size of the JSON in bytes
}

// entry is one claimed key. While it has no outcome, the request may have been
// handed to a target: no state is stored between the claim and the hand-over.
type entry struct {
	Digest  string         `json:"digest"`
	Op      string         `json:"op"`       // id of the operation that won the claim
	Holder  string         `json:"holder"`   // VM and incarnation
	UntilMS int64          `json:"until_ms"` // Unix milliseconds; the time by which the holder should be done
	Outcome *storedOutcome `json:"outcome,omitempty"`
}

// storedOutcome is the outcome that later requests with the same key get.
type storedOutcome struct {
	Code   result.Code     `json:"code"`
	Result json.RawMessage `json:"result,omitempty"`
	Detail string          `json:"detail,omitempty"`
}

func (o *storedOutcome) size() int {
	if o == nil {
		return 0
	}
	return len(o.Result) + maxJSONExpansion*len(o.Detail)
}

func (e entry) size(id string) int {
	return entryOverhead + len(id) + len(e.Digest) + len(e.Op) + len(e.Holder) + e.Outcome.size()
}

// opKind is the kind of change that an operation makes to a segment.
type opKind int

const (
	opClaim    opKind = iota // add an entry for the key unless there is one
	opComplete               // add the outcome to the operation's own claim
	opRelease                // remove the operation's own claim: nothing was handed over
)

// op is one operation on one key. It is idempotent: applying it twice has the same
// effect as once.
type op struct {
	kind  opKind
	id    string // search and key
	entry entry  // entry.Op identifies the claim for all three kinds
	// bar makes a release store the claim's id as barred. It is set when the claim
	// was sent to another VM that has not given a final answer. That VM may be
	// frozen with the claim in its queue and enter it after its caller has given
	// up: the key would be reported as in progress forever, although its caller got
	// the answer "not run". Changing the object's version does not stop a VM that
	// reads before it writes; the barred id does.
	bar bool
}

// verdict is the result of an op.
type verdict int

const (
	verdictDone  verdict = iota // the segment is in the state that the op requested
	verdictHeld                 // claim: the key has an entry of another operation
	verdictFull                 // claim: there is no space for the key
	verdictMoved                // claim: the segment is sealed; the key belongs in its overflow segment
	verdictGone                 // complete: the claim no longer exists; claim: it is barred
)

// reply is a verdict, with the conflicting entry for verdictHeld.
type reply struct {
	verdict verdict
	held    entry
}

// apply applies the batch in order. It returns the resulting segment, one reply per
// op, and whether anything changed.
func (s segment) apply(batch []op) (segment, []reply, bool) {
	next := segment{Entries: maps.Clone(s.Entries), Barred: maps.Clone(s.Barred), Sealed: s.Sealed, overflow: s.overflow, size: s.size}
	if next.Entries == nil {
		next.Entries = make(map[string]entry)
	}
	replies := make([]reply, len(batch))
	changed := false
	for i, o := range batch {
		var did bool
		replies[i], did = next.applyOne(o)
		changed = changed || did
	}
	return next, replies, changed
}

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

// rejectFull rejects a claim for lack of space, and seals the segment if it is not
// an overflow segment. If space that is released later were given to new keys, a
// key that has been claimed in its overflow segment could also be claimed here, and
// run twice.
func (s *segment) rejectFull() (reply, bool) {
	if s.overflow {
		return reply{verdict: verdictFull}, false
	}
	s.Sealed = true
	return reply{verdict: verdictMoved}, true
}

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

func (s *segment) release(o op, existing entry, sameOp bool) (reply, bool) {
	barred := o.bar && s.bar(o.entry.Op)
	// A claim with an outcome was handed over and stays.
	if !sameOp || existing.Outcome != nil {
		return reply{verdict: verdictDone}, barred
	}
	s.size -= existing.size(o.id)
	delete(s.Entries, o.id)
	return reply{verdict: verdictDone}, true
}

// bar marks a claim's id as barred and reports whether that is new.
func (s *segment) bar(opID string) bool {
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

func (s *segment) put(id string, e entry) {
	if old, ok := s.Entries[id]; ok {
		s.size -= old.size(id)
	}
	s.Entries[id] = e
	s.size += e.size(id)
}

// encode returns the segment's JSON. It leaves results as the target wrote them,
// without escaping '<' and '&'.
func (s segment) encode() ([]byte, error) {
	var value bytes.Buffer
	encoder := json.NewEncoder(&value)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(s)
	return value.Bytes(), errors.Trace(err)
}

// decodeSegment returns an error for any value that it does not understand in full.
// If it ignored a claim that another release stored in a different form, the claim
// would be lost with the next update, and its request could run again.
func decodeSegment(name string, value []byte) (segment, error) {
	s := segment{overflow: isOverflow(name)}
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return segment{}, errors.Annotate(err, "cannot decode a claims object")
	}
	if s.Entries == nil || decoder.More() {
		return segment{}, errors.New("cannot decode a claims object: it has no entries or trailing data")
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
