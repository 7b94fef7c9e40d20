package topology

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"
)

func hostsIn(regions, hosts int) map[string]fleet.Host {
	list := map[string]fleet.Host{}
	for i := range hosts {
		id, region := fmt.Sprint("host-", i), fmt.Sprint("region-", i%regions)
		list[id] = fleet.Host{ID: id, Region: region, Domain: fmt.Sprint(region, "-", i/regions%2), Capacity: 200}
	}
	return list
}

// Guards against a host that no group has, or that two groups have, against groups that grow with the deployment, and
// against two hosts that compute different groups from the same entries.
func TestEachHostHasOneGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostsIn(rapid.IntRange(1, 7).Draw(t, "regions"), rapid.IntRange(0, 3500).Draw(t, "hosts"))
		topology, other := New(hosts), New(hosts)
		assert.Equal(t, len(hosts) <= MaxMesh, topology.IsMesh())
		members := 0
		for _, g := range topology.Groups() {
			list := topology.Members(g)
			members += len(list)
			require.LessOrEqual(t, len(list), MaxGroup*3/2, "members of a group")
			require.Equal(t, list, other.Members(g))
			for _, id := range list {
				of, ok := topology.GroupOf(id)
				require.True(t, ok)
				require.Equal(t, g, of)
				require.Equal(t, g.Region, hosts[id].Region)
			}
		}
		require.Equal(t, len(hosts), members)
	})
}

// Guards against a group that loses both aggregators with one failure domain, and against the smallest hosts as
// aggregators, whose link and processor the digests would fill.
func TestAggregatorsAreLargeHostsOfDifferentDomains(t *testing.T) {
	hosts := hostsIn(3, 295)
	for i := range 18 {
		h := hosts[fmt.Sprint("host-", i)]
		h.Capacity = 800
		hosts[h.ID] = h
	}
	topology := New(hosts)
	require.Len(t, topology.Groups(), 3)
	for _, g := range topology.Groups() {
		members := topology.Members(g)
		assert.NotEqual(t, hosts[members[0]].Domain, hosts[members[1]].Domain)
		for i, id := range members {
			assert.Equal(t, i < 6, hosts[id].Capacity == 800, "position %d", i)
		}
	}
}

// Guards against groups that are formed anew whenever a host comes or goes.
func TestFewHostsMoveWhenAHostJoins(t *testing.T) {
	for _, size := range []int{295, 3500} {
		before, after := New(hostsIn(3, size)), New(hostsIn(3, size+1))
		moved := 0
		for i := range size {
			id := fmt.Sprint("host-", i)
			a, _ := before.GroupOf(id)
			b, _ := after.GroupOf(id)
			if a != b {
				moved++
			}
		}
		assert.LessOrEqual(t, moved, size/20, "%d hosts", size)
	}
}

// groupModel plays the roles of one group in virtual time. Live hosts receive the digests of live aggregators.
type groupModel struct {
	candidates []Candidate
	live       []bool
	heard      [][]time.Duration // of host i from host j
	now        time.Duration
}

func newGroupModel(hosts int) *groupModel {
	m := &groupModel{candidates: make([]Candidate, hosts), live: make([]bool, hosts), heard: make([][]time.Duration, hosts), now: time.Hour}
	for i := range m.live {
		m.live[i] = true
		m.heard[i] = make([]time.Duration, hosts)
	}
	return m
}

const modelStep = 50 * time.Millisecond

func (m *groupModel) step() {
	m.now += modelStep
	for i := range m.candidates {
		if !m.live[i] {
			continue
		}
		before := 0
		for j := range i {
			if at := m.heard[i][j]; at > 0 && m.now-at <= AggregatorTimeout {
				before++
			}
		}
		m.candidates[i].Update(i, before, m.now)
	}
	for i := range m.candidates {
		if m.live[i] && m.candidates[i].Role() != Member {
			for j := range m.heard {
				if m.live[j] {
					m.heard[j][i] = m.now
				}
			}
		}
	}
}

// roles returns the number of live hosts in each role.
func (m *groupModel) roles() (count [3]int) {
	for i := range m.candidates {
		if m.live[i] {
			count[m.candidates[i].Role()]++
		}
	}
	return count
}

// Guards against a group without an aggregator, or with many of them, after hosts have died, frozen or come back, in any
// order: a while later there is one primary and one secondary aggregator, if enough hosts are live.
func TestGroupHasTwoAggregators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 40).Draw(t, "hosts")
		m := newGroupModel(hosts)
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			for range rapid.IntRange(0, 2*hosts).Draw(t, "changes") {
				i := rapid.IntRange(0, hosts-1).Draw(t, "host")
				if m.live[i] = !m.live[i]; m.live[i] && rapid.Bool().Draw(t, "restarted") {
					m.candidates[i], m.heard[i] = Candidate{}, make([]time.Duration, hosts)
				}
				for range rapid.IntRange(0, 3).Draw(t, "steps") {
					m.step()
				}
			}
			for settle := AggregatorTimeout + time.Duration(hosts)*takeoverStep + 2*modelStep; settle > 0; settle -= modelStep {
				m.step()
			}
			live := 0
			for _, l := range m.live {
				if l {
					live++
				}
			}
			roles := m.roles()
			require.Equal(t, min(live, 1), roles[Primary], "primary aggregators")
			require.Equal(t, min(max(live-1, 0), 1), roles[Secondary], "secondary aggregators")
		}
	})
}

// Guards against all hosts of a group becoming aggregators when they start together, or when the aggregators die, each
// sending digests to all others.
func TestFewHostsAreAggregatorsAtATime(t *testing.T) {
	m := newGroupModel(98)
	most := 0
	for i := range 200 {
		if i == 100 {
			first := slices.IndexFunc(m.candidates, func(c Candidate) bool { return c.Role() == Primary })
			m.live[first], m.live[first+1] = false, false
		}
		m.step()
		roles := m.roles()
		most = max(most, roles[Primary]+roles[Secondary])
	}
	assert.LessOrEqual(t, most, 4)
	assert.Equal(t, 1, m.roles()[Primary])
}
