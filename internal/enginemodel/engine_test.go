package enginemodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"
)

var t0 = time.Unix(1000, 0)

// drain advances the engine until it is idle and returns the events.
func drain(t require.TestingT, e *Engine) []Event {
	var out []Event
	for range 1_000_000 {
		at, ok := e.NextAt()
		if !ok {
			return out
		}
		out = append(out, e.Advance(at)...)
	}
	require.Fail(t, "engine does not become idle")
	return nil
}

// Guards against tokens that are lost, repeated or out of order, and against KV cache blocks
// that leak, under any mix of lengths, priorities, prefixes and cancellations.
func TestTokensInOrderAndBlocksFreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultParams()
		p.Blocks = 64
		e := New(p, 1, t0)
		now := t0
		want := map[uint64]int{}
		cancelled := map[uint64]bool{}
		var events []Event
		for id := range uint64(rapid.IntRange(1, 40).Draw(t, "requests")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			events = append(events, e.Advance(now)...)
			r := Request{ID: id, Prompt: rapid.IntRange(1, 500).Draw(t, "prompt"), Output: rapid.IntRange(1, 500).Draw(t, "output"),
				Prefix: rapid.Uint64Range(0, 2).Draw(t, "prefix"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
			r.PrefixTokens = min(r.Prompt, 100)
			lost, err := e.Submit(r, now)
			require.NoError(t, err)
			require.Empty(t, lost)
			want[id] = r.Output
			if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 && e.Cancel(id, now) {
				cancelled[id] = true
			}
		}
		events = append(events, drain(t, e)...)
		got, finished := map[uint64]int{}, map[uint64]int{}
		for _, ev := range events {
			if ev.Kind == Finished {
				finished[ev.ID]++
				continue
			}
			got[ev.ID]++
			require.Equal(t, got[ev.ID], ev.Offset)
		}
		for id, n := range want {
			if !cancelled[id] {
				require.Equal(t, n, got[id])
				require.Equal(t, 1, finished[id])
			}
		}
		require.Zero(t, e.load().BlocksUsed)
		require.True(t, e.evict(p.Blocks))
		require.Equal(t, p.Blocks, e.free)
	})
}

// Guards against a model in which overcommitting the KV cache costs nothing: a batch whose
// outputs exceed the KV cache causes preemptions, and preempted context is recomputed.
func TestPreemptionRecomputes(t *testing.T) {
	p := DefaultParams()
	p.Blocks = 200
	e := New(p, 1, t0)
	for id := range uint64(10) {
		_, err := e.Submit(Request{ID: id, Prompt: 200, Output: 400, Priority: int(id % 2)}, t0)
		require.NoError(t, err)
	}
	drain(t, e)
	total, recomputed := e.Prefilled()
	require.Positive(t, e.Preemptions())
	require.Positive(t, recomputed)
	require.Greater(t, total, uint64(10*200))
}

// Guards against a prefix cache that saves no prefill, and against evictions that emit no event.
func TestPrefixCache(t *testing.T) {
	p := DefaultParams()
	p.Blocks = 80
	p.EventLoss = 0
	e := New(p, 1, t0)
	submit := func(id, prefix uint64) uint64 {
		before, _ := e.Prefilled()
		_, err := e.Submit(Request{ID: id, Prompt: 800, Output: 5, Prefix: prefix, PrefixTokens: 640}, e.now)
		require.NoError(t, err)
		drain(t, e)
		after, _ := e.Prefilled()
		return after - before
	}
	require.Equal(t, uint64(800), submit(1, 7))
	require.Equal(t, uint64(160), submit(2, 7))
	require.Equal(t, uint64(800), submit(3, 8))
	require.Empty(t, e.CacheEvents(0, t0))
	events := e.CacheEvents(0, e.now.Add(p.EventLag))
	require.Len(t, events, 3)
	require.Equal(t, []bool{true, false, true}, []bool{events[0].Stored, events[1].Stored, events[2].Stored})
}

