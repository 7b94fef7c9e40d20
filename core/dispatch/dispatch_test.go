package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"

	"monsoonkeel.example/monsoonkeel/core/admit"
	"monsoonkeel.example/monsoonkeel/core/schedule"
)

var start = time.Unix(1000, 0)

func newTest(engine bool, servers ...Server) *Dispatcher {
	d := New(Options{Region: "a", Engine: engine, Seed: 1})
	d.SetServers(servers, 0, 1)
	return d
}

func request(id uint64) Request {
	return Request{ID: id, Class: "quick", Team: "t", Arrival: start, Target: 2 * time.Second, PromptTokens: 100}
}

// Guards against a retry waiting for a backend server at which it already
// failed.
func TestRetryWithoutUnattemptedServerIsRejected(t *testing.T) {
	d := newTest(false, Server{ID: "s1", Region: "a", Limit: 4, Warm: true, Capacity: 4})
	r := request(1)
	r.Attempted = []string{"s1"}
	require.Equal(t, admit.Reject, d.Offer(r, start).Action)
	require.Equal(t, 0, d.Waiting())
}

// Guards against buffered requests counting as prefilling until they end, which
// would limit the engine to one such request at a time.
func TestBufferedRequestsDoNotBlockPrefill(t *testing.T) {
	d := newTest(true, Server{ID: "s1", Region: "a", Limit: 4, Warm: true, Capacity: 4})
	r := request(1)
	r.Buffered = true
	require.Equal(t, admit.Dispatch, d.Offer(r, start).Action)
	require.Equal(t, admit.Wait, d.Offer(request(2), start).Action)
	later := start.Add(2 * serviceEstimate)
	d.Refresh(later)
	out := d.Drain(later)
	require.Len(t, out, 1)
	require.Equal(t, Outcome{ID: 2, Action: admit.Dispatch, Server: "s1"}, out[0])
}

// Guards against a request that is decided twice or never, and against more
// requests in flight than a backend server's limit.
func TestEachRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := []Server{
			{ID: "s1", Region: "a", Limit: rapid.IntRange(0, 3).Draw(t, "limit1"), Warm: true, Capacity: 3},
			{ID: "s2", Region: "b", Limit: rapid.IntRange(0, 3).Draw(t, "limit2"), Warm: true, Capacity: 3},
		}
		d := newTest(rapid.Bool().Draw(t, "engine"), servers...)
		now, next := start, uint64(1)
		waiting, running := map[uint64]bool{}, map[uint64]string{}
		applyOutcome := func(out Outcome, wasWaiting bool) {
			require.Equal(t, wasWaiting, waiting[out.ID])
			delete(waiting, out.ID)
			switch out.Action {
			case admit.Dispatch:
				running[out.ID] = out.Server
			case admit.Wait:
				waiting[out.ID] = true
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				r := request(next)
				r.Arrival = now
				next++
				applyOutcome(d.Offer(r, now), false)
			case 1:
				for id := range running {
					d.Progress(id, 1)
				}
			case 2:
				if len(running) > 0 {
					first := slices.Min(slices.Collect(maps.Keys(running)))
					d.Ended(first, true, now)
					delete(running, first)
				}
			case 3:
				d.Refresh(now)
				for _, out := range d.Drain(now) {
					applyOutcome(out, true)
				}
			}
			require.Equal(t, len(waiting), d.Waiting())
			for _, s := range servers {
				n := 0
				for _, at := range running {
					if at == s.ID {
						n++
					}
				}
				require.LessOrEqual(t, n, s.Limit)
				require.Equal(t, n, d.InFlight(s.ID))
			}
		}
	})
}

// Guards against prompts with the same prefix being spread over engines that
// would each prefill it, and against prefix affinity that overrides load.
func TestPrefixAffinity(t *testing.T) {
	d := newTest(true,
		Server{ID: "s1", Region: "a", Limit: 20, Warm: true, Capacity: 40},
		Server{ID: "s2", Region: "a", Limit: 20, Warm: true, Capacity: 40})
	r := request(1)
	r.Prefix, r.PrefixTokens = 7, 100
	first := d.Offer(r, start)
	require.Equal(t, admit.Dispatch, first.Action)
	d.Progress(1, 1)
	var servers []string
	for id := uint64(2); id < 20; id++ {
		r := request(id)
		r.Prefix, r.PrefixTokens = 7, 100
		out := d.Offer(r, start)
		require.Equal(t, admit.Dispatch, out.Action)
		d.Progress(id, 1)
		servers = append(servers, out.Server)
	}
	for _, s := range servers[:3] {
		require.Equal(t, first.Server, s, "at similar load the server with the cached prefix is chosen")
	}
	require.NotEqual(t, first.Server, servers[4], "load overrides prefix affinity")
}

// Guards against a prefix index that grows with the number of prefixes observed, and against one
// that evicts the newest.
func TestPrefixIndexIsBounded(t *testing.T) {
	index := newPrefixIndex()
	for p := uint64(1); p < 5*maxPrefixes; p++ {
		index.record(p, "s")
	}
	require.LessOrEqual(t, len(index.recent)+len(index.old), 2*maxPrefixes)
	require.Equal(t, []string{"s"}, index.servers(5*maxPrefixes-1))
}

