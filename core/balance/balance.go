// Package balance chooses the backend server of a service for each request of
// one entry host. It weighs the work that the host itself and the other hosts
// have there, keeps a cold backend server within its rate, and passes over
// those that just failed. It is pure: callers pass the time and hold the lock.
package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// engineRegionCost is the load, as a share of an engine's memory, that
	// another region must have less to be chosen. Events cross the slow link
	// between regions, and a run is moved in time only if its host is near.
	engineRegionCost = 0.35
	// engineDomainCost is the same for another failure domain of the region.
	engineDomainCost = 0.05
	// promptWeight is what a token of a prompt that waits to be read weighs more
	// than one in memory: prompts are read one after another, and a first event
	// waits for all before it.
	promptWeight = 2
	// moveRegionCost and moveDomainCost keep a moved run near its source:
	// between failure domains a copy takes twice as long, between regions more.
	moveRegionCost = 8.0
	moveDomainCost = 2.0
	// standbyLosses is the number of engines of a region whose runs must still find
	// room in the others when they leave at once: copies held ahead must not take
	// the memory that those runs need.
	standbyLosses = 2
	// sameDomainCost is the load, as a share of an engine's memory, that a standby
	// in another failure domain of the region may have more, because an outage of
	// the domain would take the run and its copy.
	sameDomainCost = 0.2
	// plainRegionCost is the load, as a share of a server's slots, for plain
	// services, where a round trip to another region exceeds the work itself.
	plainRegionCost = 0.8
	// plainDomainCost is the same for another failure domain of the region.
	plainDomainCost = 0.05
	// suspectMin and suspectMax bound how long a server is passed over after a failure.
	suspectMin = 300 * time.Millisecond
	suspectMax = 4 * time.Second
	// rateWindow is the window of the rate of a cold server.
	rateWindow = time.Second
)

// Server is a backend server that may get work.
type Server struct {
	ID, Address, Domain, Region string
	Slots                       int
}

// Settings describe the service and the place of the host.
type Settings struct {
	Domain, Region string
	// KVTokens is the memory of an engine in tokens, 0 for plain services.
	KVTokens int
	// Rate bounds what this host sends to one server in a second, because any may
	// have turned cold unnoticed; 0 means no bound.
	Rate Rate
}

// Rate is one host's part of a rate that all hosts share.
type Rate struct {
	// PerSecond is the number of requests a second; 0 means no bound.
	PerSecond int
	// Host is the host's id, and Part, if not 0, the part of the servers that it
	// may use: the rate is less than one request a second for each host.
	Host        string
	ServerShare float64
}

// crowdMargin covers that a hash gives some servers to more hosts than others.
const crowdMargin = 0.7

// DivideRate divides a rate, in requests a second, among a number of hosts.
func DivideRate(all float64, hosts int, host string) Rate {
	each := all / float64(max(1, hosts))
	if each >= 1 {
		return Rate{PerSecond: int(each)}
	}
	return Rate{PerSecond: 1, Host: host, ServerShare: each * crowdMargin}
}

// allows reports whether the host may use a server at all.
func (r Rate) allows(server string) bool {
	if r.ServerShare == 0 {
		return true
	}
	return float64(xxhash.Sum64String(r.Host+"/"+server))/math.MaxUint64 < r.ServerShare
}

// Request is a request that needs a server.
type Request struct {
	// Tokens is the memory that the run is expected to need, 0 for plain requests.
	Tokens int
	// Prefill is the part of it that has to be read first.
	Prefill int
	// Allowed reports whether a region may serve the request.
	Allowed func(region string) bool
	// Exclude lists servers that were tried.
	Exclude []string
	// Source, if set, is the server from which the run is moved.
	Source *Server
	// Standby asks for an engine that keeps a copy of a run at Near.
	Standby bool
}

