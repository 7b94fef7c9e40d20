// Package gossip exchanges state between the entry hosts several times a second:
// each host's load at the backend servers, its generations, and what it read from the
// store. A message is a datagram with the full state, so the next one replaces a lost
// one.
package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

const (
	// sendInterval is the time between two messages while the state changes.
	sendInterval = 150 * time.Millisecond
	// refreshInterval is the time between two messages while the state stays the same.
	refreshInterval = 450 * time.Millisecond
	// peerTimeout is how long after its last message a peer counts as live: five
	// refresh intervals.
	peerTimeout = 5 * refreshInterval
	// sentTimesKept is the number of messages of this host whose send time is kept for echoes:
	// more than are sent within peerTimeout.
	sentTimesKept = 64
	// fullRateHosts is the number of hosts up to which sendInterval holds. Among more,
	// the interval grows in proportion, since each message goes to all of them. Messages
	// within the region and messages to all regions have separate intervals, each by its
	// own number of hosts.
	fullRateHosts = 24
	// maxMessageBytes is the size limit of a message, below that of a UDP datagram.
	maxMessageBytes = 60 << 10
	// maxEchoBytes is the part of maxMessageBytes for the echo of the receiver's message.
	maxEchoBytes = 512
)

// Generation is a running generation that a host relays.
type Generation struct {
	ID     string `json:"i"`
	Server string `json:"s"`
	// Tokens is the size of its KV cache, in tokens.
	Tokens int `json:"t"`
	// MigrationPriority is its position in the migration order of its engine; see
	// Priority in core/migrate.
	MigrationPriority int `json:"k"`
	// HasStandby is set when another engine has a standby replica, so that the migration
	// needs no share of the link when the engine terminates.
	HasStandby bool `json:"b,omitempty"`
}

// Process identifies one process of a backend server.
type Process struct {
	ID        string `json:"i"`
	StartTime int64  `json:"b"`
}

// State is the state message of a host. It is sent as JSON with one-letter names.
type State struct {
	Host   string `json:"h"`
	Region string `json:"r"`
	// Incarnation and Sequence order the messages of a host.
	Incarnation int64                   `json:"b"`
	Sequence    int64                   `json:"q"`
	Loads       map[string]balance.Load `json:"l,omitempty"`
	Generations []Generation            `json:"u,omitempty"`
	// Terminating are processes of backend servers for which the host has a termination notice.
	Terminating []Process `json:"g,omitempty"`
	// Crashes are recent crashes of engines, and Answers say which prompt parts are sound.
	Crashes []attribution.Report `json:"c,omitempty"`
	Answers []attribution.Answer `json:"z,omitempty"`
	// Limits are the rate limits that backend servers name, and this host's demand for them.
	Limits []ratelimit.Report `json:"m,omitempty"`
	// StoreResponseAgeMS is the time since the host's last successful store call, in ms.
	StoreResponseAgeMS int64 `json:"a"`
	// StoreReader is set when the host is a store reader of its region.
	StoreReader bool `json:"w,omitempty"`
	// RecentStoreFailure is set when a store call of the host failed recently.
	RecentStoreFailure bool `json:"f,omitempty"`
	// RelayedUpdate is what a store reader passes on from the store; nil otherwise.
	RelayedUpdate *directory.RelayedUpdate `json:"y,omitempty"`
	// Echo names the newest message that the host had received from the receiver when it sent this one,
	// or from each peer of its region.
	Echo map[string]MessageID `json:"e,omitempty"`
	// ReceivedAt is set by the receiver and not sent.
	ReceivedAt time.Time `json:"-"`
	// EchoSentAt is when this host sent the message that Echo names, on Options.Clock;
	// 0 if Echo names none. It is set by the receiver and not sent.
	EchoSentAt time.Duration `json:"-"`
}

// MessageID identifies one message of a host.
type MessageID struct {
	Incarnation int64 `json:"b"`
	Sequence    int64 `json:"q"`
}

// Options configure an Exchange.
type Options struct {
	Self   fleet.Host
	Region string
	// Hosts returns the entry hosts by ID.
	Hosts func() map[string]fleet.Host
	// FillLocal sets the fields of State that describe this host.
	FillLocal func(*State)
	// OnChange is called after each newer message, with the states of all live peers.
	OnChange func([]State)
	// Clock also counts time in which the machine is suspended; see internal/boottime.
	Clock func() time.Duration
	Log   zerolog.Logger
}

