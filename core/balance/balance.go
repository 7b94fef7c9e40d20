// Package balance picks the backend server of a service for each request of one
// entry host. It rates servers by the load of this host and of the other hosts,
// limits the request rate to servers that may be cold, and ejects servers that
// just failed. It does no I/O and has no clock: callers pass the time and hold
// the lock.
package balance

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

const (
	// engineRegionCost is added to the cost of an engine in another region, as a
	// fraction of an engine's KV cache. Its events cross the slow link between
	// regions, and a migration completes within the termination notice only if
	// the host that relays the generation is near.
	engineRegionCost = 0.35
	// engineDomainCost is the same for another failure domain of the region.
	engineDomainCost = 0.05
	// prefillWeight is the weight of a token still to be prefilled, in addition to
	// its weight as a token of the KV cache. Prompts are prefilled one after another,
	// so a request's first event waits for all prompts before its own.
	prefillWeight = 2
	// migrationRegionCost and migrationDomainCost keep a migrated generation near its
	// source: a copy to another failure domain takes twice as long, one to another
	// region longer still.
	migrationRegionCost = 8.0
	migrationDomainCost = 2.0
	// survivableEngineLosses is the number of engines of a region that may terminate
	// at once and whose generations must still fit into the other engines. Standby
	// replicas must not use the KV cache that those generations need.
	survivableEngineLosses = 2
	// standbySameDomainCost is added to the cost of an engine in the failure domain
	// of the generation, as a fraction of an engine's KV cache, because an outage of
	// that domain would take down the generation and its standby replica.
	standbySameDomainCost = 0.2
	// plainRegionCost is added to the cost of a plain server in another region, as a
	// fraction of its slots. The round trip there takes longer than the request itself.
	plainRegionCost = 0.8
	// plainDomainCost is the same for another failure domain of the region.
	plainDomainCost = 0.05
	// minEjection and maxEjection bound the ejection time after a failure.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
	// rateWindow is the window in which the requests to one server are limited.
	rateWindow = time.Second
)

// Server is a backend server that may receive requests.
type Server struct {
	ID, Address, Domain, Region string
	// Version is that of the server's software; empty if unknown.
	Version string
	// StartTime, in Unix milliseconds, and ID identify the process.
	StartTime int64
	Slots     int
	// PerSecond is the number of requests per second that this host may send to the server, with Settings.Limited.
	PerSecond int
}

// Settings describe the service and the location of the host.
type Settings struct {
	Domain, Region string
	// KVTokens is the size of an engine's KV cache in tokens, 0 for plain services.
	KVTokens int
	// Limited is set if Server.PerSecond limits the requests to each server, because any server may have turned cold
	// unnoticed.
	Limited bool
	// OtherRegionCost, if not 0, is added to the cost of an engine in another region instead of engineRegionCost. It is
	// higher where the load of other regions is known late: all regions would choose the same idle engine.
	OtherRegionCost float64
	// Choices, if not 0, is the number of servers of a region that Pick compares, chosen at random. Where many hosts
	// place requests between two reports of their load, the server that is best by the last report would get
	// them all.
	Choices int
}

// Request describes what a request needs from a server.
type Request struct {
	// Tokens is the expected size of the generation's KV cache, 0 for plain requests.
	Tokens int
	// Prefill is the number of these tokens that must be prefilled first.
	Prefill int
	// Allowed reports whether a region may serve the request; nil allows all.
	Allowed func(region string) bool
	// Exclude lists the IDs of servers that must not be picked, such as those already
	// attempted.
	Exclude []string
	// Source, if set, is the server that the generation is migrated from, or that
	// runs the generation if Standby is set.
	Source *Server
	// Standby requests an engine for a standby replica of a generation at Source.
	Standby bool
	// Exposed is set if a server of a version that is being rolled out may be picked.
	Exposed bool
	// KeepFree is the number of tokens of an engine's KV cache that must stay free for more urgent generations.
	KeepFree int
	// Events is the number of events that the generation is expected to have; 0 if their gaps do not matter.
	Events int
	// From is the failure domain of the host that sends the request; empty for Settings.Domain.
	From string
}

