// Package ratelimit divides the rate limit that a backend server names among the hosts that send to it,
// without a coordinator. Each host reports its demand for the server and what the server named last; from
// these reports every host computes the same shares. A host spaces its requests by its share, so that tokens
// do not accumulate. It does no I/O and has no clock: callers pass the time and hold the lock.
package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxLimit is the largest limit that counts as one, in requests per second.
	maxLimit = 1e6
	// MinLimit is the least limit, in requests per second: a server that names 0 still gets a request
	// now and then, whose response shows whether the limit has changed.
	MinLimit = 0.05
	// usedShare is the part of the limit that is divided. The rest is for requests that are sent
	// without a token, and for hosts whose reports are late.
	usedShare = 0.95
	// demandWindow is the time constant of the average of a host's demand.
	demandWindow = 3 * time.Second
	// minWeight is the demand of a host that has none, as a share of the average, so that its first
	// requests find a token.
	minWeight = 0.1
	// MaxPromise is the longest time after which a rejected request may come back: more requests than
	// the tokens until then would find none, and the limit may change.
	MaxPromise = 10 * time.Second
	// maxTokens is the most tokens that a host saves up: a little over one, so that the time until
	// the next request after a token is available is not lost.
	maxTokens = 1.25
	// maxDebt limits the requests sent without a token that later ones have to make up for.
	maxDebt = 8.0
	// activePerLimit and minActive give the number of hosts that may have a share: each may have
	// maxTokens at the same time, and together with the limit itself these must stay within 1.5
	// times the limit and 5 requests in 4 s.
	activePerLimit = 1.75
	minActive      = 4
)

// Observation is what a response of a server said of its limit.
type Observation struct {
	// Limit is in requests per second, at least MinLimit counts; 0 if the response named none.
	Limit float64
	// SentAt is when the request was sent, At when its response arrived.
	SentAt, At time.Time
}

// Report is a host's state of one server for the other hosts.
type Report struct {
	ID string `json:"i"`
	// StartTime identifies the server's process; in Unix milliseconds.
	StartTime int64 `json:"b"`
	// Limit is what the newest response named; 0 for none.
	Limit float64 `json:"l"`
	// AgeMS is the time since that response; negative if the host knows the limit from another one.
	AgeMS int64 `json:"t"`
	// Demand is the requests per second for which the host would use the server.
	Demand float64 `json:"d"`
}

// HostReports are the reports of one live host.
type HostReports struct {
	Host       string
	ReceivedAt time.Time
	Reports    []Report
}

// server is the state of a server that names a limit, or did.
type server struct {
	startTime int64
	limit     float64
	// observedAt is the time of the newest observation: of the response if it named a limit, else of
	// the request.
	observedAt time.Time
	// observedHere is set if that response was to a request of this host.
	observedHere bool
	demand       average
	peers        map[string]float64 // demand by host

	// share is the host's rate. tokens is the number of requests that it may send as of updated; one
	// that is not active keeps its tokens and may not use them.
	share   float64
	tokens  float64
	updated time.Time
	// promisedUntil is the time up to which tokens are promised to rejected requests.
	promisedUntil time.Time
}

// Limiter keeps one host's shares of all servers with a limit.
type Limiter struct {
	host    string
	hosts   int // in the deployment, this one included
	servers map[string]*server
	random  func() float64
	// unreported is the number of live hosts without demand that are not among the peers of the servers.
	unreported int
}

// New returns a Limiter for a host. random returns a random number from 0 to 1.
func New(host string, random func() float64) *Limiter {
	return &Limiter{host: host, hosts: 1, servers: map[string]*server{}, random: random}
}

// Valid reports whether a server may name a limit.
func Valid(limit float64) bool { return limit >= 0 && limit <= maxLimit }

// SetHosts sets the number of hosts of the deployment, live or not.
func (l *Limiter) SetHosts(n int, now time.Time) {
	if n = max(n, 1); n == l.hosts {
		return
	}
	l.hosts = n
	for id, s := range l.servers {
		l.reshare(id, s, now)
	}
}

// Retain drops the servers for which keep returns false.
func (l *Limiter) Retain(keep func(id string, startTime int64) bool) {
	for id, s := range l.servers {
		if !keep(id, s.startTime) {
			delete(l.servers, id)
		}
	}
}

// Observe records what a response said. A response without a limit counts only if its request was sent
// after the newest response with one, since responses may overtake each other. It reports whether the
// limit changed.
func (l *Limiter) Observe(id string, startTime int64, o Observation) (changed bool) {
	changed, newest := l.observe(id, startTime, o)
	if s := l.servers[id]; newest {
		s.observedHere = true
	}
	return changed
}

// observe also reports whether the observation is the newest one.
func (l *Limiter) observe(id string, startTime int64, o Observation) (changed, newest bool) {
	s := l.servers[id]
	if s != nil && s.startTime > startTime {
		return false, false // of an earlier process
	}
	if s != nil && s.startTime < startTime {
		delete(l.servers, id)
		s = nil
	}
	at := o.At
	if o.Limit == 0 {
		at = o.SentAt
	} else {
		o.Limit = max(o.Limit, MinLimit)
	}
	switch {
	case s == nil && o.Limit == 0, s != nil && !at.After(s.observedAt):
		return false, false
	case s == nil:
		s = &server{startTime: startTime, peers: map[string]float64{}}
		l.servers[id] = s
	}
	changed = s.limit != o.Limit
	if s.limit == 0 && o.Limit > 0 {
		// Tokens from before the limit do not count. The hosts start at about the same time, but
		// send their first requests at different ones.
		s.tokens, s.updated = l.random(), o.At
	}
	s.limit, s.observedAt, s.observedHere = o.Limit, at, false
	if changed {
		l.reshare(id, s, o.At)
	}
	return changed, true
}

