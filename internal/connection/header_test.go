package connection

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against request smuggling: a header section that two parsers could frame in
// different ways can hide a second request in the body of the first.
func TestAmbiguousHeadersAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		status int
	}{
		"plain":               {"GET /a HTTP/1.1\r\nHost: a\r\n\r\n", 0},
		"with a body":         {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n", 0},
		"chunked":             {"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n", 0},
		"length and chunked":  {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"two lengths":         {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n", 400},
		"signed length":       {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\n", 400},
		"list of lengths":     {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\n", 400},
		"huge length":         {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n", 400},
		"other encoding":      {"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400},
		"space before colon":  {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\n", 400},
		"folded line":         {"GET /a HTTP/1.1\r\nHost: a\r\nX: 1\r\n Content-Length: 5\r\n\r\n", 400},
		"bare line feed":      {"GET /a HTTP/1.1\r\nHost: a\r\nX: 1\nContent-Length: 5\r\n\r\n", 400},
		"bare return":         {"GET /a HTTP/1.1\r\nHost: a\r\nX: 1\rY: 2\r\n\r\n", 400},
		"no host":             {"GET /a HTTP/1.1\r\nX: 1\r\n\r\n", 400},
		"two hosts":           {"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		"absolute target":     {"GET http://b/a HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"space in the target": {"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"other version":       {"GET /a HTTP/2.0\r\nHost: a\r\n\r\n", 505},
		"empty name":          {"GET /a HTTP/1.1\r\nHost: a\r\n: x\r\n\r\n", 400},
	} {
		reqErr := checkHeader([]byte(c.header))
		if c.status == 0 {
			assert.Nil(t, reqErr, name)
			continue
		}
		require.NotNil(t, reqErr, name)
		assert.Equal(t, c.status, reqErr.status, name)
	}
}

// Guards against request smuggling: the parser must frame the body of an accepted request
// as the header section says.
func FuzzCheckHeader(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\tchunked\r\n\r\n")
	f.Add("GET /a HTTP/1.1\r\nHost: a\r\nX-\x00: \r\n\r\n")
	f.Fuzz(func(t *testing.T, header string) {
		end := strings.Index(header, "\r\n\r\n")
		if end < 0 || checkHeader([]byte(header[:end+4])) != nil {
			return
		}
		header = header[:end+4]
		var req fasthttp.RequestHeader
		if err := req.Read(bufio.NewReader(bytes.NewReader([]byte(header)))); err != nil {
			return // rejected when the header is parsed
		}
		lower := strings.ToLower(header)
		chunked := strings.Contains(lower, "\r\ntransfer-encoding:")
		if chunked && req.ContentLength() != -1 {
			t.Fatalf("a chunked body is framed by the length %d: %q", req.ContentLength(), header)
		}
		if !chunked && req.ContentLength() == -1 {
			t.Fatalf("a body without an encoding is framed as chunked: %q", header)
		}
	})
}
