package request

import (
	"fmt"
	"time"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
)

// maxRejectionBytes bounds the body of an error response of a backend server.
const maxRejectionBytes = 64 << 10

// rejection is an engine's error response to an invalid request. It is relayed to the
// caller unchanged, so that client libraries of the API can interpret it.
type rejection struct {
	status      int
	contentType string
	body        []byte
}

// readRejection reads the rest of an error response. It returns a *rejection, or another
// error if the body broke off, exceeds maxRejectionBytes or takes too long: to the caller it
// would look complete.
func (gen *generation) readRejection(ex *connection.Exchange) error {
	defer ex.Finish(false)
	ex.SetReadDeadline(time.Now().Add(gen.c.g.bodyTimeout()))
	body, err := readResponse(ex, maxRejectionBytes, &responseBuffer{})
	switch {
	case err == nil:
		return &rejection{status: ex.Response.StatusCode(), contentType: string(ex.Response.Header.ContentType()), body: body}
	case gen.c.ctx.Err() != nil:
		return gen.c.contextError()
	}
	return verdict.Wrap(err, verdict.MayHaveRun, 502, "backend_failed", "the backend server's rejection broke off or exceeds %d bytes", maxRejectionBytes)
}

// Error implements error.
func (r *rejection) Error() string {
	return fmt.Sprintf("the backend server rejected the request with status %d", r.status)
}

// handleStartError relays an engine's rejection to the caller and returns all other
// errors.
func (gen *generation) handleStartError(err error) error {
	r, ok := err.(*rejection)
	if !ok {
		return err
	}
	gen.reservation.Release(false)
	c := gen.c
	c.outcome.Code = "backend_rejected"
	c.outcome.Verdict = verdict.MayHaveRun.String()
	c.http.SetStatusCode(r.status)
	c.http.SetContentType(r.contentType)
	c.http.SetBody(r.body)
	return nil
}
