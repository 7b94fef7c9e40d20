package balance

import (
	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

// engineSpeedCost is the weight of an engine's speed without regard to its load, as a fraction of its KV cache. Most of the time
// of a step does not depend on the load, so that generations are slow also on an idle slow engine. The weight is half of the
// fixed part of a step: an error of a tenth in the speed must not move more than one long generation.
const engineSpeedCost = 1.0

// SetPaces replaces what was learned of the servers. Without it, and for processes that it does not name, costs depend on
// load and location only.
func (b *Balancer) SetPaces(paces map[serverstate.Process]pace.Estimate) {
	b.paces = paces
	for _, s := range b.servers {
		s.setPace(paces)
	}
}

// SetSlowdown replaces the momentary slow-down of a process until the next SetPaces.
func (b *Balancer) SetSlowdown(p serverstate.Process, slowdown float64) {
	if s := b.servers[p.ID]; s != nil && s.paced && s.StartTime == p.StartTime {
		s.pace.Slowdown = slowdown
	}
}

// Paces returns what was learned of the servers.
func (b *Balancer) Paces() map[serverstate.Process]pace.Estimate { return b.paces }

func (s *server) setPace(paces map[serverstate.Process]pace.Estimate) {
	s.pace, s.paced = paces[s.Process()]
}

// Share returns the share of what a server can hold that is in use by the requests of all hosts.
func (b *Balancer) Share(id string) float64 {
	if s := b.servers[id]; s != nil {
		return b.shareOf(s, s.own.Plus(s.peers))
	}
	return 0
}

func (b *Balancer) shareOf(s *server, load Load) (share float64) {
	if s.Slots > 0 {
		share = float64(load.Requests) / float64(s.Slots)
	}
	if b.settings.KVTokens > 0 {
		share = max(share, float64(load.Tokens)/float64(b.settings.KVTokens))
	}
	return share
}

// pastLimit returns by how much the learned limit of a server reduces what it can hold, if a request exceeds the limit: the load
// past it then costs like that past a full server.
func (b *Balancer) pastLimit(s *server, load Load) float64 {
	if s.pace.Limit >= 1 || b.shareOf(s, load) <= s.pace.Limit {
		return 0
	}
	return 1 - s.pace.Limit
}

// pacedEngineLoad is the load of an engine with a request, as a fraction of its KV cache, where load and prefills weigh as much
// as they take longer than usual. For an engine at the usual speed it is the same as without learned values.
func (b *Balancer) pacedEngineLoad(s *server, req Request) float64 {
	total := s.own.Plus(s.peers)
	kv, added := float64(b.settings.KVTokens), prefillWeight*float64(req.Prefill)
	load := float64(total.Tokens + req.Tokens)
	prefill := s.pace.Slowdown * (prefillWeight*float64(total.Prefill) + added)
	with := total.Plus(Load{Requests: 1, Tokens: req.Tokens})
	return s.pace.Speed*(engineSpeedCost+(load+prefill)/kv+b.pastLimit(s, with)) - engineSpeedCost - added/kv + lateCost*s.pace.LateShare(req.Events)
}

// lateCost is the cost of a server at which each generation has a late gap, as a fraction of an engine's KV cache. A fuller
// engine delays the first event by some prefills, while a late gap loses most of what the generation is worth to its caller.
const lateCost = 4.0

// pacedPlainLoad is the same for a plain server, as a fraction of its slots.
func (b *Balancer) pacedPlainLoad(s *server) float64 {
	total := s.own.Plus(s.peers)
	slots := float64(max(1, s.Slots))
	load := (float64(total.Requests) + s.pace.Slowdown) / slots
	return s.pace.Speed*(load+b.pastLimit(s, total.Plus(Load{Requests: 1}))) - 1/slots
}
