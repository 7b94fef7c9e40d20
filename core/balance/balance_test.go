package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

var start = time.Unix(1000, 0)

func engines() *Balancer {
	b := New(rand.New(rand.NewPCG(1, 2)).IntN, nil, nil)
	b.Configure(Settings{Domain: "west-a", Region: "west", KVTokens: 10000})
	b.SetServers([]Server{
		{ID: "w1", Address: "w1", Domain: "west-a", Region: "west", Slots: 64},
		{ID: "w2", Address: "w2", Domain: "west-a", Region: "west", Slots: 64},
		{ID: "e1", Address: "e1", Domain: "east-a", Region: "east", Slots: 64},
	})
	return b
}

func pick(t *testing.T, b *Balancer, req Request, now time.Time) string {
	t.Helper()
	s, reason := b.Pick(req, now)
	require.Equal(t, Chosen, reason)
	return s.ID
}

// Guards against ignoring the load of the other hosts, received by gossip: it must
// count like the host's own load when several hosts send to the same engines.
func TestPeerLoadCountsLikeOwnLoad(t *testing.T) {
	b := engines()
	b.SetPeerLoad(map[string]Load{"w1": {Requests: 2, Tokens: 3000}})
	assert.Equal(t, "w2", pick(t, b, Request{Tokens: 1000}, start))
	b.AddRequest("w2", Load{Requests: 1, Tokens: 4000}, start)
	assert.Equal(t, "w1", pick(t, b, Request{Tokens: 1000}, start))
}

// Guards against a late first token in a burst of long prompts: prompts are prefilled
// one after another, so an engine with less KV cache in use may still respond later.
func TestPrefillWeighsMoreThanKVCache(t *testing.T) {
	b := engines()
	b.AddRequest("w1", Load{Requests: 1, Tokens: 2000, Prefill: 2000}, start)
	b.AddRequest("w2", Load{Requests: 1, Tokens: 3000}, start)
	assert.Equal(t, "w2", pick(t, b, Request{Tokens: 1000}, start))
	b.RemoveLoad("w1", Load{Prefill: 2000})
	assert.Equal(t, "w1", pick(t, b, Request{Tokens: 1000}, start))
}

// Guards against crossing regions for a small difference in load: another region is
// picked only if its load is far lower.
func TestOtherRegionOnlyIfFarLessLoaded(t *testing.T) {
	b := engines()
	b.SetPeerLoad(map[string]Load{"w1": {Tokens: 3000}, "w2": {Tokens: 3000}})
	assert.NotEqual(t, "e1", pick(t, b, Request{Tokens: 1000}, start))
	b.SetPeerLoad(map[string]Load{"w1": {Tokens: 8000}, "w2": {Tokens: 8000}})
	assert.Equal(t, "e1", pick(t, b, Request{Tokens: 1000}, start))
}

// Guards against overfilling an engine, which then preempts generations: a request
// waits while all engines are full. An idle engine accepts even a request that is
// larger than its KV cache, since the request would wait forever otherwise.
func TestFullEnginesMakeRequestsWait(t *testing.T) {
	b := engines()
	b.SetPeerLoad(map[string]Load{"w1": {Tokens: 9500}, "w2": {Tokens: 9500}, "e1": {Tokens: 9500}})
	_, reason := b.Pick(Request{Tokens: 1000}, start)
	assert.Equal(t, Full, reason)
	b.SetPeerLoad(nil)
	_, reason = b.Pick(Request{Tokens: 20000}, start)
	assert.Equal(t, Chosen, reason)
	_, reason = b.Pick(Request{Allowed: func(string) bool { return false }}, start)
	assert.Equal(t, NoCandidate, reason)
}

// Guards against all regions of a large deployment choosing the same idle engine at a time: with load known late, another
// region is used only if the engines of the own one have a long queue or no room.
func TestOtherRegionsOfLargeDeployments(t *testing.T) {
	b := engines()
	b.Configure(Settings{Domain: "west-a", Region: "west", KVTokens: 10000, OtherRegionCost: 1})
	b.SetPeerLoad(map[string]Load{"w1": {Tokens: 6000, Prefill: 1500}, "w2": {Tokens: 7000}})
	assert.Equal(t, "w2", pick(t, b, Request{Tokens: 1000}, start))
	b.SetPeerLoad(map[string]Load{"w1": {Tokens: 8000, Prefill: 6000}, "w2": {Tokens: 8000, Prefill: 6000}})
	assert.Equal(t, "e1", pick(t, b, Request{Tokens: 1000}, start))
	b.SetPeerLoad(map[string]Load{"w1": {Tokens: 9500}, "w2": {Tokens: 9500}})
	assert.Equal(t, "e1", pick(t, b, Request{Tokens: 1000}, start))
}

