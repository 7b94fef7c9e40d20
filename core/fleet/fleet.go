// Package fleet describes the backend servers and entry hosts of a deployment
// as the platform lists them.
package fleet

import "time"

// Backend is one process of a backend server.
type Backend struct {
	// ID names the process towards the platform and on requests.
	ID string
	// StartTime is the start of the process, in Unix milliseconds; 0 if it is not
	// known. A process may start again under the same ID.
	StartTime int64 `json:"Born"`
	Service   string
	// Address is ip:port.
	Address string
	Domain  string
	// Region is that of the failure domain.
	Region string
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving says that the process has announced its end.
	Leaving bool
	// ColdLeft is how long the process stays cold, counted from when the entry
	// was read.
	ColdLeft time.Duration
}

// SameProcess reports whether both entries describe one process.
func (b Backend) SameProcess(o Backend) bool {
	return b.ID == o.ID && b.Address == o.Address && b.StartTime == o.StartTime
}

// Host is one entry host.
type Host struct {
	ID string
	// PeerAddress is ip:port for messages of other entry hosts.
	PeerAddress string
	Domain      string
	// Incarnation distinguishes the starts of the host's process.
	Incarnation int64
	// HeartbeatTime is the Unix time of the host's last registration, in seconds.
	HeartbeatTime int64 `json:"Beat"`
}
