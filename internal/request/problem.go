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

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail,omitempty"`
	Verdict   verdict.Verdict `json:"verdict"`
	RequestID string          `json:"request_id"`
}

// problemContentType is registered by RFC 9457.
const problemContentType = "application/problem+json"

// newProblem describes err. A call that may have reached a backend server is
// never described as not run.
func (c *call) newProblem(err error) (Problem, *verdict.Error) {
	e := verdict.From(err)
	v := e.Verdict
	if c.attempted && v == verdict.NotRun {
		v = verdict.MayHaveRun
	}
	c.out.Code = e.Code
	c.out.Verdict = v.String()
	return describe(e.Code, e.Status, e.Detail, v, c.out.RequestID), e
}

func describe(code string, status int, detail string, v verdict.Verdict, requestID string) Problem {
	return Problem{
		Type: "urn:monsoonkeel:problem:" + code, Title: code, Status: status, Detail: detail, Verdict: v, RequestID: requestID,
	}
}

func (c *call) writeProblem(err error) {
	p, e := c.newProblem(err)
	c.g.Log.Debug().Err(err).Str("request_id", c.out.RequestID).Msg("request failed")
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

// problemEvent is the last event of a stream that failed.
func (c *call) problemEvent(err error) []byte {
	p, _ := c.newProblem(err)
	body, _ := json.Marshal(p)
	return []byte("event: error\ndata: " + string(body) + "\n\n")
}

// WriteProtocolError answers a request that could not be read; nothing was run.
func WriteProtocolError(ctx *fasthttp.RequestCtx, err error) {
	status, code := 400, "bad_request"
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, code = 413, "body_too_large"
		discardBody(ctx.Conn(), discardTime)
	case isTimeout(err):
		status, code = 408, "request_timeout"
	}
	id := string(ctx.Request.Header.Peek(headerRequestID))
	if id == "" || len(id) > maxRequestIDBytes {
		id = uuid.NewString()
	}
	body, _ := json.Marshal(describe(code, status, "the request could not be read", verdict.NotRun, id))
	ctx.Response.Reset()
	ctx.Response.Header.Set(headerRequestID, id)
	ctx.SetStatusCode(status)
	ctx.SetContentType(problemContentType)
	ctx.SetBody(body)
	ctx.SetConnectionClose()
}

const (
	// maxDiscard bounds the bytes of an oversized body that are read and dropped.
	maxDiscard = 64 << 20
	// discardIdle ends the discarding of a body when no byte came for so long.
	discardIdle = 100 * time.Millisecond
	// discardTime bounds the discarding in all, for callers that send slowly.
	discardTime = 5 * time.Second
)

// discardBody reads what the caller is still sending. Closing a connection
// with unread bytes resets it, and the caller would lose the answer.
func discardBody(conn net.Conn, limit time.Duration) {
	buf := make([]byte, 32<<10)
	end := time.Now().Add(limit)
	for total := 0; total < maxDiscard; {
		idle := time.Now().Add(discardIdle)
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