// Load is work at one server.
type Load struct {
	Requests int `json:"r,omitempty"`
	// Tokens is the memory that the requests are expected to need.
	Tokens int `json:"t,omitempty"`
	// Prefill is the part of it that has still to be read before a first token.
	Prefill int `json:"p,omitempty"`
}

// Plus returns the sum.
func (l Load) Plus(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, Tokens: l.Tokens + o.Tokens, Prefill: l.Prefill + o.Prefill}
}

// Reason says why no server was chosen.
type Reason uint8

// Reasons of Pick.
const (
	Chosen Reason = iota
	// Full means that servers exist and have no room.
	Full
	// NoCandidate means that no server may serve the request.
	NoCandidate
)

// String returns the name used in logs.
func (w Reason) String() string { return [...]string{"chosen", "full", "none"}[w] }

type server struct {
	Server
	own, peers Load
	sent       []time.Time // sends within rateWindow
	failures   int
	suspect    time.Time
	present    bool
}

// Balancer holds what one host knows of a service's servers.
type Balancer struct {
	settings Settings
	servers  map[string]*server
	intn     func(n int) int
}

// New returns a Balancer without servers. intn returns a random number from 0
// to n-1.
func New(intn func(n int) int) *Balancer {
	return &Balancer{servers: map[string]*server{}, intn: intn}
}

// Configure replaces the settings.
func (b *Balancer) Configure(s Settings) { b.settings = s }

// SetServers replaces the servers that may get work. The work at others is
// still counted.
func (b *Balancer) SetServers(list []Server) {
	for _, s := range b.servers {
		s.present = false
	}
	for _, s := range list {
		st := b.at(s.ID)
		if st.Address != s.Address {
			st.failures, st.suspect = 0, time.Time{}
		}
		st.Server, st.present = s, true
	}
	for id, s := range b.servers {
		if !s.present && s.own == (Load{}) {
			delete(b.servers, id)
		}
	}
}

// SetPeerLoad replaces the work that the other hosts have at the servers.
func (b *Balancer) SetPeerLoad(loads map[string]Load) {
	for id, s := range b.servers {
		s.peers = loads[id]
	}
}

// OwnLoad returns the work of this host by server.
func (b *Balancer) OwnLoad() map[string]Load {
	out := map[string]Load{}
	for id, s := range b.servers {
		if s.own != (Load{}) {
			out[id] = s.own
		}
	}
	return out
}

func (b *Balancer) at(id string) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{}
		b.servers[id] = s
	}
	return s
}

// Pick chooses the server with the least load that has room. A server under
// suspicion is chosen only if no other is left.
func (b *Balancer) Pick(job Request, now time.Time) (Server, Reason) {
	best, why := b.pick(job, now, false)
	if why == NoCandidate {
		best, why = b.pick(job, now, true)
	}
	if best == nil {
		return Server{}, why
	}
	return best.Server, Chosen
}

func (b *Balancer) pick(job Request, now time.Time, suspects bool) (*server, Reason) {
	var best *server
	bestCost, ties := 0.0, 0
	why := NoCandidate
	for id, s := range b.servers {
		if !s.present || excluded(job.Exclude, id) || job.Allowed != nil && !job.Allowed(s.Region) {
			continue
		}
		if !suspects && now.Before(s.suspect) {
			continue
		}
		if why == NoCandidate {
			why = Full
		}
		if !b.hasRoom(s, job, now) {
			continue
		}
		cost := b.cost(s, job)
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = s, cost, 1
		case cost == bestCost:
			// Chance divides equal servers among hosts. The order of a map does
			// not: it favours the entry that was stored first.
			if ties++; b.intn(ties) == 0 {
				best = s
			}
		}
	}
	if best != nil {
		why = Chosen
	}
	return best, why
}

