package enginemodel

import "time"

// CacheEvent says that the engine stored or evicted a shared prompt prefix.
type CacheEvent struct {
	// Sequence grows by one with each event of an incarnation; a missing
	// number is an event that was lost.
	Sequence uint64
	Prefix   uint64
	Tokens   int
	Stored   bool

	visible time.Time
	lost    bool
}

// prefix is a cached prompt prefix. It can be evicted when no request uses it.
type prefix struct {
	hash    uint64
	tokens  int
	blocks  int
	users   int
	lastUse uint64
	// ready is set when the request that computes the prefix has done so.
	ready bool
}

// evict frees unused prefixes, least recently used first, until need blocks
// are free. It reports whether it could.
func (e *Engine) evict(need int) bool {
	for e.free < need {
		var oldest *prefix
		for _, p := range e.prefixes {
			if p.users == 0 && (oldest == nil || p.lastUse < oldest.lastUse) {
				oldest = p
			}
		}
		if oldest == nil {
			return false
		}
		e.free += oldest.blocks
		delete(e.prefixes, oldest.hash)
		e.cacheEvent(oldest, false)
	}
	return true
}

func (e *Engine) cacheEvent(p *prefix, stored bool) {
	e.eventSeq++
	e.events = append(e.events, CacheEvent{
		Sequence: e.eventSeq, Prefix: p.hash, Tokens: p.tokens, Stored: stored,
		visible: e.now.Add(e.params.EventLag), lost: e.rng.Float64() < e.params.EventLoss,
	})
	if len(e.events) > eventsKept {
		e.events = append(e.events[:0], e.events[len(e.events)-eventsKept/2:]...)
	}
}

// CacheEvents returns the events after the given sequence number that are
// visible at now. Events come late and some never come.
func (e *Engine) CacheEvents(after uint64, now time.Time) []CacheEvent {
	var out []CacheEvent
	for _, ev := range e.events {
		if ev.Sequence > after && !ev.lost && !ev.visible.After(now) {
			out = append(out, ev)
		}
	}
	return out
}
