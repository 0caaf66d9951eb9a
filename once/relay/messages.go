// Package relay sends claims, outcomes and releases of non-idempotent requests to
// the VM that commits their segment, and returns its answers. A segment is the
// stored object that holds the claims of one second.
//
// The VM is chosen by rendezvous hashing over the live VMs. So all VMs with the
// same list choose the same VM, and only the segments of a lost VM move to others.
// If two VMs both act as committer of a segment, no harm is done: their updates are
// conditional, so only one of two concurrent ones succeeds. This package never
// retries; package once decides what to do when there is no answer.
package relay

import "github.com/bramleybarrow/bramleybarrow/result"

// ConnectionUse is the purpose that a VM states, in wire.Options.Use, when it opens a
// connection to relay operations on claims.
const ConnectionUse = "claims"

// Prefix is the prefix of the names of all methods that this package calls on other
// VMs.
const Prefix = "claims."

// MethodCommit is the method that applies a batch of operations. It takes a Batch
// and returns Replies.
const MethodCommit = Prefix + "commit"

// MaxOps limits the number of operations in a batch, so that the answer, which may
// contain a stored result for each operation, fits into one message.
const MaxOps = 64

// Batch is a list of operations on one segment, the stored object that holds the
// claims of one second.
type Batch struct {
	Segment string `json:"segment"` // name of the segment
	HoldMS  int64  `json:"hold_ms"` // milliseconds after which operations without a verdict are answered as Undecided
	// Credit is the number of writes to the platform, at most 1, that the sender
	// transfers from its own budget to the VM that commits the segment.
	Credit float64 `json:"credit"`
	Ops    []Op    `json:"ops"` // 1 to MaxOps operations, applied in this order
}

// Kind is the kind of change that an operation makes to a segment.
type Kind string

// Kinds of operations.
const (
	Claim    Kind = "claim"   // add an entry for the key unless there is one
	Complete Kind = "settle"  // add the outcome to the operation's own claim
	Release  Kind = "release" // remove the operation's own claim
)

// Op is one operation on one key. Applying it more than once does no harm.
type Op struct {
	Kind  Kind   `json:"kind"`
	ID    string `json:"id"`    // id of the key's entry in the segment; contains search and key
	Entry Entry  `json:"entry"` // Entry.Op identifies the claim; Claim stores the whole Entry, Complete only Entry.Outcome
}

// Entry is a key's entry in a segment, the stored object that holds the claims of
// one second.
type Entry struct {
	Digest  string   `json:"digest"`            // digest of the request's payload
	Op      string   `json:"op"`                // id of the claim's operation
	Holder  string   `json:"holder"`            // VM that claims the key, with its incarnation (start of the process)
	UntilMS int64    `json:"until_ms"`          // Unix milliseconds; the time by which the holder should be done
	Outcome *Outcome `json:"outcome,omitempty"` // nil until the outcome is stored
}

// Outcome is the stored outcome of the request with a key. Result is sent as bytes
// and not as embedded JSON, which would be re-encoded in transit.
type Outcome struct {
	Code   result.Code `json:"code"`
	Result []byte      `json:"result,omitempty"` // the target's result, in JSON; empty if it was too large to be stored
	Detail string      `json:"detail,omitempty"` // explanation for the caller
}

// Replies contains one reply per operation, in the order of the batch.
type Replies struct {
	Replies []Reply `json:"replies"`
}

// Verdict is the result of an operation on one key, as the VM that applies it states
// it.
type Verdict string

// Verdicts. All but Undecided are final: the VM that gives them will not apply the
// operation after that.
const (
	Done      Verdict = "done"      // the segment is in the state that the operation requested
	Held      Verdict = "held"      // the key has an entry of another operation
	Full      Verdict = "full"      // the segment has no space for the key
	Moved     Verdict = "moved"     // the segment is sealed (was full once); the key belongs in an overflow segment
	Gone      Verdict = "gone"      // the claim to complete does not exist, or the claim's operation id is barred
	Undecided Verdict = "undecided" // the operation may still be applied
)

// Reply is the result of one operation of a batch.
type Reply struct {
	Verdict Verdict `json:"verdict"`
	Held    *Entry  `json:"held,omitempty"` // the key's entry of another operation, for Held only
}
