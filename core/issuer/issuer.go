package issuer

import (
	"strings"
	"time"
)

const (
	// LeaseDuration is how long a holder may send after it sent the last
	// confirmed renewal.
	LeaseDuration = 3 * time.Second
	// LeaseMargin is added by others before they treat the lease as lapsed. It covers
	// 1% of clock drift over the lease (30 ms) and a command on its way.
	LeaseMargin = 500 * time.Millisecond
	// RenewInterval is the time between two renewals.
	RenewInterval = time.Second

	// maxFencingNumber bounds the numbers taken over from engines, so that a
	// damaged engine's number cannot make the document's number wrap.
	maxFencingNumber = 1 << 62
)

// Lease is a holder's right to send.
type Lease struct {
	end time.Time
}

// Confirm extends the lease after a write that was sent at sentAt took effect.
func (l Lease) Confirm(sentAt time.Time) Lease {
	if end := sentAt.Add(LeaseDuration); end.After(l.end) {
		l.end = end
	}
	return l
}

// End is when the lease lapses; the zero time if it never began.
func (l Lease) End() time.Time { return l.end }

// Valid says whether the holder may send now. Both the wall clock and the
// monotonic clock must be before the end, since either may stand still while a
// host is paused.
func (l Lease) Valid(now time.Time) bool {
	return now.Before(l.end) && now.Round(0).Before(l.end.Round(0))
}

// mark identifies one renewal.
type mark struct {
	holder        string
	fencingNumber uint64
	beat          uint64
}

// LeaseWatch measures, with the watcher's own clock, how long a beat has stood
// still. The zero value has seen nothing.
type LeaseWatch struct {
	known bool
	mark  mark
	since time.Time
}

// Observe notes a document whose read was answered at now. Commands accepted
// by other daemons change the object's version but not the beat.
func (w LeaseWatch) Observe(d *Document, now time.Time) LeaseWatch {
	m := mark{d.Holder, d.FencingNumber, d.RenewalCount}
	if w.known && w.mark == m {
		return w
	}
	return LeaseWatch{known: true, mark: m, since: now}
}

// MayTakeOver says whether another daemon may replace the holder: there is
// none, or the beat has stood still for the lease time and margin.
func (w LeaseWatch) MayTakeOver(now time.Time) bool {
	return w.known && (w.mark.holder == "" || !now.Before(w.since.Add(LeaseDuration+LeaseMargin)))
}

// FirstSendAt is when a daemon that takes over at now may send first. A holder
// that gave up its role sends nothing more. A document without any holder may
// replace one that was lost, so that an unknown lease is waited out.
func (w LeaseWatch) FirstSendAt(now time.Time) time.Time {
	switch {
	case w.mark.holder != "":
		return w.since.Add(LeaseDuration + LeaseMargin)
	case w.mark.fencingNumber == 0:
		return now.Add(LeaseDuration + LeaseMargin)
	}
	return now
}

// Acquire returns the document with a new holder. The fencing number exceeds
// the document's and atLeast, the highest number seen at an engine.
func (d *Document) Acquire(holder string, atLeast uint64) *Document {
	next := d.clone()
	next.Holder, next.FencingNumber = holder, max(d.FencingNumber, min(atLeast, maxFencingNumber))+1
	return next
}

// Renew returns the document with a beat above its own and above tried, the
// highest beat that the holder has tried to write. A beat is never reused, so
// that a beat read back after a lost answer proves which write took effect.
func (d *Document) Renew(tried uint64) *Document {
	next := d.clone()
	next.RenewalCount = max(d.RenewalCount, tried) + 1
	return next
}

// Release returns the document without a holder. The holder must send nothing more.
func (d *Document) Release() *Document {
	next := d.clone()
	next.Holder = ""
	return next
}

// Result is a change of a command's status.
type Result struct {
	ID, Backend   string
	Status        Status
	FencingNumber uint64
	Detail        string
}

// Record returns the document with the results; results of unknown commands
// are dropped. A command that failed stays failed.
func (d *Document) Record(results []Result) *Document {
	next := d.clone()
	for _, r := range results {
		for i := range next.Commands {
			c := &next.Commands[i]
			if c.ID != r.ID || c.Backend != r.Backend || c.Status == Failed {
				continue
			}
			c.Status, c.Detail = r.Status, strings.ToValidUTF8(r.Detail[:min(len(r.Detail), MaxDetailBytes)], "")
			c.FencingNumber = max(c.FencingNumber, r.FencingNumber)
		}
	}
	return next
}

// PruneRemoved returns the document without the finished commands of a backend
// server that no longer exists.
func (d *Document) PruneRemoved(gone func(backend string) bool) *Document {
	next := d.clone()
	next.Commands = next.Commands[:0]
	for _, c := range d.Commands {
		if !c.Finished() || !gone(c.Backend) {
			next.Commands = append(next.Commands, c)
		}
	}
	return next
}

// HasUnfinished says whether any command remains to be sent or confirmed.
func (d *Document) HasUnfinished() bool {
	for i := range d.Commands {
		if !d.Commands[i].Finished() {
			return true
		}
	}
	return false
}

// NextInput limits what may be sent now.
type NextInput struct {
	// Ready says whether a backend server is listed and due for a try.
	Ready func(backend string) bool
	// LoadBudget is how many loads the weight store's rate allows now.
	LoadBudget int
}

// Next returns the commands to send now, at most one per backend server: the
// oldest unfinished one, so that commands take effect in the order of
// acceptance and a backend server has at most one load at a time.
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

// target is what a command changes: one name at a backend server, or its role.
type target struct{ backend, name string }

func (c *Command) target() target {
	if c.Kind == KindRole {
		return target{backend: c.Backend}
	}
	return target{c.Backend, c.Name}
}

// last returns the index of the newest command per target that did not fail.
func (d *Document) last() map[target]int {
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
	// Loaded holds the names of loaded models, adapters and versions.
	Loaded map[string]bool
	Role   string
	// FencingNumber is the highest number that the engine has applied.
	FencingNumber uint64
}

// Apply adds one applied command.
func (s *EngineState) Apply(kind Kind, name string, fencingNumber uint64) {
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
	s.FencingNumber = max(s.FencingNumber, fencingNumber)
}

// Satisfies says whether the command's desired state holds.
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

// Drifted returns the applied commands of a backend server whose desired state
// the engine no longer has, as after a restart or a late command of an old
// issuer. They must be sent again.
func (d *Document) Drifted(backend string, s *EngineState) []Result {
	var out []Result
	last := d.last()
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
