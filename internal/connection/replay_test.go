package connection

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// scriptedServer is a stand-in for a backend server whose responses are chosen by a function.
type scriptedServer struct {
	address            string
	received, accepted atomic.Int32
	conns              chan net.Conn
}

// newScriptedServer starts a server that calls respond for each request. position is the number of
// earlier requests on the connection, and the result is what to send.
func newScriptedServer(t *testing.T, respond func(position int, path, id string) string) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedServer{address: l.Addr().String(), conns: make(chan net.Conn, 16)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			s.accepted.Add(1)
			s.conns <- conn
			go s.serve(conn, respond)
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, respond func(position int, path, id string) string) {
	reader := bufio.NewReader(conn)
	for position := 0; ; position++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.received.Add(1)
		if _, err := io.WriteString(conn, respond(position, req.URL.Path, req.Header.Get("Id"))); err != nil {
			return
		}
	}
}

// nextConn returns the oldest accepted connection that it has not returned yet.
func (s *scriptedServer) nextConn(t *testing.T) net.Conn {
	select {
	case conn := <-s.conns:
		return conn
	case <-time.After(10 * time.Second):
		require.Fail(t, "no connection was accepted")
		return nil
	}
}

// get sends a request with an ID and returns the status of the response.
func (s *scriptedServer) get(t *testing.T, p *Pool, id string, opts Options) (int, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/work")
	req.Header.SetHost("a")
	req.Header.Set("Id", id)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	opts.IDHeader, opts.SkipOtherIDs = "Id", true
	ex, err := p.Do(ctx, s.address, req, opts)
	if err != nil {
		return 0, err
	}
	status := ex.Response.StatusCode()
	_, err = io.Copy(io.Discard, ex.Body())
	ex.Finish(err == nil)
	return status, err
}

// response returns a response with a body; an empty ID is left out.
func response(status int, id string) string {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sX-Incarnation: i-1\r\nContent-Length: 2\r\n\r\nok", status, id)
}

// Guards against an earlier rejection, sent once more without an ID, that is taken as the response
// to the next request on the connection.
func TestResponsesWithoutIDAreNotUsedOnReusedConnections(t *testing.T) {
	s := newScriptedServer(t, func(position int, _, id string) string {
		if position == 0 {
			return response(200, id)
		}
		return response(503, "") + response(200, id)
	})
	p := NewPool()
	defer p.Close()
	status, err := s.get(t, p, "a", Options{})
	require.NoError(t, err)
	require.Equal(t, 200, status)
	_, err = s.get(t, p, "b", Options{})
	require.ErrorIs(t, err, errNoID)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	status, err = s.get(t, p, "c", Options{})
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.EqualValues(t, 2, s.accepted.Load(), "the connection with a wrong response is closed")
}

// Guards against a rejection without an ID that is believed although the server has sent a response
// to another request on the same connection before it.
func TestResponseWithoutIDAfterThatToAnotherRequestIsNotUsed(t *testing.T) {
	s := newScriptedServer(t, func(_ int, _, id string) string {
		return response(503, "other") + response(503, "") + response(200, id)
	})
	_, err := s.get(t, NewPool(), "a", Options{})
	require.ErrorIs(t, err, errNoID)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
}

// Guards against requests that fail at a server that returns no IDs, and against the reuse of a
// connection on which the response to the next request could not be told from another.
func TestServersWithoutIDsGetNewConnections(t *testing.T) {
	for _, incarnation := range []string{"", "i-1"} {
		s := newScriptedServer(t, func(int, string, string) string { return response(200, "") })
		p := NewPool()
		defer p.Close()
		for i := range 3 {
			status, err := s.get(t, p, "a", Options{Incarnation: incarnation})
			require.NoError(t, err)
			require.Equal(t, 200, status)
			require.EqualValues(t, i+1, s.accepted.Load())
		}
	}
}

// Guards against a load report, sent once more, that is taken as the response to a request: the
// report was requested on the same new connection to identify the process.
func TestRepeatedLoadReportIsNotTheResponse(t *testing.T) {
	for _, withID := range []bool{true, false} {
		t.Run(fmt.Sprintf("with its ID %v", withID), func(t *testing.T) {
			var reportID string
			s := newScriptedServer(t, func(_ int, path, id string) string {
				if path == "/v1/load" {
					reportID = id
					return response(200, id)
				}
				if !withID {
					reportID = ""
				}
				return response(200, reportID) + response(201, id)
			})
			status, err := s.get(t, NewPool(), "a", Options{Incarnation: "i-1", NoReuse: true})
			if withID {
				require.NoError(t, err)
				require.Equal(t, 201, status)
			} else {
				require.ErrorIs(t, err, errNoID)
				require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
			}
		})
	}
}

// Guards against a response that is taken as that to a request which was not sent yet: it arrives
// after the connection was taken from the pool, or was opened, and even has the request's ID.
func TestResponsesBeforeTheRequestAreNotUsed(t *testing.T) {
	for _, id := range []string{"", "b", "other"} {
		for _, reused := range []bool{true, false} {
			t.Run(fmt.Sprintf("reused %v/ID %q", reused, id), func(t *testing.T) {
				s := newScriptedServer(t, func(_ int, _, id string) string { return response(200, id) })
				p := NewPool()
				defer p.Close()
				if reused {
					_, err := s.get(t, p, "a", Options{})
					require.NoError(t, err)
				}
				received := s.received.Load()
				calls := 0
				status, err := s.get(t, p, "b", Options{NoReuse: !reused, BeforeSend: func() error {
					if calls++; calls == 1 {
						_, err := io.WriteString(s.nextConn(t), response(503, id))
						require.NoError(t, err)
						time.Sleep(20 * time.Millisecond) // until it has arrived
					}
					return nil
				}})
				if reused {
					require.NoError(t, err)
					require.Equal(t, 200, status)
					require.Equal(t, 2, calls, "a new connection is checked as well")
					require.EqualValues(t, 2, s.accepted.Load())
					return
				}
				require.Equal(t, verdict.NotRun, verdict.Of(err))
				require.Equal(t, CodeConnectFailed, verdict.From(err).Code)
				require.Equal(t, received, s.received.Load(), "a request was sent")
			})
		}
	}
}

// Guards against idle connections that occupy a server's connection limit although they are too old
// for the requests to it.
func TestIdleConnectionsAreClosedAfterMaxIdleTime(t *testing.T) {
	s := newScriptedServer(t, func(_ int, _, id string) string { return response(200, id) })
	p := NewPool()
	defer p.Close()
	p.checkInterval = 10 * time.Millisecond
	_, err := s.get(t, p, "a", Options{MaxIdleTime: 50 * time.Millisecond})
	require.NoError(t, err)
	conn := s.nextConn(t)
	require.Eventually(t, func() bool { return peerClosed(conn) }, maxIdleAge/2, 10*time.Millisecond)
}
