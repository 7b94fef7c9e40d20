package connection

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against a request that begins after the server has stopped waiting for requests, and is
// cut off by the exit of the process.
func TestNoRequestBeginsAfterTheLastOne(t *testing.T) {
	var handled atomic.Int32
	s := &Server{Handle: func(c *Call) { handled.Add(1); echo(c) }}
	address := startCallers(t, s)
	conn, r := dialCaller(t, address)
	waitForIdle(t, s, conn)
	s.StartShutdown()
	require.NoError(t, s.Wait(context.Background()))
	_, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	_, err = r.ReadByte()
	assert.Error(t, err)
	assert.Zero(t, handled.Load())
}

// Guards against a connection that is closed although its last response did not announce it, since
// the shutdown began after that response: the caller's next request would cross the close.
func TestShutdownAnnouncesTheCloseOfConnections(t *testing.T) {
	s := &Server{}
	s.Handle = func(c *Call) {
		echo(c)
		s.StartShutdown()
	}
	conn, r := dialCaller(t, startCallers(t, s))
	for i, path := range []string{"/1", "/2"} {
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		resp, body := readResponse(t, r)
		assert.Equal(t, path+" ", body)
		assert.Equal(t, i == 1, resp.Close)
	}
	_, err := r.ReadByte()
	assert.Equal(t, io.EOF, err)
}

// Guards against requests that get no answer at the end of the shutdown grace: one in flight is
// cancelled so that its handler answers, one whose body is incomplete is rejected.
func TestRequestsAreAnsweredAtTheEndOfTheGrace(t *testing.T) {
	begun := make(chan struct{}, 1)
	s := &Server{Handle: func(c *Call) {
		begun <- struct{}{}
		<-c.Context().Done()
		assert.True(t, c.CancelledByServer())
		c.Respond(504, plainText, []byte("shutdown"))
	}}
	address := startCallers(t, s)
	running, runningReader := dialCaller(t, address)
	_, err := io.WriteString(running, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-begun
	incomplete, incompleteReader := dialCaller(t, address)
	_, err = io.WriteString(incomplete, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.inFlight.Load() == 2 }, time.Second, time.Millisecond)
	s.StartShutdown()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	require.Error(t, s.Wait(ctx))
	s.CancelRequests()
	resp, _ := readResponse(t, runningReader)
	assert.Equal(t, 504, resp.StatusCode)
	assert.True(t, resp.Close)
	resp, _ = readResponse(t, incompleteReader)
	assert.Equal(t, 503, resp.StatusCode)
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.NoError(t, incomplete.Close())
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	assert.NoError(t, s.Wait(ctx))
}

// answeredDuringStop opens connections to address each millisecond, whose callers send a request 20 ms later, and runs
// stop once connectionsBeforeStop are open. It returns the number of requests sent and answered.
func answeredDuringStop(t *testing.T, address string, stop func(ctx context.Context)) (sent, answered int64) {
	const connectionsBeforeStop = 60
	var sentCount, answeredCount atomic.Int64
	var callers sync.WaitGroup
	arriving, opened, stopped := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(arriving)
		for count := 0; ; time.Sleep(time.Millisecond) {
			select {
			case <-stopped:
				return
			default:
			}
			conn, err := net.Dial("tcp", address)
			if err != nil {
				continue // the caller asks another host
			}
			if count++; count == connectionsBeforeStop {
				close(opened)
			}
			callers.Add(1)
			go func() {
				defer callers.Done()
				defer func() { _ = conn.Close() }()
				time.Sleep(20 * time.Millisecond)
				sentCount.Add(1)
				if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
					return
				}
				if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					answeredCount.Add(1)
					_ = resp.Body.Close()
				}
			}()
		}
	}()
	<-opened
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	// New connections arrive for 200 ms after the stop has begun, or until it has ended.
	arrivals := time.AfterFunc(200*time.Millisecond, func() { close(stopped) })
	stop(ctx)
	if arrivals.Stop() {
		close(stopped)
	}
	<-arriving
	callers.Wait()
	return sentCount.Load(), answeredCount.Load()
}

// Guards against requests that are cut off without an answer at a planned stop under load: their connections have just
// been accepted, and their callers take a moment to send. Pattern: new connections arrive until the load balancer
// has removed the host.
func TestConnectionsAcceptedDuringTheStopAreAnswered(t *testing.T) {
	s := &Server{Handle: func(c *Call) {
		time.Sleep(2 * time.Millisecond)
		echo(c)
	}}
	sent, answered := answeredDuringStop(t, startCallers(t, s), func(ctx context.Context) {
		s.StartShutdown()
		require.NoError(t, s.Drain(ctx))
	})
	assert.Greater(t, sent, int64(50))
	assert.Equal(t, sent, answered)
}

// Guards against the same at the server of fasthttp, which the daemon uses.
func TestConnectionsAcceptedDuringTheStopOfFasthttpAreAnswered(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { time.Sleep(2 * time.Millisecond) }, CloseOnShutdown: true}
	go func() { assert.NoError(t, s.Serve(NewListener(inner))) }()
	sent, answered := answeredDuringStop(t, inner.Addr().String(), func(ctx context.Context) {
		require.NoError(t, s.ShutdownWithContext(ctx))
	})
	assert.Greater(t, sent, int64(50))
	assert.Equal(t, sent, answered)
}

// Guards against connections that the kernel has established when the stop begins, and that are reset since the process has not
// accepted them yet; and against a listener that never ends while new connections arrive.
func TestClosedListenerAcceptsWhatHasArrived(t *testing.T) {
	for name, arriving := range map[string]bool{"none arrive afterwards": false, "more arrive": true} {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			l := NewListener(inner)
			const established = 5
			for range established {
				conn, err := net.Dial("tcp", inner.Addr().String())
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
			}
			require.NoError(t, l.Close())
			start := time.Now()
			if arriving {
				go func() {
					for {
						conn, err := net.Dial("tcp", inner.Addr().String())
						if err != nil {
							return
						}
						defer func() { _ = conn.Close() }()
						time.Sleep(closeQuiet / 4)
					}
				}()
			}
			accepted := 0
			for {
				conn, err := l.Accept()
				if err != nil {
					assert.ErrorIs(t, err, net.ErrClosed)
					break
				}
				accepted++
				require.NoError(t, conn.Close())
			}
			assert.GreaterOrEqual(t, accepted, established)
			assert.Less(t, time.Since(start), 2*closeLimit)
			_, err = net.Dial("tcp", inner.Addr().String())
			assert.Error(t, err, "nothing listens any more")
		})
	}
}

// Guards against a stop that takes as long as callers keep connections open, and against one that never ends while new
// connections arrive.
func TestDrainEnds(t *testing.T) {
	s := &Server{Handle: echo}
	address := startCallers(t, s)
	conn, r := dialCaller(t, address)
	waitForIdle(t, s, conn)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	start := time.Now()
	require.NoError(t, s.Drain(ctx))
	assert.Less(t, time.Since(start), time.Second)
	_, err := r.ReadByte()
	assert.Equal(t, io.EOF, err)

	s = &Server{Handle: echo}
	address = startCallers(t, s)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				if conn, err := net.Dial("tcp", address); err == nil {
					defer func() { _ = conn.Close() }()
				}
			}
		}
	}()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	start = time.Now()
	assert.Error(t, s.Drain(ctx))
	assert.Less(t, time.Since(start), time.Second)
}
