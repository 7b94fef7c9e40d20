package gossip

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
)

func message(t *testing.T, host string, incarnation, sequence int64, requests int) []byte {
	t.Helper()
	m, err := json.Marshal(State{
		Host: host, Incarnation: incarnation, Sequence: sequence, Loads: map[string]balance.Load{"s": {Requests: requests}},
	})
	require.NoError(t, err)
	return m
}

// Datagrams may come late, twice or garbled; only newer ones change what is
// known, and a host that fell silent no longer counts.
func TestOnlyNewerMessagesCount(t *testing.T) {
	var states []State
	e := New(Options{Self: fleet.Host{ID: "me"}, Changed: func(s []State) { states = s }, Log: zerolog.Nop()})
	now := time.Unix(1000, 0)
	for _, step := range []struct {
		message []byte
		want    int
	}{
		{message(t, "a", 1, 5, 3), 3},
		{message(t, "a", 1, 4, 9), 3},
		{message(t, "a", 1, 5, 9), 3},
		{message(t, "a", 2, 1, 7), 7},
		{message(t, "a", 1, 99, 9), 7},
		{message(t, "me", 1, 1, 9), 7},
		{[]byte("garbled"), 7},
		{[]byte(`{"h":""}`), 7},
	} {
		e.receive(step.message, now)
		require.Len(t, states, 1)
		assert.Equal(t, step.want, states[0].Loads["s"].Requests)
	}
	e.receive(message(t, "b", 1, 1, 1), now.Add(expiry+1))
	require.Len(t, states, 1)
	assert.Equal(t, "b", states[0].Host)
}

// Two hosts hear of each other's work.
func TestExchangeBetweenTwoHosts(t *testing.T) {
	hosts := map[string]fleet.Host{}
	for _, id := range []string{"a", "b"} {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		hosts[id] = fleet.Host{ID: id, PeerAddress: conn.LocalAddr().String(), Incarnation: 1}
		require.NoError(t, conn.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	heard := map[string]string{}
	for id, h := range hosts {
		e := New(Options{
			Self: h, Region: "west", Log: zerolog.Nop(),
			Hosts: func() map[string]fleet.Host { return hosts },
			Local: func(s *State) {
				s.Loads = map[string]balance.Load{"s": {Requests: 1}}
				s.Runs = []Run{{ID: "run-" + id, Server: "s", Tokens: 5}}
			},
			Changed: func(states []State) {
				mu.Lock()
				defer mu.Unlock()
				heard[id] = states[0].Runs[0].ID
			},
		})
		go func() { assert.NoError(t, e.Run(ctx)) }()
	}
	assert.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return heard["a"] == "run-b" && heard["b"] == "run-a"
	}, 3*time.Second, 5*time.Millisecond)
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"h":"a","b":1,"q":2,"l":{"s":{"r":1}},"u":[{"i":"x","s":"s","t":5}]}`))
	f.Add([]byte(`{"h":"a","l":null,"u":[null]}`))
	f.Fuzz(func(_ *testing.T, m []byte) {
		e := New(Options{Self: fleet.Host{ID: "me"}, Changed: func([]State) {}, Log: zerolog.Nop()})
		e.receive(m, time.Now())
	})
}
