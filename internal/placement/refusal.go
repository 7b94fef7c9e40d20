package placement

import "time"

// Process is a process of a backend server, which may refuse requests of this host for a time. It needs no
// reservation: a host also resumes and cancels generations that others have started.
type Process struct {
	// ID is that of the backend server.
	ID          string
	incarnation string
	dispatcher  *Dispatcher
}

// Process returns a process of a backend server of the service.
func (d *Dispatcher) Process(id, incarnation string) Process {
	return Process{ID: id, incarnation: incarnation, dispatcher: d}
}

// Process returns the process that the reservation is for.
func (r *Reservation) Process() Process { return r.owner.Process(r.Host.ID, r.Incarnation()) }

// Refuses reports whether nothing must be sent to the backend server.
func (r *Reservation) Refuses() bool { return r.Process().Refuses() }

// Refused records that the process answered that it wants no request of this host for a time. It reports
// whether that was not known.
func (p Process) Refused(refusal time.Duration) bool {
	d, now := p.dispatcher, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hasRefusals.Store(true)
	until, changed := d.dispatcher.Refuse(p.ID, p.incarnation, refusal, now)
	if changed {
		d.deliverDecisions(now) // for requests that no backend server is left for
		time.AfterFunc(until.Sub(now), d.decide)
	}
	return changed
}

// Accepted records an answer that refuses nothing, to a request sent at a time. It reports whether a refusal
// has ended.
func (p Process) Accepted(sentAt time.Time) bool {
	d := p.dispatcher
	if !d.hasRefusals.Load() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ended := d.dispatcher.Accepted(p.ID, p.incarnation, sentAt)
	d.hasRefusals.Store(d.dispatcher.HasRefusals())
	if ended {
		d.deliverDecisions(time.Now())
	}
	return ended
}

// Refuses reports whether nothing must be sent to the process.
func (p Process) Refuses() bool {
	d := p.dispatcher
	if !d.hasRefusals.Load() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatcher.Refuses(p.ID, p.incarnation, time.Now())
}

// Take reports whether a request that needs no reservation may be sent to the process: one that resumes or
// cancels a generation. Otherwise it returns when that may be so.
func (p Process) Take() (returnsAt time.Time, ok bool) {
	d := p.dispatcher
	if !d.hasRefusals.Load() {
		return time.Time{}, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if returnsAt = d.dispatcher.ReturnsAt(p.ID, p.incarnation); now.Before(returnsAt) {
		return returnsAt, false
	}
	d.dispatcher.Take(p.ID, p.incarnation, now)
	return time.Time{}, true
}

// ReturnsAt returns when the process can get a request again; the zero time if it does not refuse.
func (p Process) ReturnsAt() time.Time {
	d := p.dispatcher
	if !d.hasRefusals.Load() {
		return time.Time{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatcher.ReturnsAt(p.ID, p.incarnation)
}

// decide decides about the queued requests.
func (d *Dispatcher) decide() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliverDecisions(time.Now())
}
