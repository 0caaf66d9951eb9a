// Package result defines the numbered outcomes that bramleybarrow reports to
// callers, operators and its own processes. docs/RESULT-CODES.md holds the same
// table; a test keeps the two equal.
package result

import (
	"fmt"
	"time"
)

// Code is the stable number of an outcome. Its hundreds digit is its class.
type Code int

// Class groups codes by who has to act on them. It is also the exit status of
// the operator's command line.
type Class int

// The classes, in the order of the codes' hundreds digit.
const (
	ClassOK         Class = 1 // answered
	ClassRequest    Class = 2 // the request itself has to change
	ClassLater      Class = 3 // not run; the same request may succeed later
	ClassIncomplete Class = 4 // run, but the answer falls short of what was asked
	ClassUnknown    Class = 5 // whether the request ran is not known
	ClassOperator   Class = 6 // bundles and rollouts
	ClassPeer       Class = 7 // the protocol between VMs
)

// Ran says whether a request was handed to a target and run there.
type Ran int

// The values of Ran. The zero value is the one that promises least.
const (
	RanUnknown Ran = iota // it may have run
	RanNo                 // no target started it
	RanYes                // at least one target ran it
)

// String returns the word used in answers and in docs/RESULT-CODES.md.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "not run"
	case RanYes:
		return "run"
	default:
		return "unknown"
	}
}

// Retry says whether sending the same request again makes sense.
type Retry int

// The values of Retry.
const (
	RetryNo      Retry = iota // it would end the same way
	RetryLater                // after the time stated with the answer
	RetrySameKey              // with the same idempotency key, to learn the outcome
)

// String returns the word used in docs/RESULT-CODES.md.
func (r Retry) String() string {
	switch r {
	case RetryLater:
		return "later"
	case RetrySameKey:
		return "same key"
	default:
		return "no"
	}
}

// Info is what is known of a code in general.
type Info struct {
	Code  Code
	Name  string
	HTTP  int // status of the answer to a caller
	Ran   Ran
	Retry Retry
	Text  string // one sentence: what happened and what to change
}

// Class returns the class of c.
func (c Code) Class() Class { return Class(int(c) / 100) }

// Info returns the table's row of c, and a row named Unlisted for a code that
// the table lacks.
func (c Code) Info() Info {
	if row, ok := byCode[c]; ok {
		return row
	}
	return Info{Code: c, Name: "Unlisted", HTTP: 500, Text: "This code is not in the table."}
}

// String returns the name of c.
func (c Code) String() string { return c.Info().Name }

// Error is an outcome other than success, as a Go error.
type Error struct {
	Code       Code
	Detail     string        // what was found and what is allowed
	RetryAfter time.Duration // when to come back; 0 if the code does not say later
	cause      error
}

// Errorf returns an Error of code c with a formatted detail.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error of code c that keeps err as its cause.
func Wrap(c Code, err error, detail string) *Error {
	return &Error{Code: c, Detail: detail, cause: err}
}

// WithRetryAfter sets when to come back and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%d %s", int(e.Code), e.Code)
	if e.Detail != "" {
		msg += ": " + e.Detail
	}
	if e.cause != nil {
		msg += ": " + e.cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// CodeOf returns the code that err carries, or Internal if it carries none.
func CodeOf(err error) Code {
	for err != nil {
		if e, ok := err.(*Error); ok {
			return e.Code
		}
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return Internal
		}
		err = u.Unwrap()
	}
	return Complete
}
