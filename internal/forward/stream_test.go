package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/connection"
)

// Guards against a leaked read when the caller disconnects between two events of a paused
// stream: setting a read deadline must not undo the read's cancellation.
func TestReadDeadlineKeepsRequestCancellation(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer engine.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req := &fasthttp.Request{}
	req.SetRequestURI("/s/x")
	req.Header.SetHost("a.example")
	pool := connection.NewPoolSize(1)
	ex, err := pool.Do(ctx, strings.TrimPrefix(engine.URL, "http://"), req, connection.Options{NoReuse: true})
	require.NoError(t, err)

	cancel()
	time.Sleep(50 * time.Millisecond) // until the connection has handled the cancellation
	ex.SetReadDeadline(time.Now().Add(time.Hour))
	ended := make(chan error, 1)
	go func() {
		_, err := ex.Body().Read(make([]byte, 1))
		ended <- err
	}()
	select {
	case err := <-ended:
		assert.Error(t, err)
	case <-time.After(2 * time.Second):
		t.Error("the read is still blocked 2 s after the request was cancelled")
	}
	ex.Finish(false)
}
