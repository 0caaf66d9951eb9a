package target

import (
	"fmt"
	"time"
)

// ErrorKind tells why a call gave no answer that can be used.
type ErrorKind string

// The kinds of call errors.
const (
	ErrorUnknownTarget ErrorKind = "unknown_target" // not among the endpoints in force
	ErrorUnreachable   ErrorKind = "unreachable"    // no connection could be opened
	ErrorBusy          ErrorKind = "busy"           // this VM's share of connections is taken
	ErrorRefused       ErrorKind = "refused"        // the target said that it will not serve the call
	ErrorBroken        ErrorKind = "broken"         // the connection or stream failed during the call
	ErrorDeadline      ErrorKind = "deadline"
	ErrorCancelled     ErrorKind = "cancelled"
	ErrorMismatched    ErrorKind = "mismatched" // the answer belongs to another request
	ErrorMalformed     ErrorKind = "malformed"  // the answer breaks the protocol or a bound
	ErrorStatus        ErrorKind = "status"     // an HTTP status that the protocol does not know
)

// CallError is the error of every call of a Client.
type CallError struct {
	Kind   ErrorKind
	Target string
	Reason Reason // of a refusal
	// NotStarted is true only if it is certain that the target did not start
	// the request: nothing of its body was handed to a connection, or the
	// target's own refusal says so.
	NotStarted  bool
	RetryAfter  time.Duration // when to come back; 0 if not known
	Incarnation string        // of the target that answered; empty if none did
	cause       error
}

// Error implements error.
func (e *CallError) Error() string {
	msg := fmt.Sprintf("target %s: %s", e.Target, e.Kind)
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
