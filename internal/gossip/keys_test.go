package gossip

import (
	"encoding/base64"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
)

// testKeys returns keys made of one repeated byte each.
func testKeys(t testing.TB, bytes ...byte) *Keys {
	var lines []string
	for _, b := range bytes {
		lines = append(lines, base64.StdEncoding.EncodeToString([]byte(strings.Repeat(string(rune(b)), minKeyBytes))))
	}
	k, err := ParseKeys([]byte(strings.Join(lines, "\n") + "\n"))
	require.NoError(t, err)
	return k
}

// Guards against keys that are weaker than they look, and against an error that repeats one.
func TestParseKeys(t *testing.T) {
	long := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", minKeyBytes)))
	short := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", minKeyBytes-1)))
	for text, valid := range map[string]bool{
		long: true, long + "\n\n " + long + " \r\n": true,
		"": false, "\n": false, short: false, long + "\n" + short: false, long + "!": false, long + "\n" + long + "\n" + long: false,
	} {
		_, err := ParseKeys([]byte(text))
		assert.Equal(t, valid, err == nil, "%q: %v", text, err)
		if err != nil {
			assert.NotContains(t, err.Error(), "a2tra", "a part of the key")
		}
	}
	assert.True(t, testKeys(t, 'a', 'b').Equal(testKeys(t, 'a', 'b')))
	assert.False(t, testKeys(t, 'a', 'b').Equal(testKeys(t, 'b', 'a')))
	assert.False(t, testKeys(t, 'a').Equal(nil))
	assert.True(t, (*Keys)(nil).Equal(nil))
}

// Guards against messages of strangers: a datagram with the ID of a listed host and a high sequence number silences that
// host, and makes up load and termination notices. Only datagrams that a host with a key has made for this host count.
func TestMessagesOfStrangersAreDropped(t *testing.T) {
	forged, err := encode(&State{Host: "a", Incarnation: 9, Sequence: 1 << 40, Loads: map[string]balance.Load{"s": {Requests: 9}}, Terminating: []Process{{ID: "s"}}})
	require.NoError(t, err)
	sound := message(t, "a", 1, 1, 3)
	sign := func(k *Keys, m []byte, receiver string) []byte {
		datagram, err := k.signer(m).sign(nil, receiver)
		require.NoError(t, err)
		return datagram
	}
	current, other := testKeys(t, 'a'), testKeys(t, 'b')
	signed := sign(current, forged, "me")
	flipped := append([]byte(nil), signed...)
	flipped[3] ^= 1
	strangers := map[string][]byte{
		"no tag":                forged,
		"another key":           sign(other, forged, "me"),
		"for another host":      sign(current, forged, "you"),
		"changed":               flipped,
		"cut short":             signed[:len(signed)-1],
		"longer":                append(append([]byte(nil), signed...), 0),
		"tag only":              signed[len(signed)-tagBytes:],
		"shorter than a tag":    signed[:tagBytes-1],
		"empty":                 nil,
		"as large as possible":  make([]byte, maxMessageBytes+tagBytes),
		"receiver in the text":  sign(current, append(append([]byte(nil), forged...), 'm'), "e"),
		"zero tag":              append(append([]byte(nil), forged...), make([]byte, tagBytes)...),
		"tag of the suffix":     append(append([]byte(nil), forged...), sign(current, nil, "me")...),
		"repair without a tag":  {0x08, 0x01, 0x12, 0x01, 'a', 0xba, 0x01, 0x00},
		"message of a new host": message(t, "stranger", 1, 1, 5),
	}
	for name, datagram := range strangers {
		t.Run(name, func(t *testing.T) {
			var views []View
			e, _ := newExchange(fleet.Host{ID: "me", Region: "west"}, nil, &views)
			e.SetKeys(current)
			e.receiveDatagram(datagram, from)
			assert.Empty(t, views)
			assert.Equal(t, "1", e.Metrics.Get("unauthenticated").String())
			e.receiveDatagram(sign(current, sound, "me"), from)
			require.NotEmpty(t, views, "the host itself is heard")
			assert.Equal(t, 3, views[len(views)-1].Loads["s"].Requests)
		})
	}
}

