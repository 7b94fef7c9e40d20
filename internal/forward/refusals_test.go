package forward

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/relay"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/reservedport"
)

// newRefusalGateway returns a gateway with engines of a KV cache of 100 tokens, all started at 1.
func newRefusalGateway(ids ...string) (*Gateway, map[string]balance.Server) {
	opts := Options{HostID: "host-0", Domain: "west-a", Region: "west", Log: zerolog.Nop()}
	g := &Gateway{opts: opts, balancers: newBalancers(opts, &Metrics{})}
	entries, servers := map[string]*directory.Server{}, map[string]balance.Server{}
	for _, id := range ids {
		entries[id] = &directory.Server{Backend: fleet.Backend{ID: id, StartTime: 1, Address: id, Service: "model", Domain: "west-a", Region: "west", Slots: 6}}
		servers[id] = balance.Server{ID: id, StartTime: 1, Address: id, Domain: "west-a", Region: "west", Slots: 6}
	}
	g.balancers.applySnapshot(&directory.Snapshot{Servers: entries, Table: &route.Table{Services: map[string]*route.Service{
		"model": {Name: "model", Engine: &route.Engine{KVTokens: 100, CanReplicate: true}},
	}}})
	return g, servers
}

func (g *Gateway) refuse(server balance.Server, d time.Duration) {
	now := time.Now()
	g.observeRefusal(server, serverstate.Answer{RefusesFor: d}, now, now)
}

// Guards against a request that goes on waiting for a server that begins to refuse for longer than it may wait,
// and against one that is rejected although a server returns in time.
func TestRequestsDoNotWaitForRefusingServers(t *testing.T) {
	g, servers := newRefusalGateway("a")
	full, _ := g.balancers.acquire(context.Background(), "model", balance.Request{Tokens: 100}, sender{}, 0)
	require.NotNil(t, full)
	time.AfterFunc(50*time.Millisecond, func() { g.refuse(servers["a"], 5*time.Second) })
	start := time.Now()
	res, reason := g.balancers.acquire(context.Background(), "model", balance.Request{Tokens: 10}, sender{}, 2*time.Second)
	assert.Nil(t, res)
	assert.Equal(t, balance.Refused, reason)
	assert.Less(t, time.Since(start), time.Second)
	start = time.Now()
	_, reason = g.balancers.acquire(context.Background(), "model", balance.Request{Tokens: 10}, sender{}, 2*time.Second)
	assert.Equal(t, balance.Refused, reason)
	assert.Less(t, time.Since(start), 500*time.Millisecond)
	after := g.balancers.refusedRetryAfter("model", balance.Request{})
	assert.Greater(t, after, 4*time.Second)
	assert.Less(t, after, 8*time.Second)

	g, servers = newRefusalGateway("a")
	g.refuse(servers["a"], 100*time.Millisecond)
	res, _ = g.balancers.acquire(context.Background(), "model", balance.Request{Tokens: 10}, sender{}, time.Second)
	assert.NotNil(t, res, "the server returns in time")
}

// Guards against migration targets, standby replicas and control calls at a server that refuses, and against
// a refusal that another process at the address inherits.
func TestEveryKindOfSendHeedsRefusals(t *testing.T) {
	g, servers := newRefusalGateway("a", "b", "c", "d")
	for _, id := range []string{"b", "c", "d"} {
		g.refuse(servers[id], time.Minute)
	}
	source := servers["a"]
	_, reason := g.balancers.acquire(context.Background(), "model", balance.Request{Tokens: 10, Source: &source, Exclude: []string{"a"}}, sender{}, 0)
	assert.Equal(t, balance.Refused, reason, "migration target")
	assert.Nil(t, g.balancers.acquireStandby("model", balance.Request{Tokens: 10, Source: &source, Standby: true, Exclude: []string{"a"}}))
	assert.False(t, g.balancers.takeRate("b", 1), "load report")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := (&controlCalls{g: g}).Report(ctx, "b")
	assert.ErrorIs(t, err, errRefused)
	r := &request{g: g}
	assert.Error(t, r.checkRefusal(servers["b"]), "resume at a server reserved before")
	assert.NoError(t, r.checkRefusal(servers["a"]))
	next := servers["b"]
	next.StartTime = 2
	assert.NoError(t, r.checkRefusal(next))
	assert.True(t, g.balancers.takeRate("b", 2))
}

