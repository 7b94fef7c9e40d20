package balance

import "time"

// RecordDemand records the demand of a request for the servers with a rate limit: those that are better than
// the chosen one, and that one. Without a choice it is the demand for all of them.
func (b *Balancer) RecordDemand(req Request, chosen Server, reason Reason, now time.Time) {
	if b.limits == nil || !b.limits.HasLimits() {
		return
	}
	for id, s := range b.servers {
		if !b.limits.Limited(id) || !b.isCandidate(id, s, req) {
			continue
		}
		if best := b.servers[chosen.ID]; reason != Chosen || best == nil || b.cost(s, req) <= b.cost(best, req) {
			b.limits.Want(id, now)
		}
	}
}

// Tokens returns how many requests like this one the rate limits allow until a time.
func (b *Balancer) Tokens(req Request, now, until time.Time) (n int) {
	for id, s := range b.servers {
		if b.isCandidate(id, s, req) && b.hasCapacity(s, req, now) {
			n += min(b.limits.Tokens(id, now, until), maxTokenSum)
		}
	}
	return n
}

// maxTokenSum limits the tokens that count of one server; one without a limit has any number.
const maxTokenSum = 1 << 20

// Promise returns when a request that the rate limits reject may come back, later for each further one. It
// returns false if this host has no share of any limit.
func (b *Balancer) Promise(req Request, now time.Time) (time.Time, bool) {
	next := ""
	var from time.Time
	for id, s := range b.servers {
		if !b.isCandidate(id, s, req) || b.limits == nil || !b.limits.Limited(id) {
			continue
		}
		if at, ok := b.limits.PromisedFrom(id, now); ok && (next == "" || at.Before(from)) {
			next, from = id, at
		}
	}
	if next == "" {
		return time.Time{}, false
	}
	return b.limits.Promise(next, now)
}
