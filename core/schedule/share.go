package schedule

// Share returns the fraction, 0 to 1, of a backend server's capacity assigned
// to one host. Hosts and servers are laid out on two lines of equal length,
// each sorted by region and id, and a host is assigned the portion of each
// server that lies above it. So every server is shared by few hosts, which
// track most of its load per request instead of from lagged reports; all hosts
// get equal capacity, most of it in their own region. Every host computes the
// same shares from the same lists. Lists that differ for a short time only make
// shares uneven, because the choice also respects the load reports.
func Share(host, hosts, server, servers int) float32 {
	if host < 0 || host >= hosts || server < 0 || server >= servers {
		return 0
	}
	// The unit is 1/(hosts*servers) of the line.
	from := max(host*servers, server*hosts)
	to := min((host+1)*servers, (server+1)*hosts)
	if to <= from {
		return 0
	}
	return float32(to-from) / float32(hosts)
}
