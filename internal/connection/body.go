package connection

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// bodyTimeout limits the time in which a request's body must arrive.
	bodyTimeout = 30 * time.Second
	// bodyBudgetTimeout is how long a request waits for its body's share of the body budget.
	bodyBudgetTimeout = time.Second
	// initialBodyBytes is the size of the first buffer for a body of known length. Each
	// further buffer has twice the size, which limits the number of copies.
	initialBodyBytes = 64 << 10
)

// readBody reads the body of a request whose header section was read.
func (c *serverConn) readBody(call *Call, limit int) *requestError {
	req := call.Request
	if req.Header.ContentLength() > limit {
		return &requestError{413, "the request body is too large"}
	}
	if req.MayContinue() {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return &requestError{}
		}
	}
	c.limitRead(bodyTimeout)
	var err error
	if length := req.Header.ContentLength(); length > 0 {
		err = c.readSizedBody(call, length)
	} else {
		err = c.readUnsizedBody(call, limit)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errBodyBudget):
		return &requestError{503, "too many request bodies are in memory"}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return &requestError{413, "the request body is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.incomplete("the request body took too long")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return &requestError{}
	}
	return &requestError{400, "malformed request body"}
}

// errBodyBudget is returned when the body budget stayed exhausted for bodyBudgetTimeout.
var errBodyBudget = errors.New("the memory budget for request bodies is exhausted")

// readSizedBody reads a body of known length. It reserves budget as the body arrives,
// so that callers that announce large bodies and send little of them don't block others.
func (c *serverConn) readSizedBody(call *Call, length int) error {
	var body []byte
	for len(body) < length {
		size := min(length, max(2*len(body), initialBodyBytes))
		if !call.reserveBody(int64(size)) {
			return errBodyBudget
		}
		grown := make([]byte, size)
		if _, err := io.ReadFull(c.reader, grown[copy(grown, body):]); err != nil {
			return err
		}
		body = grown
	}
	call.Request.SetBodyRaw(body)
	return nil
}

// readUnsizedBody reads a body that is empty or has no Content-Length. It reserves
// budget for the largest body and then releases what the body doesn't use. The body is
// cloned because fasthttp reuses the request's own buffer.
func (c *serverConn) readUnsizedBody(call *Call, limit int) error {
	if call.Request.Header.ContentLength() == -1 && !call.reserveBody(int64(limit)) {
		return errBodyBudget
	}
	if err := call.Request.ContinueReadBody(c.reader, limit, false); err != nil {
		return err
	}
	if body := call.Request.Body(); len(body) > 0 {
		call.releaseBody(int64(len(body)))
		call.Request.SetBodyRaw(bytes.Clone(body))
		return nil
	}
	call.releaseBody(0)
	return nil
}

// reserveBody raises the call's reservation of the body budget to needed bytes, and
// reports whether they were available within bodyBudgetTimeout.
func (c *Call) reserveBody(needed int64) bool {
	budget := c.conn.server.BodyBudget
	more := needed - c.reserved
	if budget == nil || more <= 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), bodyBudgetTimeout)
	defer cancel()
	if budget.Acquire(ctx, more) != nil {
		return false
	}
	c.reserved = needed
	return true
}

// releaseBody lowers the call's reservation of the body budget to needed bytes.
func (c *Call) releaseBody(needed int64) {
	if surplus := c.reserved - needed; surplus > 0 {
		c.conn.server.BodyBudget.Release(surplus)
		c.reserved = needed
	}
}