// Guards against the token gap target of one class causing rejections in other
// classes when no engine can meet it.
func TestUnattainableGapTargetDoesNotBlock(t *testing.T) {
	d := newTest(true, Server{ID: "s1", Region: "a", Limit: 40, Warm: true, Capacity: 40})
	for i := range 40 {
		at := start.Add(time.Duration(i) * time.Second)
		d.ApplyReport("s1", schedule.Report{At: at, InFlight: i, Running: i, StepMS: 20 + float64(i), KVTotal: 1 << 20}, at)
	}
	d.ApplyReport("s1", schedule.Report{At: start.Add(time.Minute), Running: 1, StepMS: 21, KVTotal: 1 << 20}, start.Add(time.Minute))
	strict := request(1)
	strict.TokenGapMS = 5
	require.Equal(t, admit.Dispatch, d.Offer(strict, start).Action)
	d.Progress(1, 1)
	for id := uint64(2); id < 12; id++ {
		r := request(id)
		r.TokenGapMS = 52
		require.Equal(t, admit.Dispatch, d.Offer(r, start).Action, id)
		d.Progress(id, 1)
	}
}

// Guards against a cold backend server with a free slot staying cold because
// warm ones are always preferred.
func TestColdSlotIsUsedAtLowLoad(t *testing.T) {
	d := New(Options{Region: "a", Engine: true, Seed: 1})
	d.SetServers([]Server{
		{ID: "cold", Region: "a", Limit: 1, Capacity: 16},
		{ID: "warm", Region: "a", Limit: 16, Warm: true, Capacity: 16},
	}, 0, 2)
	used := map[string]int{}
	for id := uint64(1); id <= 40; id++ {
		out := d.Offer(request(id), start)
		require.Equal(t, admit.Dispatch, out.Action)
		used[out.Server]++
		d.Ended(id, false, start)
	}
	require.Greater(t, used["cold"], 5)
	require.Greater(t, used["warm"], 5)
}

// Guards against exceeding the limit of a backend server that is removed and
// listed again while it still runs earlier requests.
func TestReturningServerKeepsItsRequests(t *testing.T) {
	servers := []Server{{ID: "s1", Incarnation: "1", Region: "a", Limit: 1, Warm: true, Capacity: 4}}
	d := newTest(false, servers...)
	require.Equal(t, admit.Dispatch, d.Offer(request(1), start).Action)
	d.SetServers(nil, 0, 1)
	require.Equal(t, 1, d.InFlight("s1"))
	require.Equal(t, admit.Wait, d.Offer(request(2), start).Action)
	d.SetServers(servers, 0, 1)
	require.Empty(t, d.Drain(start))
	d.SetServers(nil, 0, 1)
	d.Ended(1, true, start)
	d.SetServers(servers, 0, 1)
	require.Equal(t, []Outcome{{ID: 2, Action: admit.Dispatch, Server: "s1"}}, d.Drain(start))
	require.Equal(t, 1, d.InFlight("s1"))
}

// Guards against requests of an ended process being counted at the process that
// replaced it, and against removed servers without requests being tracked
// forever.
func TestReplacedServerStartsWithoutRequests(t *testing.T) {
	s := Server{ID: "s1", Incarnation: "1", Region: "a", Limit: 1, Warm: true, Capacity: 4}
	d := newTest(false, s)
	require.Equal(t, admit.Dispatch, d.Offer(request(1), start).Action)
	d.SetServers(nil, 0, 1)
	s.Incarnation = "2"
	d.SetServers([]Server{s}, 0, 1)
	require.Equal(t, 0, d.InFlight("s1"))
	d.Ended(1, false, start)
	d.SetServers(nil, 0, 1)
	require.Empty(t, d.byID)
	require.Empty(t, d.removed)
}

// Guards against charging a team for prompt tokens served from the prefix
// cache, and against charging them in the correction at the end.
func TestTeamIsChargedForUncachedPrompt(t *testing.T) {
	d := newTest(true, Server{ID: "s1", Region: "a", Limit: 20, Warm: true, Capacity: 40})
	r := request(1)
	r.Prefix, r.PrefixTokens = 7, 80
	dist := d.lengths.Dist(r.Class, r.Team)
	first := d.estimate(&r, &dist)
	require.Equal(t, admit.Dispatch, d.Offer(r, start).Action)
	require.Equal(t, r.PromptTokens, d.running[1].uncached)
	d.Progress(1, 1)
	r.ID = 2
	require.Equal(t, first-80, d.estimate(&r, &dist))
	require.Equal(t, admit.Dispatch, d.Offer(r, start).Action)
	require.Equal(t, r.PromptTokens-80, d.running[2].uncached)
	r.Prefix = 8
	require.Equal(t, first, d.estimate(&r, &dist), "another prefix is not cached")
	r.Prefix, r.PrefixTokens = 7, 1000
	require.Equal(t, 0, d.uncached(&r), "a prefix estimate longer than the prompt")
}

