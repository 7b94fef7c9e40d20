package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against urgent generations that find all engines full of less urgent ones. The load: long generations at 1.5 times what 20
// engines hold, and short urgent ones that need a tenth of it, for 30 s.
func TestUrgentGenerationsFindRoomBesideABurstOfOthers(t *testing.T) {
	const (
		engines, kv             = 20, 27000
		longTokens, shortTokens = 3400, 2200
		longTime, shortTime     = 9 * time.Second, 500 * time.Millisecond
		tick                    = 10 * time.Millisecond
	)
	// missed returns the share of generations of both kinds that find no room at once.
	missed := func(keepFree int) (long, short float64) {
		random := rand.New(rand.NewPCG(1, 2))
		b := New(random.IntN, nil, nil)
		b.Configure(Settings{Domain: "west-a", Region: "west", KVTokens: kv})
		var servers []Server
		for i := range engines {
			servers = append(servers, Server{ID: string(rune('a' + i)), Slots: 24, Domain: "west-a", Region: "west"})
		}
		b.SetServers(servers)
		type running struct {
			server string
			load   Load
			until  time.Duration
		}
		var list []running
		var asked, without [2]float64
		for now := time.Duration(0); now < 30*time.Second; now += tick {
			kept := list[:0]
			for _, r := range list {
				if r.until > now {
					kept = append(kept, r)
					continue
				}
				b.RemoveLoad(r.server, r.load)
			}
			list = kept
			for kind, c := range []struct {
				perSecond float64
				request   Request
				time      time.Duration
			}{
				{1.5 * engines * kv / longTokens / longTime.Seconds(), Request{Tokens: longTokens, Prefill: 3000, KeepFree: keepFree}, longTime},
				{0.1 * engines * kv / shortTokens / shortTime.Seconds(), Request{Tokens: shortTokens, Prefill: shortTokens}, shortTime},
			} {
				if random.Float64() >= c.perSecond*tick.Seconds() {
					continue
				}
				asked[kind]++
				at := time.Unix(0, 0).Add(now)
				s, reason := b.Pick(c.request, at)
				if reason != Chosen {
					without[kind]++
					continue
				}
				load := Load{Requests: 1, Tokens: c.request.Tokens}
				b.AddRequest(s.ID, load, at)
				list = append(list, running{s.ID, load, now + c.time})
			}
		}
		return without[0] / asked[0], without[1] / asked[1]
	}
	long, short := missed(kv * 25 / 100)
	longBefore, shortBefore := missed(0)
	t.Logf("without room: long %.3f, urgent %.3f; before long %.3f, urgent %.3f", long, short, longBefore, shortBefore)
	assert.Less(t, short, 0.01, "99 in 100 urgent generations must not wait for others")
	assert.Greater(t, long, short, "the less urgent ones wait")
}
