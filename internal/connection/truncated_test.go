package connection

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"
	"monsoonkeel.example/monsoonkeel/internal/reservedport"
)

// responseHeads are header sections of complete responses, one for each way to delimit a body.
var responseHeads = map[string]string{
	"length":           "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\nContent-Length: 1000\r\n\r\n",
	"length first":     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nConnection: close\r\nId: 1\r\n\r\n",
	"empty body":       "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
	"chunked":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\nId: 1\r\n\r\n",
	"connection close": "HTTP/1.1 200 OK\r\nConnection: close\r\nId: 1\r\n\r\n",
	"HTTP/1.0":         "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
	"folded field":     "HTTP/1.1 200 OK\r\nId: 1\r\nNote: a\r\n b\r\nContent-Length: 0\r\n\r\n",
	"status line only": "HTTP/1.1 200 OK\r\n\r\n",
	"no content":       "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
	"rejection":        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
	"interim response": "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"empty line first": "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"bare line feeds":  "HTTP/1.1 200 OK\nId: 1\nContent-Length: 0\r\n\r\n",
}

// segmentConn is a connection from which each read returns one segment, then end.
type segmentConn struct {
	net.Conn
	segments []string
	end      error
}

// Read implements net.Conn.
func (c *segmentConn) Read(b []byte) (int, error) {
	for len(c.segments) > 0 && c.segments[0] == "" {
		c.segments = c.segments[1:]
	}
	if len(c.segments) == 0 {
		return 0, c.end
	}
	n := copy(b, c.segments[0])
	c.segments[0] = c.segments[0][n:]
	return n, nil
}

// readHead reads a header section from a connection that returns the segments, then end.
func readHead(end error, isHead bool, segments ...string) (*Exchange, error) {
	conn := newUpstreamConn(&segmentConn{segments: segments, end: end}, "a")
	e := &Exchange{conn: conn, Response: fasthttp.AcquireResponse()}
	return e, e.readResponseHeader(isHead)
}

// Guards against a header section that broke off and is taken as complete, so that a response
// without a body, or with a shorter length, looks complete: each header section cut after each
// byte, received in each two segments, and ended by a close, a reset or a timeout.
func TestTruncatedHeaderSectionIsNoResponse(t *testing.T) {
	for name, head := range responseHeads {
		_, err := readHead(io.EOF, false, head)
		require.NoError(t, err, name)
		for cut := range len(head) {
			for split := range cut + 1 {
				for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, fasthttp.ErrTimeout} {
					_, err := readHead(end, split%2 == 1, head[:split], head[split:cut])
					if !assert.Error(t, err, "%s: %q, %q", name, head[:split], head[split:cut]) {
						return
					}
				}
			}
		}
	}
}

