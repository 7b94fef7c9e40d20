package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

// Guards against long generations at engines where most of them have a late gap while others have room, and against short ones,
// which are hardly ever late, that crowd the others.
func TestLongGenerationsAvoidEnginesWithLateGaps(t *testing.T) {
	b := New(func(int) int { return 0 }, nil, nil)
	b.Configure(Settings{Domain: "west-a", Region: "west", KVTokens: 27000})
	late, sound := Server{ID: "late", Slots: 24, Domain: "west-a", Region: "west"}, Server{ID: "sound", Slots: 24, Domain: "west-a", Region: "west"}
	b.SetServers([]Server{late, sound})
	b.SetPaces(map[serverstate.Process]pace.Estimate{
		late.Process(): {Speed: 1, Slowdown: 1, Limit: 1, LateRate: 0.005}, sound.Process(): {Speed: 1, Slowdown: 1, Limit: 1},
	})
	b.AddLoad("sound", Load{Requests: 5, Tokens: 17000, Prefill: 3000})
	long := Request{Tokens: 3400, Prefill: 3000, Events: 188}
	short := Request{Tokens: 2200, Prefill: 2200, Events: 2}
	pick := func(r Request) string {
		s, reason := b.Pick(r, time.Unix(1, 0))
		assert.Equal(t, Chosen, reason)
		return s.ID
	}
	assert.Equal(t, "sound", pick(long))
	assert.Equal(t, "late", pick(short))
	b.AddLoad("sound", Load{Requests: 2, Tokens: 7000})
	assert.Equal(t, "late", pick(long), "an engine with late gaps is better than none")
}
