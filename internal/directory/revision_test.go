package directory

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

func inEra(t *testing.T, era, revision int64) int64 {
	t.Helper()
	r, err := RevisionInEra(era, revision)
	require.NoError(t, err)
	return r
}

// Guards against revisions of a former era that count as newer than those of a later one, and against changed revisions of a
// store that names no era.
func TestRevisionsAreOrderedByEra(t *testing.T) {
	for _, revision := range []int64{1, 1 << 45, eraFlag - 1} {
		assert.Equal(t, revision, inEra(t, 0, revision))
		assert.Zero(t, EraOf(revision))
		assert.Equal(t, revision, StoreRevision(revision))
		assert.Less(t, revision, inEra(t, 1, 1))
	}
	assert.Less(t, inEra(t, 1, maxStoreRevision), inEra(t, 2, 1))
	for _, era := range []int64{1, 2, maxEra} {
		for _, revision := range []int64{0, 1, maxStoreRevision} {
			r := inEra(t, era, revision)
			assert.Equal(t, era, EraOf(r))
			assert.Equal(t, revision, StoreRevision(r))
		}
	}
	for _, c := range [][2]int64{{-1, 1}, {maxEra + 1, 1}, {1, -1}, {1, maxStoreRevision + 1}, {0, eraFlag}, {math.MaxInt64, math.MaxInt64}} {
		_, err := RevisionInEra(c[0], c[1])
		assert.Error(t, err, "%v", c)
	}
}

// Guards against a host that nobody knows for up to a minute since the store has lost its entry, and that is left out of the
// list of hosts before it could write the entry again.
func TestHostsWriteTheirEntriesAgainAfterStoreCameBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		d, c := newDirectory(store)
		ctx, cancel := context.WithCancel(t.Context())
		go d.registerLoop(ctx)
		synctest.Wait()
		require.Equal(t, 1, store.registered)
		hosts := func(revision int64, names ...string) Batch {
			b := Batch{Revision: revision}
			for _, name := range names {
				b.Changes = append(b.Changes, Change{Name: name, Host: &fleet.Host{ID: name}, Revision: revision})
			}
			return b
		}
		d.apply(Hosts, hosts(inEra(t, 1, 20), "a", "lost"), true, 1)
		wait.For(ctx, reregisterSpread)
		assert.Equal(t, 1, store.registered, "the first list begins no era")
		d.apply(Hosts, hosts(inEra(t, 2, 10), "a"), true, 1)
		assert.Contains(t, d.Snapshot().Hosts, "lost", "its entry may be written again")
		wait.For(ctx, reregisterSpread)
		synctest.Wait()
		assert.Equal(t, 2, store.registered)
		d.apply(Hosts, hosts(inEra(t, 2, 30), "a"), true, 1)
		assert.Contains(t, d.Snapshot().Hosts, "lost", "hosts do not learn of it at the same time")
		c.advance(lostEntryGrace)
		d.apply(Hosts, hosts(inEra(t, 2, 31), "a"), true, 1)
		assert.NotContains(t, d.Snapshot().Hosts, "lost", "its entry was not written again")
		cancel()
		synctest.Wait()
	})
}

