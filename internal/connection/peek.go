package connection

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// TCP states of the kernel, as tcp_info reports them.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// peerClosed reports whether the remote side closed or reset the connection.
// It asks for the TCP state instead of reading ahead, because a TLS peer leaves
// an unread alert in front of the end of the stream.
func peerClosed(c net.Conn) bool {
	closed := false
	err := control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return closed || errors.Is(err, net.ErrClosed)
}

// readable reports whether a read would return at once: with unread bytes or
// because the remote side closed. It reads no byte.
func readable(c net.Conn) bool {
	ready := false
	err := control(c, func(fd int) {
		var b [1]byte
		_, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ready = !errors.Is(err, unix.EAGAIN)
	})
	return ready || err != nil
}

// errNoSocket is returned for connections without a file descriptor.
var errNoSocket = errors.New("connection has no socket")

// control calls f with the file descriptor under c, below TLS and wrappers.
func control(c net.Conn, f func(fd int)) error {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapped.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
