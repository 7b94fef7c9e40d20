package request

import (
	"bufio"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/responsecheck/responsetest"
)

// textServer is a backend server that sends a text as the response to each request, except to control calls.
type textServer struct {
	text     atomic.Value // string, for responsetest.Expand
	requests atomic.Int32
}

// plainBody is the response of a textServer to requests other than generations.
const plainBody = "hello"

// ServeHTTP implements http.Handler. It serves all further requests on the connection too, so that the gateway may reuse it.
func (s *textServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for err == nil {
		response := s.respond(r)
		if _, err = io.WriteString(conn, response); err != nil || strings.HasPrefix(response, "HTTP/1.0") {
			return // a server of HTTP/1.0 closes the connection
		}
		if r, err = http.ReadRequest(reader); err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
	}
}

func (s *textServer) respond(r *http.Request) string {
	if r.URL.Path == "/v1/load" || r.Method == http.MethodDelete || strings.HasPrefix(r.URL.Path, "/v1/generations/") {
		return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	}
	s.requests.Add(1)
	fields, body := "Server-Mark: 1\r\n", plainBody
	if id := r.Header.Get(headerGenerationID); id != "" {
		fields += headerGenerationID + ": " + id + "\r\nContent-Type: text/event-stream\r\n"
		body = event(id, 1, `"stop"`) + "data: [DONE]\n\n"
	}
	return responsetest.Expand(s.text.Load().(string), fields, body)
}

// kindsOfCalls are the requests that a textServer answers.
var kindsOfCalls = map[string]callKind{
	"stream": callStreamed, "buffered": callBuffered, "write": callPlain, "read": callIdempotent, "order": callOrder,
}

// startTextServer starts a gateway with a textServer as the only backend server for a kind of request.
func startTextServer(t *testing.T, kind callKind) (*testGateway, *textServer) {
	r, s := &testGateway{t: t}, &textServer{}
	service := "desk"
	if kind.isGeneration() {
		service = "models"
	}
	r.addBackend(service, s)
	r.start()
	r.gateway.Orders = grantingOrders{responses: make(chan OrderResponse, 1000)}
	return r, s
}

// Guards against a response that is no HTTP response and reaches a caller, and against a request with such a response that is sent
// again although it may have run, or is reported as not run.
func TestInvalidResponsesAreNotRelayed(t *testing.T) {
	for name, kind := range kindsOfCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, s := startTextServer(t, kind)
			for name, text := range responsetest.Invalid {
				s.text.Store(text)
				s.requests.Store(0)
				want := 502
				if kind == callIdempotent {
					want = 503 // it may be sent again, but there is no other server
				}
				result := r.call(kind, "2000")
				if !assert.NoError(t, result.err, name) || !assert.Equal(t, want, result.status, "%s: %s", name, result.body) {
					continue
				}
				assert.Equal(t, verdict.MayHaveRun, result.problem.Verdict, name)
				assert.Contains(t, result.body, verdict.MayHaveRun.String(), name)
				if kind != callIdempotent {
					assert.Equal(t, int32(1), s.requests.Load(), "%s: runs once", name)
				}
			}
		})
	}
}

// Guards against an unusual but valid response that does not reach its caller, or whose version or framing does.
func TestUnusualResponsesAreRelayed(t *testing.T) {
	texts := maps.Clone(responsetest.Unusual)
	maps.Copy(texts, responsetest.Tolerated)
	for name, kind := range kindsOfCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, s := startTextServer(t, kind)
			for name, text := range texts {
				s.text.Store(text)
				result := r.call(kind, "2000")
				assert.NoError(t, result.err, name)
				assert.Equal(t, 200, result.status, "%s: %s", name, result.body)
				if kind.isGeneration() {
					assert.True(t, result.done, "%s: %s", name, result.body)
				} else {
					assert.Equal(t, plainBody, result.body, name)
				}
			}
		})
	}
}
