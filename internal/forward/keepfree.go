package forward

import "monsoonkeel.example/monsoonkeel/core/balance"

// keepFreeShare is the share of an engine's KV cache that less urgent generations of a contended service leave free: room for
// some urgent prompts at each engine. An engine without room makes new generations wait, or preempts running ones. With 0.15,
// a third more urgent generations were late.
const keepFreeShare = 0.25

// reserveGeneration reserves a slot at an engine for a new generation. A less urgent one waits while engines have no room
// but that for more urgent ones, as long as any generation may wait, and takes that room only then.
func (r *request) reserveGeneration(req balance.Request, attempted []string) (*reservation, balance.Reason) {
	yielding := req
	if yielding.KeepFree = r.keepFree(); yielding.KeepFree == 0 {
		return r.reserve(req, attempted)
	}
	res, reason := r.reserve(yielding, attempted)
	if res != nil || reason != balance.Full {
		return res, reason
	}
	r.g.Metrics.RoomNotKept.Add(1)
	return r.reserveWithin(req, attempted, 0)
}

// keepFree is the number of tokens of an engine's KV cache that the request leaves free while it waits; 0 unless it gives way.
func (r *request) keepFree() int {
	engine := r.g.balancers.engineConfig(r.service)
	if engine == nil || !r.yields() {
		return 0
	}
	return int(keepFreeShare * float64(engine.KVTokens))
}

// yields reports whether the request gives way to more urgent ones of its service.
func (r *request) yields() bool {
	return r.route.Priority > r.snapshot.Table.MostUrgent(r.service) && r.g.balancers.isContendedEngine(r.service)
}
