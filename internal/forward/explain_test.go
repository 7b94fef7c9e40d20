package forward

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

func newExplainTest() (*Gateway, *directory.Snapshot) {
	clock := func() time.Duration { return time.Hour }
	d := directory.New(directory.Options{Clock: clock, Log: zerolog.Nop()})
	opts := Options{HostID: "host-1", Domain: "west-a", Region: "west", Log: zerolog.Nop(), Directory: d, Clock: clock}
	g := &Gateway{opts: opts, pool: connection.NewPoolSize(1)}
	g.bounds.Store(&opts.Bounds)
	g.balancers = newBalancers(opts, &g.Metrics)
	server := func(id, domain, region string) *directory.Server {
		return &directory.Server{Backend: fleet.Backend{ID: id, Service: "model", Address: id, Domain: domain, Region: region, Slots: 8, StartTime: 1}}
	}
	s := &directory.Snapshot{
		Complete: true, DomainsOut: map[string]bool{"west-c": true}, Hosts: map[string]fleet.Host{"host-1": {ID: "host-1"}},
		Servers: map[string]*directory.Server{
			"near": server("near", "west-a", "west"), "far": server("far", "north-a", "north"), "leaving": server("leaving", "west-a", "west"),
			"out": server("out", "west-c", "west"), "east": server("east", "east-a", "east"),
		},
		Table: route.New(route.Document{
			Version: 7, Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 8, KVTokens: 10000, EventTokens: 4}}, {Name: "empty"}},
			Routes: []route.Route{
				{Name: "chat", Host: "api.example", PathPrefix: "/chat/", Kind: route.Stream, Priority: 3, Timeout: 9 * time.Second, Objective: 2 * time.Second,
					Regions: []string{"west", "north"}, Targets: []route.Target{{Service: "empty", Weight: 1}, {Service: "model", Weight: 3}}},
				{Name: "none", Host: "api.example", PathPrefix: "/none/", Public: true, Targets: []route.Target{{Service: "empty", Weight: 1}}},
			},
			Teams: []route.TeamKeys{{Team: route.Team{Name: "t1"}, Keys: []string{"k1"}}},
		}),
	}
	s.Servers["leaving"].Leaving = true
	g.balancers.applySnapshot(s)
	return g, s
}

// Guards against explanations that differ from what admission does, and against those that reserve, count or wait.
func TestExplainFollowsAdmissionAndReservesNothing(t *testing.T) {
	g, s := newExplainTest()
	g.balancers.setPeerLoad(map[string]balance.Load{"near": {Requests: 1, Tokens: 9500}, "far": {Requests: 1, Tokens: 100}, "leaving": {Requests: 2}}, nil, nil)
	query := ExplainQuery{Host: "API.example:443", Path: "/chat/new?x=1", Team: "t1", PromptTokens: 1000, OutputTokens: 400}
	e := g.explain(s, query)
	assert.Equal(t, OutcomeSent, e.Outcome)
	assert.Nil(t, e.Rejected)
	assert.Equal(t, []any{"chat", KindGeneration, "model", 3, int64(9000), "far", int64(7)}, []any{e.Route, e.Kind, e.Service, e.Priority, e.DeadlineMS, e.Chosen, e.ConfigVersion})
	assert.Equal(t, []ExplainService{{"empty", 1}, {"model", 3}}, e.Services)
	require.Len(t, e.Candidates, 5)
	excluded, state := map[string][]balance.Exclusion{}, g.balancers.services["model"]
	for _, c := range e.Candidates {
		excluded[c.ID] = c.Excluded
		assert.Equal(t, c.ID == "far", c.Cost != nil, c.ID)
	}
	assert.Equal(t, map[string][]balance.Exclusion{
		"near": {balance.ExcludedKVFull}, "far": nil, "leaving": {balance.ExcludedTerminating}, "out": {balance.ExcludedDomainOut}, "east": {balance.ExcludedRegion},
	}, excluded)
	for range 10 {
		g.explain(s, query)
	}
	assert.Empty(t, g.balancers.ownLoad())
	assert.Empty(t, state.waiters)
	assert.NotContains(t, g.balancers.services, "empty")
	assert.Zero(t, g.Metrics.Requests.Load())

	// With both full, a request waits for half of the objective.
	g.balancers.setPeerLoad(map[string]balance.Load{"near": {Tokens: 9500}, "far": {Tokens: 9500}}, nil, nil)
	e = g.explain(s, query)
	assert.Equal(t, []any{OutcomeWaits, "full", "", int64(1000)}, []any{e.Outcome, e.Reason, e.Chosen, e.WaitsMS})
	assert.Empty(t, state.waiters)
}

