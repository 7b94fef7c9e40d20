package view

import (
	"slices"
	"time"
)

// Candidate is the state of an entry host of the cell as the renewer sees it.
type Candidate struct {
	Host string
	// Listed is set when the host list contains the host.
	Listed bool
	// ShuttingDown is set when any source reports that the host is shutting
	// down.
	ShuttingDown bool
	// LastContact is the time of the last successful call in either direction; the zero
	// time means never.
	LastContact time.Time
	// FailedCalls counts the Sync calls to the host that failed since
	// LastContact.
	FailedCalls int
}

// NextInput holds the renewer's observations from which Next computes a view.
type NextInput struct {
	Now  time.Time
	Self string
	Cell string
	// Candidates has one entry per known host except Self.
	Candidates []Candidate
	// HostListFresh is set when the host list was read recently enough to
	// remove hosts that it does not contain.
	HostListFresh bool
	// SelfShuttingDown is set when the renewer itself is shutting down.
	SelfShuttingDown bool
	// MinEpoch is the highest epoch observed so far; a view that is created
	// again after its loss gets a higher one.
	MinEpoch uint64
}

// Next returns the view that the renewer writes after current. The epoch
// increases only when the membership changes or when current is older than
// MinEpoch.
func Next(current View, in NextInput) View {
	known := make(map[string]Candidate, len(in.Candidates))
	for _, c := range in.Candidates {
		known[c.Host] = c
	}
	var members []string
	removeSilent := reachesMajority(current, in)
	for _, m := range current.Members {
		if m != in.Self && !removable(known[m], in, removeSilent) {
			members = append(members, m)
		}
	}
	for _, c := range in.Candidates {
		if c.Host != in.Self && !current.Has(c.Host) && addable(c, in.Now) {
			members = append(members, c.Host)
		}
	}
	if !in.SelfShuttingDown {
		members = append(members, in.Self)
	}
	slices.Sort(members)
	next := View{Cell: in.Cell, Epoch: current.Epoch, Members: members, RenewalCount: current.RenewalCount + 1}
	if !slices.Equal(members, current.Members) || current.Epoch < in.MinEpoch || current.Epoch == 0 {
		next.Epoch = max(current.Epoch, in.MinEpoch) + 1
	}
	next.Renewer = nextRenewer(members, known, in)
	return next
}

// nextRenewer returns the writer itself until it shuts down, so that the role
// does not change without need. Then it returns a member with recent contact.
func nextRenewer(members []string, known map[string]Candidate, in NextInput) string {
	if !in.SelfShuttingDown {
		return in.Self
	}
	for _, m := range members {
		if in.Now.Sub(known[m].LastContact) < MemberTimeout {
			return m
		}
	}
	return in.Self
}

func addable(c Candidate, now time.Time) bool {
	return c.Listed && !c.ShuttingDown && !c.LastContact.IsZero() && now.Sub(c.LastContact) < FreshnessBound
}

func removable(c Candidate, in NextInput, removeSilent bool) bool {
	if c.ShuttingDown || in.HostListFresh && !c.Listed {
		return true
	}
	// In large cells only some of the members are synced per second, so silence
	// alone is not enough; calls must have failed too.
	return removeSilent && c.FailedCalls >= 2 && in.Now.Sub(c.LastContact) >= MemberTimeout
}

// reachesMajority reports whether the renewer had recent contact with more than
// half of the members, itself included. A renewer without a majority is
// probably partitioned itself and removes no member for silence.
func reachesMajority(current View, in NextInput) bool {
	count := 0
	if current.Has(in.Self) {
		count = 1
	}
	for _, c := range in.Candidates {
		if c.Host != in.Self && current.Has(c.Host) && !c.LastContact.IsZero() && in.Now.Sub(c.LastContact) < MemberTimeout {
			count++
		}
	}
	return 2*count > len(current.Members)
}
