package gossip

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/outlier"
	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/core/rollout"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	pb "monsoonkeel.example/monsoonkeel/internal/gossippb"
)

// manualClock is a clock that the test advances.
type manualClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *manualClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

var from = netip.MustParseAddrPort("127.0.0.1:9")

func message(t *testing.T, host string, incarnation, sequence int64, requests int) []byte {
	t.Helper()
	m, err := encode(&State{
		Host: host, Incarnation: incarnation, Sequence: sequence, Loads: map[string]balance.Load{"s": {Requests: requests}},
	})
	require.NoError(t, err)
	return m
}

// newExchange returns an Exchange among hosts whose views are appended to the list.
func newExchange(self fleet.Host, hosts map[string]fleet.Host, views *[]View) (*Exchange, *manualClock) {
	clock := &manualClock{now: time.Hour}
	return New(Options{
		Self: self, Region: self.Region, Log: zerolog.Nop(), Clock: clock.Now, Hosts: func() map[string]fleet.Host { return hosts },
		FillLocal: func(*State) {}, OnChange: func(v View) { *views = append(*views, v) }, OnRepair: func(*directory.RelayedUpdate) {}, IsTerminating: func(string) bool { return false },
	}), clock
}

// Guards against a state that is not sent at all because the crashes of engines do not fit into a datagram
// beside the generations.
func TestLargeStateIsSentWithoutCrashes(t *testing.T) {
	s := State{Host: "me"}
	for n := range 800 {
		s.Generations = append(s.Generations, Generation{ID: fmt.Sprintf("%016x", n), Server: "i-0000000000", Tokens: 4000, MigrationPriority: 100000})
	}
	encoded, _, err := encodeBounded(&s, zerolog.Nop())
	require.NoError(t, err)
	require.NotEmpty(t, encoded)
	s.Crashes = []attribution.Report{{Parts: make([]attribution.Part, 10000)}}
	for i := range s.Crashes[0].Parts {
		s.Crashes[0].Parts[i] = 1<<48 - 1
	}
	encoded, _, err = encodeBounded(&s, zerolog.Nop())
	require.NoError(t, err)
	sent, err := decode(encoded)
	require.NoError(t, err)
	assert.Equal(t, 800, len(sent.Generations))
	assert.Zero(t, len(sent.Crashes))
}

// manyLoads returns the loads of busy engines.
func manyLoads(engines int) map[string]balance.Load {
	loads := map[string]balance.Load{}
	for i := range engines {
		loads[fmt.Sprintf("i-%010x", i)] = balance.Load{Requests: 12, Tokens: 30000, Prefill: 3000}
	}
	return loads
}

// Guards against an aggregator that falls silent because its message has grown larger than a datagram: without the
// messages, all hosts of its group call the store. Pattern: thousands of busy engines in several regions, or as many that
// register at the same time after an outage of the store.
func TestLargeMessagesAreSentWithoutAPart(t *testing.T) {
	changes := directory.RelayedKind{After: 3, Revision: 9}
	for i := range 3000 {
		id := fmt.Sprintf("i-%010x", i)
		changes.Changes = append(changes.Changes, directory.Change{Name: id, Revision: 9, Backend: &fleet.Backend{ID: id, Service: "m", Address: "10.1.2.3:8000", Domain: "west-a", Region: "west"}})
	}
	for name, c := range map[string]struct {
		own, others int
		changes     directory.RelayedKind
		keepsLoads  bool
	}{
		"other groups":          {1000, 2500, directory.RelayedKind{Revision: 9}, true},
		"own group":             {10000, 0, directory.RelayedKind{Revision: 9}, false},
		"changes":               {100, 100, changes, true},
		"changes and the loads": {10000, 10000, changes, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := State{
				Host: "me", Role: topology.Primary, Readers: []string{"me"}, Terminating: []Process{{ID: "i-1", StartTime: 5}},
				RelayedUpdate: &directory.RelayedUpdate{Version: 4, ConfirmedAgo: time.Millisecond, Backends: c.changes},
				Digests: []Digest{
					{Group: topology.GroupID{Region: "west"}, Hosts: 98, Loads: manyLoads(c.own)},
					{Group: topology.GroupID{Region: "east"}, Hosts: 98, Loads: manyLoads(c.others)},
				},
			}
			message, _, err := encodeBounded(&s, zerolog.Nop())
			require.NoError(t, err)
			assert.LessOrEqual(t, len(message), maxMessageBytes-maxSuffixReserve)
			sent, err := decode(message)
			require.NoError(t, err)
			assert.Equal(t, topology.Primary, sent.Role)
			assert.Equal(t, s.Readers, sent.Readers)
			assert.Equal(t, s.Terminating, sent.Terminating)
			require.Len(t, sent.Digests, 2)
			assert.Equal(t, 98, sent.Digests[0].Hosts)
			if c.keepsLoads {
				assert.Len(t, sent.Digests[0].Loads, c.own)
			}
			require.NotNil(t, sent.RelayedUpdate)
			assert.Equal(t, int64(4), sent.RelayedUpdate.Version)
			assert.Equal(t, int64(9), sent.RelayedUpdate.Backends.Revision, "a host sees that it lacks changes")
			assert.Len(t, s.Digests[0].Loads, c.own, "the state is unchanged")
			assert.Len(t, s.RelayedUpdate.Backends.Changes, len(c.changes.Changes))
		})
	}
}

