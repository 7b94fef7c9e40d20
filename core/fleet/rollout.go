package fleet

import "time"

// RolloutState is the state of a roll-out in the store.
type RolloutState string

// States of a roll-out; RolloutRequested is that of one without a status.
const (
	RolloutRequested  RolloutState = ""
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// Rollout is an operator's request to move the traffic of a service to the servers of another version.
type Rollout struct {
	Service string
	// Target is the version.
	Target string
	// Ramp is the time in which the traffic is to be moved.
	Ramp time.Duration
	// Created identifies the request among those for the same service and version; 0 if the store names nothing.
	Created int64
	// State is what a host last wrote, and StateTarget the version that it is about, which is another one if the operator has
	// changed the request since.
	State       RolloutState
	StateTarget string
	// Revision is that of the object's last change.
	Revision int64
}

// Ended reports whether the roll-out is over.
func (r Rollout) Ended() bool {
	return r.StateTarget == r.Target && (r.State == RolloutCompleted || r.State == RolloutRolledBack)
}
