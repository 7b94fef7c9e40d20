package request

import (
	"sync"
	"sync/atomic"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// teamLimits bounds the requests in flight of each team at this host. There is
// no central counter: each host enforces an equal part of a team's limit,
// rounded up, since the load balancer spreads every team over all hosts.
type teamLimits struct {
	inFlight sync.Map // of *atomic.Int64 by team name
}

// part is one host's part of a limit.
func part(limit, hosts int) int64 {
	hosts = max(hosts, 1)
	return int64((limit + hosts - 1) / hosts)
}

// acquire counts a request of a team. The returned function ends it.
func (l *teamLimits) acquire(team string, limit, hosts int) (release func(), ok bool) {
	if limit <= 0 {
		return func() {}, true
	}
	known, found := l.inFlight.Load(team)
	if !found {
		known, _ = l.inFlight.LoadOrStore(team, &atomic.Int64{})
	}
	n := known.(*atomic.Int64)
	if n.Add(1) > part(limit, hosts) {
		n.Add(-1)
		return nil, false
	}
	return func() { n.Add(-1) }, true
}

// limitTeam refuses the call when its team has too many requests in flight.
func (c *call) limitTeam() error {
	release, ok := c.g.teams.acquire(c.team.Name, c.team.MaxInFlight, c.g.HostCount())
	if !ok {
		e := verdict.New(verdict.NotRun, 429, "team_limit", "team %q has its limit of requests in flight", c.team.Name)
		e.RetryAfterSeconds = 1
		return e
	}
	c.releaseTeam = release
	return nil
}