// Guards against a server that is dropped before it could register again with a store that has lost its entry, at the host that
// reads the store and at those to which it relays.
func TestServersRegisterAgainAfterStoreCameBack(t *testing.T) {
	reader, follower, c := newRegion(t)
	for _, d := range []*Directory{reader, follower} {
		d.apply(Backends, Batch{Changes: []Change{ready("a"), ready("lost"), ready("ended")}, Revision: inEra(t, 1, 20)}, true, c.Now())
	}
	reader.apply(Backends, Batch{Changes: []Change{ready("a")}, Revision: inEra(t, 2, 5)}, true, c.Now())
	follower.ApplyRelayed(reader.Missing(follower.Versions()), c.Now())
	for _, d := range []*Directory{reader, follower} {
		assert.Equal(t, inEra(t, 2, 5), d.cursorOf(Backends))
		assert.False(t, d.Snapshot().Servers["lost"].Removed)
	}
	reader.apply(Backends, Batch{Changes: []Change{ready("lost")}, Revision: inEra(t, 2, 6)}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	c.advance(reader.opts.AbsenceGrace + time.Second)
	for _, d := range []*Directory{reader, follower} {
		d.expire()
		assert.False(t, d.Snapshot().Servers["lost"].Removed)
		assert.True(t, d.Snapshot().Servers["ended"].Removed)
	}
}

// Guards against a failure domain that gets new work although the operator has taken it out: the store has lost the entry, and the
// operator has had no time to write it again. One that the operator takes back in, in the present era, gets work at once.
func TestDomainsStayOutAfterStoreCameBack(t *testing.T) {
	reader, follower, c := newRegion(t)
	out := func(domain string) Change { return Change{Name: domain} }
	back := func(domain string) Change { return Change{Name: domain, Deleted: true} }
	both := []*Directory{reader, follower}
	assertOut := func(domains ...string) {
		t.Helper()
		expected := map[string]bool{}
		for _, name := range domains {
			expected[name] = true
		}
		for _, d := range both {
			d.expire()
			assert.Equal(t, expected, d.Snapshot().DomainsOut)
		}
	}
	read := func(full bool, revision int64, changes ...Change) {
		reader.apply(DomainsOut, Batch{Changes: changes, Revision: revision}, full, c.Now())
		if update := reader.Missing(follower.Versions()); update != nil {
			follower.ApplyRelayed(update, c.Now())
		}
		follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
		assert.Equal(t, revision, follower.cursorOf(DomainsOut))
	}
	read(true, inEra(t, 1, 20), out("kept"), out("again"), out("lost"))
	assertOut("kept", "again", "lost")
	read(true, inEra(t, 2, 5), out("kept"))
	assertOut("kept", "again", "lost")
	assert.Equal(t, reader.Versions(), follower.Versions())
	read(false, inEra(t, 2, 6), out("again"))
	read(false, inEra(t, 2, 7), back("kept"))
	assertOut("again", "lost")
	read(true, inEra(t, 2, 8), out("again"))
	assertOut("again", "lost")
	c.advance(lostEntryGrace)
	assertOut("again")
	read(false, inEra(t, 2, 9), back("again"))
	assertOut()
}

// Guards against a failure domain that stays out after the operator has taken it back in, because the store came back twice from a copy
// without its entry.
func TestDomainsThatStayOutReturnAfterTheFirstStoreReturn(t *testing.T) {
	d, c := newDirectory(nil)
	d.apply(DomainsOut, Batch{Changes: []Change{{Name: "west-a"}}, Revision: inEra(t, 1, 20)}, true, 0)
	d.apply(DomainsOut, Batch{Revision: inEra(t, 2, 5)}, true, 0)
	c.advance(lostEntryGrace / 2)
	d.apply(DomainsOut, Batch{Revision: inEra(t, 3, 5)}, true, 0)
	c.advance(lostEntryGrace/2 + time.Millisecond)
	d.expire()
	assert.Empty(t, d.Snapshot().DomainsOut)
}

// Guards against a host that has not heard of the store's return and teaches others the former state, or does not take over the
// present one from them.
func TestHostOfFormerEraTeachesNothing(t *testing.T) {
	former, present, c := newRegion(t)
	former.apply(Backends, Batch{Changes: []Change{ready("a"), ready("lost")}, Revision: inEra(t, 1, 50)}, true, c.Now())
	present.SetStoreReader(true)
	present.apply(Backends, Batch{Changes: []Change{ready("a")}, Revision: inEra(t, 1, 20)}, true, c.Now())
	present.apply(Backends, Batch{Changes: []Change{ready("a"), ready("added")}, Revision: inEra(t, 2, 10)}, true, c.Now())
	assert.Nil(t, former.Missing(present.Versions()))
	present.ApplyRelayed(former.RelayedUpdate(), c.Now())
	assert.NotContains(t, present.Snapshot().Servers, "lost")
	former.ApplyRelayed(present.Missing(former.Versions()), c.Now())
	assert.Contains(t, former.Snapshot().Servers, "added")
	assert.Equal(t, present.Versions(), former.Versions())
}

// Guards against a host that ignores what a host of an earlier build relays, which sends revisions without an era, or that sends it
// everything again and again.
func TestUpdatesWithoutEraAreOfPresentEra(t *testing.T) {
	earlier, host, c := newRegion(t)
	earlier.apply(Backends, Batch{Changes: []Change{ready("a"), ready("b")}, Revision: 20}, true, c.Now())
	host.apply(Backends, Batch{Changes: []Change{ready("a"), ready("b")}, Revision: inEra(t, 3, 20)}, true, c.Now())
	earlier.apply(Backends, Batch{Changes: []Change{terminating("a")}, Revision: 25}, false, c.Now())
	host.ApplyRelayed(earlier.RelayedUpdate(), c.Now())
	assert.True(t, host.Snapshot().Servers["a"].Leaving)
	assert.Equal(t, inEra(t, 3, 25), host.cursorOf(Backends))
	assert.Nil(t, host.Missing(earlier.Versions()))
}
