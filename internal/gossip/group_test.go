package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// network connects the exchanges of many hosts without sockets, in virtual time.
type network struct {
	t       *testing.T
	hosts   map[string]fleet.Host
	nodes   map[string]*networkNode
	clock   *manualClock
	started time.Duration
	// messages and bytes count what each host sent.
	messages, bytes map[string]int
}

// networkNode is a host of a network.
type networkNode struct {
	*Exchange
	dead  bool
	cut   map[string]bool
	state State
	views []View
	// repairsReceived are what the host got of what it lacks.
	repairsReceived []*directory.RelayedUpdate
	sent            schedule
	due             time.Duration
}

func newNetwork(t *testing.T, regions, hosts int) *network {
	n := &network{t: t, hosts: map[string]fleet.Host{}, nodes: map[string]*networkNode{}, clock: &manualClock{now: time.Hour}, messages: map[string]int{}, bytes: map[string]int{}}
	for i := range hosts {
		id, region := fmt.Sprintf("host-%03d", i), fmt.Sprint("region-", i%regions)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7200)
		n.hosts[id] = fleet.Host{ID: id, PeerAddress: address.String(), Region: region, Domain: fmt.Sprint(region, "-", i/regions%2), Capacity: 200, Incarnation: 1}
	}
	for id, h := range n.hosts {
		node := &networkNode{cut: map[string]bool{}}
		node.Exchange = New(Options{
			Self: h, Region: h.Region, Clock: n.clock.Now, Hosts: func() map[string]fleet.Host { return n.hosts },
			FillLocal: func(s *State) {
				role, sequence, incarnation := s.Role, s.Sequence, s.Incarnation
				*s = node.state
				s.Host, s.Region, s.Role, s.Sequence, s.Incarnation = id, h.Region, role, sequence, incarnation
			},
			OnChange:      func(v View) { node.views = append(node.views, v) },
			OnRepair:      func(u *directory.RelayedUpdate) { node.repairsReceived = append(node.repairsReceived, u) },
			IsTerminating: func(server string) bool { return server == "leaving" },
		})
		n.nodes[id] = node
	}
	n.started = n.clock.Now()
	return n
}

func (n *network) view(id string) View {
	node := n.nodes[id]
	require.NotEmpty(n.t, node.views, "%s has heard no host", id)
	return node.views[len(node.views)-1]
}

const networkStep = 10 * time.Millisecond

// run plays the hosts for a time. Each message arrives within a step.
func (n *network) run(d time.Duration) {
	for end := n.clock.Now() + d; n.clock.Now() < end; n.clock.advance(networkStep) {
		now := n.clock.Now()
		for i := range len(n.nodes) {
			id := fmt.Sprintf("host-%03d", i)
			if node := n.nodes[id]; node != nil && !node.dead && node.due <= now {
				n.tick(id, node, false)
			}
		}
	}
}

func (n *network) tick(id string, node *networkNode, immediate bool) {
	now := n.clock.Now()
	node.updateRole(now)
	node.mu.Lock()
	node.expirePeers(now)
	role := node.candidate.Role()
	node.mu.Unlock()
	next := State{Host: id, Region: node.opts.Region, Incarnation: node.opts.Self.Incarnation, Role: role}
	node.fillLocal(&next)
	for _, batch := range node.dueMessages(&node.sent, &next, now, immediate) {
		state := next
		state.Sequence = node.beginMessage(now, &next)
		batch.fill(&state, &node.sent, now)
		base, sent, err := encodeBounded(&state, node.opts.Log)
		require.NoError(n.t, err)
		for _, r := range batch.receivers {
			suffix, err := node.suffix(&state, r.host, batch.generations)
			require.NoError(n.t, err)
			for _, m := range append([][]byte{append(base[:len(base):len(base)], suffix...)}, node.repairs(sent, r.host, now)...) {
				n.messages[id]++
				n.bytes[id] += len(m)
				if to := n.nodes[r.host]; to != nil && !to.dead && !node.cut[r.host] && !to.cut[id] {
					to.receive(m, netip.MustParseAddrPort(n.hosts[id].PeerAddress))
				}
			}
		}
	}
	node.due = now + sendInterval
	if role != topology.Member {
		node.due = now + aggregatorInterval
	}
}

