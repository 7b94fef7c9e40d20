package connection

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// lingerTimeout is how long a connection is still read after a request was rejected
	// without reading it all, so that a reset doesn't discard the response.
	lingerTimeout = 500 * time.Millisecond
	// minHeaderBytes is the smallest buffer for a request's header section.
	minHeaderBytes = 4 << 10
	// maxHeaderBytes bounds header sections and their buffer, whatever limit the configuration sets.
	maxHeaderBytes = 1 << 20
)

// past is a read deadline that ends a read at once.
var past = time.Unix(1, 0)

// serverConn is the connection of a caller.
type serverConn struct {
	server *Server
	handle func(*Call)
	conn   net.Conn
	reader *bufio.Reader
	// limits apply to the current request, or to the previous one while the connection is idle.
	limits CallerLimits
	// idleSince is when the connection became idle, in Unix nanoseconds; 0 while a
	// request is served. It changes only with mu held.
	idleSince atomic.Int64

	// mu guards the fields below. With it held, a connection is either closed as idle or
	// begins a request, so that a read deadline set to close it never acts on a request.
	mu sync.Mutex
	// closing is set when the connection was to be closed while it was idle. A request that
	// arrives nevertheless is the last one.
	closing bool
	// cancelled is set by CancelRequests.
	cancelled bool
	// cancelCall cancels the call that is being handled; nil while there is none.
	cancelCall context.CancelCauseFunc
}

// limitRead limits the time for reading a part of a request.
func (c *serverConn) limitRead(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := past
	if !c.cancelled {
		deadline = time.Now().Add(timeout)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// prefixedReader returns a byte that was read earlier, then reads from Reader.
type prefixedReader struct {
	io.Reader
	b    byte
	have bool
}

func (r *prefixedReader) Read(p []byte) (int, error) {
	if r.have && len(p) > 0 {
		p[0], r.have = r.b, false
		return 1, nil
	}
	return r.Reader.Read(p)
}

// awaitRequest waits for the first byte of a request and reports whether it arrived. An
// idle connection holds no read buffer.
func (c *serverConn) awaitRequest() bool {
	if c.reader != nil {
		if c.skipEmptyLine(); c.reader.Buffered() > 0 {
			c.limits = c.server.Limits()
			c.growReader()
			return true
		}
		c.releaseReader()
	}
	first, ok := c.awaitFirstByte()
	if !ok {
		return false
	}
	c.limits = c.server.Limits()
	c.acquireReader(&prefixedReader{Reader: c.conn, b: first, have: true}, c.limits.HeaderBytes)
	return true
}

// awaitFirstByte returns the first byte of a request. It returns false if none arrives until the
// idle timeout, which is the longest one in force since the previous request began: callers may
// learn of a new limit earlier or later than the server.
func (c *serverConn) awaitFirstByte() (byte, bool) {
	start := time.Now()
	idle := max(c.limits.IdleTimeout, c.server.Limits().IdleTimeout)
	c.beginIdle(start, idle)
	defer c.endIdle()
	var b [1]byte
	for skipped := 0; skipped <= 2; {
		_, err := io.ReadFull(c.conn, b[:])
		switch {
		case err == nil && b[0] != '\r' && b[0] != '\n':
			return b[0], true
		case err == nil:
			// Empty lines before a request line are allowed (RFC 9112, section 2.2).
			skipped++
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return 0, false
		case readable(c.conn):
			// The request and the end of the wait met.
			c.endIdle()
			_ = c.conn.SetReadDeadline(time.Now().Add(c.server.Limits().HeaderTimeout))
		default:
			raised := c.server.Limits().IdleTimeout
			if raised <= idle || !c.extendIdle(start.Add(raised)) {
				return 0, false
			}
			idle = raised
		}
	}
	return 0, false
}

func (c *serverConn) beginIdle(start time.Time, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.SetReadDeadline(start.Add(timeout))
	c.idleSince.Store(start.UnixNano())
}

// extendIdle moves the end of the wait for a request. It returns false if the connection is to
// be closed.
func (c *serverConn) extendIdle(deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	_ = c.conn.SetReadDeadline(deadline)
	return true
}

func (c *serverConn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince.Store(0)
}

// skipEmptyLine drops a buffered empty line before a pipelined request.
func (c *serverConn) skipEmptyLine() {
	for range 2 {
		b, _ := c.reader.Peek(min(1, c.reader.Buffered()))
		if len(b) == 0 || b[0] != '\r' && b[0] != '\n' {
			return
		}
		_, _ = c.reader.Discard(1) // buffered, so it cannot fail
	}
}

func (c *serverConn) acquireReader(r io.Reader, headerBytes int) {
	size := readerSize(headerBytes)
	if pooled, ok := c.server.readers.Get().(*bufio.Reader); ok && pooled.Size() >= size {
		pooled.Reset(r)
		c.reader = pooled
		return
	}
	c.reader = bufio.NewReaderSize(r, size)
}

// growReader replaces the read buffer by a larger one if the header limit was raised.
func (c *serverConn) growReader() {
	if c.reader.Size() >= readerSize(c.limits.HeaderBytes) {
		return
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.conn)
	c.releaseReader()
	c.acquireReader(rest, c.limits.HeaderBytes)
}

func readerSize(headerBytes int) int {
	return min(max(headerBytes, minHeaderBytes), maxHeaderBytes) + 4
}

func (c *serverConn) releaseReader() {
	if c.reader != nil {
		c.reader.Reset(nil)
		c.server.readers.Put(c.reader)
		c.reader = nil
	}
}

// serveRequest reads and handles one request and reports whether the
// connection can carry another.
func (c *serverConn) serveRequest() bool {
	call := &Call{conn: c, Received: time.Now()}
	call.Request = fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(call.Request)
	defer call.releaseBody(0)
	if reqErr := c.readRequest(call); reqErr != nil {
		if reqErr.status != 0 {
			call.closeAfter = true
			call.Respond(reqErr.status, reqErr.header, []byte(reqErr.reason+"\n"))
			c.linger()
		}
		return false
	}
	defer c.endCall()
	c.beginCall(call)
	stopWatch := c.watch(func() { call.cancel(nil) })
	c.handle(call)
	alive := stopWatch()
	return alive && call.completed && !call.closeAfter
}

// beginCall creates the context of a call whose request was read.
func (c *serverConn) beginCall(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.ctx, call.cancel = context.WithCancelCause(context.Background())
	call.closeAfter = c.closing || call.Request.Header.ConnectionClose()
	c.cancelCall = call.cancel
	if c.cancelled {
		call.cancel(errShutdown)
	}
}

func (c *serverConn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelCall(nil)
	c.cancelCall = nil
}

// linger discards what the caller still sends, for up to lingerTimeout: closing with
// unread bytes would reset the connection and discard the response.
func (c *serverConn) linger() {
	if tcp, ok := c.conn.(*timeoutConn).Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.reader)
}

func (c *serverConn) readRequest(call *Call) *requestError {
	c.limitRead(c.limits.HeaderTimeout)
	header, reqErr := c.peekHeader(c.limits.HeaderBytes)
	if reqErr != nil {
		return reqErr
	}
	if reqErr := checkHeader(header); reqErr != nil {
		return reqErr
	}
	if err := call.Request.Header.Read(c.reader); err != nil {
		return &requestError{400, "malformed request head"}
	}
	return c.readBody(call, c.limits.BodyBytes)
}

// incomplete returns the error of a request that did not arrive in time.
func (c *serverConn) incomplete(reason string) *requestError {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return &requestError{503, "the host is shutting down"}
	}
	return &requestError{408, reason}
}

