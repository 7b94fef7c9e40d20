// Package fleet defines the entries of the backend servers and entry hosts of a
// deployment, as they are registered in the store.
package fleet

import "time"

// Backend is the entry of one backend server process.
type Backend struct {
	// ID identifies the backend server in the store and on requests.
	ID string
	// StartTime is the start time of the process in Unix milliseconds, 0 if unknown. It
	// distinguishes a restarted process that has the same ID.
	StartTime int64 `json:"Born"`
	Service   string
	// Address is ip:port.
	Address string
	// Domain is the failure domain.
	Domain string
	// Region is the region of the failure domain.
	Region string
	// Version is that of the server's software; empty if unknown.
	Version string
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving is set once the process has a termination notice.
	Leaving bool
	// ColdLeft is the remaining time of the cold start when the entry was read.
	ColdLeft time.Duration
}

// SameProcess reports whether both entries describe the same process: ID, address and
// start time are equal.
func (b Backend) SameProcess(o Backend) bool {
	return b.ID == o.ID && b.Address == o.Address && b.StartTime == o.StartTime
}

// Host is the entry of one entry host.
type Host struct {
	ID string
	// PeerAddress is the ip:port that receives the gossip of other entry hosts.
	PeerAddress string
	Domain      string
	// Region is the region of the failure domain.
	Region string
	// Capacity is the processor time that the host has, in thousandths of a core; 0 if unknown.
	Capacity int
	// Incarnation changes with each start of the host's process.
	Incarnation int64
	// HeartbeatTime is when the host last renewed its entry, in Unix seconds.
	HeartbeatTime int64 `json:"Beat"`
}
