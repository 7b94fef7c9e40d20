package movebench

import (
	"fmt"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/migrate"
)

// scheduleMigrations starts migrating the generations of an engine in the order planned by
// core/migrate.
func (s *simulation) scheduleMigrations(engine int) {
	var candidates []migrate.Generation
	byID := map[string]*generation{}
	for _, g := range s.generationsAt(engine) {
		id := fmt.Sprint(g.id)
		byID[id] = g
		candidates = append(candidates, migrate.Generation{ID: id, Tokens: g.prompt + g.delivered, Priority: migrate.Priority(g.prompt, g.output), CrossRegion: g.latency == remoteLatency, RelayedHere: true})
	}
	migrations, _ := migrate.Plan(candidates, transferTime)
	pauses := time.Duration(0)
	for _, planned := range migrations {
		g := byID[planned.ID]
		s.schedule(planned.Start+pauses, func() { s.preCopy(g, engine) })
		if s.policy == StopForFinalCopy {
			pauses += finalCopyTime + 2*g.latency
		}
	}
}

func transferTime(tokens int) time.Duration {
	return migrate.TransferTime(tokens, tokenBytes, linkMbps)
}

// preCopy copies the KV cache of a running generation to a target. While the generation has
// no token yet or no target has memory, it retries after retryDelay.
func (s *simulation) preCopy(g *generation, from int) {
	source := s.engines[from]
	if s.generations[g.id] != g || g.engine != from || !source.model.Up() {
		return
	}
	kvTokens, _, running := source.model.Progress(g.id)
	target := s.pick(balance.Request{Tokens: g.prompt + g.output/2, Exclude: []string{engineID(from)}, Source: &balance.Server{Domain: "a", Region: "west"}})
	if !running || g.delivered == 0 || target < 0 || !s.engines[target].model.Reserve(g.id, kvTokens) {
		s.schedule(retryDelay, func() { s.preCopy(g, from) })
		return
	}
	s.transfer(g.id, g.latency, source, s.engines[target], kvTokens, func() {
		if s.policy == ResumeFromPreCopy {
			s.switchOver(g, target, kvTokens)
			return
		}
		s.finalCopy(g, from, target, kvTokens)
	})
}

// transfer sends the KV cache of tokens tokens from source to target. A link carries one
// copy at a time. When the result reaches the host, it calls onSuccess, or releases the memory
// reserved at the target if the source has ended by then.
func (s *simulation) transfer(id uint64, latency time.Duration, source, target *engine, tokens int, onSuccess func()) {
	s.schedule(latency, func() {
		end := max(s.now, source.linkFreeAt, target.linkFreeAt) + transferTime(tokens)
		source.linkFreeAt, target.linkFreeAt = end, end
		s.schedule(end-s.now+latency, func() {
			if source.model.Up() {
				onSuccess()
			} else {
				target.model.Unreserve(id)
			}
		})
	})
}

// finalCopy stops the generation at its source, copies the KV cache beyond the first copied
// tokens, which the pre-copy sent, and switches over to the target.
func (s *simulation) finalCopy(g *generation, from, target, copied int) {
	source := s.engines[from]
	s.schedule(g.latency, func() {
		kvTokens, _, running := source.model.Progress(g.id)
		if !running {
			return
		}
		source.model.Cancel(g.id, s.clock())
		s.transfer(g.id, 0, source, s.engines[target], kvTokens-copied, func() {
			s.schedule(g.latency, func() { s.switchOver(g, target, kvTokens) })
		})
	})
}

// switchOver resumes the generation at the target after the last token that the caller
// received. If the generation has ended by then, it releases the copy at the target.
func (s *simulation) switchOver(g *generation, target, kvTokens int) {
	delivered := g.delivered
	s.schedule(g.latency, func() {
		if s.generations[g.id] != g || delivered >= g.output {
			s.engines[target].model.Unreserve(g.id)
			return
		}
		if s.engines[target].model.Resume(s.modelRequest(g), delivered, min(kvTokens, g.prompt+delivered), s.clock()) == nil {
			g.migrated, g.target = true, target+1
		}
	})
}
