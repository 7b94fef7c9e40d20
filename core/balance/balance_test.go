package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func engines() *Balancer {
	b := New(rand.New(rand.NewPCG(1, 2)).IntN)
	b.Configure(Settings{Domain: "west-a", Region: "west", KVTokens: 10000})
	b.SetServers([]Server{
		{ID: "w1", Address: "w1", Domain: "west-a", Region: "west", Slots: 64},
		{ID: "w2", Address: "w2", Domain: "west-a", Region: "west", Slots: 64},
		{ID: "e1", Address: "e1", Domain: "east-a", Region: "east", Slots: 64},
	})
	return b
}

func pick(t *testing.T, b *Balancer, job Request, now time.Time) string {
	t.Helper()
	s, why := b.Pick(job, now)
	require.Equal(t, Chosen, why)
	return s.ID
}

// Pattern: several hosts send to the same engines. The work of the others,
// which the host learns by gossip, must count like its own.
func TestWorkOfOtherHostsCounts(t *testing.T) {
	b := engines()
	b.SetPeerLoad(map[string]Load{"w1": {Requests: 2, Tokens: 3000}})
	assert.Equal(t, "w2", pick(t, b, Request{Tokens: 1000}, start))
	b.AddRequest("w2", Load{Requests: 1, Tokens: 4000}, start)
	assert.Equal(t, "w1", pick(t, b, Request{Tokens: 1000}, start))
}

// Pattern: a burst of long prompts. They are read one after another, so an
// engine with less memory in use may still answer later.
func TestPromptsStillToBeReadWeighMoreThanMemory(t *testing.T) {
	b := engines()
	b.AddRequest("w1", Load{Requests: 1, Tokens: 2000, Prefill: 2000}, start)
	b.AddRequest("w2", Load{Requests: 1, Tokens: 3000}, start)
	assert.Equal(t, "w2", pick(t, b, Request{Tokens: 1000}, start))
	b.RemoveLoad("w1", Load{Prefill: 2000})
	assert.Equal(t, "w1", pick(t, b, Request{Tokens: 1000}, start))
}

// Pattern: uneven load between regions. Another region is chosen only if it is
// clearly emptier.
func TestAnotherRegionOnlyIfClearlyEmptier(t *testing.T) {
	b := engines()
	b.SetPeerLoad(map[string]Load{"w1": {Tokens: 3000}, "w2": {Tokens: 3000}})
	assert.NotEqual(t, "e1", pick(t, b, Request{Tokens: 1000}, start))
	b.SetPeerLoad(map[string]Load{"w1": {Tokens: 8000}, "w2": {Tokens: 8000}})
	assert.Equal(t, "e1", pick(t, b, Request{Tokens: 1000}, start))
}

// Pattern: more work than memory. A full engine preempts, so the request waits;
// an empty one takes a request that is larger than its memory.
func TestFullEnginesMakeRequestsWait(t *testing.T) {
	b := engines()
	b.SetPeerLoad(map[string]Load{"w1": {Tokens: 9500}, "w2": {Tokens: 9500}, "e1": {Tokens: 9500}})
	_, why := b.Pick(Request{Tokens: 1000}, start)
	assert.Equal(t, Full, why)
	b.SetPeerLoad(nil)
	_, why = b.Pick(Request{Tokens: 20000}, start)
	assert.Equal(t, Chosen, why)
	_, why = b.Pick(Request{Allowed: func(string) bool { return false }}, start)
	assert.Equal(t, NoCandidate, why)
}

// Pattern: an engine is reclaimed. Its runs go to engines near it, which may be
// full by estimate: a run that is not moved is lost.
func TestMovedRunsStayNearTheirSource(t *testing.T) {
	b := engines()
	b.SetPeerLoad(map[string]Load{"w1": {Tokens: 9900}, "w2": {Tokens: 9900}})
	source := Server{ID: "w1", Domain: "west-a", Region: "west"}
	assert.Equal(t, "w2", pick(t, b, Request{Tokens: 1000, Exclude: []string{"w1"}, Source: &source}, start))
}

// Pattern: all hosts see the same empty engine. Each keeps to its part of what
// a cold one bears.
func TestRatePerServerIsBounded(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 2)).IntN)
	b.Configure(Settings{Rate: DivideRate(5, 2, "host")})
	b.SetServers([]Server{{ID: "s", Slots: 100}})
	for range 2 {
		b.AddRequest(pick(t, b, Request{}, start), Load{Requests: 1}, start)
	}
	_, why := b.Pick(Request{}, start.Add(999*time.Millisecond))
	assert.Equal(t, Full, why)
	_, why = b.Pick(Request{}, start.Add(time.Second))
	assert.Equal(t, Chosen, why)
}

