package issuer

import (
	"strings"
	"time"
)

const (
	// LeaseDuration is the validity of a lease, counted from the time at which
	// the last confirmed renewal was sent.
	LeaseDuration = 3 * time.Second
	// LeaseMargin is the additional time for which other daemons treat the
	// lease as valid. It covers 1% of clock drift over the lease (30 ms) and a
	// command in transit.
	LeaseMargin = 500 * time.Millisecond
	// RenewInterval is the time between two renewals.
	RenewInterval = time.Second

	// maxFencingToken limits the tokens adopted from engines, so that an
	// invalid token from a faulty engine cannot make the document's token
	// overflow.
	maxFencingToken = 1 << 62
)

// Lease permits its holder to send control commands for a limited time.
type Lease struct {
	end time.Time
}

// Confirm returns the lease extended by a write that was sent at sentAt and
// succeeded. An earlier write does not shorten it.
func (l Lease) Confirm(sentAt time.Time) Lease {
	if end := sentAt.Add(LeaseDuration); end.After(l.end) {
		l.end = end
	}
	return l
}

// End returns when the lease expires; the zero time if it was never confirmed.
func (l Lease) End() time.Time { return l.end }

// Valid reports whether the holder may send commands at now. Both the wall
// clock and the monotonic clock must be before the end, since either may stop
// while a host is suspended.
func (l Lease) Valid(now time.Time) bool {
	return now.Before(l.end) && now.Round(0).Before(l.end.Round(0))
}

// renewal identifies one renewal.
type renewal struct {
	holder       string
	fencingToken uint64
	renewalCount uint64
}

// LeaseWatch measures, with the observer's own clock, the time since the last
// observed renewal. The zero value has observed no document.
type LeaseWatch struct {
	known   bool
	renewal renewal
	since   time.Time
}

// Observe returns the watch after a document was read at now. Commands accepted
// by other daemons change the version of the object but are not renewals.
func (w LeaseWatch) Observe(d *Document, now time.Time) LeaseWatch {
	r := renewal{d.Holder, d.FencingToken, d.RenewalCount}
	if w.known && w.renewal == r {
		return w
	}
	return LeaseWatch{known: true, renewal: r, since: now}
}

// MayTakeOver reports whether another daemon may replace the holder: there is
// no holder, or no renewal was observed for LeaseDuration plus LeaseMargin.
func (w LeaseWatch) MayTakeOver(now time.Time) bool {
	return w.known && (w.renewal.holder == "" || !now.Before(w.since.Add(LeaseDuration+LeaseMargin)))
}

// FirstSendAt returns when a daemon that takes over the lease at now may send
// its first command. A holder that released the lease sends no more commands. A
// document that never had a holder may replace one that was lost, so a full
// lease time must pass first.
func (w LeaseWatch) FirstSendAt(now time.Time) time.Time {
	switch {
	case w.renewal.holder != "":
		return w.since.Add(LeaseDuration + LeaseMargin)
	case w.renewal.fencingToken == 0:
		return now.Add(LeaseDuration + LeaseMargin)
	}
	return now
}

// Acquire returns the document with a new holder. The fencing token is greater
// than the document's and atLeast, the greatest token observed at an engine.
func (d *Document) Acquire(holder string, atLeast uint64) *Document {
	next := d.clone()
	next.Holder, next.FencingToken = holder, max(d.FencingToken, min(atLeast, maxFencingToken))+1
	return next
}

// Renew returns the document with a renewal count greater than its own and
// attempted, the greatest that the holder has attempted to write. A count is
// never reused, so that the count read after a lost response shows which write
// succeeded.
func (d *Document) Renew(attempted uint64) *Document {
	next := d.clone()
	next.RenewalCount = max(d.RenewalCount, attempted) + 1
	return next
}

// Release returns the document without a holder. The caller must send no more
// commands under the lease.
func (d *Document) Release() *Document {
	next := d.clone()
	next.Holder = ""
	return next
}

// Result is a change of a command's status.
type Result struct {
	ID, Backend  string
	Status       Status
	FencingToken uint64
	Detail       string
}

// Record returns the document with the results applied; results of unknown
// commands are ignored. A failed command remains failed.
func (d *Document) Record(results []Result) *Document {
	next := d.clone()
	for _, r := range results {
		for i := range next.Commands {
			c := &next.Commands[i]
			if c.ID != r.ID || c.Backend != r.Backend || c.Status == Failed {
				continue
			}
			c.Status, c.Detail = r.Status, strings.ToValidUTF8(r.Detail[:min(len(r.Detail), MaxDetailBytes)], "")
			c.FencingToken = max(c.FencingToken, r.FencingToken)
		}
	}
	return next
}

