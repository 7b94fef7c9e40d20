package membership

import (
	"cmp"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/coldstart"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	// maxSightings is the maximum number of cold sightings in one heartbeat.
	maxSightings = 256
	// recentSightingAge is the age up to which a sighting is part of every heartbeat.
	recentSightingAge = 5 * time.Second
	// olderSightingsPerHeartbeat is the number of older sightings in a heartbeat. About
	// 24 heartbeats a second with 2 sightings of 50 bytes use half of the 5 KB/s
	// allowed for control traffic.
	olderSightingsPerHeartbeat = 2
)

// ColdSighting is an observation of a backend server in the cold state.
type ColdSighting struct {
	Backend     string
	Incarnation string
	At          time.Time
}

// grant returns this host's right to use cold slots. The lock is held.
func (m *Manager) grant() coldstart.Grant {
	g := coldstart.Grant{Self: m.cfg.Self.ID, View: m.current, SlotsUsableFrom: m.slotsUsableFrom}
	if m.lease.Epoch == m.current.Epoch {
		g.LeaseUntil = m.lease.Until()
	}
	return g
}

func (m *Manager) backend(id string) *backendState {
	b := m.backends[id]
	if b == nil {
		b = &backendState{State: coldstart.State{Backend: id}}
		m.backends[id] = b
	}
	return b
}

// ObserveLoad applies the load report of a backend server, in response to a poll
// sent at sentAt. ownInFlight is the number of this host's requests in flight there
// at that time. target is the smallest target for the time to first token among the
// service's classes; 0 means that there is none.
func (m *Manager) ObserveLoad(id string, limits coldstart.Limits, target time.Duration, r platform.LoadReport, sentAt time.Time, ownInFlight int) {
	// The age in a report is relative to the response, which was sent after sentAt.
	// 1 ms and 1% are added for the resolution and the drift of the clocks.
	age := time.Duration(max(r.AgeMS, 0)+1) * time.Millisecond * 101 / 100
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.backend(id)
	b.limits = limits
	b.Observe(coldstart.Report{
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		TakenAt:     sentAt.Add(-age),
		InFlight:    r.Running + r.Waiting,
		Completed:   r.Completed,
		FirstToken:  time.Duration(r.RecentFirstTokenMS) * time.Millisecond,
		OwnInFlight: ownInFlight,
	}, limits, target, m.grant())
}

// RecordCold records that this host or a peer observed a backend server in the cold
// state. It reports whether the sighting is new and has to be sent to peers.
func (m *Manager) RecordCold(s ColdSighting) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.host(s.Backend); !known && m.backends[s.Backend] == nil {
		return false
	}
	b := m.backend(s.Backend)
	now := m.cfg.Now()
	if s.At.After(now) {
		s.At = now
	}
	return b.MarkCold(s.At, now, b.limits)
}

// ColdSightings returns the last sightings of backend servers that have not warmed
// up since: the recent ones and a few older ones in rotation, or, if includeAll is set,
// as many as fit into a heartbeat. They are sent repeatedly, so that a host that
// joined late or missed a message does not treat such a backend server as warm.
func (m *Manager) ColdSightings(includeAll bool) []ColdSighting {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	var recent, older []ColdSighting
	for id, b := range m.backends {
		at, cold := b.SeenCold(b.limits)
		s := ColdSighting{Backend: id, Incarnation: b.Incarnation(), At: at}
		switch {
		case cold && (includeAll || now.Sub(at) < recentSightingAge):
			recent = append(recent, s)
		case cold:
			older = append(older, s)
		}
	}
	slices.SortFunc(recent, func(a, b ColdSighting) int { return b.At.Compare(a.At) })
	slices.SortFunc(older, func(a, b ColdSighting) int { return cmp.Compare(a.Backend, b.Backend) })
	for range min(olderSightingsPerHeartbeat, len(older)) {
		m.nextOlderSighting = (m.nextOlderSighting + 1) % len(older)
		recent = append(recent, older[m.nextOlderSighting])
	}
	return recent[:min(len(recent), maxSightings)]
}

// Limit returns how many requests this host may have in flight at a backend server
// at now. It is 0 for a backend server in cold start if the lease is not valid. A
// positive limit that depends on the lease expires at until, which the sender has
// to check immediately before it sends; until is zero for a warm backend server.
func (m *Manager) Limit(id string, now time.Time) (n int, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.backends[id]
	if b == nil {
		return 0, time.Time{}
	}
	g := m.grant()
	n = b.Limit(now, b.limits, g)
	if n > 0 && b.ConcurrencyLimit() < max(b.limits.Warm, b.limits.Cold, 1) {
		until = g.LeaseUntil
	}
	return n, until
}

// RetainBackends deletes the warm-up states of the backend servers for which keep
// returns false. If such a backend server returns in cold start, this host uses its
// slots only after a load report that shows it idle.
func (m *Manager) RetainBackends(keep func(id string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.backends {
		if !keep(id) {
			delete(m.backends, id)
		}
	}
}
