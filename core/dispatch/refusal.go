package dispatch

import (
	"encoding/binary"
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

// process returns the process that the backend server is.
func (s Server) process() serverstate.Process {
	return serverstate.Process{ID: s.ID + "/" + s.Incarnation}
}

// random returns the next random number from 0 to 1.
func (d *Dispatcher) random() float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], d.seed)
	d.seed = xxhash.Sum64(b[:])
	return float64(d.seed) / math.MaxUint64
}

// Refuse records that a backend server wants no request of this host for a time. It returns when waiting
// requests are to be decided on again, and false if that was known.
func (d *Dispatcher) Refuse(id, incarnation string, refusal time.Duration, now time.Time) (until time.Time, changed bool) {
	p := Server{ID: id, Incarnation: incarnation}.process()
	changed = d.refusals.Observe(p, refusal, now)
	d.refusals.Retain(func(p serverstate.Process) bool {
		_, same := d.isListed(p)
		return same || now.Before(d.refusals.ReturnsAt(p))
	})
	return d.refusals.ReturnsAt(p), changed
}

// isListed reports whether the backend server of a process is listed, and whether it is the same process.
func (d *Dispatcher) isListed(p serverstate.Process) (listed, same bool) {
	for _, s := range d.servers {
		listed = listed || strings.HasPrefix(p.ID, s.ID+"/")
		same = same || s.process() == p
	}
	return listed, same
}

// Accepted records an answer of a backend server that refuses nothing, to a request sent at a time. It reports
// whether it ended a refusal.
func (d *Dispatcher) Accepted(id, incarnation string, sentAt time.Time) (ended bool) {
	return d.refusals.HasAny() && d.refusals.ObserveAccepted(Server{ID: id, Incarnation: incarnation}.process(), sentAt)
}

// Refuses reports whether nothing must be sent to a backend server.
func (d *Dispatcher) Refuses(id, incarnation string, now time.Time) bool {
	return d.refusals.HasAny() && d.refusals.Refuses(Server{ID: id, Incarnation: incarnation}.process(), now)
}

// ReturnsAt returns when a backend server can get a request again; the zero time if it does not refuse.
func (d *Dispatcher) ReturnsAt(id, incarnation string) time.Time {
	return d.refusals.ReturnsAt(Server{ID: id, Incarnation: incarnation}.process())
}

// Take records a request that needs no slot and is sent to a backend server: to resume or cancel a generation.
func (d *Dispatcher) Take(id, incarnation string, now time.Time) {
	d.refusals.Take(Server{ID: id, Incarnation: incarnation}.process(), now)
}

// HasRefusals reports whether any backend server has refused requests and not accepted one since.
func (d *Dispatcher) HasRefusals() bool { return d.refusals.HasAny() }

// isHeldBack reports whether a refusal excludes a backend server.
func (d *Dispatcher) isHeldBack(s *server, now time.Time) bool {
	return d.refusals.HasAny() && !d.refusals.Allows(s.process(), now)
}

// refusedFor reports whether all backend servers refuse until a request could no longer meet its target or
// deadline, and returns the time after which its caller may return, in whole seconds.
func (d *Dispatcher) refusedFor(r *Request, now time.Time) (after time.Duration, refused bool) {
	if !d.refusals.HasAny() {
		return 0, false
	}
	var first serverstate.Process
	var at time.Time
	for _, s := range d.servers {
		if s.Limit == 0 {
			continue
		}
		returns := d.refusals.ReturnsAt(s.process())
		if !now.Before(returns) {
			return 0, false
		}
		if at.IsZero() || returns.Before(at) {
			first, at = s.process(), returns
		}
	}
	if at.IsZero() || !at.After(latestStart(r, now)) {
		return 0, false
	}
	after = d.refusals.Promise(first).Sub(now)
	return (after + time.Second - 1).Truncate(time.Second), true
}

// latestStart returns when a request must start at the latest; far in the future if it has neither a target
// nor a deadline.
func latestStart(r *Request, now time.Time) time.Time {
	latest := now.Add(math.MaxInt64 / 2)
	if r.Target > 0 {
		latest = r.Arrival.Add(r.Target)
	}
	if !r.Deadline.IsZero() && r.Deadline.Before(latest) {
		latest = r.Deadline
	}
	return latest
}

// rejectRefused rejects the waiting requests that all backend servers refuse for too long.
func (d *Dispatcher) rejectRefused(now time.Time) {
	if !d.refusals.HasAny() {
		return
	}
	for id, r := range d.waiting {
		if after, refused := d.refusedFor(r, now); refused {
			d.Cancel(id)
			d.out = append(d.out, d.reject(r, after, now))
		}
	}
}