// Guards against a field of a message that is lost or changed on the way.
func TestMessagesKeepAllFields(t *testing.T) {
	load := map[string]balance.Load{"s": {Requests: 2, Tokens: 7000, Prefill: 3000}}
	crash := attribution.Report{Process: attribution.Process{ID: "s", StartTime: 5}, Address: "a", Domain: "d", AgeMS: 6, Engines: 7, Domains: 2, Parts: []attribution.Part{8, 9}}
	limit := ratelimit.Report{ID: "s", StartTime: 5, Limit: 2.5, AgeMS: -1, Demand: 0.5}
	report := rollout.Report{
		ID: rollout.ID{Service: "m", Target: "v2", Created: 7}, MinPhase: rollout.Shifting, MaxPhase: rollout.Final, Hosts: 1, OldInFlight: 4,
		Counts:  []rollout.Counts{{Route: "r", Target: true, Requests: 9, Failures: 2, Latency: [rollout.LatencyBuckets]int64{3: 7}}, {Route: "r", Requests: 3}},
		Servers: []rollout.ServerCounts{{Server: "s", Requests: 9, Bad: 2}},
	}
	groupReport := report
	groupReport.Hosts = 9
	measured := pace.Report{
		Process: serverstate.Process{ID: "s", StartTime: 5}, Samples: [pace.LoadSteps]float64{1: 12.25, 4: 3}, LogRatios: [pace.LoadSteps]float64{1: -2.5, 4: 1.75},
	}
	s := State{
		Host: "h", Region: "west", Incarnation: 3, Sequence: 4, Loads: load,
		Generations: []Generation{{ID: "g", Server: "s", Tokens: 5, MigrationPriority: 6, HasStandby: true, Region: "west"}},
		Terminating: []Process{{ID: "s", StartTime: 5}}, Crashes: []attribution.Report{crash}, Answers: []attribution.Answer{{Part: 3, AgeMS: 4}},
		Failures: []outlier.Report{{Process: serverstate.Process{ID: "s", StartTime: 5}, Failures: 3, Age: 4 * time.Millisecond}}, Placed: map[string]uint64{"p": 7},
		Rollouts: []rollout.Report{report}, Paces: []pace.Report{measured},
		Limits: []ratelimit.Report{limit}, StoreResponseAge: 30 * time.Millisecond, StoreReader: true, RecentStoreFailure: true,
		Versions: directory.Versions{Configuration: 1, Backends: 2, DomainsOut: 3, Hosts: 4, BackendsDigest: 5, DomainsOutDigest: 6, HostsDigest: 1<<64 - 1, Rollouts: 6, RolloutsDigest: 7}, Role: topology.Primary, Readers: []string{"h"},
		RelayedUpdate: &directory.RelayedUpdate{
			Version: 7, ConfirmedAgo: 5 * time.Millisecond, RecoveredAgo: 9 * time.Millisecond,
			Backends: directory.RelayedKind{After: 1, Revision: 2, Changes: []directory.Change{
				{Name: "b", Backend: &fleet.Backend{ID: "b", StartTime: 1, Service: "m", Address: "10.0.0.1:1", Domain: "d", Region: "r", Slots: 3, Leaving: true, ColdLeft: time.Second, Version: "v1"}},
				{Name: "c", Deleted: true},
			}},
			DomainsOut: directory.RelayedKind{Revision: 3, Full: true, Changes: []directory.Change{{Name: "d"}}},
			Hosts: directory.RelayedKind{After: 3, Revision: 4, Changes: []directory.Change{
				{Name: "x", Host: &fleet.Host{ID: "x", PeerAddress: "10.0.0.2:1", Domain: "d", Region: "r", Incarnation: 4, Capacity: 800}},
			}},
			Rollouts: directory.RelayedKind{After: 4, Revision: 5, Changes: []directory.Change{
				{Name: "m", Revision: 5, Rollout: &fleet.Rollout{
					Service: "m", Target: "v2", Ramp: 12500 * time.Millisecond, Created: 3, State: fleet.RolloutRunning, StateTarget: "v1", Revision: 5,
				}},
			}},
		},
		Digests: []Digest{{
			Group: topology.GroupID{Region: "east", Index: 2}, Age: 7 * time.Millisecond, Hosts: 9, Loads: load,
			Generations: []Generation{{ID: "k", Server: "s", Region: "north"}}, Terminating: []Process{{ID: "t", StartTime: 1}},
			Crashes: []attribution.Report{crash}, Answers: []attribution.Answer{{Part: 3, AgeMS: 4}},
			Limits: []HostLimit{{Host: "x", Report: limit}}, StoreResponseAge: 8 * time.Millisecond, StoreReaders: 2, Ejected: []string{"s"},
			Rollouts: []rollout.Report{groupReport}, Paces: []pace.Report{measured},
		}},
	}
	base, err := encode(&s)
	require.NoError(t, err)
	suffix, err := encodeSuffix(MessageID{Incarnation: 1, Sequence: 2}, []Generation{{ID: "n", Server: "s", Region: "north"}})
	require.NoError(t, err)
	got, err := decode(append(base, suffix...))
	require.NoError(t, err)
	assert.Equal(t, MessageID{Incarnation: 1, Sequence: 2}, got.Echo)
	assert.Equal(t, []Generation{{ID: "n", Server: "s", Region: "north"}}, got.TerminatingGenerations)
	got.Echo, got.TerminatingGenerations = MessageID{}, nil
	assert.Equal(t, &s, got)
}

