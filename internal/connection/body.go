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
	// bodyTimeout bounds the time for a request's body.
	bodyTimeout = 30 * time.Second
	// bodyBudgetTimeout is how long a request waits for room for its body.
	bodyBudgetTimeout = time.Second
	// initialBodyBytes is the room that a body of known length takes first, in bytes;
	// each further step doubles it, so that few bodies are copied often.
	initialBodyBytes = 64 << 10
)

// readBody reads the body of a request whose head was read.
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
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
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
		return &requestError{408, "the request body took too long"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return &requestError{}
	}
	return &requestError{400, "malformed request body"}
}

// errBodyBudget says that a body did not get room within bodyWait.
var errBodyBudget = errors.New("no room for the request body")

// readSizedBody reads a body of known length. It takes room as the body comes
// in, so that callers who announce much and send little do not keep others out.
func (c *serverConn) readSizedBody(call *Call, length int) error {
	var body []byte
	for len(body) < length {
		grown := make([]byte, min(length, max(2*len(body), initialBodyBytes)))
		if !call.reserveBody(int64(len(grown))) {
			return errBodyBudget
		}
		if _, err := io.ReadFull(c.reader, grown[copy(grown, body):]); err != nil {
			return err
		}
		body = grown
	}
	call.Request.SetBodyRaw(body)
	return nil
}

// readUnsizedBody reads a body that is empty or whose length is not known yet. It
// takes room for the largest body and then gives back what was not needed. The
// body is cloned because the request's own buffer is used again later.
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

// reserveBody takes room for the body out of the budget until it has the bytes
// needed in all, and reports whether there was room within bodyWait.
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

// releaseBody gives back what the body doesn't need.
func (c *Call) releaseBody(needed int64) {
	if surplus := c.reserved - needed; surplus > 0 {
		c.conn.server.BodyBudget.Release(surplus)
		c.reserved = needed
	}
}
