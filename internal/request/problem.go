package request

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// Problem is an RFC 9457 problem document with the verdict on the request.
type Problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail,omitempty"`
	Verdict   verdict.Verdict `json:"verdict"`
	RequestID string          `json:"request_id"`
}

// problemContentType is the media type registered by RFC 9457.
const problemContentType = "application/problem+json"

// newProblem returns the problem document of err. If the request may have reached a
// backend server, the verdict is never NotRun.
func (c *call) newProblem(err error) (Problem, *verdict.Error) {
	e := verdict.From(err)
	v := e.Verdict
	if c.maybeSent && v == verdict.NotRun {
		v = verdict.MayHaveRun
	}
	c.outcome.Code = e.Code
	c.outcome.Verdict = v.String()
	return newProblemDocument(e.Code, e.Status, e.Detail, v, c.outcome.RequestID), e
}

func newProblemDocument(code string, status int, detail string, v verdict.Verdict, requestID string) Problem {
	return Problem{
		Type: "urn:monsoonkeel:problem:" + code, Title: code, Status: status, Detail: detail, Verdict: v, RequestID: requestID,
	}
}

func (c *call) writeProblem(err error) {
	p, e := c.newProblem(err)
	c.g.Log.Debug().Err(err).Str("request_id", c.outcome.RequestID).Msg("request failed")
	body, _ := json.Marshal(p)
	r := &c.http.Response
	r.ResetBody()
	r.SetStatusCode(p.Status)
	r.Header.SetContentType(problemContentType)
	if e.RetryAfterSeconds > 0 {
		r.Header.Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds))
	}
	r.SetBody(body)
}

// problemEvent returns the error event that ends a failed stream.
func (c *call) problemEvent(err error) []byte {
	p, _ := c.newProblem(err)
	body, _ := json.Marshal(p)
	return []byte("event: error\ndata: " + string(body) + "\n\n")
}

// WriteProtocolError responds to a request that could not be parsed and was therefore not
// run. The connection is closed.
func WriteProtocolError(ctx *fasthttp.RequestCtx, err error) {
	status, code := 400, "bad_request"
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, code = 413, "body_too_large"
		discardBody(ctx.Conn(), discardTimeout)
	case isTimeout(err):
		status, code = 408, "request_timeout"
	}
	id := string(ctx.Request.Header.Peek(headerRequestID))
	if id == "" || len(id) > maxRequestIDBytes {
		id = uuid.NewString()
	}
	body, _ := json.Marshal(newProblemDocument(code, status, "the request could not be parsed", verdict.NotRun, id))
	ctx.Response.Reset()
	ctx.Response.Header.Set(headerRequestID, id)
	ctx.SetStatusCode(status)
	ctx.SetContentType(problemContentType)
	ctx.SetBody(body)
	ctx.SetConnectionClose()
}

const (
	// maxDiscardBytes bounds how much of an oversized body is read and discarded.
	maxDiscardBytes = 64 << 20
	// discardIdleTimeout ends discarding when no data arrives for this time.
	discardIdleTimeout = 100 * time.Millisecond
	// discardTimeout bounds the total time of discarding, for callers that send slowly.
	discardTimeout = 5 * time.Second
)

// discardBody reads and drops the data that the caller is still sending. Closing a
// connection with unread data resets it, and the caller would not receive the response.
func discardBody(conn net.Conn, limit time.Duration) {
	buf := make([]byte, 32<<10)
	end := time.Now().Add(limit)
	for total := 0; total < maxDiscardBytes; {
		idle := time.Now().Add(discardIdleTimeout)
		if idle.After(end) {
			idle = end
		}
		_ = conn.SetReadDeadline(idle)
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		total += n
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
