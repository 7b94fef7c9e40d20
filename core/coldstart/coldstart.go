// Package coldstart limits the requests that a host may have in flight at a backend
// server during its cold start and afterwards. The limit follows from load reports, from
// sightings of the server in the cold state, and from the confirmed view.
//
// The package does no I/O and has no clock or goroutines; callers pass the time. A State
// is not safe for concurrent use.
package coldstart

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/view"
)

const (
	// sightingSpread is the maximum difference between the times computed from relayed
	// copies of one cold sighting, since each relaying host recomputes the age.
	sightingSpread = 500 * time.Millisecond
	// warmCompletedFactor times warm_limit completed requests show a host that sees an
	// incarnation for the first time that other hosts have already warmed it up. The
	// warm-up itself completes fewer than 4 times warm_limit.
	warmCompletedFactor = 8
	// rampCompletedFactor times the concurrency limit is the number of requests that
	// must complete within the target before the limit doubles. With a factor of 1, an
	// engine that met a 500 ms target while cold was given twice its cold limit after
	// two short requests.
	rampCompletedFactor = 4
)

// Limits bound the requests of all hosts in flight at one backend server of a service,
// while it is cold and once it is warm.
type Limits struct {
	Cold int
	Warm int
}

// Report is the part of a platform.LoadReport that the warm-up depends on.
type Report struct {
	Incarnation string
	Sequence    uint64
	// TakenAt is the earliest time, on this host's clock, at which the server can have
	// measured the values: the time the poll was sent minus the age in the report.
	TakenAt time.Time
	// InFlight is the number of running and waiting requests.
	InFlight  int
	Completed uint64
	// FirstToken is the 95th percentile of the recent times to first token.
	FirstToken time.Duration
	// OwnInFlight is the number of these requests that this host sent.
	OwnInFlight int
}

// Grant is the host's right to use slots, as given by the view and its lease.
type Grant struct {
	Self string
	View view.View
	// SlotsUsableFrom is when the host may start to use slots that the view's epoch newly
	// assigns to it.
	SlotsUsableFrom time.Time
	// LeaseUntil is when the host's lease for the view's epoch expires.
	LeaseUntil time.Time
}

// State tracks the warm-up of one backend server as seen by one host.
type State struct {
	Backend string

	incarnation      string
	sequence         uint64
	concurrencyLimit int
	// baseCompleted is the completed count when the current concurrency limit was set.
	baseCompleted uint64
	coldAt        time.Time
	// resetBase is set until a report taken at or after coldAt sets baseCompleted.
	resetBase bool
	last      Report
	// epoch and members belong to the view that usable refers to.
	epoch   uint64
	members []string
	// usable marks the slots of this host that no other host can still be using.
	usable []bool
	// allUsable is set if all slots of this host in epoch are usable. It avoids hashing
	// every slot again for each idle report.
	allUsable bool
}

// ConcurrencyLimit returns the number of slots that all hosts together may use during the
// warm-up. It is 0 before the first report.
func (s *State) ConcurrencyLimit() int { return s.concurrencyLimit }

// Incarnation returns the incarnation in the last report, empty before the first one.
func (s *State) Incarnation() string { return s.incarnation }

// Observe applies a load report; a repeated or older report of the same incarnation is
// ignored. target is the smallest target for the time to first token among the service's
// classes; 0 means that there is none.
func (s *State) Observe(r Report, limits Limits, target time.Duration, g Grant) {
	limits = limits.normalized()
	if r.Incarnation == s.incarnation && r.Sequence <= s.sequence && s.concurrencyLimit > 0 {
		return
	}
	first, replaced := s.incarnation == "", r.Incarnation != s.incarnation
	s.incarnation, s.sequence, s.last = r.Incarnation, r.Sequence, r
	withinTarget := target <= 0 || r.FirstToken <= target
	switch {
	case first && s.coldAt.IsZero() && withinTarget && r.Completed >= uint64(warmCompletedFactor*limits.Warm):
		s.concurrencyLimit, s.baseCompleted = limits.Warm, r.Completed
	case replaced:
		s.concurrencyLimit, s.baseCompleted, s.resetBase = limits.Cold, r.Completed, r.TakenAt.Before(s.coldAt)
	case s.resetBase:
		if !r.TakenAt.Before(s.coldAt) {
			s.baseCompleted, s.resetBase = r.Completed, false
		}
	case withinTarget && s.concurrencyLimit < limits.Warm && r.Completed >= s.baseCompleted+uint64(rampCompletedFactor*s.concurrencyLimit):
		s.concurrencyLimit, s.baseCompleted = min(2*s.concurrencyLimit, limits.Warm), r.Completed
	}
	s.concurrencyLimit = min(s.concurrencyLimit, limits.Warm)
	s.confirmSlots(r, limits, g)
}

