package connection

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stagedListener wraps accepted connections in stagedConn.
type stagedListener struct {
	net.Listener
	accepted chan *stagedConn
}

func (l stagedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	staged := &stagedConn{Conn: c, interrupted: make(chan struct{}), proceed: make(chan struct{})}
	l.accepted <- staged
	return staged, nil
}

// stagedConn delays the first read deadline in the past until proceed is closed.
type stagedConn struct {
	net.Conn
	once                 sync.Once
	interrupted, proceed chan struct{}
}

func (c *stagedConn) NetConn() net.Conn { return c.Conn }

func (c *stagedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now().Add(-time.Hour)) {
		c.once.Do(func() {
			close(c.interrupted)
			<-c.proceed
		})
	}
	return c.Conn.SetReadDeadline(t)
}

// Guards against a close of an idle connection that acts on the request that has just arrived
// there: its caller got a closed connection without an answer.
func TestCloseOfIdleConnectionSparesArrivingRequest(t *testing.T) {
	for name, closeIdle := range map[string]func(*Server){
		"shutdown":        func(s *Server) { s.closeIdleBefore(time.Now()) },
		"new connections": func(s *Server) { s.closeLongestIdle() },
	} {
		t.Run(name, func(t *testing.T) {
			begun, release := make(chan struct{}, 1), make(chan struct{})
			s := &Server{Limits: func() CallerLimits { return testLimits }, Handle: func(c *Call) {
				begun <- struct{}{}
				select {
				case <-release:
					echo(c)
				case <-c.Context().Done():
					c.Abort()
				}
			}}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			staged := stagedListener{l, make(chan *stagedConn, 1)}
			go func() { _ = s.Serve(staged) }()
			conn, r := dialCaller(t, l.Addr().String())
			serverSide := <-staged.accepted
			waitForIdle(t, s, conn)

			go closeIdle(s)
			<-serverSide.interrupted
			_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
			require.NoError(t, err)
			select {
			case <-begun:
			case <-time.After(100 * time.Millisecond): // the close comes first
			}
			close(serverSide.proceed)
			time.AfterFunc(50*time.Millisecond, func() { close(release) })
			resp, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			assert.Equal(t, "/x ", string(body))
		})
	}
}

// waitForIdle waits until the server's side of a connection waits for a request.
func waitForIdle(t *testing.T, s *Server, conn net.Conn) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if c.conn.RemoteAddr().String() == conn.LocalAddr().String() {
				return c.idleSince.Load() != 0
			}
		}
		return false
	}, time.Second, time.Millisecond)
}

// lateConn returns the error of a passed read deadline although a request has arrived, as a read
// does that wakes up at the deadline.
type lateConn struct {
	net.Conn
	expired chan struct{}
	once    sync.Once
}

func (c *lateConn) NetConn() net.Conn { return c.Conn }

func (c *lateConn) Read(b []byte) (int, error) {
	late := false
	c.once.Do(func() { late = true })
	if late {
		<-c.expired
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(b)
}

type lateListener struct {
	net.Listener
	expired chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c, expired: l.expired}, nil
}

// Guards against a request that arrives at the moment at which its connection is closed as idle:
// once it is there, it is answered.
func TestRequestAtTheIdleTimeoutIsAnswered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Limits: func() CallerLimits { return testLimits }, Handle: echo}
	expired := make(chan struct{})
	go func() { _ = s.Serve(lateListener{l, expired}) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(testLimits.IdleTimeout + 50*time.Millisecond)
	close(expired)
	_, body := readResponse(t, bufio.NewReader(conn))
	assert.Equal(t, "/x ", body)
}
