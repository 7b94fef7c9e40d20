package connection

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveInterval and keepAliveCount detect a peer that disappeared without a
	// reset within about three seconds.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout is how long sent bytes may stay unacknowledged. It allows for several
	// round trips between regions and some lost packets.
	unackedTimeout = 3 * time.Second
)

// DialFunc opens a connection to a backend server; see Dial.
type DialFunc func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// Dial opens a TCP connection that fails within about three seconds after its peer
// stopped responding; timeout limits the connection setup.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUnackedTimeout,
	}
	return d.DialContext(ctx, "tcp", address)
}

// Refuses reports whether a server refuses connections, as one does that has ended. A server that does not
// respond within the timeout may be sound.
func Refuses(ctx context.Context, address string, timeout time.Duration) bool {
	conn, err := Dial(ctx, address, timeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		ms := int(unackedTimeout / time.Millisecond)
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	if err != nil {
		return err
	}
	return failure
}
