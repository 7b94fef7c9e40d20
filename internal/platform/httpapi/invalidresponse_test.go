package httpapi_test

import (
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/httpapi"
	"monsoonkeel.example/monsoonkeel/internal/responsecheck/responsetest"
)

// serveTexts accepts connections until the end of the test. It answers each request with a text, in which it fills in the body that
// the client expects.
func serveTexts(t *testing.T, l net.Listener, text string) {
	t.Cleanup(func() { _ = l.Close() })
	go responsetest.Serve(l, func(req *http.Request) string {
		body := "value"
		switch {
		case req.URL.Query().Has("prefix"):
			body = `[{"key":"k","version":7}]`
		case req.URL.Path == "/hosts":
			body = `{"revision":1,"hosts":[{"id":"h","state":"live"}]}`
		case req.URL.Path == "/v1/load":
			body = `{"incarnation":"i","running":1}`
		case req.URL.Path == "/v1/orders":
			body = `{"applied":[]}`
		}
		return responsetest.Expand(text, "ETag: \"7\"\r\n", body)
	})
}

// callAll makes each call of the clients once and returns the errors. A write that failed must not be reported as not made.
func callAll(t *testing.T, base string) map[string]error {
	errs := map[string]error{}
	ctx, address := t.Context(), strings.TrimPrefix(base, "http://")
	store := httpapi.NewObjectStore(base)
	_, errs["get"] = store.Get(ctx, "k")
	_, errs["list"] = store.List(ctx, "k")
	_, errs["watch"] = store.Watch(ctx, "k", 6, 1)
	_, errs["put"] = store.Put(ctx, "k", 0, []byte("v"))
	errs["delete"] = store.Delete(ctx, "k", 7)
	_, errs["hosts"] = httpapi.NewHostList(base).Hosts(ctx)
	_, errs["weights"] = httpapi.NewWeightStore(base).Weights(ctx, "m", "1")
	_, errs["load"] = httpapi.NewLoadReporter().Load(ctx, address)
	errs["command"] = httpapi.NewEngineControl().Control(ctx, address, platform.ControlCommand{})
	_, errs["applied commands"] = httpapi.NewEngineControl().Applied(ctx, address)
	return errs
}

// Guards against a response that is no HTTP response and is taken as a value, as a host list without hosts, or as the success of a
// write: a status of 000 was read as 200, and a blank before the colon of Content-Length framed the body. The outcome of a write is
// unknown then.
func TestInvalidResponsesAreNotUsed(t *testing.T) {
	for _, texts := range []map[string]string{responsetest.Invalid, responsetest.InvalidBodies} {
		for name, text := range texts {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			serveTexts(t, l, text)
			for call, err := range callAll(t, "http://"+l.Addr().String()) {
				assert.Error(t, err, "%s: %s", call, name)
				assert.NotErrorIs(t, err, platform.ErrUnavailable, "%s: %s: it was sent", call, name)
				if call == "put" || call == "delete" {
					assert.ErrorIs(t, err, platform.ErrOutcomeUnknown, "%s: %s", call, name)
				}
			}
		}
	}
}

// Guards against an unusual but valid response that is rejected.
func TestUnusualResponsesAreUsed(t *testing.T) {
	texts := maps.Clone(responsetest.Unusual)
	maps.Copy(texts, responsetest.Tolerated)
	for name, text := range texts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		serveTexts(t, l, text)
		for call, err := range callAll(t, "http://"+l.Addr().String()) {
			assert.NoError(t, err, "%s: %s", call, name)
		}
	}
}
