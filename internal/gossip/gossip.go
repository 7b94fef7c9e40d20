// Package gossip exchanges state between the entry hosts several times a second:
// each host's load at the backend servers, its generations, and what it read from the
// store. In a small deployment each host sends its state to all others; in a larger one,
// aggregators send a digest of the states of their group. A message is a datagram with
// the full state, so the next one replaces a lost one.
package gossip

import (
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/outlier"
	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/core/rollout"
	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/internal/directory"
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
	// Region is that of the host that relays the generation.
	Region string `json:"-"`
}

// Process identifies one process of a backend server.
type Process struct {
	ID        string `json:"i"`
	StartTime int64  `json:"b"`
}

// State is the state of a host, as it is sent in each message. The state dump shows it with one-letter names.
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
	// Failures are the recent failures of the host at backend servers. Ejected are the servers that no host should use, by
	// the failures that its peers report; it is part of its digest.
	Failures []outlier.Report `json:"failures,omitempty"`
	Ejected  []string         `json:"ejected,omitempty"`
	// Limits are the rate limits that backend servers name, and this host's demand for them.
	Limits []ratelimit.Report `json:"m,omitempty"`
	// StoreResponseAge is the time since the host's last successful store call.
	StoreResponseAge time.Duration `json:"-"`
	// StoreReader is set when the host is a store reader of its region.
	StoreReader bool `json:"w,omitempty"`
	// RecentStoreFailure is set when a store call of the host failed recently.
	RecentStoreFailure bool `json:"f,omitempty"`
	// Versions are what the host has read of the store.
	Versions directory.Versions `json:"versions"`
	// RelayedUpdate is what the host passes on from the store; nil for nothing.
	RelayedUpdate *directory.RelayedUpdate `json:"-"`

	// Placed is the newest placement by each aggregator that is part of Loads.
	Placed map[string]uint64 `json:"-"`
	// Rollouts are what the host knows of the roll-outs that are not over, and Paces what it measured of backend servers.
	Rollouts []rollout.Report `json:"rollouts,omitempty"`
	Paces    []pace.Report    `json:"paces,omitempty"`

	// Role is that of the host in its group, and Readers are the hosts that it names as store readers.
	Role    topology.Role `json:"-"`
	Readers []string      `json:"-"`
	Digests []Digest      `json:"-"`
	// TerminatingGenerations are those of all hosts at the terminating engines where the receiver has generations.
	TerminatingGenerations []Generation `json:"-"`
	// Echo names the newest message that the host had received from the receiver when it sent this one; zero for
	// none.
	Echo MessageID `json:"-"`

	// The receiver sets the rest. ReceivedAt is on Options.Clock; From is the sender's address.
	ReceivedAt   time.Duration  `json:"-"`
	ReceivedWall time.Time      `json:"-"`
	From         netip.AddrPort `json:"-"`
	// EchoSentAt is when this host sent the message that Echo names, on Options.Clock;
	// 0 if Echo names none. EchoLoads were the loads in that message.
	EchoSentAt time.Duration           `json:"-"`
	EchoLoads  map[string]balance.Load `json:"-"`
	// EchoRollouts were the reports on roll-outs in that message.
	EchoRollouts []rollout.Report `json:"-"`
	// applied is set once a view was built with the state.
	applied bool
	// pacesAt is when Paces were received.
	pacesAt time.Duration
}

// MessageID identifies one message of a host.
type MessageID struct {
	Incarnation int64
	Sequence    int64
}

// Digest sums up the states of the hosts of a group.
type Digest struct {
	Group topology.GroupID
	// Age is the time since it was made, when it was sent.
	Age time.Duration
	// Hosts is the number of live hosts.
	Hosts int
	// Loads are those of all hosts together.
	Loads map[string]balance.Load
	// Generations are those at terminating engines; only between aggregators.
	Generations []Generation
	Terminating []Process
	Crashes     []attribution.Report
	Answers     []attribution.Answer
	// Ejected are the servers that no host should use.
	Ejected []string
	// Limits are the reports of the hosts with most demand.
	Limits []HostLimit
	// StoreResponseAge is the time since the last successful store call of any host, and StoreReaders the number
	// of hosts that read the store.
	StoreResponseAge time.Duration
	StoreReaders     int
	// Rollouts and Paces are those of all hosts together.
	Rollouts []rollout.Report
	Paces    []pace.Report
}

