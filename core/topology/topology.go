// Package topology decides which entry hosts exchange messages. In a small deployment each host sends its state to
// all others. In a larger one the hosts of a region form groups; the aggregators of a group receive the states of its
// members and send them a digest, so that the messages of a host do not grow with the deployment. All hosts compute the
// same groups from the entries of the hosts in the store. The package does no I/O and has no clock.
package topology

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoonkeel.example/monsoonkeel/core/fleet"
)

const (
	// MaxMesh is the number of hosts up to which each sends its state to all others.
	MaxMesh = 24
	// MaxGroup is the largest mean number of hosts in the groups of a region.
	MaxGroup = 128
	// Aggregators is the number of aggregators of a group: the primary one, and a secondary one that takes over.
	Aggregators = 2
)

// GroupID identifies a group of hosts.
type GroupID struct {
	Region string
	Index  int
}

// Topology is the division of the hosts into groups. It must not be changed.
type Topology struct {
	mesh    bool
	hosts   map[string]fleet.Host
	groupOf map[string]GroupID
	groups  map[GroupID][]string
}

// New divides hosts, by ID, into groups.
func New(hosts map[string]fleet.Host) *Topology {
	t := &Topology{mesh: len(hosts) <= MaxMesh, hosts: hosts, groupOf: make(map[string]GroupID, len(hosts)), groups: map[GroupID][]string{}}
	regions := map[string]int{}
	for _, h := range hosts {
		regions[h.Region]++
	}
	for id, h := range hosts {
		g := GroupID{Region: h.Region, Index: jumpHash(xxhash.Sum64String(id), GroupCount(regions[h.Region]))}
		t.groupOf[id] = g
		t.groups[g] = append(t.groups[g], id)
	}
	for g, ids := range t.groups {
		t.groups[g] = takeTurns(hosts, ids)
	}
	return t
}

// GroupCount returns the number of groups of a region with a number of hosts.
func GroupCount(hosts int) int { return (hosts + MaxGroup - 1) / MaxGroup }

// jumpHash returns a bucket from 0 to buckets-1. When a bucket is added, only the keys of the new one move. The
// algorithm is "A Fast, Minimal Memory, Consistent Hash Algorithm" by Lamping and Veach.
func jumpHash(key uint64, buckets int) int {
	bucket, next := int64(-1), int64(0)
	for next < int64(buckets) {
		bucket = next
		key = key*2862933555777941757 + 1
		next = int64(float64(bucket+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(bucket)
}

// takeTurns orders the hosts of a group in which they become aggregators: those with the largest capacity first, where
// the failure domains take turns.
func takeTurns(hosts map[string]fleet.Host, ids []string) []string {
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(hosts[b].Capacity, hosts[a].Capacity), cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	turn := make(map[string]int, len(ids)) // the place of a host among those of its failure domain and capacity
	seen := map[fleet.Host]int{}
	for _, id := range ids {
		class := fleet.Host{Domain: hosts[id].Domain, Capacity: hosts[id].Capacity}
		turn[id] = seen[class]
		seen[class]++
	}
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(hosts[b].Capacity, hosts[a].Capacity), cmp.Compare(turn[a], turn[b]))
	})
	return ids
}

// IsMesh reports whether each host sends its state to all others.
func (t *Topology) IsMesh() bool { return t.mesh }

// Hosts returns the hosts that the topology was made of, by ID.
func (t *Topology) Hosts() map[string]fleet.Host { return t.hosts }

// Host returns the entry of a host.
func (t *Topology) Host(id string) (fleet.Host, bool) {
	h, ok := t.hosts[id]
	return h, ok
}

// GroupOf returns the group of a host; false if the host is not known.
func (t *Topology) GroupOf(id string) (GroupID, bool) {
	g, ok := t.groupOf[id]
	return g, ok
}

// Members returns the IDs of the hosts of a group, in the order in which they become aggregators.
func (t *Topology) Members(g GroupID) []string { return t.groups[g] }

// Groups returns all groups, sorted.
func (t *Topology) Groups() []GroupID {
	groups := make([]GroupID, 0, len(t.groups))
	for g := range t.groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b GroupID) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Index, b.Index))
	})
	return groups
}