func (n *network) aggregatorsOf(region string) (ids []string) {
	for id, node := range n.nodes {
		if !node.dead && node.opts.Region == region && node.candidate.Role() != topology.Member {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against messages and bytes of a host that grow with the deployment, and against hosts that learn of the load of
// others late or not at all: at 300 hosts, a host sent some 270 messages a second to all others and knew states that
// were up to 1.8 s old. Pattern: hundreds of hosts place generations on engines that they share.
func TestDigestsCarryTheLoadOfAllHosts(t *testing.T) {
	for _, size := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			n := newNetwork(t, 3, size)
			sum := 0
			for i, id := range sortedHosts(n) {
				n.nodes[id].state.Loads = map[string]balance.Load{"s": {Requests: i%3 + 1, Tokens: 1000}, fmt.Sprint("own-", i%43): {Requests: 1, Tokens: 3000}}
				sum += i%3 + 1
			}
			n.run(3 * time.Second)
			n.messages, n.bytes = map[string]int{}, map[string]int{}
			const seconds = 4
			n.run(seconds * time.Second)
			mostMessages, mostBytes := 0, 0
			for i, id := range sortedHosts(n) {
				v := n.view(id)
				assert.Equal(t, sum-(i%3+1), v.Loads["s"].Requests, "%s: requests of the others", id)
				assert.Equal(t, 1000*(size-1), v.Loads["s"].Tokens)
				if n.nodes[id].candidate.Role() == topology.Member {
					mostMessages, mostBytes = max(mostMessages, n.messages[id]), max(mostBytes, n.bytes[id])
				}
			}
			t.Logf("a member sends up to %.1f messages and %.0f bytes a second", float64(mostMessages)/seconds, float64(mostBytes)/seconds)
			assert.LessOrEqual(t, mostMessages, 10*seconds)
			assert.LessOrEqual(t, mostBytes, 2000*seconds)
			for r := range 3 {
				for _, id := range n.aggregatorsOf(fmt.Sprint("region-", r)) {
					t.Logf("aggregator: %.1f messages and %.0f bytes a second", float64(n.messages[id])/seconds, float64(n.bytes[id])/seconds)
					assert.LessOrEqual(t, n.messages[id], (6*size/3+30)*seconds)
				}
			}
		})
	}
}

func sortedHosts(n *network) (ids []string) {
	for i := range len(n.hosts) {
		ids = append(ids, fmt.Sprintf("host-%03d", i))
	}
	return ids
}

// Guards against a group that is left without the load of others, or without news from the store, after its aggregators
// have died, and against hosts that follow an aggregator which does not hear them.
func TestGroupsOutliveTheirAggregators(t *testing.T) {
	n := newNetwork(t, 3, 90)
	for _, id := range sortedHosts(n) {
		n.nodes[id].state.Loads = map[string]balance.Load{"s": {Requests: 1}}
	}
	n.run(3 * time.Second)
	for _, id := range n.aggregatorsOf("region-1") {
		n.nodes[id].dead = true
	}
	n.run(topology.AggregatorTimeout + time.Second)
	assert.Len(t, n.aggregatorsOf("region-1"), 2)
	n.run(peerTimeout)
	for id, node := range n.nodes {
		if !node.dead {
			assert.Equal(t, 87, n.view(id).Loads["s"].Requests, id)
		}
	}
	for _, node := range n.nodes {
		node.dead = false
	}
	n.run(3 * time.Second)
	for id := range n.nodes {
		assert.Equal(t, 89, n.view(id).Loads["s"].Requests, id)
	}
	assert.Len(t, n.aggregatorsOf("region-1"), 2)
}

