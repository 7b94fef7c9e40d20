package forward

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/relay"
	"monsoonkeel.example/monsoonkeel/core/retry"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// Guards against retries that are prevented since the retry budget was charged for a request to a standby replica that
// was never sent: the source is silent again while a migration asks its target.
func TestSilenceDuringSwitchoverChargesNoRetry(t *testing.T) {
	store := &listedServers{startTimes: map[string]int64{"standby": 1}}
	opts := Options{HostID: "host-0", Log: zerolog.Nop(), Bounds: Bounds{Retries: retry.Limits{Window: time.Minute, Extra: assumedHosts}}}
	opts.Dialect.FormatKVSource = func(address, handle string) string { return address + "/" + handle }
	begin := time.Now()
	opts.Directory = directory.New(directory.Options{
		Store: store, Log: zerolog.Nop(), Clock: func() time.Duration { return time.Hour + time.Since(begin) },
		WatchTimeouts: map[directory.Kind]time.Duration{directory.Backends: time.Second, directory.Configuration: time.Second, directory.DomainsOut: time.Second},
	})
	g := &Gateway{opts: opts, pool: connection.NewPool(), balancers: newBalancers(opts, &Metrics{})}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go opts.Directory.Run(ctx)
	require.Eventually(t, func() bool { return len(opts.Directory.Snapshot().Servers) == 1 }, 3*time.Second, 5*time.Millisecond)
	gen := &generation{
		r: &request{g: g, ctx: ctx, service: "desk"}, relay: relay.New(time.Now()), sourceEnded: make(chan struct{}), lastID: 1,
		reservation: &reservation{server: balance.Server{ID: "source"}},
		standby:     g.balancers.newReservation("desk", balance.Server{ID: "standby", StartTime: 1}, balance.Request{Standby: true}),
	}
	gen.silence = g.newRetrySeries("desk")
	require.NoError(t, gen.silence.charge()(), "the first request because of a silence")
	require.True(t, gen.relay.Ask(time.Now()), "the migration asks its target")
	require.True(t, gen.hasStandby())
	assert.Nil(t, gen.askStandby())
	assert.True(t, g.balancers.hasRetryBudget("desk"), "the retry budget was charged for nothing")
}
