package forward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/relay"
)

// Guards against a migration that ends for good because it met a request to the engine with the standby
// replica.
func TestGenerationRunsAtSourceWhileAnotherTargetIsAsked(t *testing.T) {
	gen := &generation{r: &request{ctx: context.Background()}, reservation: &reservation{server: balance.Server{ID: "a"}}, relay: relay.New(time.Now()), sourceEnded: make(chan struct{})}
	assert.True(t, gen.runsAt("a"))
	assert.True(t, gen.relay.Ask(time.Now()))
	assert.True(t, gen.runsAt("a"), "the source runs while the standby is asked")
}
