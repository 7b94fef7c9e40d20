// Package reach finds out by the results of connection setups whether a host has lost its path to the servers of a service. A
// single server that cannot be reached says nothing of the others. The package does no I/O and has no clock.
package reach

import "time"

const (
	// minFailures is the number of connection setups in a row that must fail, at minServers servers at least if the service has as
	// many.
	minFailures = 3
	minServers  = 2
	// failureMemory is how long a failure counts.
	failureMemory = 5 * time.Second
)

// Path is the path of a host to the servers of a service. The zero value is one that works. It is not safe for concurrent use.
type Path struct {
	failures []failure
	lost     bool
}

type failure struct {
	server string
	at     time.Time
}

// Failed records that a connection to one of the servers, of which there are a number, could not be set up. It reports whether
// the path is found to be lost by that.
func (p *Path) Failed(server string, servers int, now time.Time) bool {
	if p.lost {
		return false
	}
	kept := p.failures[:0]
	for _, f := range p.failures {
		if now.Sub(f.at) <= failureMemory {
			kept = append(kept, f)
		}
	}
	p.failures = append(kept, failure{server, now})
	distinct := map[string]bool{}
	for _, f := range p.failures {
		distinct[f.server] = true
	}
	p.lost = len(p.failures) >= minFailures && len(distinct) >= min(minServers, servers)
	return p.lost
}

// Connected records that a connection to one of the servers was set up. It reports whether the path was lost until then.
func (p *Path) Connected() bool {
	was := p.lost
	p.failures, p.lost = nil, false
	return was
}

// Lost reports whether the path is lost.
func (p *Path) Lost() bool { return p.lost }
