package crashes

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/internal/reservedport"
)

// testGuard is a Guard whose clock the test sets.
type testGuard struct {
	*Guard
	t   *testing.T
	now time.Duration
}

func newTestGuard(t *testing.T) *testGuard {
	g := &testGuard{t: t, now: time.Hour}
	g.Guard = New(Options{
		HostID: "host-0", Peers: func() []string { return []string{"host-0"} }, Clock: func() time.Duration { return g.now }, Log: zerolog.Nop(),
	})
	return g
}

// refusedAddress returns an address at which no process listens.
func (g *testGuard) refusedAddress() string {
	address, release, err := reservedport.TCP()
	require.NoError(g.t, err)
	g.t.Cleanup(func() { assert.NoError(g.t, release()) })
	return address
}

// crash records the end of engine n while a request with the parts had not begun.
func (g *testGuard) crash(n int, parts ...string) {
	g.now += time.Second
	r := g.NewRequest(fmt.Sprint("run-", n), parts, func() {})
	r.RecordBrokenAnswer(attribution.Crash{
		Process: attribution.Process{ID: fmt.Sprint("engine-", n)}, Address: g.refusedAddress(), Domain: "d", Engines: 9, Domains: 1,
	}, io.ErrUnexpectedEOF)
	if checked := r.checked.Load(); checked != nil {
		<-*checked
	}
}

// Guards against a rejection for responses that broke off at engines that still run, that the caller's
// deadline ended, or that had begun, and against one that is missing for engines that ended.
func TestOnlyCrashesAreEvidence(t *testing.T) {
	g := newTestGuard(t)
	alive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = alive.Close() }()
	for n := range 5 {
		g.now += time.Second
		crash := attribution.Crash{Process: attribution.Process{ID: fmt.Sprint("engine-", n)}, Address: g.refusedAddress(), Engines: 9}
		running := g.NewRequest("running", []string{"part"}, func() {})
		crashOfRunning := crash
		crashOfRunning.Address = alive.Addr().String()
		crashOfRunning.Process.ID = fmt.Sprint("running-", n)
		running.RecordBrokenAnswer(crashOfRunning, io.ErrUnexpectedEOF)
		<-*running.checked.Load()
		late := g.NewRequest("late", []string{"part"}, func() {})
		late.RecordBrokenAnswer(crash, fmt.Errorf("read: %w", os.ErrDeadlineExceeded))
		assert.Nil(t, late.checked.Load())
		begun := g.NewRequest("begun", []string{"other"}, func() {})
		begun.RecordAnswer()
		begun.RecordBrokenAnswer(crash, errors.New("reset"))
		assert.Nil(t, begun.checked.Load())
	}
	assert.Empty(t, g.Rejections())
	for n := range 3 {
		g.crash(n, "part")
	}
	assert.Len(t, g.Rejections(), 1)
	assert.EqualValues(t, 3, g.Crashes.Load())
}

// Guards against a crash that is not recorded because another response of the engine had broken off shortly before,
// while it still ran.
func TestEngineThatCrashesAfterACheck(t *testing.T) {
	g := newTestGuard(t)
	for n := range 3 {
		engine, release, err := reservedport.Listen()
		require.NoError(t, err)
		t.Cleanup(func() { assert.NoError(t, release()) })
		crash := attribution.Crash{
			Process: attribution.Process{ID: fmt.Sprint("engine-", n)}, Address: engine.Addr().String(), Domain: "d", Engines: 9, Domains: 1,
		}
		breakOff := func(part string) {
			r := g.NewRequest("request-"+part, []string{part}, func() {})
			r.RecordBrokenAnswer(crash, io.ErrUnexpectedEOF)
			<-*r.checked.Load()
		}
		breakOff("sound")
		g.now += time.Second
		require.NoError(t, engine.Close())
		breakOff("part")
		breakOff("part")
	}
	assert.EqualValues(t, 3, g.Crashes.Load())
	assert.Len(t, g.Rejections(), 1)
}

// Guards against a crash that is not recorded because the engine closes its listener after the connections, so that it
// accepts another one right after the response broke off.
func TestEngineThatClosesItsListenerLast(t *testing.T) {
	g := newTestGuard(t)
	for n := range 3 {
		g.now += time.Second
		engine, release, err := reservedport.Listen()
		require.NoError(t, err)
		t.Cleanup(func() { assert.NoError(t, release()) })
		time.AfterFunc(listenerCloseTime/4, func() { _ = engine.Close() })
		r := g.NewRequest(fmt.Sprint("run-", n), []string{"part"}, func() {})
		r.RecordBrokenAnswer(attribution.Crash{
			Process: attribution.Process{ID: fmt.Sprint("engine-", n)}, Address: engine.Addr().String(), Domain: "d", Engines: 9, Domains: 1,
		}, io.ErrUnexpectedEOF)
		<-*r.checked.Load()
	}
	assert.EqualValues(t, 3, g.Crashes.Load())
	assert.Len(t, g.Rejections(), 1)
}

