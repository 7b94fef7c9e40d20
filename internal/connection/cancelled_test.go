package connection

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// Guards against a request that is sent on an idle connection after it was cancelled: the write was
// faster than the deadline that the cancellation sets.
func TestCancelledRequestIsNotSent(t *testing.T) {
	var late atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			late.Add(1)
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	p := NewPool()
	defer p.Close()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(address)
	send := func(ctx context.Context, path string) (*Exchange, error) {
		req.SetRequestURI(path)
		return p.Do(ctx, address, req, Options{})
	}
	for range 50 {
		ex, err := send(context.Background(), "/idle")
		require.NoError(t, err)
		ex.Finish(true)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = send(ctx, "/late")
		require.ErrorIs(t, err, context.Canceled)
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		// The server has handled what was sent before once it has answered.
		ex, err = send(context.Background(), "/idle")
		require.NoError(t, err)
		require.True(t, ex.Reused, "the connection is kept")
		ex.Finish(true)
	}
	require.Zero(t, late.Load())
}
