// Package serverstate holds what the answers of backend servers say of the servers themselves. It does no I/O
// and has no clock: callers pass the time and hold the lock.
package serverstate

import "time"

// Process identifies one process of a backend server. Another process at the same address, or with the same
// ID, shares no state with it.
type Process struct {
	ID string
	// StartTime is in Unix milliseconds.
	StartTime int64
}

// Answer is what the header of one answer says of its server.
type Answer struct {
	// Leaving is set if the server has received a termination notice.
	Leaving bool
	// RefusesFor is how long the server wants nothing from this host; 0 if it does not refuse.
	RefusesFor time.Duration
	// Limit is the rate limit that the server names, in requests per second; 0 if it names none.
	Limit float64
	// LimitUnreadable is set if it names one that cannot be used, so that the former one stays.
	LimitUnreadable bool
	// Load is the load of the server, if it states any.
	Load Load
	// Invalid lists the fields whose values could not be used as they are.
	Invalid []InvalidField
}

// Load is the load of a server. Slots is 0 if it is not known.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the server's machine at this moment, in percent of the usual time; 0 if not stated.
	Pace int
}

// InvalidField is a header field with an invalid value.
type InvalidField struct {
	Name, Value string
	// Used is what is assumed instead.
	Used string
}
