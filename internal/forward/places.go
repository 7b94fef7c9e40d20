package forward

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/retry"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// assumedHosts divides shared bounds until the entries of the hosts were read.
const assumedHosts = 16

// places holds the balancers of all services.
type places struct {
	opts Options

	mu       sync.Mutex
	bounds   Bounds
	services map[string]*serviceState
	hosts    int
	known    map[string]bool // addresses of servers in the snapshot
	peers    map[string]balance.Load
}

// serviceState is what the host knows of one service; places.mu guards it.
type serviceState struct {
	balancer *balance.Balancer
	budget   retry.SharedBudget
	waiters  []*waiter
	engine   *route.Engine
	// noticedAt is when a server last gave notice that it leaves.
	noticedAt time.Time
}

type waiter struct {
	job      balance.Request
	priority int
	since    time.Time
	given    chan balance.Server // capacity 1
}

// place is the right to send a request to a server; it must be released.
type place struct {
	server  balance.Server
	places  *places
	service string
	work    balance.Load // guarded by places.mu
	once    sync.Once
}

func newPlaces(opts Options) *places {
	return &places{opts: opts, bounds: opts.Bounds, services: map[string]*serviceState{}, known: map[string]bool{}}
}

func (p *places) service(name string) *serviceState {
	s := p.services[name]
	if s == nil {
		s = &serviceState{balancer: balance.New(rand.IntN)}
		p.services[name] = s
	}
	return s
}

// setBounds replaces the bounds.
func (p *places) setBounds(b Bounds, now *directory.Snapshot) {
	p.mu.Lock()
	p.bounds = b
	p.mu.Unlock()
	p.changed(now)
}

// changed takes over the servers and settings of a snapshot.
func (p *places) changed(now *directory.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = len(now.Hosts)
	open := map[string][]balance.Server{}
	known := make(map[string]bool, len(now.Servers))
	for id, s := range now.Servers {
		known[s.Address] = true
		p.service(s.Service)
		if s.Terminating() || now.DomainsOut[s.Domain] {
			continue
		}
		open[s.Service] = append(open[s.Service], balance.Server{
			ID: id, Address: s.Address, Domain: s.Domain, Region: s.Region, Slots: s.Slots,
		})
	}
	p.known = known
	for name, s := range p.services {
		settings := balance.Settings{Domain: p.opts.Domain, Region: p.opts.Region}
		s.engine = nil
		if now.Table != nil {
			if config := now.Table.Services[name]; config != nil {
				p.configure(&settings, s, config)
			}
		}
		s.balancer.Configure(settings)
		s.balancer.SetServers(open[name])
		s.balancer.SetPeerLoad(p.peers)
		s.wake()
	}
}

func (p *places) configure(settings *balance.Settings, s *serviceState, config *route.Service) {
	if config.Engine != nil {
		s.engine = config.Engine
		settings.KVTokens = config.Engine.KVTokens
	}
	if config.ColdPerSecond > 0 {
		all := config.ColdPerSecond*p.bounds.ColdFactor + p.bounds.ColdSlack
		settings.Rate = balance.DivideRate(all, p.hostCount(), p.opts.HostID)
	}
}

// engineOf returns the engines of a service, or nil for plain services.
func (p *places) engineOf(service string) *route.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).engine
}

func (p *places) hostCount() int {
	if p.hosts == 0 {
		return assumedHosts
	}
	return p.hosts
}

// setPeers takes over the work of the other hosts, by server.
func (p *places) setPeers(loads map[string]balance.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = loads
	for _, s := range p.services {
		s.balancer.SetPeerLoad(loads)
		s.wake()
	}
}

// ownLoad returns this host's work by server.
func (p *places) ownLoad() map[string]balance.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]balance.Load{}
	for _, s := range p.services {
		for id, l := range s.balancer.OwnLoad() {
			out[id] = l
		}
	}
	return out
}

func (p *places) knows(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[address]
}

// firstTry counts a request towards the budget of repeats.
func (p *places) firstTry(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).budget.RecordFirstAttempt(p.bounds.Retries, time.Now())
}

// mayRepeat charges a repeat if the budget allows one.
func (p *places) mayRepeat(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).budget.Allow(p.bounds.Retries, p.hostCount(), time.Now())
}

