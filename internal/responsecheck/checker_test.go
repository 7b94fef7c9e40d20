package responsecheck

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/responsecheck/responsetest"
)

// checkSplit checks a text that is received in two parts. It returns the length of what may be passed on.
func checkSplit(c *Checker, text string, split int) (int, error) {
	first := []byte(text[:split])
	valid, err := c.Check(first)
	if err != nil {
		return valid, err
	}
	rest, err := c.Check([]byte(text[split:]))
	return valid + rest, err
}

// Guards against an invalid response that is passed on, at whatever byte it is split between two reads.
func TestInvalidResponsesAreErrors(t *testing.T) {
	for _, texts := range []map[string]string{responsetest.Invalid, responsetest.InvalidBodies} {
		for name, text := range texts {
			text = responsetest.Expand(text, "Id: 1\r\n", "hello")
			for split := range len(text) {
				valid, err := checkSplit(&Checker{}, text, split)
				if !assert.Error(t, err, "%s: %q", name, text) {
					break
				}
				require.Less(t, valid, len(text), name)
			}
		}
	}
}

// Guards against a valid response that is rejected or changed, and against an end that is found too early or too late.
func TestUnusualResponsesAreValid(t *testing.T) {
	for _, texts := range []map[string]string{responsetest.Unusual, responsetest.Tolerated} {
		for name, text := range texts {
			text = responsetest.Expand(text, "Id: 1\r\n", "hello")
			for split := range len(text) {
				c := &Checker{}
				valid, err := checkSplit(c, text, split)
				if !assert.NoError(t, err, "%s: %q", name, text) {
					break
				}
				require.Equal(t, len(text), valid, name)
				require.True(t, c.BetweenResponses(), name)
			}
		}
	}
}

// Guards against a response that is taken as complete before its end.
func TestEndOfResponse(t *testing.T) {
	for name, c := range map[string]struct {
		isHead        bool
		text, surplus string
	}{
		"length":            {false, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", ""},
		"chunks":            {false, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", ""},
		"response to HEAD":  {true, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", ""},
		"chunks after HEAD": {true, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
		"no content":        {false, "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""},
		"not modified":      {false, "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", ""},
		"surplus bytes":     {false, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "more\r\n"},
	} {
		checker := &Checker{}
		checker.ExpectResponse(c.isHead)
		for i := range len(c.text) {
			require.Equal(t, i == 0, checker.BetweenResponses(), "%s: %q", name, c.text[:i])
			valid, err := checker.Check([]byte(c.text[i : i+1]))
			require.NoError(t, err, name)
			require.Equal(t, 1, valid, name)
		}
		assert.True(t, checker.BetweenResponses(), name)
		if c.surplus != "" {
			_, err := checker.Check([]byte(c.surplus))
			assert.Error(t, err, name)
		}
	}
}

// Guards against memory that a server fills with a header section, a trailer section or a line without end.
func TestSectionsAreLimited(t *testing.T) {
	for name, c := range map[string]struct{ start, unit string }{
		"fields":          {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"value":           {"HTTP/1.1 200 OK\r\nA:", "b"},
		"trailers":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "a"},
		"empty lines":     {"", "\r\n"},
		"interim":         {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		checker := &Checker{}
		_, err := checker.Check([]byte(c.start))
		require.NoError(t, err, name)
		_, err = checker.Check([]byte(strings.Repeat(c.unit, 1+maxSectionBytes/len(c.unit))))
		assert.Error(t, err, name)
	}
}

// textConn is a connection on which a text is received.
type textConn struct {
	net.Conn
	text io.Reader
}

// Read implements net.Conn.
func (c textConn) Read(b []byte) (int, error) { return c.text.Read(b) }

// Guards against a body that the checker and fasthttp frame in different ways, so that a response is checked at the wrong place.
func FuzzFraming(f *testing.F) {
	for _, texts := range []map[string]string{responsetest.Invalid, responsetest.InvalidBodies, responsetest.Unusual, responsetest.Tolerated} {
		for _, text := range texts {
			f.Add(responsetest.Expand(text, "", "hello"), false)
		}
	}
	f.Add("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", false)
	f.Add("HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", false)
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true)
	f.Fuzz(func(t *testing.T, text string, isHead bool) {
		if start, _, _ := strings.Cut(text, "\n"); strings.Contains(start, " 1") {
			return // an interim response, which fasthttp does not skip
		}
		conn := NewConn(textConn{text: strings.NewReader(text)})
		conn.ExpectResponse(isHead)
		var resp fasthttp.Response
		resp.SkipBody, resp.StreamBody = isHead, true
		reader := bufio.NewReaderSize(conn, len(text)+16)
		if resp.Read(reader) != nil {
			return
		}
		unframed := resp.Header.ContentLength() == -2 && !isHead && resp.StatusCode() != 204 && resp.StatusCode() != 304
		if body := resp.BodyStream(); body != nil {
			if _, err := io.ReadAll(body); err != nil {
				return
			}
		}
		if conn.invalid == nil && reader.Buffered() == 0 && !conn.BetweenResponses() && !unframed {
			t.Fatalf("fasthttp has read a response whose end the checker has not seen: %q", text)
		}
		if unframed && conn.checker.state != stateUnframed {
			t.Fatalf("fasthttp takes a framed body for one that ends with its connection: %q", text)
		}
	})
}
