package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// newPaceGateway returns a host with engines of which the third takes twice as long and the fourth is cold.
func newPaceGateway(mode LearnMode) (*Gateway, []balance.Server) {
	log := zerolog.Nop()
	d := directory.New(directory.Options{Log: log, Clock: func() time.Duration { return time.Hour }})
	g := New(Options{Directory: d, HostID: "host-1", Domain: "west-a", Region: "west", Clock: func() time.Duration { return time.Hour }, Log: log, LearnCapacity: mode})
	snapshot := &directory.Snapshot{Servers: map[string]*directory.Server{}, Table: &route.Table{Services: map[string]*route.Service{
		"model": {Name: "model", Engine: &route.Engine{KVTokens: 10000}},
	}}}
	var servers []balance.Server
	for i := range 4 {
		id := fmt.Sprint("e", i)
		s := &directory.Server{Backend: fleet.Backend{ID: id, StartTime: 1, Address: id, Service: "model", Domain: "west-a", Region: "west", Slots: 24}}
		if i == 3 {
			s.ColdUntil = 2 * time.Hour
		}
		snapshot.Servers[id] = s
		servers = append(servers, balance.Server{ID: id, StartTime: 1, Region: "west"})
		g.balancers.paces.server(snapshot, servers[i].Process()) // the directory of the test has no servers
	}
	g.balancers.applySnapshot(snapshot)
	return g, servers
}

func (g *Gateway) samplesForTest(servers []balance.Server, now time.Time) time.Time {
	random := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		now = now.Add(paceInterval)
		for i, s := range servers {
			factor := []float64{1, 1, 2, 5}[i]
			g.samplePace(s, "model", pace.Sample{Kind: gapKind, Value: factor * 0.04 * (0.8 + 0.4*random.Float64()), Weight: 1})
		}
		g.balancers.updatePaces(now, zerolog.Nop())
	}
	return now
}

// Guards against learned values where they were not asked for: samples, reports and costs without a stated pace, or with
// learning switched off. Also against a cold server whose speed is learned, and a process that is kept after its end.
func TestCapacityIsLearnedOnlyWhereStated(t *testing.T) {
	for _, c := range []struct {
		mode   LearnMode
		states bool
		learns bool
	}{{"", false, false}, {"", true, true}, {LearnOn, false, true}, {LearnOff, true, false}} {
		g, servers := newPaceGateway(c.mode)
		now := time.Unix(1000, 0)
		var state gossip.State
		peer := pace.Report{Process: servers[0].Process()}
		peer.Samples[0], peer.LogRatios[0] = 100, 100
		g.balancers.paces.setPeers([]pace.Report{peer})
		if c.states {
			g.observeStatedPace(servers[0], 100, now)
		}
		g.balancers.paces.setPeers(nil)
		now = g.samplesForTest(servers, now)
		state.Paces = g.balancers.paces.ownReports()
		paces := g.balancers.services["model"].balancer.Paces()
		assert.Equal(t, map[string]bool{"model": c.learns}, g.balancers.learnedServices(), c)
		if !c.learns {
			assert.Empty(t, state.Paces, c)
			assert.Nil(t, paces, c)
			assert.Empty(t, g.Paces(), c)
			continue
		}
		assert.Len(t, state.Paces, 3, c)
		assert.InDelta(t, 2, paces[servers[2].Process()].Speed, 0.3)
		assert.InDelta(t, 1, paces[servers[0].Process()].Speed, 0.15)
		assert.Equal(t, int64(1), g.balancers.paces.slow.Load())
		assert.Equal(t, "e0", g.Paces()[0].Backend)
		if c.states {
			g.observeStatedPace(servers[0], 250, now)
			g.balancers.updatePaces(now, zerolog.Nop())
			assert.Greater(t, g.balancers.paces.learners["model"].Slowdown(servers[0].Process(), now), 1.5)
		}
		g.balancers.applySnapshot(&directory.Snapshot{})
		g.balancers.updatePaces(now.Add(time.Second), zerolog.Nop())
		assert.Empty(t, g.balancers.paces.ownReports())
		_, known := g.balancers.paces.servers.Load(servers[0].Process())
		assert.False(t, known)
	}
}

// Guards against an aggregator that places generations without regard to the speeds that the hosts of its group report.
func TestPlacementsUseLearnedSpeeds(t *testing.T) {
	s := groupSnapshot(60, 8, 0)
	bs := newGroupBalancers("host-0", s)
	bs.paces.active.Store("model", struct{}{})
	var reports []pace.Report
	for i := range 4 {
		r := pace.Report{Process: serverstate.Process{ID: fmt.Sprint("engine-", 2*i), StartTime: 1}}
		r.Samples[2], r.LogRatios[2] = 100, 0
		if i == 0 {
			r.LogRatios[2] = 100
		}
		reports = append(reports, r)
	}
	bs.paces.setPeers(reports)
	bs.updatePaces(time.Now(), zerolog.Nop())
	count := map[string]int{}
	place := func(n int) {
		for range n {
			count[bs.place("host-2", gossip.PlacementRequest{Service: "model", Tokens: 1000, Prefill: 1000}).Server]++
		}
	}
	place(28)
	assert.Less(t, count["engine-0"], 4, count)
	place(82)
	assert.Greater(t, count["engine-0"], 4, "it is used when the others are full: %v", count)
	assert.Zero(t, count[""])
}

// The cost of the estimates at the size to design for; they are updated twice a second.
func BenchmarkUpdatePaces(b *testing.B) {
	s := groupSnapshot(60, 10000, 0)
	bs := newGroupBalancers("host-0", s)
	bs.paces.active.Store("model", struct{}{})
	var reports []pace.Report
	for id := range s.Servers {
		r := pace.Report{Process: serverstate.Process{ID: id, StartTime: 1}}
		r.Samples[2] = 10
		reports = append(reports, r)
	}
	bs.paces.setPeers(reports)
	now := time.Now()
	for b.Loop() {
		now = now.Add(estimateInterval)
		bs.updatePaces(now, zerolog.Nop())
	}
}