// Guards against two parts of a region, or two regions, that cannot reach each other and then know nothing at all: each
// part goes on with its own aggregators, and they are one group again afterwards.
func TestCutOffPartsHaveTheirOwnAggregators(t *testing.T) {
	n := newNetwork(t, 2, 80)
	for _, id := range sortedHosts(n) {
		n.nodes[id].state.Loads = map[string]balance.Load{"s": {Requests: 1}}
	}
	n.run(3 * time.Second)
	inDomain := func(id string) bool { return n.hosts[id].Domain == "region-0-0" }
	for a, node := range n.nodes {
		for b := range n.nodes {
			node.cut[b] = inDomain(a) != inDomain(b)
		}
	}
	n.run(peerTimeout + 2*time.Second)
	for id := range n.nodes {
		want := 59
		if inDomain(id) {
			want = 19
		}
		assert.Equal(t, want, n.view(id).Loads["s"].Requests, id)
	}
	for _, node := range n.nodes {
		node.cut = map[string]bool{}
	}
	n.run(3 * time.Second)
	for id := range n.nodes {
		assert.Equal(t, 79, n.view(id).Loads["s"].Requests, id)
	}
	assert.Len(t, n.aggregatorsOf("region-0"), 2)
}

// Guards against migrations by plans that do not fit together: the generations of all hosts at a terminating engine are
// in the digests, and those at other engines are not.
func TestDigestsCarryGenerationsAtTerminatingEngines(t *testing.T) {
	n := newNetwork(t, 2, 60)
	for i, id := range sortedHosts(n) {
		n.nodes[id].state.Generations = []Generation{{ID: fmt.Sprint("g-", i), Server: "leaving", Tokens: 3000 + i, MigrationPriority: i}, {ID: fmt.Sprint("o-", i), Server: "other"}}
	}
	n.run(4 * time.Second)
	for _, id := range sortedHosts(n) {
		if n.nodes[id].candidate.Role() != topology.Member {
			continue
		}
		generations := n.view(id).Generations
		assert.Equal(t, 60, len(generations))
		for _, g := range generations {
			assert.Equal(t, "leaving", g.Server)
			assert.NotEmpty(t, g.Region)
		}
	}
}

// Guards against evidence on prompt parts, termination notices and rate limits that stay in the group where they were
// seen.
func TestDigestsCarryNoticesEvidenceAndLimits(t *testing.T) {
	n := newNetwork(t, 2, 60)
	n.run(2 * time.Second)
	source := "host-007"
	n.nodes[source].state = State{
		Terminating: []Process{{ID: "t", StartTime: 4}},
		Crashes:     []attribution.Report{{Process: attribution.Process{ID: "c", StartTime: 1}, Parts: []attribution.Part{1, 2}}},
		Answers:     []attribution.Answer{{Part: 3}},
		Limits:      []ratelimit.Report{{ID: "l", StartTime: 1, Limit: 5, AgeMS: 10, Demand: 2}},
	}
	for _, node := range n.nodes {
		node.views = nil
	}
	n.run(2 * time.Second)
	for id, node := range n.nodes {
		if id == source {
			continue
		}
		v := n.view(id)
		assert.Contains(t, v.Terminating, Process{ID: "t", StartTime: 4}, id)
		crashes, answers := 0, 0
		for _, view := range node.views {
			for _, e := range view.Evidence {
				crashes += len(e.Crashes)
				answers += len(e.Answers)
			}
		}
		assert.Positive(t, crashes, id)
		assert.Positive(t, answers, id)
		found := false
		for _, l := range v.Limits {
			if l.Host == source && len(l.Reports) == 1 {
				found = true
				assert.Equal(t, 5.0, l.Reports[0].Limit)
				assert.Positive(t, l.Reports[0].AgeMS)
			}
		}
		assert.True(t, found, id)
		if node.candidate.Role() == topology.Member {
			assert.Equal(t, 59, v.UnreportedHosts, id)
		}
	}
}

