package once

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/juju/errors"
)

// Bounds of a segment, in bytes of its estimated JSON. The room between the
// two is left for the outcomes of claims that are already in.
const (
	maxSizeForClaims  = objstore.MaxValue / 2
	maxSizeForResults = objstore.MaxValue * 3 / 4
	entryOverhead     = 160 // field names, quotes and numbers of an entry
	maxDetailBytes    = 256
	barredOverhead    = 10 // quotes, value and comma of a barred id
	maxJSONExpansion  = 6  // bytes that JSON needs for one byte of text, at most
)

// segment is the value of one claims object. It is immutable: apply returns a
// new one.
type segment struct {
	Entries map[string]entry `json:"entries"` // by search and key
	// Barred are the ids of claims that must not enter any more; see op.bar.
	Barred map[string]bool `json:"barred,omitempty"`
	// Sealed says that the segment of a second was full once. It takes no further
	// keys, whatever is released later: they are in one of its parts.
	Sealed   bool `json:"sealed,omitempty"`
	overflow bool // of a second, so that nothing follows when it is full
	size     int
}

// entry is one claimed key. Without an outcome the request may have been
// handed to a target: there is no state between the claim and the hand-over.
type entry struct {
	Digest  string         `json:"digest"`
	Op      string         `json:"op"`       // id of the operation that won the claim
	Holder  string         `json:"holder"`   // VM and incarnation
	UntilMS int64          `json:"until_ms"` // Unix milliseconds at which the holder should be done
	Outcome *storedOutcome `json:"outcome,omitempty"`
}

// storedOutcome is an outcome that a second sending of the same key is told.
type storedOutcome struct {
	Code   result.Code     `json:"code"`
	Result json.RawMessage `json:"result,omitempty"`
	Detail string          `json:"detail,omitempty"`
}

func (k *storedOutcome) size() int {
	if k == nil {
		return 0
	}
	return len(k.Result) + maxJSONExpansion*len(k.Detail)
}

func (e entry) size(id string) int {
	return entryOverhead + len(id) + len(e.Digest) + len(e.Op) + len(e.Holder) + e.Outcome.size()
}

// opKind is what an operation wants of a segment.
type opKind int

const (
	opClaim    opKind = iota // enter the key unless it is there
	opComplete               // add the outcome to one's own claim
	opRelease                // remove one's own claim: nothing was handed over
)

// op is one operation on one key. Applying it twice is the same as once.
type op struct {
	kind  opKind
	id    string // search and key
	entry entry  // entry.Op identifies the claim in all three kinds
	// bar makes a release leave the claim's id behind. The claim was handed to
	// another VM that has not said what became of it. That VM may be frozen with
	// the claim in its queue, and enter it when nobody waits for it any more: the
	// key would show as in progress for ever, after its sender was told "not run".
	// Moving the object's version on does not stop a VM that reads before it
	// writes; the id does.
	bar bool
}

// verdict is what became of an op.
type verdict int

const (
	verdictDone  verdict = iota // the segment says what the op wanted
	verdictHeld                 // claim: another operation's entry is there
	verdictFull                 // claim: the segment has no room
	verdictMoved                // claim: the segment is sealed; the key belongs into its part
	verdictGone                 // settle: the claim is no longer there; claim: it is barred
)

// reply is a verdict with the entry that is in the way, if one is.
type reply struct {
	verdict verdict
	held    entry
}

// apply runs the batch in order and returns the segment after it, a reply per
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
	have, present := s.Entries[o.id]
	mine := present && have.Op == o.entry.Op
	switch o.kind {
	case opClaim:
		return s.claim(o, have, present, mine)
	case opComplete:
		return s.complete(o, have, mine)
	default:
		return s.release(o, have, mine)
	}
}

func (s *segment) claim(o op, have entry, present, mine bool) (reply, bool) {
	if mine {
		// An earlier write of this claim took effect and its answer was lost.
		return reply{verdict: verdictDone}, false
	}
	if s.Barred[o.entry.Op] {
		return reply{verdict: verdictGone}, false
	}
	if present {
		return reply{verdict: verdictHeld, held: have}, false
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

// rejectFull seals the segment of a second. Were room that is released later given to
// new keys, a key that has been claimed in its part could be claimed here once
// more, and run twice.
func (s *segment) rejectFull() (reply, bool) {
	if s.overflow {
		return reply{verdict: verdictFull}, false
	}
	s.Sealed = true
	return reply{verdict: verdictMoved}, true
}

func (s *segment) complete(o op, have entry, mine bool) (reply, bool) {
	if !mine {
		return reply{verdict: verdictGone}, false
	}
	if have.Outcome != nil {
		return reply{verdict: verdictDone}, false
	}
	have.Outcome = o.entry.Outcome
	if s.size+have.Outcome.size() > maxSizeForResults {
		have.Outcome = &storedOutcome{Code: have.Outcome.Code, Detail: detailNotStored}
	}
	s.put(o.id, have)
	return reply{verdict: verdictDone}, true
}

func (s *segment) release(o op, have entry, mine bool) (reply, bool) {
	barred := o.bar && s.bar(o.entry.Op)
	// A claim with an outcome was handed over and stays.
	if !mine || have.Outcome != nil {
		return reply{verdict: verdictDone}, barred
	}
	s.size -= have.size(o.id)
	delete(s.Entries, o.id)
	return reply{verdict: verdictDone}, true
}

// bar keeps a claim from entering, and tells whether that is new.
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

// encode keeps results as the target wrote them, '<' and '&' included.
func (s segment) encode() ([]byte, error) {
	var value bytes.Buffer
	encoder := json.NewEncoder(&value)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(s)
	return value.Bytes(), errors.Trace(err)
}

// decodeSegment refuses what it doesn't understand in full. A claim that another
// release wrote in a form of its own would otherwise be passed over and lost with
// the next update, and its request could run again.
func decodeSegment(name string, value []byte) (segment, error) {
	s := segment{overflow: isOverflow(name)}
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return segment{}, errors.Annotate(err, "a claims object is not readable")
	}
	if s.Entries == nil || decoder.More() {
		return segment{}, errors.New("a claims object is not readable: no entries, or more behind them")
	}
	for id, e := range s.Entries {
		s.size += e.size(id)
	}
	if len(s.Barred) == 0 {
		s.Barred = nil // as it is read back
	}
	for opID := range s.Barred {
		s.size += len(opID) + barredOverhead
	}
	return s, nil
}
