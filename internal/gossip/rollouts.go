package gossip

import (
	"cmp"
	"slices"

	"monsoonkeel.example/monsoonkeel/core/rollout"
	pb "monsoonkeel.example/monsoonkeel/internal/gossippb"
)

const (
	// maxRollouts limits the roll-outs in a state or a digest, maxRolloutRoutes the routes of one, and maxRolloutServers the
	// servers of its target.
	maxRollouts       = 8
	maxRolloutRoutes  = 32
	maxRolloutServers = 64
	// maxRolloutName limits the service and the version of a roll-out, in bytes; they are repeated in log lines.
	maxRolloutName = 256
	// maxCount limits the numbers of requests in a message, so that no sum of them overflows.
	maxCount = 1 << 40
)

// ofOneHost returns the reports of a single host, at most as many as a message has.
func ofOneHost(reports []rollout.Report) []rollout.Report {
	reports = limitRollouts(reports)
	for i := range reports {
		reports[i].Hosts = 1
	}
	return reports
}

// limitRollouts returns a copy of a list of reports without what does not fit into a message: the routes with the fewest requests
// and the servers that say least about the version.
func limitRollouts(list []rollout.Report) []rollout.Report {
	if len(list) == 0 {
		return nil
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b rollout.Report) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Created, b.Created))
	})
	list = list[:min(len(list), maxRollouts)]
	for i := range list {
		r := &list[i]
		r.Counts = limitCounts(r.Counts)
		if len(r.Servers) > maxRolloutServers {
			r.Servers = slices.Clone(r.Servers)
			slices.SortFunc(r.Servers, func(a, b rollout.ServerCounts) int {
				return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Server, b.Server))
			})
			r.Servers = r.Servers[:maxRolloutServers]
		}
	}
	return list
}

// limitCounts keeps both sides of the routes with most requests.
func limitCounts(counts []rollout.Counts) []rollout.Counts {
	if len(counts) <= maxRolloutRoutes {
		return counts
	}
	requests := map[string]int64{}
	for _, c := range counts {
		requests[c.Route] += c.Requests
	}
	routes := make([]string, 0, len(requests))
	for route := range requests {
		routes = append(routes, route)
	}
	slices.SortFunc(routes, func(a, b string) int {
		return cmp.Or(cmp.Compare(requests[b], requests[a]), cmp.Compare(a, b))
	})
	for _, route := range routes[min(len(routes), maxRolloutRoutes):] {
		delete(requests, route)
	}
	kept := make([]rollout.Counts, 0, 2*maxRolloutRoutes)
	for _, c := range counts {
		if _, ok := requests[c.Route]; ok && len(kept) < 2*maxRolloutRoutes {
			kept = append(kept, c)
		}
	}
	return kept
}

// withoutOwn returns the reports in a digest without what this host reported. The phases stay as they are: those of this host can
// only be earlier ones, so that MinPhase may be too low until the next digest, and MaxPhase is no later than that of this host.
func withoutOwn(reports, own []rollout.Report) []rollout.Report {
	if len(own) == 0 {
		return reports
	}
	var others []rollout.Report
	for _, r := range reports {
		i := slices.IndexFunc(own, func(o rollout.Report) bool { return o.ID == r.ID })
		if i >= 0 {
			r = subtract(r, own[i])
		}
		if r.Hosts > 0 {
			others = append(others, r)
		}
	}
	return others
}

// subtract returns a report without the part of some of its hosts. The part may be newer than the report by a message, so no
// difference goes below 0.
func subtract(r, part rollout.Report) rollout.Report {
	less := func(a, b int64) int64 { return max(0, a-b) }
	r.Hosts = max(0, r.Hosts-part.Hosts)
	r.OldInFlight = max(0, r.OldInFlight-part.OldInFlight)
	r.Counts, r.Servers = slices.Clone(r.Counts), slices.Clone(r.Servers)
	for i := range r.Counts {
		c := &r.Counts[i]
		for _, p := range part.Counts {
			if p.Route != c.Route || p.Target != c.Target {
				continue
			}
			c.Requests, c.Failures = less(c.Requests, p.Requests), less(c.Failures, p.Failures)
			for b := range c.Latency {
				c.Latency[b] = less(c.Latency[b], p.Latency[b])
			}
		}
	}
	for i := range r.Servers {
		s := &r.Servers[i]
		for _, p := range part.Servers {
			if p.Server == s.Server {
				s.Requests, s.Bad = less(s.Requests, p.Requests), less(s.Bad, p.Bad)
			}
		}
	}
	return r
}

