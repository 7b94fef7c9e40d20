package balance

import "time"

// ReturnsAt returns when the first of the candidates that refuse takes requests again; false if none refuses.
func (b *Balancer) ReturnsAt(req Request) (at time.Time, ok bool) {
	first, at := b.firstToReturn(req)
	return at, first != nil
}

// PromiseReturn returns when a rejected request may return to find a server that does not refuse, at a random
// time after the end of the refusal; false if no candidate refuses.
func (b *Balancer) PromiseReturn(req Request) (time.Time, bool) {
	first, _ := b.firstToReturn(req)
	if first == nil {
		return time.Time{}, false
	}
	return b.refusals.Promise(first.Process()), true
}

func (b *Balancer) firstToReturn(req Request) (first *server, at time.Time) {
	if b.refusals == nil {
		return nil, at
	}
	for id, s := range b.servers {
		returns := b.refusals.ReturnsAt(s.Process())
		if returns.IsZero() || !b.isCandidate(id, s, req) {
			continue
		}
		if first == nil || returns.Before(at) {
			first, at = s, returns
		}
	}
	return first, at
}
