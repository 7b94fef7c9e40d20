package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/outlier"
	"monsoonkeel.example/monsoonkeel/core/quota"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/core/retry"
	"monsoonkeel.example/monsoonkeel/core/rollout"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// balancers holds the balancers, one per service.
type balancers struct {
	opts    Options
	metrics *Metrics

	mu       sync.Mutex
	bounds   Bounds
	services map[string]*serviceState
	hosts    map[string]fleet.Host
	// division divides limits among hosts, and quotas has the results by service and server.
	division  *quota.Hosts
	quotas    map[string]*serviceQuotas
	addresses map[string]balance.Server // the servers in the snapshot, by address
	byID      map[string]balance.Server // the same by ID
	regions   map[string]bool           // those of the servers
	peerLoads map[string]balance.Load
	// limits are the rate limits that servers name.
	limits *ratelimit.Limiter
	// refusals are the servers that refuse requests of this host for a time.
	refusals *serverstate.Refusals
	// reporter collects the failures of this host for the others, and outliers those of the others. Both count time from
	// started.
	reporter *outlier.Reporter
	outliers *outlier.Tracker
	started  time.Time
	// placer chooses servers for the hosts of the group while this host aggregates it.
	placer placer
	// paces are the measurements of servers.
	paces *paces
	// snapshot is the newest one, and versionsRead is set once one was complete, with roll-outs in use. holdEnds is the end of
	// the next hold of a version. peerRollouts and liveHosts are what the other hosts report.
	snapshot     *directory.Snapshot
	versionsRead bool
	holdEnds     time.Time
	// loopAt is when the roll-outs were last updated, on Options.Clock; 0 before. exposesFrom is when this host may expose
	// requests again.
	loopAt, exposesFrom time.Duration
	peerRollouts        []rollout.Report
	liveHosts           int
	// hasRollouts is set while roll-outs or versions limit the servers of a service, so that requests do not need the lock
	// otherwise.
	hasRollouts atomic.Bool
	// hasRefusals is set while refusals has any, so that requests do not need the lock otherwise.
	hasRefusals atomic.Bool
}

// serviceState is the balancer and the retry budget of one service. balancers.mu
// guards it.
type serviceState struct {
	balancer *balance.Balancer
	// servers are the candidates in the newest snapshot, and settings how balancer chooses among them.
	servers  []balance.Server
	settings balance.Settings
	// placed is the balancer for the placements of the group, once there was one. placedCurrent is set while it has
	// the servers of the newest snapshot.
	placed        *balance.Balancer
	placedCurrent bool
	budget        retry.SharedBudget
	waiters       []*waiter
	rollouts
	// standbys is the number of standby replicas of this host that were not resumed, by version of their servers.
	standbys map[string]int
	// waking is set while a timer is to wake the waiters.
	waking bool
	// config is the newest configuration of the service, kept when a later one no longer has it: its
	// requests still run and may have to be migrated. It is nil if there was none.
	config *route.Service
	// contended is set once a server has stated that its speed varies; see balancers.contended.
	contended bool
	// lastNotice is when a server of the service last gave a termination notice.
	lastNotice time.Time
}

func newBalancers(opts Options, metrics *Metrics) *balancers {
	return &balancers{
		opts: opts, metrics: metrics, bounds: opts.Bounds, services: map[string]*serviceState{}, addresses: map[string]balance.Server{}, quotas: map[string]*serviceQuotas{}, placer: newPlacer(),
		reporter: outlier.NewReporter(), outliers: outlier.New(), started: time.Now(),
		paces:  newPaces(opts),
		limits: ratelimit.New(opts.HostID, rand.Float64), refusals: serverstate.NewRefusals(rand.Float64),
	}
}

func (bs *balancers) service(name string) *serviceState {
	s := bs.services[name]
	if s == nil {
		s = &serviceState{balancer: balance.New(rand.IntN, bs.limits, bs.refusals), standbys: map[string]int{}}
		bs.services[name] = s
	}
	return s
}

// setBounds replaces the bounds and applies them to the current snapshot.
func (bs *balancers) setBounds(b Bounds, current func() *directory.Snapshot) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.bounds = b
	// Read under the lock: a newer snapshot is applied after this one.
	bs.applyLocked(current())
}

// applySnapshot applies the servers and the settings of a snapshot. Terminating
// servers and failure domains that are out get no new requests.
func (bs *balancers) applySnapshot(now *directory.Snapshot) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.applyLocked(now)
}

