package request

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silentEngine is an engine stand-in that sends the first token of a generation, is silent, and goes
// on. respond responds to each request to resume the generation.
type silentEngine struct {
	silence time.Duration
	respond func(w http.ResponseWriter, r *http.Request)
	resumes atomic.Int32
	// resumed, if set, receives a value at each request to resume the generation, and the silence lasts
	// until the first one at least.
	resumed chan struct{}
	// left, if set, is closed when the connection of the generation is closed during the silence.
	left chan struct{}
}

// ServeHTTP implements http.Handler.
func (e *silentEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerGenerationID)
	switch {
	case r.Method == http.MethodDelete:
	case strings.HasPrefix(r.URL.Path, "/v1/generations/"):
		e.resumes.Add(1)
		select {
		case e.resumed <- struct{}{}:
		default:
		}
		e.respond(w, r)
	default:
		w.Header().Set(headerGenerationID, id)
		write(w, event(id, 1, "null"))
		if !e.beSilent(r) {
			return
		}
		write(w, event(id, 2, `"stop"`), "data: [DONE]\n\n")
	}
}

// beSilent reports whether the connection was open during the whole silence.
func (e *silentEngine) beSilent(r *http.Request) bool {
	ended := time.After(e.silence)
	for resumed := e.resumed; ended != nil || resumed != nil; {
		select {
		case <-ended:
			ended = nil
		case <-resumed:
			resumed = nil
		case <-r.Context().Done():
			if e.left != nil {
				close(e.left)
			}
			return false
		}
	}
	return true
}

// Guards against a stream that is lost because its host closes the connection of a generation whose
// engine is silent for a while, before the engine has accepted to resume it on another connection.
func TestSilentGenerationIsNotGivenUp(t *testing.T) {
	left := make(chan struct{})
	for name, respond := range map[string]func(w http.ResponseWriter, r *http.Request){
		"rejects":                func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"names a limit":          func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		"closes":                 func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"is silent, then closes": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"is silent, then rejects": func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(300 * time.Millisecond):
			case <-r.Context().Done():
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"accepts": func(w http.ResponseWriter, r *http.Request) {
			id := strings.TrimPrefix(r.URL.Path, "/v1/generations/")
			w.Header().Set(headerGenerationID, id)
			write(w, event(id, 2, `"stop"`))
			// The stream ends once the host has left the silent generation.
			select {
			case <-left:
				write(w, "data: [DONE]\n\n")
			case <-r.Context().Done():
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := &silentEngine{
				silence: 1200 * time.Millisecond, respond: respond, resumed: make(chan struct{}, 1), left: make(chan struct{}),
			}
			if name == "accepts" {
				engine.silence, engine.left = time.Minute, left
			}
			r := &testGateway{t: t}
			r.addBackend("models", engine)
			r.start()
			r.gateway.streamStallTimeout = 100 * time.Millisecond
			resp := r.do("POST", "/v1/completions", streamRequestJSON(2))
			defer resp.Body.Close()
			s := readStream(t, resp.Body, 0)
			require.True(t, s.done)
			r.requireTokens(s, 1, 2)
			require.NotZero(t, engine.resumes.Load())
			select {
			case <-engine.left:
				require.Equal(t, "accepts", name, "the connection of the silent generation was closed")
				require.EqualValues(t, 1, engine.resumes.Load())
			default:
				require.NotEqual(t, "accepts", name, "the connection of the silent generation was not closed")
			}
		})
	}
}

// Guards against a stream that is lost, or runs twice, because its engine, asked to resume it during a
// silence, responds that it has no such generation: it may have ended there, and its last bytes still
// arrive, whether a part was delivered or not. A stream whose last bytes never arrive is ended all the same.
func TestSilentGenerationThatEndedIsAwaited(t *testing.T) {
	const stall = 400 * time.Millisecond
	for _, status := range []int{http.StatusNotFound, http.StatusGone} {
		for name, silence := range map[string]time.Duration{"goes on": stall * 3 / 2, "is lost": time.Minute} {
			for _, class := range []string{"caption", "whole"} {
				for _, retries := range []int32{0, 1} {
					t.Run(fmt.Sprint(status, " ", name, "/", class, "/retries ", retries), func(t *testing.T) {
						t.Parallel()
						var starts atomic.Int32
						engine := &silentEngine{silence: silence, respond: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }}
						r := &testGateway{t: t}
						for range 2 {
							r.addBackend("models", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
								if q.Method == http.MethodPost && starts.Add(1) > 1 {
									w.WriteHeader(http.StatusUnprocessableEntity)
									return
								}
								engine.ServeHTTP(w, q)
							}))
						}
						r.start()
						budget := &limitedRetries{}
						budget.left.Store(retries)
						r.gateway.RetryBudget = budget
						r.gateway.streamStallTimeout = stall
						start := time.Now()
						resp := r.do("POST", "/v1/completions", streamRequestJSON(2), headerClass, class)
						defer resp.Body.Close()
						s := readStream(t, resp.Body, 0)
						require.Less(t, time.Since(start), 10*stall)
						require.Equal(t, name == "goes on", s.done)
						if s.done {
							r.requireTokens(s, 1, 2)
							require.EqualValues(t, 1, starts.Load())
						}
						require.NotZero(t, engine.resumes.Load())
					})
				}
			}
		}
	}
}

// Guards against a request to a plain service that fails, or is sent to another server, because its host
// gives up a server that is silent for a while before its header, inside it or inside the body.
func TestSilentPlainServerIsNotGivenUp(t *testing.T) {
	const silence, body = 1200 * time.Millisecond, "response"
	header := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", okHeader, len(body))
	for name, silentAfter := range map[string]int{
		"before the header": 0, "inside the header": len(header) / 2, "inside the body": len(header) + 1,
	} {
		for _, class := range []string{"lookup", "write"} {
			t.Run(name+"/"+class, func(t *testing.T) {
				t.Parallel()
				var requests atomic.Int32
				r := &testGateway{t: t}
				for range 3 {
					r.addBackend("desk", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						if requests.Add(1) > 1 {
							w.WriteHeader(http.StatusServiceUnavailable)
							return
						}
						conn, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							return
						}
						defer conn.Close()
						text := header + body
						_, _ = io.WriteString(conn, text[:silentAfter])
						time.Sleep(silence)
						_, _ = io.WriteString(conn, text[silentAfter:])
					}))
				}
				r.start()
				resp := r.do("POST", "/services/desk/x", "", headerClass, class)
				defer resp.Body.Close()
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, 200, resp.StatusCode, "%s", got)
				require.Equal(t, body, string(got))
				require.EqualValues(t, 1, requests.Load())
			})
		}
	}
}
