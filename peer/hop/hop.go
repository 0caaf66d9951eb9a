// Package hop forwards calls to leaves through the VMs that own connections to
// their targets. A VM that isn't an owner sends all calls of a query that go to
// one owner in one message. The owner queues them for the leaves' slots, calls
// the target and sends back the answers. Answers that become ready while a
// message is being written are sent together in the next one.
//
// Forwarding doesn't change the meaning of a call. The target receives the same
// request as on a direct call, with the same snapshot and echo and with the time
// that is left of the deadline. The calling VM checks the answer's echo again. A
// failure has NotStarted set only if it is certain that the target didn't start
// the call.
package hop

import (
	"context"
	"errors"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// ConnUse identifies connections of this package in the hello, the first message on a
// connection between VMs.
const ConnUse = "calls"

// The methods of the protocol between a calling VM and an owner.
const (
	MethodCalls   = "calls.begin"   // call to the owner with a Batch of leaf calls; returns once each of them is started, queued or refused
	MethodCancel  = "calls.cancel"  // notification to the owner with a Cancel, which lists leaf calls; there is no reply
	MethodAnswers = "calls.answers" // notification to the calling VM with Answers, the outcomes of leaf calls; there is no reply
)

// Leaves calls the leaves of targets and reads the status of targets. target.Client
// implements it.
type Leaves interface {
	Search(ctx context.Context, target string, leaf int, req target.LeafRequest) (target.LeafAnswer, error)
	Submit(ctx context.Context, target string, leaf int, req target.SubmitRequest) (target.SubmitAnswer, error)
	Status(ctx context.Context, target string) (target.Status, error)
}

// Call is a search or a non-idempotent request to one leaf, or a read of the
// target's status: exactly one of Search, Submit and Status is set. ID is unique
// on its connection.
type Call struct {
	ID     uint64                `json:"id"`
	Target string                `json:"t"`
	Leaf   int                   `json:"l"` // number of the leaf; 0 for a status
	Search *target.LeafRequest   `json:"s,omitempty"`
	Submit *target.SubmitRequest `json:"u,omitempty"`
	Status *StatusRequest        `json:"a,omitempty"`
}

// deadlineMS returns a pointer to the field that holds the call's remaining time in
// milliseconds, or nil unless exactly one of Search, Submit and Status is set.
func (c *Call) deadlineMS() *int64 {
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

// StatusRequest requests a target's status.
type StatusRequest struct {
	DeadlineMS int64 `json:"d"` // remaining time in milliseconds
}

// Batch holds the calls that one VM sends to one owner in one message, at most
// MaxBatchCalls.
type Batch struct {
	Calls []Call `json:"c"`
}

// Cancel lists the calls whose answers the calling VM no longer needs.
type Cancel struct {
	IDs []uint64 `json:"i"` // of calls that were sent on the same connection
}

// Answer is the outcome of the Call with the same ID. Exactly one field besides ID is set:
// Failure, or the one of Search, Submit and Status that is also set in the Call.
type Answer struct {
	ID      uint64               `json:"id"`
	Search  *target.LeafAnswer   `json:"s,omitempty"`
	Submit  *target.SubmitAnswer `json:"u,omitempty"`
	Status  *target.Status       `json:"a,omitempty"`
	Failure *Failure             `json:"f,omitempty"`
}

// Answers holds the answers that an owner sends in one message.
type Answers struct {
	Answers []Answer `json:"a"`
}

// Failure is the encoding of a target.CallError.
type Failure struct {
	Kind         target.ErrorKind `json:"k"`
	Reason       target.Reason    `json:"r,omitempty"` // of a refusal
	NotStarted   bool             `json:"n,omitempty"` // the call is certain not to have been started
	RetryAfterMS int64            `json:"a,omitempty"` // time to wait before a retry, in milliseconds; 0 if not known
	Incarnation  string           `json:"i,omitempty"` // of the target that answered; empty if none did
}

// MaxBatchCalls bounds the number of calls in one Batch.
const MaxBatchCalls = 1024

// failureOf returns err, the error of a leaf call, as a Failure. An error that isn't a
// *target.CallError becomes target.ErrorBroken without NotStarted, because the target may
// have started the call.
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

// callError returns f as a *target.CallError about the named target.
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
