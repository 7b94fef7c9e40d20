package version

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// Backend is a backend server that is eligible for new requests.
type Backend struct {
	Host     platform.Host
	Counters *Counters
	Load     platform.LoadReport
	// LoadSampledAt is the time at which the load was sampled; zero without a report.
	LoadSampledAt time.Time
	// Limit is the number of requests this host may have in flight at the server.
	Limit int
	// LimitUntil is the expiry of the lease that Limit depends on; zero means that
	// Limit does not expire.
	LimitUntil time.Time
	// Capacity is the service's concurrency limit for a warm server, of all hosts
	// together.
	Capacity int
	// Warm is set when the server has finished its cold start.
	Warm bool
}

// Incarnation returns the incarnation that Limit applies to: the one of the load
// report, since the host list may lag behind it.
func (b *Backend) Incarnation() string { return IncarnationOf(b.Host, b.Load) }

// IncarnationOf returns the current incarnation of a backend server: the one in
// its load report, else the one in the host list.
func IncarnationOf(h platform.Host, load platform.LoadReport) string {
	if load.Incarnation != "" {
		return load.Incarnation
	}
	return h.Incarnation
}

// CurrentLimit returns Limit, or 0 once LimitUntil has passed.
func (b *Backend) CurrentLimit(now time.Time) int {
	if !b.LimitUntil.IsZero() && now.After(b.LimitUntil) {
		return 0
	}
	return b.Limit
}

// Service is the configuration of a service with its eligible backend servers.
type Service struct {
	config.Service
	// Backends are the servers eligible for new requests, sorted by region and id.
	Backends []*Backend
}

// ClassFor returns the class of the first rule that matches the request, or an empty
// string.
func (s *Service) ClassFor(method, path string) string {
	for _, r := range s.Rules {
		if r.Method != "" && r.Method != method {
			continue
		}
		if len(path) >= len(r.PathPrefix) && path[:len(r.PathPrefix)] == r.PathPrefix {
			return r.Class
		}
	}
	return ""
}

// Snapshot is one immutable version of the routing state.
type Snapshot struct {
	Document *config.Document
	services map[string]*Service
	models   map[string]*Service
	teams    map[[sha256.Size]byte]config.Team
	// backendHosts holds all registered backend servers by id, including those not
	// eligible for new requests, so that generations running there can be resumed.
	backendHosts map[string]platform.Host
}

// Limiter returns how many requests this host may have in flight at a backend
// server, and whether the server is warm. The limit expires at until, unless until
// is zero.
type Limiter func(host platform.Host) (limit int, until time.Time, warm bool)

// Report is a load report with the time at which its load was sampled.
type Report struct {
	Load      platform.LoadReport
	SampledAt time.Time
	// RequestedAt is the time of the load poll. A lagging server reports a load that
	// was sampled earlier.
	RequestedAt time.Time
}

// Inputs holds the sources of a snapshot.
type Inputs struct {
	Document *config.Document
	// Previous is the preceding snapshot or nil. While the document is unchanged, the
	// team index is reused from it: an index of 9,800 teams takes 5 ms to build, and a
	// daemon builds 7 snapshots a second.
	Previous *Snapshot
	Hosts    []platform.Host
	// Reports holds the latest load report by host id.
	Reports map[string]Report
	// Counters returns the counters of the backend server's incarnation.
	Counters func(host platform.Host) *Counters
	Limit    Limiter
	// Excluded reports whether the backend server refuses connections and gets no new
	// requests until it answers a load poll.
	Excluded func(host platform.Host) bool
}

// Build returns a new snapshot. It does not modify the inputs.
func Build(in Inputs) *Snapshot {
	s := &Snapshot{
		Document:     in.Document,
		services:     make(map[string]*Service, len(in.Document.Services)),
		models:       map[string]*Service{},
		backendHosts: map[string]platform.Host{},
	}
	s.addServices()
	if in.Previous != nil && in.Previous.Document == in.Document {
		s.teams = in.Previous.teams
	} else {
		s.teams = indexTeams(in.Document)
	}
	for _, h := range in.Hosts {
		s.addBackend(h, &in)
	}
	for _, svc := range s.services {
		slices.SortFunc(svc.Backends, compareBackends)
	}
	return s
}

// compareBackends orders by region and id, so that all hosts compute their shares
// from the same order.
func compareBackends(a, b *Backend) int {
	return cmp.Or(cmp.Compare(a.Host.Region, b.Host.Region), cmp.Compare(a.Host.ID, b.Host.ID))
}

func (s *Snapshot) addServices() {
	for name, c := range s.Document.Services {
		svc := &Service{Service: c}
		s.services[name] = svc
		for _, m := range c.Models {
			s.models[m] = svc
		}
	}
}

// indexTeams returns the teams by the SHA-256 of each of their keys.
func indexTeams(doc *config.Document) map[[sha256.Size]byte]config.Team {
	teams := make(map[[sha256.Size]byte]config.Team, len(doc.Teams))
	for _, t := range doc.Teams {
		for _, h := range t.KeyHashes {
			var sum [sha256.Size]byte
			if n, err := hex.Decode(sum[:], []byte(h)); err == nil && n == sha256.Size {
				teams[sum] = t
			}
		}
	}
	return teams
}

func (s *Snapshot) addBackend(h platform.Host, in *Inputs) {
	if h.Role != platform.RoleBackend {
		return
	}
	s.backendHosts[h.ID] = h
	svc, ok := s.services[h.Service]
	if !ok || h.State != platform.HostLive || s.Document.OutOfService(h.ID, h.Domain) || in.Excluded(h) {
		return
	}
	report := in.Reports[h.ID]
	b := &Backend{Host: h, Counters: in.Counters(h), Load: report.Load, LoadSampledAt: report.SampledAt, Capacity: svc.WarmLimit}
	b.Limit, b.LimitUntil, b.Warm = in.Limit(h)
	svc.Backends = append(svc.Backends, b)
}

// Service looks up a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// ServiceForModel returns the service that serves a model.
func (s *Snapshot) ServiceForModel(model string) (*Service, bool) {
	svc, ok := s.models[model]
	return svc, ok
}

// Models returns the names of all served models in no particular order.
func (s *Snapshot) Models() []string {
	out := make([]string, 0, len(s.models))
	for m := range s.models {
		out = append(out, m)
	}
	return out
}

// TeamByKey returns the team that owns a bearer key.
func (s *Snapshot) TeamByKey(key []byte) (config.Team, bool) {
	t, ok := s.teams[sha256.Sum256(key)]
	return t, ok
}

// BackendHost returns a registered backend server by id, whether or not it is
// eligible for new requests.
func (s *Snapshot) BackendHost(id string) (platform.Host, bool) {
	h, ok := s.backendHosts[id]
	return h, ok
}

// Services calls f for each service in no particular order.
func (s *Snapshot) Services(f func(*Service)) {
	for _, svc := range s.services {
		f(svc)
	}
}
