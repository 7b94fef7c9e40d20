package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// placementTimeout is how long a placement counts that no state of its host has named.
const placementTimeout = time.Second

// placer chooses servers for the hosts of the group that this host aggregates. balancers.mu guards it.
type placer struct {
	// number is that of the newest placement. It grows over restarts.
	number uint64
	// pending are the placements that are not part of the states of their hosts yet, by host.
	pending map[string][]placement
	// placed are the newest placements for this host, by aggregator.
	placed map[string]uint64
}

// placement is the server that was chosen for a request.
type placement struct {
	number  uint64
	service *serviceState
	server  string
	load    balance.Load
	at      time.Time
}

func newPlacer() placer {
	return placer{number: uint64(time.Now().UnixMilli()) << 20, pending: map[string][]placement{}, placed: map[string]uint64{}}
}

// arePlaced reports whether aggregators place the requests of a service.
func (bs *balancers) arePlaced(config *route.Service) bool {
	return config != nil && config.Engine != nil && len(bs.hosts) > topology.MaxMesh
}

// placementBalancer returns the balancer for the placements of this host, with the servers of the newest snapshot; nil if
// there are none. Only aggregators need it.
func (bs *balancers) placementBalancer(s *serviceState) *balance.Balancer {
	if s == nil || !bs.arePlaced(s.config) {
		return nil
	}
	if s.placed == nil {
		s.placed = balance.New(rand.IntN, nil, nil)
		s.placed.SetPaces(s.balancer.Paces())
	}
	if s.placedCurrent {
		return s.placed
	}
	s.placedCurrent = true
	settings, servers := s.settings, slices.Clone(s.servers)
	settings.Choices = 0 // all placements are known here
	perSecond := map[string]int{}
	for region := range bs.regions {
		perSecond[region], _ = bs.division.Placements(region, bs.coldLimit(s.config))
	}
	for i := range servers {
		servers[i].PerSecond = perSecond[servers[i].Region]
	}
	s.placed.Configure(settings)
	s.placed.SetServers(servers)
	s.followRollout(time.Now())
	return s.placed
}

// drop removes the pending placements of a host that match.
func (p *placer) drop(host string, match func(placement) bool) {
	kept := slices.DeleteFunc(p.pending[host], func(placed placement) bool {
		if !match(placed) {
			return false
		}
		if b := placed.service.placed; b != nil {
			b.RemoveLoad(placed.server, placed.load)
		}
		return true
	})
	if p.pending[host] = kept; len(kept) == 0 {
		delete(p.pending, host)
	}
}

// place chooses a server for a host of the group.
func (bs *balancers) place(host string, r gossip.PlacementRequest) gossip.Placement {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	s := bs.services[r.Service]
	balancer := bs.placementBalancer(s)
	if balancer == nil {
		return gossip.Placement{}
	}
	now := time.Now()
	for other := range bs.placer.pending {
		bs.placer.drop(other, func(p placement) bool { return now.Sub(p.at) > placementTimeout })
	}
	loads := maps.Clone(bs.peerLoads)
	if loads == nil {
		loads = map[string]balance.Load{}
	}
	for id, l := range s.balancer.OwnLoad() {
		loads[id] = loads[id].Plus(l)
	}
	balancer.SetPeerLoad(loads)
	elapsed := now.Sub(bs.started)
	balancer.SetSuspects(bs.outliers.Ejected(r.Domain, elapsed))
	req := balance.Request{Tokens: r.Tokens, Prefill: r.Prefill, Events: r.Events, KeepFree: r.KeepFree, Exclude: r.Exclude, From: r.Domain, Exposed: r.Exposed}
	if len(r.Regions) > 0 {
		req.Allowed = func(region string) bool { return slices.Contains(r.Regions, region) }
	}
	if r.Source != "" {
		source, known := bs.byID[r.Source]
		if !known {
			return gossip.Placement{}
		}
		req.Source = &source
	}
	server, reason := balancer.Pick(req, now)
	if reason != balance.Chosen {
		return gossip.Placement{}
	}
	bs.outliers.Tried(server.ID, elapsed)
	load := loadOf(req)
	balancer.AddRequest(server.ID, load, now)
	bs.placer.number++
	placed := placement{number: bs.placer.number, service: s, server: server.ID, load: load, at: now}
	bs.placer.pending[host] = append(bs.placer.pending[host], placed)
	if host == bs.opts.HostID { // its own load counts at once
		bs.placer.drop(host, func(placement) bool { return true })
	}
	return gossip.Placement{Server: server.ID, Aggregator: bs.opts.HostID, Number: placed.number}
}

// placedLoad returns this host's load by server, and the newest placements that are part of it.
func (bs *balancers) placedLoad() (map[string]uint64, map[string]balance.Load) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return maps.Clone(bs.placer.placed), bs.ownLoadLocked()
}

// acquirePlaced reserves a slot at the server that the aggregator of the group chooses. It returns nil if there is none,
// or this host does not use that server.
func (bs *balancers) acquirePlaced(ctx context.Context, service string, req balance.Request) *reservation {
	if bs.opts.Place == nil || req.Standby {
		return nil
	}
	bs.mu.Lock()
	s := bs.service(service)
	regions, any := bs.allowedRegions(req)
	if !any || !bs.asksAggregator(s, req) {
		bs.mu.Unlock()
		return nil
	}
	question := gossip.PlacementRequest{
		Service: service, Tokens: req.Tokens, Prefill: req.Prefill, Events: req.Events, KeepFree: req.KeepFree, Domain: bs.opts.Domain, Regions: regions,
		Exclude: append(s.balancer.Unusable(time.Now()), req.Exclude...), Exposed: req.Exposed,
	}
	if req.Source != nil {
		question.Source = req.Source.ID
	}
	bs.mu.Unlock()
	placed, ok := bs.opts.Place(ctx, question)
	if !ok || placed.Server == "" {
		return nil
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	server, accepted := s.balancer.Accept(placed.Server, req, loadOf(req), time.Now())
	if placed.Aggregator != bs.opts.HostID {
		bs.placer.placed[placed.Aggregator] = max(bs.placer.placed[placed.Aggregator], placed.Number)
	}
	if !accepted {
		return nil
	}
	bs.metrics.Placed.Add(1)
	res := bs.newReservation(service, server, req)
	res.placedBy = placed.Aggregator
	return res
}

// asksAggregator reports whether this host asks the aggregator of its group for the server of a request.
func (bs *balancers) asksAggregator(s *serviceState, req balance.Request) bool {
	return bs.opts.Place != nil && bs.arePlaced(s.config) && !s.hasWaiterBefore(req) && !bs.limits.HasLimits()
}

// allowedRegions returns the regions that may serve a request, nil for all, and whether there are any.
func (bs *balancers) allowedRegions(req balance.Request) (regions []string, any bool) {
	if req.Allowed == nil {
		return nil, true
	}
	for region := range bs.regions {
		if req.Allowed(region) {
			regions = append(regions, region)
		}
	}
	if len(regions) == len(bs.regions) {
		return nil, true
	}
	return regions, len(regions) > 0
}
