package request

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// repeatingBackend sends an earlier response once more before each response but the first one of
// a connection.
type repeatingBackend struct {
	earlier string
	mu      sync.Mutex
	// positions has the number of earlier requests on the connection, by request ID.
	positions map[string]int
}

// ServeHTTP serves all requests on the connection of the first one.
func (b *repeatingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for position := 0; err == nil; position++ {
		if position > 0 {
			_, _ = io.WriteString(conn, b.earlier)
		}
		b.mu.Lock()
		b.positions[r.Header.Get(headerRequestID)] = position
		b.mu.Unlock()
		_, _ = io.WriteString(conn, b.response(r))
		if r, err = http.ReadRequest(reader); err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
	}
}

func (b *repeatingBackend) response(r *http.Request) string {
	body := "response to " + r.Header.Get(headerRequestID)
	if id := r.Header.Get(headerGenerationID); id != "" {
		body = event(id, 1, "null") + event(id, 2, `"stop"`) + "data: [DONE]\n\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		headerRequestID, r.Header.Get(headerRequestID), headerGenerationID, r.Header.Get(headerGenerationID), len(body), body)
}

// Guards against a request whose caller gets the rejection of an earlier one, as not run although it
// runs: a backend server sends an earlier response once more on a kept connection.
func TestRepeatedResponsesAreNotUsed(t *testing.T) {
	for _, status := range []int{404, 421, 422, 429, 503} {
		for name, id := range map[string]string{
			"no ID": "", "ID of another request": headerRequestID + ": other\r\n" + headerGenerationID + ": other\r\n",
		} {
			t.Run(fmt.Sprintf("status %d/%s", status, name), func(t *testing.T) {
				t.Parallel()
				r := &testGateway{t: t}
				backend := &repeatingBackend{
					earlier:   fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: 7\r\n\r\nearlier", status, id),
					positions: map[string]int{},
				}
				sound := &repeatingBackend{positions: map[string]int{}}
				for _, b := range []*repeatingBackend{backend, sound} {
					r.addBackend("models", b)
					r.addBackend("desk", b)
				}
				r.start()
				r.gateway.Orders = grantingOrders{responses: make(chan OrderResponse, 100)}
				for i := range 12 {
					resp := r.do("POST", "/v1/completions", streamRequestJSON(2))
					s := readStream(t, resp.Body, 0)
					resp.Body.Close()
					require.Equal(t, 200, resp.StatusCode)
					require.True(t, s.done)
					r.requireTokens(s, 1, 2)
					for _, class := range []string{"lookup", "write", "order"} {
						id := fmt.Sprint(class, "-", i)
						resp := r.do("POST", "/services/desk/a", "x", "Monsoonkeel-Class", class, headerRequestID, id, headerIdempotencyKey, id)
						body, err := io.ReadAll(resp.Body)
						resp.Body.Close()
						require.NoError(t, err)
						assert.Equal(t, 200, resp.StatusCode)
						assert.Equal(t, "response to "+id, strings.TrimSpace(string(body)))
						if class != "lookup" {
							backend.mu.Lock()
							assert.Zero(t, backend.positions[id], "%s is sent on a new connection", id)
							backend.mu.Unlock()
						}
					}
				}
			})
		}
	}
}