// Exchange sends this host's state to the other hosts and receives theirs.
type Exchange struct {
	opts  Options
	mu    sync.Mutex
	peers map[string]State
	// sentAt holds the send times of the newest messages, at the index of their sequence
	// number modulo sentTimesKept.
	sentAt    [sentTimesKept]time.Duration
	sequence  int64
	immediate chan struct{}
}

// New returns an Exchange; Run must be called for it to work.
func New(opts Options) *Exchange {
	return &Exchange{opts: opts, peers: map[string]State{}, immediate: make(chan struct{}, 1)}
}

// RelayTime returns for how long a change has to be part of this host's state to be in two messages at least, since
// some may be lost. Each of them goes to all hosts of the region.
func (e *Exchange) RelayTime() time.Duration {
	return refreshInterval + sendIntervalFor(e.regionPeerCount())
}

// SendNow sends the state to all hosts at once, without waiting for the interval. In a series, the messages after the
// first are sent every sendInterval at most, and those to the other regions at their interval. It sends nothing if the
// state is unchanged and was sent within refreshInterval.
func (e *Exchange) SendNow() {
	select {
	case e.immediate <- struct{}{}:
	default: // a message is already requested
	}
}

// Run sends and receives states until ctx ends. It fails if it cannot listen on the peer address.
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
			e.opts.Log.Warn().Err(err).Msg("receiving a gossip message failed")
			time.Sleep(sendInterval)
			continue
		}
		e.receive(buffer[:n], time.Now())
	}
}

// receive applies a message if it is newer than the last one of its host.
func (e *Exchange) receive(message []byte, now time.Time) {
	var s State
	if err := json.Unmarshal(message, &s); err != nil || s.Host == "" || s.Host == e.opts.Self.ID {
		e.opts.Log.Warn().AnErr("error", err).Int("bytes", len(message)).Msg("gossip message dropped: invalid, or from a host with the id of this host")
		return
	}
	e.mu.Lock()
	last, ok := e.peers[s.Host]
	newer := !ok || s.Incarnation > last.Incarnation ||
		s.Incarnation == last.Incarnation && s.Sequence > last.Sequence
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

// echoSentAt returns when this host sent a message, or 0 if the message is of an earlier
// incarnation, too old or was never sent.
func (e *Exchange) echoSentAt(m MessageID) time.Duration {
	if m.Incarnation != e.opts.Self.Incarnation || m.Sequence <= e.sequence-sentTimesKept || m.Sequence > e.sequence {
		return 0
	}
	return e.sentAt[m.Sequence%sentTimesKept]
}

// beginMessage records the send time of the next message. It returns the sequence number
// of the message and the echoes for the peers of the region.
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

// livePeers returns the states of the live peers and deletes the others.
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
	var lastSent, lastSentToAll, lastImmediate time.Time
	for {
		immediate := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.immediate:
			immediate = true
			// One message for several changes: each goes to all hosts of the region, and together they
			// would fill the link of this host.
			if !wait.For(ctx, time.Until(lastImmediate.Add(sendInterval))) {
				return
			}
		}
		if wanted := sendIntervalFor(e.regionPeerCount()); wanted != interval {
			interval = wanted
			ticker.Reset(interval)
		}
		next := last
		next.Echo = nil
		e.opts.FillLocal(&next)
		if unchanged(next, last) && time.Since(lastSent) < refreshInterval {
			continue
		}
		last, lastSent = next, time.Now()
		next.Sequence, next.Echo = e.beginMessage()
		if next.RelayedUpdate == nil {
			next.Echo = nil
		}
		intervalToAll := sendIntervalFor(len(e.opts.Hosts()))
		toAll := lastSent.Sub(lastSentToAll) >= intervalToAll || immediate && lastSent.Sub(lastImmediate) >= intervalToAll
		if immediate {
			lastImmediate = lastSent
			ticker.Reset(interval)
		}
		if toAll {
			lastSentToAll = lastSent
		}
		e.send(conn, next, toAll)
	}
}

