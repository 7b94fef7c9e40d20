package connection

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a request that gets no response because its header section exceeds the largest buffer
// before the limit, which a configuration has set higher (issue 26): it is rejected.
func TestHeaderBeyondBufferIsRejected(t *testing.T) {
	limits := testLimits
	limits.HeaderBytes, limits.HeaderTimeout = 4*maxHeaderBytes, 5*time.Second
	conn, r := dialCaller(t, startCallers(t, &Server{Limits: func() CallerLimits { return limits }, Handle: echo}))
	_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\nX-Padding: "+strings.Repeat("x", 2*maxHeaderBytes)+"\r\n\r\n")
	require.NoError(t, err)
	resp, _ := readResponse(t, r)
	assert.Equal(t, 431, resp.StatusCode)
}
