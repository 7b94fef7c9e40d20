package forward

import (
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/responsecheck/responsetest"
)

// Guards against an answer of another host that is no HTTP response and reaches a caller, and against a request with such an answer
// that is taken as not run and sent to a further host.
func TestInvalidResponsesOfOtherHosts(t *testing.T) {
	valid := maps.Clone(responsetest.Unusual)
	maps.Copy(valid, responsetest.Tolerated)
	for _, kind := range []route.Kind{route.NonIdempotent, route.Stream} {
		for name, text := range responsetest.Invalid {
			status, _, err := askHostWith(t, kind, text)
			assert.Equal(t, verdict.MayHaveRun, verdict.Of(err), "%s: %v", name, err)
			assert.Equal(t, 502, status, name)
		}
		for name, text := range valid {
			status, body, err := askHostWith(t, kind, text)
			assert.NoError(t, err, name)
			assert.Equal(t, 200, status, name)
			assert.Equal(t, "hello", body, name)
		}
	}
}

// askHostWith sends a request to another host, whose answer is a text. It returns what the caller got, and the error of askHost.
func askHostWith(t *testing.T, kind route.Kind, text string) (status int, body string, askErr error) {
	other, callers := listen(t), listen(t)
	go responsetest.Serve(other, func(*http.Request) string { return responsetest.Expand(text, "Id: 1\r\nMark: m\r\n", "hello") })
	g := newGatewayOfHost("host-0", "west")
	g.opts.Dialect.CallerTimeout = "Timeout"
	asked := make(chan error, 1)
	s := &connection.Server{
		Limits: func() connection.CallerLimits {
			return connection.CallerLimits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		Handle: func(c *connection.Call) {
			r := &request{g: g, call: c, id: "1", ctx: c.Context(), deadline: time.Now().Add(time.Minute), route: &route.Route{Kind: kind}}
			err := r.askHost(fleet.Host{ID: "host-1", PeerAddress: other.Addr().String()})
			asked <- err
			if err != nil {
				c.Respond(502, func(func(name, value string) bool) {}, nil)
			}
		},
	}
	go func() { _ = s.Serve(callers) }()
	req, failure := http.NewRequest("POST", "http://"+callers.Addr().String()+"/x", strings.NewReader("x"))
	require.NoError(t, failure)
	req.Header.Set("Id", "1")
	resp, failure := http.DefaultClient.Do(req)
	require.NoError(t, failure)
	defer func() { _ = resp.Body.Close() }()
	read, failure := io.ReadAll(resp.Body)
	require.NoError(t, failure)
	return resp.StatusCode, string(read), <-asked
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}