// budgetLeft reports whether the budget of repeats allows one now.
func (p *places) budgetLeft(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).budget.Available(p.bounds.Retries, p.hostCount(), time.Now())
}

// acquire chooses a server, waiting for room until ctx ends or wait has passed.
func (p *places) acquire(ctx context.Context, service string, job balance.Request, priority int, wait time.Duration) (*place, balance.Reason) {
	p.mu.Lock()
	s := p.service(service)
	server, why := s.balancer.Pick(job, time.Now())
	if why == balance.Chosen {
		s.balancer.AddRequest(server.ID, workOf(job), time.Now())
		p.mu.Unlock()
		return p.newPlace(service, server, job), why
	}
	if wait <= 0 {
		p.mu.Unlock()
		return nil, why
	}
	w := &waiter{job: job, priority: priority, since: time.Now(), given: make(chan balance.Server, 1)}
	s.enqueue(w)
	p.mu.Unlock()

	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case server := <-w.given:
		return p.newPlace(service, server, job), balance.Chosen
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.remove(w)
	select {
	case server := <-w.given: // given just before the end
		return p.newPlace(service, server, job), balance.Chosen
	default:
		return nil, why
	}
}

// noticed records that a server of a service gave notice.
func (p *places) noticed(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).noticedAt = time.Now()
}

// noticeMemory is how long a notice makes another one likely: about the time of
// a long generation. Engines that leave with notice hand their runs over, and
// need the memory and links of the others for it; copies held ahead help only
// where engines die without notice.
const noticeMemory = 10 * time.Second

// standby takes memory for a copy of a run, if an engine has some to spare.
func (p *places) standby(service string, job balance.Request) *place {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	if time.Since(s.noticedAt) < noticeMemory {
		return nil
	}
	server, why := s.balancer.Pick(job, time.Now())
	if why != balance.Chosen {
		return nil
	}
	s.balancer.AddLoad(server.ID, workOf(job))
	return p.newPlace(service, server, job)
}

func (p *places) newPlace(service string, server balance.Server, job balance.Request) *place {
	return &place{server: server, places: p, service: service, work: workOf(job)}
}

func workOf(job balance.Request) balance.Load {
	return balance.Load{Requests: 1, Tokens: job.Tokens, Prefill: job.Prefill}
}

// promptRead records that the request's prompt was read.
func (pl *place) promptRead() {
	p := pl.places
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.work.Prefill == 0 {
		return
	}
	s := p.service(pl.service)
	s.balancer.RemoveLoad(pl.server.ID, balance.Load{Prefill: pl.work.Prefill})
	pl.work.Prefill = 0
	s.wake()
}

// enqueue keeps the waiters in the order in which they are served.
func (s *serviceState) enqueue(w *waiter) {
	i := sort.Search(len(s.waiters), func(i int) bool { return s.waiters[i].priority > w.priority })
	s.waiters = append(s.waiters, nil)
	copy(s.waiters[i+1:], s.waiters[i:])
	s.waiters[i] = w
}

func (s *serviceState) remove(w *waiter) {
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return
		}
	}
}

// wake gives room to the waiters it suffices for.
func (s *serviceState) wake() {
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		server, why := s.balancer.Pick(w.job, time.Now())
		if why != balance.Chosen {
			kept = append(kept, w)
			continue
		}
		s.balancer.AddRequest(server.ID, workOf(w.job), time.Now())
		w.given <- server
	}
	s.waiters = kept
}

// expect replaces the memory that the request is expected to need.
func (pl *place) expect(tokens int) {
	p := pl.places
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.work.Requests == 0 || pl.work.Tokens == tokens {
		return
	}
	s := p.service(pl.service)
	s.balancer.RemoveLoad(pl.server.ID, balance.Load{Tokens: pl.work.Tokens - tokens})
	pl.work.Tokens = tokens
}

// release ends the place. failed says that the server could not be reached or
// broke off.
func (pl *place) release(failed bool) {
	pl.once.Do(func() {
		p := pl.places
		p.mu.Lock()
		defer p.mu.Unlock()
		s := p.service(pl.service)
		s.balancer.RemoveLoad(pl.server.ID, pl.work)
		pl.work = balance.Load{}
		if failed {
			s.balancer.RecordFailure(pl.server.ID, time.Now())
		} else {
			s.balancer.RecordSuccess(pl.server.ID)
		}
		s.wake()
	})
}
