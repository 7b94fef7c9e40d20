package forward

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
)

// Guards against new requests at an engine that just failed, since a reservation there was released for
// which no generation ran: a standby replica or the target of a migration.
func TestUnusedReservationsDoNotEndEjections(t *testing.T) {
	for name, release := range map[string]func(*reservation){
		"standby replica":  func(res *reservation) { res.releaseIfHeld() },
		"migration target": func(res *reservation) { (&migration{target: res}).releaseTarget() },
	} {
		t.Run(name, func(t *testing.T) {
			g, _ := newRefusalGateway("a", "b")
			acquire := func(exclude ...string) *reservation {
				res, _ := g.balancers.acquire(context.Background(), "model", balance.Request{Tokens: 1, Exclude: exclude}, sender{}, 0)
				require.NotNil(t, res)
				return res
			}
			unused := acquire("b")
			for range 4 {
				acquire("b").release(true)
			}
			release(unused)
			for range 16 {
				res := acquire()
				assert.Equal(t, "b", res.server.ID)
				res.cancel()
			}
		})
	}
}
