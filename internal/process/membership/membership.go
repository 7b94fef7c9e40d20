// Package membership maintains the view of a cell. It renews or reads the object
// view/<cell>, combines the host list with reports of hosts that are shutting
// down, and decides whether this host may accept new requests and how many it may
// send to a backend server in cold start.
package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/coldstart"
	"monsoonkeel.example/monsoonkeel/core/view"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	// storeTimeout ends a call to the object API before the next renewal is due.
	storeTimeout = 800 * time.Millisecond
	// hostListTimeout limits one read of the host list.
	hostListTimeout = 2 * time.Second
	// readObjectAge is the age of the newest confirmation from which a member that is
	// not the renewer reads the view object itself. The rest of the lease is long
	// enough for one call.
	readObjectAge = 2 * time.Second
	// syncRenewerAge is the age of the newest confirmation from which a member also
	// sends its heartbeats to the renewer. Heartbeats are sent every second, so that
	// the member normally has a confirmation before readObjectAge.
	syncRenewerAge = time.Second
	// selfAbsentTimeout is how long a host list without this host is considered
	// outdated. After that, the host is considered removed from the list.
	selfAbsentTimeout = time.Minute
	// hostListMaxAge is the age up to which a host list may be used to remove members.
	hostListMaxAge = 10 * time.Second
	// peerAbsenceTimeout is the time without a request after which a peer that sends
	// one counts as new. In a cell of 64, each member gets a request from a given peer
	// every 5.25 s.
	peerAbsenceTimeout = 10 * time.Second
	// maxWatchers is the number of hosts per region and cell that watch the
	// configuration head. With more than multiWatcherCells cells it is 1, since 3 hosts
	// in each of 7 regions and 55 cells would use 1,480 of the object API's 2,000
	// calls/s.
	maxWatchers       = 3
	multiWatcherCells = 8
)

// Config configures a Manager. All fields but Log are required.
type Config struct {
	Self platform.Host
	// Cells is the number of cells of the deployment, at least 1.
	Cells int
	Store platform.ObjectStore
	Hosts platform.HostList
	// ConfigAge returns the age of the newest configuration confirmation, and false
	// if there is none.
	ConfigAge func(now time.Time) (time.Duration, bool)
	Now       func() time.Time
	Log       zerolog.Logger
}

// incarnation identifies one process on a host.
type incarnation struct{ host, id string }

// peerState is the state of the Sync calls with one entry host.
type peerState struct {
	response    view.PeerState
	hasResponse bool
	// lastContactAt is the time of the last successful call in either direction.
	lastContactAt time.Time
	lastRequestAt time.Time
	failedCalls   int
}

// backendState is the warm-up state of one backend server.
type backendState struct {
	coldstart.State
	limits coldstart.Limits
}

// Manager runs the view protocol of one daemon. Its methods are safe for
// concurrent use.
type Manager struct {
	cfg  Config
	cell int

	mu      sync.Mutex
	current view.View
	// version is the version of the view object that the next write expects. It is
	// only valid if versionKnown is set.
	version      platform.Version
	versionKnown bool
	// objectEpoch is the epoch in the view object when it was last read or written.
	objectEpoch uint64
	lease       view.Lease
	// slotsUsableFrom is the time from which this host may use the cold slots that the
	// current view assigns to it.
	slotsUsableFrom time.Time
	// maxEpoch is a lower bound for the epoch of the next view that this host writes.
	maxEpoch uint64
	// lastRenewalCount is the renewal count in the view object, and renewalSeenAt the
	// time at which this host first read or wrote it.
	lastRenewalCount  uint64
	renewalSeenAt     time.Time
	readAgain         bool // the next refresh reads the object
	draining          bool
	nextOlderSighting int

	hosts   []platform.Host
	hostsAt time.Time
	// newestHosts is the last host list read; hosts is the one in use.
	newestHosts  []platform.Host
	selfListedAt time.Time

	leaving  map[incarnation]bool
	peers    map[string]*peerState
	backends map[string]*backendState
}

// New returns a Manager without a view.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:      cfg,
		cell:     view.CellOf(cfg.Self.ID, cfg.Cells),
		leaving:  map[incarnation]bool{},
		peers:    map[string]*peerState{},
		backends: map[string]*backendState{},
	}
}

// Self returns the host id of this daemon.
func (m *Manager) Self() string { return m.cfg.Self.ID }

// View returns the newest view received; its epoch is 0 if there is none.
func (m *Manager) View() view.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// LeaseValid reports whether this host is a member of the view and its lease for
// the view's epoch is valid at now.
func (m *Manager) LeaseValid(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.Has(m.cfg.Self.ID) && m.lease.Valid(m.current.Epoch, now)
}

// ViewAge returns the view's epoch and the age of its newest confirmation. ok is
// false if there is no view or no confirmation of its epoch.
func (m *Manager) ViewAge(now time.Time) (epoch uint64, age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current.Epoch == 0 || m.lease.Epoch != m.current.Epoch {
		return m.current.Epoch, 0, false
	}
	return m.current.Epoch, now.Sub(m.lease.ConfirmedAt), true
}