// Guards against all hosts of a group calling the store in an outage, and against a host that the store turns away as
// its reader: the primary aggregator names another one.
func TestPrimaryNamesStoreReaders(t *testing.T) {
	n := newNetwork(t, 1, 40)
	n.run(3 * time.Second)
	readers := func() (ids []string) {
		for id := range n.nodes {
			if v := n.view(id); v.StoreReader {
				ids = append(ids, id)
			}
		}
		return ids
	}
	var primary string
	for id, node := range n.nodes {
		if node.candidate.Role() == topology.Primary {
			primary = id
		}
	}
	assert.Empty(t, readers(), "the primary aggregator reads the store itself")
	n.nodes[primary].state.RecentStoreFailure = true
	n.run(time.Second)
	assert.Len(t, readers(), 1)
	for _, node := range n.nodes {
		node.state.RecentStoreFailure = true
	}
	n.run(2 * time.Second)
	assert.LessOrEqual(t, len(readers()), 1)
	for id, node := range n.nodes {
		assert.Equal(t, node.candidate.Role() != topology.Primary, n.view(id).ReadersNamed, id)
	}
}

// Guards against a host that starts and must read the whole store itself, and one that lacks a configuration or changes
// and is not sent them: the aggregator sends what a host lacks by the versions that it names, and not to the others.
func TestAggregatorsSendWhatAHostLacks(t *testing.T) {
	n := newNetwork(t, 1, 40)
	full := &directory.RelayedUpdate{
		Version: 7, Configuration: []byte(`{"version":7}`),
		Backends: directory.RelayedKind{Revision: 20, Full: true, Changes: []directory.Change{{Name: "b", Backend: &fleet.Backend{ID: "b"}}}},
	}
	asked := 0
	for _, node := range n.nodes {
		node.state.Versions = directory.Versions{Configuration: 7, Backends: 20, DomainsOut: 20, Hosts: 20}
		node.state.RelayedUpdate = &directory.RelayedUpdate{Version: 7, Backends: directory.RelayedKind{After: 18, Revision: 20}}
		node.opts.Missing = func(directory.Versions) *directory.RelayedUpdate {
			asked++
			return full
		}
	}
	n.run(3 * time.Second)
	assert.Zero(t, asked, "no host lacks anything")
	starting := "host-013"
	if n.nodes[starting].candidate.Role() != topology.Member {
		starting = "host-014"
	}
	n.nodes[starting].state.Versions, n.nodes[starting].state.RelayedUpdate = directory.Versions{}, nil
	n.run(time.Second)
	configurations, lists := 0, 0
	for _, u := range n.nodes[starting].repairsReceived {
		if u.Configuration != nil {
			configurations++
			assert.Equal(t, full.Configuration, u.Configuration)
		}
		if u.Backends.Full {
			lists++
			assert.Equal(t, full.Backends, u.Backends)
		}
	}
	assert.Positive(t, configurations)
	assert.Equal(t, configurations, lists)
	assert.LessOrEqual(t, configurations, 4, "not with each message")
}

// Guards against hosts that lack servers for good although they have all changes: an aggregator sends all objects to a host that
// has others at the same version, and does not repeat that with each message.
func TestAggregatorsRepairDifferences(t *testing.T) {
	n := newNetwork(t, 1, 40)
	versions := directory.Versions{Configuration: 7, Backends: 20, BackendsDigest: 3}
	full := &directory.RelayedUpdate{Backends: directory.RelayedKind{Revision: 20, Full: true, Changes: []directory.Change{{Name: "b", Backend: &fleet.Backend{ID: "b"}}}}}
	for _, node := range n.nodes {
		node.state.Versions = versions
		node.state.RelayedUpdate = &directory.RelayedUpdate{Version: 7, Backends: directory.RelayedKind{After: 18, Revision: 20}}
		node.opts.Missing = func(directory.Versions) *directory.RelayedUpdate { return full }
	}
	n.run(3 * time.Second)
	different := "host-013"
	if n.nodes[different].candidate.Role() != topology.Member {
		different = "host-014"
	}
	versions.BackendsDigest = 4
	n.nodes[different].state.Versions, n.nodes[different].state.RelayedUpdate = versions, nil
	const shown = 2 * time.Second
	n.run(shown)
	assert.NotEmpty(t, n.nodes[different].repairsReceived)
	n.run(2*differenceRepairInterval - shown)
	for id, node := range n.nodes {
		const aggregators, perAggregator = 2, 3
		if id == different {
			assert.LessOrEqual(t, len(node.repairsReceived), aggregators*perAggregator)
			assert.Equal(t, full.Backends, node.repairsReceived[0].Backends)
		} else {
			assert.Empty(t, node.repairsReceived, id)
		}
	}
}

