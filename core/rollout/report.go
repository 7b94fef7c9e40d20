// Package rollout moves the traffic of a service to servers of another version at the request of an operator. It divides the
// traffic between the versions, judges the new one by the responses that all hosts count, and decides when the roll-out
// is over. It does no I/O and has no clock: callers pass the time and hold the lock.
package rollout

// ID identifies a roll-out.
type ID struct {
	Service, Target string
	// Created tells requests for the same version apart. It is what the store says of the creation of the request.
	Created int64
}

// Phase is how far a roll-out is at a host. It only grows.
type Phase uint8

// Phases of a roll-out.
const (
	// Unknown is the phase before the host knows the roll-out.
	Unknown Phase = iota
	// Canary is the phase in which the version is judged by a small share of the requests.
	Canary
	// Shifting is the phase in which the share grows.
	Shifting
	// Final is the phase in which all requests go to the version, and those at the other servers end.
	Final
	// Completed is the phase after the store has confirmed that the version is in force.
	Completed
	// RolledBack is the phase in which the version gets no requests for good.
	RolledBack
)

// String returns the name used in log lines.
func (p Phase) String() string {
	return [...]string{"unknown", "canary", "shifting", "final", "completed", "rolled_back"}[p]
}

// LatencyBuckets is the number of buckets of the latency of responses. Bucket i ends at 4 ms x 2^i; the last one has no end.
const LatencyBuckets = 16

// Counts are the responses on a route since the host knows the roll-out.
type Counts struct {
	Route string
	// Target is set for responses of the version that is rolled out.
	Target             bool
	Requests, Failures int64
	Latency            [LatencyBuckets]int64
}

// ServerCounts are the responses of a server of the version that is rolled out.
type ServerCounts struct {
	Server        string
	Requests, Bad int64
}

// Report is what a host, or several hosts together, know of a roll-out.
type Report struct {
	ID
	// MinPhase and MaxPhase are the lowest and the highest phase of the hosts, and Hosts is their number.
	MinPhase, MaxPhase Phase
	Hosts              int
	// OldInFlight is the number of requests in flight at servers of other versions.
	OldInFlight int
	Counts      []Counts
	Servers     []ServerCounts
}

// Add adds the report of other hosts on the same roll-out.
func (r *Report) Add(o Report) {
	if r.Hosts == 0 || o.Hosts > 0 && o.MinPhase < r.MinPhase {
		r.MinPhase = o.MinPhase
	}
	r.MaxPhase = max(r.MaxPhase, o.MaxPhase)
	r.Hosts += o.Hosts
	r.OldInFlight += o.OldInFlight
	for _, c := range o.Counts {
		sum := r.countsOf(c.Route, c.Target)
		sum.Requests += c.Requests
		sum.Failures += c.Failures
		for i, n := range c.Latency {
			sum.Latency[i] += n
		}
	}
	for _, s := range o.Servers {
		sum := r.serverOf(s.Server)
		sum.Requests += s.Requests
		sum.Bad += s.Bad
	}
}

func (r *Report) countsOf(route string, target bool) *Counts {
	for i := range r.Counts {
		if c := &r.Counts[i]; c.Route == route && c.Target == target {
			return c
		}
	}
	r.Counts = append(r.Counts, Counts{Route: route, Target: target})
	return &r.Counts[len(r.Counts)-1]
}

func (r *Report) serverOf(id string) *ServerCounts {
	for i := range r.Servers {
		if s := &r.Servers[i]; s.Server == id {
			return s
		}
	}
	r.Servers = append(r.Servers, ServerCounts{Server: id})
	return &r.Servers[len(r.Servers)-1]
}

// Merge adds a report to a list with one report for each roll-out, and returns the list.
func Merge(list []Report, r Report) []Report {
	for i := range list {
		if list[i].ID == r.ID {
			list[i].Add(r)
			return list
		}
	}
	merged := Report{ID: r.ID}
	merged.Add(r)
	return append(list, merged)
}
