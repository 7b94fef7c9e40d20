package connection

import (
	"context"
	"errors"
	"math"
	"time"
)

// acceptGrace is how long a connection that is accepted during a shutdown has until its request must begin.
const acceptGrace = 100 * time.Millisecond

// drainPollInterval is the time between two checks for requests in flight.
const drainPollInterval = 5 * time.Millisecond

// errShutdown is the cause with which CancelRequests cancels calls.
var errShutdown = errors.New("the server shuts down")

// noMoreRequests is added to the number of requests in flight when no more may begin.
const noMoreRequests = math.MinInt64 / 2

// StartShutdown closes each connection after its current or next response. It doesn't
// stop Serve from accepting connections.
func (s *Server) StartShutdown() { s.shuttingDown.Store(true) }

// ShuttingDown reports whether StartShutdown was called.
func (s *Server) ShuttingDown() bool { return s.shuttingDown.Load() }

// Drain closes the idle connections and waits until no request is in flight and no new connection has arrived for
// acceptGrace: the callers of connections that have just been accepted take a moment to send their requests. Then no more
// requests begin. If ctx ends first, it returns the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		s.closeIdleBefore(time.Now().Add(-acceptGrace))
		quiet := time.Since(time.Unix(0, s.lastAccept.Load())) >= acceptGrace
		if s.open.Load() == 0 && quiet && s.inFlight.CompareAndSwap(0, noMoreRequests) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// closeIdleBefore closes the connections that have been waiting for a request since before at.
func (s *Server) closeIdleBefore(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if since := c.idleSince.Load(); since != 0 && since <= at.UnixNano() {
			c.closeIdle(since)
		}
	}
}

// CancelRequests ends the requests in flight at the end of a shutdown: calls are cancelled,
// so that Handle can still respond, and requests that have not arrived completely are rejected.
func (s *Server) CancelRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancel()
	}
}

// closeLongestIdle closes the connection that is idle longest and reports whether there
// was one; one with an unread request is not idle. It is closed asynchronously by its goroutine,
// so that for a short time one connection more than MaxConns is open.
func (s *Server) closeLongestIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		var longest *serverConn
		var since int64
		for c := range s.conns {
			at := c.idleSince.Load()
			if at != 0 && (longest == nil || at < since) && !readable(c.conn) {
				longest, since = c, at
			}
		}
		if longest == nil {
			return false
		}
		if longest.closeIdle(since) {
			return true
		}
	}
}

// closeIdle makes the connection's goroutine close it if it is still idle since then, and
// reports whether it was.
func (c *serverConn) closeIdle(since int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.Load() != since {
		return false
	}
	c.idleSince.Store(0)
	c.closing = true
	_ = c.conn.SetReadDeadline(past)
	return true
}

func (c *serverConn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	switch {
	case c.cancelCall != nil:
		c.cancelCall(errShutdown)
	case c.idleSince.Load() == 0:
		_ = c.conn.SetReadDeadline(past)
	}
}

// Wait waits until no request is in flight; then no more requests begin, and those that arrive
// are not read. If ctx ends first, it returns the error of ctx.
func (s *Server) Wait(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		if s.inFlight.Load() < 0 || s.inFlight.CompareAndSwap(0, noMoreRequests) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// beginRequest counts a request as in flight. It returns false if no more may begin.
func (s *Server) beginRequest() bool {
	if s.inFlight.Add(1) > 0 {
		return true
	}
	s.inFlight.Add(-1)
	return false
}
