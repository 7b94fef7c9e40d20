package balance

import "time"

// Load is the in-flight work at one server.
type Load struct {
	Requests int `json:"r,omitempty"`
	// Tokens is the expected KV cache size of the requests.
	Tokens int `json:"t,omitempty"`
	// Prefill is the number of these tokens that are still to be prefilled.
	Prefill int `json:"p,omitempty"`
}

// Plus returns the sum of both loads, field by field.
func (l Load) Plus(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, Tokens: l.Tokens + o.Tokens, Prefill: l.Prefill + o.Prefill}
}

// SetPeerLoad replaces the load of the other hosts, by server ID.
func (b *Balancer) SetPeerLoad(loads map[string]Load) {
	for id, s := range b.servers {
		s.peers = loads[id]
	}
}

// OwnLoad returns the load of this host by server ID, without idle servers.
func (b *Balancer) OwnLoad() map[string]Load {
	out := map[string]Load{}
	for id, s := range b.servers {
		if s.own != (Load{}) {
			out[id] = s.own
		}
	}
	return out
}

// AddLoad adds load to a server without counting a request against the rate limit.
func (b *Balancer) AddLoad(id string, load Load) {
	s := b.getOrAdd(id)
	s.own = s.own.Plus(load)
}

// AddRequest adds the load of a request that is sent to a server at now, and counts it
// against the rate limit.
func (b *Balancer) AddRequest(id string, load Load, now time.Time) {
	b.AddLoad(id, load)
	s := b.getOrAdd(id)
	if b.limits != nil {
		b.limits.Take(id, now)
	}
	if b.refusals != nil {
		b.refusals.Take(s.Process(), now)
	}
	if b.settings.Limited {
		s.recentRequests(now)
		s.sent = append(s.sent, now)
	}
}

// RemoveLoad subtracts load from a server; for a server that is not tracked it does
// nothing.
func (b *Balancer) RemoveLoad(id string, load Load) {
	s := b.servers[id]
	if s == nil {
		return
	}
	s.own = s.own.Plus(Load{Requests: -load.Requests, Tokens: -load.Tokens, Prefill: -load.Prefill})
	if !s.present && s.own == (Load{}) {
		delete(b.servers, id)
	}
}
