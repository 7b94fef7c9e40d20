// Package route provides the operators' configuration to the request path: an immutable
// table of routes, services, teams and limits. A new configuration version replaces the
// table atomically. The package does no I/O and has no clock or goroutines.
package route

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind determines whether requests may be retried and how they are answered.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run several times.
	Idempotent
	// Stream requests run at most once and are answered with an event stream.
	Stream
)

// String returns the name used in log lines.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// Target is one of the services that share a route's requests in proportion to their
// weights.
type Target struct {
	Service string
	Weight  int
}

// Route defines how requests for one host name and path prefix are served.
type Route struct {
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout limits the time from the receipt of a request to the end of its response;
	// 0 means that the route sets no limit.
	Timeout time.Duration
	// Objective is the latency objective: the time to the complete response, or to the
	// first event of a stream.
	Objective time.Duration
	// GapObjective is the objective for the longest gap between events of a stream.
	GapObjective time.Duration
	// Priority orders routes under load; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of executions of one idempotent request. Attempts that
	// a backend server rejects unexecuted do not count.
	Attempts int
	// Resumable is set if a stream of the route may run more than once: a new run continues after the last event
	// that it is given. At most Attempts servers run one request.
	Resumable bool
	// Public is set if requests need no API key.
	Public  bool
	Targets []Target
	// Regions lists the regions that may serve the route; empty allows all.
	Regions []string
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// KVTokens is the size of one engine's KV cache, in tokens.
	KVTokens int
	// KVTokenBytes is the size of one token in the KV cache, in bytes.
	KVTokenBytes int
	// LinkMbps is the rate at which KV caches are copied between engines, in Mbit/s.
	LinkMbps float64
	// CanMigrate is set if engines support live migration of generations.
	CanMigrate bool `json:"Moves"`
	// CanReplicate is set if engines can keep a standby replica of a running generation
	// up to date at another engine.
	CanReplicate bool `json:"Standbys"`
	// EventTokens is the number of tokens in one event.
	EventTokens int
	// CopyTTL is how long an engine keeps a copied KV cache whose generation is not
	// resumed.
	CopyTTL time.Duration
}

// Service is a group of backend servers.
type Service struct {
	Name string
	// ColdPerSecond is the limit on requests per second to a cold backend server;
	// 0 means no limit.
	ColdPerSecond float64
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
	// Engine is nil for plain services.
	Engine *Engine
}

// Team is a group of callers that owns API keys.
type Team struct {
	Name string
	// Priority, if set, overrides that of the route.
	Priority *int
	// Regions lists the regions that may serve the team; empty allows all.
	Regions []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	// HeaderTime is the timeout for receiving a request's header section.
	HeaderTime time.Duration
	// IdleTime is the timeout of a connection without a request.
	IdleTime time.Duration
}

// Table is one version of the configuration. It must not be changed after New.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// NeedsKey is set if requests on routes that are not public must carry an API key.
	NeedsKey bool
	routes   map[routeKey]*Route
	hosts    map[string]bool
	keys     map[string]*Team
	// mostUrgent has the lowest priority of the routes to each service.
	mostUrgent map[string]int
}

type routeKey struct{ host, prefix string }

// Document is the decoded configuration that New builds a Table from.
type Document struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Teams is nil if the configuration defines no API keys, so that none are required.
	Teams []TeamKeys
}

// TeamKeys is a team with its API keys.
type TeamKeys struct {
	Team Team
	Keys []string
}

// New builds the indexes of a Table. The Table refers to the slices of the document,
// and New normalizes the host names in them.
func New(d Document) *Table {
	t := &Table{
		Version:  d.Version,
		Limits:   d.Limits,
		Services: make(map[string]*Service, len(d.Services)),
		NeedsKey: d.Teams != nil,
		routes:   make(map[routeKey]*Route, len(d.Routes)),
		hosts:    map[string]bool{},
		keys:     map[string]*Team{},

		mostUrgent: map[string]int{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		r.Host = HostName(r.Host)
		t.routes[routeKey{r.Host, r.PathPrefix}] = r
		t.hosts[r.Host] = true
		for _, target := range r.Targets {
			if urgent, known := t.mostUrgent[target.Service]; !known || r.Priority < urgent {
				t.mostUrgent[target.Service] = r.Priority
			}
		}
	}
	for i := range d.Services {
		t.Services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Teams {
		for _, key := range d.Teams[i].Keys {
			t.keys[key] = &d.Teams[i].Team
		}
	}
	return t
}

// HostName returns the host name of a Host header in lower case, without the port.
func HostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of the host with the longest path prefix, or nil. The path must
// not include a query.
func (t *Table) Match(host, path string) *Route {
	host = HostName(host)
	if !t.hosts[host] {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := t.routes[routeKey{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// MostUrgent returns the lowest priority number of the routes to a service.
func (t *Table) MostUrgent(service string) int { return t.mostUrgent[service] }

// Team returns the team that owns the API key, or nil.
func (t *Table) Team(key string) *Team { return t.keys[key] }

// TeamNamed returns the team of a name, or nil if no API key belongs to one.
func (t *Table) TeamNamed(name string) *Team {
	for _, team := range t.keys {
		if team.Name == name {
			return team
		}
	}
	return nil
}

// Target returns the service for one request, chosen by the targets' weights. The choice is
// a hash of the request ID, so the same ID always gives the same service. If no weight is
// positive, the first target is used; without targets the result is empty.
func (r *Route) Target(requestID string) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	n := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, target := range r.Targets {
		if n < target.Weight {
			return target.Service
		}
		n -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// RegionFilter returns a function that reports whether both the route and the team, which may
// be nil, allow a region to serve the request.
func RegionFilter(r *Route, team *Team) func(region string) bool {
	allowed := [][]string{r.Regions}
	if team != nil {
		allowed = append(allowed, team.Regions)
	}
	return func(region string) bool {
		for _, regions := range allowed {
			if len(regions) > 0 && !contains(regions, region) {
				return false
			}
		}
		return true
	}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
