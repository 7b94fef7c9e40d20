package forward

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/directory"
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
	excluded := map[string][]balance.Exclusion{}
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
	state := g.balancers.services["model"]
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
