// Package result defines the numbered result codes that bramleybarrow reports to
// callers, operators and its own processes. docs/RESULT-CODES.md holds the same
// table; a test checks that the two are equal.
package result

import (
	"fmt"
	"time"
)

// Code is the stable number of a result. Its hundreds digit is its class.
type Code int

// Class groups codes by who has to act on them. The class of a failed command's code is
// also the exit status of the operators' command line.
type Class int

// The classes; each is the hundreds digit of its codes.
const (
	ClassOK         Class = 1 // answered
	ClassRequest    Class = 2 // the request itself has to change
	ClassLater      Class = 3 // not run; the same request may succeed later
	ClassIncomplete Class = 4 // run, but the answer is less than the caller asked for
	ClassUnknown    Class = 5 // it is not known whether the request ran
	ClassOperator   Class = 6 // errors of bundles and rollouts
	ClassPeer       Class = 7 // errors of the protocol between VMs
)

// Ran says whether a target ran a request.
type Ran int

// The values of Ran. The zero value is the one that guarantees least.
const (
	RanUnknown Ran = iota // a target may have run the request
	RanNo                 // no target started the request
	RanYes                // at least one target ran the request
)

// String returns the text used in answers and in docs/RESULT-CODES.md.
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
	RetryNo      Retry = iota // a retry makes no sense: its result would be the same
	RetryLater                // a retry makes sense after the time stated with the answer
	RetrySameKey              // a retry with the same idempotency key returns the outcome
)

// String returns the text used in docs/RESULT-CODES.md.
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

// Info describes a code. It is one row of Table.
type Info struct {
	Code  Code
	Name  string
	HTTP  int    // HTTP status of the answer to a caller
	Ran   Ran    // whether a target ran the request
	Retry Retry  // whether sending the same request again makes sense
	Text  string // one sentence: what happened and what to change
}

// Class returns the class of c.
func (c Code) Class() Class { return Class(int(c) / 100) }

// Info returns the row of c in Table. If there is none, it returns a row named Unlisted.
func (c Code) Info() Info {
	if row, ok := byCode[c]; ok {
		return row
	}
	return Info{Code: c, Name: "Unlisted", HTTP: 500, Text: "This code is not in the table."}
}

// String returns the name of c.
func (c Code) String() string { return c.Info().Name }

// Error is an error with a result code.
type Error struct {
	Code       Code
	Detail     string        // what was found and what is allowed
	RetryAfter time.Duration // how long to wait before a retry; 0 unless the code's Retry is RetryLater
	cause      error         // wrapped error; nil if there is none
}

// Errorf returns an Error of code c with a formatted detail.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error of code c that wraps err, with a detail that says what failed.
func Wrap(c Code, err error, detail string) *Error {
	return &Error{Code: c, Detail: detail, cause: err}
}

// WithRetryAfter sets how long to wait before a retry, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the code's number and name, the detail and the text of the wrapped error.
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

// Unwrap returns the error that e wraps, or nil.
func (e *Error) Unwrap() error { return e.cause }

// CodeOf returns the code of the first Error in err's chain, Internal if the chain has
// none, and Complete if err is nil.
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