// MarkCold applies a cold sighting made at the time at on this host's clock and received
// at now. It reports whether the sighting was new.
func (s *State) MarkCold(at, now time.Time, limits Limits) bool {
	// Relayed ages differ by link delays and by a clock drift of up to 2%.
	spread := sightingSpread + now.Sub(s.coldAt)/50
	if !s.coldAt.IsZero() && !at.After(s.coldAt.Add(spread)) {
		return false
	}
	s.coldAt, s.resetBase = at, true
	s.concurrencyLimit = min(s.concurrencyLimit, limits.normalized().Cold)
	return true
}

// SeenCold returns when the backend server was last seen cold. The second result is false
// if it was not, or if it has reached the warm limit again since.
func (s *State) SeenCold(limits Limits) (time.Time, bool) {
	return s.coldAt, !s.coldAt.IsZero() && s.concurrencyLimit < limits.normalized().Warm
}

// applyView updates the usable slots to the grant's view. A slot stays usable only if the
// host has owned it without interruption: after a skipped epoch, another host may have
// owned it in between.
func (s *State) applyView(g Grant) {
	if s.epoch == g.View.Epoch {
		return
	}
	if g.View.Epoch != s.epoch+1 || len(g.View.Members) == 0 {
		s.usable = nil
	}
	s.epoch, s.members, s.allUsable = g.View.Epoch, g.View.Members, false
	for i, owner := range view.SlotOwners(s.Backend, len(s.usable), s.members) {
		s.usable[i] = s.usable[i] && owner == g.Self
	}
}

// confirmSlots makes all slots of this host usable if the report shows the backend server
// idle after all leases of older epochs have expired.
func (s *State) confirmSlots(r Report, limits Limits, g Grant) {
	s.applyView(g)
	done := s.allUsable && len(s.usable) == limits.Warm
	if s.epoch == 0 || done || r.InFlight != 0 || r.TakenAt.Before(g.SlotsUsableFrom) {
		return
	}
	s.allUsable = true
	s.usable = make([]bool, limits.Warm)
	for i, owner := range view.SlotOwners(s.Backend, limits.Warm, s.members) {
		s.usable[i] = owner == g.Self
	}
}

// Limit returns how many requests the host may have in flight at the backend server at
// now. During the warm-up it is 0 once the lease has expired.
func (s *State) Limit(now time.Time, limits Limits, g Grant) int {
	limits = limits.normalized()
	s.applyView(g)
	if s.concurrencyLimit == 0 || len(g.View.Members) == 0 {
		return 0
	}
	if s.concurrencyLimit >= limits.Warm {
		return s.warmLimit(limits, len(g.View.Members))
	}
	if !now.Before(g.LeaseUntil) {
		return 0
	}
	n := 0
	for i := range min(s.concurrencyLimit, len(s.usable)) {
		if s.usable[i] {
			n++
		}
	}
	return n
}

// warmLimit returns the host's quota of a warm server: ceil(1.5 * warm_limit / members),
// since load is uneven, but no more than the host's own requests plus the capacity that the
// last report shows as free.
func (s *State) warmLimit(limits Limits, members int) int {
	quota := (3*limits.Warm + 2*members - 1) / (2 * members)
	free := max(limits.Warm-s.last.InFlight, 0)
	return min(quota, limits.Warm, s.last.OwnInFlight+free)
}

// normalized raises limits that are too low: the cold limit to at least 1 and the warm
// limit to at least the cold limit.
func (l Limits) normalized() Limits {
	l.Cold = max(l.Cold, 1)
	l.Warm = max(l.Warm, l.Cold)
	return l
}
