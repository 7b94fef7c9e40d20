package request

import (
	"fmt"
	"io"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
)

// maxRejectionBytes bounds an error document of a backend server.
const maxRejectionBytes = 64 << 10

// rejection is an engine's refusal of a malformed request. It goes to the
// caller as the engine wrote it, so that clients of the API understand it.
type rejection struct {
	status      int
	contentType string
	body        []byte
}

func newRejection(ex *connection.Exchange) error {
	r := &rejection{
		status:      ex.Response.StatusCode(),
		contentType: string(ex.Response.Header.ContentType()),
	}
	r.body, _ = io.ReadAll(io.LimitReader(ex.Body(), maxRejectionBytes))
	ex.Finish(false)
	return r
}

// Error implements error.
func (r *rejection) Error() string {
	return fmt.Sprintf("the backend server rejected the request: %d", r.status)
}

// startFailed ends a call whose generation did not start.
func (gen *generation) startFailed(err error) error {
	r, ok := err.(*rejection)
	if !ok {
		return err
	}
	gen.place.Release(false)
	c := gen.c
	c.out.Code = "backend_rejected"
	c.out.Verdict = verdict.MayHaveRun.String()
	c.http.SetStatusCode(r.status)
	c.http.SetContentType(r.contentType)
	c.http.SetBody(r.body)
	return nil
}
