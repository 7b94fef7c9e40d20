package forward

import (
	"context"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/outage"
	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
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
	v := g.view.Load()
	age, readers := g.opts.Directory.StoreResponseAge(), v.StoreReaders
	if g.opts.Directory.IsStoreReader() {
		readers++
	}
	if v.StoreResponseAge >= 0 {
		age = min(age, v.StoreResponseAge+g.opts.Clock()-v.At)
	}
	return age > outage.DetectionTimeout(g.opts.WatchTimeouts, readers)
}

// pollEngines polls the engines where this host has generations. If several hosts have
// generations at one engine, only the first of them by ID polls it. In a group, its primary
// aggregator polls those of its region for all hosts.
func (g *Gateway) pollEngines(ctx context.Context) {
	for id, s := range g.opts.Directory.Snapshot().Servers {
		engine := g.balancers.engineConfig(s.Service)
		if s.Terminating() || engine == nil || !engine.CanMigrate || !g.pollsEngine(id, s.Region) || !g.balancers.takeRate(id, s.StartTime) {
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

// pollsEngine reports whether this host polls an engine in a region.
func (g *Gateway) pollsEngine(server, region string) bool {
	v := g.view.Load()
	hasOwn := len(g.generations.at(server)) > 0
	switch {
	case v.InMesh:
		return hasOwn && !g.polledByPeer(v, server)
	case v.Role == topology.Primary:
		return region == g.opts.Region && (hasOwn || v.Loads[server].Requests > 0)
	case v.ReadersNamed:
		return false // the primary aggregator does
	default:
		return hasOwn
	}
}

// polledByPeer reports whether a host with a lower ID has generations at the engine.
func (g *Gateway) polledByPeer(v *gossip.View, server string) bool {
	for _, peer := range v.Peers {
		if peer.Host < g.opts.HostID && slices.ContainsFunc(peer.Generations, func(r gossip.Generation) bool { return r.Server == server }) {
			return true
		}
	}
	return false
}
