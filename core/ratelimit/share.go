package ratelimit

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// reshare computes the host's share of a server.
func (l *Limiter) reshare(id string, s *server, now time.Time) {
	s.advance(now)
	s.share = l.shareOf(id, s, now)
}

// shareOf divides the limit among the hosts by demand. Hosts that are not live keep an equal share, since they
// may only be out of contact. When the limit is small against the number of hosts, only those of highest demand
// have a share, as each of them may have a token at the same time.
func (l *Limiter) shareOf(id string, s *server, now time.Time) float64 {
	if s.limit == 0 {
		return 0
	}
	live := len(s.peers) + 1 + l.unreported
	limit := s.limit * usedShare * float64(live) / float64(max(l.hosts, live))
	sum, known := l.weights(s, now)
	mean := sum / float64(known)
	if mean == 0 {
		mean = 1
	}
	weightOf := func(demand float64) float64 {
		if math.IsNaN(demand) {
			return mean
		}
		return max(demand, minWeight*mean)
	}
	own := weightOf(roundDemand(s.demand.at(now)))
	total := own + float64(l.unreported)*weightOf(0)
	for _, demand := range s.peers {
		total += weightOf(demand)
	}
	if active := maxActive(s.limit); live > active {
		ranks := []rank{rankOf(l.host, id, own, mean)}
		for host, demand := range s.peers {
			ranks = append(ranks, rankOf(host, id, weightOf(demand), mean))
		}
		slices.SortFunc(ranks, rank.compare)
		total = 0
		isActive := false
		for _, r := range ranks[:min(active, len(ranks))] {
			total += r.weight
			isActive = isActive || r.host == l.host
		}
		if !isActive {
			return 0
		}
	}
	return limit * own / total
}

// weights returns the sum of the known demands of all live hosts, and their number.
func (l *Limiter) weights(s *server, now time.Time) (sum float64, known int) {
	sum, known = roundDemand(s.demand.at(now)), 1
	for _, demand := range s.peers {
		if !math.IsNaN(demand) {
			sum += demand
			known++
		}
	}
	return sum, known + l.unreported
}

// rank orders the hosts by demand. Demand that differs little does not change the order, which the hosts know
// with a delay.
type rank struct {
	host   string
	weight float64
	level  int
	hash   uint64
}

func rankOf(host, server string, weight, mean float64) rank {
	const levelsOfMean = 16 // a level is a factor of 4
	return rank{host, weight, bits.Len64(uint64(weight/mean*levelsOfMean)) / 2, xxhash.Sum64String(host + "/" + server)}
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(o.level, r.level), cmp.Compare(r.hash, o.hash))
}

// maxActive is the number of hosts that may have a share of a limit.
func maxActive(limit float64) int { return int(min(limit*activePerLimit, maxLimit)) + minActive }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// average is an exponentially weighted average of a rate.
type average struct {
	perSecond float64 // as of updated
	updated   time.Time
}

func (a *average) add(now time.Time) {
	a.perSecond = a.at(now) + 1/demandWindow.Seconds()
	a.updated = now
}

// at returns the rate per second at now.
func (a *average) at(now time.Time) float64 {
	if a.perSecond == 0 {
		return 0
	}
	return a.perSecond * math.Exp(-max(now.Sub(a.updated), 0).Seconds()/demandWindow.Seconds())
}
