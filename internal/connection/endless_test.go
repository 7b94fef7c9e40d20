package connection

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// rawServer accepts connections, and on each of them writes a response once it has read a
// request. It then writes the unit again and again, if there is one, until the client closes
// the connection. Each closed connection is reported on closed.
type rawServer struct {
	net.Listener
	closed chan struct{}
	// surplus makes a connection write a few bytes after its response.
	surplus chan struct{}
}

func newRawServer(t *testing.T, response, unit string) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawServer{Listener: l, closed: make(chan struct{}, 16), surplus: make(chan struct{})}
	t.Cleanup(func() {
		_ = l.Close()
		close(s.surplus)
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, response, unit)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, response, unit string) {
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 4096)
	_, err := conn.Read(buffer)
	if err == nil {
		_, err = io.WriteString(conn, response)
	}
	for err == nil && unit != "" {
		_, err = io.WriteString(conn, strings.Repeat(unit, 1+len(buffer)/len(unit)))
	}
	go func() {
		for range s.surplus {
			_, _ = io.WriteString(conn, "surplus")
		}
	}()
	for err == nil {
		_, err = conn.Read(buffer)
	}
	s.closed <- struct{}{}
}

func (s *rawServer) address() string { return s.Addr().String() }

// waitClosed waits until a connection was closed by the client.
func (s *rawServer) waitClosed(t *testing.T) {
	t.Helper()
	select {
	case <-s.closed:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the connection is still open")
	}
}

// exchangeTimeout is longer than a test may take, so that no test passes by a timeout.
const exchangeTimeout = time.Minute

func (s *rawServer) do(t *testing.T, p *Pool, method string, opts Options) (*Exchange, error) {
	t.Helper()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("/x")
	req.Header.SetHost("a")
	req.Header.Set("Id", "mine")
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	t.Cleanup(cancel)
	return p.Do(ctx, s.address(), req, opts)
}

const chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against a body read that lasts until the deadline while the server sends framing
// without end.
func TestEndlessFramingEndsTheBody(t *testing.T) {
	for name, response := range map[string]string{
		"extension of the first chunk": chunkedHeader + "1;",
		"extension after data":         chunkedHeader + "2\r\nok\r\n1;",
		"extension of the last chunk":  chunkedHeader + "2\r\nok\r\n0;",
		"trailer line":                 chunkedHeader + "2\r\nok\r\n0\r\nX-T: ",
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, response, "x")
			ex, err := s.do(t, NewPool(), "GET", Options{})
			require.NoError(t, err)
			body, err := io.ReadAll(ex.Body())
			require.Error(t, err)
			assert.NotContains(t, err.Error(), "i/o timeout")
			assert.Contains(t, []string{"", "ok"}, string(body))
			ex.Finish(false)
			s.waitClosed(t)
		})
	}
}

// Guards against a valid response that is taken for one with too much framing: chunks of any
// size, and chunk extensions of some kilobytes.
func TestLongBodiesAreReadCompletely(t *testing.T) {
	extension := ";x=" + strings.Repeat("y", maxFramingBytes/4)
	long := strings.Repeat("z", 4*maxFramingBytes)
	for name, c := range map[string]struct{ response, body string }{
		"length":          {"HTTP/1.1 200 OK\r\nContent-Length: 262144\r\n\r\n" + long, long},
		"one chunk":       {chunkedHeader + "40000\r\n" + long + "\r\n0\r\n\r\n", long},
		"short chunks":    {chunkedHeader + strings.Repeat("1\r\nz\r\n", len(long)) + "0\r\n\r\n", long},
		"long extensions": {chunkedHeader + strings.Repeat("1"+extension+"\r\nz\r\n", 100) + "0\r\n\r\n", long[:100]},
	} {
		for _, readBytes := range []int{1, 512, 1 << 20} {
			s := newRawServer(t, c.response, "")
			ex, err := s.do(t, NewPool(), "GET", Options{})
			require.NoError(t, err, name)
			var body bytes.Buffer
			_, err = io.CopyBuffer(struct{ io.Writer }{&body}, ex.Body(), make([]byte, readBytes))
			require.NoError(t, err, name)
			require.Equal(t, c.body, body.String(), name)
			ex.Finish(false)
		}
	}
}

// Guards against an allocation for each read of a response body.
func TestBodyReadsDoNotAllocate(t *testing.T) {
	e := &Exchange{}
	conn := &upstreamConn{Conn: repeatedRead{}}
	e.body = responseBody{stream: conn, conn: conn}
	buffer := make([]byte, 4096)
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		_, err := e.Body().Read(buffer)
		assert.NoError(t, err)
	}))
}

// repeatedRead is a connection whose reads always succeed.
type repeatedRead struct{ net.Conn }

func (repeatedRead) Read(b []byte) (int, error) { return len(b), nil }

// Guards against a request that waits for its deadline while the server sends the body of a
// response to another request without end.
func TestEndlessResponseToAnotherRequestIsNotSkipped(t *testing.T) {
	for name, c := range map[string]struct{ response, unit string }{
		"chunked":   {"HTTP/1.1 200 OK\r\nId: old\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"unsized":   {"HTTP/1.1 200 OK\r\nId: old\r\nConnection: close\r\n\r\n", "x"},
		"length":    {"HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 99999999999999\r\n\r\n", "x"},
		"responses": {"", "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2\r\n\r\nok"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, c.response, c.unit)
			_, err := s.do(t, NewPool(), "GET", Options{IDHeader: "Id", SkipOtherIDs: true})
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			s.waitClosed(t)
		})
	}
}

