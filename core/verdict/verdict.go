// Package verdict defines errors that state whether a request may have run at a backend
// server.
//
// Every failure on the request path carries a Verdict. A rejection states "not run" only
// where the code has established it.
package verdict

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Verdict is the state of a failed request: not run, possibly run, or run.
type Verdict uint8

const (
	// MayHaveRun is the zero value, so that an error without an explicit verdict never
	// claims that the request did not run.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server started the request: no byte of it reached one,
	// or the server confirmed that it rejected the request without running it.
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

// MarshalText implements encoding.TextMarshaler with the wire form. It never fails.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for any text
// other than the three wire forms.
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

// Error is a failure that is reported to the caller, with its verdict.
type Error struct {
	Verdict Verdict
	// Code is a stable, machine-readable problem code such as "unknown_team".
	Code string
	// Status is the HTTP status code sent to the caller.
	Status int
	// RetryAfterSeconds is sent as Retry-After if positive.
	RetryAfterSeconds int
	// Detail is the message for the caller.
	Detail string
	Cause  error
}

// Error returns the code, verdict, detail and cause for log lines.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Verdict, e.Detail, e.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Detail)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an Error without a cause. The detail is formatted as by fmt.Sprintf.
func New(v Verdict, status int, code, format string, args ...any) *Error {
	return &Error{Verdict: v, Status: status, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap is like New for an Error with a cause.
func Wrap(cause error, v Verdict, status int, code, format string, args ...any) *Error {
	e := New(v, status, code, format, args...)
	e.Cause = cause
	return e
}

// From returns the first Error in err's chain. An err without one is wrapped as
// MayHaveRun with status 500 and code "internal".
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, 500, "internal", "internal error")
}

// Of returns the verdict of err, which is MayHaveRun if err carries none.
func Of(err error) Verdict { return From(err).Verdict }