func (bs *balancers) applyLocked(now *directory.Snapshot) {
	bs.setHosts(now.Hosts)
	bs.applyRollouts(now)
	at := time.Now()
	eligible := map[string][]balance.Server{}
	addresses := make(map[string]balance.Server, len(now.Servers))
	byID, regions := make(map[string]balance.Server, len(now.Servers)), map[string]bool{}
	for id, s := range now.Servers {
		server := balance.Server{ID: id, Address: s.Address, Domain: s.Domain, Region: s.Region, StartTime: s.StartTime, Slots: s.Slots, Version: s.Version}
		if _, used := addresses[s.Address]; !used || !s.Removed {
			addresses[s.Address] = server
		}
		byID[id], regions[s.Region] = server, true
		if len(bs.service(s.Service).exclusions(now, s, at)) > 0 {
			continue
		}
		eligible[s.Service] = append(eligible[s.Service], server)
	}
	bs.addresses, bs.byID, bs.regions = addresses, byID, regions
	bs.limits.SetHosts(bs.hostCount(), time.Now())
	bs.limits.Retain(func(id string, startTime int64) bool {
		s := now.Servers[id]
		return s != nil && s.StartTime == startTime
	})
	bs.refusals.Update(func(id string) (int64, bool) {
		s := now.Servers[id]
		if s == nil {
			return 0, false
		}
		return s.StartTime, true
	}, time.Now())
	bs.hasRefusals.Store(bs.refusals.HasAny())
	bs.paces.snapshot.Store(now)
	for name, s := range bs.services {
		settings := balance.Settings{Domain: bs.opts.Domain, Region: bs.opts.Region}
		if now.Table != nil && now.Table.Services[name] != nil {
			s.config = now.Table.Services[name]
		}
		if s.config != nil {
			bs.configure(&settings, s.config)
			bs.setQuotas(name, s.config, eligible[name])
		}
		s.balancer.Configure(settings)
		s.balancer.SetServers(eligible[name])
		s.balancer.SetPeerLoad(bs.peerLoads)
		s.servers, s.settings, s.placedCurrent = eligible[name], settings, false
		s.followRollout(at)
		s.wake()
	}
}

// exclusions returns what rules out a server of a snapshot for all new requests.
func (s *serviceState) exclusions(now *directory.Snapshot, server *directory.Server, at time.Time) (list []balance.Exclusion) {
	if server.Terminating() {
		list = append(list, balance.ExcludedTerminating)
	}
	if now.DomainsOut[server.Domain] {
		list = append(list, balance.ExcludedDomainOut)
	}
	if s.excludes(server, at) {
		list = append(list, balance.ExcludedVersionHeld)
	}
	return list
}

func (bs *balancers) configure(settings *balance.Settings, config *route.Service) {
	if config.Engine != nil {
		settings.KVTokens = config.Engine.KVTokens
	}
	settings.Limited = config.ColdPerSecond > 0
	if len(bs.hosts) > topology.MaxMesh {
		settings.Choices, settings.OtherRegionCost = choicesOfMany, otherRegionCostOfMany
	}
}

// choicesOfMany is the number of servers that a host compares in a deployment whose hosts learn of each other's load from
// digests.
const choicesOfMany = 2

// otherRegionCostOfMany is the cost of an engine in another region in such a deployment, as a fraction of an engine's KV
// cache: that of the prompts of some five generations that are still to be prefilled.
const otherRegionCostOfMany = 1.0

// engineConfig returns the engine settings of a service, or nil for plain services.
func (bs *balancers) engineConfig(service string) *route.Engine {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if config := bs.service(service).config; config != nil {
		return config.Engine
	}
	return nil
}

// setPeerLoad applies the load of the other hosts, by server. It contains the placements that peers name.
func (bs *balancers) setPeerLoad(loads map[string]balance.Load, peers []gossip.Peer, ejected []string) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.peerLoads = loads
	bs.mergeFailures(peers, ejected)
	for _, p := range peers {
		bs.placer.drop(p.Host, func(placed placement) bool { return placed.number <= p.Placed })
	}
	for _, s := range bs.services {
		s.balancer.SetPeerLoad(loads)
		s.wake()
	}
}

// mergeFailures counts the failures that peers report, and ejects servers by them and those that aggregators name.
func (bs *balancers) mergeFailures(peers []gossip.Peer, ejected []string) {
	now := time.Since(bs.started)
	live := make(map[string]bool, len(peers))
	for _, p := range peers {
		live[p.Host] = true
		bs.outliers.Merge(p.Host, p.Domain, p.Failures, now)
	}
	bs.outliers.Expire(now, func(host string) bool { return live[host] })
	suspects := bs.outliers.Ejected(bs.opts.Domain, now)
	if suspects == nil && len(ejected) > 0 {
		suspects = map[string]bool{}
	}
	for _, id := range ejected {
		suspects[id] = true
	}
	for _, s := range bs.services {
		s.balancer.SetSuspects(suspects)
	}
}

