package forward

import (
	"context"
	"time"

	"monsoonkeel.example/monsoonkeel/core/migrate"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// leaveServers moves runs off the servers that began to leave. Those of failure
// domains that were taken out stay: a copy to another domain stalls its caller.
func (g *Gateway) leaveServers(old, now *directory.Snapshot) {
	for id, s := range now.Servers {
		before := old.Servers[id]
		if s.Terminating() && (before == nil || !before.Terminating()) {
			if s.Leaving && !s.Removed {
				g.places.noticed(s.Service)
			}
			go g.leaveServer(s)
		}
	}
	g.runs.forget(now)
}

// leaveIfClosing moves a run whose server gave notice before the run was known.
// It comes after those of the server's plan.
func (g *Gateway) leaveIfClosing(ru *run, server string) {
	if s := g.opts.Directory.Snapshot().Servers[server]; s != nil && !s.Terminating() {
		return
	}
	g.runs.mu.Lock()
	start := time.Now()
	if end := g.runs.plannedUntil[server]; end.After(start) {
		start = end
	}
	g.runs.mu.Unlock()
	go func() {
		if !ru.handOverToStandby(server) {
			ru.leave(server, start)
		}
	}()
}

// leaveServer moves the runs of this host off an engine, each when its turn
// among the runs of all hosts comes.
func (g *Gateway) leaveServer(s *directory.Server) {
	notice := time.Now()
	leaving := g.runs.at(s.ID)
	engine := g.places.engineOf(s.Service)
	if engine == nil || !engine.CanMigrate {
		return
	}
	byID := make(map[string]*run, len(leaving))
	all := g.peerRuns(s)
	var covered []*run
	for _, ru := range leaving {
		if ru.covered() {
			covered = append(covered, ru)
			continue
		}
		byID[ru.r.id] = ru
		all = append(all, migrate.Generation{
			ID: ru.r.id, Tokens: ru.tokens(engine.EventTokens), Priority: ru.rank(), CrossRegion: s.Region != g.opts.Region, RelayedHere: true,
		})
	}
	steps, end := migrate.Plan(all, func(tokens int) time.Duration {
		return migrate.TransferTime(tokens, engine.KVTokenBytes, engine.LinkMbps)
	})
	g.runs.mu.Lock()
	g.runs.plannedUntil[s.ID] = notice.Add(end)
	g.runs.mu.Unlock()
	if len(leaving) == 0 {
		return
	}
	for _, ru := range covered {
		go func() {
			if !ru.handOverToStandby(s.ID) {
				ru.leave(s.ID, notice.Add(end))
			}
		}()
	}
	g.opts.Log.Info().Str("backend", s.ID).Int("runs", len(leaving)).Int("covered", len(covered)).Int("all", len(all)).Dur("planned", end).
		Msg("moving runs off a backend server")
	go func() {
		for _, step := range steps {
			start := notice.Add(step.Start)
			wait.For(context.Background(), time.Until(start))
			go byID[step.ID].leave(s.ID, start)
		}
	}()
}

// peerRuns returns the runs that the other hosts have at an engine.
func (g *Gateway) peerRuns(s *directory.Server) []migrate.Generation {
	var out []migrate.Generation
	for _, peer := range *g.peers.Load() {
		for _, r := range peer.Generations {
			if r.Server == s.ID && !r.Standby {
				out = append(out, migrate.Generation{ID: r.ID, Tokens: r.KVTokens, Priority: r.Rank, CrossRegion: peer.Region != s.Region})
			}
		}
	}
	return out
}
