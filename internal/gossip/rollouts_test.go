package gossip

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/rollout"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	pb "monsoonkeel.example/monsoonkeel/internal/gossippb"
)

var rolloutID = rollout.ID{Service: "m", Target: "v2", Created: 7}

// hostReport is what a host with n responses reports.
func hostReport(phase rollout.Phase, n int64) rollout.Report {
	return rollout.Report{
		ID: rolloutID, MinPhase: phase, MaxPhase: phase, OldInFlight: int(n),
		Counts:  []rollout.Counts{{Route: "r", Target: true, Requests: n, Failures: 1, Latency: [rollout.LatencyBuckets]int64{2: n}}},
		Servers: []rollout.ServerCounts{{Server: "s", Requests: n, Bad: 1}},
	}
}

// Guards against a host that judges a version by other figures than those of all other hosts: its own counted twice in a group,
// or those of a host left out. Both lead to a version that is rolled back late, or completed while a host still uses the old one.
func TestRolloutsAndPacesAreSummed(t *testing.T) {
	for _, hosts := range []int{4, 60} { // a mesh, and two groups
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			n := newNetwork(t, 2, hosts)
			process := serverstate.Process{ID: "s", StartTime: 5}
			total := int64(0)
			for i := range hosts {
				node := n.nodes[fmt.Sprintf("host-%03d", i)]
				phase := rollout.Shifting
				if i == 1 {
					phase = rollout.Canary
				}
				node.state.Rollouts = []rollout.Report{hostReport(phase, int64(i))}
				node.state.Paces = []pace.Report{{Process: process, Samples: [pace.LoadSteps]float64{2: 1.5}, LogRatios: [pace.LoadSteps]float64{2: -0.5}}}
				total += int64(i)
			}
			n.run(6 * aggregatorInterval * 4)
			for i := range hosts {
				id := fmt.Sprintf("host-%03d", i)
				v := n.view(id)
				assert.Equal(t, hosts-1, v.LiveHosts, id)
				require.Len(t, v.Rollouts, 1, id)
				r, others := v.Rollouts[0], total-int64(i)
				assert.Equal(t, rolloutID, r.ID)
				assert.Equal(t, hosts-1, r.Hosts, id)
				assert.Equal(t, int(others), r.OldInFlight, id)
				require.Len(t, r.Counts, 1)
				assert.Equal(t, rollout.Counts{
					Route: "r", Target: true, Requests: others, Failures: int64(hosts - 1), Latency: [rollout.LatencyBuckets]int64{2: others},
				}, r.Counts[0], id)
				assert.Equal(t, []rollout.ServerCounts{{Server: "s", Requests: others, Bad: int64(hosts - 1)}}, r.Servers, id)
				assert.Equal(t, rollout.Shifting, r.MaxPhase, id)
				if i != 1 {
					assert.Equal(t, rollout.Canary, r.MinPhase, id)
				}
				require.Len(t, v.Paces, 1, id)
				assert.Equal(t, process, v.Paces[0].Process)
				assert.GreaterOrEqual(t, v.Paces[0].Samples[2], 1.5*float64(hosts-1)-1e-9, id)
				assert.LessOrEqual(t, v.Paces[0].Samples[2], 1.5*float64(hosts)+1e-9, id)
				assert.InDelta(t, -1.0/3, v.Paces[0].LogRatios[2]/v.Paces[0].Samples[2], 1e-9, id)
			}
		})
	}
}

