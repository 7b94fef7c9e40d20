package httpapi_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/httpapi"
	"monsoonkeel.example/monsoonkeel/internal/reservedport"
	"monsoonkeel.example/monsoonkeel/internal/standin"
)

func newStore(t *testing.T, faults standin.ObjectFaults) (*httpapi.ObjectStore, string) {
	server := httptest.NewServer(standin.NewObjectAPI(faults).Handler())
	t.Cleanup(server.Close)
	return httpapi.NewObjectStore(server.URL), server.URL
}

func setFaults(t *testing.T, base, faults string) {
	request, err := http.NewRequest(http.MethodPut, base+"/faults", strings.NewReader(faults))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against reporting a write whose response was lost as not written, and
// against a hidden retry, which would write twice or turn the lost response into
// a conflict.
func TestPutWithLostResponseHasUnknownOutcome(t *testing.T) {
	store, base := newStore(t, standin.ObjectFaults{LoseWriteAnswers: 1})
	_, err := store.Put(t.Context(), "config/head", 0, []byte("one"))
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	require.NotErrorIs(t, err, platform.ErrUnavailable)
	object, err := store.Get(t.Context(), "config/head")
	require.NoError(t, err)
	require.Equal(t, "one", string(object.Value))
	response, err := http.Get(base + "/debug/journal")
	require.NoError(t, err)
	defer func() { require.NoError(t, response.Body.Close()) }()
	var journal bytes.Buffer
	_, err = journal.ReadFrom(response.Body)
	require.NoError(t, err)
	require.JSONEq(t, `{"writes":1,"reads":1}`, journal.String())
}

// Guards against reporting a write that timed out as not written, although the
// server applies it after the caller's deadline.
func TestPutPastDeadlineHasUnknownOutcome(t *testing.T) {
	store, base := newStore(t, standin.ObjectFaults{DelayMS: 400})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err := store.Put(ctx, "k", 0, []byte("late"))
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Less(t, time.Since(start), 350*time.Millisecond)
	setFaults(t, base, `{}`)
	require.Eventually(t, func() bool {
		object, err := store.Get(t.Context(), "k")
		return err == nil && string(object.Value) == "late"
	}, 5*time.Second, 20*time.Millisecond)
}

// Guards against ErrOutcomeUnknown for writes that provably had no effect: a
// caller would read the object back instead of reporting "not run".
func TestPutWithoutEffect(t *testing.T) {
	store, base := newStore(t, standin.ObjectFaults{WritesPerSecond: 1})
	version, err := store.Put(t.Context(), "k", 0, nil)
	require.NoError(t, err)
	_, err = store.Put(t.Context(), "k", version, nil)
	require.ErrorIs(t, err, platform.ErrUnavailable, "429")
	setFaults(t, base, `{"refuse":true}`)
	_, err = store.Put(t.Context(), "k", version, nil)
	require.ErrorIs(t, err, platform.ErrUnavailable, "503")
	setFaults(t, base, `{}`)
	_, err = store.Put(t.Context(), "k", version+7, nil)
	require.ErrorIs(t, err, platform.ErrConflict)
	_, err = store.Put(t.Context(), "k", 0, nil)
	require.ErrorIs(t, err, platform.ErrConflict, "creating an existing object")
	_, err = store.Put(t.Context(), "k", version, make([]byte, platform.MaxObjectBytes+1))
	require.Error(t, err)
	require.NotErrorIs(t, err, platform.ErrOutcomeUnknown)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = store.Put(canceled, "k", version, nil)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.ErrorIs(t, err, context.Canceled)

	address, release, err := reservedport.TCP()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, release()) })
	_, err = httpapi.NewObjectStore("http://"+address).Put(t.Context(), "k", 0, nil)
	require.ErrorIs(t, err, platform.ErrUnavailable, "failed to connect")
	require.NotErrorIs(t, err, platform.ErrOutcomeUnknown)
}

// Guards against a 5xx of an intermediary being reported as not written,
// although the server behind it may have applied the write.
func TestPutWithServerErrorHasUnknownOutcome(t *testing.T) {
	for _, status := range []int{500, 502, 504, 200} { // the 200 has no ETag
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		_, err := httpapi.NewObjectStore(server.URL).Put(t.Context(), "k", 0, nil)
		require.ErrorIs(t, err, platform.ErrOutcomeUnknown, "status %d", status)
		server.Close()
	}
}

// Guards against a watch that misses a change, returns an old version or
// outlives its context.
func TestWatch(t *testing.T) {
	objects := httptest.NewServer(standin.NewObjectAPI(standin.ObjectFaults{}).Handler())
	store := httpapi.NewObjectStore(objects.URL)
	first, err := store.Put(t.Context(), "a/b c", 0, []byte("1"))
	require.NoError(t, err)
	_, err = store.Watch(t.Context(), "a/b c", first, 30*time.Millisecond)
	require.ErrorIs(t, err, platform.ErrUnchanged)

	got := make(chan platform.Object, 1)
	go func() {
		object, err := store.Watch(t.Context(), "a/b c", first, 20*time.Second)
		if err == nil {
			got <- object
		}
	}()
	time.Sleep(50 * time.Millisecond) // gives the watch time to block; the result is the same without it
	second, err := store.Put(t.Context(), "a/b c", first, []byte("2"))
	require.NoError(t, err)
	select {
	case object := <-got:
		require.Equal(t, platform.Object{Key: "a/b c", Version: second, Value: []byte("2")}, object)
	case <-time.After(5 * time.Second):
		t.Fatal("the watch did not return the new version")
	}

	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	start := time.Now()
	_, err = store.Watch(ctx, "a/b c", second, 20*time.Second)
	require.ErrorIs(t, err, context.Canceled)
	objects.Close() // waits for open requests
	require.Less(t, time.Since(start), 10*time.Second, "the canceled watch still holds its connection")
}

