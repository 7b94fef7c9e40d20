package balance

import "time"

// ReturnsAt returns when the first candidate takes requests again; false unless all of them have refused.
func (b *Balancer) ReturnsAt(req Request) (at time.Time, ok bool) {
	first, at := b.firstToReturn(req)
	return at, first != nil
}

// PromiseReturn returns when a rejected request may return to find a server that does not refuse, at a random
// time after the end of the refusal; false unless all candidates have refused.
func (b *Balancer) PromiseReturn(req Request) (time.Time, bool) {
	first, _ := b.firstToReturn(req)
	if first == nil {
		return time.Time{}, false
	}
	return b.refusals.Promise(first.Process()), true
}

// firstToReturn returns the candidate whose refusal ends first; nil unless all of them have refused.
func (b *Balancer) firstToReturn(req Request) (first *server, at time.Time) {
	if b.refusals == nil {
		return nil, at
	}
	for id, s := range b.servers {
		if !b.isCandidate(id, s, req) {
			continue
		}
		returns := b.refusals.ReturnsAt(s.Process())
		if returns.IsZero() {
			return nil, time.Time{}
		}
		if first == nil || returns.Before(at) {
			first, at = s, returns
		}
	}
	return first, at
}
