package forward

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

// wakeInterval is the time between two checks whether a rate limit allows a waiting request.
const wakeInterval = 20 * time.Millisecond

func (bs *balancers) observeRateLimit(id string, startTime int64, o ratelimit.Observation) {
	bs.mu.Lock()
	changed := (o.Limit > 0 || bs.limits.Limited(id)) && bs.limits.Observe(id, startTime, o)
	bs.mu.Unlock()
	if changed {
		bs.opts.Log.Info().Str("backend", id).Float64("limit", o.Limit).Str("source", "response").Msg("rate limit of a backend server changed")
	}
}

// setPeerLimits applies what the other hosts know of rate limits, and their demand. unreported is the number of other
// live hosts without demand.
func (bs *balancers) setPeerLimits(hosts []ratelimit.HostReports, unreported int) {
	bs.mu.Lock()
	changed := bs.limits.Merge(hosts, unreported, time.Now())
	limits := bs.limits.Limits()
	bs.mu.Unlock()
	if changed {
		bs.opts.Log.Info().Any("limits", limits).Str("source", "another host").Msg("rate limit of a backend server changed")
	}
}

// rateLimitReports returns this host's reports on rate limits.
func (bs *balancers) rateLimitReports() []ratelimit.Report {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.limits.Reports(time.Now())
}

// chargeRate counts a request to a server that is sent without a reservation for it, such as a control call.
func (bs *balancers) chargeRate(id string) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.limits.Take(id, time.Now())
}

// takeRate is like chargeRate, but only if the rate limit of the server allows the request and the server
// does not refuse it.
func (bs *balancers) takeRate(id string, startTime int64) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	now := time.Now()
	if !bs.limits.Allows(id, now) || !bs.refusals.Allows(serverstate.Process{ID: id, StartTime: startTime}, now) {
		return false
	}
	bs.limits.Take(id, now)
	return true
}

// isHeldBack reports whether only rate limits or refusals prevent that a request is sent now.
func (bs *balancers) isHeldBack(service string, req balance.Request) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if !bs.limits.HasLimits() && !bs.refusals.HasAny() {
		return false
	}
	_, reason := bs.service(service).balancer.Pick(req, time.Now())
	return reason == balance.RateLimited || reason == balance.Refused
}

// rateRetryAfter returns the Retry-After of a request that rate limits reject, a later one for each further
// request.
func (bs *balancers) rateRetryAfter(service string, req balance.Request) time.Duration {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	now := time.Now()
	at, ok := bs.service(service).balancer.Promise(req, now)
	if !ok {
		return ratelimit.MaxPromise
	}
	return at.Sub(now)
}

// wakeLater wakes the waiters of a service in intervals while there are any: tokens of rate limits become
// available without an event. bs.mu must be held.
func (bs *balancers) wakeLater(s *serviceState) {
	if s.waking {
		return
	}
	s.waking = true
	time.AfterFunc(wakeInterval, func() {
		bs.mu.Lock()
		defer bs.mu.Unlock()
		s.waking = false
		if s.wake(); len(s.waiters) > 0 {
			bs.wakeLater(s)
		}
	})
}
