package forward

import (
	"maps"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/quota"
	"monsoonkeel.example/monsoonkeel/core/route"
)

// assumedHosts divides shared bounds while the host entries have not been read yet.
const assumedHosts = 16

// serviceQuotas are the quotas of this host for the servers of a service.
type serviceQuotas struct {
	division *quota.Hosts
	limit    float64
	// placed is set if aggregators place requests of the service.
	placed   bool
	byServer map[string]int
}

// coldLimit returns the number of requests per second that all hosts may send to a server.
func (bs *balancers) coldLimit(config *route.Service) float64 {
	return config.ColdPerSecond*bs.bounds.ColdFactor + bs.bounds.ColdExtra
}

// setHosts replaces the hosts among which limits are divided.
func (bs *balancers) setHosts(hosts map[string]fleet.Host) {
	if bs.division != nil && maps.Equal(bs.hosts, hosts) {
		return
	}
	bs.hosts = hosts
	bs.division = quota.NewHosts(bs.opts.HostID, bs.opts.Region, hosts, assumedHosts)
}

// setQuotas sets the quotas of the servers of a service.
func (bs *balancers) setQuotas(service string, config *route.Service, servers []balance.Server) {
	if config.ColdPerSecond <= 0 {
		return
	}
	limit, placed := bs.coldLimit(config), bs.arePlaced(config)
	known := bs.quotas[service]
	if known == nil || known.division != bs.division || known.limit != limit || known.placed != placed {
		known = &serviceQuotas{division: bs.division, limit: limit, placed: placed}
		bs.quotas[service] = known
	}
	byServer := make(map[string]int, len(servers))
	for i := range servers {
		id := servers[i].ID
		n, ok := known.byServer[id]
		if !ok {
			n = bs.division.Quota(id, servers[i].Region, limit-bs.reservedForPlacements(servers[i].Region, limit, placed))
		}
		servers[i].PerSecond, byServer[id] = n, n
	}
	known.byServer = byServer
}

// reservedForPlacements returns the part of a server's limit that the hosts do not divide, in requests per second.
func (bs *balancers) reservedForPlacements(region string, limit float64, placed bool) float64 {
	if !placed {
		return 0
	}
	_, all := bs.division.Placements(region, limit)
	return float64(all)
}

// hostCount returns the number of hosts among which shared bounds are divided.
func (bs *balancers) hostCount() int {
	if len(bs.hosts) == 0 {
		return assumedHosts
	}
	return len(bs.hosts)
}
