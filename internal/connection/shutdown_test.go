package connection

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

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
