// Package gossip tells the other entry hosts several times a second what work
// this host has at each backend server. Messages are datagrams that hold the
// whole state: a lost one is made good by the next.
package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

const (
	// sendInterval is how often changed state is sent.
	sendInterval = 150 * time.Millisecond
	// refreshInterval is how often unchanged state is sent.
	refreshInterval = 450 * time.Millisecond
	// peerTimeout is how long a host's state counts: five quiet intervals.
	peerTimeout = 5 * refreshInterval
	// sentTimesKept messages may be echoed: more than are sent within expiry.
	sentTimesKept = 64
	// fullRateHosts is the number of hosts, in the region or in all, up to which
	// sendInterval holds; among more, the interval grows in proportion, since each
	// message goes to all of them.
	fullRateHosts = 24
	// maxMessageBytes is the largest datagram.
	maxMessageBytes = 60 << 10
)

// Generation is a generation that a host relays.
type Generation struct {
	ID     string `json:"i"`
	Server string `json:"s"`
	// KVTokens is the memory that it holds.
	KVTokens int `json:"t"`
	// Rank is its place among the runs that leave an engine; see core/migrate.
	Rank int `json:"k"`
	// Standby says that another engine holds a copy, so that the run needs no part
	// of the link when its engine leaves.
	Standby bool `json:"b,omitempty"`
}

// Process is one process of a backend server.
type Process struct {
	ID        string `json:"i"`
	StartTime int64  `json:"b"`
}

// State is what a host tells.
type State struct {
	Host   string `json:"h"`
	Region string `json:"r"`
	// Incarnation and Sequence order the messages of a host.
	Incarnation int64                   `json:"b"`
	Sequence    int64                   `json:"q"`
	Loads       map[string]balance.Load `json:"l,omitempty"`
	Generations []Generation            `json:"u,omitempty"`
	// Terminating are the processes with runs that were told to end.
	Terminating []Process `json:"g,omitempty"`
	// StoreResponseAgeMS is how long ago the store last answered the host, in ms.
	StoreResponseAgeMS int64 `json:"a"`
	// StoreReader says that the host reads the store for others.
	StoreReader bool `json:"w,omitempty"`
	// RecentStoreFailure says that the store lately did not answer the host.
	RecentStoreFailure bool `json:"f,omitempty"`
	// RelayedUpdate is what the host, if it reads the store for others, read.
	RelayedUpdate *directory.RelayedUpdate `json:"y,omitempty"`
	// Echo is the newest message that the host got from each host of its region
	// before it sent this one.
	Echo map[string]MessageID `json:"e,omitempty"`
	// ReceivedAt is when the message was received; it is not sent.
	ReceivedAt time.Time `json:"-"`
	// EchoSentAt is the time, on Options.Clock, at which this host sent the message
	// that Echo names; 0 if it names none. It is not sent.
	EchoSentAt time.Duration `json:"-"`
}

// MessageID names one message of a host.
type MessageID struct {
	Incarnation int64 `json:"b"`
	Sequence    int64 `json:"q"`
}

// Options configure an Exchange.
type Options struct {
	Self   fleet.Host
	Region string
	// Hosts returns the entry hosts.
	Hosts func() map[string]fleet.Host
	// FillLocal fills in the state of this host.
	FillLocal func(*State)
	// OnChange gets the states of the other hosts.
	OnChange func([]State)
	// Clock counts suspended time too.
	Clock func() time.Duration
	Log   zerolog.Logger
}

// Exchange sends and receives states.
type Exchange struct {
	opts  Options
	mu    sync.Mutex
	peers map[string]State
	// sentAt holds when the newest messages were sentAt, by sequence.
	sentAt    [sentTimesKept]time.Duration
	sequence  int64
	immediate chan struct{}
}

// New returns an Exchange; Run must be called for it to work.
func New(opts Options) *Exchange {
	return &Exchange{opts: opts, peers: map[string]State{}, immediate: make(chan struct{}, 1)}
}

// SendNow sends the state at once.
func (e *Exchange) SendNow() {
	select {
	case e.immediate <- struct{}{}:
	default: // one is due already
	}
}

// Run exchanges states until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", e.opts.Self.PeerAddress)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		_ = conn.Close()
	}()
	go e.sendLoop(ctx, conn)
	return e.receiveLoop(conn)
}

func (e *Exchange) receiveLoop(conn *net.UDPConn) error {
	buffer := make([]byte, maxMessageBytes)
	for {
		n, _, err := conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			e.opts.Log.Warn().Err(err).Msg("gossip: receive")
			time.Sleep(sendInterval)
			continue
		}
		e.receive(buffer[:n], time.Now())
	}
}