// Guards against requests that were already sent when their part is rejected and crash their engines
// later: they are interrupted once, those with other parts or with an answer that began are not.
func TestPendingRequestsAreInterrupted(t *testing.T) {
	g := newTestGuard(t)
	interrupted := map[string]int{}
	begin := func(id string, parts ...string) *Request {
		r := g.NewRequest(id, parts, func() { interrupted[id]++ })
		r.Begin()
		return r
	}
	bad := begin("bad", "part", "more")
	begin("other", "sound")
	begin("ended", "part").End()
	for n := range 4 {
		g.crash(n, "part")
	}
	assert.Equal(t, map[string]int{"bad": 1}, interrupted)
	require.NotNil(t, bad.InterruptedBy())
	assert.Equal(t, "part", bad.RejectedPart(bad.InterruptedBy()))
}

// Guards against a Retry-After that invites callers back while the part is certainly still rejected, and
// against a rejection that a trial cannot end.
func TestRetryAfterAndTrial(t *testing.T) {
	g := newTestGuard(t)
	for n := range 3 {
		g.crash(n, "part")
	}
	r := g.NewRequest("later", []string{"part"}, func() {})
	rejection := r.Check()
	require.NotNil(t, rejection)
	after := r.RetryAfter(rejection)
	assert.GreaterOrEqual(t, after, minRetryAfter)
	g.now += after
	trial := g.NewRequest("trial", []string{"part"}, func() {})
	assert.Nil(t, trial.Check(), "this host is the only one, so it is elected")
	assert.Nil(t, trial.Check(), "a trial is asked again before it is sent")
	assert.NotNil(t, g.NewRequest("second", []string{"part"}, func() {}).Check())
	trial.RecordAnswer()
	assert.Empty(t, g.Rejections())
	assert.Nil(t, g.NewRequest("third", []string{"part"}, func() {}).Check())
}

// Guards against requests without prompt parts, and hosts without a Guard, that end the process.
func TestRequestsWithoutParts(t *testing.T) {
	var none *Guard
	for _, r := range []*Request{none.NewRequest("a", []string{"part"}, nil), newTestGuard(t).NewRequest("b", nil, nil)} {
		r.Begin()
		r.RecordBrokenAnswer(attribution.Crash{}, io.EOF)
		r.RecordAnswer()
		r.End()
		assert.Nil(t, r.Check())
		assert.Nil(t, r.InterruptedBy())
		assert.Nil(t, r.LoggedParts())
		assert.True(t, r.AllowRetry())
	}
}

// Guards against a host that has lost its path to all servers and takes the end of its connections for crashes, so that all hosts
// reject sound prompt parts, and against crashes of all engines at once that do not count since no server can be reached.
func TestCrashesOfUnreachableServersAreSettledLater(t *testing.T) {
	for name, c := range map[string]struct {
		// returns is set if the engine accepts connections again at the end, replaced if another process does.
		returns, replaced bool
		crashes           int64
	}{
		"the path was lost":                     {returns: true},
		"all engines had crashed, one is back":  {crashes: 1},
		"the engine is back as another process": {returns: true, replaced: true, crashes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGuard(t)
			engine, release, err := reservedport.TCP()
			require.NoError(t, err)
			t.Cleanup(func() { assert.NoError(t, release()) })
			other := g.refusedAddress()
			g.opts.Others = func(address string) []string {
				assert.Equal(t, engine, address)
				return []string{g.refusedAddress(), other}
			}
			g.opts.IsReplaced = func(attribution.Process, string) bool { return c.replaced }
			crash := attribution.Crash{Process: attribution.Process{ID: "engine"}, Address: engine, Domain: "d", Engines: 1, Domains: 1}
			for range 2 {
				r := g.NewRequest("run", []string{"part"}, func() {})
				r.RecordBrokenAnswer(crash, io.ErrUnexpectedEOF)
				<-*r.checked.Load()
			}
			assert.Zero(t, g.Crashes.Load(), "not known yet")
			listen := func(address string) {
				l, err := net.Listen("tcp", address)
				require.NoError(t, err)
				t.Cleanup(func() { _ = l.Close() })
			}
			if c.returns {
				listen(engine)
			}
			listen(other)
			g.mu.Lock()
			settled := g.checks[crash.Process].settled
			g.mu.Unlock()
			<-settled
			assert.Eventually(t, func() bool { return g.Crashes.Load() == c.crashes }, time.Second, time.Millisecond)
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, c.crashes, g.Crashes.Load())
		})
	}
}
