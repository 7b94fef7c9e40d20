package gossip

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/topology"
)

// Measurements of backend servers take some 60 bytes each and change slowly, so that few messages have them. A receiver keeps
// them until a later message has new ones.

const (
	// paceInterval is the time between two messages of a kind with measurements, and pacePerServer the same for each server:
	// a cell of 190 servers costs a host some 2.5 KB/s.
	paceInterval  = time.Second
	pacePerServer = 25 * time.Millisecond
	// paceTimeout is how long measurements are kept, also if a message with new ones is lost.
	paceTimeout = 10 * time.Second
)

// paceMessageKind is a kind of messages that carry measurements on a schedule of its own.
type paceMessageKind int

const (
	pacesOfState paceMessageKind = iota
	pacesToMembers
	pacesToAggregators
	paceMessageKinds
	// noPaces is the kind of messages that never have measurements: those of a secondary aggregator to its group would double
	// what members receive. Its own measurements are left out thereby, a few in a hundred.
	noPaces
)

// pacesDue reports whether a message of a kind is to have measurements, and records that it has.
func (s *schedule) pacesDue(kind paceMessageKind, now time.Duration) bool {
	if kind == noPaces {
		return false
	}
	interval := max(paceInterval, time.Duration(len(s.last.Paces))*pacePerServer)
	if s.paces[kind] > 0 && now-s.paces[kind] < interval-sendInterval/4 {
		return false
	}
	s.paces[kind] = now
	return true
}

// fill adds the digests to the state in a message, and drops the measurements if they are not due.
func (m messages) fill(s *State, sent *schedule, now time.Duration) {
	if m.digests != nil {
		s.Digests = m.digests(now)
	}
	if sent.pacesDue(m.paceKind, now) {
		return
	}
	s.Paces = nil
	for i := range s.Digests {
		s.Digests[i].Paces = nil
	}
}

// withPacesOfOthers adds the measurements of the other groups to those of one group. The digest of a member's own group has
// them all, so that their number does not grow with the number of groups. The caller holds the lock.
func (e *Exchange) withPacesOfOthers(own []pace.Report, group topology.GroupID) []pace.Report {
	sums := paceSums{}
	sums.add(own)
	for g, d := range e.digests {
		if g != group {
			sums.add(d.Paces)
		}
	}
	return limitPaces(sums.list(), maxDigestPaces)
}
