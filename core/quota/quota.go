// Package quota divides a limit on the request rate to each backend server among the entry hosts, without a message
// between them: all hosts compute the same division from the entries of the hosts. A quota below one request per second
// could not be kept in each second, so that in a large deployment a server gives quotas of one request per second to
// some hosts only, most of them in its region. The package does no I/O and has no clock.
package quota

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/topology"
)

const (
	// homeShare is the part of a limit for the hosts of the server's region, where not all hosts have a quota. The
	// rest is for the other hosts, for the time when their region has no server that they can use.
	homeShare = 2.0 / 3
	// oneMissedIn gives how many hosts each host may miss, one in so many: while hosts join and leave, each divides a
	// limit among those that it knows, and all of them together keep to the limit.
	oneMissedIn = 20
	// deviations is the reserve for chance, in standard deviations of the number of quotas too many, and leastReserve
	// that of a small limit, in quotas.
	deviations   = 4
	leastReserve = 3
	// placedShare is the part of a limit for the requests that aggregators place.
	placedShare = 0.4
)

// Hosts are the hosts among which limits are divided. They must not be changed.
type Hosts struct {
	self     string
	selfHash uint64
	region   string
	count    int
	// byRegion holds the hashes of the other hosts.
	byRegion map[string][]uint64
	// elsewhere holds the hashes of the other hosts outside a region.
	elsewhere map[string][]uint64
	// groups are the numbers of groups by region, and allGroups their sum.
	groups    map[string]int
	allGroups int
}

// NewHosts returns the division among hosts as seen by one of them, self, in a region; it need not be among hosts.
// Without any hosts, it divides among assumed ones.
func NewHosts(self, region string, hosts map[string]fleet.Host, assumed int) *Hosts {
	h := &Hosts{self: self, selfHash: xxhash.Sum64String(self), region: region, count: len(hosts), byRegion: map[string][]uint64{}, elsewhere: map[string][]uint64{}}
	if h.count == 0 {
		h.count = assumed
	} else if _, ok := hosts[self]; !ok {
		h.count++
	}
	for id, host := range hosts {
		if id != self {
			h.byRegion[host.Region] = append(h.byRegion[host.Region], xxhash.Sum64String(id))
		}
	}
	h.groups = map[string]int{region: topology.GroupCount(len(h.byRegion[region]) + 1)}
	for r, others := range h.byRegion {
		h.elsewhere[r] = h.outside(r)
		if r != region {
			h.groups[r] = topology.GroupCount(len(others))
		}
	}
	for _, n := range h.groups {
		h.allGroups += n
	}
	return h
}

// Placements returns how many requests per second to a server in a region one aggregator of this host's region may
// place, and how many those of all groups may place together, if all hosts together may send limit requests per second
// there. The sum is at most placedShare of the limit.
func (h *Hosts) Placements(region string, limit float64) (each, all int) {
	homeGroups := h.groups[region]
	otherGroups := h.allGroups - homeGroups
	placed := limit * placedShare
	home := perAggregator(placed*homeShare, homeGroups)
	other := perAggregator(placed*(1-homeShare), otherGroups)
	each = other
	if region == h.region {
		each = home
	}
	return each, topology.Aggregators * (home*homeGroups + other*otherGroups)
}

// perAggregator divides a number of requests per second among the aggregators of some groups.
func perAggregator(requests float64, groups int) int {
	if groups == 0 {
		return 0
	}
	return int(requests / float64(topology.Aggregators*groups))
}

func (h *Hosts) outside(region string) (hashes []uint64) {
	for r, in := range h.byRegion {
		if r != region {
			hashes = append(hashes, in...)
		}
	}
	return hashes
}

// Quota returns how many requests per second this host may send to a server in a region, if all hosts together may
// send limit requests per second there.
func (h *Hosts) Quota(server, region string, limit float64) int {
	if each := limit / float64(max(1, h.count+h.missed())); each >= 1 {
		return int(min(each, math.MaxInt32))
	}
	n := h.quotaOfFew(server, region, limit)
	if limit >= float64(h.count-h.missed()) {
		return min(n, 1) // a host that misses others may divide the limit by all hosts
	}
	return n
}

// quotaOfFew returns the quota of this host where a limit does not reach one request per second for each host.
func (h *Hosts) quotaOfFew(server, region string, limit float64) int {
	divided := withoutReserve(limit)
	home := max(int(divided*homeShare), 1)
	if region == h.region {
		return h.quotaAmong(h.byRegion[region], server, home)
	}
	others, ok := h.elsewhere[region]
	if !ok {
		others = h.outside(region)
	}
	return h.quotaAmong(others, server, max(int(divided)-home, 0))
}

// missed returns how many hosts this host may not know, from the number that it knows.
func (h *Hosts) missed() int {
	return h.count / (oneMissedIn - 1)
}

// withoutReserve returns how many quotas of one request per second stay within a limit, although each host may miss
// others that come before it in the order of the quotas. It solves n + n/oneMissedIn + deviations*sqrt(n/oneMissedIn) = limit
// for n: each of n quotas is given once more with a probability of about 1/oneMissedIn.
func withoutReserve(limit float64) float64 {
	const mean = 1 + 1.0/oneMissedIn
	spread := deviations / math.Sqrt(oneMissedIn)
	root := (math.Sqrt(spread*spread+4*mean*limit) - spread) / (2 * mean)
	return min(root*root, limit-leastReserve)
}

// quotaAmong divides a number of requests per second among this host and others. If there are too many hosts, those with
// the highest hash for the server have one request per second each.
func (h *Hosts) quotaAmong(others []uint64, server string, requests int) int {
	if n := len(others) + 1 + h.missed(); n <= requests {
		return requests / n
	}
	serverHash := xxhash.Sum64String(server)
	own := mix(h.selfHash, serverHash)
	higher := 0
	for _, other := range others {
		if mix(other, serverHash) > own {
			if higher++; higher == requests {
				return 0
			}
		}
	}
	return min(requests, 1)
}

// mix combines the hashes of a host and a server; it is the finalizer of MurmurHash3.
func mix(host, server uint64) uint64 {
	x := host ^ server*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
