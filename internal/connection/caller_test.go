package connection

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"
)

var testLimits = CallerLimits{HeaderBytes: 4096, BodyBytes: 1000, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 500 * time.Millisecond}

func echo(c *Call) {
	body := fmt.Sprintf("%s %s", c.Request.Header.RequestURI(), c.Request.Body())
	c.Respond(200, plainText, []byte(body))
}

func startCallers(t *testing.T, s *Server) string {
	t.Helper()
	if s.Limits == nil {
		s.Limits = func() CallerLimits { return testLimits }
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

func dialCaller(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn, bufio.NewReader(conn)
}

func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

// Guards against pipelined requests that are lost or answered in the wrong order.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	conn, r := dialCaller(t, startCallers(t, &Server{Handle: echo}))
	_, err := io.WriteString(conn, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none"+
		"POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	for _, want := range []string{"/1 one", "/2 two", "/3 "} {
		_, body := readResponse(t, r)
		assert.Equal(t, want, body)
	}
}

// Guards against requests beyond a limit, or with a second request hidden in the body,
// that reach the handler: they get their status and the connection is closed.
func TestLimits(t *testing.T) {
	for name, c := range map[string]struct {
		send   string
		status int
	}{
		"large header":       {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n", 431},
		"slow header":        {"GET / HTTP/1.1\r\nHost:", 408},
		"large body":         {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n" + strings.Repeat("x", 1001), 413},
		"large chunked body": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", 413},
		"malformed chunk":    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"hidden request":     {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	} {
		var handled atomic.Int32
		address := startCallers(t, &Server{Handle: func(c *Call) { handled.Add(1); echo(c) }})
		conn, r := dialCaller(t, address)
		_, err := io.WriteString(conn, c.send)
		require.NoError(t, err, name)
		resp, _ := readResponse(t, r)
		assert.Equal(t, c.status, resp.StatusCode, name)
		_, err = r.ReadByte()
		assert.Error(t, err, name)
		assert.Zero(t, handled.Load(), name)
	}
}

// Guards against idle connections that are closed too early or never: the idle timeout applies.
func TestIdleConnections(t *testing.T) {
	conn, r := dialCaller(t, startCallers(t, &Server{Handle: echo}))
	send := func() {
		_, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		readResponse(t, r)
	}
	send()
	time.Sleep(testLimits.IdleTimeout * 4 / 5)
	send()
	start := time.Now()
	_, err := r.ReadByte()
	assert.Equal(t, io.EOF, err)
	assert.InDelta(t, testLimits.IdleTimeout.Seconds(), time.Since(start).Seconds(), 0.2)
}

// Guards against requests that keep running after their caller disconnected: their context
// is cancelled at once, also if the caller had already sent a pipelined request.
func TestDisconnectCancelsTheRequest(t *testing.T) {
	for _, pipelined := range []string{"", "GET /next HTTP/1.1\r\nHost: a\r\n\r\n"} {
		cancelled := make(chan struct{})
		begun := make(chan struct{}, 1)
		address := startCallers(t, &Server{Handle: func(c *Call) {
			begun <- struct{}{}
			<-c.Context().Done()
			close(cancelled)
		}})
		conn, _ := dialCaller(t, address)
		_, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"+pipelined)
		require.NoError(t, err)
		<-begun
		require.NoError(t, conn.Close())
		select {
		case <-cancelled:
		case <-time.After(400 * time.Millisecond):
			t.Fatal("the request was not cancelled")
		}
	}
}

// Guards against an aborted response that looks complete, with chunks or without.
func TestAbortedResponsesDoNotLookComplete(t *testing.T) {
	address := startCallers(t, &Server{Handle: func(c *Call) {
		_ = c.Begin(200, plainText)
		_, _ = c.Write([]byte("begun"))
		time.Sleep(20 * time.Millisecond)
		c.Abort()
	}})
	for _, version := range []string{"1.1", "1.0"} {
		conn, r := dialCaller(t, address)
		_, err := io.WriteString(conn, "GET /x HTTP/"+version+"\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.Error(t, err, version)
	}
}

// Guards against requests that a shutdown cuts off: those in flight complete, idle
// connections are closed, and new connections from the load balancer get one response.
func TestGracefulShutdown(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{}, 1)
	s := &Server{Handle: func(c *Call) {
		if string(c.Request.Header.RequestURI()) == "/slow" {
			begun <- struct{}{}
			<-release
		}
		echo(c)
	}}
	address := startCallers(t, s)
	idle, idleReader := dialCaller(t, address)
	_, err := io.WriteString(idle, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	readResponse(t, idleReader)
	busy, busyReader := dialCaller(t, address)
	_, err = io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-begun

	s.StartShutdown()
	s.closeIdleBefore(time.Now())
	_, err = idleReader.ReadByte()
	assert.Equal(t, io.EOF, err)
	late, lateReader := dialCaller(t, address)
	_, err = io.WriteString(late, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	resp, body := readResponse(t, lateReader)
	assert.Equal(t, "/late ", body)
	assert.True(t, resp.Close)

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.Error(t, s.Wait(ctx))
	close(release)
	resp, body = readResponse(t, busyReader)
	assert.Equal(t, "/slow ", body)
	assert.True(t, resp.Close)
	assert.NoError(t, s.Wait(context.Background()))
}

// Guards against large concurrent bodies that exhaust the memory: together they stay
// within the budget, and a request beyond it is rejected.
func TestBodyBudget(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{}, 4)
	s := &Server{BodyBudget: semaphore.NewWeighted(1500), Handle: func(c *Call) {
		begun <- struct{}{}
		<-release
		echo(c)
	}}
	address := startCallers(t, s)
	post := "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000)
	first, firstReader := dialCaller(t, address)
	_, err := io.WriteString(first, post)
	require.NoError(t, err)
	<-begun
	second, secondReader := dialCaller(t, address)
	_, err = io.WriteString(second, post)
	require.NoError(t, err)
	resp, _ := readResponse(t, secondReader)
	assert.Equal(t, 503, resp.StatusCode)
	assert.Equal(t, "1", resp.Header.Get("Retry-After"))
	// A chunked body reserves the largest size until it was read, then its own size.
	close(release)
	readResponse(t, firstReader)
	for range 3 {
		_, err = io.WriteString(first, "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n")
		require.NoError(t, err)
		resp, _ = readResponse(t, firstReader)
		assert.Equal(t, 200, resp.StatusCode)
	}
	require.Eventually(t, func() bool {
		if !s.BodyBudget.TryAcquire(1500) {
			return false
		}
		s.BodyBudget.Release(1500)
		return true
	}, time.Second, time.Millisecond)
}

// Guards against bodies that take memory while they wait for the budget: waiting callers would have up to three
// times the budget together.
func TestNoMemoryIsTakenBeforeTheBodyBudget(t *testing.T) {
	const budget, length = 2 << 20, 4 << 20
	limits := testLimits
	limits.BodyBytes = length
	address := startCallers(t, &Server{
		BodyBudget: semaphore.NewWeighted(budget),
		Limits:     func() CallerLimits { return limits },
		Handle:     func(c *Call) { c.Respond(200, plainText, nil) },
	})
	caller, r := dialCaller(t, address)
	post := fmt.Appendf(nil, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
	post = append(post, make([]byte, budget)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := caller.Write(post)
	require.NoError(t, err)
	resp, _ := readResponse(t, r)
	runtime.ReadMemStats(&after)
	assert.Equal(t, 503, resp.StatusCode)
	// The buffers up to the size of the budget have twice that size together.
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(2*budget+budget/2))
}

// Guards against a response without a body that announces one: the caller would read the
// next response on the connection as its body.
func TestResponsesWithoutABody(t *testing.T) {
	conn, r := dialCaller(t, startCallers(t, &Server{Handle: func(c *Call) {
		status := 204
		if c.Request.Header.IsHead() {
			status = 200
		}
		c.Respond(status, plainText, []byte("body"))
	}}))
	_, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\nHEAD /x HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	assert.Equal(t, 204, resp.StatusCode)
	assert.Empty(t, resp.Header.Get("Content-Length"))
	resp, err = http.ReadResponse(r, &http.Request{Method: "HEAD"})
	require.NoError(t, err)
	assert.Equal(t, 200, resp.StatusCode)
	assert.Equal(t, "4", resp.Header.Get("Content-Length"))
	assert.Zero(t, r.Buffered())
}

// Guards against callers that block others by announcing large bodies and sending little
// of them: budget is reserved for what they sent, not for what they announced.
func TestAnnouncedBodiesReserveNoBudget(t *testing.T) {
	const length = 1 << 20
	limits := testLimits
	limits.BodyBytes = length
	s := &Server{
		BodyBudget: semaphore.NewWeighted(2 * length),
		Limits:     func() CallerLimits { return limits },
		Handle:     func(c *Call) { c.Respond(200, plainText, fmt.Append(nil, len(c.Request.Body()))) },
	}
	address := startCallers(t, s)
	post := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
	for range 8 {
		slow, _ := dialCaller(t, address)
		_, err := io.WriteString(slow, post+"x")
		require.NoError(t, err)
	}
	conn, r := dialCaller(t, address)
	_, err := io.WriteString(conn, post+strings.Repeat("x", length))
	require.NoError(t, err)
	resp, body := readResponse(t, r)
	assert.Equal(t, 200, resp.StatusCode)
	assert.Equal(t, fmt.Sprint(length), body)
}

// Guards against idle connections that keep new callers out: at MaxConns, a new connection
// replaces the one that is idle longest, and those with a request in flight stay.
func TestNewConnectionsReplaceIdleOnes(t *testing.T) {
	release := make(chan struct{})
	limits := testLimits
	limits.IdleTimeout = time.Minute
	s := &Server{MaxConns: 3, Limits: func() CallerLimits { return limits }, Handle: func(c *Call) {
		if string(c.Request.Header.RequestURI()) == "/wait" {
			<-release
		}
		echo(c)
	}}
	address := startCallers(t, s)
	running, runningReader := dialCaller(t, address)
	_, err := io.WriteString(running, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	request := func(conn net.Conn, r *bufio.Reader) {
		_, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		resp, _ := readResponse(t, r)
		require.Equal(t, 200, resp.StatusCode)
	}
	// A connection is idle some time after its response, so that the next one could be idle first.
	oldest, oldestReader := dialCaller(t, address)
	request(oldest, oldestReader)
	waitForIdle(t, s, oldest)
	newer, newerReader := dialCaller(t, address)
	request(newer, newerReader)
	waitForIdle(t, s, newer)
	another, anotherReader := dialCaller(t, address)
	request(another, anotherReader)
	_, err = oldestReader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	request(newer, newerReader)
	close(release)
	resp, _ := readResponse(t, runningReader)
	assert.Equal(t, 200, resp.StatusCode)
}
