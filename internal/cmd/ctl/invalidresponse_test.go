package ctl

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/responsecheck/responsetest"
)

// serveText answers each request with a text, until the end of the test, and returns the URL of the server.
func serveText(t *testing.T, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go responsetest.Serve(l, func(*http.Request) string { return responsetest.Expand(text, "", `{"revision":5}`) })
	return "http://" + l.Addr().String()
}

// Guards against a change that is reported as accepted, and a status that is printed, from a response that is no HTTP response.
func TestInvalidResponsesAreNotUsed(t *testing.T) {
	read := func(text string) error {
		var out struct{ Revision int }
		err := newClient([]string{serveText(t, text)}, "secret", 2*time.Second).get("status", &out)
		if err == nil {
			assert.Equal(t, 5, out.Revision)
		}
		return err
	}
	for _, texts := range []map[string]string{responsetest.Invalid, responsetest.InvalidBodies} {
		for name, text := range texts {
			assert.Error(t, read(text), name)
		}
	}
	for name, text := range responsetest.Unusual {
		assert.NoError(t, read(text), name)
	}
	server := serveText(t, responsetest.Invalid["blank before the colon of Content-Length"])
	code, out, _ := ctl(t, "--server="+server, "--timeout=300ms", "class", "create", "fast", "--first-token-ms=100")
	assert.Equal(t, exitUnknown, code)
	assert.NotContains(t, out, "accepted")
}
