package forward

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// newLimitedBalancers returns balancers of one host with servers of service "desk", each with a limit in
// requests per second; 0 for none.
func newLimitedBalancers(limits map[string]float64) *balancers {
	bs := newBalancers(Options{HostID: "host-0", Domain: "west-a", Region: "west", Log: zerolog.Nop()}, &Metrics{})
	servers := map[string]*directory.Server{}
	for id := range limits {
		servers[id] = &directory.Server{Backend: fleet.Backend{ID: id, StartTime: 1, Address: id, Service: "desk", Domain: "west-a", Region: "west", Slots: 6}}
	}
	bs.applySnapshot(&directory.Snapshot{Servers: servers, Hosts: map[string]fleet.Host{"host-0": {}}})
	for id, limit := range limits {
		if limit > 0 {
			bs.observeRateLimit(id, 1, ratelimit.Observation{Limit: limit, SentAt: time.Now(), At: time.Now()})
		}
	}
	return bs
}

// drain takes the tokens that the servers have now, and two more of each.
func drain(bs *balancers, servers ...string) {
	for {
		res, _ := bs.acquire(context.Background(), "desk", balance.Request{}, sender{}, 0)
		if res == nil {
			break
		}
		res.release(false)
	}
	for _, id := range servers {
		bs.chargeRate(id)
		bs.chargeRate(id)
	}
}

// Guards against a request that waits for a token that cannot come in its time: it is rejected at once, with a
// Retry-After that differs from that of the next one. While another server has room, no request waits.
func TestRequestsBeyondRateLimitsAreRejectedAtOnce(t *testing.T) {
	bs := newLimitedBalancers(map[string]float64{"a": 2, "b": 2})
	drain(bs, "a", "b")
	start := time.Now()
	var last time.Duration
	for range 5 {
		res, reason := bs.acquire(context.Background(), "desk", balance.Request{}, sender{}, 100*time.Millisecond)
		require.Nil(t, res)
		require.Equal(t, balance.RateLimited, reason)
		after := bs.rateRetryAfter("desk", balance.Request{})
		assert.GreaterOrEqual(t, after, last)
		last = after
	}
	assert.Less(t, time.Since(start), 400*time.Millisecond, "five waits take 500 ms")
	assert.Greater(t, last, 1500*time.Millisecond, "a debt of two tokens and three requests at one of the servers")

	withRoom := newLimitedBalancers(map[string]float64{"a": 0.5, "b": 0})
	for range 20 {
		res, _ := withRoom.acquire(context.Background(), "desk", balance.Request{}, sender{}, 0)
		require.NotNil(t, res)
	}
}

// Guards against a team or a less urgent class that takes the tokens of the others while all servers are
// limited: the most urgent waits least, and teams take turns whatever the number of their requests.
func TestTokensAreSharedByPriorityAndTeam(t *testing.T) {
	bs := newLimitedBalancers(map[string]float64{"a": 5})
	drain(bs, "a") // no token is available while the requests arrive
	var mu sync.Mutex
	var served []string
	waiting := 0
	var wg sync.WaitGroup
	begin := func(name string, from sender) {
		wg.Go(func() {
			res, _ := bs.acquire(context.Background(), "desk", balance.Request{}, from, 5*time.Second)
			if res == nil {
				return
			}
			mu.Lock()
			served = append(served, name)
			mu.Unlock()
			res.release(false)
		})
		waiting++
		require.Eventually(t, func() bool {
			bs.mu.Lock()
			defer bs.mu.Unlock()
			return len(bs.service("desk").waiters) == waiting
		}, 5*time.Second, time.Millisecond)
	}
	for range 4 {
		begin("large", sender{priority: 1, team: "large"})
	}
	begin("small", sender{priority: 1, team: "small"})
	begin("small", sender{priority: 1, team: "small"})
	begin("urgent", sender{priority: 0, team: "large"})
	wg.Wait()
	assert.Equal(t, []string{"urgent", "large", "small", "large", "small", "large", "large"}, served)
}

// Guards against control calls and resumes that do not count against a rate limit.
func TestCallsWithoutReservationAreCharged(t *testing.T) {
	bs := newLimitedBalancers(map[string]float64{"a": 0.5})
	drain(bs, "a")
	assert.False(t, bs.takeRate("a", 1))
	before := bs.rateRetryAfter("desk", balance.Request{})
	bs.chargeRate("a")
	bs.chargeRate("a")
	assert.Greater(t, bs.rateRetryAfter("desk", balance.Request{}), before+3*time.Second)
	assert.True(t, bs.takeRate("unlimited", 1))
}
