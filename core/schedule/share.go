package schedule

// Share returns the part, 0 to 1, of a backend server's room that one host is
// entitled to fill. Hosts and servers are laid on two lines of equal length,
// each sorted by region and id, and a host owns the part of each server that
// lies above it. So every server is shared by few hosts, which know most of its
// work one by one instead of from lagged reports, all hosts get equal room,
// and most of it in their own region. Every host computes the same shares from
// the same lists; lists that differ for a moment cause only uneven shares,
// because placement also respects the load reports.
func Share(host, hosts, server, servers int) float32 {
	if host < 0 || host >= hosts || server < 0 || server >= servers {
		return 0
	}
	// In units of 1/(hosts*servers) of the line.
	from := max(host*servers, server*hosts)
	to := min((host+1)*servers, (server+1)*hosts)
	if to <= from {
		return 0
	}
	return float32(to-from) / float32(hosts)
}