// sendIntervalFor returns the time between two messages to a number of hosts.
func sendIntervalFor(hosts int) time.Duration {
	return sendInterval * time.Duration(max(fullRateHosts, hosts)) / fullRateHosts
}

// regionPeerCount returns the number of peers in the region.
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

// unchanged reports whether two states are equal except for their ages, which always change.
func unchanged(a, b State) bool {
	a.StoreResponseAgeMS, b.StoreResponseAgeMS = 0, 0
	a.Crashes, a.Answers = withoutAges(a.Crashes, a.Answers)
	b.Crashes, b.Answers = withoutAges(b.Crashes, b.Answers)
	a.Limits, b.Limits = limitsWithoutAges(a.Limits), limitsWithoutAges(b.Limits)
	if a.RelayedUpdate != nil && b.RelayedUpdate != nil {
		x, y := *a.RelayedUpdate, *b.RelayedUpdate
		x.ConfirmedAgoMS, y.ConfirmedAgoMS = 0, 0
		a.RelayedUpdate, b.RelayedUpdate = &x, &y
	}
	return reflect.DeepEqual(a, b)
}

func withoutAges(crashes []attribution.Report, answers []attribution.Answer) ([]attribution.Report, []attribution.Answer) {
	crashes, answers = slices.Clone(crashes), slices.Clone(answers)
	for i := range crashes {
		crashes[i].AgeMS = 0
	}
	for i := range answers {
		answers[i].AgeMS = 0
	}
	return crashes, answers
}

func limitsWithoutAges(limits []ratelimit.Report) []ratelimit.Report {
	limits = slices.Clone(limits)
	for i := range limits {
		limits[i].AgeMS = min(limits[i].AgeMS, 0)
	}
	return limits
}

// send sends a state to the peers of the region, and with toAll to all other hosts.
// Relayed updates go to the region only, and to each peer only its own echo.
func (e *Exchange) send(conn *net.UDPConn, s State, toAll bool) {
	echo := s.Echo
	s.Echo = nil
	regional := e.encode(s)
	s.RelayedUpdate = nil
	var global []byte
	if toAll {
		global = e.encode(s)
	}
	for id, h := range e.opts.Hosts() {
		if id == e.opts.Self.ID {
			continue
		}
		message := global
		if e.inRegion(id) {
			message = withEcho(regional, id, echo)
		}
		if message == nil {
			continue
		}
		address, err := net.ResolveUDPAddr("udp", h.PeerAddress)
		if err == nil {
			_, err = conn.WriteToUDP(message, address)
		}
		if err != nil && !errors.Is(err, net.ErrClosed) {
			e.opts.Log.Debug().Str("peer", id).Err(err).Msg("sending a gossip message failed")
		}
	}
}

// withEcho returns a message with the echo of its receiver, if there is one.
func withEcho(message []byte, receiver string, echo map[string]MessageID) []byte {
	id, ok := echo[receiver]
	if message == nil || !ok {
		return message
	}
	field, err := json.Marshal(map[string]map[string]MessageID{"e": {receiver: id}})
	if err != nil || len(field) > maxEchoBytes {
		return message // the receiver takes the update for too old, and calls the store itself
	}
	end := len(message) - 1
	return append(append(message[:end:end], ','), field[1:]...)
}

// encode returns the message, or nil if it cannot be encoded or exceeds its size limit. The crashes of
// engines are left out if it exceeds that otherwise: the load and the notices matter more.
func (e *Exchange) encode(s State) []byte {
	message, err := json.Marshal(s)
	const limit = maxMessageBytes - maxEchoBytes
	if len(message) > limit && len(s.Crashes) > 0 {
		e.opts.Log.Warn().Int("bytes", len(message)).Int("crashes", len(s.Crashes)).Msg("gossip message sent without crashes of engines: larger than a datagram")
		s.Crashes = nil
		message, err = json.Marshal(s)
	}
	if err != nil || len(message) > limit {
		e.opts.Log.Error().AnErr("error", err).Int("bytes", len(message)).Msg("gossip message not sent: encoding failed or larger than a datagram")
		return nil
	}
	return message
}

func (e *Exchange) inRegion(host string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers[host].Region == e.opts.Region
}