// Guards against the same for header sections with any fields, received in any segments.
func TestTruncatedHeaderSectionProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[A-Za-z][A-Za-z0-9-]{0,20}`)
		value := rapid.StringMatching(`[ -~]{0,40}`)
		field := rapid.Custom(func(t *rapid.T) string {
			known := rapid.SampledFrom([]string{"Content-Length: 7", "Transfer-Encoding: chunked", "Connection: close", "Trailer: X", "Content-Type: a"})
			if rapid.Bool().Draw(t, "known") {
				return known.Draw(t, "field")
			}
			return name.Draw(t, "name") + ":" + value.Draw(t, "value")
		})
		lines := append([]string{fmt.Sprintf("HTTP/1.1 %d OK", rapid.IntRange(200, 599).Draw(t, "status"))}, rapid.SliceOfN(field, 0, 8).Draw(t, "fields")...)
		head := strings.Join(lines, "\r\n") + "\r\n\r\n"
		cut := rapid.IntRange(0, len(head)-1).Draw(t, "cut")
		var segments []string
		for rest := head[:cut]; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "segment")
			segments, rest = append(segments, rest[:n]), rest[n:]
		}
		_, err := readHead(io.EOF, false, segments...)
		if err == nil {
			t.Fatalf("header section cut after %q is complete", head[:cut])
		}
	})
}

// Guards against a body that broke off and is taken as complete, cut after each byte.
func TestTruncatedBodyIsIncomplete(t *testing.T) {
	for name, body := range map[string]string{
		"Content-Length: 12\r\n\r\n":                              "twelve bytes",
		"Transfer-Encoding: chunked\r\n\r\n":                      "6;a=b\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n":      "c\r\ntwelve bytes\r\n0\r\nSum: 1\r\n\r\n",
		"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n": "c\r\ntwelve bytes\r\n0\r\n\r\n",
	} {
		head := "HTTP/1.1 200 OK\r\n" + name
		for cut := range len(body) {
			for split := range cut + 1 {
				ex, err := readHead(io.EOF, false, head, body[:split], body[split:cut])
				require.NoError(t, err)
				read, err := io.ReadAll(ex.Body())
				if !assert.Error(t, err, "%q: %q ends as complete after %q", name, body[:cut], read) {
					return
				}
			}
		}
	}
}

// connectionEnds are the ways in which a server ends a connection inside its response.
var connectionEnds = map[string]func(conn *net.TCPConn){
	"close": func(*net.TCPConn) {},
	"reset": func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
	// A server may be silent before it closes.
	"close after silence": func(*net.TCPConn) { time.Sleep(time.Second) },
}

// serveTruncated reads a request on each connection, sends the response and ends the connection.
func serveTruncated(t *testing.T, response string, end func(*net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := conn.Read(make([]byte, 4096)); err == nil {
					_, _ = io.WriteString(conn, response)
					end(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return l.Addr().String()
}

func doTruncated(t *testing.T, address string) (*Exchange, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/x")
	req.Header.SetHost("a")
	return NewPool().Do(t.Context(), address, req, Options{})
}

// Guards against a response whose header section broke off and that has no error, or one that does
// not say that the request may have run: with each end of a connection.
func TestTruncatedHeaderSectionMayHaveRun(t *testing.T) {
	for name, head := range responseHeads {
		for ending, end := range connectionEnds {
			t.Run(name+"/"+ending, func(t *testing.T) {
				t.Parallel()
				var wg sync.WaitGroup
				for cut := range len(head) {
					address := serveTruncated(t, head[:cut], end)
					wg.Go(func() {
						_, err := doTruncated(t, address)
						if !assert.Error(t, err, "%q is a response", head[:cut]) {
							return
						}
						assert.Equal(t, verdict.MayHaveRun, verdict.Of(err), "%q", head[:cut])
						assert.Equal(t, CodeNoResponse, verdict.From(err).Code, "%q", head[:cut])
					})
				}
				wg.Wait()
			})
		}
	}
}

// Guards against a response that looks complete although its server closed right after the header
// section: an empty body that only the end of its connection delimits. The end of a server looks
// the same; one that means an empty body states its length.
func TestHeaderSectionWithoutBodyIsIncomplete(t *testing.T) {
	for _, name := range []string{"length", "chunked", "connection close", "HTTP/1.0", "status line only"} {
		for ending, end := range connectionEnds {
			t.Run(name+"/"+ending, func(t *testing.T) {
				t.Parallel()
				ex, err := doTruncated(t, serveTruncated(t, responseHeads[name], end))
				if err != nil {
					return // a reset may overtake the header section
				}
				defer ex.Finish(false)
				body, err := io.ReadAll(ex.Body())
				assert.Error(t, err, "the body ends as complete after %q", body)
			})
		}
	}
	for _, head := range []string{responseHeads["empty body"], responseHeads["no content"]} {
		ex, err := doTruncated(t, serveTruncated(t, head, connectionEnds["close"]))
		require.NoError(t, err)
		if body := ex.Body(); body != nil {
			read, err := io.ReadAll(body)
			assert.NoError(t, err)
			assert.Empty(t, bytes.TrimSpace(read))
		}
		ex.Finish(true)
	}
}

// Guards against a body without a length or chunks that looks complete although its server has ended, and
// against a complete one of a server that goes on that looks broken off.
func TestBodyOfEndedServerIsIncomplete(t *testing.T) {
	for name, ended := range map[string]bool{"server has ended": true, "server goes on": false} {
		t.Run(name, func(t *testing.T) {
			l, release, err := reservedport.Listen()
			require.NoError(t, err)
			t.Cleanup(func() { assert.NoError(t, release()) })
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nhalf of")
				if ended {
					_ = l.Close()
				}
			}()
			ex, err := doTruncated(t, l.Addr().String())
			require.NoError(t, err)
			read, err := io.ReadAll(ex.Body())
			assert.Equal(t, "half of", string(read))
			if ended {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			} else {
				assert.NoError(t, err)
			}
		})
	}
}
