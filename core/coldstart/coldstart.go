// Package coldstart computes how many requests a host may have in flight at a
// backend server, from load reports, cold sightings and the confirmed view.
//
// The package is pure: it reads no clock and does no I/O. A State is not safe
// for concurrent use.
package coldstart

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/view"
)

const (
	// sameSighting is the spread within which relayed reports of one cold
	// sighting arrive, since each relay recomputes the age.
	sameSighting = 500 * time.Millisecond
	// warmEvidence times warm_limit completed requests prove, to a host that
	// sees an incarnation for the first time, that it was ramped up by others.
	// The ramp itself completes fewer than 4 times warm_limit.
	warmEvidence = 8
	// levelEvidence times the level's requests must complete within the target
	// before the level doubles. With 1, an engine that met a 500 ms target
	// while cold was given twice its cold limit after two short requests.
	levelEvidence = 4
)

// Limits are a service's limits of requests in flight per backend server.
type Limits struct {
	Cold int
	Warm int
}

// Report is the part of a platform.LoadReport that the ramp depends on.
type Report struct {
	Incarnation string
	Sequence    uint64
	// TakenAt is the earliest time, on this host's clock, at which the figures
	// can have been taken: the time the request was sent less the report's age.
	TakenAt time.Time
	// InFlight is running plus waiting requests.
	InFlight  int
	Completed uint64
	// FirstToken is the recent 95th percentile of first-token times.
	FirstToken time.Duration
	// OwnInFlight is how many of the requests in flight were this host's.
	OwnInFlight int
}

// Grant is what the view protocol allows the host.
type Grant struct {
	Self string
	View view.View
	// SlotsUsableFrom is when the rights that are new in the view's epoch begin.
	SlotsUsableFrom time.Time
	// LeaseUntil is when the lease under the view's epoch ends.
	LeaseUntil time.Time
}

// State is what a host knows about one backend server.
type State struct {
	Backend string

	incarnation string
	sequence    uint64
	level       int
	// base is the completed count when the present level began.
	base   uint64
	coldAt time.Time
	// rebase makes the next report taken after coldAt set base.
	rebase bool
	last   Report
	// epoch and members are the view that settled refers to.
	epoch   uint64
	members []string
	// settled marks the own slots that no other host can still be using.
	settled []bool
	// complete means that all own slots of epoch are settled; it saves hashing
	// every slot again for each idle report.
	complete bool
}

// ConcurrencyLimit returns the ramp level, which is the number of slots in use. It is 0
// before the first report.
func (s *State) ConcurrencyLimit() int { return s.level }

// Incarnation returns the incarnation of the last report.
func (s *State) Incarnation() string { return s.incarnation }

// Observe applies a load report. target is the first-token target of the
// service's tightest class; 0 means that there is none.
func (s *State) Observe(r Report, limits Limits, target time.Duration, g Grant) {
	limits = limits.sane()
	if r.Incarnation == s.incarnation && r.Sequence <= s.sequence && s.level > 0 {
		return
	}
	first, replaced := s.incarnation == "", r.Incarnation != s.incarnation
	s.incarnation, s.sequence, s.last = r.Incarnation, r.Sequence, r
	withinTarget := target <= 0 || r.FirstToken <= target
	switch {
	case first && s.coldAt.IsZero() && withinTarget && r.Completed >= uint64(warmEvidence*limits.Warm):
		s.level, s.base = limits.Warm, r.Completed
	case replaced:
		s.level, s.base, s.rebase = limits.Cold, r.Completed, r.TakenAt.Before(s.coldAt)
	case s.rebase:
		if !r.TakenAt.Before(s.coldAt) {
			s.base, s.rebase = r.Completed, false
		}
	case withinTarget && s.level < limits.Warm && r.Completed >= s.base+uint64(levelEvidence*s.level):
		s.level, s.base = min(2*s.level, limits.Warm), r.Completed
	}
	s.level = min(s.level, limits.Warm)
	s.settle(r, limits, g)
}

// MarkCold applies a cold sighting made at the given time on this host's clock,
// received at now. It reports whether the sighting was new.
func (s *State) MarkCold(at, now time.Time, limits Limits) bool {
	// Relayed ages differ by link delays and by up to 2% between two clocks.
	spread := sameSighting + now.Sub(s.coldAt)/50
	if !s.coldAt.IsZero() && !at.After(s.coldAt.Add(spread)) {
		return false
	}
	s.coldAt, s.rebase = at, true
	s.level = min(s.level, limits.sane().Cold)
	return true
}

// SeenCold returns when the backend server was last seen cold, while its ramp
// has not reached the warm limit again.
func (s *State) SeenCold(limits Limits) (time.Time, bool) {
	return s.coldAt, !s.coldAt.IsZero() && s.level < limits.sane().Warm
}

// advance carries the settled slots over to the grant's view. A slot stays
// settled only if the host owned it without interruption: after a skipped
// epoch another host may have owned it in between.
func (s *State) advance(g Grant) {
	if s.epoch == g.View.Epoch {
		return
	}
	if g.View.Epoch != s.epoch+1 || len(g.View.Members) == 0 {
		s.settled = nil
	}
	s.epoch, s.members, s.complete = g.View.Epoch, g.View.Members, false
	for i, owner := range view.SlotOwners(s.Backend, len(s.settled), s.members) {
		s.settled[i] = s.settled[i] && owner == g.Self
	}
}

// settle makes all own slots usable if the report shows the backend server
// idle after every older lease has expired.
func (s *State) settle(r Report, limits Limits, g Grant) {
	s.advance(g)
	done := s.complete && len(s.settled) == limits.Warm
	if s.epoch == 0 || done || r.InFlight != 0 || r.TakenAt.Before(g.SlotsUsableFrom) {
		return
	}
	s.complete = true
	s.settled = make([]bool, limits.Warm)
	for i, owner := range view.SlotOwners(s.Backend, limits.Warm, s.members) {
		s.settled[i] = owner == g.Self
	}
}

// Limit returns how many requests the host may have in flight at the backend
// server at now.
func (s *State) Limit(now time.Time, limits Limits, g Grant) int {
	limits = limits.sane()
	s.advance(g)
	if s.level == 0 || len(g.View.Members) == 0 {
		return 0
	}
	if s.level >= limits.Warm {
		return s.warmLimit(limits, len(g.View.Members))
	}
	if !now.Before(g.LeaseUntil) {
		return 0
	}
	n := 0
	for i := range min(s.level, len(s.settled)) {
		if s.settled[i] {
			n++
		}
	}
	return n
}

// warmLimit is ceil(1.5 * warm_limit / members), since load is uneven, less
// what the reported work leaves no room for.
func (s *State) warmLimit(limits Limits, members int) int {
	soft := (3*limits.Warm + 2*members - 1) / (2 * members)
	free := max(limits.Warm-s.last.InFlight, 0)
	return min(soft, limits.Warm, s.last.OwnInFlight+free)
}

// sane replaces limits that cannot be met: a cold limit is at least 1 and a
// warm limit at least the cold limit.
func (l Limits) sane() Limits {
	l.Cold = max(l.Cold, 1)
	l.Warm = max(l.Warm, l.Cold)
	return l
}
