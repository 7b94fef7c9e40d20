package connection

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxCopiedBytes is the size of the largest body that is copied to be sent in one
	// write with its framing: stream events and most responses.
	maxCopiedBytes = 4 << 10
	// chunkFrameBytes is enough for the size line of a chunk and the line end after it.
	chunkFrameBytes = 20
)

// Call is one request of a caller and the response to it.
type Call struct {
	// Request is released after Handle returns, except for its body, which is not reused
	// and may be kept.
	Request *fasthttp.Request
	// Received is when the first byte of the request was read.
	Received   time.Time
	conn       *serverConn
	ctx        context.Context
	cancel     context.CancelCauseFunc
	closeAfter bool
	completed  bool
	chunked    bool
	// reserved is the call's reservation of the body budget, in bytes.
	reserved int64
}

// Context is cancelled when the caller closes the connection, when a write to it fails, by
// Server.CancelRequests, and after Handle returns.
func (c *Call) Context() context.Context { return c.ctx }

// CancelledByServer reports whether Server.CancelRequests cancelled the context. The caller
// still waits for a response then.
func (c *Call) CancelledByServer() bool { return context.Cause(c.ctx) == errShutdown }

// RemoteAddr returns the caller's address and port.
func (c *Call) RemoteAddr() string { return c.conn.conn.RemoteAddr().String() }

// HeaderFields yields the header fields of a response.
type HeaderFields func(yield func(name, value string) bool)

func plainText(yield func(name, value string) bool) {
	yield("Content-Type", "text/plain; charset=utf-8")
}

// plainTextRetryAfter also names the delay before a retry when the body budget is
// exhausted: the time for which the request waited here.
func plainTextRetryAfter(yield func(name, value string) bool) {
	if yield("Content-Type", "text/plain; charset=utf-8") {
		yield("Retry-After", strconv.Itoa(int(bodyBudgetTimeout/time.Second)))
	}
}

// Respond sends a complete response. It sends no body if the status or method allows none.
func (c *Call) Respond(status int, header HeaderFields, body []byte) {
	w := c.responseHeader(status, header)
	if hasBody(status) {
		w = fmt.Appendf(w, "Content-Length: %d\r\n", len(body))
	}
	w = append(w, "\r\n"...)
	if !hasBody(status) || c.Request.Header.IsHead() {
		body = nil
	}
	c.completed = c.writeAll(w, body, nil) == nil
}

// writeAll writes a body between its framing bytes, prefix and suffix. A short body is
// copied, so that one system call writes all three. A long one isn't, since the copy would
// stay in memory while a slow caller reads.
func (c *Call) writeAll(prefix, body, suffix []byte) error {
	if len(body) <= maxCopiedBytes {
		return c.write(append(append(prefix, body...), suffix...))
	}
	for _, piece := range [][]byte{prefix, body, suffix} {
		if len(piece) == 0 {
			continue
		}
		if err := c.write(piece); err != nil {
			return err
		}
	}
	return nil
}

// write writes to the caller. A failure cancels the context, before the connection's watch may have
// noticed that the caller has left.
func (c *Call) write(p []byte) error {
	_, err := c.conn.conn.Write(p)
	if err != nil && c.cancel != nil { // nil if the request was not read completely
		c.cancel(nil)
	}
	return err
}

// hasBody reports whether responses with a status have a body (RFC 9110, section 6.4.1).
func hasBody(status int) bool {
	return status >= 200 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// Begin sends the status line and header section of a streamed response. Write sends
// the parts of its body and End completes it.
func (c *Call) Begin(status int, header HeaderFields) error {
	w := c.responseHeader(status, header)
	if c.Request.Header.IsHTTP11() {
		c.chunked = true
		w = append(w, "Transfer-Encoding: chunked\r\n\r\n"...)
	} else {
		c.closeAfter = true
		w = append(w, "\r\n"...)
	}
	return c.write(w)
}

// Write sends a part of the body of a streamed response.
func (c *Call) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if !c.chunked {
		if err := c.write(p); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	size := make([]byte, 0, min(len(p), maxCopiedBytes)+chunkFrameBytes)
	size = strconv.AppendInt(size, int64(len(p)), 16)
	size = append(size, "\r\n"...)
	if err := c.writeAll(size, p, []byte("\r\n")); err != nil {
		return 0, err
	}
	return len(p), nil
}

// End completes the body of a streamed response.
func (c *Call) End() error {
	var err error
	if c.chunked {
		err = c.write([]byte("0\r\n\r\n"))
	}
	c.completed = err == nil
	return err
}

// Abort closes the connection, so that an unfinished response doesn't look complete. A
// response that is delimited by the end of its connection needs a TCP reset for that.
func (c *Call) Abort() {
	c.closeAfter = true
	if tcp, ok := c.conn.conn.(*timeoutConn).Conn.(*net.TCPConn); ok && !c.chunked {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.conn.Close()
}

func (c *Call) responseHeader(status int, header HeaderFields) []byte {
	if c.conn.server.ShuttingDown() {
		c.closeAfter = true
	}
	w := make([]byte, 0, 1024)
	w = fmt.Appendf(w, "HTTP/1.1 %d %s\r\n", status, fasthttp.StatusMessage(status))
	header(func(name, value string) bool {
		w = append(w, name...)
		w = append(w, ": "...)
		w = append(w, value...)
		w = append(w, "\r\n"...)
		return true
	})
	if c.closeAfter {
		w = append(w, "Connection: close\r\n"...)
	}
	return w
}
