package directory

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/internal/wait"
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
	reader.SetStoreReader(true)
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
// for longer than these repeat the change, it must call the store, unless another host sends what it lacks.
func TestMissedChangesRequireAStoreCall(t *testing.T) {
	reader, follower, c := newRegion(t)
	reader.apply(Backends, Batch{Changes: []Change{terminating("a")}, Revision: 12}, false, c.Now())
	c.advance(changeRetention + 1)
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.False(t, follower.Snapshot().Servers["a"].Leaving)
	_, behind := follower.relayStatus(Backends)
	assert.False(t, behind, "other hosts may send it")
	c.advance(catchUpTime)
	_, behind = follower.relayStatus(Backends)
	assert.True(t, behind)
	follower.apply(Backends, Batch{Changes: []Change{terminating("a")}, Revision: 12}, false, c.Now())
	_, behind = follower.relayStatus(Backends)
	assert.False(t, behind)
}

// Guards against hosts that all call the store for changes that another host has: it sends each of them what it lacks,
// the changes while it knows them and all objects otherwise.
func TestHostsGetWhatTheyLack(t *testing.T) {
	for _, later := range []time.Duration{changeRetention + 1, logRetention + 1} {
		reader, follower, c := newRegion(t)
		reader.apply(Backends, Batch{Changes: []Change{terminating("a"), {Name: "b", Deleted: true}}, Revision: 12}, false, c.Now())
		c.advance(later)
		follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
		missing := reader.Missing(follower.Versions())
		require.NotNil(t, missing)
		assert.Equal(t, later > logRetention, missing.Backends.Full)
		follower.ApplyRelayed(missing, c.Now())
		assert.True(t, follower.Snapshot().Servers["a"].Leaving)
		assert.True(t, follower.Snapshot().Servers["b"].Removed)
		assert.Nil(t, reader.Missing(follower.Versions()))
		c.advance(catchUpTime)
		_, behind := follower.relayStatus(Backends)
		assert.False(t, behind)
	}
}

// Guards against hosts that all read the store when they start: they get everything from a host that has it.
func TestHostsStartFromTheStateOfAnother(t *testing.T) {
	reader, _, c := newRegion(t)
	store := &fakeStore{}
	starting, _ := newDirectory(store)
	starting.opts.Clock = c.Now
	reader.apply(Configuration, Batch{Changes: []Change{{Name: "main", Table: configuration(2).Table, Raw: []byte("2")}}, Revision: 11}, false, c.Now())
	reader.apply(DomainsOut, Batch{Changes: []Change{{Name: "west-a"}}, Revision: 12}, false, c.Now())
	reader.apply(Hosts, Batch{Changes: []Change{{Name: "h", Host: &fleet.Host{ID: "h"}}}, Revision: 13}, true, c.Now())
	assert.Equal(t, Versions{}, starting.Versions())
	starting.ApplyRelayed(reader.Missing(Versions{}), c.Now())
	starting.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	s := starting.Snapshot()
	assert.True(t, s.Complete)
	assert.Equal(t, int64(2), s.Table.Version)
	assert.Equal(t, reader.Snapshot().Servers, s.Servers)
	assert.Equal(t, reader.Snapshot().DomainsOut, s.DomainsOut)
	assert.Equal(t, reader.Snapshot().Hosts, s.Hosts)
	age, known := starting.ConfigurationAge()
	assert.True(t, known)
	assert.Less(t, age, 2*time.Millisecond)
	for _, kind := range relayedKinds {
		assert.True(t, starting.waitForFirst(t.Context(), kind))
	}
	assert.Zero(t, store.lists)
	// It passes on what it was sent.
	another, _ := newDirectory(store)
	another.ApplyRelayed(starting.Missing(Versions{}), c.Now())
	assert.Equal(t, s.Servers, another.Snapshot().Servers)
	assert.Equal(t, int64(2), another.Snapshot().Table.Version)
}

