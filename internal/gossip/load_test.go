package gossip

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
)

// Guards against a store reader whose own messages fill its link for hundreds of milliseconds, so that all else
// that it sends waits: changes that follow each other closely were each sent to all hosts at once.
func TestSeriesOfImmediateMessagesIsSentTogether(t *testing.T) {
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	hosts := map[string]fleet.Host{"peer": {ID: "peer", PeerAddress: listener.LocalAddr().String()}}
	var changes atomic.Int64
	e := New(Options{
		Self: fleet.Host{ID: "me", PeerAddress: "127.0.0.1:0"}, Log: zerolog.Nop(), Clock: clock, OnChange: func(View) {},
		Hosts: func() map[string]fleet.Host {
			return hosts
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
		s, err := decode(buffer[:n])
		require.NoError(t, err)
		received = int64(s.Loads["s"].Requests)
	}
	assert.LessOrEqual(t, messages, int(time.Since(start)/sendInterval)+2)
}
