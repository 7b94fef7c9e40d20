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

type provider struct{}

func (provider) Status() any { return map[string]any{"host": "entry-1"} }
func (provider) Alarms() any { return []map[string]any{{"name": "G3", "since": "now"}} }
func (provider) Dump() any   { return map[string]any{"queue": 0} }

// daemon is the admin API of one daemon on a loopback port.
type daemon struct {
	url string
	log *configlog.Log
	// loseAnswers is the number of next changes whose connection is closed
	// after the change was handled.
	loseAnswers atomic.Int32
}

func startDaemon(t *testing.T, store *platformtest.Store) *daemon {
	d := &daemon{log: configlog.New(configlog.Options{Store: store})}
	handler := admin.New(admin.Options{Log: d.log, Status: provider{}, Alarms: provider{}, Dump: provider{},
		Token: "secret", Timeout: 300 * time.Millisecond})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		handler.ServeHTTP(ctx)
		if ctx.IsPost() && d.loseAnswers.Add(-1) >= 0 {
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

// ctl runs the tool and returns its exit code and outputs.
func ctl(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	t.Setenv("MONSOONKEEL_TOKEN", "secret")
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

func ok(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errOut := ctl(t, args...)
	require.Zero(t, code, "%v: %s", args, errOut)
	return out
}

// Guards against commands that do not do what they say, end to end.
func TestCommands(t *testing.T) {
	d := startDaemon(t, platformtest.NewStore())
	s := "--server=" + d.url
	require.Contains(t, ok(t, s, "class", "create", "fast", "--first-token-ms=100", "--priority=3"), "accepted: revision 1")
	ok(t, s, "class", "update", "fast", "--token-gap-ms=50", "--order")
	require.Equal(t, config.Class{Name: "fast", FirstTokenMS: 100, TokenGapMS: 50, Priority: 3, Order: true, Revision: 2}, d.log.Current().Classes["fast"])
	ok(t, s, "class", "update", "fast", "--no-order", "--priority=0")
	require.False(t, d.log.Current().Classes["fast"].Order)
	require.Zero(t, d.log.Current().Classes["fast"].Priority)

	ok(t, s, "service", "create", "signmodel", "--kind=engine", "--model=m1", "--model=m2", "--cold-limit=2", "--warm-limit=8", "--rule=POST:/v1=fast", "--rule==fast")
	ok(t, s, "service", "update", "signmodel", "--warm-limit=16")
	service := d.log.Current().Services["signmodel"]
	require.Equal(t, []config.Rule{{Method: "POST", PathPrefix: "/v1", Class: "fast"}, {Class: "fast"}}, service.Rules)
	require.Equal(t, 16, service.WarmLimit)
	require.Contains(t, ok(t, s, "service", "list"), "POST:/v1=fast =fast")

	ok(t, s, "domain", "add", "west-a", "--region=lakes-west")
	ok(t, s, "domain", "take-out", "west-a")
	require.Equal(t, config.DomainOut, d.log.Current().Domains["west-a"].State)
	ok(t, s, "domain", "bring-back", "west-a")
	require.Equal(t, config.DomainIn, d.log.Current().Domains["west-a"].State)
	ok(t, s, "host", "drain", "entry-1")
	require.Contains(t, ok(t, s, "host", "list"), "entry-1")
	ok(t, s, "host", "undrain", "entry-1")
	require.Empty(t, d.log.Current().Drains)
	require.Contains(t, ok(t, s, "status"), "entry-1")
	require.Contains(t, ok(t, s, "alarms"), "G3")
	require.Contains(t, ok(t, s, "dump"), "queue")
	require.Contains(t, ok(t, s, "config", "history"), "put domain west-a")
	ok(t, s, "service", "delete", "signmodel")
	ok(t, s, "class", "delete", "fast")
	require.Empty(t, d.log.Current().Classes)
}

// Guards against a key that reaches the configuration in clear, or that does
// not match the stored hash.
func TestTeamKeys(t *testing.T) {
	d := startDaemon(t, platformtest.NewStore())
	var created result
	require.NoError(t, json.Unmarshal([]byte(ok(t, "--server="+d.url, "--output=json", "team", "create", "bakers", "--max-in-flight=5")), &created))
	hash := sha256.Sum256([]byte(created.Key))
	require.Equal(t, []string{hex.EncodeToString(hash[:])}, d.log.Current().Teams["bakers"].KeyHashes)
	ok(t, "--server="+d.url, "team", "update", "bakers", "--add-key", "--remove-key-hash="+hex.EncodeToString(hash[:]))
	team := d.log.Current().Teams["bakers"]
	require.Len(t, team.KeyHashes, 1)
	require.NotEqual(t, hex.EncodeToString(hash[:]), team.KeyHashes[0])
	require.Equal(t, 5, team.MaxInFlight)
	require.NotContains(t, ok(t, "--server="+d.url, "config", "get"), created.Key)
}

// Guards against wrong exit codes, and against "accepted" without acceptance.
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
	require.Equal(t, exitRefused, code)
	require.Contains(t, errOut, "priority is 12")
	require.Contains(t, errOut, "first_token_ms is 0")
	ok(t, s, "class", "create", "fast", "--first-token-ms=100")
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
	ok(t, s, "--change-id=c1", "class", "create", "slow", "--first-token-ms=70")
	// An update repeated with its id states other operations, since the stored
	// revision is now its own.
	first := ok(t, s, "--change-id=c2", "class", "update", "slow", "--first-token-ms=60")
	require.Equal(t, first, ok(t, s, "--change-id=c2", "class", "update", "slow", "--first-token-ms=60"))
	code, _, _ = ctl(t, "--server=http://127.0.0.1:1", "class", "list")
	require.Equal(t, exitUnreachable, code)
}

// Guards against a lost answer that is reported as a failure, or a second
// daemon that applies the change again.
func TestLostAnswers(t *testing.T) {
	store := platformtest.NewStore()
	first, second := startDaemon(t, store), startDaemon(t, store)
	servers := []string{"--server=http://127.0.0.1:1", "--server=" + first.url, "--server=" + second.url}
	first.loseAnswers.Store(1)
	require.Contains(t, ok(t, append(servers, "class", "create", "fast", "--first-token-ms=100")...), "accepted: revision 1")
	first.loseAnswers.Store(100)
	store.SetFaults(platformtest.Faults{DropWrites: 1, LoseWriteResponses: 1})
	require.Contains(t, ok(t, append(servers, "class", "create", "slow", "--first-token-ms=100")...), "accepted: revision 2")
}

// Guards against apply overwriting a change that the file's author has not
// seen, and against deletions without --prune.
func TestApplyFile(t *testing.T) {
	d := startDaemon(t, platformtest.NewStore())
	s := "--server=" + d.url
	ok(t, s, "class", "create", "fast", "--first-token-ms=100")
	ok(t, s, "class", "create", "old", "--first-token-ms=100")
	file := filepath.Join(t.TempDir(), "config.json")
	saved := ok(t, s, "config", "get")
	require.NoError(t, os.WriteFile(file, []byte(strings.ReplaceAll(saved, `"first_token_ms": 100`, `"first_token_ms": 90`)), 0o600))
	require.Contains(t, ok(t, s, "config", "diff", "-f", file), "put")
	ok(t, s, "class", "update", "fast", "--first-token-ms=80")
	code, _, errOut := ctl(t, s, "config", "apply", "-f", file)
	require.Equal(t, exitConflict, code)
	require.Contains(t, errOut, `"first_token_ms":80`)
	require.Equal(t, 100, d.log.Current().Classes["old"].FirstTokenMS, "no part of the file is applied")

	require.NoError(t, os.WriteFile(file, []byte(`{"classes":{"fast":{"first_token_ms":70}}}`), 0o600))
	ok(t, s, "config", "apply", "-f", file)
	require.Len(t, d.log.Current().Classes, 2)
	require.Contains(t, ok(t, s, "config", "apply", "-f", file), "no changes")
	ok(t, s, "config", "apply", "--prune", "-f", file)
	require.Len(t, d.log.Current().Classes, 1)
	require.Equal(t, 70, d.log.Current().Classes["fast"].FirstTokenMS)
}