// RenewerToSync returns the renewer if this host should send it a Sync call,
// because the newest confirmation relayed by other members is too old.
func (m *Manager) RenewerToSync(now time.Time) (platform.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current.Renewer == m.cfg.Self.ID || m.lease.Epoch == m.current.Epoch && now.Sub(m.lease.ConfirmedAt) < syncRenewerAge {
		return platform.Host{}, false
	}
	return m.host(m.current.Renewer)
}

// Freshness returns the result of the freshness rule, which decides whether this
// host may accept new requests at now.
func (m *Manager) Freshness(now time.Time) view.FreshnessState {
	age, known := m.cfg.ConfigAge(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	responses := make([]view.PeerState, 0, len(m.peers))
	for _, p := range m.peers {
		if p.hasResponse {
			responses = append(responses, p.response)
		}
	}
	return view.Freshness(now, m.cfg.Self.ID, view.Age{Known: known, Value: age}, responses, m.current)
}

// IsWatcher reports whether this host watches the configuration head. A host that
// is not a member of its view watches, since it has no information about other
// watchers.
func (m *Manager) IsWatcher() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.current.Has(m.cfg.Self.ID) {
		return true
	}
	region := []string{m.cfg.Self.ID}
	for _, h := range m.hosts {
		if h.Role == platform.RoleEntry && h.Region == m.cfg.Self.Region && h.ID != m.cfg.Self.ID && m.current.Has(h.ID) {
			region = append(region, h.ID)
		}
	}
	n := maxWatchers
	if m.cfg.Cells > multiWatcherCells {
		n = 1
	}
	return slices.Contains(view.Ranked("config/head", region, n), m.cfg.Self.ID)
}

// SetDraining records that this host is shutting down; the renewer then removes it
// from the view.
func (m *Manager) SetDraining() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
}

// Draining reports whether SetDraining was called.
func (m *Manager) Draining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

// RecordSyncResponse records a peer's response to a Sync call that was sent at
// sentAt. The response to an earlier call than the last recorded one does not
// replace the peer's state.
func (m *Manager) RecordSyncResponse(host string, sentAt time.Time, configAge view.Age, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(host)
	if !p.hasResponse || sentAt.After(p.response.RequestSentAt) {
		p.response, p.hasResponse = view.PeerState{Host: host, RequestSentAt: sentAt, ConfigAge: configAge}, true
	}
	m.recordContact(p, host, sentAt, draining)
}

// RecordSyncRequest records a Sync call received from a peer. The call shows that
// the peer is alive, but does not count for the freshness rule, since the time
// that the request spent in the network is unknown. isNew is set if the peer
// needs all cold sightings: it is unknown, new or has sent no request for
// peerAbsenceTimeout.
func (m *Manager) RecordSyncRequest(host string, draining bool) (isNew bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.host(host); !known && !m.current.Has(host) {
		return true
	}
	p, now := m.peer(host), m.cfg.Now()
	isNew = now.Sub(p.lastRequestAt) > peerAbsenceTimeout
	p.lastRequestAt = now
	m.recordContact(p, host, now, draining)
	return isNew
}

// RecordSyncFailure counts a failed Sync call to a peer.
func (m *Manager) RecordSyncFailure(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(host).failedCalls++
}

func (m *Manager) recordContact(p *peerState, host string, at time.Time, draining bool) {
	if at.After(p.lastContactAt) {
		p.lastContactAt, p.failedCalls = at, 0
	}
	if h, ok := m.host(host); ok && h.Role == platform.RoleEntry {
		// A daemon that no longer reports itself as draining has been restarted,
		// possibly before the host list contains the new incarnation.
		m.setLeaving(incarnation{host, h.Incarnation}, draining)
	}
}

func (m *Manager) setLeaving(i incarnation, leaving bool) {
	if leaving {
		m.leaving[i] = true
		return
	}
	delete(m.leaving, i)
}

func (m *Manager) peer(host string) *peerState {
	p := m.peers[host]
	if p == nil {
		p = &peerState{}
		m.peers[host] = p
	}
	return p
}

func (m *Manager) host(id string) (platform.Host, bool) {
	for _, h := range m.hosts {
		if h.ID == id {
			return h, true
		}
	}
	return platform.Host{}, false
}

// MarkLeaving records that an incarnation of a host is terminating, whatever the
// source of the notice.
func (m *Manager) MarkLeaving(host, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving[incarnation{host, id}] = true
}

// Hosts returns the hosts of this cell in the host list in use. A host that any
// source reported as leaving keeps that state until its incarnation changes, or,
// if it is an entry host, until a Sync call shows that it is no longer draining.
func (m *Manager) Hosts() []platform.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.Clone(m.hosts)
	for i := range out {
		if m.isLeaving(out[i]) {
			out[i].State = platform.HostLeaving
		}
	}
	return out
}

func (m *Manager) isLeaving(h platform.Host) bool {
	return h.State == platform.HostLeaving || m.leaving[incarnation{h.ID, h.Incarnation}]
}

// Peers returns the other entry hosts of the cell in the host list, sorted by id.
// They are the targets of Sync calls. Hosts without a peer address are omitted.
func (m *Manager) Peers() []platform.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []platform.Host
	for _, h := range m.hosts {
		if h.Role == platform.RoleEntry && h.ID != m.cfg.Self.ID && h.PeerAddress != "" {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b platform.Host) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// HostByID returns the entry of a host of this cell in the host list.
func (m *Manager) HostByID(id string) (platform.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.host(id)
}
