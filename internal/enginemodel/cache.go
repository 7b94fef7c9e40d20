package enginemodel

import "time"

// CacheEvent reports that the engine stored or evicted a shared prompt prefix.
type CacheEvent struct {
	// Sequence increases by one with each event of an incarnation. A gap in the
	// numbers is a lost event.
	Sequence uint64
	Prefix   uint64
	Tokens   int
	Stored   bool

	visibleAt time.Time
	lost      bool
}

// cachedPrefix is a prompt prefix in the prefix cache. It can be evicted while refs is 0.
type cachedPrefix struct {
	hash    uint64
	tokens  int
	blocks  int
	refs    int
	lastUse uint64
	// ready is set once the KV cache of the whole prefix is computed.
	ready bool
}

// evict evicts unreferenced prefixes, least recently used first, until needed blocks are
// free. It reports whether enough blocks were freed.
func (e *Engine) evict(needed int) bool {
	for e.free < needed {
		var oldest *cachedPrefix
		for _, p := range e.prefixes {
			if p.refs == 0 && (oldest == nil || p.lastUse < oldest.lastUse) {
				oldest = p
			}
		}
		if oldest == nil {
			return false
		}
		e.free += oldest.blocks
		delete(e.prefixes, oldest.hash)
		e.recordCacheEvent(oldest, false)
	}
	return true
}

func (e *Engine) recordCacheEvent(p *cachedPrefix, stored bool) {
	e.eventSeq++
	e.events = append(e.events, CacheEvent{
		Sequence: e.eventSeq, Prefix: p.hash, Tokens: p.tokens, Stored: stored,
		visibleAt: e.now.Add(e.params.EventLag), lost: e.rng.Float64() < e.params.EventLoss,
	})
	if len(e.events) > maxEvents {
		e.events = append(e.events[:0], e.events[len(e.events)-maxEvents/2:]...)
	}
}

// CacheEvents returns the events after the given sequence number that are visible at now.
// Events become visible Params.EventLag late, and a share of Params.EventLoss never does.
func (e *Engine) CacheEvents(after uint64, now time.Time) []CacheEvent {
	var out []CacheEvent
	for _, ev := range e.events {
		if ev.Sequence > after && !ev.lost && !ev.visibleAt.After(now) {
			out = append(out, ev)
		}
	}
	return out
}
