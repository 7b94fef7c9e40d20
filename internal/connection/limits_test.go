package connection

import (
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// changingLimits starts a server with limits that a test can change.
func changingLimits(t *testing.T, s *Server) (address string, set func(change func(*CallerLimits))) {
	var current atomic.Pointer[CallerLimits]
	limits := testLimits
	current.Store(&limits)
	s.Limits = func() CallerLimits { return *current.Load() }
	return startCallers(t, s), func(change func(*CallerLimits)) {
		changed := *current.Load()
		change(&changed)
		current.Store(&changed)
	}
}

// Guards against a connection that is closed as idle earlier than its caller expects when the idle
// limit changes while the connection is idle, or while its last request runs.
func TestIdleLimitChanges(t *testing.T) {
	const long, short = 600 * time.Millisecond, 200 * time.Millisecond
	for name, c := range map[string]struct {
		before, after time.Duration
		whileRunning  bool
	}{
		"lowered while idle":    {long, short, false},
		"raised while idle":     {short, long, false},
		"lowered while running": {long, short, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var set func(func(*CallerLimits))
			var once sync.Once
			change := func() { once.Do(func() { set(func(l *CallerLimits) { l.IdleTimeout = c.after }) }) }
			s := &Server{Handle: func(call *Call) {
				if c.whileRunning {
					change()
				}
				echo(call)
			}}
			var address string
			address, set = changingLimits(t, s)
			set(func(l *CallerLimits) { l.IdleTimeout = c.before })
			conn, r := dialCaller(t, address)
			request := func() {
				_, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
				require.NoError(t, err)
				_, body := readResponse(t, r)
				assert.Equal(t, "/x ", body)
			}
			request()
			waitForIdle(t, s, conn)
			change()
			time.Sleep(long * 4 / 5)
			request()
		})
	}
}

// Guards against a request that gets no answer because the header limit was raised while its
// connection was idle, or while the request before it was served.
func TestHeaderLimitRaised(t *testing.T) {
	for _, pipelined := range []bool{false, true} {
		var set func(func(*CallerLimits))
		raise := func() { set(func(l *CallerLimits) { l.HeaderBytes = 16 << 10 }) }
		s := &Server{Handle: func(c *Call) {
			if pipelined {
				raise()
			}
			echo(c)
		}}
		var address string
		address, set = changingLimits(t, s)
		large := "GET /large HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n"
		first := "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
		if pipelined {
			first += large
		}
		conn, r := dialCaller(t, address)
		_, err := io.WriteString(conn, first)
		require.NoError(t, err)
		readResponse(t, r)
		if !pipelined {
			waitForIdle(t, s, conn)
			raise()
			_, err = io.WriteString(conn, large)
			require.NoError(t, err)
		}
		_, body := readResponse(t, r)
		assert.Equal(t, "/large ", body, "pipelined: %t", pipelined)
	}
}

// Guards against a long body that is cut off or rejected by limits that change while it is read.
func TestLimitsChangeWhileBodyIsRead(t *testing.T) {
	s := &Server{Handle: func(c *Call) { c.Respond(200, plainText, c.Request.Body()) }}
	address, set := changingLimits(t, s)
	for name, header := range map[string]string{"length": "Content-Length: 900", "chunked": "Transfer-Encoding: chunked"} {
		set(func(l *CallerLimits) { *l = testLimits })
		half := strings.Repeat("x", 450)
		first, second := half, half
		if name == "chunked" {
			first, second = "1c2\r\n"+half+"\r\n", "1c2\r\n"+half+"\r\n0\r\n\r\n"
		}
		conn, r := dialCaller(t, address)
		_, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: a\r\n"+header+"\r\n\r\n"+first)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return s.inFlight.Load() == 1 }, time.Second, time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		set(func(l *CallerLimits) {
			*l = CallerLimits{HeaderBytes: 100, BodyBytes: 100, HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond}
		})
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(conn, second)
		require.NoError(t, err)
		resp, body := readResponse(t, r)
		assert.Equal(t, 200, resp.StatusCode, name)
		assert.Len(t, body, 900, name)
		require.Eventually(t, func() bool { return s.inFlight.Load() == 0 }, time.Second, time.Millisecond)
	}
}
