package request

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/standin"
)

// requestByHTTP10 sends a request with HTTP/1.0 and reads until the connection ends.
func (r *testGateway) requestByHTTP10(path, class, body string) (header, responseBody string, err error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	require.NoError(r.t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", path, testKey, headerClass, class, len(body), body)
	require.NoError(r.t, err)
	all, err := io.ReadAll(conn)
	header, responseBody, _ = strings.Cut(string(all), "\r\n\r\n")
	return header, responseBody, err
}

// Guards against a response whose body has the sizes of chunks in it for a caller that uses HTTP/1.0, which has no
// chunks, and against one that looks complete to it although its server broke off.
func TestResponsesToHTTP10Callers(t *testing.T) {
	r := &testGateway{t: t}
	r.addBackend("models", newEngine("i-models-0", standin.EngineFaults{}).Handler())
	long := strings.Repeat("0123456789", 50_000)
	r.addBackend("desk", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(headerRequestID, req.Header.Get(headerRequestID))
		w.Header().Set(headerIncarnation, "i-desk-1")
		if req.URL.Path == "/v1/load" {
			_, _ = io.WriteString(w, `{"incarnation":"i-desk-1"}`)
			return
		}
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, long)
		if req.URL.Path == "/broken" {
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}))
	r.start()
	for _, class := range []string{"caption", "whole"} {
		header, body, err := r.requestByHTTP10("/v1/completions", class, streamRequestJSON(20))
		require.NoError(t, err)
		assert.Contains(t, header, " 200 ")
		assert.NotContains(t, header, "chunked")
		assert.True(t, strings.HasPrefix(body, "id: "), "%.40q", body)
		assert.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"), "%q", body)
		r.requireTokens(readStream(t, strings.NewReader(body), 100), 1, 20)
	}
	header, body, err := r.requestByHTTP10("/services/desk/whole", "lookup", "")
	require.NoError(t, err)
	assert.NotContains(t, header, "chunked")
	assert.Equal(t, long, body)
	_, body, err = r.requestByHTTP10("/services/desk/broken", "lookup", "")
	assert.Error(t, err, "a response of %d bytes ends as complete", len(body))
	assert.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.outcomes) == 4 && r.outcomes[3].Code == "answer_cut"
	}, 3*time.Second, 10*time.Millisecond, "each request ends")
}

// Guards against a response of HTTP/1.0 whose version is passed on: with a body without a length, which is sent in chunks, it had a
// header section that HTTP does not allow.
func TestVersionOfServerIsNotRelayed(t *testing.T) {
	for name, text := range map[string]string{
		"length":    "HTTP/1.0 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}",
		"no length": "HTTP/1.0 200 OK\r\n{fields}\r\n{body}",
	} {
		r, s := startTextServer(t, callPlain)
		s.text.Store(text)
		resp := r.do("POST", "/services/desk/x", "x", headerClass, "write")
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		require.NoError(t, err, name)
		assert.Equal(t, "HTTP/1.1", resp.Proto, name)
		assert.Equal(t, plainBody, string(body), name)
	}
}
