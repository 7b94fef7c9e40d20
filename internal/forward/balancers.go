package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/core/retry"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// assumedHosts divides shared bounds while the host entries have not been read yet.
const assumedHosts = 16

// balancers holds the balancers, one per service.
type balancers struct {
	opts Options

	mu        sync.Mutex
	bounds    Bounds
	services  map[string]*serviceState
	hosts     int
	addresses map[string]balance.Server // the servers in the snapshot, by address
	peerLoads map[string]balance.Load
	// limits are the rate limits that servers name.
	limits *ratelimit.Limiter
	// refusals are the servers that refuse requests of this host for a time.
	refusals *serverstate.Refusals
	// hasRefusals is set while refusals has any, so that requests do not need the lock otherwise.
	hasRefusals atomic.Bool
}

// serviceState is the balancer and the retry budget of one service. balancers.mu
// guards it.
type serviceState struct {
	balancer *balance.Balancer
	budget   retry.SharedBudget
	waiters  []*waiter
	// waking is set while a timer is to wake the waiters.
	waking bool
	// config is the newest configuration of the service, kept when a later one no longer has it: its
	// requests still run and may have to be migrated. It is nil if there was none.
	config *route.Service
	// lastNotice is when a server of the service last gave a termination notice.
	lastNotice time.Time
}

type waiter struct {
	req      balance.Request
	priority int
	team     string
	// rank is the number of requests of the team that waited when this one began to wait.
	rank  int
	since time.Time
	// until is when the request gives up waiting.
	until    time.Time
	assigned chan balance.Server // capacity 1
	// refused is closed when all servers refuse until after until.
	refused chan struct{}
}

// reservation is the right to send one request to a backend server, or to keep a standby
// replica there. It counts as load of the server until it is released.
type reservation struct {
	server    balance.Server
	balancers *balancers
	service   string
	// isStandby is set for a standby replica, for which no request was counted yet.
	isStandby bool
	// since is when the reservation was made.
	since time.Time
	load  balance.Load // guarded by balancers.mu
	// silent is set once a silence of the server was counted as its failure; guarded by balancers.mu.
	silent bool
	once   sync.Once
}

func newBalancers(opts Options) *balancers {
	return &balancers{
		opts: opts, bounds: opts.Bounds, services: map[string]*serviceState{}, addresses: map[string]balance.Server{},
		limits: ratelimit.New(opts.HostID, rand.Float64), refusals: serverstate.NewRefusals(rand.Float64),
	}
}

func (bs *balancers) service(name string) *serviceState {
	s := bs.services[name]
	if s == nil {
		s = &serviceState{balancer: balance.New(rand.IntN, bs.limits, bs.refusals)}
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
	bs.hosts = len(now.Hosts)
	eligible := map[string][]balance.Server{}
	addresses := make(map[string]balance.Server, len(now.Servers))
	for id, s := range now.Servers {
		server := balance.Server{ID: id, Address: s.Address, Domain: s.Domain, Region: s.Region, StartTime: s.StartTime, Slots: s.Slots}
		if _, used := addresses[s.Address]; !used || !s.Removed {
			addresses[s.Address] = server
		}
		bs.service(s.Service)
		if s.Terminating() || now.DomainsOut[s.Domain] {
			continue
		}
		eligible[s.Service] = append(eligible[s.Service], server)
	}
	bs.addresses = addresses
	bs.limits.SetHosts(bs.hostCount(), time.Now())
	bs.limits.Retain(func(id string, startTime int64) bool {
		s := now.Servers[id]
		return s != nil && s.StartTime == startTime
	})
	bs.refusals.Retain(func(p serverstate.Process) bool {
		s := now.Servers[p.ID]
		return s != nil && s.StartTime == p.StartTime
	})
	bs.hasRefusals.Store(bs.refusals.HasAny())
	for name, s := range bs.services {
		settings := balance.Settings{Domain: bs.opts.Domain, Region: bs.opts.Region}
		if now.Table != nil && now.Table.Services[name] != nil {
			s.config = now.Table.Services[name]
		}
		if s.config != nil {
			bs.configure(&settings, s.config)
		}
		s.balancer.Configure(settings)
		s.balancer.SetServers(eligible[name])
		s.balancer.SetPeerLoad(bs.peerLoads)
		s.wake()
	}
}

func (bs *balancers) configure(settings *balance.Settings, config *route.Service) {
	if config.Engine != nil {
		settings.KVTokens = config.Engine.KVTokens
	}
	if config.ColdPerSecond > 0 {
		total := config.ColdPerSecond*bs.bounds.ColdFactor + bs.bounds.ColdExtra
		settings.Rate = balance.DivideRate(total, bs.hostCount(), bs.opts.HostID)
	}
}

// engineConfig returns the engine settings of a service, or nil for plain services.
func (bs *balancers) engineConfig(service string) *route.Engine {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if config := bs.service(service).config; config != nil {
		return config.Engine
	}
	return nil
}

func (bs *balancers) hostCount() int {
	if bs.hosts == 0 {
		return assumedHosts
	}
	return bs.hosts
}

// setPeerLoad applies the load of the other hosts, by server.
func (bs *balancers) setPeerLoad(loads map[string]balance.Load) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.peerLoads = loads
	for _, s := range bs.services {
		s.balancer.SetPeerLoad(loads)
		s.wake()
	}
}