// Guards against an old datagram that is sent again and replaces what its host has said since, and against one that arrives
// out of order.
func TestReplayedMessagesAreDropped(t *testing.T) {
	var views []View
	e, _ := newExchange(fleet.Host{ID: "me", Region: "west"}, nil, &views)
	keys := testKeys(t, 'a')
	e.SetKeys(keys)
	send := func(incarnation, sequence int64, requests int) []byte {
		datagram, err := keys.signer(message(t, "a", incarnation, sequence, requests)).sign(nil, "me")
		require.NoError(t, err)
		e.receiveDatagram(datagram, from)
		return datagram
	}
	first := send(1, 1, 3)
	send(1, 3, 5)
	send(1, 2, 4)
	e.receiveDatagram(first, from)
	assert.Equal(t, 5, views[len(views)-1].Loads["s"].Requests)
	send(2, 1, 7)
	e.receiveDatagram(first, from)
	assert.Equal(t, 7, views[len(views)-1].Loads["s"].Requests)
}

// Guards against hosts that do not understand each other while a key is replaced: the new one is added, then put first, then the
// former one is removed, host by host.
func TestKeysAreReplacedHostByHost(t *testing.T) {
	steps := []*Keys{testKeys(t, 'a'), testKeys(t, 'a', 'b'), testKeys(t, 'b', 'a'), testKeys(t, 'b')}
	for i := range len(steps) - 1 {
		for _, pair := range [][2]*Keys{{steps[i], steps[i+1]}, {steps[i+1], steps[i]}} {
			datagram, err := pair[0].signer([]byte("text")).sign([]byte("suffix"), "me")
			require.NoError(t, err)
			text, err := pair[1].open(datagram, "me")
			assert.NoError(t, err, "step %d", i)
			assert.Equal(t, "textsuffix", string(text))
		}
	}
	_, err := steps[3].open(mustSign(t, steps[0]), "me")
	assert.ErrorIs(t, err, errUnauthenticated, "the former key is out of use")
}

func mustSign(t *testing.T, k *Keys) []byte {
	datagram, err := k.signer([]byte("text")).sign(nil, "me")
	require.NoError(t, err)
	return datagram
}

// Guards against kinds of messages that are sent without a tag: states, repairs, and questions for a backend server with their
// answers arrive over sockets. A third host without the key is not heard.
func TestHostsWithKeysExchangeAllMessages(t *testing.T) {
	hosts := map[string]fleet.Host{}
	conns := map[string]*net.UDPConn{}
	for _, id := range []string{"a", "b", "stranger"} {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		hosts[id] = fleet.Host{ID: id, PeerAddress: conn.LocalAddr().String(), Incarnation: 1}
		conns[id] = conn
	}
	var mu sync.Mutex
	heard := map[string]map[string]bool{"a": {}, "b": {}, "stranger": {}}
	exchanges := map[string]*Exchange{}
	for id, h := range hosts {
		require.NoError(t, conns[id].Close())
		e := New(Options{
			Self: h, Region: "west", Log: zerolog.Nop(), Clock: clock,
			Hosts:     func() map[string]fleet.Host { return hosts },
			FillLocal: func(*State) {},
			OnChange: func(v View) {
				mu.Lock()
				defer mu.Unlock()
				for _, p := range v.Peers {
					heard[id][p.Host] = true
				}
			},
		})
		if id != "stranger" {
			e.SetKeys(testKeys(t, 'a'))
		}
		exchanges[id] = e
		go func() { assert.NoError(t, e.Run(t.Context())) }()
	}
	assert.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return heard["a"]["b"] && heard["b"]["a"] && exchanges["a"].Metrics.Get("unauthenticated") != nil
	}, 5*time.Second, 5*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	assert.False(t, heard["a"]["stranger"])
	assert.False(t, heard["b"]["stranger"])
	assert.Empty(t, heard["stranger"], "hosts with and without keys do not understand each other")
}

func BenchmarkSign(b *testing.B) {
	keys := testKeys(b, 'a')
	message := make([]byte, 8<<10)
	for name, k := range map[string]*Keys{"without keys": nil, "with keys": keys} {
		b.Run("128 receivers of 8 KiB "+name, func(b *testing.B) {
			for b.Loop() {
				s := k.signer(message)
				for range 128 {
					if _, err := s.sign(message[:20], "host-000"); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
	datagram, err := keys.signer(message).sign(nil, "host-000")
	require.NoError(b, err)
	b.Run("open 8 KiB", func(b *testing.B) {
		for b.Loop() {
			if _, err := keys.open(datagram, "host-000"); err != nil {
				b.Fatal(err)
			}
		}
	})
}
