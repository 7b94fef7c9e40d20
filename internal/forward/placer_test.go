package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/outlier"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// groupSnapshot is a deployment of many hosts in two regions with engines in each.
func groupSnapshot(hosts, engines int, coldPerSecond float64) *directory.Snapshot {
	s := &directory.Snapshot{
		Table: route.New(route.Document{Version: 1, Services: []route.Service{
			{Name: "model", ColdPerSecond: coldPerSecond, Engine: &route.Engine{Slots: 24, KVTokens: 33000, CanMigrate: true, EventTokens: 4}}, {Name: "desk"},
		}}),
		Servers: map[string]*directory.Server{}, Hosts: map[string]fleet.Host{},
	}
	for i := range hosts {
		id := fmt.Sprint("host-", i)
		s.Hosts[id] = fleet.Host{ID: id, Region: []string{"west", "east"}[i%2]}
	}
	for i := range engines {
		id := fmt.Sprint("engine-", i)
		s.Servers[id] = &directory.Server{Backend: fleet.Backend{
			ID: id, StartTime: 1, Service: "model", Address: id, Domain: fmt.Sprint([]string{"west", "east"}[i%2], "-a"), Region: []string{"west", "east"}[i%2], Slots: 24,
		}}
	}
	return s
}

func newGroupBalancers(host string, s *directory.Snapshot) *balancers {
	bs := newBalancers(Options{HostID: host, Domain: "west-a", Region: "west", Log: zerolog.Nop(), Bounds: Bounds{ColdFactor: 1.5, ColdExtra: 5}}, &Metrics{})
	bs.applySnapshot(s)
	return bs
}

// Guards against placements that pile up on the engine that is best by the last report: each placement counts at once.
// Pattern: many hosts place generations between two reports of their load.
func TestPlacementsCountAtOnce(t *testing.T) {
	bs := newGroupBalancers("host-0", groupSnapshot(60, 20, 19))
	count := map[string]int{}
	for i := range 40 {
		p := bs.place(fmt.Sprint("host-", 2*(i%29)+2), gossip.PlacementRequest{Service: "model", Tokens: 3000, Prefill: 3000})
		require.NotEmpty(t, p.Server)
		count[p.Server]++
	}
	for i := 0; i < 20; i += 2 { // those of the region
		n := count[fmt.Sprint("engine-", i)]
		assert.GreaterOrEqual(t, n, 2)
		assert.LessOrEqual(t, n, 4)
	}
}

// Guards against a cold engine that gets more than its limit: the placements of two aggregators and the quotas of all
// hosts for their own choices stay within it.
func TestPlacementsStayWithinTheColdLimit(t *testing.T) {
	for _, hosts := range []int{25, 60, 295} {
		s := groupSnapshot(hosts, 1, 19)
		sum := 0
		for i := range hosts {
			bs := newGroupBalancers(fmt.Sprint("host-", i), s)
			bs.opts.Region = s.Hosts[fmt.Sprint("host-", i)].Region
			bs.hosts, bs.division, bs.quotas = nil, nil, map[string]*serviceQuotas{}
			bs.applySnapshot(s)
			for range 40 {
				server, reason := bs.service("model").balancer.Pick(balance.Request{}, time.Unix(1, 0))
				if reason != balance.Chosen {
					break
				}
				bs.service("model").balancer.AddRequest(server.ID, balance.Load{}, time.Unix(1, 0))
				sum++
			}
		}
		for range 2 {
			bs := newGroupBalancers("host-0", s)
			for range 40 {
				if bs.place("host-2", gossip.PlacementRequest{Service: "model"}).Server != "" {
					sum++
				}
			}
		}
		assert.LessOrEqual(t, sum, 33, "%d hosts, limit 19 x 1.5 + 5", hosts)
		assert.GreaterOrEqual(t, sum, 20)
	}
}

// Guards against load that is counted twice or stays for ever: a placement counts until a state of its host contains it,
// or until it is clear that the host did not use it.
func TestPlacementsEndWithTheStateOfTheirHost(t *testing.T) {
	bs := newGroupBalancers("host-0", groupSnapshot(60, 2, 0))
	q := gossip.PlacementRequest{Service: "model", Tokens: 3000, Prefill: 3000}
	first, second := bs.place("host-2", q), bs.place("host-4", q)
	placed := func() int { return bs.services["model"].placed.OwnLoad()["engine-0"].Requests }
	assert.Equal(t, 2, placed())
	assert.Greater(t, second.Number, first.Number)
	bs.setPeerLoad(nil, []gossip.Peer{{Host: "host-2", Placed: first.Number}, {Host: "host-4", Placed: first.Number}}, nil)
	assert.Equal(t, 1, placed())
	bs.place("host-0", q) // this host's own load counts without a state
	assert.Equal(t, 1, placed())
	bs.placer.pending["host-4"][0].at = time.Now().Add(-placementTimeout - time.Second)
	bs.place("host-6", gossip.PlacementRequest{Service: "model", Tokens: 1, Exclude: []string{"engine-0"}})
	assert.Equal(t, 0, placed())
}

