package connection

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// WriteTimeout limits one write to a caller that reads slowly or not at all. A caller
// whose connection is closed for that can resume its stream.
const WriteTimeout = 60 * time.Second

const (
	// closeQuiet is the time without a new connection after which a closed Listener ends, and closeLimit the longest time that it
	// takes.
	closeQuiet = 100 * time.Millisecond
	closeLimit = time.Second
)

// Listener sets WriteTimeout for each write on its connections. The write timeout of
// fasthttp covers a complete response, which a long stream exceeds.
//
// After Close, it accepts the connections that the kernel has established, and those that arrive meanwhile: the end of the
// inner listener would reset them.
type Listener struct {
	net.Listener

	mu sync.Mutex
	// closeBy is the latest end; zero before Close.
	closeBy time.Time
}

// NewListener returns a Listener that accepts from inner.
func NewListener(inner net.Listener) *Listener { return &Listener{Listener: inner} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errors.Join(net.ErrClosed, l.Listener.Close())
	case err != nil:
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closeBy.IsZero() {
		l.awaitConnection()
	}
	return &timeoutConn{Conn: c}, nil
}

// Close makes Accept fail once no connection has arrived for closeQuiet. A second call closes the listener at once.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closeBy.IsZero() {
		return l.Listener.Close()
	}
	l.closeBy = time.Now().Add(closeLimit)
	return l.awaitConnection()
}

// awaitConnection limits the wait for the next connection to closed listeners. A listener without deadlines is closed.
func (l *Listener) awaitConnection() error {
	inner, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return l.Listener.Close()
	}
	until := time.Now().Add(closeQuiet)
	if until.After(l.closeBy) {
		until = l.closeBy
	}
	return inner.SetDeadline(until)
}

// timeoutConn sets WriteTimeout for each write.
type timeoutConn struct{ net.Conn }

// NetConn returns the wrapped connection.
func (c *timeoutConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *timeoutConn) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Reset makes the next close of a connection reset it, so that a response that only the end of the connection
// delimits does not look complete.
func Reset(c net.Conn) {
	for {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails for a closed connection only
			return
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		c = wrapped.NetConn()
	}
}
