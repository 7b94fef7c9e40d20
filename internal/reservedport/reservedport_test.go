package reservedport

import (
	"net"
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

func reserve(t *testing.T) string {
	address, release, err := TCP()
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, release()) })
	return address
}

// Guards against a reservation that keeps its own server from the port, at the start or after a
// restart.
func TestServerListensOnItsReservedPort(t *testing.T) {
	address := reserve(t)
	for range 3 {
		_, err := net.Dial("tcp", address)
		require.Error(t, err, "nothing listens")
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		accepted, err := l.Accept()
		require.NoError(t, err)
		// The server closes first, so that its side of the connection is in TIME_WAIT.
		require.NoError(t, accepted.Close())
		require.NoError(t, conn.Close())
		require.NoError(t, l.Close())
	}
}

// Guards against a port that a listener, a connection or another reservation of any process gets
// between the reservation and the start of its server.
func TestReservedPortsAreNotChosenAgain(t *testing.T) {
	const (
		reservations = 1000
		listeners    = 20000
	)
	reserved := map[string]bool{}
	for range reservations {
		address := reserve(t)
		assert.False(t, reserved[address], address)
		reserved[address] = true
	}
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = target.Close() }()
	for range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.False(t, reserved[l.Addr().String()], l.Addr())
		require.NoError(t, l.Close())
	}
	for range reservations {
		conn, err := net.Dial("tcp", target.Addr().String())
		require.NoError(t, err)
		require.False(t, reserved[conn.LocalAddr().String()], conn.LocalAddr())
		require.NoError(t, conn.Close())
	}
}

// Guards against a port that is taken by a copy of the test's own socket in a process that is
// being started, or by another process that looks for a free port.
func TestServersListenBesideStartsOfProcesses(t *testing.T) {
	const processes = 150
	started := make(chan struct{})
	go func() {
		defer close(started)
		var group errgroup.Group
		group.SetLimit(3)
		for range processes {
			group.Go(exec.Command("true").Run)
		}
		assert.NoError(t, group.Wait())
	}()
	servers := 0
	for running := true; running; servers++ {
		address, release, err := TCP()
		require.NoError(t, err)
		l, err := net.Listen("tcp", address)
		require.NoError(t, err, "after %d servers", servers)
		require.NoError(t, l.Close())
		require.NoError(t, release())
		select {
		case <-started:
			running = false
		default:
		}
	}
	t.Logf("%d servers", servers)
}

// Guards against a server that ends, and whose port another listener gets while connections to it must fail.
func TestPortOfClosedListenerStaysReserved(t *testing.T) {
	const listeners = 20000
	l, release, err := Listen()
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	for range listeners {
		other, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NotEqual(t, address, other.Addr().String())
		require.NoError(t, other.Close())
	}
	_, err = net.Dial("tcp", address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NoError(t, release())
}

// Guards against processes that share a loopback address, among them the one that all programs
// use: the process ID follows from the address.
func TestProcessesHaveTheirOwnIP(t *testing.T) {
	for pid := 1; pid < 1<<22; pid += 997 {
		ip := net.ParseIP(processIP(pid)).To4()
		require.True(t, ip.IsLoopback(), ip)
		require.GreaterOrEqual(t, ip[2], byte(128), "not 127.0.0.1")
		require.Equal(t, pid, int(ip[1])<<14+int(ip[2]-128)<<7+int(ip[3]-1), ip)
	}
}
