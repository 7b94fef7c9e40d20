package directory

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newRegion returns a store reader and a follower with the same state at revision 10.
func newRegion(t *testing.T) (reader, follower *Directory, c *clock) {
	t.Helper()
	reader, c = newDirectory(nil)
	follower, _ = newDirectory(nil)
	follower.opts.Clock = c.Now
	for _, d := range []*Directory{reader, follower} {
		d.opts.WatchTimeouts = map[Kind]time.Duration{Configuration: time.Second}
		d.apply(Configuration, Batch{Changes: []Change{configuration(1)}, Revision: 10}, true, c.Now())
		d.apply(Backends, Batch{Changes: []Change{ready("a"), ready("b")}, Revision: 10}, true, c.Now())
		d.apply(DomainsOut, Batch{Revision: 10}, true, c.Now())
	}
	follower.SetStoreReader(false)
	return reader, follower, c
}

// Guards against lost changes: those that a store reader reads must reach the followers
// without a store call of their own, even if some gossip messages are lost.
func TestChangesAreRelayed(t *testing.T) {
	reader, follower, c := newRegion(t)
	assert.Nil(t, follower.RelayedUpdate(), "a follower sends no relayed updates")
	reader.apply(Backends, Batch{Changes: []Change{terminating("a")}, Revision: 12}, false, c.Now())
	reader.RelayedUpdate() // lost
	reader.apply(Backends, Batch{Changes: []Change{{Name: "b", Deleted: true}}, Revision: 15}, false, c.Now())
	reader.apply(DomainsOut, Batch{Changes: []Change{{Name: "west-a"}}, Revision: 16}, false, c.Now())
	reader.apply(Backends, Batch{Revision: 20}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.True(t, follower.Snapshot().Servers["a"].Leaving)
	assert.True(t, follower.Snapshot().Servers["b"].Removed)
	assert.True(t, follower.Snapshot().DomainsOut["west-a"])
	assert.Equal(t, int64(20), follower.cursorOf(Backends), "a watch of its own continues from there")
	relayed, behind := follower.relayStatus(Backends)
	assert.True(t, relayed)
	assert.False(t, behind)
}

// Guards against a follower that stays without a change: if it missed the relayed updates
// for longer than these repeat the change, it must call the store.
func TestMissedChangesRequireAStoreCall(t *testing.T) {
	reader, follower, c := newRegion(t)
	reader.apply(Backends, Batch{Changes: []Change{terminating("a")}, Revision: 12}, false, c.Now())
	c.advance(changeRetention + 1)
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.False(t, follower.Snapshot().Servers["a"].Leaving)
	_, behind := follower.relayStatus(Backends)
	assert.True(t, behind)
	follower.apply(Backends, Batch{Changes: []Change{terminating("a")}, Revision: 12}, false, c.Now())
	_, behind = follower.relayStatus(Backends)
	assert.False(t, behind)
}

// Guards against lost changes when a follower becomes a store reader: its updates cover
// only the changes that it read from the store itself.
func TestFollowersThatBecomeStoreReaders(t *testing.T) {
	reader, follower, c := newRegion(t)
	_, third, _ := newRegion(t)
	third.opts.Clock = c.Now
	reader.apply(Backends, Batch{Changes: []Change{terminating("a")}, Revision: 12}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	follower.SetStoreReader(true)
	third.ApplyRelayed(follower.RelayedUpdate(), c.Now())
	_, behind := third.relayStatus(Backends)
	assert.True(t, behind, "the third host lacks the change that was relayed to the second")
}

// Guards against a configuration that looks fresher than it is because a datagram was
// delayed: the age of a relayed confirmation counts from the message that it echoes.
func TestRelayedConfirmationsCountFromTheEcho(t *testing.T) {
	reader, follower, c := newRegion(t)
	c.advance(4 * time.Second)
	reader.apply(Configuration, Batch{Revision: 30}, false, c.Now()-200*time.Millisecond)
	update := reader.RelayedUpdate()
	echoSentAt := c.Now() - 300*time.Millisecond
	c.advance(time.Second) // the message is delayed
	follower.ApplyRelayed(update, echoSentAt)
	age, _ := follower.ConfigurationAge()
	assert.Equal(t, 1501*time.Millisecond, age)
	follower.ApplyRelayed(update, echoSentAt-time.Second)
	age, _ = follower.ConfigurationAge()
	assert.Equal(t, 1501*time.Millisecond, age, "an older confirmation does not lower the confirmed time")
}

// Guards against revoked keys that stay valid: an update that names a newer configuration
// must not confirm the older one of this host.
func TestUpdatesWithANewerConfigurationConfirmNothing(t *testing.T) {
	reader, follower, c := newRegion(t)
	c.advance(2 * time.Second)
	reader.apply(Configuration, Batch{Changes: []Change{configuration(2)}, Revision: 40}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	age, _ := follower.ConfigurationAge()
	assert.Equal(t, 2*time.Second, age)
	assert.True(t, follower.configurationBehind(Configuration))
	assert.Equal(t, int64(1), follower.Snapshot().Table.Version)
}

// Guards against stale followers: one that receives no relayed updates, or only updates
// of a store reader whose calls fail, calls the store itself.
func TestFollowersWithoutRelayedUpdatesCallTheStore(t *testing.T) {
	reader, follower, c := newRegion(t)
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	relayed, _ := follower.relayStatus(Backends)
	require.True(t, relayed)
	c.advance(relayTimeout)
	relayed, _ = follower.relayStatus(Backends)
	assert.False(t, relayed)
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	relayed, _ = follower.relayStatus(Backends)
	assert.True(t, relayed)
	for range 4 { // the store reader repeats an old confirmation
		c.advance(relayTimeout / 2)
		follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	}
	relayed, _ = follower.relayStatus(Backends)
	assert.False(t, relayed)
}

// Guards against the removal of healthy servers at followers after a store outage: the
// updates report the outage, so that AbsenceGrace applies there too.
func TestRelayedUpdatesReportAnOutage(t *testing.T) {
	reader, follower, c := newRegion(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	reader.backOff(ctx, Backends, errors.New("outage"))
	assert.True(t, reader.RecentStoreFailure())
	c.advance(storeFailureMemory)
	assert.False(t, reader.RecentStoreFailure())
	reader.recordSuccess(Backends)
	reader.apply(Backends, Batch{Changes: []Change{{Name: "a", Deleted: true}}, Revision: 30}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.False(t, follower.Snapshot().Servers["a"].Terminating())
	c.advance(2 * time.Second)
	follower.expire()
	assert.True(t, follower.Snapshot().Servers["a"].Terminating())
}

// Guards against a store reader whose messages fill its link: a change was repeated for 2 s, in twelve messages to each
// host of a region.
func TestChangesAreRelayedForRelayTime(t *testing.T) {
	reader, _, c := newRegion(t)
	reader.opts.RelayTime = func() time.Duration { return 800 * time.Millisecond }
	reader.apply(Backends, Batch{Changes: []Change{terminating("a")}, Revision: 12}, false, c.Now())
	c.advance(800 * time.Millisecond)
	assert.Len(t, reader.RelayedUpdate().Backends.Changes, 1)
	c.advance(1)
	update := reader.RelayedUpdate().Backends
	assert.Empty(t, update.Changes)
	assert.Equal(t, int64(12), update.After, "a follower that missed the change detects it")
}
