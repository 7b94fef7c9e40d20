package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// canaryPart of the bounds is used in the canary phase. The rest is for requests that reach a version that becomes bad later,
	// before this is known.
	canaryPart = 0.5
	// lateCanaryPart is used while the canary phase lasts longer than planned for lack of evidence.
	lateCanaryPart = 0.75
	// maxCanaryShare of the requests may go to the target in the canary phase, so that the other side gets as many requests to
	// compare with while a service has few.
	maxCanaryShare = 0.5
)

// exposure counts the requests of this host and decides which of them go to the target. It holds the bound of the deployment
// without messages: each host stays within the share of its own requests and within its part of the extra requests.
type exposure struct {
	settings Settings
	random   func() float64
	// part of the bounds is used in the canary phase.
	part float64
	// round is added to this host's part of the extra requests before the fraction is cut off. It is drawn once, so that the parts
	// of all hosts have the right mean and a change of the number of hosts is no new draw.
	round float64
	// hosts is the highest number seen: a host that loses contact to others must not take their parts.
	hosts int
	// current is the last number set.
	current           int
	requests, exposed int64
}

func newExposure(settings Settings, random func() float64) exposure {
	return exposure{settings: settings, random: random, part: canaryPart, round: random()}
}

func (e *exposure) setHosts(n int) { e.current, e.hosts = n, max(e.hosts, n) }

func (e *exposure) canaryShare() float64 { return e.part * e.settings.ExposeShare }

// canaryLimit is the number of requests that this host may have exposed in the canary phase.
func (e *exposure) canaryLimit() float64 {
	limit := e.canaryShare() * float64(e.requests)
	if e.hosts > 0 {
		limit += math.Floor(e.part*e.settings.ExposeExtra/float64(e.hosts) + e.round)
	}
	return limit
}

const (
	// preferenceExcess is by how much more requests than the limit allows are preferred, so that the limit is used up.
	preferenceExcess = 1.5
	// canaryHorizon is the least time over which the rest of the limit is spread.
	canaryHorizon = 2 * time.Second
)

// canaryChance is the probability with which a request is exposed so that the limit is used up in the rest of the canary phase:
// the extra requests are spread over it, or the first routes would take them all.
func (e *exposure) canaryChance(elapsed, rest time.Duration) float64 {
	rest = max(rest, canaryHorizon)
	expected := float64(e.requests) * rest.Seconds() / max(elapsed, time.Second).Seconds()
	spare := e.canaryLimit() - float64(e.exposed)
	return preferenceExcess * (e.canaryShare() + spare/max(1, expected))
}

// takeCanary exposes one more request with a probability if the limit allows it.
func (e *exposure) takeCanary(probability float64) bool {
	if float64(e.exposed+1) > e.canaryLimit() || e.random() >= probability {
		return false
	}
	e.exposed++
	return true
}

func (e *exposure) take(share float64) bool {
	if share <= 0 || share < 1 && e.random() >= share {
		return false
	}
	e.exposed++
	return true
}

const (
	// minSubset is the least number of servers used: with one, a bad server cannot be told from a bad version.
	minSubset = 2
	// subsetGrowth is the time in which one more server is used once the canary phase lasts longer than planned, so that servers
	// that do not respond cannot stop a roll-out.
	subsetGrowth = 3 * time.Second
)

// subsetSize is the number of servers used for a share of the requests, so that each gets about the load of an old server if there
// are as many old servers. late is how much longer than planned the canary phase lasts.
func subsetSize(servers int, share float64, late time.Duration) int {
	return max(minSubset, int(math.Ceil(float64(servers)*share))) + int(max(0, late)/subsetGrowth)
}

// subset is the part of the servers that is used, by hash, so that all hosts use the same.
type subset struct {
	of     []string
	n      int
	chosen map[string]bool
}

func (s *subset) contains(id ID, server string, servers []string, n int) bool {
	if n >= len(servers) {
		return true
	}
	if s.n != n || !slices.Equal(s.of, servers) {
		s.n, s.of = n, slices.Clone(servers)
		hash := func(server string) uint64 { return xxhash.Sum64String(id.Target + "/" + server) }
		ordered := slices.SortedFunc(slices.Values(servers), func(a, b string) int {
			return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
		})
		s.chosen = make(map[string]bool, n)
		for _, chosen := range ordered[:n] {
			s.chosen[chosen] = true
		}
	}
	return s.chosen[server]
}
