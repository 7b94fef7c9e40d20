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
	"golang.org/x/sync/semaphore"
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

// CallerLimits are the size and time limits on the requests of a caller.
type CallerLimits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Server is an HTTP/1 server for callers. It passes the requests of a connection to
// Handle one at a time.
type Server struct {
	// Limits returns the current limits; it is called for each request.
	Limits func() CallerLimits
	// Handle must send a response or call Abort.
	Handle func(*Call)
	// MaxConns limits the open connections; 0 means no limit. A new connection beyond
	// it replaces the one that is idle longest, or is closed if none is idle.
	MaxConns int
	// BodyBudget limits the bytes of request bodies in memory; nil means no limit.
	BodyBudget *semaphore.Weighted

	shuttingDown atomic.Bool
	open         atomic.Int64
	mu           sync.Mutex
	conns        map[*serverConn]struct{}
	active       sync.WaitGroup
	readers      sync.Pool
}

// serverConn is the connection of a caller.
type serverConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	// idleSince is when the connection became idle, in Unix nanoseconds; 0 while a
	// request is served.
	idleSince atomic.Int64
	// served is set after the first byte of the first request.
	served bool
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*serverConn]struct{}{}
	}
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of file descriptors or memory: other connections may close soon.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if s.MaxConns > 0 && s.open.Load() >= int64(s.MaxConns) && !s.closeLongestIdle() {
			_ = conn.Close()
			continue
		}
		s.open.Add(1)
		go s.serve(&serverConn{server: s, conn: &timeoutConn{Conn: conn}})
	}
}

// Open returns the number of open connections.
func (s *Server) Open() int64 { return s.open.Load() }

// StartShutdown closes each connection after its current or next response. It doesn't
// stop Serve from accepting connections.
func (s *Server) StartShutdown() { s.shuttingDown.Store(true) }

// ShuttingDown reports whether StartShutdown was called.
func (s *Server) ShuttingDown() bool { return s.shuttingDown.Load() }

// CloseIdle closes the connections that are waiting for a request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idleSince.Load() != 0 {
			_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// closeLongestIdle closes the connection that is idle longest and reports whether there
// was one. It is closed asynchronously by its goroutine, so that for a short time one
// connection more than MaxConns is open.
func (s *Server) closeLongestIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *serverConn
	var since int64
	for c := range s.conns {
		if at := c.idleSince.Load(); at != 0 && (longest == nil || at < since) {
			longest, since = c, at
		}
	}
	if longest == nil || !longest.idleSince.CompareAndSwap(since, 0) {
		return false
	}
	_ = longest.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// Wait waits until no request is in flight. If ctx ends first, it returns the error of ctx.
func (s *Server) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) serve(c *serverConn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		_ = c.conn.Close()
		c.releaseReader()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.open.Add(-1)
	}()
	for c.awaitRequest() {
		c.served = true
		s.active.Add(1)
		reusable := c.serveRequest()
		s.active.Done()
		if !reusable {
			return
		}
	}
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
			return true
		}
		c.releaseReader()
	}
	limits := c.server.Limits()
	now := time.Now()
	_ = c.conn.SetReadDeadline(now.Add(limits.IdleTimeout))
	c.idleSince.Store(now.UnixNano())
	defer c.idleSince.Store(0)
	if c.served && c.server.ShuttingDown() {
		return false
	}
	var b [1]byte
	for skipped := 0; ; skipped++ {
		if _, err := io.ReadFull(c.conn, b[:]); err != nil || skipped > 2 {
			return false
		}
		// Empty lines before a request line are allowed (RFC 9112, section 2.2).
		if b[0] != '\r' && b[0] != '\n' {
			break
		}
	}
	c.acquireReader(&prefixedReader{Reader: c.conn, b: b[0], have: true}, limits.HeaderBytes)
	return true
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
	size := min(max(headerBytes, minHeaderBytes), maxHeaderBytes) + 4
	if pooled, ok := c.server.readers.Get().(*bufio.Reader); ok && pooled.Size() >= size {
		pooled.Reset(r)
		c.reader = pooled
		return
	}
	c.reader = bufio.NewReaderSize(r, size)
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
	call.ctx, call.cancel = context.WithCancel(context.Background())
	defer call.cancel()
	stopWatch := c.watch(call.cancel)
	call.closeAfter = call.Request.Header.ConnectionClose()
	c.server.Handle(call)
	alive := stopWatch()
	return alive && call.completed && !call.closeAfter
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
	limits := c.server.Limits()
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	header, reqErr := c.peekHeader(limits.HeaderBytes)
	if reqErr != nil {
		return reqErr
	}
	if reqErr := checkHeader(header); reqErr != nil {
		return reqErr
	}
	if err := call.Request.Header.Read(c.reader); err != nil {
		return &requestError{400, "malformed request head"}
	}
	return c.readBody(call, limits.BodyBytes)
}

// peekHeader returns the request line and header section, up to and including the empty
// line, without consuming them.
func (c *serverConn) peekHeader(limit int) ([]byte, *requestError) {
	limit = min(limit, maxHeaderBytes) // the buffer holds no more
	for want := 1; ; {
		if _, err := c.reader.Peek(want); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, &requestError{408, "the request head took too long"}
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
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		return <-done
	}
}
