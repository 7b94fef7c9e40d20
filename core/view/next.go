package view

import (
	"slices"
	"time"
)

// Candidate is what the renewer knows about an entry host of its cell.
type Candidate struct {
	Host string
	// Listed means that the host list shows the host.
	Listed bool
	// ShuttingDown means that any source says the host is leaving.
	ShuttingDown bool
	// LastContact is when the host was last heard from; zero means never.
	LastContact time.Time
	// FailedCalls counts the Sync calls to the host that failed since HeardAt.
	FailedCalls int
}

// NextInput is the input of Next.
type NextInput struct {
	Now  time.Time
	Self string
	Cell string
	// Candidates has one entry per host known, self excluded.
	Candidates []Candidate
	// HostListFresh means that the host list was read recently enough to remove
	// hosts that it does not show.
	HostListFresh bool
	// SelfShuttingDown means that the renewer itself is leaving.
	SelfShuttingDown bool
	// MinEpoch is the highest epoch ever seen; a rebuilt view continues after it.
	MinEpoch uint64
}

// Next returns the view that the renewer writes after current. The epoch grows
// only when the membership changes.
func Next(current View, in NextInput) View {
	known := make(map[string]Candidate, len(in.Candidates))
	for _, c := range in.Candidates {
		known[c.Host] = c
	}
	var members []string
	judgeSilence := hearsMajority(current, in)
	for _, m := range current.Members {
		if m != in.Self && !removable(known[m], in, judgeSilence) {
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

// nextRenewer keeps the writer as renewer until it leaves, so that the role
// does not move while it works.
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

func removable(c Candidate, in NextInput, judgeSilence bool) bool {
	if c.ShuttingDown || in.HostListFresh && !c.Listed {
		return true
	}
	// Large cells sync with a part of the members per second, so silence counts
	// only after failed calls.
	return judgeSilence && c.FailedCalls >= 2 && in.Now.Sub(c.LastContact) >= MemberTimeout
}

// hearsMajority reports whether the renewer hears more than half of the
// members, itself included. A renewer that does not is likely cut off itself
// and removes nobody for silence.
func hearsMajority(current View, in NextInput) bool {
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
