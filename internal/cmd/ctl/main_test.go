package ctl

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/platform/platformtest"
	"monsoonkeel.example/monsoonkeel/internal/process/admin"
	"monsoonkeel.example/monsoonkeel/internal/process/configlog"
)

type fixedState struct{}

func (fixedState) Status() any { return map[string]any{"host": "entry-1"} }
func (fixedState) Alarms() any { return []map[string]any{{"name": "G3", "since": "now"}} }
func (fixedState) Dump() any   { return map[string]any{"queue": 0} }

// testDaemon serves the admin API of a daemon on a loopback port.
type testDaemon struct {
	url string
	log *configlog.Log
	// loseResponses is the number of upcoming changes that are handled but whose
	// connection is closed before the response is sent.
	loseResponses atomic.Int32
}

func startDaemon(t *testing.T, store *platformtest.Store) *testDaemon {
	d := &testDaemon{log: configlog.New(configlog.Options{Store: store})}
	handler := admin.New(admin.Options{Log: d.log, Status: fixedState{}, Alarms: fixedState{}, Dump: fixedState{},
		Token: "secret", Timeout: 300 * time.Millisecond})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		handler.ServeHTTP(ctx)
		if ctx.IsPost() && d.loseResponses.Add(-1) >= 0 {
			_ = ctx.Conn().Close()
		}
	}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown())
		require.NoError(t, <-done)
	})
	d.url = "http://" + listener.Addr().String()
	return d
}