// Guards against explanations that name a server for a request that the host would reject.
func TestExplainNamesRejections(t *testing.T) {
	for name, c := range map[string]struct {
		query   ExplainQuery
		arrange func(*Gateway, *directory.Snapshot)
		code    string
	}{
		"no configuration": {ExplainQuery{}, func(_ *Gateway, s *directory.Snapshot) { s.Table = nil }, "no_configuration"},
		"no route":         {ExplainQuery{Host: "api.example", Path: "/other"}, nil, "no_route"},
		"no key":           {ExplainQuery{Host: "api.example", Path: "/chat/"}, nil, "unknown_key"},
		"unknown team":     {ExplainQuery{Host: "api.example", Path: "/chat/", Team: "t2"}, nil, "unknown_key"},
		"no server":        {ExplainQuery{Host: "api.example", Path: "/none/"}, nil, "no_backend_none"},
		"old keys": {ExplainQuery{Host: "api.example", Path: "/chat/", Team: "t1"}, func(g *Gateway, _ *directory.Snapshot) {
			g.bounds.Store(&Bounds{StrictRevoke: true, RevokeBound: time.Second})
		}, "keys_not_current"},
		"shutdown": {ExplainQuery{Host: "api.example", Path: "/chat/", Team: "t1"}, func(g *Gateway, _ *directory.Snapshot) { g.StartShutdown(time.Second) }, codeHostStops},
	} {
		t.Run(name, func(t *testing.T) {
			g, s := newExplainTest()
			if c.arrange != nil {
				c.arrange(g, s)
			}
			e := g.explain(s, c.query)
			require.NotNil(t, e.Rejected)
			assert.Equal(t, []string{OutcomeRejected, c.code}, []string{e.Outcome, e.Rejected.Code})
		})
	}
}

// Guards against explanations that hide a roll-out: below half of the requests, the request is explained as not exposed.
func TestExplainDescribesRollout(t *testing.T) {
	r := newRolloutTest(t, 5*time.Second, nil)
	r.apply()
	r.rollout = &fleet.Rollout{Service: "desk", Target: "v2", Ramp: time.Minute}
	r.servers["n1"] = "v2"
	r.apply()
	s := *r.bs.snapshot
	s.Table = route.New(route.Document{
		Services: []route.Service{{Name: "desk"}}, Routes: []route.Route{{Name: "read", Host: "a", PathPrefix: "/", Targets: []route.Target{{Service: "desk", Weight: 1}}}},
	})
	before := r.bs.services["desk"].tracker.Status(time.Now())
	e := r.g.explain(&s, ExplainQuery{Host: "a", Path: "/"})
	require.NotNil(t, e.Rollout)
	assert.Equal(t, []any{"v2", "canary", false}, []any{e.Rollout.Target, e.Rollout.Phase, e.Rollout.Exposed})
	assert.Contains(t, []string{"o1", "o2"}, e.Chosen)
	assert.Equal(t, "n1", e.Candidates[2].ID)
	assert.Equal(t, []balance.Exclusion{balance.ExcludedVersion}, e.Candidates[2].Excluded)
	after := r.bs.services["desk"].tracker.Status(time.Now())
	assert.Equal(t, []int64{before.Requests, before.Exposed}, []int64{after.Requests, after.Exposed})
}

// Guards against an explanation in a deployment with groups that presents the host's own choice as the one that is made, or that
// asks the aggregator.
func TestExplainNamesAggregator(t *testing.T) {
	g, s := newExplainTest()
	g.opts.GossipStatus = func() gossip.Status {
		return gossip.Status{Aggregator: "host-4", PeerAgesMS: map[string]int64{"host-4": 70, "host-5": 400}, DigestAgesMS: []gossip.DigestAgeStatus{{AgeMS: 300}}}
	}
	g.balancers.opts.Place = func(context.Context, gossip.PlacementRequest) (gossip.Placement, bool) {
		t.Error("the aggregator was asked")
		return gossip.Placement{}, false
	}
	query := ExplainQuery{Host: "api.example", Path: "/chat/", Team: "t1", PromptTokens: 100}
	assert.False(t, g.explain(s, query).PlacedByGroup)
	for i := range topology.MaxMesh + 1 {
		id := fmt.Sprint("host-", i)
		s.Hosts[id] = fleet.Host{ID: id, Region: "west", Domain: "west-a"}
	}
	many := *s
	many.Hosts = maps.Clone(s.Hosts)
	g.balancers.applySnapshot(&many)
	e := g.explain(&many, query)
	g.addStatus(&e)
	assert.Equal(t, []any{true, "host-4", int64(70)}, []any{e.PlacedByGroup, e.Aggregator, *e.PeersAgeMS})
	assert.Equal(t, "near", e.Chosen)
	assert.Len(t, e.Notes, 2)
}
