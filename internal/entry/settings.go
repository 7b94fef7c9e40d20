// Package entry assembles the process of an entry host that forwards requests
// by the operators' routes: it joins the directory, the request path and the
// exchange of loads between hosts, and stops them in order.
package entry

import "time"

// Settings are what a host's process knows at its start. The adapter of a
// platform fills and checks them.
type Settings struct {
	HostID, Domain, Region string
	// DomainRegions maps each failure domain to its region.
	DomainRegions map[string]string
	// Listen is the address for callers, ReadyListen that of the readiness probe.
	Listen, ReadyListen string
	// PeerIP and PeerPort receive the messages of other hosts.
	PeerIP   string
	PeerPort int
	// Store is the address of the platform's metadata store.
	Store       string
	MemoryBytes int64
	MaxFiles    int
	// ShutdownGrace is the time from SIGTERM to SIGKILL.
	ShutdownGrace time.Duration
	// UnreadyAfter is how long a host must fail its probe until it gets no new
	// callers.
	UnreadyAfter time.Duration
	// ConfigBound is the time within which an accepted configuration must be in force.
	ConfigBound time.Duration
	// DrainBound is the time after which a leaving backend server gets no new work.
	DrainBound time.Duration
	// DomainOutBound is the time after which a failure domain that was taken out gets
	// no new work.
	DomainOutBound time.Duration
	// StrictRevoke says that a removed key must not be served after RevokeBound,
	// not even by a host without access to the store.
	StrictRevoke bool
	RevokeBound  time.Duration
	// RetryShare, RetryWindow and RetrySlack bound the repeats of all hosts
	// together: in each window a share of the requests, and a number besides.
	RetryShare  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdFactor and ColdSlack bound what all hosts together send to a cold
	// backend server in a second: its own rate times the factor plus the slack.
	ColdFactor, ColdSlack float64
	// AbsenceGrace is how long after the store's return an entry may be missing
	// although its backend server lives.
	AbsenceGrace time.Duration
}