// PruneRemoved returns the document without the finished commands of backend
// servers for which removed returns true.
func (d *Document) PruneRemoved(removed func(backend string) bool) *Document {
	next := d.clone()
	next.Commands = next.Commands[:0]
	for _, c := range d.Commands {
		if !c.Finished() || !removed(c.Backend) {
			next.Commands = append(next.Commands, c)
		}
	}
	return next
}

// HasUnfinished reports whether any command remains to be sent or confirmed.
func (d *Document) HasUnfinished() bool {
	for i := range d.Commands {
		if !d.Commands[i].Finished() {
			return true
		}
	}
	return false
}

// NextInput limits the commands that Next returns.
type NextInput struct {
	// Ready reports whether a backend server is listed and due for an attempt.
	Ready func(backend string) bool
	// LoadBudget is the number of load commands that the weight store's rate
	// limit permits now.
	LoadBudget int
}

// Next returns the commands to send now, at most one per backend server: the
// oldest unfinished one. So commands take effect in order of acceptance, and a
// backend server has at most one load at a time.
func (d *Document) Next(in NextInput) []Command {
	var out []Command
	busy := map[string]bool{}
	for _, c := range d.Commands {
		if c.Finished() || busy[c.Backend] {
			continue
		}
		busy[c.Backend] = true
		if !in.Ready(c.Backend) || c.Kind == KindLoad && in.LoadBudget == 0 {
			continue
		}
		if c.Kind == KindLoad {
			in.LoadBudget--
		}
		out = append(out, c)
	}
	return out
}

// target is the object of a command: a name at a backend server, or the backend
// server's role.
type target struct{ backend, name string }

func (c *Command) target() target {
	if c.Kind == KindRole {
		return target{backend: c.Backend}
	}
	return target{c.Backend, c.Name}
}

// lastPerTarget returns the index of the newest command per target that did not
// fail.
func (d *Document) lastPerTarget() map[target]int {
	last := map[target]int{}
	for i := range d.Commands {
		if c := &d.Commands[i]; c.Status != Failed {
			last[c.target()] = i
		}
	}
	return last
}

// EngineState is an engine's state, derived from its applied commands.
type EngineState struct {
	// Loaded contains the names of loaded models, adapters and versions.
	Loaded map[string]bool
	Role   string
	// FencingToken is the greatest fencing token that the engine has applied.
	FencingToken uint64
}

// Apply updates the state with one applied command.
func (s *EngineState) Apply(kind Kind, name string, fencingToken uint64) {
	if s.Loaded == nil {
		s.Loaded = map[string]bool{}
	}
	switch kind {
	case KindLoad:
		s.Loaded[name] = true
	case KindUnload:
		delete(s.Loaded, name)
	case KindRole:
		s.Role = name
	}
	s.FencingToken = max(s.FencingToken, fencingToken)
}

// Satisfies reports whether the engine has the command's desired state.
func (s *EngineState) Satisfies(c *Command) bool {
	switch c.Kind {
	case KindLoad:
		return s.Loaded[c.Name]
	case KindUnload:
		return !s.Loaded[c.Name]
	default:
		return s.Role == c.Name
	}
}

// Drifted returns results that set applied commands of a backend server back to
// pending when the engine no longer has their desired state, as after a restart
// or a delayed command of an earlier lease holder.
func (d *Document) Drifted(backend string, s *EngineState) []Result {
	var out []Result
	last := d.lastPerTarget()
	for i := range d.Commands {
		c := &d.Commands[i]
		if c.Backend == backend && c.Status == Applied && last[c.target()] == i && !s.Satisfies(c) {
			out = append(out, Result{ID: c.ID, Backend: backend, Status: Pending, Detail: "the engine lost the state"})
		}
	}
	return out
}

// AppliedBackends returns the backend servers that have an applied command.
func (d *Document) AppliedBackends() []string {
	var out []string
	seen := map[string]bool{}
	for i := range d.Commands {
		if c := &d.Commands[i]; c.Status == Applied && !seen[c.Backend] {
			seen[c.Backend] = true
			out = append(out, c.Backend)
		}
	}
	return out
}