// Reason is the outcome of Pick: Chosen, or why it returned no server.
type Reason uint8

// Outcomes of Pick.
const (
	Chosen Reason = iota
	// Full means that candidates exist but none has capacity.
	Full
	// NoCandidate means that no server may serve the request.
	NoCandidate
	// RateLimited means that candidates have capacity, but this host has used up its share of
	// their rate limits.
	RateLimited
	// Refused means that all candidates have told this host to send nothing for a time.
	Refused
)

// String returns the name used in log lines.
func (r Reason) String() string {
	return [...]string{"chosen", "full", "none", "rate_limited", "refused"}[r]
}

// Process returns the process that the server is.
func (s Server) Process() serverstate.Process {
	return serverstate.Process{ID: s.ID, StartTime: s.StartTime}
}

type server struct {
	Server
	own, peers   Load
	sent         []time.Time // send times within rateWindow
	failures     int
	ejectedUntil time.Time
	present      bool
	// pace is what was learned of the process, if paced is set.
	pace  pace.Estimate
	paced bool
}

// Balancer tracks the servers of one service and the load that one host sees there.
// It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	servers  map[string]*server
	intn     func(n int) int
	// nearby and distant are used by pick.
	nearby, distant []*server
	// suspects are the servers at which other hosts have failed, by ID.
	suspects map[string]bool
	// limits are the rate limits that servers name; nil for none.
	limits *ratelimit.Limiter
	// refusals are the servers that refuse requests for a time; nil for none.
	refusals *serverstate.Refusals
	// paces are what was learned of the servers; nil for nothing.
	paces   map[serverstate.Process]pace.Estimate
	rollout Rollout
}

// New returns a Balancer without servers. intn returns a random number from 0
// to n-1. limits are the rate limits that servers name, and refusals the servers that
// refuse requests for a time; nil for none.
func New(intn func(n int) int, limits *ratelimit.Limiter, refusals *serverstate.Refusals) *Balancer {
	return &Balancer{servers: map[string]*server{}, intn: intn, limits: limits, refusals: refusals}
}

// Configure replaces the settings.
func (b *Balancer) Configure(s Settings) { b.settings = s }

// SetServers replaces the candidates. The load of this host at a removed server
// stays counted until it is removed with RemoveLoad. A server with a new address is
// no longer ejected.
func (b *Balancer) SetServers(list []Server) {
	for _, s := range b.servers {
		s.present = false
	}
	for _, s := range list {
		st := b.getOrAdd(s.ID)
		if st.Address != s.Address {
			st.failures, st.ejectedUntil = 0, time.Time{}
		}
		st.Server, st.present = s, true
		st.setPace(b.paces)
	}
	for id, s := range b.servers {
		if !s.present && s.own == (Load{}) {
			delete(b.servers, id)
		}
	}
}

func (b *Balancer) getOrAdd(id string) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{}
		b.servers[id] = s
	}
	return s
}

// SetSuspects replaces the servers at which other hosts have failed, by ID. They are ejected like those at which this
// host has failed.
func (b *Balancer) SetSuspects(suspects map[string]bool) { b.suspects = suspects }

// Pick returns the candidate of lowest cost that has capacity. Ejected servers
// are candidates only if there are no others. An exposed request gets a server of the
// version that is rolled out, and one of another version only if that has none. Pick
// reserves nothing: the caller adds the load with AddRequest or AddLoad.
func (b *Balancer) Pick(req Request, now time.Time) (Server, Reason) {
	reason := NoCandidate
	for _, at := range b.sides(req) {
		best, why := b.pick(req, now, at, false)
		if best != nil {
			return best.Server, Chosen
		}
		// What a request waits for at any version: a server that is full becomes free without further notice.
		if reason == NoCandidate || reason == Refused && why != NoCandidate {
			reason = why
		}
	}
	if reason != NoCandidate && reason != Refused {
		return Server{}, reason
	}
	best, reason := b.pick(req, now, anySide, true)
	if best == nil {
		return Server{}, reason
	}
	return best.Server, Chosen
}