// ownLoad returns this host's load by server.
func (bs *balancers) ownLoad() map[string]balance.Load {
	bs.mu.Lock()
	defer bs.mu.Unlock()
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
	bs.mu.Lock()
	s := bs.service(service)
	now := time.Now()
	if bs.limits.HasLimits() {
		s.wake() // a token that has become available is for the requests that wait
	}
	server, reason := s.balancer.Pick(req, now)
	s.balancer.RecordDemand(req, server, reason, now)
	if reason == balance.Chosen {
		s.balancer.AddRequest(server.ID, loadOf(req), now)
		bs.mu.Unlock()
		return bs.newReservation(service, server, req), reason
	}
	w := &waiter{req: req, priority: from.priority, team: from.team, since: now, until: now.Add(wait), assigned: make(chan balance.Server, 1), refused: make(chan struct{})}
	ahead := s.enqueue(w, reason == balance.RateLimited)
	hopeless := reason == balance.RateLimited && s.balancer.Tokens(req, now, w.until) <= ahead || reason == balance.Refused && s.refusesUntilAfter(w)
	if wait <= 0 || hopeless {
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

// acquireStandby reserves KV cache for a standby replica. It returns nil if no engine
// has enough free, or during the notice window.
func (bs *balancers) acquireStandby(service string, req balance.Request) *reservation {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	s := bs.service(service)
	if time.Since(s.lastNotice) < noticeWindow {
		return nil
	}
	server, reason := s.balancer.Pick(req, time.Now())
	if reason != balance.Chosen {
		return nil
	}
	s.balancer.AddLoad(server.ID, loadOf(req))
	return bs.newReservation(service, server, req)
}

func (bs *balancers) newReservation(service string, server balance.Server, req balance.Request) *reservation {
	return &reservation{server: server, balancers: bs, service: service, isStandby: req.Standby, since: time.Now(), load: loadOf(req)}
}

func loadOf(req balance.Request) balance.Load {
	return balance.Load{Requests: 1, Tokens: req.Tokens, Prefill: req.Prefill}
}

// prefillDone removes the request's prefill from the server's load.
func (res *reservation) prefillDone() {
	bs := res.balancers
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if res.load.Prefill == 0 {
		return
	}
	s := bs.service(res.service)
	s.balancer.RemoveLoad(res.server.ID, balance.Load{Prefill: res.load.Prefill})
	res.load.Prefill = 0
	s.wake()
}

// sender is what decides in which order requests get capacity.
type sender struct {
	priority int // 0 is the most urgent
	team     string
}

// enqueue inserts a waiter by priority, first come first served within a priority; with takeTurns, the teams
// take turns there. It returns the number of waiters before it.
func (s *serviceState) enqueue(w *waiter, takeTurns bool) int {
	for _, other := range s.waiters {
		if takeTurns && other.priority == w.priority && other.team == w.team {
			w.rank++
		}
	}
	i := sort.Search(len(s.waiters), func(i int) bool {
		other := s.waiters[i]
		return other.priority > w.priority || other.priority == w.priority && other.rank > w.rank
	})
	s.waiters = slices.Insert(s.waiters, i, w)
	return i
}

func (s *serviceState) remove(w *waiter) {
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return
		}
	}
}

// refusesUntilAfter reports whether the first server that returns does so after the waiter has given up. Pick
// has returned balance.Refused for the waiter.
func (s *serviceState) refusesUntilAfter(w *waiter) bool {
	at, _ := s.balancer.ReturnsAt(w.req)
	return at.After(w.until)
}

// wake reserves slots for the waiters that now fit, and ends the wait of those that all servers refuse.
func (s *serviceState) wake() {
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		server, reason := s.balancer.Pick(w.req, time.Now())
		if reason == balance.Refused && s.refusesUntilAfter(w) {
			close(w.refused)
			continue
		}
		if reason != balance.Chosen {
			kept = append(kept, w)
			continue
		}
		s.balancer.AddRequest(server.ID, loadOf(w.req), time.Now())
		w.assigned <- server
	}
	s.waiters = kept
}

// setExpectedTokens replaces the KV cache size that the request is expected to reach.
func (res *reservation) setExpectedTokens(tokens int) {
	bs := res.balancers
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if res.load.Requests == 0 || res.load.Tokens == tokens {
		return
	}
	s := bs.service(res.service)
	s.balancer.RemoveLoad(res.server.ID, balance.Load{Tokens: res.load.Tokens - tokens})
	res.load.Tokens = tokens
}

// release removes the reservation's load; further calls do nothing. failed is set when the
// server could not be reached or broke the response off; it counts towards ejection.
func (res *reservation) release(failed bool) {
	res.end(func(b *balance.Balancer) {
		switch {
		case res.balancers.refusals.Refuses(res.server.Process(), time.Now()):
			// The refusal excludes the server for the time that it wants.
		case failed && res.silent:
		case failed:
			b.RecordFailure(res.server.ID, time.Now())
		default:
			b.RecordSuccess(res.server.ID)
		}
	})
}

// cancel releases a reservation for which nothing was sent, or whose request ended without a result that tells
// anything about the server.
func (res *reservation) cancel() { res.end(func(*balance.Balancer) {}) }

// end removes the reservation's load once and records the result of its use.
func (res *reservation) end(record func(*balance.Balancer)) {
	res.once.Do(func() {
		bs := res.balancers
		bs.mu.Lock()
		defer bs.mu.Unlock()
		s := bs.service(res.service)
		s.balancer.RemoveLoad(res.server.ID, res.load)
		res.load = balance.Load{}
		record(s.balancer)
		s.wake()
	})
}