func (b *Balancer) hasRoom(s *server, job Request, now time.Time) bool {
	if job.Standby {
		held := s.own.Tokens + s.peers.Tokens + job.Tokens
		return held <= b.spare(s.Region)
	}
	if n := b.settings.Rate.PerSecond; n > 0 && (s.recent(now) >= n || !b.settings.Rate.allows(s.ID)) {
		return false
	}
	if b.settings.KVTokens == 0 || job.Source != nil {
		// A run that is not moved is lost, and its target refuses it if it has
		// no memory left.
		return true
	}
	load := s.own.Tokens + s.peers.Tokens
	return load == 0 || load+job.Tokens <= b.settings.KVTokens
}

// spare is how much memory of an engine may be in use, in tokens, so that the
// runs of standbyLosses engines of the region fit into the others.
func (b *Balancer) spare(region string) int {
	engines := 0
	for _, s := range b.servers {
		if s.present && s.Region == region {
			engines++
		}
	}
	return b.settings.KVTokens * max(0, engines-standbyLosses) / max(1, engines)
}

// recent counts the sends of the last second.
func (s *server) recent(now time.Time) int {
	i := 0
	for i < len(s.sent) && now.Sub(s.sent[i]) >= rateWindow {
		i++
	}
	s.sent = s.sent[i:]
	return len(s.sent)
}

func (b *Balancer) cost(s *server, job Request) float64 {
	if b.settings.KVTokens > 0 {
		work := s.own.Plus(s.peers)
		load := float64(work.Tokens+job.Tokens+promptWeight*work.Prefill) / float64(b.settings.KVTokens)
		if job.Standby {
			if s.Domain == job.Source.Domain {
				load += sameDomainCost
			}
			return load
		}
		if job.Source != nil {
			return load + distance(s, job.Source.Domain, job.Source.Region, moveRegionCost, moveDomainCost)
		}
		return load + distance(s, b.settings.Domain, b.settings.Region, engineRegionCost, engineDomainCost)
	}
	load := float64(s.own.Requests+s.peers.Requests) / float64(max(1, s.Slots))
	return load + distance(s, b.settings.Domain, b.settings.Region, plainRegionCost, plainDomainCost)
}

// distance is the cost of the way from a domain and region to a server.
func distance(s *server, domain, region string, otherRegion, otherDomain float64) float64 {
	switch {
	case s.Region != region:
		return otherRegion
	case s.Domain != domain:
		return otherDomain
	default:
		return 0
	}
}

// AddLoad counts memory that is taken without a request.
func (b *Balancer) AddLoad(id string, work Load) {
	s := b.at(id)
	s.own = s.own.Plus(work)
}

// AddRequest counts a request that is sent to a server.
func (b *Balancer) AddRequest(id string, work Load, now time.Time) {
	b.AddLoad(id, work)
	s := b.at(id)
	if b.settings.Rate.PerSecond > 0 {
		s.recent(now)
		s.sent = append(s.sent, now)
	}
}

// RemoveLoad counts work that left a server.
func (b *Balancer) RemoveLoad(id string, work Load) {
	s := b.servers[id]
	if s == nil {
		return
	}
	s.own = s.own.Plus(Load{Requests: -work.Requests, Tokens: -work.Tokens, Prefill: -work.Prefill})
	if !s.present && s.own == (Load{}) {
		delete(b.servers, id)
	}
}

// RecordFailure records that a server could not be reached or broke off. It is passed
// over for a time that doubles with each failure in a row.
func (b *Balancer) RecordFailure(id string, now time.Time) {
	s := b.servers[id]
	if s == nil {
		return
	}
	s.suspect = now.Add(min(suspectMin<<min(s.failures, 8), suspectMax))
	s.failures++
}

// RecordSuccess ends the suspicion against a server.
func (b *Balancer) RecordSuccess(id string) {
	if s := b.servers[id]; s != nil {
		s.failures, s.suspect = 0, time.Time{}
	}
}

func excluded(list []string, id string) bool {
	for _, v := range list {
		if v == id {
			return true
		}
	}
	return false
}