// sameRollouts reports whether two lists of reports, in the same order, have the same content.
func sameRollouts(a, b []rollout.Report) bool {
	return slices.EqualFunc(a, b, func(a, b rollout.Report) bool {
		return a.ID == b.ID && a.MinPhase == b.MinPhase && a.MaxPhase == b.MaxPhase && a.OldInFlight == b.OldInFlight &&
			slices.Equal(a.Counts, b.Counts) && slices.Equal(a.Servers, b.Servers)
	})
}

// samePhases reports whether two lists of reports name the same roll-outs in the same phases.
func samePhases(a, b []rollout.Report) bool {
	return slices.EqualFunc(a, b, func(a, b rollout.Report) bool {
		return a.ID == b.ID && a.MinPhase == b.MinPhase && a.MaxPhase == b.MaxPhase
	})
}

func encodeRollouts(reports []rollout.Report) (list []*pb.Rollout) {
	for _, r := range limitRollouts(reports) {
		out := &pb.Rollout{
			Service: r.Service, Target: r.Target, Created: r.Created, MinPhase: uint32(r.MinPhase), MaxPhase: uint32(r.MaxPhase),
			Hosts: int64(r.Hosts), OldInFlight: int64(r.OldInFlight),
		}
		for _, c := range r.Counts {
			last := len(c.Latency)
			for last > 0 && c.Latency[last-1] == 0 {
				last--
			}
			out.Counts = append(out.Counts, &pb.RolloutCounts{
				Route: c.Route, Target: c.Target, Requests: c.Requests, Failures: c.Failures, Latency: slices.Clone(c.Latency[:last]),
			})
		}
		for _, s := range r.Servers {
			out.Servers = append(out.Servers, &pb.RolloutServer{Server: s.Server, Requests: s.Requests, Bad: s.Bad})
		}
		list = append(list, out)
	}
	return list
}

// decodeRollouts decodes the reports in a message. One with a phase that this host does not know, or without a usable name, is left
// out: no part of it can be used.
func decodeRollouts(list []*pb.Rollout) (reports []rollout.Report) {
	count := func(n int64) int64 { return min(max(n, 0), maxCount) }
	for _, m := range list {
		if len(reports) == maxRollouts {
			break
		}
		if m.MinPhase > m.MaxPhase || m.MaxPhase > uint32(rollout.RolledBack) ||
			m.Service == "" || m.Target == "" || len(m.Service) > maxRolloutName || len(m.Target) > maxRolloutName {
			continue
		}
		r := rollout.Report{
			ID:       rollout.ID{Service: m.Service, Target: m.Target, Created: m.Created},
			MinPhase: rollout.Phase(m.MinPhase), MaxPhase: rollout.Phase(m.MaxPhase),
			Hosts: boundedHosts(m.Hosts), OldInFlight: int(count(m.OldInFlight)),
		}
		for _, c := range m.Counts[:min(len(m.Counts), 2*maxRolloutRoutes)] {
			decoded := rollout.Counts{Route: c.Route, Target: c.Target, Requests: count(c.Requests), Failures: count(c.Failures)}
			for i, n := range c.Latency[:min(len(c.Latency), rollout.LatencyBuckets)] {
				decoded.Latency[i] = count(n)
			}
			r.Counts = append(r.Counts, decoded)
		}
		for _, s := range m.Servers[:min(len(m.Servers), maxRolloutServers)] {
			r.Servers = append(r.Servers, rollout.ServerCounts{Server: s.Server, Requests: count(s.Requests), Bad: count(s.Bad)})
		}
		reports = append(reports, r)
	}
	return reports
}

// maxHosts limits the number of hosts in a message.
const maxHosts = 1 << 20

func boundedHosts(n int64) int { return int(min(max(n, 0), maxHosts)) }

// mergeRollouts adds reports of other hosts to a list with one report for each roll-out.
func mergeRollouts(list, reports []rollout.Report) []rollout.Report {
	for _, r := range reports {
		list = rollout.Merge(list, r)
	}
	return list
}