// Guards against figures of a broken or hostile message that overflow a sum, make a difference negative, or have a phase that
// this host does not know.
func TestRolloutsAndPacesOfMessagesAreBounded(t *testing.T) {
	valid := func(change func(*pb.Rollout)) *pb.Rollout {
		r := &pb.Rollout{Service: "m", Target: "v2", MinPhase: 1, MaxPhase: 5, Hosts: 2, OldInFlight: 3}
		change(r)
		return r
	}
	for name, change := range map[string]func(*pb.Rollout){
		"unknown phase":       func(r *pb.Rollout) { r.MaxPhase = 6 },
		"huge phase":          func(r *pb.Rollout) { r.MaxPhase = 256 + 5 },
		"phases in no order":  func(r *pb.Rollout) { r.MinPhase, r.MaxPhase = 3, 2 },
		"no service":          func(r *pb.Rollout) { r.Service = "" },
		"no target":           func(r *pb.Rollout) { r.Target = "" },
		"target without end":  func(r *pb.Rollout) { r.Target = string(make([]byte, maxRolloutName+1)) },
		"service without end": func(r *pb.Rollout) { r.Service = string(make([]byte, maxRolloutName+1)) },
	} {
		assert.Empty(t, decodeRollouts([]*pb.Rollout{valid(change)}), name)
	}
	got := decodeRollouts([]*pb.Rollout{valid(func(r *pb.Rollout) {
		r.Hosts, r.OldInFlight = -1, -1
		r.Counts = []*pb.RolloutCounts{{Route: "r", Requests: -1, Failures: math.MaxInt64, Latency: append(make([]int64, rollout.LatencyBuckets), 1, 2)}, {Latency: []int64{-5, math.MaxInt64}}}
		r.Servers = []*pb.RolloutServer{{Server: "s", Requests: math.MinInt64, Bad: math.MaxInt64}}
	})})
	require.Len(t, got, 1)
	assert.Equal(t, rollout.Report{
		ID: rollout.ID{Service: "m", Target: "v2"}, MinPhase: 1, MaxPhase: 5,
		Counts:  []rollout.Counts{{Route: "r", Failures: maxCount}, {Latency: [rollout.LatencyBuckets]int64{1: maxCount}}},
		Servers: []rollout.ServerCounts{{Server: "s", Bad: maxCount}},
	}, got[0])

	many := &pb.Rollout{Service: "m", Target: "v2", MaxPhase: 1}
	for range 1000 {
		many.Counts, many.Servers = append(many.Counts, &pb.RolloutCounts{}), append(many.Servers, &pb.RolloutServer{})
	}
	got = decodeRollouts([]*pb.Rollout{many, many, many, many, many, many, many, many, many})
	require.Len(t, got, maxRollouts)
	assert.Len(t, got[0].Counts, 2*maxRolloutRoutes)
	assert.Len(t, got[0].Servers, maxRolloutServers)

	paces := decodePaces([]*pb.Pace{
		{Samples: []int64{-5, 200, math.MaxInt64, 0}, LogRatios: []int64{5, math.MinInt64, 3, 9}},
		{Process: &pb.Process{Id: "s"}, Samples: make([]int64, 100), LogRatios: make([]int64, 1)}, {},
	}, 2)
	require.Len(t, paces, 2)
	assert.Equal(t, [pace.LoadSteps]float64{1: 2, 2: maxPaceSamples}, paces[0].Samples)
	assert.Equal(t, [pace.LoadSteps]float64{1: -2 * maxPaceLog, 2: 0.03}, paces[0].LogRatios)
	odd := encodePaces([]pace.Report{{Samples: [pace.LoadSteps]float64{math.NaN(), math.Inf(1), -3}, LogRatios: [pace.LoadSteps]float64{1: math.NaN()}}})
	require.Len(t, odd, 1)
	assert.Equal(t, []int64{0, maxPaceSamples * 100}, odd[0].Samples)
	assert.Equal(t, []int64{0, 0}, odd[0].LogRatios)
}

// Guards against a state that is larger than a datagram because a deployment has many services, routes or servers, and against
// dropping what says most.
func TestRolloutsAndPacesAreLimited(t *testing.T) {
	s := State{Host: "me"}
	for i := range 20 {
		r := rollout.Report{ID: rollout.ID{Service: fmt.Sprintf("service-%02d", i), Target: "v2"}, MaxPhase: rollout.Canary}
		for route := range 40 {
			for _, target := range []bool{true, false} {
				r.Counts = append(r.Counts, rollout.Counts{Route: fmt.Sprint("route-", route), Target: target, Requests: int64(route)})
			}
		}
		for server := range 100 {
			r.Servers = append(r.Servers, rollout.ServerCounts{Server: fmt.Sprint("server-", server), Requests: int64(server), Bad: int64(max(0, 10-server))})
		}
		s.Rollouts = append(s.Rollouts, r)
	}
	for i := range 100 {
		s.Paces = append(s.Paces, pace.Report{Process: serverstate.Process{ID: fmt.Sprint("server-", i)}, Samples: [pace.LoadSteps]float64{float64(i)}})
	}
	e := New(Options{FillLocal: func(to *State) { *to = s }})
	var local State
	e.fillLocal(&local)
	require.Len(t, local.Rollouts, maxRollouts)
	for _, r := range local.Rollouts {
		assert.Equal(t, 1, r.Hosts)
		require.Len(t, r.Counts, 2*maxRolloutRoutes)
		assert.Equal(t, "route-8", r.Counts[0].Route, "the routes with most requests")
		require.Len(t, r.Servers, maxRolloutServers)
		assert.Equal(t, "server-0", r.Servers[0].Server, "the server with most bad responses")
		assert.Equal(t, "server-99", r.Servers[10].Server)
	}
	require.Len(t, local.Paces, maxStatePaces)
	assert.Equal(t, "server-99", local.Paces[0].ID)
	assert.Len(t, s.Rollouts[0].Servers, 100, "the state of the caller is unchanged")

	// A digest of each of many groups.
	paces := paceSums{}
	for i := range 2 * maxDigestPaces {
		paces.add([]pace.Report{{Process: serverstate.Process{ID: fmt.Sprint("server-", i)}, Samples: [pace.LoadSteps]float64{1, 2, 3, 4, 5, 6, 7, 8, 9}}})
	}
	local.Loads = manyLoads(100)
	for i := range 25 {
		d := Digest{Group: topology.GroupID{Region: "west", Index: i}, Rollouts: local.Rollouts, Paces: paces.list(), Loads: manyLoads(50)}
		d.limit()
		assert.Len(t, d.Paces, maxDigestPaces)
		local.Digests = append(local.Digests, d)
	}
	message, _, err := encodeBounded(&local, zerolog.Nop())
	require.NoError(t, err)
	sent, err := decode(message)
	require.NoError(t, err)
	require.Len(t, sent.Digests[24].Rollouts, maxRollouts, "the phases are always sent")
	assert.Equal(t, rollout.Canary, sent.Digests[24].Rollouts[0].MaxPhase)
}

