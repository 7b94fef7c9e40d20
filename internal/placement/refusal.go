package placement

import "time"

// Refused records that the backend server answered that it wants no request of this host for a time. It
// reports whether that was not known.
func (r *Reservation) Refused(refusal time.Duration) bool {
	d, now := r.owner, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hasRefusals.Store(true)
	until, changed := d.dispatcher.Refuse(r.Host.ID, r.Incarnation(), refusal, now)
	if changed {
		d.deliverDecisions(now) // for requests that no backend server is left for
		time.AfterFunc(until.Sub(now), d.decide)
	}
	return changed
}

// Accepted records an answer that refuses nothing, to a request sent at a time. It reports whether a refusal
// has ended.
func (r *Reservation) Accepted(sentAt time.Time) bool {
	d := r.owner
	if !d.hasRefusals.Load() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ended := d.dispatcher.Accepted(r.Host.ID, r.Incarnation(), sentAt)
	d.hasRefusals.Store(d.dispatcher.HasRefusals())
	if ended {
		d.deliverDecisions(time.Now())
	}
	return ended
}

// Refuses reports whether nothing must be sent to the backend server.
func (r *Reservation) Refuses() bool {
	d := r.owner
	if !d.hasRefusals.Load() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatcher.Refuses(r.Host.ID, r.Incarnation(), time.Now())
}

// decide decides about the queued requests.
func (d *Dispatcher) decide() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliverDecisions(time.Now())
}