// Guards against losing generations of a terminating engine: they are migrated to
// engines near it, even to one that is full by estimate, since a generation that is
// not migrated is lost.
func TestMigratedGenerationsStayNearSource(t *testing.T) {
	b := engines()
	b.SetPeerLoad(map[string]Load{"w1": {Tokens: 9900}, "w2": {Tokens: 9900}})
	source := Server{ID: "w1", Domain: "west-a", Region: "west"}
	assert.Equal(t, "w2", pick(t, b, Request{Tokens: 1000, Exclude: []string{"w1"}, Source: &source}, start))
}

// Guards against overloading a cold server when all hosts see the same idle engine:
// each host keeps to its quota of the rate limit.
func TestRatePerServerIsLimited(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 2)).IntN, nil, nil)
	b.Configure(Settings{Limited: true})
	b.SetServers([]Server{{ID: "s", Slots: 100, PerSecond: 2}, {ID: "without a quota", Slots: 100}})
	for range 2 {
		b.AddRequest(pick(t, b, Request{}, start), Load{Requests: 1}, start)
	}
	_, reason := b.Pick(Request{}, start.Add(999*time.Millisecond))
	assert.Equal(t, Full, reason)
	_, reason = b.Pick(Request{}, start.Add(time.Second))
	assert.Equal(t, Chosen, reason)
}

// Guards against sending to a server that fails while its store entry is still valid:
// it is ejected for a time that doubles, but used at once if there is no other server.
func TestFailedServersAreEjected(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 2)).IntN, nil, nil)
	b.SetServers([]Server{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}})
	b.RecordFailure("a", start)
	for range 20 {
		assert.Equal(t, "b", pick(t, b, Request{}, start.Add(minEjection-1)))
	}
	b.RecordFailure("a", start)
	b.AddRequest("b", Load{Requests: 5}, start)
	assert.Equal(t, "b", pick(t, b, Request{}, start.Add(2*minEjection-1)))
	assert.Equal(t, "a", pick(t, b, Request{}, start.Add(2*minEjection)))
	assert.Equal(t, "a", pick(t, b, Request{Exclude: []string{"b"}}, start))
	b.RecordSuccess("a")
	assert.Equal(t, "a", pick(t, b, Request{}, start))
}

// Guards against a needless round trip to another region: it takes longer than a
// short queue, so plain requests stay in the region until its slots are in use.
func TestPlainRequestsStayInRegionWithFreeSlots(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 2)).IntN, nil, nil)
	b.Configure(Settings{Domain: "west-a", Region: "west"})
	b.SetServers([]Server{{ID: "w", Domain: "west-a", Region: "west", Slots: 6}, {ID: "e", Domain: "east-a", Region: "east", Slots: 6}})
	b.AddRequest("w", Load{Requests: 4}, start)
	assert.Equal(t, "w", pick(t, b, Request{}, start))
	b.AddRequest("w", Load{Requests: 2}, start)
	assert.Equal(t, "e", pick(t, b, Request{}, start))
}

// Guards against a leak: the load at a removed server is dropped when its last
// request ends.
func TestLoadAtRemovedServersIsDroppedAtItsEnd(t *testing.T) {
	b := engines()
	b.AddRequest("w1", Load{Requests: 1, Tokens: 5}, start)
	b.SetServers(nil)
	assert.Equal(t, map[string]Load{"w1": {Requests: 1, Tokens: 5}}, b.OwnLoad())
	b.RemoveLoad("w1", Load{Requests: 1, Tokens: 5})
	assert.Empty(t, b.OwnLoad())
	assert.Empty(t, b.servers)
	b.RemoveLoad("w1", Load{Requests: 1})
	b.RecordFailure("w1", start)
}

