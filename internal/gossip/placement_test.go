package gossip

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/topology"
)

// Guards against requests that wait for an aggregator that does not answer, or for one that does not exist; against
// answers of another question; and against a question that is answered by a host that does not aggregate.
func TestMembersAskThePrimaryAggregator(t *testing.T) {
	hosts := map[string]fleet.Host{}
	for i := range topology.MaxMesh + 4 {
		id := fmt.Sprint("silent-", i)
		hosts[id] = fleet.Host{ID: id, PeerAddress: "not an address", Region: "west"}
	}
	for i, id := range []string{"primary", "secondary", "member"} {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		hosts[id] = fleet.Host{ID: id, PeerAddress: conn.LocalAddr().String(), Region: "west", Capacity: 10 - i, Incarnation: 1}
		require.NoError(t, conn.Close())
	}
	nodes, stops := map[string]*Exchange{}, map[string]context.CancelFunc{}
	answered := make(chan string, 100)
	for _, id := range []string{"primary", "secondary", "member"} {
		node := New(Options{
			Self: hosts[id], Region: "west", Log: zerolog.Nop(), Clock: clock, Hosts: func() map[string]fleet.Host { return hosts },
			FillLocal: func(*State) {}, OnChange: func(View) {}, IsTerminating: func(string) bool { return false },
			Place: func(host string, r PlacementRequest) Placement {
				answered <- id
				return Placement{Server: r.Service + "/" + host + "/" + fmt.Sprintln(r.Tokens, r.Prefill, r.Exclude, r.Regions, r.Domain, r.Source), Aggregator: id, Number: 5}
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		stops[id] = cancel
		nodes[id] = node
		go func() { assert.NoError(t, node.Run(ctx)) }()
	}
	ask := func(from string) (Placement, bool, time.Duration) {
		start := time.Now()
		p, ok := nodes[from].Place(t.Context(), PlacementRequest{Service: "m", Tokens: 1, Prefill: 2, Exclude: []string{"x"}, Regions: []string{"west"}, Domain: "d", Source: "s"})
		return p, ok, time.Since(start)
	}
	require.Eventually(t, func() bool {
		p, ok, _ := ask("member")
		return ok && p.Aggregator == "primary"
	}, 5*time.Second, 20*time.Millisecond)
	for id, nodes := range map[string]string{"member": "member", "secondary": "secondary", "primary": "primary"} {
		p, ok, _ := ask(nodes)
		require.True(t, ok, id)
		assert.Equal(t, Placement{Server: "m/" + id + "/1 2 [x] [west] d s\n", Aggregator: "primary", Number: 5}, p)
	}
	stops["primary"]()
	time.Sleep(50 * time.Millisecond)
	_, ok, took := ask("member")
	assert.False(t, ok)
	assert.Less(t, took, 2*placementTimeout)
	_, ok, took = ask("member")
	assert.False(t, ok, "not asked again at once")
	assert.Less(t, took, placementTimeout/2)
	require.Eventually(t, func() bool {
		p, ok, _ := ask("member")
		return ok && p.Aggregator == "secondary"
	}, 5*time.Second, 20*time.Millisecond, "the secondary aggregator takes over")
}
