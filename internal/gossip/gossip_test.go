package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
)

func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

func message(t *testing.T, host string, incarnation, sequence int64, requests int) []byte {
	t.Helper()
	m, err := json.Marshal(State{
		Host: host, Incarnation: incarnation, Sequence: sequence, Loads: map[string]balance.Load{"s": {Requests: requests}},
	})
	require.NoError(t, err)
	return m
}

// Guards against a state that is not sent at all because the crashes of engines do not fit into a datagram
// beside the generations.
func TestLargeStateIsSentWithoutCrashes(t *testing.T) {
	e := New(Options{Self: fleet.Host{ID: "me"}, Log: zerolog.Nop(), Clock: clock})
	s := State{Host: "me"}
	for n := range 800 {
		s.Generations = append(s.Generations, Generation{ID: fmt.Sprintf("%016x", n), Server: "i-0000000000", Tokens: 4000, MigrationPriority: 100000})
	}
	require.NotNil(t, e.encode(s))
	s.Crashes = []attribution.Report{{Parts: make([]attribution.Part, 1000)}}
	for i := range s.Crashes[0].Parts {
		s.Crashes[0].Parts[i] = 1<<48 - 1
	}
	var sent State
	require.NoError(t, json.Unmarshal(e.encode(s), &sent))
	assert.Equal(t, 800, len(sent.Generations))
	assert.Zero(t, len(sent.Crashes))
}

// Guards against datagrams that are delayed, duplicated or invalid: only a newer message
// replaces a host's state. A host without a message for peerTimeout is dropped.
func TestOnlyNewerMessagesAreApplied(t *testing.T) {
	var states []State
	e := New(Options{Self: fleet.Host{ID: "me"}, OnChange: func(s []State) { states = s }, Log: zerolog.Nop(), Clock: clock})
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
	e.receive(message(t, "b", 1, 1, 1), now.Add(peerTimeout+1))
	require.Len(t, states, 1)
	assert.Equal(t, "b", states[0].Host)
}

// Two hosts receive each other's generations.
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
	received := map[string]string{}
	for id, h := range hosts {
		e := New(Options{
			Self: h, Region: "west", Log: zerolog.Nop(), Clock: clock,
			Hosts: func() map[string]fleet.Host { return hosts },
			FillLocal: func(s *State) {
				s.Loads = map[string]balance.Load{"s": {Requests: 1}}
				s.Generations = []Generation{{ID: "generation-" + id, Server: "s", Tokens: 5}}
			},
			OnChange: func(states []State) {
				mu.Lock()
				defer mu.Unlock()
				received[id] = states[0].Generations[0].ID
			},
		})
		go func() { assert.NoError(t, e.Run(ctx)) }()
	}
	assert.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return received["a"] == "generation-b" && received["b"] == "generation-a"
	}, 3*time.Second, 5*time.Millisecond)
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"h":"a","b":1,"q":2,"l":{"s":{"r":1}},"u":[{"i":"x","s":"s","t":5}]}`))
	f.Add([]byte(`{"h":"a","l":null,"u":[null]}`))
	f.Fuzz(func(_ *testing.T, m []byte) {
		e := New(Options{Self: fleet.Host{ID: "me"}, OnChange: func([]State) {}, Log: zerolog.Nop(), Clock: clock})
		e.receive(m, time.Now())
	})
}

// Guards against a relayed update that looks fresher than it is: its age counts from the
// message that it echoes. An echo of an earlier incarnation of this host, or of a message
// that was never sent, has no send time.
func TestEchoesIdentifyTheSendTime(t *testing.T) {
	now := 10 * time.Second
	e := New(Options{
		Self: fleet.Host{ID: "me", Incarnation: 7}, Region: "west", Log: zerolog.Nop(),
		Clock: func() time.Duration { return now }, OnChange: func([]State) {},
	})
	e.receive([]byte(`{"h":"near","r":"west","b":3,"q":4}`), time.Unix(1, 0))
	e.receive([]byte(`{"h":"far","r":"east","b":3,"q":4}`), time.Unix(1, 0))
	sequence, echo := e.beginMessage()
	assert.Equal(t, map[string]MessageID{"near": {Incarnation: 3, Sequence: 4}}, echo)
	now += time.Second
	e.beginMessage()
	assert.Equal(t, 10*time.Second, e.echoSentAt(MessageID{Incarnation: 7, Sequence: sequence}))
	assert.Equal(t, 11*time.Second, e.echoSentAt(MessageID{Incarnation: 7, Sequence: sequence + 1}))
	for _, m := range []MessageID{{}, {Incarnation: 6, Sequence: sequence}, {Incarnation: 7, Sequence: sequence + 2}} {
		assert.Zero(t, e.echoSentAt(m))
	}
	for range sentTimesKept {
		e.beginMessage()
	}
	assert.Zero(t, e.echoSentAt(MessageID{Incarnation: 7, Sequence: sequence}), "the send time is no longer kept")
}

// Guards against hosts that receive the termination notice of an engine at different times
// and then migrate their generations by plans that do not match. Such a change is sent at
// once, even when the send interval is long.
func TestSendNowDoesNotWaitForTheInterval(t *testing.T) {
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	hosts := map[string]fleet.Host{"peer": {ID: "peer", PeerAddress: listener.LocalAddr().String()}}
	for i := range 20 * fullRateHosts { // the interval grows to 3 s
		hosts[fmt.Sprint("silent-", i)] = fleet.Host{PeerAddress: "not an address"}
	}
	var mu sync.Mutex
	requests := 1
	e := New(Options{
		Self: fleet.Host{ID: "me", PeerAddress: "127.0.0.1:0"}, Log: zerolog.Nop(), Clock: clock, OnChange: func([]State) {},
		Hosts: func() map[string]fleet.Host { return hosts },
		FillLocal: func(s *State) {
			mu.Lock()
			defer mu.Unlock()
			s.Loads = map[string]balance.Load{"s": {Requests: requests}}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { assert.NoError(t, e.Run(ctx)) }()
	require.NoError(t, listener.SetReadDeadline(time.Now().Add(5*time.Second)))
	buffer := make([]byte, maxMessageBytes)
	_, err = listener.Read(buffer)
	require.NoError(t, err)
	mu.Lock()
	requests = 2
	mu.Unlock()
	start := time.Now()
	e.SendNow()
	e.SendNow()
	n, err := listener.Read(buffer)
	require.NoError(t, err)
	assert.Less(t, time.Since(start), 1500*time.Millisecond)
	assert.Contains(t, string(buffer[:n]), `"r":2`)
}
