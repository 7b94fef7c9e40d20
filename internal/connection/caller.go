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
	// lingerTimeout is how long a connection is read on after a request that
	// was refused unread, so that the answer is not lost in a reset.
	lingerTimeout = 500 * time.Millisecond
	// minHeaderBytes is the smallest buffer for a request head.
	minHeaderBytes = 4 << 10
	// maxHeaderBytes bounds the limit that a configuration may set.
	maxHeaderBytes = 1 << 20
)

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes, BodyBytes int
	HeaderTime, IdleTime   time.Duration
}

// Server accepts callers' connections and hands their requests, one at a time
// for each connection, to Handle.
type Server struct {
	// Limits is asked at the start of each request.
	Limits func() CallerLimits
	// Handle must answer the call.
	Handle func(*Call)
	// MaxConns bounds the open connections. A further one takes the place of the
	// one that is idle longest, or is closed if none is idle.
	MaxConns int
	// BodyBudget bounds the bytes of request bodies in memory; nil means no bound.
	BodyBudget *semaphore.Weighted

	stopping atomic.Bool
	open     atomic.Int64
	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	active   sync.WaitGroup
	readers  sync.Pool
}

// serverConn is one connection of a serverConn.
type serverConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	// idleSince is when the connection became idle, in Unix nanoseconds; 0 while it
	// carries a request.
	idleSince atomic.Int64
	// served says that the connection carried a request.
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
			// Out of descriptors or memory: waiting lets others end.
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

// StartShutdown lets each connection end with its present or next answer.
func (s *Server) StartShutdown() { s.stopping.Store(true) }

// ShuttingDown reports whether Stop was called.
func (s *Server) ShuttingDown() bool { return s.stopping.Load() }

// CloseIdle closes the connections on which no request was begun.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idleSince.Load() != 0 {
			_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// closeLongestIdle closes the connection that is idle longest and reports
// whether there was one. Its goroutine ends soon after, so for a moment one
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

// Wait waits until no request is running, or until ctx ends.
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
		again := c.serveRequest()
		s.active.Done()
		if !again {
			return
		}
	}
}

// prefixedReader returns a byte that was read ahead, then reads the connection.
type prefixedReader struct {
	io.Reader
	b    byte
	have bool
}

func (f *prefixedReader) Read(p []byte) (int, error) {
	if f.have && len(p) > 0 {
		p[0], f.have = f.b, false
		return 1, nil
	}
	return f.Reader.Read(p)
}

// awaitRequest waits for the first byte of a request. An idle connection holds
// no buffer.
func (c *serverConn) awaitRequest() bool {
	if c.reader != nil {
		if c.skipEmptyLine(); c.reader.Buffered() > 0 {
			return true
		}
		c.releaseReader()
	}
	limits := c.server.Limits()
	now := time.Now()
	_ = c.conn.SetReadDeadline(now.Add(limits.IdleTime))
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
		// Empty lines before a request line are allowed.
		if b[0] != '\r' && b[0] != '\n' {
			break
		}
	}
	c.acquireReader(&prefixedReader{Reader: c.conn, b: b[0], have: true}, limits.HeaderBytes)
	return true
}

// skipEmptyLine drops an empty line before a request that is already buffered.
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
	if fault := c.readRequest(call); fault != nil {
		if fault.status != 0 {
			call.closeAfter = true
			call.Respond(fault.status, fault.header, []byte(fault.reason+"\n"))
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

// linger reads what the caller still sends, for a short time: closing with
// unread bytes would reset the connection and lose the answer.
func (c *serverConn) linger() {
	if tcp, ok := c.conn.(*timeoutConn).Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.reader)
}

func (c *serverConn) readRequest(call *Call) *requestError {
	limits := c.server.Limits()
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTime))
	head, fault := c.peekHeader(limits.HeaderBytes)
	if fault != nil {
		return fault
	}
	if fault := checkHeader(head); fault != nil {
		return fault
	}
	if err := call.Request.Header.Read(c.reader); err != nil {
		return &requestError{400, "malformed request head"}
	}
	return c.readBody(call, limits.BodyBytes)
}

// peekHeader returns the request head up to its empty line without consuming it.
func (c *serverConn) peekHeader(limit int) ([]byte, *requestError) {
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

// watch cancels when the caller closes the connection while its request runs.
// The returned function ends the watch and reports whether the connection is
// still usable.
func (c *serverConn) watch(cancel func()) (stop func() bool) {
	_ = c.conn.SetReadDeadline(time.Time{})
	done := make(chan bool, 1)
	var ended atomic.Bool
	go func() {
		for {
			// Bytes of a next request may come; a close can follow them.
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