// Guards against a deployment with more backend servers than a message can name: a host that starts gets them in parts,
// and none of them counts while another one is missing.
func TestManyBackendServersAreSentInParts(t *testing.T) {
	n := newNetwork(t, 1, 40)
	full := &directory.RelayedUpdate{Backends: directory.RelayedKind{Revision: 20, Full: true}}
	for i := range 3000 {
		id := fmt.Sprintf("i-%010x", i)
		full.Backends.Changes = append(full.Backends.Changes, directory.Change{Name: id, Backend: &fleet.Backend{
			ID: id, StartTime: 1777945397678, Service: "models", Address: "10.5.64.53:8685", Domain: "north-b", Region: "lakes-north", Slots: 24,
		}})
	}
	sender := n.nodes["host-000"]
	messages := sender.encodeRepair(full)
	require.Greater(t, len(messages), 3)
	receiver := n.nodes["host-001"]
	for _, order := range [][]int{{1}, {0}} { // the first part is lost, and all are sent again
		for _, m := range messages[order[0]:] {
			assert.Less(t, len(m), maxMessageBytes)
			receiver.receive(m, from)
		}
	}
	var got []directory.Change
	for _, u := range receiver.repairsReceived {
		got = append(got, u.Backends.Changes...)
	}
	assert.Equal(t, full.Backends.Changes, got)
}

// Guards against changes that no message has room for, so that each host reads them from the store: more than a message
// holds are sent as a list of all objects, in parts. Pattern: thousands of backend servers register at the same time after
// an outage of the store.
func TestManyChangesAreRepaired(t *testing.T) {
	changes := directory.RelayedKind{After: 3, Revision: 9}
	for i := range 3000 {
		id := fmt.Sprintf("i-%010x", i)
		changes.Changes = append(changes.Changes, directory.Change{Name: id, Revision: 9, Backend: &fleet.Backend{ID: id, Service: "m", Address: "10.1.2.3:8000", Domain: "west-a", Region: "west"}})
	}
	all := directory.RelayedKind{Revision: 9, Full: true, Changes: changes.Changes}
	n := newNetwork(t, 1, 40)
	n.run(3 * time.Second)
	for id, node := range n.nodes {
		if node.candidate.Role() != topology.Member {
			node.state.RelayedUpdate = &directory.RelayedUpdate{Version: 4, Backends: changes}
			node.state.Versions = directory.Versions{Configuration: 4, Backends: 9}
			node.opts.Missing = func(v directory.Versions) *directory.RelayedUpdate {
				if v.Backends == 0 {
					return &directory.RelayedUpdate{Backends: all}
				}
				return &directory.RelayedUpdate{Backends: changes}
			}
			continue
		}
		n.nodes[id].state.Versions = directory.Versions{Configuration: 4, Backends: 3}
	}
	n.run(2 * time.Second)
	for id, node := range n.nodes {
		if node.candidate.Role() != topology.Member {
			continue
		}
		whole := 0
		for _, u := range node.repairsReceived {
			if u.Backends.Full && len(u.Backends.Changes) == len(all.Changes) {
				whole++
			}
		}
		assert.Positive(t, whole, "%s has got no list of all servers", id)
	}
}