// Guards against a crash while a late response without a body is skipped.
func TestLateResponsesWithoutBodyAreSkipped(t *testing.T) {
	const mine = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 0\r\n\r\n"
	for response, method := range map[string]string{
		"HTTP/1.1 204 No Content\r\nId: old\r\n\r\n":                       "GET",
		"HTTP/1.1 304 Not Modified\r\nId: old\r\n\r\n":                     "GET",
		"HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 0\r\n\r\n":          "GET",
		"HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2\r\n\r\n":          "HEAD",
		"HTTP/1.1 200 OK\r\nId: old\r\nTransfer-Encoding: chunked\r\n\r\n": "HEAD",
	} {
		s := newRawServer(t, response+mine, "")
		ex, err := s.do(t, NewPool(), method, Options{IDHeader: "Id", SkipOtherIDs: true})
		require.NoError(t, err, response)
		require.Equal(t, "mine", string(ex.Response.Header.Peek("Id")))
		ex.Finish(true)
	}
}

// Guards against a status that ends no request, such as a switch of protocols that nobody
// requested, which is taken for the response.
func TestStatusBelow200IsNoResponse(t *testing.T) {
	for _, status := range []string{"101 Switching Protocols", "199 x", "099 x", "-1 x"} {
		s := newRawServer(t, "HTTP/1.1 "+status+"\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", "x")
		_, err := s.do(t, NewPool(), "GET", Options{})
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err), status)
		s.waitClosed(t)
	}
}

// surplusResponses are complete responses, of requests with the given method. The server
// sends more bytes after them.
var surplusResponses = map[string]struct{ method, response string }{
	"length":     {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
	"chunked":    {"GET", chunkedHeader + "2\r\nok\r\n0\r\n\r\n"},
	"no content": {"GET", "HTTP/1.1 204 No Content\r\n\r\n"},
	"HEAD":       {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"},
}

func readBody(t *testing.T, ex *Exchange) {
	t.Helper()
	if body := ex.Body(); body != nil {
		_, err := io.ReadAll(body)
		require.NoError(t, err)
	}
}

// Guards against a connection that stays in the pool with bytes that belong to no request.
func TestSurplusBytesCloseTheConnection(t *testing.T) {
	for name, c := range surplusResponses {
		t.Run("with the response/"+name, func(t *testing.T) {
			s := newRawServer(t, c.response+"surplus", "")
			p := NewPool()
			p.checkInterval = exchangeTimeout
			ex, err := s.do(t, p, c.method, Options{})
			require.NoError(t, err)
			readBody(t, ex)
			ex.Finish(true)
			s.waitClosed(t)
			assert.Nil(t, p.popIdle(s.address()))
		})
		t.Run("later/"+name, func(t *testing.T) {
			s := newRawServer(t, c.response, "")
			p := NewPool()
			p.checkInterval = 10 * time.Millisecond
			ex, err := s.do(t, p, c.method, Options{})
			require.NoError(t, err)
			readBody(t, ex)
			ex.Finish(true)
			s.surplus <- struct{}{}
			s.waitClosed(t)
			assert.Nil(t, p.popIdle(s.address()))
		})
	}
}

// Guards against an idle connection that is closed although it can be reused, and against
// checks that go on while there is nothing to check.
func TestChecksKeepReusableConnections(t *testing.T) {
	s := newRawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "")
	p := NewPool()
	p.checkInterval = exchangeTimeout
	ex, err := s.do(t, p, "GET", Options{})
	require.NoError(t, err)
	readBody(t, ex)
	ex.Finish(true)
	p.closeStale()
	assert.True(t, p.checking.Load())
	c := p.takeIdle(s.address(), maxIdleAge)
	require.NotNil(t, c)
	p.closeStale()
	assert.False(t, p.checking.Load())
	require.NoError(t, c.Close())
}

// Guards against a connection setup that lasts until its timeout, or a connection that stays
// open, while the server sends a load report without end.
func TestEndlessLoadReportEndsTheConnectionSetup(t *testing.T) {
	const report = "HTTP/1.1 200 OK\r\nX-Incarnation: new\r\n"
	for name, c := range map[string]struct{ response, unit string }{
		"no line end":       {"", "x"},
		"header lines":      {report, "X-Filler: x\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"chunked body":      {report + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		"chunk extension":   {report + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer line":      {report + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-T: ", "x"},
		"unsized body":      {report + "Connection: close\r\n\r\n", "x"},
		"long body":         {report + "Content-Length: 99999999999\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, c.response, c.unit)
			p := NewPool()
			require.Equal(t, dialTimeout, p.identifyTimeout)
			p.identifyTimeout = exchangeTimeout
			start := processorTime(t)
			_, err := s.do(t, p, "GET", Options{Incarnation: "new"})
			// On a busy processor, the process may wait longer than dialTimeout to run.
			require.Less(t, processorTime(t)-start, dialTimeout)
			require.Equal(t, verdict.NotRun, verdict.Of(err))
			require.NotContains(t, err.Error(), "i/o timeout")
			s.waitClosed(t)
		})
	}
}

// processorTime returns the processor time that the process has used.
func processorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
