// Package entry assembles the process of an entry host: it connects the directory, the
// request path and the gossip between hosts, and shuts them down in order. The host
// forwards requests by the operators' routes.
package entry

import (
	"time"

	"monsoonkeel.example/monsoonkeel/internal/forward"
)

// Settings are the start-up settings of a host's process. The adapter of a platform
// fills and validates them.
type Settings struct {
	HostID, Domain, Region string
	// DomainRegions maps each failure domain to its region.
	DomainRegions map[string]string
	// FirstStart is set if the whole deployment starts for the first time.
	FirstStart bool
	// Listen is the address for callers, ReadyListen the address of the readiness probe.
	Listen, ReadyListen string
	// PeerIP and PeerPort are the address for gossip from other hosts.
	PeerIP   string
	PeerPort int
	// Store is the address of the platform's metadata store.
	Store       string
	MemoryBytes int64
	MaxFiles    int
	// Capacity is the processor time of the host, in thousandths of a core; 0 if unknown. The hosts with most of it
	// collect the states of the others.
	Capacity int
	// ShutdownGrace is the time from SIGTERM to SIGKILL.
	ShutdownGrace time.Duration
	// UnreadyAfter is how long the readiness probe must fail until the host gets no new
	// callers.
	UnreadyAfter time.Duration
	// ConfigBound is the time within which an accepted configuration must be in force.
	ConfigBound time.Duration
	// DrainBound is the time after which a terminating backend server gets no new requests.
	DrainBound time.Duration
	// DomainOutBound is the time after which a failure domain that was taken out gets no
	// new requests.
	DomainOutBound time.Duration
	// StrictRevoke is set when a removed key must not be accepted after RevokeBound, not
	// even by a host without access to the store.
	StrictRevoke bool
	RevokeBound  time.Duration
	// RetryRatio, RetryWindow and RetryExtra limit the retries of all hosts together: in each
	// window the ratio times the number of requests, plus the extra number.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64
	// ColdFactor and ColdExtra limit the requests per second that all hosts together send to
	// a cold backend server: its rate limit (ColdPerSecond in core/route) times the factor, plus
	// the extra requests per second.
	ColdFactor, ColdExtra float64
	// ExposeShare, of the requests for a service, plus ExposeExtra requests may reach a bad version of it during a roll-out.
	ExposeShare, ExposeExtra float64
	// RollbackBound is the time within which a bad version must get no more requests; 0 if there are no roll-outs.
	RollbackBound time.Duration
	// ForwardToHosts is set if a host that has lost its path to the backend servers has other hosts serve its requests. They come to
	// the peer address by TCP.
	ForwardToHosts bool
	// Contention is set if callers of the deployment compete for too little capacity at times.
	Contention bool
	// LearnCapacity decides for which services the capacity of the servers is learned. It comes from a flag.
	LearnCapacity forward.LearnMode
	// AbsenceGrace is how long after a store outage an entry may be missing although its
	// backend server is alive.
	AbsenceGrace time.Duration
}
