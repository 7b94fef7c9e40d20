package forward

import (
	"context"
	"time"

	"monsoonkeel.example/monsoonkeel/core/migrate"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// migrateFromTerminating migrates generations off the servers that are terminating in now but not
// in old. Generations in failure domains that were taken out of service stay where they are: a
// copy to another domain stalls its caller.
func (g *Gateway) migrateFromTerminating(old, now *directory.Snapshot) {
	for id, s := range now.Servers {
		previous := old.Servers[id]
		if s.Terminating() && (previous == nil || !previous.Terminating()) {
			if s.Leaving && !s.Removed {
				g.balancers.recordNotice(s.Service)
			}
			go g.migrateGenerationsFrom(s)
		}
	}
	g.generations.forgetRemoved(now)
}

// migrateIfTerminating migrates a generation that was registered after its server's
// termination notice or removal. It starts after the server's planned migrations.
func (g *Gateway) migrateIfTerminating(gen *generation, server string) {
	if s := g.opts.Directory.Snapshot().Servers[server]; s != nil && !s.Terminating() {
		return
	}
	g.generations.mu.Lock()
	start := time.Now()
	if end := g.generations.plannedUntil[server]; end.After(start) {
		start = end
	}
	g.generations.mu.Unlock()
	go gen.leave(server, start)
}

// leave resumes the generation from its standby replica, or else migrates it, not before start.
func (gen *generation) leave(server string, start time.Time) {
	if sw := gen.switchToStandby(server, gen.r.g.newRetrySeries(gen.r.service)); sw == nil || sw.ex == nil {
		gen.migrateFrom(server, start)
	}
}

// migrateGenerationsFrom migrates this host's generations off a terminating engine. The start times
// come from a plan over the generations of all hosts.
func (g *Gateway) migrateGenerationsFrom(s *directory.Server) {
	noticeTime := time.Now()
	affected := g.generations.at(s.ID)
	engine := g.balancers.engineConfig(s.Service)
	if engine == nil || !engine.CanMigrate {
		return
	}
	byID := make(map[string]*generation, len(affected))
	for _, gen := range affected {
		byID[gen.r.id] = gen
	}
	planned := g.peerGenerations(s, byID)
	var withStandby []*generation
	for _, gen := range affected {
		if gen.hasStandby() {
			withStandby = append(withStandby, gen)
			continue
		}
		tokens := gen.tokens(engine.EventTokens)
		planned = append(planned, migrate.Generation{
			ID: gen.r.id, Tokens: tokens, Priority: gen.migrationPriority(tokens - gen.r.promptTokens), CrossRegion: s.Region != g.opts.Region, RelayedHere: true,
		})
	}
	steps, end := migrate.Plan(planned, func(tokens int) time.Duration {
		return migrate.TransferTime(tokens, engine.KVTokenBytes, engine.LinkMbps)
	})
	g.generations.mu.Lock()
	g.generations.plannedUntil[s.ID] = noticeTime.Add(end)
	g.generations.mu.Unlock()
	if len(affected) == 0 {
		return
	}
	for _, gen := range withStandby {
		go gen.leave(s.ID, noticeTime.Add(end))
	}
	g.opts.Log.Info().Str("backend", s.ID).Int("runs", len(affected)).Int("covered", len(withStandby)).Int("all", len(planned)).Dur("planned", end).
		Msg("migrating generations off a terminating backend server")
	go func() {
		for _, step := range steps {
			start := noticeTime.Add(step.Start)
			wait.For(context.Background(), time.Until(start))
			go byID[step.ID].migrateFrom(s.ID, start)
		}
	}()
}

// peerGenerations returns the generations of the other hosts at an engine, without those
// that have a standby replica.
func (g *Gateway) peerGenerations(s *directory.Server, own map[string]*generation) []migrate.Generation {
	var out []migrate.Generation
	for _, r := range g.view.Load().Generations {
		if r.Server == s.ID && !r.HasStandby && own[r.ID] == nil {
			out = append(out, migrate.Generation{ID: r.ID, Tokens: r.Tokens, Priority: r.MigrationPriority, CrossRegion: r.Region != s.Region})
		}
	}
	return out
}
