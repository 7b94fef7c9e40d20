package request

import (
	"sync"
	"sync/atomic"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// teamLimits limits the requests in flight of each team at this host. There is no central
// counter: each host enforces an equal share of a team's limit, rounded up, since the load
// balancer distributes the requests of every team over all hosts.
type teamLimits struct {
	inFlight sync.Map // of *atomic.Int64 by team name
}

// hostQuota returns the quota of one host, limit/hosts rounded up.
func hostQuota(limit, hosts int) int64 {
	hosts = max(hosts, 1)
	return int64((limit + hosts - 1) / hosts)
}

// acquire counts a request of a team unless the team is at its quota; release ends the
// count. A limit of 0 means no limit.
func (l *teamLimits) acquire(team string, limit, hosts int) (release func(), ok bool) {
	if limit <= 0 {
		return func() {}, true
	}
	counter, found := l.inFlight.Load(team)
	if !found {
		counter, _ = l.inFlight.LoadOrStore(team, &atomic.Int64{})
	}
	n := counter.(*atomic.Int64)
	if n.Add(1) > hostQuota(limit, hosts) {
		n.Add(-1)
		return nil, false
	}
	return func() { n.Add(-1) }, true
}

// acquireTeamSlot rejects the call if its team has too many requests in flight.
func (c *call) acquireTeamSlot() error {
	release, ok := c.g.teams.acquire(c.team.Name, c.team.MaxInFlight, c.g.HostCount())
	if !ok {
		e := verdict.New(verdict.NotRun, 429, "team_limit", "team %q has reached its limit of requests in flight", c.team.Name)
		e.RetryAfterSeconds = 1
		return e
	}
	c.releaseTeam = release
	return nil
}