// ctl runs monsoonkeelctl and returns its exit code, standard output and standard
// error.
func ctl(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	t.Setenv("MONSOONKEEL_TOKEN", "secret")
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

func runOK(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errOut := ctl(t, args...)
	require.Zero(t, code, "%v: %s", args, errOut)
	return out
}

// Guards against commands whose change, as stored by a daemon, differs from their
// flags.
func TestCommands(t *testing.T) {
	d := startDaemon(t, platformtest.NewStore())
	s := "--server=" + d.url
	require.Contains(t, runOK(t, s, "class", "create", "fast", "--first-token-ms=100", "--priority=3"), "accepted: revision 1")
	runOK(t, s, "class", "update", "fast", "--token-gap-ms=50", "--order")
	require.Equal(t, config.Class{Name: "fast", FirstTokenMS: 100, TokenGapMS: 50, Priority: 3, Order: true, Revision: 2}, d.log.Current().Classes["fast"])
	runOK(t, s, "class", "update", "fast", "--no-order", "--priority=0")
	require.False(t, d.log.Current().Classes["fast"].Order)
	require.Zero(t, d.log.Current().Classes["fast"].Priority)

	runOK(t, s, "service", "create", "signmodel", "--kind=engine", "--model=m1", "--model=m2", "--cold-limit=2", "--warm-limit=8", "--rule=POST:/v1=fast", "--rule==fast")
	runOK(t, s, "service", "update", "signmodel", "--warm-limit=16")
	service := d.log.Current().Services["signmodel"]
	require.Equal(t, []config.Rule{{Method: "POST", PathPrefix: "/v1", Class: "fast"}, {Class: "fast"}}, service.Rules)
	require.Equal(t, 16, service.WarmLimit)
	require.Contains(t, runOK(t, s, "service", "list"), "POST:/v1=fast =fast")

	runOK(t, s, "domain", "add", "west-a", "--region=lakes-west")
	runOK(t, s, "domain", "take-out", "west-a")
	require.Equal(t, config.DomainOut, d.log.Current().Domains["west-a"].State)
	runOK(t, s, "domain", "bring-back", "west-a")
	require.Equal(t, config.DomainIn, d.log.Current().Domains["west-a"].State)
	runOK(t, s, "host", "drain", "entry-1")
	require.Contains(t, runOK(t, s, "host", "list"), "entry-1")
	runOK(t, s, "host", "undrain", "entry-1")
	require.Empty(t, d.log.Current().Drains)
	require.Contains(t, runOK(t, s, "status"), "entry-1")
	require.Contains(t, runOK(t, s, "alarms"), "G3")
	require.Contains(t, runOK(t, s, "dump"), "queue")
	require.Contains(t, runOK(t, s, "config", "history"), "put domain west-a")
	runOK(t, s, "service", "delete", "signmodel")
	runOK(t, s, "class", "delete", "fast")
	require.Empty(t, d.log.Current().Classes)
}

// Guards against a key that is stored in clear text, or that does not match the
// stored hash.
func TestTeamKeys(t *testing.T) {
	d := startDaemon(t, platformtest.NewStore())
	var created changeResult
	require.NoError(t, json.Unmarshal([]byte(runOK(t, "--server="+d.url, "--output=json", "team", "create", "bakers", "--max-in-flight=5")), &created))
	hash := sha256.Sum256([]byte(created.Key))
	require.Equal(t, []string{hex.EncodeToString(hash[:])}, d.log.Current().Teams["bakers"].KeyHashes)
	runOK(t, "--server="+d.url, "team", "update", "bakers", "--add-key", "--remove-key-hash="+hex.EncodeToString(hash[:]))
	team := d.log.Current().Teams["bakers"]
	require.Len(t, team.KeyHashes, 1)
	require.NotEqual(t, hex.EncodeToString(hash[:]), team.KeyHashes[0])
	require.Equal(t, 5, team.MaxInFlight)
	require.NotContains(t, runOK(t, "--server="+d.url, "config", "get"), created.Key)
}

// Guards against wrong exit codes, and against printing "accepted" for a change
// that was not accepted.
func TestExitCodes(t *testing.T) {
	store := platformtest.NewStore()
	d := startDaemon(t, store)
	s := "--server=" + d.url
	for _, args := range [][]string{{"fly"}, {s, "class", "create"}, {s, "--output=xml", "status"}, {s, "service", "create", "x", "--rule=none"},
		{s, "config", "apply", "-f", "/does/not/exist"}, {s, "--token-file=/does/not/exist", "status"}} {
		code, _, errOut := ctl(t, args...)
		require.Equal(t, exitUsage, code, "%v", args)
		require.NotEmpty(t, errOut)
	}
	code, _, errOut := ctl(t, s, "class", "create", "fast", "--priority=12")
	require.Equal(t, exitRejected, code)
	require.Contains(t, errOut, "priority is 12")
	require.Contains(t, errOut, "first_token_ms is 0")
	runOK(t, s, "class", "create", "fast", "--first-token-ms=100")
	code, _, errOut = ctl(t, s, "class", "create", "fast", "--first-token-ms=70")
	require.Equal(t, exitConflict, code)
	require.Contains(t, errOut, `"first_token_ms":100`)
	require.Contains(t, errOut, `"first_token_ms":70`)

	store.SetFaults(platformtest.Faults{Down: true})
	code, out, _ := ctl(t, s, "class", "create", "slow", "--first-token-ms=70")
	require.Equal(t, exitUnreachable, code)
	require.NotContains(t, out, "accepted")
	store.SetFaults(platformtest.Faults{DropWrites: 1 << 20})
	code, out, errOut = ctl(t, s, "--timeout=700ms", "--change-id=c1", "class", "create", "slow", "--first-token-ms=70")
	require.Equal(t, exitUnknown, code)
	require.NotContains(t, out, "accepted")
	require.Contains(t, errOut, "--change-id c1")
	store.SetFaults(platformtest.Faults{})
	runOK(t, s, "--change-id=c1", "class", "create", "slow", "--first-token-ms=70")
	// An update retried with its id would produce other operations, since it has
	// changed the stored revision itself.
	first := runOK(t, s, "--change-id=c2", "class", "update", "slow", "--first-token-ms=60")
	require.Equal(t, first, runOK(t, s, "--change-id=c2", "class", "update", "slow", "--first-token-ms=60"))
	code, _, _ = ctl(t, "--server=http://127.0.0.1:1", "class", "list")
	require.Equal(t, exitUnreachable, code)
}

// Guards against reporting an accepted change as failed when its response is
// lost, and against a second daemon that applies the change again.
func TestLostResponses(t *testing.T) {
	store := platformtest.NewStore()
	first, second := startDaemon(t, store), startDaemon(t, store)
	servers := []string{"--server=http://127.0.0.1:1", "--server=" + first.url, "--server=" + second.url}
	first.loseResponses.Store(1)
	require.Contains(t, runOK(t, append(servers, "class", "create", "fast", "--first-token-ms=100")...), "accepted: revision 1")
	first.loseResponses.Store(100)
	store.SetFaults(platformtest.Faults{DropWrites: 1, LoseWriteResponses: 1})
	require.Contains(t, runOK(t, append(servers, "class", "create", "slow", "--first-token-ms=100")...), "accepted: revision 2")
}

// Guards against config apply overwriting a change that is newer than the file,
// and against deletions without --prune.
func TestApplyFile(t *testing.T) {
	d := startDaemon(t, platformtest.NewStore())
	s := "--server=" + d.url
	runOK(t, s, "class", "create", "fast", "--first-token-ms=100")
	runOK(t, s, "class", "create", "old", "--first-token-ms=100")
	file := filepath.Join(t.TempDir(), "config.json")
	saved := runOK(t, s, "config", "get")
	require.NoError(t, os.WriteFile(file, []byte(strings.ReplaceAll(saved, `"first_token_ms": 100`, `"first_token_ms": 90`)), 0o600))
	require.Contains(t, runOK(t, s, "config", "diff", "-f", file), "put")
	runOK(t, s, "class", "update", "fast", "--first-token-ms=80")
	code, _, errOut := ctl(t, s, "config", "apply", "-f", file)
	require.Equal(t, exitConflict, code)
	require.Contains(t, errOut, `"first_token_ms":80`)
	require.Equal(t, 100, d.log.Current().Classes["old"].FirstTokenMS, "a conflicting file must not be applied in part")

	require.NoError(t, os.WriteFile(file, []byte(`{"classes":{"fast":{"first_token_ms":70}}}`), 0o600))
	runOK(t, s, "config", "apply", "-f", file)
	require.Len(t, d.log.Current().Classes, 2)
	require.Contains(t, runOK(t, s, "config", "apply", "-f", file), "no changes")
	runOK(t, s, "config", "apply", "--prune", "-f", file)
	require.Len(t, d.log.Current().Classes, 1)
	require.Equal(t, 70, d.log.Current().Classes["fast"].FirstTokenMS)
}
