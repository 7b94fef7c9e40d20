package membership

import (
	"cmp"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/view"
)

// Status is the membership section of a state dump. Ages are in milliseconds; -1
// means that the event has not occurred.
type Status struct {
	Self       string          `json:"self"`
	Draining   bool            `json:"draining"`
	View       view.View       `json:"view"`
	ViewAgeMS  int64           `json:"view_age_ms"`
	LeaseValid bool            `json:"lease_valid"`
	Freshness  string          `json:"freshness"`
	Watcher    bool            `json:"watcher"`
	HostsAgeMS int64           `json:"hosts_age_ms"`
	Peers      []PeerStatus    `json:"peers"`
	Backends   []BackendStatus `json:"backends"`
}

// PeerStatus is the state of the Sync calls with another entry host.
type PeerStatus struct {
	Host string `json:"host"`
	// ResponseAgeMS is the time since the last call that got a response was sent.
	ResponseAgeMS int64 `json:"answer_age_ms"`
	ContactAgeMS  int64 `json:"contact_age_ms"`
	FailedCalls   int   `json:"failed_calls"`
}

// BackendStatus is the warm-up state of a backend server.
type BackendStatus struct {
	Backend          string `json:"backend"`
	Incarnation      string `json:"incarnation"`
	ConcurrencyLimit int    `json:"level"`
	WarmLimit        int    `json:"warm_limit"`
	// Limit is the number of requests that this host may have in flight there now.
	Limit int `json:"limit"`
}

// Status returns the state at now for a state dump. Peers and backend servers are
// sorted by id.
func (m *Manager) Status(now time.Time) Status {
	s := Status{
		Self: m.Self(), Draining: m.Draining(), View: m.View(), LeaseValid: m.LeaseValid(now),
		Freshness: m.Freshness(now).String(), Watcher: m.IsWatcher(),
		Peers: []PeerStatus{}, Backends: []BackendStatus{},
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s.ViewAgeMS, s.HostsAgeMS = ageMS(now, m.lease.ConfirmedAt), ageMS(now, m.hostsAt)
	for id, p := range m.peers {
		s.Peers = append(s.Peers, PeerStatus{
			Host: id, ResponseAgeMS: ageMS(now, p.response.RequestSentAt), ContactAgeMS: ageMS(now, p.lastContactAt), FailedCalls: p.failedCalls,
		})
	}
	g := m.grant()
	for id, b := range m.backends {
		s.Backends = append(s.Backends, BackendStatus{
			Backend: id, Incarnation: b.Incarnation(), ConcurrencyLimit: b.ConcurrencyLimit(), WarmLimit: b.limits.Warm, Limit: b.Limit(now, b.limits, g),
		})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortFunc(s.Backends, func(a, b BackendStatus) int { return cmp.Compare(a.Backend, b.Backend) })
	return s
}

// ageMS returns the time since at in milliseconds, or -1 if at is zero.
func ageMS(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