// Guards against deletes that ignore the expected version and lists that include
// other prefixes.
func TestDeleteAndList(t *testing.T) {
	store, _ := newStore(t, standin.ObjectFaults{})
	a, err := store.Put(t.Context(), "claims/1", 0, []byte("x"))
	require.NoError(t, err)
	b, err := store.Put(t.Context(), "view/1", 0, nil)
	require.NoError(t, err)
	objects, err := store.List(t.Context(), "claims/")
	require.NoError(t, err)
	require.Equal(t, []platform.Object{{Key: "claims/1", Version: a}}, objects)
	require.ErrorIs(t, store.Delete(t.Context(), "claims/1", b), platform.ErrConflict)
	require.NoError(t, store.Delete(t.Context(), "claims/1", a))
	_, err = store.Get(t.Context(), "claims/1")
	require.ErrorIs(t, err, platform.ErrNotFound)
	for _, key := range []string{"", "a//b", "../faults"} {
		_, err = store.Get(t.Context(), key)
		require.ErrorContains(t, err, "invalid key")
	}
}

// Guards against clients that drop fields of a response, or that do not report
// an exceeded rate limit as unavailable.
func TestReadHostsLoadAndWeights(t *testing.T) {
	hosts := httptest.NewServer(standin.NewHostList().Handler())
	defer hosts.Close()
	body := `{"role":"backend","kind":"engine","service":"signmodel","address":"127.0.0.1:9","region":"bkk","domain":"bkk-a","incarnation":"i1"}`
	request, err := http.NewRequest(http.MethodPut, hosts.URL+"/hosts/r1", strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	list, err := httpapi.NewHostList(hosts.URL).Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, []platform.Host{{
		ID: "r1", Role: platform.RoleBackend, Kind: "engine", Service: "signmodel", Address: "127.0.0.1:9",
		Region: "bkk", Domain: "bkk-a", State: platform.HostLive, Incarnation: "i1",
	}}, list)

	plain := httptest.NewServer(standin.NewPlainService("i2").Handler())
	defer plain.Close()
	report, err := httpapi.NewLoadReporter().Load(t.Context(), strings.TrimPrefix(plain.URL, "http://"))
	require.NoError(t, err)
	require.Equal(t, platform.LoadReport{Incarnation: "i2", Sequence: 1}, report)

	weights := httptest.NewServer(standin.NewWeightStore(1, 64).Handler())
	defer weights.Close()
	store := httpapi.NewWeightStore(weights.URL)
	data, err := store.Weights(t.Context(), "signmodel", "v1")
	require.NoError(t, err)
	require.Len(t, data, 64)
	_, err = store.Weights(t.Context(), "signmodel", "v1")
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// Guards against a cached host list that stays in use after the list changed, or
// after its server restarted and reuses a revision number, and against
// transferring 3 MB every second while nothing changes.
func TestHostListUsesConditionalRequests(t *testing.T) {
	var handler atomic.Value
	handler.Store(standin.NewHostList().Handler())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.Load().(http.Handler).ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	put := func(id string) {
		request, err := http.NewRequest(http.MethodPut, server.URL+"/hosts/"+id, strings.NewReader(`{"role":"entry","address":"a:1"}`))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusNoContent, response.StatusCode)
	}
	list := httpapi.NewHostList(server.URL)
	requireHost := func(wantID string) {
		t.Helper()
		hosts, err := list.Hosts(t.Context())
		require.NoError(t, err)
		require.Len(t, hosts, 1)
		require.Equal(t, wantID, hosts[0].ID)
		_, err = list.Hosts(t.Context())
		require.ErrorIs(t, err, platform.ErrUnchanged)
	}
	put("one")
	requireHost("one")
	handler.Store(standin.NewHostList().Handler())
	put("two") // gets the same revision as before the restart
	requireHost("two")
	setFaults(t, server.URL, `{"refuse":true}`)
	_, err := list.Hosts(t.Context())
	require.ErrorIs(t, err, platform.ErrUnavailable)
	setFaults(t, server.URL, `{}`)
	_, err = list.Hosts(t.Context())
	require.ErrorIs(t, err, platform.ErrUnchanged, "a failed read must keep the ETag")
}

// Guards against an earlier response that is taken as that to the next command: an engine sends it once
// more on a kept connection, after it has read the command.
func TestRepeatedResponsesToCommandsAreNotUsed(t *testing.T) {
	for name, earlier := range map[string]string{
		"fenced":   "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
		"accepted": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for next, first := r, true; err == nil; first = false {
					if !first {
						_, _ = io.WriteString(conn, earlier)
					}
					status, body := 200, `{"applied":[{"kind":"load","name":"m","fencing_number":7}]}`
					if next.Method == http.MethodPost && name == "accepted" {
						status, body = 422, "invalid"
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
					if next, err = http.ReadRequest(reader); err == nil {
						_, err = io.Copy(io.Discard, next.Body)
					}
				}
			}))
			defer server.Close()
			address := server.Listener.Addr().String()
			engine := httpapi.NewEngineControl()
			for range 3 {
				err := engine.Control(t.Context(), address, platform.ControlCommand{})
				if name == "accepted" {
					require.ErrorIs(t, err, platform.ErrInvalidCommand)
				} else {
					require.NoError(t, err)
				}
				applied, err := engine.Applied(t.Context(), address)
				require.NoError(t, err)
				require.Len(t, applied, 1)
			}
		})
	}
}
