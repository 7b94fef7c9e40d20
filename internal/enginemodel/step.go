package enginemodel

import (
	"slices"
	"time"
)

// beginStep composes the next step: first the requests that decode, then
// prefill in order of the queue.
func (e *Engine) beginStep(now time.Time) {
	budget := e.params.StepTokens
	preempted := false
	for i := 0; i < len(e.running); i++ {
		s := e.running[i]
		s.prefill, s.decoding = 0, false
		if s.computed < s.need {
			continue
		}
		for !e.grow(s, s.need+1) {
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
		e.admitCopies()
	}
	for _, s := range e.running {
		if s.computed < s.need && budget > 0 {
			s.prefill = min(s.need-s.computed, budget)
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
		s.prefill = min(s.need-s.computed, budget)
		budget -= s.prefill
	}
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	d := e.duration()
	e.stepEnds = now.Add(d)
	ms := float64(d) / float64(time.Millisecond)
	if e.stepTime == 0 {
		e.stepTime = ms
	}
	e.stepTime += stepSmoothing * (ms - e.stepTime)
}

// admitCopies admits requests that came with a copy. What the copy lacks is read
// before the prompts of others.
func (e *Engine) admitCopies() {
	for len(e.waiting) > 0 && e.waiting[0].copied > 0 && len(e.running) < e.params.MaxRunning {
		s := e.waiting[0]
		if !e.admit(s) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = slices.Insert(e.running, 0, s)
	}
}

// admit gives a waiting request memory for its context and uses a cached prefix.
func (e *Engine) admit(s *sequence) bool {
	e.uses++
	copied := s.copied
	s.computed, s.copied = copied, 0
	s.decoding = false
	if s.Prefix != 0 && s.computed == 0 {
		if p := e.prefixes[s.Prefix]; p != nil && p.ready && p.tokens <= s.PrefixTokens {
			p.users++
			p.lastUse = e.uses
			s.shared = p
			// The last context token is always computed, to produce the next one.
			s.computed = min(p.tokens, s.need-1)
		} else if p == nil {
			e.reservePrefix(s)
		}
	}
	if e.grow(s, s.need+1) {
		return true
	}
	s.copied, s.computed = copied, 0
	if copied == 0 {
		e.release(s) // a copy keeps its memory
	}
	return false
}

// reservePrefix makes s the request that computes its prefix for others.
func (e *Engine) reservePrefix(s *sequence) {
	tokens := s.PrefixTokens / e.params.BlockTokens * e.params.BlockTokens
	blocks := tokens / e.params.BlockTokens
	if blocks == 0 || (e.free < blocks && !e.evict(blocks)) {
		return
	}
	e.free -= blocks
	p := &prefix{hash: s.Prefix, tokens: tokens, blocks: blocks, users: 1, lastUse: e.uses}
	e.prefixes[s.Prefix] = p
	s.shared = p
}

// preempt takes the memory of the running request with the lowest priority,
// the newest among equals, and returns it to the queue; its context must be
// computed again. It returns the request and the position it had.
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

func (e *Engine) duration() time.Duration {
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

// endStep makes the step's results visible.
func (e *Engine) endStep(out []Event) []Event {
	kept := e.running[:0]
	for _, s := range e.running {
		e.prefilled += uint64(s.prefill)
		s.computed += s.prefill
		s.prefill = 0
		if s.computed < s.need {
			kept = append(kept, s)
			continue
		}
		if p := s.shared; p != nil && !p.ready {
			p.ready = true
			e.cacheEvent(p, true)
		}
		s.decoding = false
		s.produced++
		s.need = s.Prompt + s.produced
		s.computed = s.need
		out = append(out, Event{At: e.now, ID: s.ID, Kind: Token, Offset: s.produced})
		if s.produced == 1 {
			e.firstTokens = append(e.firstTokens, e.now.Sub(s.submitted))
			if len(e.firstTokens) > firstTokensKept {
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
		if e.cold && e.bears() >= e.params.MaxRunning {
			e.cold = false
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	return out
}