// receive takes over a message if it is newer than what is known of its host.
func (e *Exchange) receive(message []byte, now time.Time) {
	var s State
	if err := json.Unmarshal(message, &s); err != nil || s.Host == "" || s.Host == e.opts.Self.ID {
		e.opts.Log.Warn().AnErr("error", err).Int("bytes", len(message)).Msg("gossip: message not understood")
		return
	}
	e.mu.Lock()
	known, ok := e.peers[s.Host]
	newer := !ok || s.Incarnation > known.Incarnation ||
		s.Incarnation == known.Incarnation && s.Sequence > known.Sequence
	if newer {
		s.ReceivedAt, s.EchoSentAt = now, e.echoSentAt(s.Echo[e.opts.Self.ID])
		e.peers[s.Host] = s
	}
	states := e.livePeers(now)
	e.mu.Unlock()
	if newer {
		e.opts.OnChange(states)
	}
}

// echoSentAt returns when the message that a mark names was sent, or 0.
func (e *Exchange) echoSentAt(m MessageID) time.Duration {
	if m.Incarnation != e.opts.Self.Incarnation || m.Sequence <= e.sequence-sentTimesKept || m.Sequence > e.sequence {
		return 0
	}
	return e.sentAt[m.Sequence%sentTimesKept]
}

// beginMessage records that a message is sent now and returns its sequence and the
// marks for the hosts of the region.
func (e *Exchange) beginMessage() (sequence int64, echo map[string]MessageID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	e.sentAt[e.sequence%sentTimesKept] = e.opts.Clock()
	echo = map[string]MessageID{}
	for host, s := range e.peers {
		if s.Region == e.opts.Region {
			echo[host] = MessageID{Incarnation: s.Incarnation, Sequence: s.Sequence}
		}
	}
	return e.sequence, echo
}

// livePeers returns the states that still count and forgets the others.
func (e *Exchange) livePeers(now time.Time) []State {
	states := make([]State, 0, len(e.peers))
	for host, s := range e.peers {
		if now.Sub(s.ReceivedAt) > peerTimeout {
			delete(e.peers, host)
			continue
		}
		states = append(states, s)
	}
	return states
}

func (e *Exchange) sendLoop(ctx context.Context, conn *net.UDPConn) {
	interval := sendInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := State{Host: e.opts.Self.ID, Region: e.opts.Region, Incarnation: e.opts.Self.Incarnation}
	var sent, sentFar time.Time
	for {
		poked := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.immediate:
			poked = true
		}
		if wanted := sendIntervalFor(e.regionPeerCount()); wanted != interval {
			interval = wanted
			ticker.Reset(interval)
		}
		next := last
		next.Echo = nil
		e.opts.FillLocal(&next)
		if unchanged(next, last) && time.Since(sent) < refreshInterval {
			continue
		}
		last, sent = next, time.Now()
		next.Sequence, next.Echo = e.beginMessage()
		if next.RelayedUpdate == nil {
			next.Echo = nil
		}
		far := poked || time.Since(sentFar) >= sendIntervalFor(len(e.opts.Hosts()))
		if far {
			sentFar = sent
		}
		e.send(conn, next, far)
	}
}

// sendIntervalFor is the interval of messages to a number of hosts.
func sendIntervalFor(hosts int) time.Duration {
	return sendInterval * time.Duration(max(fullRateHosts, hosts)) / fullRateHosts
}

// regionPeerCount is the number of hosts heard in the region.
func (e *Exchange) regionPeerCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.peers {
		if s.Region == e.opts.Region {
			n++
		}
	}
	return n
}

// unchanged compares all but the ages, which always change.
func unchanged(a, b State) bool {
	a.StoreResponseAgeMS, b.StoreResponseAgeMS = 0, 0
	if a.RelayedUpdate != nil && b.RelayedUpdate != nil {
		x, y := *a.RelayedUpdate, *b.RelayedUpdate
		x.ConfirmedAgoMS, y.ConfirmedAgoMS = 0, 0
		a.RelayedUpdate, b.RelayedUpdate = &x, &y
	}
	return reflect.DeepEqual(a, b)
}

// send sends a state to the hosts of the region, and with far to all others too.
// What a reader relays goes to its region only.
func (e *Exchange) send(conn *net.UDPConn, s State, far bool) {
	near := e.encode(s)
	s.RelayedUpdate, s.Echo = nil, nil
	var others []byte
	if far {
		others = e.encode(s)
	}
	for id, h := range e.opts.Hosts() {
		if id == e.opts.Self.ID {
			continue
		}
		message := others
		if e.inRegion(id) {
			message = near
		}
		if message == nil {
			continue
		}
		address, err := net.ResolveUDPAddr("udp", h.PeerAddress)
		if err == nil {
			_, err = conn.WriteToUDP(message, address)
		}
		if err != nil && !errors.Is(err, net.ErrClosed) {
			e.opts.Log.Debug().Str("peer", id).Err(err).Msg("gossip: send")
		}
	}
}

// encode returns the message, or nil if it cannot be sent.
func (e *Exchange) encode(s State) []byte {
	message, err := json.Marshal(s)
	if err != nil || len(message) > maxMessageBytes {
		e.opts.Log.Error().AnErr("error", err).Int("bytes", len(message)).Msg("gossip: state cannot be sent")
		return nil
	}
	return message
}

func (e *Exchange) inRegion(host string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers[host].Region == e.opts.Region
}
