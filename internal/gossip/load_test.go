package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// Guards against a store reader whose own messages fill its link for hundreds of milliseconds, so that all else
// that it sends waits: changes that follow each other closely were each sent to all hosts at once.
func TestSeriesOfImmediateMessagesIsSentTogether(t *testing.T) {
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var changes atomic.Int64
	e := New(Options{
		Self: fleet.Host{ID: "me", PeerAddress: "127.0.0.1:0"}, Log: zerolog.Nop(), Clock: clock, OnChange: func([]State) {},
		Hosts: func() map[string]fleet.Host {
			return map[string]fleet.Host{"peer": {ID: "peer", PeerAddress: listener.LocalAddr().String()}}
		},
		FillLocal: func(s *State) { s.Loads = map[string]balance.Load{"s": {Requests: int(changes.Load())}} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { assert.NoError(t, e.Run(ctx)) }()
	const series = time.Second
	start := time.Now()
	for time.Since(start) < series {
		changes.Add(1)
		e.SendNow()
		time.Sleep(5 * time.Millisecond)
	}
	newest, messages := changes.Load(), 0
	require.NoError(t, listener.SetReadDeadline(time.Now().Add(2*refreshInterval)))
	buffer := make([]byte, maxMessageBytes)
	for received := int64(0); received < newest; messages++ {
		n, err := listener.Read(buffer)
		require.NoError(t, err, "the newest state was not sent")
		var s State
		require.NoError(t, json.Unmarshal(buffer[:n], &s))
		received = int64(s.Loads["s"].Requests)
	}
	assert.LessOrEqual(t, messages, int(time.Since(start)/sendInterval)+2)
}

// Guards against messages of a store reader that grow with the number of hosts: each carried the echoes for all
// hosts of the region to each of them. It also guards against a host that gets no echo, and takes all updates for
// too old.
func TestEachPeerGetsOnlyItsEcho(t *testing.T) {
	const peers = 27
	hosts := map[string]fleet.Host{}
	listeners := map[string]*net.UDPConn{}
	e := New(Options{
		Self: fleet.Host{ID: "front-north-b-9", Incarnation: 1777945359659}, Region: "north", Log: zerolog.Nop(), Clock: clock,
		OnChange: func([]State) {}, Hosts: func() map[string]fleet.Host { return hosts },
	})
	for i := range peers {
		listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		id := fmt.Sprint("front-north-b-", 10+i)
		hosts[id], listeners[id] = fleet.Host{ID: id, PeerAddress: listener.LocalAddr().String()}, listener
		e.receive([]byte(fmt.Sprintf(`{"h":%q,"r":"north","b":1777945359659,"q":%d}`, id, 100+i)), time.Now())
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	s := State{Host: "front-north-b-9", Region: "north", RelayedUpdate: &directory.RelayedUpdate{Version: 3}}
	s.Sequence, s.Echo = e.beginMessage()
	e.send(conn, s, false)
	for id, listener := range listeners {
		buffer := make([]byte, maxMessageBytes)
		require.NoError(t, listener.SetReadDeadline(time.Now().Add(5*time.Second)))
		n, err := listener.Read(buffer)
		require.NoError(t, err)
		var got State
		require.NoError(t, json.Unmarshal(buffer[:n], &got))
		assert.Equal(t, map[string]MessageID{id: s.Echo[id]}, got.Echo)
		assert.Equal(t, int64(3), got.RelayedUpdate.Version)
		assert.Less(t, n, 400, "bytes of a message without changes")
	}
}

// Guards against a store reader that fills a link of 10 Mbit/s with its messages while backend servers change often,
// so that requests and the ends of connections wait there for hundreds of milliseconds.
func TestStoreReaderStaysWithinSmallLink(t *testing.T) {
	const (
		regionHosts, otherHosts = 28, 54
		changeInterval          = 50 * time.Millisecond
		duration                = 3 * time.Second
		linkBytesPerSecond      = 10e6 / 8
	)
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	require.NoError(t, listener.SetReadBuffer(4<<20))
	var received atomic.Int64
	go func() {
		buffer := make([]byte, maxMessageBytes)
		for {
			n, err := listener.Read(buffer)
			if err != nil {
				return // closed at the end of the test
			}
			received.Add(int64(n))
		}
	}()
	hosts := map[string]fleet.Host{}
	for i := range regionHosts + otherHosts {
		id := fmt.Sprint("front-north-b-", 10+i)
		hosts[id] = fleet.Host{ID: id, PeerAddress: listener.LocalAddr().String()}
	}
	start := time.Now()
	var e *Exchange
	fill := func(s *State) {
		now := time.Since(start)
		s.Generations = nil
		for i := range 5 {
			s.Generations = append(s.Generations, Generation{ID: fmt.Sprintf("%016x", i), Server: "i-b85c4ea698", Tokens: int(now.Milliseconds()), MigrationPriority: 3000})
		}
		s.RelayedUpdate = &directory.RelayedUpdate{Version: 3}
		for at := now.Truncate(changeInterval); at > 0 && now-at <= e.RelayTime(); at -= changeInterval {
			id := fmt.Sprintf("i-%010x", at)
			s.RelayedUpdate.Backends.Changes = append(s.RelayedUpdate.Backends.Changes, directory.RelayedChange{Name: id, Backend: &fleet.Backend{
				ID: id, StartTime: 1777945397678, Service: "models", Address: "10.5.64.53:8685", Domain: "north-b", Region: "lakes-north", Slots: 24,
			}})
		}
	}
	e = New(Options{
		Self: fleet.Host{ID: "front-north-b-10", PeerAddress: "127.0.0.1:0", Incarnation: 1777945359659}, Region: "lakes-north", Log: zerolog.Nop(), Clock: clock,
		OnChange: func([]State) {}, Hosts: func() map[string]fleet.Host { return hosts }, FillLocal: fill,
	})
	for i := 1; i < regionHosts; i++ {
		id := fmt.Sprint("front-north-b-", 10+i)
		e.receive([]byte(fmt.Sprintf(`{"h":%q,"r":"lakes-north","b":1777945359659,"q":%d}`, id, 100+i)), time.Now().Add(duration))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { assert.NoError(t, e.Run(ctx)) }()
	for time.Since(start) < duration {
		time.Sleep(changeInterval)
		e.SendNow()
	}
	perSecond := float64(received.Load()) / time.Since(start).Seconds()
	t.Logf("%.0f bytes/s, %.0f in 100 of the link", perSecond, 100*perSecond/linkBytesPerSecond)
	assert.Positive(t, perSecond)
	assert.Less(t, perSecond, linkBytesPerSecond/2)
}