// Guards against a compressed configuration that fills the memory of the host, and against one that does not fit into a
// message.
func TestConfigurationsAreBounded(t *testing.T) {
	var compressed compressedConfiguration
	bomb := compressed.compress(1, make([]byte, maxDecompressedBytes+1))
	require.NotNil(t, bomb)
	_, err := decodeUpdate(&pb.Update{Version: 1, Configuration: bomb})
	assert.ErrorIs(t, err, errInvalidMessage)
	random := make([]byte, 3*maxConfigurationBytes)
	for i := range random {
		random[i] = byte(i * i >> 3 * 2654435761 >> 5)
	}
	seed := uint64(1)
	for i := range random {
		seed = seed*6364136223846793005 + 1442695040888963407
		random[i] = byte(seed >> 56)
	}
	assert.Nil(t, compressed.compress(2, random))
}

// Guards against datagrams that are delayed, duplicated or invalid: only a newer message
// replaces a host's state. A host without a message for peerTimeout is dropped.
func TestOnlyNewerMessagesAreApplied(t *testing.T) {
	var views []View
	e, clock := newExchange(fleet.Host{ID: "me"}, nil, &views)
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
		{message(t, "", 3, 1, 9), 7},
	} {
		e.receive(step.message, from)
		view := views[len(views)-1]
		require.Len(t, view.Peers, 1)
		assert.Equal(t, step.want, view.Loads["s"].Requests)
	}
	clock.advance(peerTimeout + 1)
	e.receive(message(t, "b", 1, 1, 1), from)
	view := views[len(views)-1]
	require.Len(t, view.Peers, 1)
	assert.Equal(t, "b", view.Peers[0].Host)
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
			OnChange: func(v View) {
				mu.Lock()
				defer mu.Unlock()
				received[id] = v.Generations[0].ID
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

func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

func FuzzReceive(f *testing.F) {
	small, err := encode(&State{Host: "a", Incarnation: 1, Sequence: 2, Loads: map[string]balance.Load{"s": {Requests: 1}}, Generations: []Generation{{ID: "x", Server: "s", Tokens: 5}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(small)
	large, err := encode(&State{Host: "b", Role: topology.Primary, Readers: []string{"me"}, RelayedUpdate: &directory.RelayedUpdate{
		Version: 2, Backends: directory.RelayedKind{Revision: 3, Full: true, Changes: []directory.Change{{Name: "s", Backend: &fleet.Backend{ID: "s"}}}},
	}, Digests: []Digest{{Group: topology.GroupID{Region: "west"}, Loads: map[string]balance.Load{"s": {Requests: -1}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(large)
	f.Fuzz(func(t *testing.T, m []byte) {
		var views []View
		e, _ := newExchange(fleet.Host{ID: "me", Region: "west"}, nil, &views)
		e.receive(m, from)
		for _, v := range views {
			for _, l := range v.Loads {
				if l.Requests < 0 || l.Tokens < 0 || l.Prefill < 0 {
					t.Fatalf("negative load %+v", l)
				}
			}
		}
	})
}

// Guards against a relayed update that looks fresher than it is: its age counts from the
// message that it echoes. An echo of an earlier incarnation of this host, or of a message
// that was never sent, has no send time.
func TestEchoesIdentifyTheSendTime(t *testing.T) {
	var views []View
	e, clock := newExchange(fleet.Host{ID: "me", Incarnation: 7}, nil, &views)
	sequence := e.beginMessage(clock.Now(), &State{})
	clock.advance(time.Second)
	e.beginMessage(clock.Now(), &State{})
	assert.Equal(t, time.Hour, e.sentMessage(MessageID{Incarnation: 7, Sequence: sequence}).at)
	assert.Equal(t, time.Hour+time.Second, e.sentMessage(MessageID{Incarnation: 7, Sequence: sequence + 1}).at)
	for _, m := range []MessageID{{}, {Incarnation: 7}, {Incarnation: 7, Sequence: -1}, {Incarnation: 6, Sequence: sequence}, {Incarnation: 7, Sequence: sequence + 2}} {
		assert.Nil(t, e.sentMessage(m))
	}
	for range sentMessagesKept {
		e.beginMessage(clock.Now(), &State{})
	}
	assert.Nil(t, e.sentMessage(MessageID{Incarnation: 7, Sequence: sequence}), "the send time is no longer kept")
}

// Guards against hosts that receive the termination notice of an engine at different times
// and then migrate their generations by plans that do not match. Such a change is sent at
// once, even when the next message is not due.
func TestSendNowDoesNotWaitForTheInterval(t *testing.T) {
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	for _, size := range []int{2, 60} {
		hosts := map[string]fleet.Host{"peer": {ID: "peer", PeerAddress: listener.LocalAddr().String(), Region: "west"}}
		for i := range size - 1 {
			hosts[fmt.Sprint("silent-", i)] = fleet.Host{PeerAddress: "not an address", Region: "west"}
		}
		hosts["me"] = fleet.Host{ID: "me", PeerAddress: "127.0.0.1:0", Capacity: 1, Region: "west"}
		var mu sync.Mutex
		requests := 1
		e := New(Options{
			Self: hosts["me"], Region: "west", Log: zerolog.Nop(), Clock: clock, OnChange: func(View) {}, IsTerminating: func(string) bool { return false },
			Hosts: func() map[string]fleet.Host { return hosts },
			FillLocal: func(s *State) {
				mu.Lock()
				defer mu.Unlock()
				s.Loads = map[string]balance.Load{"s": {Requests: requests}}
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
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
		for {
			n, err := listener.Read(buffer)
			require.NoError(t, err)
			s, err := decode(buffer[:n])
			require.NoError(t, err)
			if s.Loads["s"].Requests == 2 {
				break
			}
		}
		assert.Less(t, time.Since(start), 100*time.Millisecond)
		cancel()
	}
}
