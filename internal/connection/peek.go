package connection

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peerClosed reports whether the remote side closed or reset the connection.
// It reads no byte from the stream.
func peerClosed(c net.Conn) bool { return peek(c) == peekClosed }

// readable reports whether a read would return at once: with unread bytes or
// because the remote side closed.
func readable(c net.Conn) bool { return peek(c) != peekQuiet }

type peekResult int

const (
	peekQuiet peekResult = iota
	peekData
	peekClosed
)

func peek(c net.Conn) peekResult {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return peekQuiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return peekClosed
	}
	result := peekQuiet
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		case err != nil:
			result = peekClosed
		case n == 0:
			result = peekClosed
		default:
			result = peekData
		}
	})
	if err != nil {
		return peekClosed
	}
	return result
}
