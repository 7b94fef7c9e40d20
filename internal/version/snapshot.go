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

// Backend is a backend server that may get new work.
type Backend struct {
	Host     platform.Host
	Counters *Counters
	Load     platform.LoadReport
	// LoadSampledAt is the moment the load report describes; zero without a report.
	LoadSampledAt time.Time
	// Limit is the number of requests this host may have in flight there.
	Limit int
	// LimitUntil is when Limit lapses because it rests on a lease; zero: never.
	LimitUntil time.Time
	// Capacity is the service's warm limit.
	Capacity int
	// Warm says that the backend server is past its cold start.
	Warm bool
}

// Incarnation returns the process that Limit holds for: the one of the load
// report, since the host list may lag behind it.
func (b *Backend) Incarnation() string { return IncarnationOf(b.Host, b.Load) }

// IncarnationOf returns the process of a backend server that answers at
// present: the one of its load report, if there is one.
func IncarnationOf(h platform.Host, load platform.LoadReport) string {
	if load.Incarnation != "" {
		return load.Incarnation
	}
	return h.Incarnation
}

// CurrentLimit returns the limit that holds at now.
func (b *Backend) CurrentLimit(now time.Time) int {
	if !b.LimitUntil.IsZero() && now.After(b.LimitUntil) {
		return 0
	}
	return b.Limit
}

// Service is a service with its backend servers.
type Service struct {
	config.Service
	// Backends may get new work.
	Backends []*Backend
}

// ClassFor returns the class that the service's rules give to a request.
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

// Snapshot is one version of the routing state.
type Snapshot struct {
	Document *config.Document
	services map[string]*Service
	models   map[string]*Service
	teams    map[[sha256.Size]byte]config.Team
	// reachable are all known backend servers by id, those without new work
	// included, so that running generations there can be resumed.
	reachable map[string]platform.Host
}

// Limiter decides how many requests this host may have in flight at a backend
// server. A zero until means that the limit does not lapse.
type Limiter func(host platform.Host) (limit int, until time.Time, warm bool)

// Report is a load report with the moment it describes.
type Report struct {
	Load      platform.LoadReport
	SampledAt time.Time
	// RequestedAt is when the report was asked for; a lagged report was taken earlier.
	RequestedAt time.Time
}

// Inputs are what a snapshot is built from.
type Inputs struct {
	Document *config.Document
	// Previous may be nil. What follows from the document alone is taken from
	// it while the document is the same: an index of 9,800 teams takes 5 ms to
	// build, and a daemon builds 7 snapshots a second.
	Previous *Snapshot
	Hosts    []platform.Host
	// Reports holds the last load report by host id.
	Reports map[string]Report
	// Counters returns the counters of a backend server's incarnation.
	Counters func(host platform.Host) *Counters
	Limit    Limiter
	// Excluded says that a backend server does not answer at present.
	Excluded func(host platform.Host) bool
}

// Build returns the snapshot of the inputs.
func Build(in Inputs) *Snapshot {
	s := &Snapshot{
		Document:  in.Document,
		services:  make(map[string]*Service, len(in.Document.Services)),
		models:    map[string]*Service{},
		reachable: map[string]platform.Host{},
	}
	s.addServices()
	if in.Previous != nil && in.Previous.Document == in.Document {
		s.teams = in.Previous.teams
	} else {
		s.teams = indexTeams(in.Document)
	}
	for _, h := range in.Hosts {
		s.addHost(h, &in)
	}
	for _, svc := range s.services {
		slices.SortFunc(svc.Backends, compareBackends)
	}
	return s
}

// compareBackends sorts by region and id, so that all hosts divide the backend
// servers in the same order.
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

// indexTeams returns the teams by the hash of their keys.
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

func (s *Snapshot) addHost(h platform.Host, in *Inputs) {
	if h.Role != platform.RoleBackend {
		return
	}
	s.reachable[h.ID] = h
	svc, ok := s.services[h.Service]
	if !ok || h.State != platform.HostLive || s.Document.OutOfService(h.ID, h.Domain) || in.Excluded(h) {
		return
	}
	report := in.Reports[h.ID]
	b := &Backend{Host: h, Counters: in.Counters(h), Load: report.Load, LoadSampledAt: report.SampledAt, Capacity: svc.WarmLimit}
	b.Limit, b.LimitUntil, b.Warm = in.Limit(h)
	svc.Backends = append(svc.Backends, b)
}

// Service returns the service of that name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// ServiceForModel returns the service that answers to a model name.
func (s *Snapshot) ServiceForModel(model string) (*Service, bool) {
	svc, ok := s.models[model]
	return svc, ok
}

// Models returns the model names in no particular order.
func (s *Snapshot) Models() []string {
	out := make([]string, 0, len(s.models))
	for m := range s.models {
		out = append(out, m)
	}
	return out
}

// TeamByKey returns the team that a bearer key belongs to.
func (s *Snapshot) TeamByKey(key []byte) (config.Team, bool) {
	t, ok := s.teams[sha256.Sum256(key)]
	return t, ok
}

// BackendHost returns a backend server by id, whether or not it gets new work.
func (s *Snapshot) BackendHost(id string) (platform.Host, bool) {
	h, ok := s.reachable[id]
	return h, ok
}

// Services calls f for each service.
func (s *Snapshot) Services(f func(*Service)) {
	for _, svc := range s.services {
		f(svc)
	}
}
