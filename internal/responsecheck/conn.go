package responsecheck

import (
	"net"
)

// Conn is a connection to a server that passes on only what may be in HTTP responses.
type Conn struct {
	net.Conn
	checker Checker
	// invalid is the error of all further reads, since what follows an invalid line cannot be told apart.
	invalid error
}

// NewConn returns a Conn that reads from c, on which nothing has been received yet. If c is encrypted, it must be the decrypting
// connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// InvalidResponseError is the error of a read that met what must not be in a response.
type InvalidResponseError struct{ Cause error }

// Error implements error.
func (e *InvalidResponseError) Error() string {
	return "the server sent an invalid response: " + e.Cause.Error()
}

// Unwrap returns what is invalid.
func (e *InvalidResponseError) Unwrap() error { return e.Cause }

// Read implements net.Conn. The error of an invalid response is an *InvalidResponseError, which all further reads return too.
func (c *Conn) Read(b []byte) (int, error) {
	if c.invalid != nil {
		return 0, c.invalid
	}
	n, err := c.Conn.Read(b)
	valid, invalid := c.checker.Check(b[:n])
	if invalid == nil {
		return n, err
	}
	c.invalid = &InvalidResponseError{Cause: invalid}
	return valid, c.invalid
}

// ExpectResponse must be called before a request is written whose method may be HEAD; isHead is set if it is.
func (c *Conn) ExpectResponse(isHead bool) { c.checker.ExpectResponse(isHead) }

// BetweenResponses reports whether all responses received so far are complete, so that a request may follow.
func (c *Conn) BetweenResponses() bool { return c.invalid == nil && c.checker.BetweenResponses() }

// NetConn returns the connection that c reads from.
func (c *Conn) NetConn() net.Conn { return c.Conn }
