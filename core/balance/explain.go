package balance

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/pace"
)

// Exclusion is what rules out a server for a request.
type Exclusion string

// Exclusions. Callers of the package find the first three, since such servers are not passed to SetServers.
const (
	ExcludedTerminating Exclusion = "terminating"
	ExcludedDomainOut   Exclusion = "domain_out"
	ExcludedVersionHeld Exclusion = "version_held_back"
	// ExcludedUnknown is that of a server that the balancer does not have.
	ExcludedUnknown  Exclusion = "not_listed"
	ExcludedByCaller Exclusion = "attempted"
	ExcludedRegion   Exclusion = "region_not_allowed"
	// ExcludedVersion means that the roll-out keeps the request from the server's version.
	ExcludedVersion Exclusion = "version_not_exposed"
	// ExcludedEjected and ExcludedReported servers are used if there are no others.
	ExcludedEjected   Exclusion = "ejected"
	ExcludedReported  Exclusion = "reported_by_other_hosts"
	ExcludedRefusing  Exclusion = "refuses"
	ExcludedRateLimit Exclusion = "rate_limit"
	ExcludedColdRate  Exclusion = "cold_rate"
	ExcludedKVFull    Exclusion = "kv_cache_full"
	// ExcludedKeptFree means that the room left is kept for more urgent generations.
	ExcludedKeptFree Exclusion = "kept_free"
)

// Cost has the parts of a server's cost. Their sum is Total, by which Pick compares servers.
type Cost struct {
	Total float64 `json:"total"`
	// Load is the part of the requests at the server, without prompts still to be prefilled, which are Prefill.
	Load     float64 `json:"load"`
	Prefill  float64 `json:"prefill"`
	Distance float64 `json:"distance"`
	// Speed is the part of what was learned of the server's speed and limit, and Late that of its late gaps.
	Speed float64 `json:"speed"`
	Late  float64 `json:"late"`
}

// Explanation is how a balancer rates one server for a request.
type Explanation struct {
	// Excluded has all that rules out the server.
	Excluded []Exclusion
	// SecondChoice is set if the roll-out lets the request use the server only when no server of the preferred version can take it.
	SecondChoice bool
	// EjectedUntil and RefusesUntil are zero if they are over.
	EjectedUntil, RefusesUntil time.Time
	// Own and Peers are the loads of this host and of the others.
	Own, Peers Load
	Cost       Cost
	// Pace is what was learned of the process; nil for nothing.
	Pace *pace.Estimate
}

// Explain returns how the balancer rates a server for a new request, by the rules of Pick. It reserves and counts nothing.
func (b *Balancer) Explain(id string, req Request, now time.Time) (e Explanation) {
	s := b.servers[id]
	if s == nil {
		return Explanation{Excluded: []Exclusion{ExcludedUnknown}}
	}
	exclude := func(applies bool, why Exclusion) {
		if applies {
			e.Excluded = append(e.Excluded, why)
		}
	}
	unreserved := req
	unreserved.KeepFree = 0
	exclude(!s.present, ExcludedUnknown)
	exclude(contains(req.Exclude, id), ExcludedByCaller)
	exclude(!allowsRegion(s, req), ExcludedRegion)
	exclude(!b.allowsVersion(id, s, req), ExcludedVersion)
	exclude(now.Before(s.ejectedUntil), ExcludedEjected)
	exclude(b.suspects[id], ExcludedReported)
	exclude(b.refusals != nil && !b.refusals.Allows(s.Process(), now), ExcludedRefusing)
	exclude(!b.allowsRate(id, req, now), ExcludedRateLimit)
	exclude(!b.allowsColdRate(s, now), ExcludedColdRate)
	exclude(!b.fits(s, unreserved), ExcludedKVFull)
	exclude(b.fits(s, unreserved) && !b.fits(s, req), ExcludedKeptFree)
	if now.Before(s.ejectedUntil) {
		e.EjectedUntil = s.ejectedUntil
	}
	if b.refusals != nil && !b.refusals.Allows(s.Process(), now) {
		e.RefusesUntil = b.refusals.ReturnsAt(s.Process())
	}
	e.SecondChoice = !b.isAtSide(s, b.sides(req)[0])
	e.Own, e.Peers, e.Cost = s.own, s.peers, b.costParts(s, req)
	if s.paced {
		estimate := s.pace
		e.Pace = &estimate
	}
	return e
}

// costParts splits the cost of a server by removing one part after another.
func (b *Balancer) costParts(s *server, req Request) (c Cost) {
	rest, left := *s, b.cost(s, req)
	c.Total = left
	part := func() float64 {
		before := left
		left = b.cost(&rest, req)
		return before - left
	}
	rest.pace.LateRate = 0
	c.Late = part()
	rest.paced = false
	c.Speed = part()
	rest.own.Prefill, rest.peers.Prefill = 0, 0
	c.Prefill = part()
	rest.Domain, rest.Region = b.settings.Domain, b.settings.Region
	if req.From != "" {
		rest.Domain = req.From
	}
	c.Distance = part()
	c.Load = left
	return c
}
