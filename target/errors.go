package target

import (
	"fmt"
	"time"
)

// ErrorKind is the reason for which a call returned no usable answer.
type ErrorKind string

// The kinds of call errors.
const (
	ErrorUnknownTarget ErrorKind = "unknown_target" // the target is not among the endpoints in force
	ErrorUnreachable   ErrorKind = "unreachable"    // no connection to the target could be opened
	ErrorBusy          ErrorKind = "busy"           // no connection within this VM's share is free
	ErrorRefused       ErrorKind = "refused"        // the target refused the call; see CallError.Reason
	ErrorBroken        ErrorKind = "broken"         // the connection or stream failed during the call
	ErrorDeadline      ErrorKind = "deadline"       // the call's deadline passed before the answer arrived
	ErrorCancelled     ErrorKind = "cancelled"      // the call's context was cancelled
	ErrorMismatched    ErrorKind = "mismatched"     // the answer belongs to another request
	ErrorMalformed     ErrorKind = "malformed"      // the answer violates the protocol or a limit
	ErrorStatus        ErrorKind = "status"         // an HTTP status that the protocol does not define
)

// CallError is the error that the calls of a Client return.
type CallError struct {
	Kind   ErrorKind
	Target string // name of the target
	Via    string // VM through which the target was called; empty if it was called directly
	Reason Reason // why the target refused the call; empty if it did not refuse
	// NotStarted is true only if it is certain that the target did not start
	// the request: the transport read nothing of its body, or the target
	// guarantees it in its refusal.
	NotStarted  bool
	RetryAfter  time.Duration // wait before the next try; 0 if not known
	Incarnation string        // incarnation of the target process that answered; empty if none did
	cause       error         // more about the failure; may be nil
}

// Error implements error.
func (e *CallError) Error() string {
	name := e.Target
	if e.Via != "" {
		name += " via " + e.Via
	}
	msg := fmt.Sprintf("target %s: %s", name, e.Kind)
	if e.Reason != "" {
		msg += " (" + string(e.Reason) + ")"
	}
	if e.cause != nil {
		msg += ": " + e.cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.cause }
