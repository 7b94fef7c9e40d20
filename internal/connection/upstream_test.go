package connection

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// backend is a stand-in for a backend server that records the requested paths.
type backend struct {
	*httptest.Server
	mu    sync.Mutex
	paths []string
}

func newBackend(t *testing.T) *backend {
	b := &backend{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.paths = append(b.paths, r.URL.Path)
		w.Header().Set("X-Incarnation", "new")
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *backend) do(t *testing.T, p *Pool, opts Options) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/work")
	address := strings.TrimPrefix(b.URL, "http://")
	req.Header.SetHost(address)
	ex, err := p.Do(t.Context(), address, req, opts)
	if err == nil {
		ex.Finish(true)
	}
	return err
}

// Guards against a request for a warm process that reaches the cold process which replaced
// it at the same address.
func TestDoSendsNothingToAnotherIncarnation(t *testing.T) {
	b, p := newBackend(t), NewPool()
	defer p.Close()
	for _, noReuse := range []bool{true, false} {
		err := b.do(t, p, Options{Incarnation: "old", NoReuse: noReuse})
		var wrong *WrongIncarnationError
		require.ErrorAs(t, err, &wrong)
		require.Equal(t, "new", wrong.Actual)
		require.Equal(t, verdict.NotRun, verdict.Of(err))
	}
	require.Equal(t, []string{"/v1/load", "/v1/load"}, b.paths)
}

// Guards against an extra round trip for every request: the process at the other end of a
// connection can't change, so it is identified once.
func TestDoIdentifiesAConnectionOnce(t *testing.T) {
	b, p := newBackend(t), NewPool()
	defer p.Close()
	for range 3 {
		require.NoError(t, b.do(t, p, Options{Incarnation: "new"}))
	}
	require.Equal(t, []string{"/v1/load", "/work", "/work", "/work"}, b.paths)
}

// Guards against a request that is sent although, for example, its lease expired during
// the connection setup: BeforeSend is called after the setup.
func TestDoCallsBeforeSendAfterTheConnectionSetup(t *testing.T) {
	b, p := newBackend(t), NewPool()
	defer p.Close()
	expired := verdict.New(verdict.NotRun, 503, "lapsed", "the lease expired")
	err := b.do(t, p, Options{Incarnation: "new", BeforeSend: func() error {
		require.Equal(t, []string{"/v1/load"}, b.paths)
		return expired
	}})
	var beforeSendError *BeforeSendError
	require.ErrorAs(t, err, &beforeSendError)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, []string{"/v1/load"}, b.paths)
}

// Guards against a response that reaches the wrong request: a backend server may send a
// second response to an earlier request on the connection. Its id identifies it.
func TestLateResponsesToOtherRequestsAreSkipped(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"+
			"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine")
	}()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/x")
	req.Header.SetHost("a")
	req.Header.Set("Id", "mine")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	ex, err := NewPool().Do(ctx, l.Addr().String(), req, Options{IDHeader: "Id", SkipOtherIDs: true})
	require.NoError(t, err)
	body, err := io.ReadAll(ex.Body())
	require.NoError(t, err)
	assert.Equal(t, "mine", string(body))
	ex.Finish(true)
}

// Guards against a connection that is reused while the rest of a long request is still
// being sent: a backend server may reject the request before reading it all.
func TestEarlyResponsesToLongRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	body := bytes.Repeat([]byte("x"), 8<<20)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\nno")
		time.Sleep(time.Second)
	}()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/x")
	req.Header.SetHost("a")
	req.Header.SetMethod("POST")
	req.SetBody(body)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	pool := NewPool()
	start := time.Now()
	ex, err := pool.Do(ctx, l.Addr().String(), req, Options{})
	require.NoError(t, err)
	assert.Equal(t, 400, ex.Response.StatusCode())
	assert.Less(t, time.Since(start), 800*time.Millisecond)
	_, err = io.ReadAll(ex.Body())
	require.NoError(t, err)
	ex.Finish(true)
	assert.Nil(t, pool.popIdle(l.Addr().String()), "the rest of the body may still be sent")
}

// Guards against a truncated response that looks complete: the kernel reports a reset once,
// and the goroutine that sends a long request can receive it instead of the reader, which
// then reads the end of the stream.
func TestResetWhileSendingBreaksResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, 10))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nstart")
		accepted <- conn.(*net.TCPConn)
	}()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod("POST")
	req.SetRequestURI("/x")
	req.Header.SetHost("a")
	req.SetBodyRaw(make([]byte, 16<<20)) // more than the socket buffers hold
	ex, err := NewPool().Do(t.Context(), l.Addr().String(), req, Options{BodyNotReused: true})
	require.NoError(t, err)
	_, err = io.ReadFull(ex.Body(), make([]byte, len("start")))
	require.NoError(t, err)
	conn := <-accepted
	require.NoError(t, conn.SetLinger(0))
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return len(ex.sendResult) == 1 }, 5*time.Second, time.Millisecond)
	_, err = io.ReadAll(ex.Body())
	assert.Error(t, err, "the body ends as complete")
	ex.Finish(false)
}

// Guards against a crash when a late response to another request has no body.
func TestLateResponseWithoutBodyIsSkipped(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\nId: old\r\n\r\n"+
			"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine")
	}()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/x")
	req.Header.SetHost("a")
	req.Header.Set("Id", "mine")
	ex, err := NewPool().Do(t.Context(), l.Addr().String(), req, Options{IDHeader: "Id", SkipOtherIDs: true})
	require.NoError(t, err)
	body, err := io.ReadAll(ex.Body())
	assert.NoError(t, err)
	assert.Equal(t, "mine", string(body))
	ex.Finish(true)
}

// Guards against a truncated response that looks complete to a caller that uses HTTP/1.0: a backend
// server ends its response to an HTTP/1.0 request with the connection, which shows no loss.
func TestRequestsAreSentAsHTTP11(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Seen", r.Proto)
		_, _ = io.WriteString(w, "start")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/x")
	req.Header.SetHost(address)
	req.Header.SetProtocol("HTTP/1.0")
	ex, err := NewPool().Do(t.Context(), address, req, Options{})
	require.NoError(t, err)
	defer ex.Finish(false)
	assert.Equal(t, "HTTP/1.1", string(ex.Response.Header.Peek("Seen")))
	body, err := io.ReadAll(ex.Body())
	assert.Error(t, err, "the body ends as complete after %q", body)
}