// Guards against lost changes when a follower becomes a store reader: it passes on the changes that were relayed to it.
func TestFollowersThatBecomeStoreReaders(t *testing.T) {
	reader, follower, c := newRegion(t)
	_, third, _ := newRegion(t)
	third.opts.Clock = c.Now
	reader.apply(Backends, Batch{Changes: []Change{terminating("a")}, Revision: 12}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	follower.SetStoreReader(true)
	third.ApplyRelayed(follower.RelayedUpdate(), c.Now())
	assert.True(t, third.Snapshot().Servers["a"].Leaving)
	assert.Equal(t, int64(12), third.Versions().Backends)
}

// Guards against all hosts calling the store in an outage: while an aggregator names the store readers, the others make
// no calls, however old the confirmation is; they do when they hear no aggregator.
func TestNamedReadersMakeTheCalls(t *testing.T) {
	reader, follower, c := newRegion(t)
	follower.SetReadersNamed(true)
	for range 20 {
		c.advance(relayTimeout / 2)
		follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
		relayed, _ := follower.relayStatus(Backends)
		assert.True(t, relayed)
	}
	age, _ := follower.ConfigurationAge()
	assert.Equal(t, 10*relayTimeout, age.Truncate(time.Second), "the confirmation is as old as it is")
	c.advance(relayTimeout)
	relayed, _ := follower.relayStatus(Backends)
	assert.False(t, relayed)
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

// Guards against changes that hosts which relay to each other repeat forever while others follow, so that their messages
// grow beyond a datagram: each change is relayed for a time after it was read.
func TestRelayedChangesAreNotRepeated(t *testing.T) {
	reader, second, c := newRegion(t)
	third, _, _ := newRegion(t)
	third.opts.Clock = c.Now
	all := []*Directory{reader, second, third}
	for _, d := range all[1:] {
		d.SetStoreReader(false)
		d.SetRelaying(true)
	}
	for step := range 200 {
		id := fmt.Sprint("new-", step)
		reader.apply(Backends, Batch{Changes: []Change{ready(id)}, Revision: int64(20 + step)}, false, c.Now())
		for _, from := range all {
			for _, to := range all {
				if from != to {
					to.ApplyRelayed(from.RelayedUpdate(), c.Now())
				}
			}
		}
		c.advance(50 * time.Millisecond)
	}
	for _, d := range all {
		assert.Equal(t, reader.Versions(), d.Versions())
		assert.Len(t, d.Snapshot().Servers, 202)
		assert.LessOrEqual(t, len(d.RelayedUpdate().Backends.Changes), int(changeRetention/(50*time.Millisecond))+1)
	}
}

// Guards against snapshots that change while requests use them, since a series of changes is applied to one copy.
func TestSnapshotsStayAsTheyWere(t *testing.T) {
	d, _ := newDirectory(nil)
	d.apply(Backends, Batch{Changes: []Change{ready("a")}, Revision: 1}, true, 0)
	d.apply(Hosts, Batch{Changes: []Change{{Name: "h", Host: &fleet.Host{ID: "h"}}}, Revision: 1}, true, 0)
	before := d.Snapshot()
	d.apply(Backends, Batch{Changes: []Change{ready("b"), terminating("a"), ready("c")}, Revision: 2}, false, 0)
	d.apply(Hosts, Batch{Changes: []Change{{Name: "h"}, {Name: "i", Host: &fleet.Host{ID: "i"}}}, Revision: 2}, false, 0)
	assert.Len(t, before.Servers, 1)
	assert.False(t, before.Servers["a"].Leaving)
	assert.Equal(t, map[string]fleet.Host{"h": {ID: "h"}}, before.Hosts)
	assert.Len(t, d.Snapshot().Servers, 3)
	assert.Equal(t, map[string]fleet.Host{"i": {ID: "i"}}, d.Snapshot().Hosts)
}

// slowStore responds to each call after a delay, and counts the lists.
type slowStore struct {
	fakeStore
	delay  time.Duration
	listed atomic.Int64
}

func (f *slowStore) List(ctx context.Context, kind Kind, stale bool) (Batch, error) {
	if !wait.For(ctx, f.delay) {
		return Batch{}, ctx.Err()
	}
	if kind != Hosts {
		f.listed.Add(1)
	}
	return f.fakeStore.List(ctx, kind, stale)
}

func (f *slowStore) Register(ctx context.Context, _ fleet.Host) error {
	wait.For(ctx, f.delay)
	return ctx.Err()
}

// Guards against hosts of a small deployment that all wait for each other after all of them were killed, and against
// hundreds of hosts that all read the store then, before they know of each other. Pattern: all hosts start again; the
// store is in another region, or does not respond.
func TestHostsWaitForOthersOnlyInLargeDeployments(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts int
		delay time.Duration
		// The host reads the store after more than earliest, and before latest.
		earliest, latest time.Duration
	}{
		{"small deployment", 9, 5 * time.Millisecond, 0, 100 * time.Millisecond},
		{"small deployment, store far away", 9, 130 * time.Millisecond, 0, 200*time.Millisecond + 130*time.Millisecond},
		{"large deployment", 60, 5 * time.Millisecond, startGrace, startGrace + 100*time.Millisecond},
		{"large deployment, store far away", 60, 130 * time.Millisecond, startGrace, startGrace + 200*time.Millisecond},
		{"large deployment, slow store", 60, 400 * time.Millisecond, startGrace, startGrace + 500*time.Millisecond},
		{"store does not respond", 60, time.Hour, hostsGrace, listTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &slowStore{delay: c.delay}
				for i := range c.hosts {
					store.hosts.Changes = append(store.hosts.Changes, Change{Name: fmt.Sprint("host-", i), Host: &fleet.Host{ID: fmt.Sprint("host-", i), HeartbeatTime: time.Now().Unix()}})
				}
				store.hosts.Revision = 1
				d, _ := newDirectory(store)
				start := time.Now()
				d.opts.Clock = func() time.Duration { return time.Hour + time.Since(start) }
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go d.Run(ctx)
				time.Sleep(c.earliest)
				assert.Zero(t, store.listed.Load(), "reads the store at once")
				time.Sleep(c.latest - c.earliest)
				if c.delay < listTimeout {
					assert.Equal(t, int64(3), store.listed.Load(), "has read the store")
				}
				cancel()
				synctest.Wait()
			})
		})
	}
	d, _ := newDirectory(nil)
	d.opts.FirstStart = true
	assert.Greater(t, d.startGrace(9), firstReadDelay)
}

