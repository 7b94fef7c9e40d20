package forward

import (
	"context"
	"time"

	"monsoonkeel.example/monsoonkeel/core/outage"
)

const (
	// askInterval is how often engines with runs are asked for a notice while no
	// host reaches the store. Notices are a second or two long.
	askInterval = 300 * time.Millisecond
	// askTimeout bounds such a question; a round trip between regions takes 60 ms.
	askTimeout = 250 * time.Millisecond
)

// PollTerminationNotices learns from the engines themselves that they are about to end,
// while no host learns it from the store. Each question has its price, so none
// is asked while one host reaches the store and tells the others.
func (g *Gateway) PollTerminationNotices(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g.noticesUnseen() {
			g.askEngines(ctx)
		}
	}
}

// noticesUnseen reports whether the store has answered no host for longer than
// the hosts' watches, which end at times of their own, leave open.
func (g *Gateway) noticesUnseen() bool {
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

// askEngines asks the engines where this host has runs. Of several hosts with
// runs at one engine only the first asks.
func (g *Gateway) askEngines(ctx context.Context) {
	for id, s := range g.opts.Directory.Snapshot().Servers {
		engine := g.places.engineOf(s.Service)
		if s.Terminating() || engine == nil || !engine.CanMigrate || len(g.runs.at(id)) == 0 || g.askedByPeer(id) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			report, err := g.opts.Engines.Report(ctx, s.Address)
			if err != nil {
				g.opts.Log.Debug().Str("backend", id).Err(err).Msg("engine did not report")
				return
			}
			if report.Terminating {
				g.opts.Directory.MarkTerminating(id, s.StartTime)
			}
		}()
	}
}

// askedByPeer reports whether a host that comes before this one has runs at the
// engine.
func (g *Gateway) askedByPeer(server string) bool {
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
