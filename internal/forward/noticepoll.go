package forward

import (
	"context"
	"time"

	"monsoonkeel.example/monsoonkeel/core/outage"
)

const (
	// pollInterval is how often engines with generations are polled for termination notices
	// during a store outage. Notices come a second or two before the end.
	pollInterval = 300 * time.Millisecond
	// pollTimeout limits one poll; a round trip between regions takes 60 ms.
	pollTimeout = 250 * time.Millisecond
)

// PollTerminationNotices polls the engines for termination notices while no host receives
// them from the store. Each poll has a cost, so there are none while any host reaches the
// store and relays notices by gossip.
func (g *Gateway) PollTerminationNotices(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g.storeUnavailable() {
			g.pollEngines(ctx)
		}
	}
}

// storeUnavailable reports whether the store has answered no host for longer than the
// outage detection timeout, which allows for watches that end at different times.
func (g *Gateway) storeUnavailable() bool {
	peers := *g.peers.Load()
	age := g.opts.Directory.StoreResponseAge()
	readers := 0
	if g.opts.Directory.IsStoreReader() {
		readers++
	}
	now := time.Now()
	for _, p := range peers {
		if p.StoreReader {
			readers++
		}
		age = min(age, time.Duration(p.StoreResponseAgeMS)*time.Millisecond+now.Sub(p.ReceivedAt))
	}
	return age > outage.DetectionTimeout(g.opts.WatchTimeouts, readers)
}

// pollEngines polls the engines where this host has generations. If several hosts have
// generations at one engine, only the first of them by ID polls it.
func (g *Gateway) pollEngines(ctx context.Context) {
	for id, s := range g.opts.Directory.Snapshot().Servers {
		engine := g.balancers.engineConfig(s.Service)
		if s.Terminating() || engine == nil || !engine.CanMigrate || len(g.generations.at(id)) == 0 || g.polledByPeer(id) || !g.balancers.takeRate(id, s.StartTime) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			report, err := g.opts.EngineClient.Report(ctx, s.Address)
			if err != nil {
				g.opts.Log.Debug().Str("backend", id).Err(err).Msg("polling an engine for a termination notice failed")
				return
			}
			if report.Terminating {
				g.markTerminating(id, s.StartTime, sourceReport)
			}
		}()
	}
}

// polledByPeer reports whether a host with a lower ID has generations at the engine.
func (g *Gateway) polledByPeer(server string) bool {
	for _, peer := range *g.peers.Load() {
		if peer.Host >= g.opts.HostID {
			continue
		}
		for _, r := range peer.Generations {
			if r.Server == server {
				return true
			}
		}
	}
	return false
}
