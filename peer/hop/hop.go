// Package hop carries calls to leaves through the VMs that own connections to
// their targets. A VM that isn't an owner sends all calls of a query that go to
// one owner in one message; the owner queues them for the leaves' slots, calls
// the target and sends back what is done, several answers in one message if
// several are.
//
// Nothing of the meaning of a call changes on the way: the request with its
// snapshot, echo and deadline is the target's own, the answer's echo is checked
// again by the VM that asked, and a failure says "not started" only where the
// owner or the target is certain of it.
package hop

import (
	"context"
	"errors"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// ConnUse names connections of this package in the hello.
const ConnUse = "calls"

// The methods.
const (
	MethodCalls   = "calls.begin"   // Batch; answered once all are queued or refused
	MethodCancel  = "calls.cancel"  // Cancel; no answer
	MethodAnswers = "calls.answers" // Answers; no answer
)

// Leaves reaches the leaves of targets. target.Client implements it.
type Leaves interface {
	Search(ctx context.Context, target string, leaf int, req target.LeafRequest) (target.LeafAnswer, error)
	Submit(ctx context.Context, target string, leaf int, req target.SubmitRequest) (target.SubmitAnswer, error)
	Status(ctx context.Context, target string) (target.Status, error)
}

// Call is one call to one leaf, a search or a non-idempotent request, or a read
// of the target's status. ID is unique on its connection.
type Call struct {
	ID     uint64                `json:"id"`
	Target string                `json:"t"`
	Leaf   int                   `json:"l"`
	Search *target.LeafRequest   `json:"s,omitempty"`
	Submit *target.SubmitRequest `json:"u,omitempty"`
	Status *StatusRequest        `json:"a,omitempty"`
}

// deadline returns where the call keeps its time left, or nil if it isn't
// exactly one of the three.
func (c *Call) deadline() *int64 {
	switch {
	case c.Search != nil && c.Submit == nil && c.Status == nil:
		return &c.Search.DeadlineMS
	case c.Submit != nil && c.Search == nil && c.Status == nil:
		return &c.Submit.DeadlineMS
	case c.Status != nil && c.Search == nil && c.Submit == nil:
		return &c.Status.DeadlineMS
	default:
		return nil
	}
}

// StatusRequest asks for what a target says of itself.
type StatusRequest struct {
	DeadlineMS int64 `json:"d"` // time left, in milliseconds
}

// Batch is all calls that one VM has for one owner at a time.
type Batch struct {
	Calls []Call `json:"c"`
}

// Cancel gives up calls.
type Cancel struct {
	IDs []uint64 `json:"i"`
}

// Answer is the outcome of one call: one of its four parts.
type Answer struct {
	ID      uint64               `json:"id"`
	Search  *target.LeafAnswer   `json:"s,omitempty"`
	Submit  *target.SubmitAnswer `json:"u,omitempty"`
	Status  *target.Status       `json:"a,omitempty"`
	Failure *Failure             `json:"f,omitempty"`
}

// Answers is what an owner has to say at a time.
type Answers struct {
	Answers []Answer `json:"a"`
}

// Failure is a target.CallError on the wire.
type Failure struct {
	Kind         target.ErrorKind `json:"k"`
	Reason       target.Reason    `json:"r,omitempty"`
	NotStarted   bool             `json:"n,omitempty"`
	RetryAfterMS int64            `json:"a,omitempty"`
	Incarnation  string           `json:"i,omitempty"`
}

// MaxBatchCalls bounds the calls in one Batch.
const MaxBatchCalls = 1024

func failureOf(err error) *Failure {
	var call *target.CallError
	if !errors.As(err, &call) {
		return &Failure{Kind: target.ErrorBroken}
	}
	return &Failure{
		Kind:         call.Kind,
		Reason:       call.Reason,
		NotStarted:   call.NotStarted,
		RetryAfterMS: call.RetryAfter.Milliseconds(),
		Incarnation:  call.Incarnation,
	}
}

func (f *Failure) callError(name string) error {
	return &target.CallError{
		Kind:        f.Kind,
		Target:      name,
		Reason:      f.Reason,
		NotStarted:  f.NotStarted,
		RetryAfter:  time.Duration(f.RetryAfterMS) * time.Millisecond,
		Incarnation: f.Incarnation,
	}
}
