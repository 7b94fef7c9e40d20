// Package route holds the operators' configuration as the request path reads
// it: an immutable table of routes, services, teams and limits that is replaced
// as a whole. It is pure.
package route

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run several times.
	Idempotent
	// Stream requests run at most once and are answered by events.
	Stream
)

// String returns the name used in logs.
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

// Target is one of the services that a route is divided among.
type Target struct {
	Service string
	Weight  int
}

// Route says how the requests of one host name and path prefix are served.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time to the whole answer, or to a stream's first event.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream.
	GapObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Attempts is the number of backend servers that one request may run on.
	Attempts int
	// Public routes need no key.
	Public  bool
	Targets []Target
	// Regions are the only ones that may serve the route; empty allows all.
	Regions []string
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// KVTokens is the memory of one engine, in tokens.
	KVTokens int
	// KVTokenBytes is the memory of one token.
	KVTokenBytes int
	// LinkMbps is the rate at which runs are copied between engines, in Mbit/s.
	LinkMbps float64
	// CanMigrate says that running requests can be moved to another engine.
	CanMigrate bool `json:"Moves"`
	// CanReplicate says that an engine can copy a run to another one as it grows.
	CanReplicate bool `json:"Standbys"`
	// EventTokens is the number of tokens in one event.
	EventTokens int
	// CopyTTL is how long an engine keeps a copied run that nobody continues.
	CopyTTL time.Duration
}

// Service is a group of backend servers.
type Service struct {
	Name string
	// ColdPerSecond is the number of requests a second that a cold backend
	// server bears.
	ColdPerSecond float64
	ColdStart     time.Duration
	// Engine is nil for plain services.
	Engine *Engine
}

// Team is the owner of keys.
type Team struct {
	Name string
	// Priority, if set, replaces that of the route.
	Priority *int
	Regions  []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	// HeaderTime is the longest time for the head of a request.
	HeaderTime time.Duration
	// IdleTime is how long a connection without a request is kept.
	IdleTime time.Duration
}

// Table is one version of the configuration. It must not be changed after New.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// NeedsKey says that requests on routes that are not public carry a key.
	NeedsKey bool
	routes   map[routeKey]*Route
	hosts    map[string]bool
	keys     map[string]*Team
}

type routeKey struct{ host, prefix string }

// Document is the content of a Table.
type Document struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Teams is nil if the configuration knows no keys.
	Teams []TeamKeys
}

// TeamKeys is a team with its keys.
type TeamKeys struct {
	Team Team
	Keys []string
}

// New indexes a document.
func New(d Document) *Table {
	t := &Table{
		Version:  d.Version,
		Limits:   d.Limits,
		Services: make(map[string]*Service, len(d.Services)),
		NeedsKey: d.Teams != nil,
		routes:   make(map[routeKey]*Route, len(d.Routes)),
		hosts:    map[string]bool{},
		keys:     map[string]*Team{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		r.Host = HostName(r.Host)
		t.routes[routeKey{r.Host, r.PathPrefix}] = r
		t.hosts[r.Host] = true
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

// HostName returns a Host header's name in lower case, without a port.
func HostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route with the longest prefix of path, without a query, or
// nil.
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

// Team returns the team that holds the key, or nil.
func (t *Table) Team(key string) *Team { return t.keys[key] }

// Target chooses the service of one request by the route's weights. The same
// request id always gives the same service.
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

// Regions returns a function that reports whether a request of the route and
// team may be served in a region.
func Regions(r *Route, team *Team) func(region string) bool {
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