// HostLimit is the report of a host on a rate limit.
type HostLimit struct {
	Host string
	ratelimit.Report
}

// View is what this host knows of the other hosts.
type View struct {
	// Loads are those of all other hosts together, by backend server.
	Loads map[string]balance.Load
	// Generations are those of other hosts. In a group they are those at the terminating engines where this host has
	// generations, with its own; at an aggregator those of its group and those at terminating engines.
	Generations []Generation
	Terminating []Process
	Evidence    []Evidence
	Limits      []ratelimit.HostReports
	// UnreportedHosts is the number of live hosts that Limits leaves out, since they have no demand.
	UnreportedHosts int
	Updates         []Update
	// Ejected are the servers that no host should use, as the aggregators name them.
	Ejected []string
	// Peers are the live hosts of which this host has the state: all in a mesh, those of its group at an aggregator.
	Peers []Peer
	// InMesh is set if each host sends its state to all others.
	InMesh bool
	// Role is that of this host in its group.
	Role topology.Role
	// ReadersNamed is set if an aggregator names the store readers, and StoreReader if this host is one of them.
	ReadersNamed, StoreReader bool
	// StoreResponseAge is the time since the last successful store call of another host, as of At on Options.Clock;
	// negative if unknown. StoreReaders is the number of other hosts that read the store.
	StoreResponseAge time.Duration
	StoreReaders     int
	At               time.Duration
	// LiveHosts is the number of other live hosts.
	LiveHosts int
	// Rollouts and Paces are those of all other hosts together. They must not be changed. Paces may contain measurements of
	// this host: in a group they are part of the digest.
	Rollouts []rollout.Report
	Paces    []pace.Report
}

// Evidence is what other hosts know of prompt parts that crash engines, as of At on Options.Clock.
type Evidence struct {
	Crashes []attribution.Report
	Answers []attribution.Answer
	At      time.Duration
}

// Update is what another host read from the store.
type Update struct {
	*directory.RelayedUpdate
	// EchoSentAt is when this host sent the message that the update echoes; 0 for none.
	EchoSentAt time.Duration
}

// Peer is another live host.
type Peer struct {
	Host, Region string
	// Domain is its failure domain; empty if it is not in the store's list yet.
	Domain             string
	RecentStoreFailure bool
	// Versions are what the peer has read of the store.
	Versions    directory.Versions
	Generations []Generation
	Failures    []outlier.Report
	// Placed is the newest placement by this host that is part of the load of the peer.
	Placed uint64
}

// Options configure an Exchange.
type Options struct {
	Self   fleet.Host
	Region string
	// Hosts returns the entry hosts by ID. The map must not be changed.
	Hosts func() map[string]fleet.Host
	// FillLocal sets the fields of State that describe this host. What the fields refer to must not be changed afterwards.
	FillLocal func(*State)
	// OnChange is called with a new view.
	OnChange func(View)
	// OnRepair is called with what this host lacked of the store.
	OnRepair func(*directory.RelayedUpdate)
	// Missing returns what a host lacks of the store, or nil.
	Missing func(directory.Versions) *directory.RelayedUpdate
	// Place chooses a backend server for a host; nil if this host does not.
	Place func(host string, r PlacementRequest) Placement
	// IsTerminating reports whether a server terminates and may still run generations.
	IsTerminating func(server string) bool
	// Clock also counts time in which the machine is suspended; see internal/boottime.
	Clock func() time.Duration
	Log   zerolog.Logger
}

