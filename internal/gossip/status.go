package gossip

// Status describes the exchange for the state dump.
type Status struct {
	// Mesh is set if each host sends its state to all others.
	Mesh   bool   `json:"mesh"`
	Region string `json:"region"`
	Group  int    `json:"group"`
	Role   string `json:"role"`
	// Aggregator is the host that chooses the engines for the group: this host if it is the primary aggregator, else the one
	// that it would ask; empty if there is none.
	Aggregator string `json:"aggregator,omitempty"`
	// Hosts is the number of hosts in the store's list, and GroupHosts that in the group.
	Hosts      int `json:"hosts"`
	GroupHosts int `json:"group_hosts"`
	// PeerAgesMS are the ages of the newest messages of the hosts that send to this one, in ms, and DigestAgesMS those
	// of the digests by region and group.
	PeerAgesMS   map[string]int64  `json:"peer_ages_ms"`
	DigestAgesMS []DigestAgeStatus `json:"digest_ages_ms"`
}

// DigestAgeStatus is the age of a digest.
type DigestAgeStatus struct {
	Region string `json:"region"`
	Group  int    `json:"group"`
	Hosts  int    `json:"hosts"`
	AgeMS  int64  `json:"age_ms"`
}

// Status returns the state of the exchange.
func (e *Exchange) Status() Status {
	now := e.opts.Clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	group, _ := e.topology.GroupOf(e.opts.Self.ID)
	s := Status{
		Mesh: e.topology.IsMesh(), Region: e.opts.Region, Group: group.Index, Role: e.candidate.Role().String(),
		Hosts: len(e.topology.Hosts()), GroupHosts: len(e.topology.Members(group)), PeerAgesMS: map[string]int64{},
	}
	if s.Aggregator = e.placingHost(now); s.Mesh {
		s.Aggregator = ""
	}
	for id, p := range e.peers {
		s.PeerAgesMS[id] = (now - p.ReceivedAt).Milliseconds()
	}
	for g, d := range e.digests {
		s.DigestAgesMS = append(s.DigestAgesMS, DigestAgeStatus{Region: g.Region, Group: g.Index, Hosts: d.Hosts, AgeMS: (now - d.madeAt).Milliseconds()})
	}
	return s
}
