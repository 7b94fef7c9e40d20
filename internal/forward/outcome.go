package forward

import (
	"context"
	"errors"
	"time"

	"monsoonkeel.example/monsoonkeel/core/hedge"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
)

// releaseFailed releases the reservation of an attempt that failed with err. The failure counts towards the
// server's ejection unless the request was ended before the server could have responded.
func (r *request) releaseFailed(res *reservation, err error) {
	if r.endedEarly(res, err) {
		res.cancel()
		return
	}
	if verdict.Of(err) != verdict.NotRun {
		r.observeBroken(res)
	}
	res.release(true)
}

// endedEarly reports whether an attempt failed since the caller or this host ended the request or withheld it, a write to
// the caller failed, or its time was over before the server had the share of the route's objective that a first attempt gets.
func (r *request) endedEarly(res *reservation, err error) bool {
	// The deadline of a read or a connection setup may pass right before that of the context.
	over := r.ctx.Err() != nil || !time.Now().Before(r.deadline)
	switch {
	case isCallerError(err), isWithheld(err):
		return true
	case !over && !isResponseTimeout(err):
		return false
	case r.ctx.Err() == context.Canceled || r.call.Context().Err() != nil:
		return true
	}
	return time.Since(res.since) < r.expectedResponse()
}

// expectedResponse is the share of the route's objective after which a server without a response counts as silent.
func (r *request) expectedResponse() time.Duration {
	expected, _ := hedge.SilentAfter(orDefault(r.route.Objective, time.Second))
	return expected
}

// checkAcceptsWork returns an error if the server of a reservation gets no new requests any more. It is called right
// before the first byte is sent: a connection setup, or the copy of a generation to the server, took its time.
func (r *request) checkAcceptsWork(res *reservation) error {
	if r.g.acceptsWork(res.server.ID) && r.g.balancers.beginSend(res) {
		return nil
	}
	return notRun(503, codeLeft, "the backend server was taken out of service before the request was sent")
}

// isWithheld reports whether an attempt failed since this host withheld its request right before sending it.
func isWithheld(err error) bool {
	code := verdict.From(err).Code
	return code == codeLeft || code == codeNoRetryBudget
}

// isResponseTimeout reports whether a response did not arrive within the time of an attempt.
func isResponseTimeout(err error) bool {
	var timeout interface{ Timeout() bool } // fasthttp's error of a timeout is no net.Error
	return errors.As(err, &timeout) && timeout.Timeout() && verdict.From(err).Code == connection.CodeNoResponse
}

// callerError is a failure to write to the caller, which tells nothing about the backend server.
type callerError struct{ cause error }

// Error implements error.
func (e *callerError) Error() string { return "writing to the caller: " + e.cause.Error() }

// Unwrap returns the error of the write.
func (e *callerError) Unwrap() error { return e.cause }

// toCaller marks the error of a write to the caller; nil stays nil.
func toCaller(err error) error {
	if err == nil {
		return nil
	}
	return &callerError{err}
}

// isCallerError reports whether err is the failure of a write to the caller.
func isCallerError(err error) bool {
	var e *callerError
	return errors.As(err, &e)
}

// callerBody writes parts of a response body to the caller.
type callerBody struct{ call *connection.Call }

// Write implements io.Writer. Its errors are caller errors.
func (w callerBody) Write(p []byte) (int, error) {
	n, err := w.call.Write(p)
	return n, toCaller(err)
}