// Guards against a cold engine that accepts any load, and one whose warm-up never ends.
func TestColdStart(t *testing.T) {
	e := New(DefaultParams(), 1, t0)
	require.Empty(t, e.Stop(t0))
	_, err := e.Submit(Request{ID: 1, Prompt: 1, Output: 1}, t0)
	require.ErrorIs(t, err, ErrDown)
	e.Start(t0)
	require.True(t, e.Cold())
	for id := range uint64(DefaultColdConcurrency) {
		lost, err := e.Submit(Request{ID: id, Prompt: 10, Output: 10}, t0)
		require.NoError(t, err)
		require.Empty(t, lost)
	}
	lost, err := e.Submit(Request{ID: 99, Prompt: 10, Output: 10}, t0)
	require.NoError(t, err)
	require.Len(t, lost, DefaultColdConcurrency+1)
	require.False(t, e.Up())

	e.Start(t0)
	for id := range uint64(DefaultMaxRunning / DefaultWarmUpPerCompletion) {
		_, err := e.Submit(Request{ID: id, Prompt: 10, Output: 10}, e.now)
		require.NoError(t, err)
		drain(t, e)
	}
	require.True(t, e.Up())
	require.False(t, e.Cold())
}

// Guards against load reports that are visible before the report lag has passed.
func TestLoadReportLag(t *testing.T) {
	e := New(DefaultParams(), 1, t0)
	_, err := e.Submit(Request{ID: 1, Prompt: 10, Output: 1000}, t0.Add(time.Second))
	require.NoError(t, err)
	_, ok := e.Load(t0.Add(100 * time.Millisecond))
	require.False(t, ok)
	now := t0.Add(time.Second + DefaultReportLag/2)
	e.Advance(now)
	r, ok := e.Load(now)
	require.True(t, ok)
	require.Zero(t, r.Running)
	require.GreaterOrEqual(t, r.AgeMS, DefaultReportLag.Milliseconds())
	now = t0.Add(time.Second + 2*DefaultReportLag)
	e.Advance(now)
	r, _ = e.Load(now)
	require.Equal(t, 1, r.Running)
}

// Guards against a migrated request that allocates its KV cache twice, repeats or skips tokens,
// or waits behind the prefill of other prompts.
func TestMigratedRequestsResumeFromCopy(t *testing.T) {
	p := ProductionParams()
	e := New(p, 1, t0)
	_, err := e.Submit(Request{ID: 1, Prompt: 3000, Output: 4}, t0)
	require.NoError(t, err)
	require.True(t, e.Reserve(2, 1000))
	free := e.free
	require.NoError(t, e.Resume(Request{ID: 2, Prompt: 980, Output: 50}, 40, 1000, t0))
	require.Equal(t, free, e.free, "blocks of the copy were already reserved")
	events := drain(t, e)
	var offsets []int
	var first time.Time
	for _, ev := range events {
		if ev.ID == 2 && ev.Kind == Token {
			offsets = append(offsets, ev.Offset)
			if first.IsZero() {
				first = ev.At
			}
		}
	}
	require.Equal(t, []int{41, 42, 43, 44, 45, 46, 47, 48, 49, 50}, offsets)
	step := p.StepBase + time.Duration(p.StepTokens)*p.StepPerPrefill + p.StepPerRequest
	require.LessOrEqual(t, first.Sub(t0), 2*step, "waited behind the prefill of another prompt")
	require.Equal(t, p.Blocks, e.free)

	require.ErrorIs(t, func() error { e.Stop(t0); return e.Resume(Request{ID: 3, Prompt: 1, Output: 2}, 1, 1, t0) }(), ErrDown)
	e.Start(t0)
	require.Error(t, e.Resume(Request{ID: 3, Prompt: 10, Output: 2}, 2, 5, t0), "no tokens are left to produce")
	require.False(t, e.Reserve(4, p.Blocks*p.BlockTokens+1))
	require.True(t, e.Reserve(4, p.Blocks*p.BlockTokens))
	e.Unreserve(4)
	require.Equal(t, p.Blocks, e.free)
}
