package connection

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// TCP states, as the tcp_info of the Linux kernel reports them.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// peerClosed reports whether the remote side closed or reset the connection. It reads
// the TCP state instead of peeking at the stream, because a TLS peer sends an alert,
// which is still unread, before the end of the stream.
func peerClosed(c net.Conn) bool {
	closed := false
	err := control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return closed || errors.Is(err, net.ErrClosed)
}

// wasReset reports whether the remote side reset the connection. The kernel returns the
// error of a reset only once, perhaps from a write; reads then return the end of the stream.
func wasReset(c net.Conn) bool {
	reset := false
	err := control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClose
	})
	return reset || errors.Is(err, net.ErrClosed)
}

// readable reports whether a read would return without blocking: with data, the end of
// the stream or an error. It consumes no data.
func readable(c net.Conn) bool {
	ready := false
	err := control(c, func(fd int) {
		var b [1]byte
		_, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ready = !errors.Is(err, unix.EAGAIN)
	})
	return ready || err != nil
}

// errNoSocket is returned for a connection without a file descriptor.
var errNoSocket = errors.New("connection has no socket")

// control calls f with the file descriptor of the TCP connection that c wraps.
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