func (b *Balancer) pick(req Request, now time.Time, at side, includeEjected bool) (*server, Reason) {
	near, far := b.nearby[:0], b.distant[:0]
	reason := NoCandidate
	for id, s := range b.servers {
		if !b.isCandidate(id, s, req) || !b.isAtSide(s, at) || !includeEjected && b.isEjected(id, s, now) {
			continue
		}
		if b.refusals != nil && !b.refusals.Allows(s.Process(), now) {
			if reason == NoCandidate {
				reason = Refused
			}
			continue
		}
		if reason == NoCandidate || reason == Refused {
			reason = Full
		}
		if !b.hasCapacity(s, req, now) {
			continue
		}
		if !b.allowsRate(id, req, now) {
			reason = RateLimited
			continue
		}
		if s.Region == b.originOf(req) {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	b.nearby, b.distant = near, far
	if !req.Standby && b.settings.Choices > 0 {
		near, far = b.sample(near), b.sample(far)
	}
	best := b.cheapest(near, far, req)
	if best != nil {
		reason = Chosen
	}
	return best, reason
}

// originOf returns the region from which the distance of a server counts.
func (b *Balancer) originOf(req Request) string {
	if req.Source != nil {
		return req.Source.Region
	}
	return b.settings.Region
}

// sample moves Settings.Choices random servers to the front of a list and returns them.
func (b *Balancer) sample(list []*server) []*server {
	n := min(len(list), b.settings.Choices)
	if n == len(list) {
		return list
	}
	for i := range n {
		j := i + b.intn(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// cheapest returns the server of lowest cost, or nil if both lists are empty.
func (b *Balancer) cheapest(near, far []*server, req Request) (best *server) {
	bestCost, ties := 0.0, 0
	for _, list := range [][]*server{near, far} {
		for _, s := range list {
			cost := b.cost(s, req)
			switch {
			case best == nil || cost < bestCost:
				best, bestCost, ties = s, cost, 1
			case cost == bestCost:
				// A random choice spreads the hosts over servers of equal cost. The
				// iteration order of a map does not: it favours the entry that was
				// stored first.
				if ties++; b.intn(ties) == 0 {
					best = s
				}
			}
		}
	}
	return best
}

// isCandidate reports whether a server may serve a request.
func (b *Balancer) isCandidate(id string, s *server, req Request) bool {
	return s.present && !contains(req.Exclude, id) && allowsRegion(s, req) && b.allowsVersion(id, s, req)
}

func allowsRegion(s *server, req Request) bool { return req.Allowed == nil || req.Allowed(s.Region) }

func (b *Balancer) isEjected(id string, s *server, now time.Time) bool {
	return now.Before(s.ejectedUntil) || b.suspects[id]
}

// allowsRate reports whether the rate limit of a server allows a request. A standby replica needs no
// request, and a generation that is not migrated is lost.
func (b *Balancer) allowsRate(id string, req Request, now time.Time) bool {
	return b.limits == nil || req.Standby || req.Source != nil || b.limits.Allows(id, now)
}

func (b *Balancer) hasCapacity(s *server, req Request, now time.Time) bool {
	if req.Standby {
		used := s.own.Tokens + s.peers.Tokens + req.Tokens
		return used <= b.standbyCapacity(s.Region, req)
	}
	return b.allowsColdRate(s, now) && b.fits(s, req)
}

// allowsColdRate reports whether this host may send another request to a server that may be cold.
func (b *Balancer) allowsColdRate(s *server, now time.Time) bool {
	return !b.settings.Limited || s.recentRequests(now) < s.PerSecond
}

// fits reports whether the KV cache of an engine has room for a request.
func (b *Balancer) fits(s *server, req Request) bool {
	if b.settings.KVTokens == 0 || req.Source != nil {
		// A generation that is not migrated is lost, so full targets are allowed
		// too: a target without free KV cache rejects the migration itself.
		return true
	}
	load := s.own.Tokens + s.peers.Tokens
	return load == 0 || load+req.Tokens <= b.settings.KVTokens-req.KeepFree
}

// standbyCapacity returns how many tokens of an engine's KV cache may be in use,
// including a new standby replica, so that the generations of survivableEngineLosses
// engines of the region fit into the others. Engines of a version that the generation may not use count as
// absent.
func (b *Balancer) standbyCapacity(region string, req Request) int {
	engines := 0
	for id, s := range b.servers {
		if s.present && s.Region == region && b.allowsVersion(id, s, req) {
			engines++
		}
	}
	return b.settings.KVTokens * max(0, engines-survivableEngineLosses) / max(1, engines)
}

// recentRequests drops expired send times and returns the number of requests that
// were sent within rateWindow.
func (s *server) recentRequests(now time.Time) int {
	i := 0
	for i < len(s.sent) && now.Sub(s.sent[i]) >= rateWindow {
		i++
	}
	s.sent = s.sent[i:]
	return len(s.sent)
}

func (b *Balancer) cost(s *server, req Request) float64 {
	if b.settings.KVTokens > 0 {
		total := s.own.Plus(s.peers)
		load := float64(total.Tokens+req.Tokens+prefillWeight*total.Prefill) / float64(b.settings.KVTokens)
		if req.Standby {
			if s.Domain == req.Source.Domain {
				load += standbySameDomainCost
			}
			return load
		}
		if s.paced {
			load = b.pacedEngineLoad(s, req)
		}
		if req.Source != nil {
			return load + distanceCost(s, req.Source.Domain, req.Source.Region, migrationRegionCost, migrationDomainCost)
		}
		domain := b.settings.Domain
		if req.From != "" {
			domain = req.From
		}
		otherRegion := engineRegionCost
		if b.settings.OtherRegionCost > 0 {
			otherRegion = b.settings.OtherRegionCost
		}
		return load + distanceCost(s, domain, b.settings.Region, otherRegion, engineDomainCost)
	}
	load := float64(s.own.Requests+s.peers.Requests) / float64(max(1, s.Slots))
	if s.paced {
		load = b.pacedPlainLoad(s)
	}
	return load + distanceCost(s, b.settings.Domain, b.settings.Region, plainRegionCost, plainDomainCost)
}

// distanceCost returns the cost of a server's location as seen from a domain and region.
func distanceCost(s *server, domain, region string, otherRegion, otherDomain float64) float64 {
	switch {
	case s.Region != region:
		return otherRegion
	case s.Domain != domain:
		return otherDomain
	default:
		return 0
	}
}

// Accept adds the load of a request to a server that another host has chosen, without regard to the capacity and the
// quota of this host. It returns false if this host does not send the request there.
func (b *Balancer) Accept(id string, req Request, load Load, now time.Time) (Server, bool) {
	s := b.servers[id]
	if s == nil || !b.isCandidate(id, s, req) || !b.isUsable(id, s, now) {
		return Server{}, false
	}
	b.AddRequest(id, load, now)
	return s.Server, true
}

// Unusable returns the servers to which this host sends no requests now: those that are ejected, refuse them or have used
// up the host's share of their rate limit.
func (b *Balancer) Unusable(now time.Time) (ids []string) {
	for id, s := range b.servers {
		if s.present && !b.isUsable(id, s, now) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (b *Balancer) isUsable(id string, s *server, now time.Time) bool {
	return !now.Before(s.ejectedUntil) && (b.refusals == nil || b.refusals.Allows(s.Process(), now)) && (b.limits == nil || b.limits.Allows(id, now))
}

// RecordFailure ejects a server that could not be reached or broke off a response. The
// ejection time doubles with each consecutive failure.
func (b *Balancer) RecordFailure(id string, now time.Time) {
	s := b.servers[id]
	if s == nil {
		return
	}
	s.ejectedUntil = now.Add(min(minEjection<<min(s.failures, 8), maxEjection))
	s.failures++
}

// RecordSuccess ends the ejection of a server and resets its ejection time.
func (b *Balancer) RecordSuccess(id string) {
	if s := b.servers[id]; s != nil {
		s.failures, s.ejectedUntil = 0, time.Time{}
	}
}

func contains(list []string, id string) bool {
	for _, v := range list {
		if v == id {
			return true
		}
	}
	return false
}