const (
	// sendInterval is the time between two messages while the state changes.
	sendInterval = 150 * time.Millisecond
	// refreshInterval is the time between two messages while the state stays the same.
	refreshInterval = 450 * time.Millisecond
	// peerTimeout is how long after its last message a peer counts as live.
	peerTimeout = 2250 * time.Millisecond
	// groupRelayTime is how long a change is part of the messages of an aggregator, so that two contain it. A host that
	// has received neither gets what it lacks by the versions that it names.
	groupRelayTime = 2*aggregatorInterval - sendInterval/3
	// sentMessagesKept is the number of messages of this host that are kept for echoes:
	// more than are sent within peerTimeout.
	sentMessagesKept = 64
	// viewInterval is the least time between two views of an aggregator, which receives hundreds of messages a
	// second.
	viewInterval = 50 * time.Millisecond
)

// Exchange sends this host's state to other hosts and receives theirs.
type Exchange struct {
	opts Options
	// Metrics counts messages and bytes sent and received, messages without a valid tag, repairs sent, placements asked for and not answered, and changes
	// of the role; role is the current one.
	Metrics   expvar.Map
	immediate chan struct{}
	// keys authenticate the messages; nil for none.
	keys atomic.Pointer[Keys]
	// unauthenticatedAt is when a message without a valid tag was last logged. Only the receiving goroutine uses it.
	unauthenticatedAt time.Duration

	mu    sync.Mutex
	peers map[string]*State
	// digests are the newest ones of the groups.
	digests map[topology.GroupID]*receivedDigest
	// sent holds the newest messages, at the index of their sequence number modulo sentMessagesKept.
	sent      [sentMessagesKept]sentMessage
	sequence  int64
	candidate topology.Candidate
	topology  *topology.Topology
	// sums are what the last views have of the roll-outs and the pace of backend servers.
	sums viewSums
	// viewedAt is when the last view was built, and viewDue is set if another one is due.
	viewedAt time.Duration
	viewDue  bool
	// repaired is when a host last got what it lacks.
	repaired map[string]time.Duration
	// configuration is the newest one that was sent, compressed.
	configuration compressedConfiguration
	// encoded is the last repair that was sent, and partial are the parts of those received. Only the sending goroutine
	// uses encoded.
	encoded encodedRepair
	partial partialKinds
	// conn is set by Run.
	conn       *net.UDPConn
	placements placements
}

// sentMessage is what is kept of a message of this host.
type sentMessage struct {
	at       time.Duration
	loads    map[string]balance.Load
	rollouts []rollout.Report
}

// receivedDigest is the digest of a group and where it comes from.
type receivedDigest struct {
	Digest
	// madeAt is on Options.Clock.
	madeAt    time.Duration
	madeWall  time.Time
	isPrimary bool
	// ownLoads and ownRollouts are the loads and the reports on roll-outs of this host that are part of the digest, and
	// includesSelf is set if it counts this host.
	ownLoads     map[string]balance.Load
	ownRollouts  []rollout.Report
	includesSelf bool
	// applied is set once a view was built with the digest.
	applied bool
	// pacesAt is when Paces were received.
	pacesAt time.Duration
}

// New returns an Exchange; Run must be called for it to work.
func New(opts Options) *Exchange {
	return &Exchange{
		opts: opts, immediate: make(chan struct{}, 1), peers: map[string]*State{}, digests: map[topology.GroupID]*receivedDigest{},
		topology: topology.New(nil), repaired: map[string]time.Duration{},
		placements: placements{waiting: map[uint64]chan Placement{}, lastID: rand.Uint64()},
	}
}

// RelayTime returns for how long a change has to be part of this host's state to be in two messages at least, since
// some may be lost.
func (e *Exchange) RelayTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.topology.IsMesh() {
		return refreshInterval + sendInterval
	}
	return groupRelayTime
}

// SendNow sends the state at once, without waiting for the interval. In a series, the messages after the first are
// sent every sendInterval at most. It sends nothing if the state is unchanged and was sent within refreshInterval.
func (e *Exchange) SendNow() {
	select {
	case e.immediate <- struct{}{}:
	default: // a message is already requested
	}
}
