package connection

import (
	"net"
	"time"
)

// WriteTimeout limits one write to a caller that reads slowly or not at all. A caller
// whose connection is closed for that can resume its stream.
const WriteTimeout = 60 * time.Second

// Listener sets WriteTimeout for each write on its connections. The write timeout of
// fasthttp covers a complete response, which a long stream exceeds.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timeoutConn{Conn: c}, nil
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