// Guards against hosts that know the load that they report themselves as that of others, and place less work than they
// could: the digest names the message that it contains.
func TestOwnLoadIsNotCountedAsThatOfOthers(t *testing.T) {
	n := newNetwork(t, 1, 40)
	n.run(3 * time.Second)
	id := "host-020"
	for step := range 20 {
		n.nodes[id].state.Loads = map[string]balance.Load{"s": {Requests: step, Tokens: step * 100}}
		n.run(130 * time.Millisecond)
		if n.nodes[id].candidate.Role() == topology.Member {
			assert.Zero(t, n.view(id).Loads["s"].Requests)
		}
	}
}

// Guards against strangers that make this host an aggregator's follower: a message that names a host of another group
// as its primary aggregator names no store readers here.
func TestOnlyAggregatorsOfTheGroupNameReaders(t *testing.T) {
	n := newNetwork(t, 3, 90)
	n.run(3 * time.Second)
	for id := range n.nodes {
		for other, node := range n.nodes {
			if node.candidate.Role() == topology.Primary && n.hosts[other].Region != n.hosts[id].Region {
				assert.NotEqual(t, n.hosts[other].Region, n.nodes[id].opts.Region)
			}
		}
	}
	m, err := encode(&State{Host: "host-001", Region: "region-1", Incarnation: 9, Sequence: 1, Role: topology.Primary, Readers: []string{"host-003"}})
	require.NoError(t, err)
	n.nodes["host-003"].receive(m, from)
	assert.False(t, n.view("host-003").StoreReader)
}

// Guards against an aggregator whose messages fill its link of 20 Mbit/s, so that requests and the ends of connections
// wait there. Pattern: every few seconds a sixth of the engines gets a termination notice, others start, and the former
// ones are removed.
func TestAggregatorStaysWithinSmallLink(t *testing.T) {
	const (
		linkBytesPerSecond = 20e6 / 8
		reclaimInterval    = 3300 * time.Millisecond
		reclaimed          = 22
	)
	n := newNetwork(t, 3, 300)
	for i, id := range sortedHosts(n) {
		n.nodes[id].state.Loads = map[string]balance.Load{fmt.Sprintf("i-%010x", i%43): {Requests: 2, Tokens: 6000, Prefill: 3000}}
		for g := range 3 {
			server := "other"
			if i%10 == 0 {
				server = "leaving"
			}
			n.nodes[id].state.Generations = append(n.nodes[id].state.Generations, Generation{ID: fmt.Sprintf("%016x", i*3+g), Server: server, Tokens: 3000, MigrationPriority: 3000})
		}
	}
	n.run(2 * time.Second)
	ids := n.aggregatorsOf("region-0")
	require.Len(t, ids, 2)
	setUpdate := func(changes int, deleted bool) {
		update := &directory.RelayedUpdate{Version: 3, Backends: directory.RelayedKind{After: 1, Revision: 2}}
		for i := range changes {
			c := directory.Change{Name: fmt.Sprintf("i-%010x", i), Deleted: deleted}
			if !deleted {
				c.Backend = &fleet.Backend{
					ID: c.Name, StartTime: 1777945397678, Service: "models", Address: "10.5.64.53:8685", Domain: "north-b", Region: "lakes-north", Slots: 24,
				}
			}
			update.Backends.Changes = append(update.Backends.Changes, c)
		}
		for _, id := range ids {
			n.nodes[id].state.RelayedUpdate = update
			n.tick(id, n.nodes[id], true)
		}
	}
	worst := map[string]int{}
	n.bytes = map[string]int{}
	for range 2 {
		for _, removed := range []bool{false, false, true} { // notices, new engines, removals
			setUpdate(reclaimed, removed)
			n.run(groupRelayTime)
			setUpdate(0, false)
			n.run(reclaimInterval/3 - groupRelayTime)
		}
		for _, id := range ids {
			worst[id] = max(worst[id], n.bytes[id])
		}
		n.bytes = map[string]int{}
	}
	for _, id := range ids {
		perSecond := float64(worst[id]) / reclaimInterval.Seconds()
		t.Logf("%.0f bytes/s, %.0f in 100 of the link", perSecond, 100*perSecond/linkBytesPerSecond)
		assert.Less(t, perSecond, linkBytesPerSecond/2)
	}
}
