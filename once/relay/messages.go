// Package relay sends claims, outcomes and releases of non-idempotent requests to
// the VM that commits the segment of their second, and returns its answers.
//
// The VM is chosen by rendezvous hashing over the live VMs. So all VMs with the
// same list choose the same VM, and only the segments of a lost VM move to others.
// Two VMs that both act as committer of a segment do no harm: the conditional
// update of the segment decides. This package never retries by itself; package once
// decides what follows when there is no answer.
package relay

import "github.com/bramleybarrow/bramleybarrow/result"

// Use is the purpose that connections of this package state when they are opened.
const Use = "claims"

// Prefix is the prefix of all method names of this package.
const Prefix = "claims."

// MethodCommit takes a Batch and returns Replies.
const MethodCommit = Prefix + "commit"

// MaxOps limits the operations in a batch, so that its answer, which may contain a
// stored result for each operation, fits into one message.
const MaxOps = 64

// Batch is a list of operations on one segment.
type Batch struct {
	Segment string `json:"segment"`
	HoldMS  int64  `json:"hold_ms"` // milliseconds until operations without a verdict become Undecided
	// Credit is the fraction of a write, at most 1, that the sender had accumulated
	// and transfers to the VM that commits.
	Credit float64 `json:"credit"`
	Ops    []Op    `json:"ops"`
}

// Kind is the kind of change that an operation makes to a segment.
type Kind string

// Kinds of operations.
const (
	Claim    Kind = "claim"
	Complete Kind = "settle"
	Release  Kind = "release"
)

// Op is one operation on one key. It may be applied more than once.
type Op struct {
	Kind  Kind   `json:"kind"`
	ID    string `json:"id"` // search and key
	Entry Entry  `json:"entry"`
}

// Entry is a key's entry in a segment.
type Entry struct {
	Digest  string   `json:"digest"`
	Op      string   `json:"op"`       // id of the operation that made the claim
	Holder  string   `json:"holder"`   // VM and incarnation
	UntilMS int64    `json:"until_ms"` // Unix milliseconds; the time by which the holder should be done
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the stored outcome of a key. Result contains the bytes that the target
// sent: embedded as JSON they would be re-encoded in transit.
type Outcome struct {
	Code   result.Code `json:"code"`
	Result []byte      `json:"result,omitempty"`
	Detail string      `json:"detail,omitempty"`
}

// Replies contains one reply per operation, in the order of the batch.
type Replies struct {
	Replies []Reply `json:"replies"`
}

// Verdict is the result of an operation.
type Verdict string

// Verdicts. All but Undecided are final: the VM that gives them will not apply the
// operation after that.
const (
	Done      Verdict = "done"
	Held      Verdict = "held"      // the key has an entry of another operation
	Full      Verdict = "full"      // there is no space for the key
	Moved     Verdict = "moved"     // the segment is sealed; the key belongs in an overflow segment
	Gone      Verdict = "gone"      // the claim to complete does not exist, or the claim is barred
	Undecided Verdict = "undecided" // the operation may still be applied
)

// Reply is a verdict, with the conflicting entry for Held.
type Reply struct {
	Verdict Verdict `json:"verdict"`
	Held    *Entry  `json:"held,omitempty"`
}
