package enginemodel

import (
	"slices"
	"time"
)

// beginStep schedules the next step: decoding requests first, then the prefill of admitted
// requests, then newly admitted requests in queue order.
func (e *Engine) beginStep(now time.Time) {
	budget := e.params.StepTokens
	preempted := false
	for i := 0; i < len(e.running); i++ {
		s := e.running[i]
		s.prefill, s.decoding = 0, false
		if s.computed < s.contextTokens {
			continue
		}
		for !e.grow(s, s.contextTokens+1) {
			preempted = true
			victim, at := e.preempt()
			if at <= i {
				i--
			}
			if victim == s {
				s = nil
				break
			}
		}
		if s != nil {
			s.decoding = true
			budget--
		}
	}
	if !preempted {
		e.admitMigrated()
	}
	for _, s := range e.running {
		if s.computed < s.contextTokens && budget > 0 {
			s.prefill = min(s.contextTokens-s.computed, budget)
			budget -= s.prefill
		}
	}
	for !preempted && budget > 0 && len(e.waiting) > 0 && len(e.running) < e.params.MaxRunning {
		s := e.waiting[0]
		if !e.admit(s) {
			break
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		s.prefill = min(s.contextTokens-s.computed, budget)
		budget -= s.prefill
	}
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	d := e.stepDuration()
	e.stepEnd = now.Add(d)
	ms := float64(d) / float64(time.Millisecond)
	if e.stepTime == 0 {
		e.stepTime = ms
	}
	e.stepTime += stepSmoothing * (ms - e.stepTime)
}

// admitMigrated admits resumed requests with a KV cache copy. They are placed first in the
// batch, so that the context missing in the copy is prefilled before other prompts.
func (e *Engine) admitMigrated() {
	for len(e.waiting) > 0 && e.waiting[0].copied > 0 && len(e.running) < e.params.MaxRunning {
		s := e.waiting[0]
		if !e.admit(s) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = slices.Insert(e.running, 0, s)
	}
}

// admit allocates KV cache for the context of a waiting request, sharing a cached prefix if
// there is one. It reports whether enough blocks were available.
func (e *Engine) admit(s *sequence) bool {
	e.useCounter++
	copied := s.copied
	s.computed, s.copied = copied, 0
	s.decoding = false
	if s.Prefix != 0 && s.computed == 0 {
		if p := e.prefixes[s.Prefix]; p != nil && p.ready && p.tokens <= s.PrefixTokens {
			p.refs++
			p.lastUse = e.useCounter
			s.shared = p
			// The last context token is always computed, since this produces the next token.
			s.computed = min(p.tokens, s.contextTokens-1)
		} else if p == nil {
			e.reservePrefix(s)
		}
	}
	if e.grow(s, s.contextTokens+1) {
		return true
	}
	s.copied, s.computed = copied, 0
	if copied == 0 {
		e.release(s) // a copy keeps its blocks
	}
	return false
}

// reservePrefix allocates the blocks of a new shared prefix, which s computes. It does nothing
// when the prefix is shorter than a block or too few blocks are available.
func (e *Engine) reservePrefix(s *sequence) {
	tokens := s.PrefixTokens / e.params.BlockTokens * e.params.BlockTokens
	blocks := tokens / e.params.BlockTokens
	if blocks == 0 || (e.free < blocks && !e.evict(blocks)) {
		return
	}
	e.free -= blocks
	p := &cachedPrefix{hash: s.Prefix, tokens: tokens, blocks: blocks, refs: 1, lastUse: e.useCounter}
	e.prefixes[s.Prefix] = p
	s.shared = p
}

// preempt frees the KV cache of the running request with the lowest priority, the last one in
// the batch among equals, and returns the request to the queue to recompute its context. It
// returns the request and its former index in running.
func (e *Engine) preempt() (*sequence, int) {
	at := len(e.running) - 1
	for i := at; i >= 0; i-- {
		if e.running[i].Priority < e.running[at].Priority {
			at = i
		}
	}
	v := e.running[at]
	e.running = slices.Delete(e.running, at, at+1)
	e.release(v)
	e.preemptions++
	e.recomputed += uint64(v.computed)
	v.computed, v.prefill, v.decoding = 0, 0, false
	e.enqueue(v, true)
	return v, at
}

func (e *Engine) stepDuration() time.Duration {
	var decodes, context, prefill int
	for _, s := range e.running {
		if s.decoding {
			decodes++
			context += s.computed
		}
		prefill += s.prefill
	}
	p := &e.params
	d := p.StepBase + time.Duration(decodes)*p.StepPerRequest +
		time.Duration(context)*p.StepPerContext/1000 + time.Duration(prefill)*p.StepPerPrefill
	if e.cold {
		d = time.Duration(float64(d) * p.ColdFactor)
	}
	return d
}

// endStep applies the results of the current step and appends its events to out.
func (e *Engine) endStep(out []Event) []Event {
	kept := e.running[:0]
	for _, s := range e.running {
		e.prefilled += uint64(s.prefill)
		s.computed += s.prefill
		s.prefill = 0
		if s.computed < s.contextTokens {
			kept = append(kept, s)
			continue
		}
		if p := s.shared; p != nil && !p.ready {
			p.ready = true
			e.recordCacheEvent(p, true)
		}
		s.decoding = false
		s.produced++
		s.contextTokens = s.Prompt + s.produced
		s.computed = s.contextTokens
		out = append(out, Event{At: e.now, ID: s.ID, Kind: Token, Offset: s.produced})
		if s.produced == 1 {
			e.firstTokens = append(e.firstTokens, e.now.Sub(s.submitted))
			if len(e.firstTokens) > firstTokenWindow {
				e.firstTokens = e.firstTokens[1:]
			}
		}
		if s.produced < s.Output {
			kept = append(kept, s)
			continue
		}
		out = append(out, Event{At: e.now, ID: s.ID, Kind: Finished, Offset: s.produced})
		e.release(s)
		e.completed++
		if e.cold && e.coldLimit() >= e.params.MaxRunning {
			e.cold = false
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	return out
}
