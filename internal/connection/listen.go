package connection

import (
	"net"
	"time"
)

// WriteTimeout is how long a caller may take no byte of its answer. A caller
// that is cut off can resume its stream.
const WriteTimeout = 60 * time.Second

// Listener bounds each write of its connections by WriteTimeout. fasthttp's own
// write timeout covers a whole answer, which a long stream exceeds.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timeoutConn{Conn: c}, nil
}

type timeoutConn struct{ net.Conn }

// NetConn returns the connection that is wrapped.
func (c *timeoutConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *timeoutConn) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