// Guards against an outage that two hosts report to each other for ever, so that servers whose entries are gone keep
// getting requests, and against entries that stay missing for longer since the store fails once more.
func TestOutageEndsAtHostsThatRelayToEachOther(t *testing.T) {
	a, b, c := newRegion(t)
	b.SetStoreReader(false)
	b.SetRelaying(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.backOff(ctx, Backends, errors.New("outage"))
	a.recordSuccess(Backends)
	for range 30 {
		c.advance(100 * time.Millisecond)
		b.ApplyRelayed(a.RelayedUpdate(), c.Now())
		a.ApplyRelayed(b.RelayedUpdate(), c.Now())
	}
	a.apply(Backends, Batch{Changes: []Change{{Name: "a", Deleted: true}}, Revision: 30}, false, c.Now())
	assert.True(t, a.Snapshot().Servers["a"].Removed, "3 s after the outage")
	a.backOff(ctx, Backends, errors.New("outage"))
	a.recordSuccess(Backends)
	a.apply(Backends, Batch{Changes: []Change{{Name: "b", Deleted: true}}, Revision: 40}, false, c.Now())
	assert.False(t, a.Snapshot().Servers["b"].Removed, "it may register again")
	for range 4 {
		c.advance(500 * time.Millisecond)
		a.backOff(ctx, Backends, errors.New("outage"))
		a.recordSuccess(Backends)
		a.expire()
	}
	assert.True(t, a.Snapshot().Servers["b"].Removed, "2 s after its entry was missing")
}

// Guards against a notice that a store reader does not pass on, since it had it from the server itself before the store.
func TestNoticesThatTheReaderHadAreRelayed(t *testing.T) {
	reader, follower, c := newRegion(t)
	reader.MarkTerminating("a", 1, true, "load report")
	reader.apply(Backends, Batch{Changes: []Change{terminating("a")}, Revision: 12}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.True(t, follower.Snapshot().Servers["a"].Leaving)
}

// Guards against a late answer to a host's own call that brings back what relayed changes removed meanwhile: the host
// sent requests to a removed server, or into a domain out of service, for good.
func TestLateAnswersDoNotReplaceNewerRelayedChanges(t *testing.T) {
	out := func(deleted bool) Change { return Change{Name: "west-a", Deleted: deleted} }
	for name, answer := range map[string]struct {
		full                 bool
		backends, domainsOut Batch
	}{
		"watch": {false, Batch{Changes: []Change{ready("a")}, Revision: 11}, Batch{Changes: []Change{out(true)}, Revision: 14}},
		"list":  {true, Batch{Changes: []Change{ready("a"), ready("b")}, Revision: 11}, Batch{Revision: 14}},
		"watch that has the removal too": {
			false, Batch{Changes: []Change{ready("a"), {Name: "a", Deleted: true}}, Revision: 12}, Batch{Changes: []Change{out(true), out(false)}, Revision: 15},
		},
		"watch with later changes": {
			false, Batch{Changes: []Change{ready("a"), {Name: "a", Deleted: true}, ready("c")}, Revision: 20},
			Batch{Changes: []Change{out(true), out(false), {Name: "east-a"}}, Revision: 20},
		},
	} {
		t.Run(name, func(t *testing.T) {
			reader, follower, c := newRegion(t)
			for _, b := range []Batch{{Changes: []Change{ready("a")}, Revision: 11}, {Changes: []Change{{Name: "a", Deleted: true}}, Revision: 12}} {
				reader.apply(Backends, b, false, c.Now())
			}
			for i, deleted := range []bool{false, true, false} {
				reader.apply(DomainsOut, Batch{Changes: []Change{out(deleted)}, Revision: int64(13 + i)}, false, c.Now())
			}
			sent := c.Now()
			follower.ApplyRelayed(reader.RelayedUpdate(), sent)
			require.True(t, follower.Snapshot().Servers["a"].Removed)
			require.True(t, follower.Snapshot().DomainsOut["west-a"])
			c.advance(700 * time.Millisecond)
			// The host's calls failed when it was cut off.
			follower.recoveredAt = c.Now()
			follower.apply(Backends, answer.backends, answer.full, sent)
			follower.apply(DomainsOut, answer.domainsOut, answer.full, sent)
			assert.True(t, follower.Snapshot().Servers["a"].Removed, "the removed server is back")
			assert.True(t, follower.Snapshot().DomainsOut["west-a"], "the domain is back in service")
			assert.GreaterOrEqual(t, follower.cursorOf(Backends), int64(12))
			assert.Equal(t, reader.Snapshot().Servers["b"], follower.Snapshot().Servers["b"])
		})
	}
}

// Guards against followers that lose a server for good after an outage: its entry expired, it registered again while the
// store reader still waited for that, and the reader, for which nothing had changed, relayed the removal only.
func TestReturnAfterOutageIsRelayed(t *testing.T) {
	reader, follower, c := newRegion(t)
	last, _ := newDirectory(nil)
	last.opts.Clock = c.Now
	last.ApplyRelayed(reader.Missing(Versions{}), c.Now())
	follower.SetRelaying(true)
	reader.recoveredAt = c.Now()
	reader.apply(Backends, Batch{Changes: []Change{{Name: "a", Deleted: true}}, Revision: 12}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	last.ApplyRelayed(follower.RelayedUpdate(), c.Now())
	c.advance(time.Second)
	reader.apply(Backends, Batch{Changes: []Change{ready("a")}, Revision: 13}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	last.ApplyRelayed(follower.RelayedUpdate(), c.Now())
	c.advance(3 * time.Second)
	for name, d := range map[string]*Directory{"reader": reader, "follower": follower, "follower of the follower": last} {
		d.expire()
		assert.False(t, d.Snapshot().Servers["a"].Removed, name)
	}
}

// Guards against a host that passes on only what was new to it: another one may lack what this host knew already.
func TestRelayedChangesArePassedOnWhetherNewOrNot(t *testing.T) {
	reader, follower, c := newRegion(t)
	last, _ := newDirectory(nil)
	last.opts.Clock = c.Now
	last.ApplyRelayed(reader.Missing(Versions{}), c.Now())
	last.apply(Backends, Batch{Changes: []Change{{Name: "a", Deleted: true}}, Revision: 12}, false, c.Now())
	follower.SetRelaying(true)
	reader.apply(Backends, Batch{Changes: []Change{{Name: "a", Deleted: true}, ready("a")}, Revision: 13}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	last.ApplyRelayed(follower.RelayedUpdate(), c.Now())
	assert.False(t, last.Snapshot().Servers["a"].Removed)
}

// Guards against a host that forgets that a newer configuration exists, because of a message of a host that is as old as itself:
// it must read the store if no host sends it the configuration in time.
func TestHostsAsOldAsThisOneDoNotHideANewerConfiguration(t *testing.T) {
	_, follower, c := newRegion(t)
	newer, asOld := &RelayedUpdate{Version: 2}, &RelayedUpdate{Version: 1}
	for range 10 {
		follower.ApplyRelayed(newer, c.Now())
		follower.ApplyRelayed(asOld, c.Now())
		c.advance(catchUpTime / 5)
	}
	_, behind := follower.relayStatus(Configuration)
	assert.True(t, behind)
	follower.apply(Configuration, Batch{Changes: []Change{configuration(2)}, Revision: 11}, true, c.Now())
	follower.ApplyRelayed(asOld, c.Now())
	_, behind = follower.relayStatus(Configuration)
	assert.False(t, behind)
}