// failureReports returns the recent failures of this host, and the servers that no host should use by what its peers
// report.
func (bs *balancers) failureReports() ([]outlier.Report, []string) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	now := time.Since(bs.started)
	return bs.reporter.Reports(now), bs.outliers.EjectedForAll(now)
}

// ownLoad returns this host's load by server.
func (bs *balancers) ownLoad() map[string]balance.Load {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.ownLoadLocked()
}

func (bs *balancers) ownLoadLocked() map[string]balance.Load {
	out := map[string]balance.Load{}
	for _, s := range bs.services {
		for id, l := range s.balancer.OwnLoad() {
			out[id] = l
		}
	}
	return out
}

func (bs *balancers) hasAddress(address string) bool {
	_, known := bs.serverAt(address)
	return known
}

// serverAt returns the server in the snapshot that has an address.
func (bs *balancers) serverAt(address string) (server balance.Server, known bool) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	server, known = bs.addresses[address]
	return server, known
}

// recordFirstAttempt adds a request to the volume from which the retry budget is
// computed.
func (bs *balancers) recordFirstAttempt(service string) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.service(service).budget.RecordFirstAttempt(bs.bounds.Retries, time.Now())
}

// chargeRetry charges one retry if the retry budget allows it, and reports whether it
// did.
func (bs *balancers) chargeRetry(service string) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.service(service).budget.Allow(bs.bounds.Retries, bs.hostCount(), time.Now())
}

// hasRetryBudget reports whether the retry budget allows a retry now, without
// charging it.
func (bs *balancers) hasRetryBudget(service string) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.service(service).budget.Available(bs.bounds.Retries, bs.hostCount(), time.Now())
}

// acquire reserves a slot at the best candidate. If none has capacity, it waits for one
// until ctx ends or wait has passed, and then returns why no server was picked. It does not
// wait if the rate limits allow too few requests until then, or all servers refuse longer.
func (bs *balancers) acquire(ctx context.Context, service string, req balance.Request, from sender, wait time.Duration) (*reservation, balance.Reason) {
	if res := bs.acquirePlaced(ctx, service, req); res != nil {
		return res, balance.Chosen
	}
	bs.mu.Lock()
	s := bs.service(service)
	now := time.Now()
	if bs.limits.HasLimits() {
		s.wake() // a token that has become available is for the requests that wait
	}
	if bs.arePlaced(s.config) && !req.Standby {
		bs.metrics.PlacedHere.Add(1)
	}
	server, reason := s.balancer.Pick(req, now)
	s.balancer.RecordDemand(req, server, reason, now)
	if reason == balance.Chosen {
		bs.outliers.Tried(server.ID, now.Sub(bs.started))
		s.balancer.AddRequest(server.ID, loadOf(req), now)
		bs.mu.Unlock()
		return bs.newReservation(service, server, req), reason
	}
	w := &waiter{req: req, priority: from.priority, team: from.team, since: now, until: now.Add(wait), assigned: make(chan balance.Server, 1), refused: make(chan struct{})}
	ahead := s.enqueue(w, reason == balance.RateLimited)
	if wait <= 0 || s.isHopeless(w, reason, ahead, now) {
		s.remove(w)
		bs.mu.Unlock()
		return nil, reason
	}
	if reason == balance.RateLimited || reason == balance.Refused {
		bs.wakeLater(s)
	}
	bs.mu.Unlock()

	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case server := <-w.assigned:
		return bs.newReservation(service, server, req), balance.Chosen
	case <-w.refused:
		return nil, balance.Refused
	case <-ctx.Done():
	case <-timer.C:
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	s.remove(w)
	select {
	case server := <-w.assigned: // assigned just before the wait ended
		return bs.newReservation(service, server, req), balance.Chosen
	default:
		return nil, reason
	}
}

// recordNotice records that a server of a service gave a termination notice.
func (bs *balancers) recordNotice(service string) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.service(service).lastNotice = time.Now()
}

// noticeWindow is how long one termination notice makes another likely: about the
// duration of a long generation. Terminating engines migrate their generations, which
// takes KV cache and link bandwidth of the others; standby replicas help only where
// engines die without notice.
const noticeWindow = 10 * time.Second
