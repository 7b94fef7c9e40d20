package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"monsoonkeel.example/monsoonkeel/core/balance"
)

// Guards against urgent generations that no aggregator places, since a less urgent one of the same host waits and leaves room for
// them.
func TestWaitersThatYieldDoNotHoldUpOthers(t *testing.T) {
	s := &serviceState{}
	yielding, urgent := balance.Request{KeepFree: 100}, balance.Request{}
	assert.False(t, s.hasWaiterBefore(urgent))
	s.waiters = []*waiter{{req: yielding}}
	assert.False(t, s.hasWaiterBefore(urgent))
	assert.True(t, s.hasWaiterBefore(yielding))
	s.waiters = append(s.waiters, &waiter{req: urgent})
	assert.True(t, s.hasWaiterBefore(urgent))
}
