// Package relay carries claims, outcomes and releases of non-idempotent requests
// to the VM that commits the segment of their second, and its answers back.
//
// The VM is chosen by rendezvous hashing over the live VMs, so that all VMs that
// hold the same list choose the same one and a lost VM's segments alone change
// hands. Two VMs that both believe to be chosen do no harm: the conditional
// update of the segment decides. Nothing here is sent twice by itself; package
// once decides what follows when an answer stays out.
package relay

import "github.com/bramleybarrow/bramleybarrow/result"

// Use is the use of connections of this package.
const Use = "claims"

// Prefix begins the names of all methods of this package.
const Prefix = "claims."

// MethodCommit carries a Batch and is answered with Replies.
const MethodCommit = Prefix + "commit"

// MaxOps bounds a batch, so that its answer, which may carry a kept result for
// each operation, fits into a message.
const MaxOps = 64

// Batch are operations on one segment.
type Batch struct {
	Segment string `json:"segment"`
	HoldMS  int64  `json:"hold_ms"` // operations without a verdict by then are Undecided
	// Credit is the part of a write that the sender had saved and gives up to the
	// VM that commits.
	Credit float64 `json:"credit"`
	Ops    []Op    `json:"ops"`
}

// Kind is what an operation wants of a segment.
type Kind string

// The kinds of operations.
const (
	Claim    Kind = "claim"
	Complete Kind = "settle"
	Release  Kind = "release"
)

// Op is one operation on one key. It may be carried out more than once.
type Op struct {
	Kind  Kind   `json:"kind"`
	ID    string `json:"id"`
	Entry Entry  `json:"entry"`
}

// Entry is a key's entry in a segment.
type Entry struct {
	Digest  string   `json:"digest"`
	Op      string   `json:"op"`
	Holder  string   `json:"holder"`
	UntilMS int64    `json:"until_ms"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the outcome of a key. Result is the target's, byte by byte: as JSON
// within JSON it would be rewritten on its way.
type Outcome struct {
	Code   result.Code `json:"code"`
	Result []byte      `json:"result,omitempty"`
	Detail string      `json:"detail,omitempty"`
}

// Replies are in the order of the batch's operations.
type Replies struct {
	Replies []Reply `json:"replies"`
}

// Verdict is what became of an operation.
type Verdict string

// The verdicts. All but Undecided are final: the VM that gives them carries the
// operation out no more.
const (
	Done      Verdict = "done"
	Held      Verdict = "held" // another operation's entry is there
	Full      Verdict = "full"
	Moved     Verdict = "moved" // the key belongs into a part of the segment
	Gone      Verdict = "gone"
	Undecided Verdict = "undecided" // it may be carried out yet
)

// Reply is a verdict with the entry that is in the way, if one is.
type Reply struct {
	Verdict Verdict `json:"verdict"`
	Held    *Entry  `json:"held,omitempty"`
}
