package serverstate

import (
	"math"
	"time"
)

const (
	// DefaultRefusal is the time that is assumed of a refusal whose time cannot be read.
	DefaultRefusal = time.Second
	// maxRefusal is the longest time for which a refusal is taken at its word.
	maxRefusal = 10 * time.Minute
	// minSpread and maxSpread bound the random delay of a return, which is spreadShare of the refusal at
	// most. The hosts were refused at about the same time.
	minSpread   = 50 * time.Millisecond
	maxSpread   = time.Second
	spreadShare = 0.25
	// trialTimeout is how long the first request after a refusal holds the others back if it gets no answer.
	trialTimeout = 500 * time.Millisecond
	// sameEnd is the difference up to which the ends of two refusals are the same for the log.
	sameEnd = 100 * time.Millisecond
)

// RefusalTime returns how long a server refuses that states a number of seconds. valid is false if the result
// is not what the server states.
func RefusalTime(seconds float64) (d time.Duration, valid bool) {
	switch {
	case math.IsNaN(seconds) || seconds < 0:
		return DefaultRefusal, false
	case seconds > maxRefusal.Seconds():
		return maxRefusal, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// Refusals tracks the servers that refuse requests of this host for a time. When the time is over, the host
// waits for a random delay and sends a single request; its answer lets the others pass.
type Refusals struct {
	servers map[string]*refusal
	random  func() float64
}

type refusal struct {
	startTime int64
	// heardAt is when the newest answer that refused arrived.
	heardAt time.Time
	// until is the latest end that the server named, returnAt when this host may send again.
	until, returnAt time.Time
	spread          time.Duration
	// trialUntil is until when the first request after returnAt holds the others back.
	trialUntil time.Time
}

// NewRefusals returns Refusals without servers. random returns a random number from 0 to 1.
func NewRefusals(random func() float64) *Refusals {
	return &Refusals{servers: map[string]*refusal{}, random: random}
}

// Observe records a refusal that arrived at a time. An answer to a request that was under way may name an
// earlier end than another one; the latest counts, as the server has taken back neither. It reports whether
// the end changed.
func (r *Refusals) Observe(p Process, d time.Duration, at time.Time) (changed bool) {
	s := r.servers[p.ID]
	if s != nil && s.startTime > p.StartTime || d <= 0 {
		return false
	}
	if s == nil || s.startTime < p.StartTime {
		s = &refusal{startTime: p.StartTime}
		r.servers[p.ID] = s
	}
	if at.After(s.heardAt) {
		s.heardAt = at
	}
	end := at.Add(d)
	if !end.After(s.until) {
		return false
	}
	changed = end.Sub(s.until) > sameEnd
	s.until = end
	s.spread = min(max(time.Duration(float64(d)*spreadShare), minSpread), maxSpread)
	s.returnAt = end.Add(time.Duration(r.random() * float64(s.spread)))
	s.trialUntil = time.Time{}
	return changed
}

// ObserveAccepted records an answer that refuses nothing. It ends the refusal if the request was sent after
// the end, and reports whether it did.
func (r *Refusals) ObserveAccepted(p Process, sentAt time.Time) (ended bool) {
	s := r.of(p)
	if s == nil || sentAt.Before(s.returnAt) {
		return false
	}
	delete(r.servers, p.ID)
	return true
}

// of returns the refusal of a process, or nil.
func (r *Refusals) of(p Process) *refusal {
	if s := r.servers[p.ID]; s != nil && s.startTime == p.StartTime {
		return s
	}
	return nil
}

// HasAny reports whether any server has refused requests and not accepted one since.
func (r *Refusals) HasAny() bool { return len(r.servers) > 0 }

// Refuses reports whether nothing must be sent to a server.
func (r *Refusals) Refuses(p Process, now time.Time) bool {
	s := r.of(p)
	return s != nil && now.Before(s.returnAt)
}

// Allows reports whether a new request may be sent to a server.
func (r *Refusals) Allows(p Process, now time.Time) bool { return !now.Before(r.ReturnsAt(p)) }

// ReturnsAt returns when a server can get a request again; the zero time if it does not refuse.
func (r *Refusals) ReturnsAt(p Process) time.Time {
	s := r.of(p)
	switch {
	case s == nil:
		return time.Time{}
	case s.trialUntil.After(s.returnAt):
		return s.trialUntil
	}
	return s.returnAt
}

// Promise returns when a caller whose request is rejected may return, at a random time after the end.
func (r *Refusals) Promise(p Process) time.Time {
	at := r.ReturnsAt(p)
	if s := r.of(p); s != nil {
		at = at.Add(time.Duration(r.random() * float64(max(s.spread, trialTimeout))))
	}
	return at
}

// Take records a request that is sent to a server.
func (r *Refusals) Take(p Process, now time.Time) {
	if s := r.of(p); s != nil && !now.Before(s.returnAt) {
		s.trialUntil = now.Add(trialTimeout)
	}
}

// Retain drops the processes for which keep returns false.
func (r *Refusals) Retain(keep func(Process) bool) {
	for id, s := range r.servers {
		if !keep(Process{ID: id, StartTime: s.startTime}) {
			delete(r.servers, id)
		}
	}
}

// Update applies the processes that are listed now; startTime returns that of a server, and whether it is listed. A server may
// be listed again later, so that a refusal is kept until its end. A process that had started when the refusal was heard is the one
// that refused, although another one was listed then.
func (r *Refusals) Update(startTime func(id string) (int64, bool), now time.Time) {
	for id, s := range r.servers {
		listed, ok := startTime(id)
		switch {
		case ok && listed == s.startTime:
		case ok && listed > s.startTime && s.heardAt.UnixMilli() >= listed:
			s.startTime = listed
		case ok && listed > s.startTime, now.After(s.returnAt):
			delete(r.servers, id)
		}
	}
}
