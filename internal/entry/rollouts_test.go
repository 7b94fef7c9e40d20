package entry

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// Guards against a host that watches roll-outs where there are none, which also shortens the time after which the store counts as
// unavailable, and against reloaded settings that switch roll-outs on in a process that does not read the requests for them.
func TestRolloutsFollowTheSettings(t *testing.T) {
	off, on := &Settings{ConfigBound: time.Second}, &Settings{RollbackBound: 5 * time.Second, ExposeShare: 0.1}
	assert.NotContains(t, watchTimeouts(off), directory.Rollouts)
	assert.Equal(t, 1500*time.Millisecond, watchTimeouts(on)[directory.Rollouts])
	for name, c := range map[string]struct {
		start, reloaded *Settings
		want            time.Duration
	}{
		"stays off":    {off, off, 0},
		"switched on":  {off, on, 0},
		"switched off": {on, &Settings{ExposeShare: 0.2}, 5 * time.Second},
		"changed":      {on, &Settings{RollbackBound: 3 * time.Second}, 3 * time.Second},
	} {
		p := &Process{settings: c.start, log: zerolog.Nop()}
		got := bounds(p.withStartedKinds(c.reloaded))
		assert.Equal(t, c.want, got.Rollback, name)
		assert.Equal(t, c.reloaded.ExposeShare, got.ExposeShare, name)
	}
}
