package movebench

import (
	"fmt"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/migrate"
)

// plan moves the runs of an engine in the order that core/migrate gives them.
func (s *simulation) plan(engine int) {
	var all []migrate.Generation
	byID := map[string]*generation{}
	for _, r := range s.at(engine) {
		id := fmt.Sprint(r.id)
		byID[id] = r
		all = append(all, migrate.Generation{ID: id, Tokens: r.prompt + r.delivered, Priority: migrate.Priority(r.prompt, r.output), CrossRegion: r.way == farWay, RelayedHere: true})
	}
	steps, _ := migrate.Plan(all, transferOf)
	gaps := time.Duration(0)
	for _, step := range steps {
		r := byID[step.ID]
		s.after(step.Start+gaps, func() { s.move(r, engine) })
		if s.policy == StopForFinalCopy {
			gaps += lastPartTime + 2*r.way
		}
	}
}

func transferOf(tokens int) time.Duration {
	return migrate.TransferTime(tokens, tokenBytes, linkMbps)
}

// move makes the first copy of a run, if it runs and a target has memory.
func (s *simulation) move(r *generation, from int) {
	source := s.engines[from]
	if s.runs[r.id] != r || r.engine != from || !source.model.Up() {
		return
	}
	held, _, running := source.model.Progress(r.id)
	target := s.pick(balance.Request{Tokens: r.prompt + r.output/2, Exclude: []string{nameOf(from)}, Source: &balance.Server{Domain: "a", Region: "west"}})
	if !running || r.delivered == 0 || target < 0 || !s.engines[target].model.Reserve(r.id, held) {
		s.after(retryPause, func() { s.move(r, from) })
		return
	}
	s.copy(r.id, r.way, source, s.engines[target], held, func() {
		if s.policy == ResumeFromPreCopy {
			s.resume(r, target, held)
			return
		}
		s.stop(r, from, target, held)
	})
}

// copy transfers tokens over both links, each one copy after another, and calls
// done when the answer reaches the host.
func (s *simulation) copy(id uint64, way time.Duration, source, target *engine, tokens int, done func()) {
	s.after(way, func() {
		end := max(s.now, source.linkFree, target.linkFree) + transferOf(tokens)
		source.linkFree, target.linkFree = end, end
		s.after(end-s.now+way, func() {
			if source.model.Up() {
				done()
			} else {
				target.model.Unreserve(id)
			}
		})
	})
}

// stop ends the run at its engine, copies the last part, and goes on.
func (s *simulation) stop(r *generation, from, target, copied int) {
	source := s.engines[from]
	s.after(r.way, func() {
		held, _, running := source.model.Progress(r.id)
		if !running {
			return
		}
		source.model.Cancel(r.id, s.clock())
		s.copy(r.id, 0, source, s.engines[target], held-copied, func() {
			s.after(r.way, func() { s.resume(r, target, held) })
		})
	})
}

// resume asks the target to go on after what the caller has.
func (s *simulation) resume(r *generation, target, held int) {
	delivered := r.delivered
	s.after(r.way, func() {
		if s.runs[r.id] != r || delivered >= r.output {
			s.engines[target].model.Unreserve(r.id)
			return
		}
		if s.engines[target].model.Resume(s.request(r), delivered, min(held, r.prompt+delivered), s.clock()) == nil {
			r.moved, r.target = true, target+1
		}
	})
}