// Guards against a host that learns late of responses or of a phase, and against messages for nothing but measurements, which
// change with each event.
func TestRolloutsTriggerMessages(t *testing.T) {
	state := func(phase rollout.Phase, requests int64, samples float64) *State {
		return &State{
			Rollouts: ofOneHost([]rollout.Report{hostReport(phase, requests)}),
			Paces:    []pace.Report{{Process: serverstate.Process{ID: "s"}, Samples: [pace.LoadSteps]float64{samples}}},
		}
	}
	assert.True(t, unchanged(state(rollout.Canary, 1, 1), state(rollout.Canary, 1, 2)))
	assert.False(t, unchanged(state(rollout.Canary, 1, 1), state(rollout.Canary, 2, 1)))
	assert.False(t, unchanged(state(rollout.Canary, 1, 1), state(rollout.RolledBack, 1, 1)))
	assert.False(t, unchanged(state(rollout.Canary, 1, 1), &State{}))

	var views []View
	e, _ := newExchange(fleet.Host{ID: "me"}, nil, &views)
	receive := func(sequence int64, s *State) View {
		s.Host, s.Sequence = "x", sequence
		m, err := encode(s)
		require.NoError(t, err)
		e.receive(m, from)
		return views[len(views)-1]
	}
	receive(1, state(rollout.Canary, 1, 1))
	assert.Equal(t, int64(1), receive(2, state(rollout.Canary, 2, 1)).Rollouts[0].Counts[0].Requests, "new counts are added within viewInterval")
	assert.True(t, e.viewDue)
	assert.Equal(t, rollout.RolledBack, receive(3, state(rollout.RolledBack, 2, 1)).Rollouts[0].MaxPhase, "a new phase is applied at once")
}

// Guards against a host that lost the messages with a request for a roll-out, or its removal, and gets it with no later one: a host
// that passes on what it knows sends all requests, in parts if they are many, and not again and again.
func TestRolloutRequestsAreRepaired(t *testing.T) {
	n := newNetwork(t, 1, 3)
	full := &directory.RelayedUpdate{Rollouts: directory.RelayedKind{Revision: 20, Full: true}}
	for i := range 400 {
		id := fmt.Sprintf("service-%03d-%0100d", i, 0)
		full.Rollouts.Changes = append(full.Rollouts.Changes, directory.Change{Name: id, Revision: 9, Rollout: &fleet.Rollout{Service: id, Target: "v2", Revision: 9}})
	}
	versions := directory.Versions{Configuration: 7, Rollouts: 20, RolloutsDigest: 3}
	for _, node := range n.nodes {
		node.state.Versions = versions
		node.opts.Missing = func(directory.Versions) *directory.RelayedUpdate { return full }
	}
	n.nodes["host-000"].state.RelayedUpdate = &directory.RelayedUpdate{Version: 7, Rollouts: directory.RelayedKind{After: 18, Revision: 20}}
	n.run(3 * time.Second)
	for _, node := range n.nodes {
		assert.Empty(t, node.repairsReceived, "no host lacks anything")
	}
	n.nodes["host-001"].state.Versions.Rollouts = 17
	n.nodes["host-002"].state.Versions.RolloutsDigest = 4
	n.run(differenceRepairInterval)
	for id, atMost := range map[string]int{"host-001": 5, "host-002": 2} {
		whole := 0
		for _, u := range n.nodes[id].repairsReceived {
			if u.Rollouts.Revision > 0 {
				whole++
				assert.Equal(t, full.Rollouts, u.Rollouts)
			}
		}
		assert.Positive(t, whole, id)
		assert.LessOrEqual(t, whole, atMost, id)
	}
	assert.Empty(t, n.nodes["host-000"].repairsReceived)
}
