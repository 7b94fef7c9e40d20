package dispatch

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/admit"
)

// Drain returns the decisions about waiting requests that can be dispatched now
// or can no longer meet their target or deadline. The result is valid until the
// next call.
func (d *Dispatcher) Drain(now time.Time) []Outcome {
	d.out = d.out[:0]
	d.endAssumedPrefills(now)
	d.rejectRefused(now)
	late, first := d.queue.Rejected(now), d.first
	d.dispatchQueued(now)
	for i := range late {
		d.decideLate(&late[i], first, now)
	}
	d.drainedAt = now
	return d.out
}

// decideLate decides about a request whose target or deadline has passed while it
// waited. It is dispatched if a backend server is free after all others were
// considered: its caller is better served late than not at all.
func (d *Dispatcher) decideLate(late *admit.Rejection, first Shortage, now time.Time) {
	r := d.waiting[late.Item.ID]
	delete(d.waiting, r.ID)
	dist := d.lengths.Dist(r.Class, r.Team)
	if r.Deadline.IsZero() || now.Add(late.Item.ServiceTime).Before(r.Deadline) {
		if s := d.pick(r, &dist, allRegions, now); s != nil {
			d.queue.Charge(&late.Item, now)
			d.out = append(d.out, d.assign(r, s, &dist, late.Item.Tokens, now))
			return
		}
	}
	out := d.reject(r, late.Decision.RetryAfter, now)
	out.Shortages.First = first
	d.out = append(d.out, out)
}

// dispatchQueued dispatches waiting requests in the order of the queue until no
// backend server can take the first one.
func (d *Dispatcher) dispatchQueued(now time.Time) {
	for {
		next, ok := d.queue.Peek(now)
		if !ok {
			d.first = Shortage{}
			return
		}
		r := d.waiting[next.ID]
		regions := scopeOf(now.Sub(r.Arrival))
		if d.dispatchWaiting(r, next.Tokens, regions, now) {
			continue
		}
		d.first = d.shortage(r, regions, now)
		if regions == ownRegion {
			d.drainToOtherRegions(now)
		}
		return
	}
}

// drainToOtherRegions dispatches waiting requests to the backend servers that the first
// one does not use yet because it waits for its own region. Without it, urgent
// requests that keep arriving would delay requests that have waited longer, while
// these backend servers are free.
func (d *Dispatcher) drainToOtherRegions(now time.Time) {
	for {
		next, ok := d.queue.PeekArrivedBy(now.Add(-localWait), now)
		if !ok || !d.dispatchWaiting(d.waiting[next.ID], next.Tokens, otherRegions, now) {
			return
		}
	}
}

// dispatchWaiting assigns a waiting request to a backend server and reports whether
// one can take it now.
func (d *Dispatcher) dispatchWaiting(r *Request, estimate float64, regions scope, now time.Time) bool {
	dist := d.lengths.Dist(r.Class, r.Team)
	s := d.pick(r, &dist, regions, now)
	if s == nil && len(r.Attempted) > 0 {
		// A retry must not block the requests behind it when all other
		// backend servers are full. A server at which it failed before may
		// serve it.
		r.Attempted = nil
		s = d.pick(r, &dist, regions, now)
	}
	if s == nil {
		return false
	}
	d.queue.Take(r.ID, now)
	delete(d.waiting, r.ID)
	d.out = append(d.out, d.assign(r, s, &dist, estimate, now))
	return true
}

// NextDecision returns the time from which Drain may decide about a waiting request
// only because time has passed; zero if nothing waits for a time. It is called after
// Offer or Drain with the same now.
func (d *Dispatcher) NextDecision(now time.Time) (next time.Time) {
	consider := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if len(d.waiting) > 0 && len(d.assumedPrefills) > 0 {
		consider(d.assumedPrefills[0].ends)
	}
	for _, r := range d.waiting {
		consider(r.Arrival.Add(localWait))
	}
	if due := d.queue.NextDue(); !due.IsZero() {
		consider(due.Add(time.Nanosecond))
	}
	return next
}
