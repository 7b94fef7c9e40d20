// Package verdict states whether a request may have run at a backend server.
//
// Every failure on the request path carries a Verdict, so that a refusal that
// says "not run" is only ever produced by code that knows it is true.
package verdict

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Verdict says whether a request may have run.
type Verdict uint8

const (
	// MayHaveRun is the zero value: an error of unknown origin never claims
	// that the request did not run.
	MayHaveRun Verdict = iota
	// NotRun means no byte of the request reached a backend server.
	NotRun
	// Ran means the backend server started the request.
	Ran
)

// Class is the error class of all verdict errors.
var Class = errs.Class("monsoonkeel")

// String returns the wire form: not_run, may_have_run or ran.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch string(text) {
	case "not_run":
		*v = NotRun
	case "may_have_run":
		*v = MayHaveRun
	case "ran":
		*v = Ran
	default:
		return Class.New("unknown verdict %q", text)
	}
	return nil
}

// Error is a failure with its verdict.
type Error struct {
	Verdict Verdict
	// Code is a stable machine-readable reason such as "unknown_team".
	Code string
	// Status is the HTTP status code sent to the caller.
	Status int
	// RetryAfterSeconds is sent as Retry-After when positive.
	RetryAfterSeconds int
	Detail            string
	Cause             error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Verdict, e.Detail, e.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an Error without a cause.
func New(v Verdict, status int, code, format string, args ...any) *Error {
	return &Error{Verdict: v, Status: status, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with a cause.
func Wrap(cause error, v Verdict, status int, code, format string, args ...any) *Error {
	e := New(v, status, code, format, args...)
	e.Cause = cause
	return e
}

// From returns the verdict error in err's chain. An error without one is
// reported as MayHaveRun with status 500.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, 500, "internal", "internal error")
}

// Of returns the verdict of err.
func Of(err error) Verdict { return From(err).Verdict }
