package forward

// lastEnginePriority is that of the least urgent requests at an engine; 0 is that of the most urgent ones.
const lastEnginePriority = 9

// contended reports whether callers compete for the servers of a service: the settings say so, or one of its
// servers states how its speed varies.
func (bs *balancers) contended(service string) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.contendedLocked(bs.service(service))
}

// contendedLocked is contended while balancers.mu is held.
func (bs *balancers) contendedLocked(s *serviceState) bool {
	return bs.bounds.Contention || s.contended
}

// setContended records that a server of a service states how its speed varies.
func (bs *balancers) setContended(service string) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.service(service).contended = true
}

// isContendedEngine reports whether a service is contended and its servers are engines.
func (bs *balancers) isContendedEngine(service string) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	s := bs.service(service)
	return s.config != nil && s.config.Engine != nil && bs.contendedLocked(s)
}

// enginePriority is the request's priority within the range of an engine.
func (r *request) enginePriority() int { return min(max(r.priority(), 0), lastEnginePriority) }
