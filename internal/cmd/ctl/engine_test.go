package ctl

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	coreissuer "monsoonkeel.example/monsoonkeel/core/issuer"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/httpapi"
	"monsoonkeel.example/monsoonkeel/internal/platform/platformtest"
	"monsoonkeel.example/monsoonkeel/internal/process/admin"
	"monsoonkeel.example/monsoonkeel/internal/process/issuer"
	"monsoonkeel.example/monsoonkeel/internal/standin"
)

// startIssuer runs a daemon's command issuer with two stand-in engines and a
// weight store that allows one read per second, and returns the admin URL and
// the URLs of the engines. The connections of the next loseResponses POSTs are
// closed before the response is sent.
func startIssuer(t *testing.T, store *platformtest.Store, loseResponses *atomic.Int32) (url string, engineURLs []string) {
	var hosts []platform.Host
	for _, id := range []string{"e1", "e2"} {
		server := httptest.NewServer(standin.NewEngine(standin.EngineConfig{ChecksFencing: id == "e1"}).Handler())
		t.Cleanup(server.Close)
		engineURLs = append(engineURLs, server.URL)
		hosts = append(hosts, platform.Host{ID: id, Role: platform.RoleBackend, Service: "signmodel", Kind: "engine",
			Address: strings.TrimPrefix(server.URL, "http://"), State: platform.HostLive})
	}
	weights := httptest.NewServer(standin.NewWeightStore(1, 100).Handler())
	t.Cleanup(weights.Close)
	manager := issuer.NewManager(issuer.Options{
		Holder: "entry-1/x", Store: store, Engines: httpapi.NewEngineControl(), Weights: httpapi.NewWeightStore(weights.URL),
		Hosts:       func() ([]platform.Host, bool) { return hosts, true },
		IsCandidate: func(string) bool { return true }, Now: time.Now, LoadInterval: time.Millisecond, Log: zerolog.Nop(),
		NewRand: func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) },
	}, func() []string { return []string{"signmodel"} })
	handler := admin.New(admin.Options{Commands: manager, Token: "secret", Timeout: 300 * time.Millisecond})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		handler.ServeHTTP(ctx)
		if ctx.IsPost() && loseResponses.Add(-1) >= 0 {
			_ = ctx.Conn().Close()
		}
	}}
	served, ran := make(chan error, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { served <- server.Serve(listener) }()
	go func() { ran <- manager.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ran)
		require.NoError(t, server.Shutdown())
		require.NoError(t, <-served)
	})
	return "http://" + listener.Addr().String(), engineURLs
}

// Guards against control commands that do not reach the engines, are applied
// twice, are lost when the weight store exceeds its rate limit or are reported as
// accepted without being recorded.
func TestEngineCommands(t *testing.T) {
	store, loseResponses := platformtest.NewStore(), &atomic.Int32{}
	url, engines := startIssuer(t, store, loseResponses)
	s := "--server=" + url
	for _, args := range [][]string{{"engine", "load", "none", "m1"}, {"engine", "load", "signmodel", "m 1"}, {"engine", "load", "signmodel", "m1", "--backend=e9"}} {
		code, out, errOut := ctl(t, append(args, s)...)
		require.Equal(t, exitRejected, code, errOut)
		require.NotContains(t, out, "accepted")
	}
	store.SetFaults(platformtest.Faults{Down: true})
	code, out, _ := ctl(t, s, "engine", "load", "signmodel", "m1")
	require.Equal(t, exitUnreachable, code)
	require.NotContains(t, out, "accepted")
	store.SetFaults(platformtest.Faults{DropWrites: 1 << 20})
	code, out, errOut := ctl(t, s, "--timeout=700ms", "--change-id=c1", "engine", "load", "signmodel", "m1@2")
	require.Equal(t, exitUnknown, code)
	require.NotContains(t, out, "accepted")
	require.Contains(t, errOut, "--change-id c1")
	store.SetFaults(platformtest.Faults{LoseWriteResponses: 1})
	loseResponses.Store(2)
	want := "accepted: command c1 for e1, e2\n"
	require.Equal(t, want, runOK(t, s, "--change-id=c1", "engine", "load", "signmodel", "m1@2"))
	require.Equal(t, want, runOK(t, s, "--change-id=c1", "engine", "load", "signmodel", "m1@2"))
	code, _, _ = ctl(t, s, "--change-id=c1", "engine", "unload", "signmodel", "m1@2")
	require.Equal(t, exitConflict, code)
	runOK(t, s, "engine", "role", "signmodel", "prefill", "--backend=e2")
	require.Eventually(t, func() bool {
		var list issuer.CommandList
		require.NoError(t, json.Unmarshal([]byte(runOK(t, s, "--output=json", "engine", "commands", "signmodel")), &list))
		applied := 0
		for _, c := range list.Commands {
			if c.Status == coreissuer.Applied {
				applied++
			}
		}
		return applied == 3 && len(list.Commands) == 3
	}, 30*time.Second, 200*time.Millisecond)
	require.Contains(t, runOK(t, s, "engine", "commands", "signmodel"), "prefill")
	for n, want := range [][]platform.ControlCommand{{{Kind: "load", Name: "m1@2", FencingToken: 1}},
		{{Kind: "load", Name: "m1@2", FencingToken: 1}, {Kind: "role", Name: "prefill", FencingToken: 1}}} {
		applied, err := httpapi.NewEngineControl().Applied(t.Context(), strings.TrimPrefix(engines[n], "http://"))
		require.NoError(t, err)
		require.Equal(t, want, applied)
	}
	err := httpapi.NewEngineControl().Control(t.Context(), strings.TrimPrefix(engines[0], "http://"), platform.ControlCommand{Kind: "load", Name: "m1"})
	require.ErrorIs(t, err, platform.ErrFenced)
	err = httpapi.NewEngineControl().Control(t.Context(), strings.TrimPrefix(engines[0], "http://"), platform.ControlCommand{Kind: "load", FencingToken: 9})
	require.ErrorIs(t, err, platform.ErrInvalidCommand)
}
