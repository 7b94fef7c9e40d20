package membership

import (
	"cmp"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/coldstart"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	// maxSightings bounds the cold sightings in one heartbeat.
	maxSightings = 256
	// recentSighting is how long every heartbeat repeats a sighting.
	recentSighting = 5 * time.Second
	// repeatedSightings is the number of older sightings per heartbeat. About 24
	// heartbeats a second with 2 of 50 bytes take half of the 5 KB/s for control.
	repeatedSightings = 2
)

// ColdObservation is a backend server seen cold.
type ColdObservation struct {
	Backend     string
	Incarnation string
	At          time.Time
}

func (m *Manager) grant() coldstart.Grant {
	g := coldstart.Grant{Self: m.cfg.Self.ID, View: m.current, SlotsUsableFrom: m.rightsBegin}
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

// ObserveLoad applies a backend server's load report. The call that fetched it
// was sent at sentAt; ownInFlight is this host's number of requests in flight
// there at that time, and target the first-token target of the service's
// tightest class (0: none).
func (m *Manager) ObserveLoad(id string, limits coldstart.Limits, target time.Duration, r platform.LoadReport, sentAt time.Time, ownInFlight int) {
	// A report's age is relative to its answer, which was sent after sentAt. The
	// age is rounded up by 1 ms and 1% for the resolution and drift of the clock.
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

// RecordCold records that a backend server was seen cold, by this host or by a
// peer. It reports whether the sighting is new, so that it is pushed to peers.
func (m *Manager) RecordCold(s ColdObservation) bool {
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

// ColdObservations returns backend servers that were seen cold and have not warmed up
// again: the recent ones and, in turn, a few older ones, or all of them. They
// are repeated, so that a host that joins late or missed a push does not take
// such a backend server for warm.
func (m *Manager) ColdObservations(all bool) []ColdObservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	var recent, older []ColdObservation
	for id, b := range m.backends {
		at, cold := b.SeenCold(b.limits)
		s := ColdObservation{Backend: id, Incarnation: b.Incarnation(), At: at}
		switch {
		case cold && (all || now.Sub(at) < recentSighting):
			recent = append(recent, s)
		case cold:
			older = append(older, s)
		}
	}
	slices.SortFunc(recent, func(a, b ColdObservation) int { return b.At.Compare(a.At) })
	slices.SortFunc(older, func(a, b ColdObservation) int { return cmp.Compare(a.Backend, b.Backend) })
	for range min(repeatedSightings, len(older)) {
		m.repeatNext = (m.repeatNext + 1) % len(older)
		recent = append(recent, older[m.repeatNext])
	}
	return recent[:min(len(recent), maxSightings)]
}

// Limit returns how many requests this host may have in flight at a backend
// server at now. Backend servers in cold start get 0 without a valid lease. A
// positive limit that depends on the lease ends at until, which the sender must
// check again right before it sends; until is zero for a warm backend server.
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

// RetainBackends drops the ramp states of backend servers that keep returns false for.
// A dropped backend server starts again with an idle report.
func (m *Manager) RetainBackends(keep func(id string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.backends {
		if !keep(id) {
			delete(m.backends, id)
		}
	}
}