// Guards against long requests occupying the few slots of a cold engine, whose
// warm-up proceeds with each completed request, while a warm one has capacity.
func TestColdEngineGetsShortRequests(t *testing.T) {
	d := New(Options{Region: "a", Engine: true, Seed: 1})
	servers := []Server{
		{ID: "cold", Region: "a", Limit: 1, Capacity: 16},
		{ID: "warm", Region: "a", Limit: 16, Warm: true, Capacity: 16},
	}
	d.SetServers(servers, 0, 2)
	used := map[string]int{}
	offer := func(id uint64, class string, prompt int) {
		r := request(id)
		r.Class, r.PromptTokens = class, prompt
		out := d.Offer(r, start)
		require.Equal(t, admit.Dispatch, out.Action)
		used[class+" "+out.Server]++
		d.Ended(id, false, start)
	}
	for id := uint64(1); id <= 80; id += 2 {
		offer(id, "short", 100)
		offer(id+1, "long", 1000)
	}
	require.Greater(t, used["short cold"], 5)
	require.Zero(t, used["long cold"])
	d.SetServers(servers[:1], 0, 2)
	offer(100, "long", 1000)
	require.Equal(t, 1, used["long cold"], "a long request goes to a cold engine when no engine is warm")
	require.EqualValues(t, 1, d.candidates[0].Share, "a long request gets the same share as a short one")
}

// Guards against a retry blocking the requests behind it when all other backend
// servers are full.
func TestRetryDoesNotBlockTheQueue(t *testing.T) {
	d := newTest(false,
		Server{ID: "s1", Region: "a", Limit: 4, Warm: true, Capacity: 4},
		Server{ID: "s2", Region: "a", Limit: 0, Warm: true, Capacity: 4})
	r := request(1)
	r.Attempted = []string{"s1"}
	require.Equal(t, admit.Wait, d.Offer(r, start).Action)
	for id := uint64(2); id < 5; id++ {
		d.Offer(request(id), start)
	}
	require.Len(t, d.Drain(start), 4)
	require.Zero(t, d.Waiting())
}

// Guards against a request to a backend server that refuses requests, one that waits although all of them refuse
// for too long, and a refusal that the next process with the same ID inherits.
func TestRefusingServersGetNoRequests(t *testing.T) {
	d := New(Options{Region: "r"})
	servers := []Server{{ID: "a", Incarnation: "1", Region: "r", Limit: 1, Warm: true, Capacity: 1}, {ID: "b", Incarnation: "1", Region: "r", Limit: 1, Warm: true, Capacity: 1}}
	d.SetServers(servers, 0, 1)
	now := time.Unix(1000, 0)
	offer := func(id uint64, at time.Time) Outcome {
		return d.Offer(Request{ID: id, Class: "c", Team: "t", Arrival: at, Target: time.Second}, at)
	}
	until, changed := d.Refuse("a", "1", 10*time.Second, now)
	require.True(t, changed)
	require.Equal(t, "b", offer(1, now).Server)
	require.Equal(t, admit.Wait, offer(2, now).Action, "the other server is full")
	d.Refuse("b", "1", 20*time.Second, now)
	out := d.Drain(now)
	require.Len(t, out, 1)
	require.Equal(t, admit.Reject, out[0].Action)
	rejected := offer(3, now)
	require.Equal(t, admit.Reject, rejected.Action)
	require.GreaterOrEqual(t, rejected.RetryAfter, until.Sub(now))
	require.Zero(t, rejected.RetryAfter%time.Second, "callers get whole seconds")
	require.True(t, d.Refuses("a", "1", until.Add(-time.Millisecond)))
	require.Equal(t, "a", offer(4, until).Server)
	require.True(t, d.Accepted("a", "1", until))
	servers[1].Incarnation = "2"
	d.SetServers(servers, 0, 1)
	require.False(t, d.HasRefusals())
}

// Guards against requests to a backend server within its refusal, since it was not listed for a while, and against refusals of
// servers that never return and fill the memory.
func TestRefusalOutlastsChangesOfTheList(t *testing.T) {
	d := New(Options{Region: "r"})
	servers := []Server{{ID: "a", Incarnation: "1", Region: "r", Limit: 1}, {ID: "b", Incarnation: "1", Region: "r", Limit: 1}}
	d.SetServers(servers, 0, 1)
	now := time.Unix(1000, 0)
	d.Refuse("a", "1", 10*time.Second, now)
	d.SetServers(servers[1:], 0, 1)
	d.SetServers(servers, 0, 1)
	require.True(t, d.Refuses("a", "1", now.Add(9*time.Second)))
	d.SetServers(servers[1:], 0, 1)
	d.Refuse("b", "1", time.Second, now.Add(time.Minute))
	d.SetServers(servers, 0, 1)
	require.True(t, d.ReturnsAt("a", "1").IsZero(), "the refusal is over")
}
