package forward

import (
	"sync"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/rollout"
)

// reservation is the right to send one request to a backend server, or to keep a standby
// replica there. It counts as load of the server until it is released.
type reservation struct {
	server    balance.Server
	balancers *balancers
	service   string
	// placedBy is the host that chose the server: this one or the aggregator of the group.
	placedBy string
	// isStandby is set for a standby replica, for which no request was counted yet.
	isStandby bool
	// since is when the reservation was made.
	since time.Time
	load  balance.Load // guarded by balancers.mu
	// silent is set once a silence of the server was counted as its failure; guarded by balancers.mu.
	silent bool
	once   sync.Once

	// exposure is the tracker of the roll-out that counts the request as exposed; nil if none does. stays is set for a
	// generation from a server of the same version. sent is set once a request was sent, at sentAt, and failureObserved once
	// the roll-out has counted a failure. All are guarded by balancers.mu.
	exposure              *rollout.Tracker
	stays                 bool
	sent, failureObserved bool
	sentAt                time.Time
	// countsAsStandby is set while the reservation is part of serviceState.standbys.
	countsAsStandby bool
}

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
	s.standbys[server.Version]++
	res := bs.newReservation(service, server, req)
	res.countsAsStandby = true
	return res
}

// activate counts a standby replica as a request, as soon as one is sent to its server.
func (res *reservation) activate(s *serviceState) {
	if res.countsAsStandby {
		res.countsAsStandby = false
		s.standbys[res.server.Version]--
	}
}

func (bs *balancers) newReservation(service string, server balance.Server, req balance.Request) *reservation {
	return &reservation{server: server, balancers: bs, service: service, placedBy: bs.opts.HostID, isStandby: req.Standby, since: time.Now(), load: loadOf(req),
		stays: req.Source != nil && req.Source.Version == server.Version}
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
			res.report(true)
		default:
			b.RecordSuccess(res.server.ID)
			res.report(false)
		}
	})
}

// report records the result of the request for the other hosts; balancers.mu must be held.
func (res *reservation) report(failed bool) {
	res.balancers.reporter.Record(res.server.Process(), failed, time.Since(res.balancers.started))
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
		res.activate(s)
		if res.exposure != nil && !res.sent {
			res.exposure.Release()
		}
		record(s.balancer)
		s.wake()
	})
}
