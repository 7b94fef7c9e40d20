package topology

import "time"

// Role is the part of a host in its group.
type Role uint8

// Roles of a host.
const (
	// Member sends its state to the aggregators and receives their digests.
	Member Role = iota
	// Secondary sends digests at longer intervals, and takes over from the primary aggregator.
	Secondary
	// Primary sends the digests.
	Primary
)

// String returns the name used in log lines.
func (r Role) String() string { return [...]string{"member", "secondary", "primary"}[r] }

const (
	// AggregatorTimeout is how long after its last digest an aggregator counts as live.
	AggregatorTimeout = 800 * time.Millisecond
	// takeoverStep is the time by which each further host of the order waits longer until it becomes an aggregator,
	// so that not all of them do at once.
	takeoverStep = 100 * time.Millisecond
)

// Candidate decides the role of one host. The zero value is that of a host that has just started.
type Candidate struct {
	role Role
	// lacking is set while there are too few aggregators before the host, since the time lackingSince.
	lacking      bool
	lackingSince time.Duration
}

// Role returns the current role.
func (c *Candidate) Role() Role { return c.role }

// Update decides the role from the number of live aggregators that come before the host in the order of its group,
// and the position of the host there. It reports whether the role changed.
func (c *Candidate) Update(position, liveBefore int, now time.Duration) bool {
	next := Member
	if liveBefore >= Aggregators {
		c.lacking = false
	} else {
		if !c.lacking {
			c.lacking, c.lackingSince = true, now
		}
		switch {
		case c.role == Member && now-c.lackingSince < time.Duration(position)*takeoverStep:
		case liveBefore == 0:
			next = Primary
		default:
			next = Secondary
		}
	}
	changed := next != c.role
	c.role = next
	return changed
}
