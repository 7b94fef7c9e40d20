package connection

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
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
	lastAccept   atomic.Int64 // Unix nanoseconds
	// inFlight is the number of requests in flight, plus noMoreRequests once Wait has
	// returned.
	inFlight atomic.Int64
	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	readers  sync.Pool
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error { return s.ServeWith(l, s.Handle) }

// ServeWith is Serve with a function that handles the requests of this listener instead of Handle.
func (s *Server) ServeWith(l net.Listener, handle func(*Call)) error {
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
		s.lastAccept.Store(time.Now().UnixNano())
		go s.serve(&serverConn{server: s, handle: handle, conn: &timeoutConn{Conn: conn}})
	}
}

// Open returns the number of open connections.
func (s *Server) Open() int64 { return s.open.Load() }

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
	for c.awaitRequest() && s.beginRequest() {
		reusable := c.serveRequest()
		s.inFlight.Add(-1)
		if !reusable {
			return
		}
	}
}