// peekHeader returns the request line and header section, up to and including the empty
// line, without consuming them.
func (c *serverConn) peekHeader(limit int) ([]byte, *requestError) {
	limit = min(limit, maxHeaderBytes) // the buffer holds no more
	for want := 1; ; {
		if _, err := c.reader.Peek(want); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, c.incomplete("the request head took too long")
			}
			return nil, &requestError{}
		}
		have, _ := c.reader.Peek(c.reader.Buffered())
		if end := bytes.Index(have, []byte("\r\n\r\n")); end >= 0 && end+4 <= limit {
			return have[:end+4], nil
		}
		if len(have) >= limit {
			return nil, &requestError{431, "the request head is too large"}
		}
		want = len(have) + 1
	}
}

// watch calls cancel if the caller closes the connection while its request is in flight.
// The returned function ends the watch and reports whether the connection is still
// usable.
func (c *serverConn) watch(cancel func()) (stop func() bool) {
	_ = c.conn.SetReadDeadline(time.Time{})
	done := make(chan bool, 1)
	var ended atomic.Bool
	go func() {
		for {
			// A pipelined request may arrive before the caller closes the connection.
			_, err := c.reader.Peek(c.reader.Buffered() + 1)
			if err == nil {
				continue
			}
			alive := ended.Load() && errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, bufio.ErrBufferFull)
			if !alive {
				cancel()
			}
			done <- alive
			return
		}
	}()
	return func() bool {
		ended.Store(true)
		_ = c.conn.SetReadDeadline(past)
		return <-done
	}
}
