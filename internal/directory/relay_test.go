package directory

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// region is a reader and a follower that know the same at revision 10.
func region(t *testing.T) (reader, follower *Directory, c *clock) {
	t.Helper()
	reader, c = newDirectory(nil)
	follower, _ = newDirectory(nil)
	follower.opts.Clock = c.Now
	for _, d := range []*Directory{reader, follower} {
		d.opts.WatchTimeouts = map[Kind]time.Duration{Configuration: time.Second}
		d.apply(Configuration, Batch{Changes: []Change{version(1)}, Revision: 10}, true, c.Now())
		d.apply(Backends, Batch{Changes: []Change{ready("a"), ready("b")}, Revision: 10}, true, c.Now())
		d.apply(DomainsOut, Batch{Revision: 10}, true, c.Now())
	}
	follower.SetStoreReader(false)
	return reader, follower, c
}

// Pattern: many hosts, few readers. What a reader sees reaches the others
// without a call of theirs, also if some messages are lost.
func TestChangesAreRelayed(t *testing.T) {
	reader, follower, c := region(t)
	assert.Nil(t, follower.RelayedUpdate(), "a follower relays nothing")
	reader.apply(Backends, Batch{Changes: []Change{leaving("a")}, Revision: 12}, false, c.Now())
	reader.RelayedUpdate() // lost
	reader.apply(Backends, Batch{Changes: []Change{{Name: "b", Deleted: true}}, Revision: 15}, false, c.Now())
	reader.apply(DomainsOut, Batch{Changes: []Change{{Name: "west-a"}}, Revision: 16}, false, c.Now())
	reader.apply(Backends, Batch{Revision: 20}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.True(t, follower.Snapshot().Servers["a"].Leaving)
	assert.True(t, follower.Snapshot().Servers["b"].Removed)
	assert.True(t, follower.Snapshot().DomainsOut["west-a"])
	assert.Equal(t, int64(20), follower.position(Backends), "a call of its own goes on from there")
	relayed, behind := follower.follows(Backends)
	assert.True(t, relayed)
	assert.False(t, behind)
}

// A host that missed changes for longer than they are repeated must not go on
// as if it knew them.
func TestMissedChangesCostACall(t *testing.T) {
	reader, follower, c := region(t)
	reader.apply(Backends, Batch{Changes: []Change{leaving("a")}, Revision: 12}, false, c.Now())
	c.advance(relayedChanges + 1)
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.False(t, follower.Snapshot().Servers["a"].Leaving)
	_, behind := follower.follows(Backends)
	assert.True(t, behind)
	follower.apply(Backends, Batch{Changes: []Change{leaving("a")}, Revision: 12}, false, c.Now())
	_, behind = follower.follows(Backends)
	assert.False(t, behind)
}

// A host that followed and becomes a reader vouches only for what it read.
func TestFollowersThatBecomeReaders(t *testing.T) {
	reader, follower, c := region(t)
	_, third, _ := region(t)
	third.opts.Clock = c.Now
	reader.apply(Backends, Batch{Changes: []Change{leaving("a")}, Revision: 12}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	follower.SetStoreReader(true)
	third.ApplyRelayed(follower.RelayedUpdate(), c.Now())
	_, behind := third.follows(Backends)
	assert.True(t, behind, "the third host lacks the change that the second was told")
}

// The age of a relayed confirmation counts from the message that the reader had
// got: a datagram may have waited anywhere.
func TestRelayedConfirmations(t *testing.T) {
	reader, follower, c := region(t)
	c.advance(4 * time.Second)
	reader.apply(Configuration, Batch{Revision: 30}, false, c.Now()-200*time.Millisecond)
	r := reader.RelayedUpdate()
	answers := c.Now() - 300*time.Millisecond
	c.advance(time.Second) // the message waits
	follower.ApplyRelayed(r, answers)
	age, _ := follower.ConfigurationAge()
	assert.Equal(t, 1501*time.Millisecond, age)
	follower.ApplyRelayed(r, answers-time.Second)
	age, _ = follower.ConfigurationAge()
	assert.Equal(t, 1501*time.Millisecond, age, "an older one takes nothing back")
}

// A newer configuration elsewhere confirms nothing: keys of the old one may be gone.
func TestNewerConfigurationsElsewhereConfirmNothing(t *testing.T) {
	reader, follower, c := region(t)
	c.advance(2 * time.Second)
	reader.apply(Configuration, Batch{Changes: []Change{version(2)}, Revision: 40}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	age, _ := follower.ConfigurationAge()
	assert.Equal(t, 2*time.Second, age)
	assert.True(t, follower.configurationBehind(Configuration))
	assert.Equal(t, int64(1), follower.Snapshot().Table.Version)
}

// A host whose relays fall silent, or whose reader lost the store, reads for itself.
func TestSilentRelays(t *testing.T) {
	reader, follower, c := region(t)
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	relayed, _ := follower.follows(Backends)
	require.True(t, relayed)
	c.advance(relaySilence)
	relayed, _ = follower.follows(Backends)
	assert.False(t, relayed)
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	relayed, _ = follower.follows(Backends)
	assert.True(t, relayed)
	for range 4 { // the reader goes on telling what it knew
		c.advance(relaySilence / 2)
		follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	}
	relayed, _ = follower.follows(Backends)
	assert.False(t, relayed)
}

// Entries that lapsed during an outage get time to come back at followers too.
func TestRelaysTellOfAnOutage(t *testing.T) {
	reader, follower, c := region(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	reader.failed(ctx, Backends, errors.New("outage"))
	assert.True(t, reader.RecentStoreFailure())
	c.advance(unfitFor)
	assert.False(t, reader.RecentStoreFailure())
	reader.succeeded(Backends)
	reader.apply(Backends, Batch{Changes: []Change{{Name: "a", Deleted: true}}, Revision: 30}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.False(t, follower.Snapshot().Servers["a"].Terminating())
	c.advance(2 * time.Second)
	follower.expire()
	assert.True(t, follower.Snapshot().Servers["a"].Terminating())
}
