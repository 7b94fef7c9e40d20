package request

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/standin"
)

// crashContent is the content of a message that crashes the engines of crashingEngines.
const crashContent = "crash"

// crashingEngines adds engines that crash when they begin to answer a request with crashContent, and
// returns the number of those that crashed.
func (r *testGateway) crashingEngines(n int) *atomic.Int64 {
	var crashed atomic.Int64
	for i := range n {
		healthy := newEngine(fmt.Sprint("i-models-", i), standin.EngineFaults{}).Handler()
		var server *httptest.Server
		var once sync.Once
		server = r.addBackend("models", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			body, err := io.ReadAll(req.Body)
			if err == nil && strings.Contains(string(body), crashContent) {
				once.Do(func() {
					crashed.Add(1)
					_ = server.Listener.Close()
					server.CloseClientConnections()
				})
				panic(http.ErrAbortHandler)
			}
			req.Body = io.NopCloser(strings.NewReader(string(body)))
			healthy.ServeHTTP(w, req)
		}))
	}
	return &crashed
}

func chatRequestJSON(stream bool, contents ...string) string {
	var messages []map[string]string
	for _, c := range contents {
		messages = append(messages, map[string]string{"role": "user", "content": c})
	}
	body, err := json.Marshal(map[string]any{"model": "m", "stream": stream, "messages": messages, "max_tokens": 3})
	if err != nil {
		panic(err) // strings always encode
	}
	return string(body)
}

// Guards against a prompt that crashes engine after engine, by retries of one request and by further
// requests that have one message in common: at most five engines crash, and requests that share the team
// and other messages are served.
func TestMessageThatCrashesEnginesIsRejected(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			r := &testGateway{t: t}
			crashed := r.crashingEngines(14)
			r.start()
			served := 0
			sound := func(n int) {
				resp := r.do("POST", "/v1/chat/completions", chatRequestJSON(stream, "shared", fmt.Sprint("sound ", n)))
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				require.NoError(t, err)
				assert.NotContains(t, string(body), "prompt_part_rejected")
				if resp.StatusCode == 200 {
					served++
				}
			}
			rejected := 0
			for n := range 10 {
				sound(n)
				before := crashed.Load()
				resp := r.do("POST", "/v1/chat/completions", chatRequestJSON(stream, "shared", crashContent, fmt.Sprint("bad ", n)))
				var problem Problem
				require.NoError(t, json.NewDecoder(resp.Body).Decode(&problem))
				resp.Body.Close()
				if strings.HasSuffix(problem.Type, "prompt_part_rejected") {
					rejected++
					// The request whose own crash decides was sent before.
					wantStatus, wantVerdict := 503, verdict.NotRun
					if crashed.Load() > before {
						wantStatus, wantVerdict = 502, verdict.MayHaveRun
					}
					assert.Equal(t, wantStatus, resp.StatusCode)
					assert.Equal(t, wantVerdict, problem.Verdict)
					assert.NotEmpty(t, resp.Header.Get("Retry-After"))
				}
				time.Sleep(300 * time.Millisecond)
			}
			assert.LessOrEqual(t, crashed.Load(), int64(5))
			assert.Greater(t, rejected, 4)
			assert.GreaterOrEqual(t, served, 8, "a request may find three engines that have crashed")
		})
	}
}
