// Package membership keeps the view of the cell: it renews or follows the
// object view/<cell>, merges the host list with leaving marks and answers
// whether this host may take new work and use cold slots.
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
	// hostListTimeout bounds a read of the host list.
	hostListTimeout = 2 * time.Second
	// readAfter is the age of the last confirmation at which a follower reads the
	// object itself, while a call still fits into the lease.
	readAfter = 2 * time.Second
	// askAfter is the age of the last confirmation at which a follower's next
	// heartbeat also goes to the renewer. A heartbeat comes every second, so that
	// it normally gets a confirmation before readAfter.
	askAfter = time.Second
	// absentTrust is how long a host list without this host is taken for one
	// that fell back to an older state. Later the host has really been removed.
	absentTrust = time.Minute
	// hostListTrust is how long a host list may be used to remove members.
	hostListTrust = 10 * time.Second
	// newAfter is the pause after which a calling peer counts as new; a rotation
	// over a cell of 64 calls each member every 5.25 s.
	newAfter = 10 * time.Second
	// maxWatchers bounds the watches on the configuration head per region and
	// cell. With more than manyCells cells there is only 1, since 3 in each of 7
	// regions and 55 cells would make 1,480 of the object API's 2,000 calls/s.
	maxWatchers = 3
	manyCells   = 8
)

// Config configures a Manager. All fields but Log are required.
type Config struct {
	Self platform.Host
	// Cells is the number of cells of the deployment, at least 1.
	Cells int
	Store platform.ObjectStore
	Hosts platform.HostList
	// ConfigAge returns the age of the newest configuration confirmation.
	ConfigAge func(now time.Time) (time.Duration, bool)
	Now       func() time.Time
	Log       zerolog.Logger
}

// incarnation identifies a process on a host.
type incarnation struct{ host, id string }

type peerState struct {
	heard    view.PeerState
	hasHeard bool
	// contactAt is the last sign of life in either direction.
	contactAt time.Time
	requestAt time.Time
	failed    int
}

type backendState struct {
	coldstart.State
	limits coldstart.Limits
}

// Manager runs the view protocol of one daemon. Its methods are safe for
// concurrent use.
type Manager struct {
	cfg  Config
	cell int

	mu        sync.Mutex
	current   view.View
	version   platform.Version
	versionOK bool
	// objectEpoch is the epoch in the object when it was last read or written.
	objectEpoch uint64
	lease       view.Lease
	rightsBegin time.Time
	maxEpoch    uint64
	lastBeat    uint64
	beatAt      time.Time
	watchBeat   bool
	draining    bool
	repeatNext  int

	hosts   []platform.Host
	hostsAt time.Time
	// offered is the newest host list read; hosts is the one in use.
	offered      []platform.Host
	selfListedAt time.Time

	leaving  map[incarnation]bool
	peers    map[string]*peerState
	backends map[string]*backendState
}

// New returns a Manager that knows no view yet.
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

// View returns the newest view known; its epoch is 0 if there is none.
func (m *Manager) View() view.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// LeaseValid reports whether this host may act under the view's epoch at now.
func (m *Manager) LeaseValid(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.Has(m.cfg.Self.ID) && m.lease.Valid(m.current.Epoch, now)
}

// ViewAge returns the view's epoch and the age of its newest confirmation.
func (m *Manager) ViewAge(now time.Time) (epoch uint64, age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current.Epoch == 0 || m.lease.Epoch != m.current.Epoch {
		return m.current.Epoch, 0, false
	}
	return m.current.Epoch, now.Sub(m.lease.ConfirmedAt), true
}

// RenewerToSync returns the renewer if this host should ask it for a confirmation
// because the one relayed by other members is getting old.
func (m *Manager) RenewerToSync(now time.Time) (platform.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current.Renewer == m.cfg.Self.ID || m.lease.Epoch == m.current.Epoch && now.Sub(m.lease.ConfirmedAt) < askAfter {
		return platform.Host{}, false
	}
	return m.host(m.current.Renewer)
}

// Freshness applies the freshness rule: may this host take new work at now?
func (m *Manager) Freshness(now time.Time) view.FreshnessState {
	age, known := m.cfg.ConfigAge(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := make([]view.PeerState, 0, len(m.peers))
	for _, p := range m.peers {
		if p.hasHeard {
			heard = append(heard, p.heard)
		}
	}
	return view.Freshness(now, m.cfg.Self.ID, view.Age{Known: known, Value: age}, heard, m.current)
}

// IsWatcher reports whether this host watches the configuration head. A host
// that knows no view watches, since it cannot know of others that do.
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
	if m.cfg.Cells > manyCells {
		n = 1
	}
	return slices.Contains(view.Ranked("config/head", region, n), m.cfg.Self.ID)
}

// SetDraining marks this daemon as leaving; the renewer removes it from the view.
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

// RecordSyncResponse records a peer's answer to a Sync call that was sent at sentAt.
func (m *Manager) RecordSyncResponse(host string, sentAt time.Time, configAge view.Age, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(host)
	if !p.hasHeard || sentAt.After(p.heard.RequestSentAt) {
		p.heard, p.hasHeard = view.PeerState{Host: host, RequestSentAt: sentAt, ConfigAge: configAge}, true
	}
	m.contact(p, host, sentAt, draining)
}

// RecordSyncRequest records a Sync call received from a peer. It counts as a sign of
// life only: how long the request was on its way is unknown, so its age and
// time do not enter the freshness rule. It reports whether the peer is new or
// returns after a while, so that it has to be told about all cold sightings.
func (m *Manager) RecordSyncRequest(host string, draining bool) (isNew bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.host(host); !known && !m.current.Has(host) {
		return true
	}
	p, now := m.peer(host), m.cfg.Now()
	isNew = now.Sub(p.requestAt) > newAfter
	p.requestAt = now
	m.contact(p, host, now, draining)
	return isNew
}

// RecordSyncFailure records a Sync call to a peer that failed.
func (m *Manager) RecordSyncFailure(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(host).failed++
}

func (m *Manager) contact(p *peerState, host string, at time.Time, draining bool) {
	if at.After(p.contactAt) {
		p.contactAt, p.failed = at, 0
	}
	if h, ok := m.host(host); ok && h.Role == platform.RoleEntry {
		// A daemon that no longer says that it is draining has been restarted,
		// perhaps before the host list shows a new incarnation.
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

// MarkLeaving records from any source that an incarnation of a host is leaving.
func (m *Manager) MarkLeaving(host, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving[incarnation{host, id}] = true
}

// Hosts returns the last host list of this cell. A host that any source marked
// as leaving stays leaving until its incarnation changes.
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

// Peers returns the other entry hosts of the cell that the host list shows,
// sorted by id. Sync calls go to them.
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

// HostByID returns the host list's entry of a host in this cell.
func (m *Manager) HostByID(id string) (platform.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.host(id)
}
