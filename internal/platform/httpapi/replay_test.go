package httpapi_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/httpapi"
)

// serveRepeating starts a server that sends each response on a connection once more: before it reads the
// next request if early is set, and after it otherwise. It returns the server's base URL.
func serveRepeating(t *testing.T, early bool, respond func(req *http.Request) string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for previous := ""; ; {
			if early {
				time.Sleep(5 * time.Millisecond) // until the client has read the response
				_, _ = io.WriteString(conn, previous)
			}
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if !early {
				_, _ = io.WriteString(conn, previous)
			}
			previous = respond(req)
			_, _ = io.WriteString(conn, previous)
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go serve(conn)
		}
	}()
	return "http://" + l.Addr().String()
}

func rawResponse(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// Guards against a response of the object store that is taken as the response to another call, so that a
// claim that another host holds counts as written, or the value of one key as that of another: the
// store sends a response once more on a kept connection.
func TestRepeatedResponsesToObjectCallsAreNotUsed(t *testing.T) {
	for _, early := range []bool{true, false} {
		t.Run(fmt.Sprintf("early %t", early), func(t *testing.T) {
			t.Parallel()
			base := serveRepeating(t, early, func(req *http.Request) string {
				switch {
				case req.Method != http.MethodGet && strings.HasSuffix(req.URL.Path, "taken"):
					return rawResponse(412, "", "")
				case req.URL.Query().Has("prefix"):
					return rawResponse(200, "", fmt.Sprintf(`[{"key":%q,"version":7}]`, req.URL.Query().Get("prefix")))
				}
				return rawResponse(200, "ETag: \"7\"\r\n", req.URL.Path)
			})
			store := httpapi.NewObjectStore(base)
			for i := range 4 {
				key := fmt.Sprint("k-", i)
				object, err := store.Get(t.Context(), key)
				require.NoError(t, err)
				assert.Equal(t, "/objects/"+key, string(object.Value))
				_, err = store.Put(t.Context(), "taken", 0, []byte("v"))
				assert.ErrorIs(t, err, platform.ErrConflict)
				_, err = store.Put(t.Context(), key, 0, []byte("v"))
				assert.NoError(t, err)
				list, err := store.List(t.Context(), key)
				require.NoError(t, err)
				require.Len(t, list, 1)
				assert.Equal(t, key, list[0].Key)
				assert.ErrorIs(t, store.Delete(t.Context(), "taken", 7), platform.ErrConflict)
				time.Sleep(20 * time.Millisecond) // until an early response has arrived
			}
		})
	}
}

// Guards against the weights of one model that are taken as those of another.
func TestRepeatedResponsesWithWeightsAreNotUsed(t *testing.T) {
	for _, early := range []bool{true, false} {
		base := serveRepeating(t, early, func(req *http.Request) string { return rawResponse(200, "", req.URL.Path) })
		store := httpapi.NewWeightStore(base)
		for i := range 4 {
			model := fmt.Sprint("m-", i)
			weights, err := store.Weights(t.Context(), model, "1")
			require.NoError(t, err)
			assert.Equal(t, "/weights/"+model+"/1", string(weights), "early %t", early)
			time.Sleep(20 * time.Millisecond) // until an early response has arrived
		}
	}
}

// Guards against load reports and lists of hosts that are not those of the server, or go back to an earlier
// state, since it sends each response once more. An earlier one of the same poll may be taken as the
// response: these polls keep their connections.
func TestRepeatedResponsesToPollsDoNotGoBack(t *testing.T) {
	for _, early := range []bool{true, false} {
		var loadsSent, hostsSent int
		base := serveRepeating(t, early, func(req *http.Request) string {
			if req.URL.Path == "/hosts" {
				hostsSent++
				return rawResponse(200, "", fmt.Sprintf(`{"revision":%d,"hosts":[{"id":"%d","state":"live"}]}`, hostsSent, hostsSent))
			}
			loadsSent++
			return rawResponse(200, "", fmt.Sprintf(`{"incarnation":"i","running":%d}`, loadsSent))
		})
		loads, hosts := httpapi.NewLoadReporter(), httpapi.NewHostList(base)
		running, host := 0, 0
		for range 4 {
			report, err := loads.Load(t.Context(), strings.TrimPrefix(base, "http://"))
			if err == nil {
				assert.GreaterOrEqual(t, report.Running, max(running, 1), "early %t", early)
				running = report.Running
			}
			list, err := hosts.Hosts(t.Context())
			if err == nil {
				require.Len(t, list, 1)
				n, err := strconv.Atoi(list[0].ID)
				require.NoError(t, err)
				assert.GreaterOrEqual(t, n, max(host, 1), "early %t", early)
				host = n
			}
			time.Sleep(20 * time.Millisecond) // until an early response has arrived
		}
		assert.Positive(t, running)
		assert.Positive(t, host)
	}
}