// Pattern: a server that fails while its entry is good. It is passed over for a
// time that doubles, and used at once if there is no other.
func TestFailedServersArePassedOver(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 2)).IntN)
	b.SetServers([]Server{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}})
	b.RecordFailure("a", start)
	for range 20 {
		assert.Equal(t, "b", pick(t, b, Request{}, start.Add(suspectMin-1)))
	}
	b.RecordFailure("a", start)
	b.AddRequest("b", Load{Requests: 5}, start)
	assert.Equal(t, "b", pick(t, b, Request{}, start.Add(2*suspectMin-1)))
	assert.Equal(t, "a", pick(t, b, Request{}, start.Add(2*suspectMin)))
	assert.Equal(t, "a", pick(t, b, Request{Exclude: []string{"b"}}, start))
	b.RecordSuccess("a")
	assert.Equal(t, "a", pick(t, b, Request{}, start))
}

// Pattern: plain servers with few slots, one in each region. A round trip to
// another region costs more than a short queue.
func TestPlainRequestsStayInTheRegionWhileThereAreSlots(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 2)).IntN)
	b.Configure(Settings{Domain: "west-a", Region: "west"})
	b.SetServers([]Server{{ID: "w", Domain: "west-a", Region: "west", Slots: 6}, {ID: "e", Domain: "east-a", Region: "east", Slots: 6}})
	b.AddRequest("w", Load{Requests: 4}, start)
	assert.Equal(t, "w", pick(t, b, Request{}, start))
	b.AddRequest("w", Load{Requests: 2}, start)
	assert.Equal(t, "e", pick(t, b, Request{}, start))
}

// The work at a server that left must not stay in the books for ever.
func TestWorkAtDepartedServersIsForgottenAtItsEnd(t *testing.T) {
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

// Pattern: more hosts than a cold server bears requests a second, all of which
// see the same empty server. Together they keep to the rate, and every host has
// servers to use.
func TestRateIsDividedAmongManyHosts(t *testing.T) {
	const all, hosts, servers = 50.0, 200, 71
	using := map[string]int{}
	for h := range hosts {
		rate := DivideRate(all, hosts, fmt.Sprint("host-", h))
		usable := 0
		for s := range servers {
			if id := fmt.Sprint("server-", s); rate.allows(id) {
				using[id] += rate.PerSecond
				usable++
			}
		}
		assert.NotZero(t, usable)
	}
	for id, n := range using {
		assert.LessOrEqual(t, float64(n), all, id)
	}
	assert.Equal(t, Rate{PerSecond: 5}, DivideRate(all, 9, "x"))
}

// Pattern: a calm site, where servers are equal most of the time. If hosts
// favoured one of them, all would send to the same.
func TestEqualServersAreChosenEquallyOften(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 2)).IntN)
	b.SetServers([]Server{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}, {ID: "c", Slots: 6}})
	counts := map[string]int{}
	for range 3000 {
		counts[pick(t, b, Request{}, start)]++
	}
	for _, id := range []string{"a", "b", "c"} {
		assert.InDelta(t, 1000, counts[id], 100, id)
	}
}

// Pattern: engines die without notice, and others are reclaimed two at a time. A
// copy is held ahead in the region of its run, but not in memory that the runs of
// two more engines would need.
func TestStandbysLeaveRoomForTheRunsOfTwoEngines(t *testing.T) {
	b := New(rand.New(rand.NewPCG(1, 2)).IntN)
	b.Configure(Settings{Domain: "west-a", Region: "west", KVTokens: 10000})
	list := []Server{
		{ID: "a1", Domain: "west-a", Region: "west"}, {ID: "a2", Domain: "west-a", Region: "west"},
		{ID: "b1", Domain: "west-b", Region: "west"}, {ID: "b2", Domain: "west-b", Region: "west"},
	}
	b.SetServers(list)
	job := Request{Tokens: 1000, Exclude: []string{"a1"}, Source: &list[0], Standby: true}
	first := pick(t, b, job, start)
	assert.Contains(t, []string{"b1", "b2"}, first, "an outage of west-a must not take the run and its copy")
	for _, id := range []string{"a2", "b1", "b2"} {
		b.AddLoad(id, Load{Requests: 1, Tokens: 4000})
	}
	pick(t, b, job, start)
	for _, id := range []string{"a2", "b1", "b2"} {
		b.AddLoad(id, Load{Requests: 1, Tokens: 1})
	}
	_, why := b.Pick(job, start)
	assert.Equal(t, Full, why, "half of the memory of four engines is kept for the runs of two")
	assert.Equal(t, Chosen, func() Reason { _, why := b.Pick(Request{Tokens: 5000}, start); return why }(), "requests still get it")

	small := New(rand.New(rand.NewPCG(1, 2)).IntN)
	small.Configure(Settings{Domain: "west-a", Region: "west", KVTokens: 10000})
	small.SetServers(list[:2])
	_, why = small.Pick(job, start)
	assert.Equal(t, Full, why, "two engines have nothing to spare")
}