// Guards against all hosts sending to the same server at low load, when most servers
// have the same cost.
func TestEqualServersArePickedEquallyOften(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 2)).IntN, nil, nil)
	b.SetServers([]Server{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}, {ID: "c", Slots: 6}})
	counts := map[string]int{}
	for range 3000 {
		counts[pick(t, b, Request{}, start)]++
	}
	for _, id := range []string{"a", "b", "c"} {
		assert.InDelta(t, 1000, counts[id], 100, id)
	}
}

// Guards against standby replicas filling the KV cache that migrations need: engines
// crash without notice, and others are terminated two at a time. A replica is kept in
// the region of its generation, but not in KV cache that the generations of two more
// engines would need.
func TestStandbysLeaveCapacityForTwoEngines(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 2)).IntN, nil, nil)
	b.Configure(Settings{Domain: "west-a", Region: "west", KVTokens: 10000})
	list := []Server{
		{ID: "a1", Domain: "west-a", Region: "west"}, {ID: "a2", Domain: "west-a", Region: "west"},
		{ID: "b1", Domain: "west-b", Region: "west"}, {ID: "b2", Domain: "west-b", Region: "west"},
	}
	b.SetServers(list)
	req := Request{Tokens: 1000, Exclude: []string{"a1"}, Source: &list[0], Standby: true}
	first := pick(t, b, req, start)
	assert.Contains(t, []string{"b1", "b2"}, first, "an outage of west-a must not take down both the generation and its replica")
	for _, id := range []string{"a2", "b1", "b2"} {
		b.AddLoad(id, Load{Requests: 1, Tokens: 4000})
	}
	pick(t, b, req, start)
	for _, id := range []string{"a2", "b1", "b2"} {
		b.AddLoad(id, Load{Requests: 1, Tokens: 1})
	}
	_, reason := b.Pick(req, start)
	assert.Equal(t, Full, reason, "half of the KV cache of four engines is kept for the generations of two")
	assert.Equal(t, Chosen, func() Reason { _, reason := b.Pick(Request{Tokens: 5000}, start); return reason }(), "requests may still use it")

	small := New(rand.New(rand.NewPCG(1, 2)).IntN, nil, nil)
	small.Configure(Settings{Domain: "west-a", Region: "west", KVTokens: 10000})
	small.SetServers(list[:2])
	_, reason = small.Pick(req, start)
	assert.Equal(t, Full, reason, "two engines have no capacity for standby replicas")
}

// Guards against a request to a server that refuses requests, also while all others are ejected, and against
// one that is held back although a server accepts it.
func TestRefusingServersAreNotPicked(t *testing.T) {
	refusals := serverstate.NewRefusals(func() float64 { return 0 })
	b := New(rand.New(rand.NewPCG(1, 2)).IntN, nil, refusals)
	list := []Server{{ID: "a", StartTime: 1}, {ID: "b", StartTime: 1}}
	b.SetServers(list)
	refusals.Observe(list[0].Process(), 2*time.Second, start)
	for range 20 {
		s, reason := b.Pick(Request{}, start)
		assert.Equal(t, "b", s.ID)
		assert.Equal(t, Chosen, reason)
	}
	_, ok := b.PromiseReturn(Request{})
	assert.False(t, ok, "one does not refuse")
	_, ok = b.PromiseReturn(Request{Exclude: []string{"b"}})
	assert.True(t, ok, "the only candidate")
	b.RecordFailure("b", start)
	s, _ := b.Pick(Request{}, start)
	assert.Equal(t, "b", s.ID, "ejected, but not refusing")
	refusals.Observe(list[1].Process(), time.Second, start)
	_, reason := b.Pick(Request{}, start)
	assert.Equal(t, Refused, reason)
	_, reason = b.Pick(Request{Exclude: []string{"a", "b"}}, start)
	assert.Equal(t, NoCandidate, reason)
	at, ok := b.ReturnsAt(Request{})
	assert.True(t, ok)
	assert.Equal(t, start.Add(time.Second), at)
	promised, _ := b.PromiseReturn(Request{})
	assert.False(t, promised.Before(at))
	b.AddRequest("b", Load{Requests: 1}, at)
	_, reason = b.Pick(Request{}, at)
	assert.Equal(t, Refused, reason, "the first request is under way")
	list[0].StartTime = 2
	b.SetServers(list)
	s, _ = b.Pick(Request{}, start)
	assert.Equal(t, "a", s.ID, "another process at the address")
}
