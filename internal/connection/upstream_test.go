package connection

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// backend records the paths it was asked for.
type backend struct {
	*httptest.Server
	mu    sync.Mutex
	paths []string
}

func newBackend(t *testing.T) *backend {
	b := &backend{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.paths = append(b.paths, r.URL.Path)
		w.Header().Set("X-Incarnation", "new")
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *backend) do(t *testing.T, p *Pool, opts Options) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/work")
	address := strings.TrimPrefix(b.URL, "http://")
	req.Header.SetHost(address)
	ex, err := p.Do(t.Context(), address, req, opts)
	if err == nil {
		ex.Finish(true)
	}
	return err
}

// Guards against work for a warm process that reaches the cold process which
// replaced it at the same address.
func TestDoSendsNothingToAnotherIncarnation(t *testing.T) {
	b, p := newBackend(t), NewPool()
	defer p.Close()
	for _, fresh := range []bool{true, false} {
		err := b.do(t, p, Options{Incarnation: "old", Fresh: fresh})
		var other *IncarnationError
		require.ErrorAs(t, err, &other)
		require.Equal(t, "new", other.Seen)
		require.Equal(t, verdict.NotRun, verdict.Of(err))
	}
	require.Equal(t, []string{"/v1/load", "/v1/load"}, b.paths)
}

// Guards against a round trip for every request: a connection cannot change
// the process at its other end.
func TestDoIdentifiesAConnectionOnce(t *testing.T) {
	b, p := newBackend(t), NewPool()
	defer p.Close()
	for range 3 {
		require.NoError(t, b.do(t, p, Options{Incarnation: "new"}))
	}
	require.Equal(t, []string{"/v1/load", "/work", "/work", "/work"}, b.paths)
}

// Guards against work that is sent after the right to send it lapsed during
// the connection setup.
func TestDoChecksRightBeforeSending(t *testing.T) {
	b, p := newBackend(t), NewPool()
	defer p.Close()
	lapsed := verdict.New(verdict.NotRun, 503, "lapsed", "lapsed")
	err := b.do(t, p, Options{Incarnation: "new", Check: func() error {
		require.Equal(t, []string{"/v1/load"}, b.paths)
		return lapsed
	}})
	var withheld *WithheldError
	require.ErrorAs(t, err, &withheld)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, []string{"/v1/load"}, b.paths)
}
