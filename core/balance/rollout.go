package balance

// Rollout says which servers a service uses while a version is rolled out. The zero value is none.
type Rollout struct {
	// Target is the version that is rolled out; empty for none.
	Target string
	// Others is set if servers of other versions may be used.
	Others bool
	// Open is set if all requests may use the servers of the target.
	Open bool
	// Servers are the servers of the target that exposed requests may use, by ID. Without any, and unless Open is set, the
	// target is used by no request.
	Servers map[string]bool
}

// side is a set of versions from which a server is picked.
type side uint8

const (
	anySide side = iota
	targetSide
	otherSide
)

// SetRollout replaces the roll-out of the service.
func (b *Balancer) SetRollout(r Rollout) { b.rollout = r }

// Admits reports whether a server may get any request: it is listed, and the roll-out has not excluded its version.
func (b *Balancer) Admits(id string) bool {
	s := b.servers[id]
	if s == nil || !s.present {
		return false
	}
	if r := &b.rollout; b.isTarget(s.Version) {
		return r.Open || len(r.Servers) > 0
	}
	return b.rollout.Target == "" || b.rollout.Others
}

// IsOpen reports whether every request may use a server, exposed or not.
func (b *Balancer) IsOpen(id string) bool {
	s := b.servers[id]
	return s == nil || !b.isTarget(s.Version) || b.rollout.Open
}

// RequestsAtOthers returns the number of requests of this host at servers of other versions than the target.
func (b *Balancer) RequestsAtOthers(target string) (n int) {
	for _, s := range b.servers {
		if s.Version != target {
			n += s.own.Requests
		}
	}
	return n
}

func (b *Balancer) isTarget(version string) bool {
	return b.rollout.Target != "" && version == b.rollout.Target
}

// allowsVersion reports whether the roll-out lets a request use a server.
func (b *Balancer) allowsVersion(id string, s *server, req Request) bool {
	r := &b.rollout
	switch {
	case r.Target == "":
		return true
	case s.Version != r.Target:
		return r.Others
	case r.Open:
		return true
	}
	// A generation at the target is not lost because of the bound on exposed requests.
	return (req.Exposed || b.startedAtTarget(req)) && r.Servers[id]
}

func (b *Balancer) startedAtTarget(req Request) bool {
	return req.Source != nil && b.isTarget(req.Source.Version)
}

// sides returns the versions to pick from, in order. An exposed request is counted as one for the target, so it goes there if it
// can. A generation that is not exposed leaves the target if it can.
func (b *Balancer) sides(req Request) []side {
	r := &b.rollout
	switch {
	case r.Target == "" || r.Open:
		return anyFirst
	case b.startedAtTarget(req) && !req.Exposed:
		return othersFirst
	case req.Exposed && !b.startedAtTarget(req):
		return targetFirst
	}
	return anyFirst
}

var (
	anyFirst    = []side{anySide}
	targetFirst = []side{targetSide, otherSide}
	othersFirst = []side{otherSide, targetSide}
)

func (b *Balancer) isAtSide(s *server, at side) bool {
	return at == anySide || b.isTarget(s.Version) == (at == targetSide)
}