// Merge replaces the demand of the other live hosts, and takes over limits that they observed later. unreported is the
// number of other live hosts without demand that hosts leaves out. It reports whether a limit changed.
func (l *Limiter) Merge(hosts []HostReports, unreported int, now time.Time) (changed bool) {
	l.unreported = unreported
	for _, s := range l.servers {
		s.peers = make(map[string]float64, len(hosts))
	}
	for _, h := range hosts {
		for _, r := range h.Reports {
			if !Valid(r.Limit) || !Valid(r.Demand) {
				continue
			}
			if r.AgeMS >= 0 {
				at := h.ReceivedAt.Add(-time.Duration(min(r.AgeMS, time.Hour.Milliseconds())) * time.Millisecond)
				// The report that a server names no limit any more is as old as the request behind it.
				different, _ := l.observe(r.ID, r.StartTime, Observation{Limit: r.Limit, SentAt: at, At: at})
				changed = changed || different
			}
			if s := l.servers[r.ID]; s != nil && s.startTime == r.StartTime {
				s.peers[h.Host] = r.Demand
			}
		}
		for _, s := range l.servers {
			if _, ok := s.peers[h.Host]; !ok {
				s.peers[h.Host] = math.NaN() // not known yet
			}
		}
	}
	for id, s := range l.servers {
		l.reshare(id, s, now)
	}
	return changed
}

// Reports returns the reports of this host, by server.
func (l *Limiter) Reports(now time.Time) []Report {
	reports := make([]Report, 0, len(l.servers))
	for id, s := range l.servers {
		r := Report{ID: id, StartTime: s.startTime, AgeMS: -1, Demand: roundDemand(s.demand.at(now))}
		if s.observedHere {
			// What other hosts observed is not passed on: its age would grow less than the time.
			r.Limit, r.AgeMS = s.limit, max(now.Sub(s.observedAt).Milliseconds(), 0)
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.ID, b.ID) })
	return reports
}

// roundDemand rounds to two significant digits, so that small changes are not sent.
func roundDemand(d float64) float64 {
	if d < 0.01 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(d))-1)
	return math.Round(d/unit) * unit
}

// Limits returns the limits by server.
func (l *Limiter) Limits() map[string]float64 {
	limits := map[string]float64{}
	for id, s := range l.servers {
		if s.limit > 0 {
			limits[id] = s.limit
		}
	}
	return limits
}

// HasLimits reports whether any server named a limit.
func (l *Limiter) HasLimits() bool { return len(l.servers) > 0 }

// Limited reports whether a server names a limit.
func (l *Limiter) Limited(id string) bool {
	s := l.servers[id]
	return s != nil && s.limit > 0
}

// Allows reports whether a request may be sent to a server at now.
func (l *Limiter) Allows(id string, now time.Time) bool { return l.Tokens(id, now, now) > 0 }

// Tokens returns how many requests may be sent to a server from now until a time, if the shares stay as they
// are; a server without a limit takes any number.
func (l *Limiter) Tokens(id string, now, until time.Time) int {
	s := l.servers[id]
	switch {
	case s == nil || s.limit == 0:
		return math.MaxInt32
	case s.share == 0:
		return 0
	}
	s.advance(now)
	return max(int(s.tokens+s.share*max(until.Sub(now), 0).Seconds()+tokenTolerance), 0)
}

// tokenTolerance is the rounding error of a number of tokens.
const tokenTolerance = 1e-6

// NextAt returns when a request may be sent to a server; false if not as long as the demand of the hosts
// stays as it is.
func (l *Limiter) NextAt(id string, now time.Time) (time.Time, bool) {
	s := l.servers[id]
	switch {
	case s == nil || s.limit == 0:
		return now, true
	case s.share == 0:
		return time.Time{}, false
	}
	s.advance(now)
	return now.Add(time.Duration(max(1-s.tokens, 0) / s.share * float64(time.Second))), true
}

// Take records a request that is sent to a server at now. One that is sent although Allows is false delays
// later ones.
func (l *Limiter) Take(id string, now time.Time) {
	s := l.servers[id]
	if s == nil || s.limit == 0 {
		return
	}
	s.advance(now)
	s.tokens = max(s.tokens-1, -maxDebt)
}

// advance adds the tokens since the last call.
func (s *server) advance(now time.Time) {
	if elapsed := now.Sub(s.updated); elapsed > 0 {
		s.tokens = min(s.tokens+s.share*elapsed.Seconds(), maxTokens)
		s.updated = now
	}
}

// Want records a request for which the host would use a server.
func (l *Limiter) Want(id string, now time.Time) {
	if s := l.servers[id]; s != nil {
		s.demand.add(now)
	}
}

// PromisedFrom returns from when on a token of a server is not promised to a rejected request; false if the
// host has no share.
func (l *Limiter) PromisedFrom(id string, now time.Time) (time.Time, bool) {
	next, ok := l.NextAt(id, now)
	if s := l.servers[id]; ok && s != nil {
		next = later(next, s.promisedUntil)
	}
	return next, ok
}

// Promise returns when a rejected request may come back to find a token, later for each further one up to
// MaxPromise; then it begins anew. It returns false if the host has no share.
func (l *Limiter) Promise(id string, now time.Time) (time.Time, bool) {
	s := l.servers[id]
	if s == nil || s.limit == 0 || s.share == 0 {
		return time.Time{}, false
	}
	at, _ := l.PromisedFrom(id, now)
	s.promisedUntil = at.Add(time.Duration(float64(time.Second) / s.share))
	if s.promisedUntil.Sub(now) > MaxPromise {
		s.promisedUntil = time.Time{}
	}
	return at, true
}