// Guards against a server that the host itself must not use: the aggregator does not know whom the host ejected, which
// servers it tried and where a request may be served.
func TestHostsAcceptOnlyServersThatTheyUse(t *testing.T) {
	s := groupSnapshot(60, 4, 0)
	aggregator, member := newGroupBalancers("host-0", s), newGroupBalancers("host-2", s)
	var asked gossip.PlacementRequest
	answer := ""
	member.opts.Place = func(_ context.Context, r gossip.PlacementRequest) (gossip.Placement, bool) {
		asked = r
		if answer != "" {
			return gossip.Placement{Server: answer, Aggregator: "host-0", Number: 7}, true
		}
		return aggregator.place("host-2", r), true
	}
	member.service("model").balancer.RecordFailure("engine-0", time.Now())
	res := member.acquirePlaced(t.Context(), "model", balance.Request{Tokens: 10, Exclude: []string{"engine-2"}, Allowed: func(region string) bool { return region == "east" }})
	require.NotNil(t, res)
	assert.Equal(t, []string{"east"}, asked.Regions)
	assert.Equal(t, []string{"engine-0", "engine-2"}, asked.Exclude)
	assert.Equal(t, "east", res.server.Region)
	placed, loads := member.placedLoad()
	assert.Equal(t, 1, loads[res.server.ID].Requests)
	assert.NotZero(t, placed["host-0"])
	for name, request := range map[string]balance.Request{
		"ejected": {}, "excluded": {Exclude: []string{"engine-2"}}, "another region": {Allowed: func(region string) bool { return region == "east" }}, "unknown": {},
	} {
		answer = map[string]string{"ejected": "engine-0", "excluded": "engine-2", "another region": "engine-2", "unknown": "engine-9"}[name]
		assert.Nil(t, member.acquirePlaced(t.Context(), "model", request), name)
	}
	answer = ""
	assert.Nil(t, member.acquirePlaced(t.Context(), "model", balance.Request{Allowed: func(string) bool { return false }}), "no region")
	assert.Nil(t, member.acquirePlaced(t.Context(), "desk", balance.Request{}), "plain services")
	member.opts.Place = func(context.Context, gossip.PlacementRequest) (gossip.Placement, bool) {
		return gossip.Placement{}, false
	}
	res, reason := member.acquire(t.Context(), "model", balance.Request{Tokens: 10}, sender{}, 0)
	require.NotNil(t, res, "without an answer the host chooses: %s", reason)
}

// Guards against generations that are migrated to another region although the region of their engine has room.
func TestMigrationsArePlacedNearTheirSource(t *testing.T) {
	bs := newGroupBalancers("host-0", groupSnapshot(60, 8, 19))
	for range 3 {
		p := bs.place("host-2", gossip.PlacementRequest{Service: "model", Tokens: 3000, Source: "engine-1", Exclude: []string{"engine-1"}})
		assert.Contains(t, []string{"engine-3", "engine-5", "engine-7"}, p.Server)
	}
	assert.Empty(t, bs.place("host-2", gossip.PlacementRequest{Service: "model", Source: "unknown"}).Server)
}

// Guards against an engine that resets all requests and gets more than its part of them, since it looks idle: the
// aggregator does not place generations there after the failures that hosts of two failure domains report, nor for the
// hosts of a domain that fail there.
func TestEnginesAtWhichHostsFailGetNoPlacements(t *testing.T) {
	bs := newGroupBalancers("host-0", groupSnapshot(60, 4, 0))
	failing := []outlier.Report{{Process: serverstate.Process{ID: "engine-0", StartTime: 1}, Failures: 1}}
	place := func(domain string) string {
		return bs.place("host-2", gossip.PlacementRequest{Service: "model", Tokens: 1, Domain: domain}).Server
	}
	bs.setPeerLoad(nil, []gossip.Peer{{Host: "host-2", Domain: "west-a", Failures: failing}}, nil)
	for range 5 {
		assert.Equal(t, "engine-2", place("west-a"))
	}
	assert.Equal(t, "engine-0", place("west-b"))
	bs.setPeerLoad(nil, []gossip.Peer{{Host: "host-2", Domain: "west-a", Failures: failing}, {Host: "host-4", Domain: "west-b", Failures: failing}}, nil)
	for range 5 {
		assert.Equal(t, "engine-2", place("west-c"))
	}
	_, ejected := bs.failureReports()
	assert.Equal(t, []string{"engine-0"}, ejected)
	member := newGroupBalancers("host-2", groupSnapshot(60, 4, 0))
	member.setPeerLoad(nil, nil, ejected)
	server, _ := member.service("model").balancer.Pick(balance.Request{Tokens: 1}, time.Now())
	assert.Equal(t, "engine-2", server.ID, "a host that chooses by itself")
}

// Guards against failures that a host does not report, and against sound responses that count as failures.
func TestFailuresAreReported(t *testing.T) {
	bs := newGroupBalancers("host-0", groupSnapshot(9, 4, 0))
	for i, failed := range []bool{true, false, true} {
		res, _ := bs.acquire(t.Context(), "model", balance.Request{Exclude: []string{"engine-1", "engine-2", "engine-3"}}, sender{}, 0)
		require.NotNil(t, res, "%d", i)
		res.release(failed)
	}
	reports, _ := bs.failureReports()
	require.Len(t, reports, 1)
	assert.Equal(t, serverstate.Process{ID: "engine-0", StartTime: 1}, reports[0].Process)
	assert.EqualValues(t, 2, reports[0].Failures)
}