// Guards against requests within a refusal whose answer arrives after the store has listed the process that refused, and against
// a new process elsewhere that inherits the refusal of the former one.
func TestLateRefusalOfProcessListedMeanwhile(t *testing.T) {
	for address, refuses := range map[string]bool{"a": true, "elsewhere": false} {
		g, servers := newRefusalGateway("a")
		g.balancers.applySnapshot(&directory.Snapshot{Servers: map[string]*directory.Server{
			"a": {Backend: fleet.Backend{ID: "a", StartTime: 2, Address: address, Service: "model", Domain: "west-a", Region: "west", Slots: 6}},
		}})
		g.refuse(servers["a"], time.Minute)
		assert.Equal(t, refuses, g.balancers.refuses(balance.Server{ID: "a", StartTime: 2, Address: address}), address)
	}
}

// Guards against a generation that is lost with its engine because all other engines of the region refuse
// requests, although another region has one.
func TestMigrationLeavesRegionWhoseEnginesRefuse(t *testing.T) {
	for _, c := range []struct {
		refusal time.Duration
		target  string
	}{{5 * time.Second, "far"}, {250 * time.Millisecond, ""}} {
		g, servers := newRefusalGateway("source", "near")
		g.opts.Directory = directory.New(directory.Options{})
		far := &directory.Server{Backend: fleet.Backend{ID: "far", StartTime: 1, Address: "far", Service: "model", Domain: "east-a", Region: "east", Slots: 6}}
		entries := map[string]*directory.Server{"far": far}
		for id := range servers {
			entries[id] = &directory.Server{Backend: fleet.Backend{ID: id, StartTime: 1, Address: id, Service: "model", Domain: "west-a", Region: "west", Slots: 6}}
		}
		g.balancers.applySnapshot(&directory.Snapshot{Servers: entries, Table: &route.Table{Services: map[string]*route.Service{
			"model": {Name: "model", Engine: &route.Engine{KVTokens: 100}},
		}}})
		g.pool = connection.NewPoolSize(1)
		g.refuse(servers["near"], c.refusal)
		ctx, cancel := context.WithCancel(t.Context())
		r := &request{g: g, ctx: ctx, service: "model", route: &route.Route{}}
		m := &migration{source: servers["source"], tokensPerEvent: 1}
		gen := &generation{r: r, reservation: &reservation{server: m.source}, relay: relay.New(time.Now()), sourceEnded: make(chan struct{})}
		gen.chooseTarget(m, []string{"source"})
		if c.target == "" {
			assert.Nil(t, m.target, "the engine of the region returns soon")
			assert.Greater(t, gen.targetWait(m), copyRetryInterval)
		} else if assert.NotNil(t, m.target) {
			assert.Equal(t, c.target, m.target.server.ID)
		}
		cancel()
	}
}

// Guards against a stream that breaks although its engine has certainly ended, because that refused requests
// before and is not asked.
func TestGenerationOfEndedEngineThatRefusedResumes(t *testing.T) {
	// Nothing else may listen on the port once the engine has ended.
	l, release, err := reservedport.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, release()) })
	address := l.Addr().String()
	g, servers := newRefusalGateway(address)
	g.opts.EngineClient = &controlCalls{g: g}
	g.refuse(servers[address], time.Minute)
	m := &migration{source: servers[address], preCopy: CopyResult{Handle: "h"}, target: &reservation{}}
	gen := &generation{r: &request{g: g, ctx: t.Context()}, reservation: &reservation{server: m.source}, migration: m}
	assert.False(t, gen.canResume(m), "the engine may run the generation")
	require.NoError(t, l.Close())
	assert.True(t, gen.canResume(m), "the engine refuses connections")
}
