package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

// Guards against measurements of backend servers that take more than a host's share of the network for control, 5 KB/s, and
// against their loss between two messages that have them. The load: 144 hosts in three regions, which measure 44 servers.
func TestMeasurementsTakeLittleOfTheNetwork(t *testing.T) {
	const hosts, servers = 144, 44
	received := func(measured bool) (bytesPerSecond float64, n *network) {
		n = newNetwork(t, 3, hosts)
		if measured {
			for _, node := range n.nodes {
				for i := range servers {
					r := pace.Report{Process: serverstate.Process{ID: fmt.Sprintf("i-%010d", i), StartTime: 1765000000000}}
					for step := range 4 {
						r.Samples[step], r.LogRatios[step] = 12.34, -5.67
					}
					r.Gaps = pace.Gaps{Events: 123.45, Late: 0.5}
					node.state.Paces = append(node.state.Paces, r)
				}
			}
		}
		n.run(5 * time.Second) // roles are taken
		member := memberOf(t, n)
		before := n.nodes[member].Metrics.Get("received_bytes").String()
		n.run(10 * time.Second)
		after := n.nodes[member].Metrics.Get("received_bytes").String()
		var b, a int64
		_, err := fmt.Sscan(before, &b)
		require.NoError(t, err)
		_, err = fmt.Sscan(after, &a)
		require.NoError(t, err)
		return float64(a-b) / 10, n
	}
	without, _ := received(false)
	with, n := received(true)
	t.Logf("a member receives %.0f bytes/s without and %.0f with measurements", without, with)
	assert.Less(t, with-without, 5000.0)
	for range 12 { // at any time between two messages with measurements
		n.run(100 * time.Millisecond)
		paces := n.view(memberOf(t, n)).Paces
		require.Len(t, paces, servers)
		// Without those of the three secondary aggregators, and with the host's own.
		assert.InDelta(t, 12.34*hosts, paces[0].Samples[0], 12.34*3.5)
	}
}

// memberOf returns a host that aggregates no group.
func memberOf(t *testing.T, n *network) string {
	for i := range len(n.nodes) {
		id := fmt.Sprintf("host-%03d", i)
		if node := n.nodes[id]; node.candidate.Role() == 0 {
			return id
		}
	}
	require.Fail(t, "all hosts aggregate")
	return ""
}
