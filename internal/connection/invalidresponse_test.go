package connection

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/responsecheck/responsetest"
)

// Guards against the load report that identifies a server, if it is no HTTP response, and against one that makes a request that was
// not sent count as possibly run.
func TestInvalidLoadReportIdentifiesNoServer(t *testing.T) {
	opts := Options{Incarnation: "i-1", IDHeader: "Id"}
	for name, text := range responsetest.Invalid {
		s := newScriptedServer(t, func(_ int, path, id string) string {
			return responsetest.Expand(text, "X-Incarnation: i-1\r\nId: "+id+"\r\n", "{}")
		})
		_, err := s.get(t, NewPool(), "1", opts)
		assert.Equal(t, verdict.NotRun, verdict.Of(err), "%s: %v", name, err)
		assert.Equal(t, int32(1), s.received.Load(), "%s: only the load report is requested", name)
	}
	for name, text := range responsetest.Unusual {
		s := newScriptedServer(t, func(_ int, path, id string) string {
			return responsetest.Expand(text, "X-Incarnation: i-1\r\nId: "+id+"\r\n", "{}")
		})
		status, err := s.get(t, NewPool(), "1", opts)
		if name == "HTTP/1.0" {
			assert.Equal(t, verdict.NotRun, verdict.Of(err), "the server closes the connection")
			continue
		}
		assert.NoError(t, err, name)
		assert.Equal(t, 200, status, name)
	}
}

// Guards against a complete response that is lost because of invalid bytes after it, and against a connection that is reused after
// such bytes were received with the response.
func TestInvalidBytesAfterResponse(t *testing.T) {
	for _, surplus := range []string{"more\r\n", "No te: a\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n", "\r\nmore\r\n"} {
		s := newScriptedServer(t, func(int, string, string) string {
			return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + surplus
		})
		p := NewPool()
		for i := range 3 {
			status, err := s.get(t, p, "1", Options{})
			require.NoError(t, err, "%q", surplus)
			require.Equal(t, 200, status)
			require.Equal(t, int32(i+1), s.accepted.Load(), "%q: each request needs a new connection", surplus)
		}
	}
}

// Guards against a body that looks complete although its trailers or its last chunk are invalid.
func TestInvalidBodiesAreIncomplete(t *testing.T) {
	for name, text := range responsetest.InvalidBodies {
		ex, err := readHead(io.EOF, false, responsetest.Expand(text, "", "hello"))
		require.NoError(t, err, name)
		_, err = io.ReadAll(ex.Body())
		assert.Error(t, err, name)
	}
}
