package membership

import (
	"cmp"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/view"
)

// Status is the keeper's part of a state dump. Ages are in milliseconds; -1
// means that there was no such event.
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

// PeerStatus is what the keeper knows about another entry host.
type PeerStatus struct {
	Host string `json:"host"`
	// AnswerAgeMS is the time since the last answered call was sent.
	AnswerAgeMS int64 `json:"answer_age_ms"`
	ContactMS   int64 `json:"contact_age_ms"`
	FailedCalls int   `json:"failed_calls"`
}

// BackendStatus is the ramp state of a backend server.
type BackendStatus struct {
	Backend     string `json:"backend"`
	Incarnation string `json:"incarnation"`
	Level       int    `json:"level"`
	WarmLimit   int    `json:"warm_limit"`
	// Limit is how many requests this host may have in flight there now.
	Limit int `json:"limit"`
}

// Status returns the keeper's state at now for a state dump.
func (k *Keeper) Status(now time.Time) Status {
	s := Status{
		Self: k.Self(), Draining: k.Draining(), View: k.View(), LeaseValid: k.LeaseValid(now),
		Freshness: k.Freshness(now).String(), Watcher: k.IsWatcher(),
		Peers: []PeerStatus{}, Backends: []BackendStatus{},
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s.ViewAgeMS, s.HostsAgeMS = since(now, k.lease.ConfirmedAt), since(now, k.hostsAt)
	for id, p := range k.peers {
		s.Peers = append(s.Peers, PeerStatus{
			Host: id, AnswerAgeMS: since(now, p.heard.At), ContactMS: since(now, p.contactAt), FailedCalls: p.failed,
		})
	}
	g := k.grant()
	for id, b := range k.backends {
		s.Backends = append(s.Backends, BackendStatus{
			Backend: id, Incarnation: b.Incarnation(), Level: b.Level(), WarmLimit: b.limits.Warm, Limit: b.Limit(now, b.limits, g),
		})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortFunc(s.Backends, func(a, b BackendStatus) int { return cmp.Compare(a.Backend, b.Backend) })
	return s
}

func since(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
