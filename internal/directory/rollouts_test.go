package directory

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/fleet"
)

// requested is a request for a roll-out at a revision.
func requested(service, target string, revision int64) Change {
	return Change{Name: service, Revision: revision, Rollout: &fleet.Rollout{Service: service, Target: target, Ramp: 12 * time.Second, Created: 3, Revision: revision}}
}

// newRolloutRegion returns a store reader and a follower with roll-outs and the same state at revision 10.
func newRolloutRegion(t *testing.T) (reader, follower *Directory, c *clock) {
	t.Helper()
	reader, follower, c = newRegion(t)
	for _, d := range []**Directory{&reader, &follower} {
		opts := (*d).opts
		opts.Rollouts = true
		next := New(opts)
		next.SetStoreReader((*d).storeReader.Load())
		next.apply(Configuration, Batch{Changes: []Change{configuration(1)}, Revision: 10}, true, c.Now())
		next.apply(Backends, Batch{Changes: []Change{ready("a"), ready("b")}, Revision: 10}, true, c.Now())
		next.apply(DomainsOut, Batch{Revision: 10}, true, c.Now())
		next.apply(Rollouts, Batch{Changes: []Change{requested("m", "v2", 10)}, Revision: 10}, true, c.Now())
		*d = next
	}
	return reader, follower, c
}

// Guards against a roll-out that a host learns of late or never, or keeps after its removal: hosts would send a version different
// shares of the traffic, or requests after it was rolled back.
func TestRolloutsAreRelayed(t *testing.T) {
	reader, follower, c := newRolloutRegion(t)
	before := follower.Snapshot()
	running := requested("m", "v2", 12)
	running.Rollout.State, running.Rollout.StateTarget = fleet.RolloutRunning, "v2"
	reader.apply(Rollouts, Batch{Changes: []Change{running, requested("n", "v7", 13)}, Revision: 13}, false, c.Now())
	reader.RelayedUpdate() // lost
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.Equal(t, map[string]fleet.Rollout{"m": *running.Rollout, "n": *requested("n", "v7", 13).Rollout}, follower.Snapshot().Rollouts)
	assert.Equal(t, fleet.RolloutRequested, before.Rollouts["m"].State, "a snapshot does not change")
	assert.Equal(t, reader.Versions(), follower.Versions())

	reader.apply(Rollouts, Batch{Changes: []Change{{Name: "m", Deleted: true}}, Revision: 15}, false, c.Now())
	c.advance(changeRetention + 1) // all messages with the change are lost
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.Contains(t, follower.Snapshot().Rollouts, "m")
	follower.ApplyRelayed(reader.Missing(follower.Versions()), 0)
	assert.Equal(t, []string{"n"}, services(follower.Snapshot()))

	// A host that starts gets them from another one.
	starting := New(Options{Clock: c.Now, Log: reader.opts.Log, Rollouts: true})
	missing := reader.Missing(Versions{})
	starting.ApplyRelayed(missing, 0)
	assert.Equal(t, []string{"n"}, services(starting.Snapshot()))
	assert.True(t, starting.loaded[Rollouts])

	// The store removes what a list lacks.
	reader.apply(Rollouts, Batch{Revision: 20}, true, c.Now())
	assert.Empty(t, reader.Snapshot().Rollouts)
}

func services(s *Snapshot) (list []string) {
	for service := range s.Rollouts {
		list = append(list, service)
	}
	slices.Sort(list)
	return list
}

// Guards against hosts that keep different roll-outs, or different versions of a server, at the same revision, and against one
// that cannot write a status because it does not know the newest revision of the object.
func TestDifferentRolloutsAreRepaired(t *testing.T) {
	reader, follower, c := newRolloutRegion(t)
	follower.mu.Lock()
	follower.objects[Rollouts] = newObjectSet()
	follower.state.Rollouts = nil
	follower.publish()
	follower.mu.Unlock()
	require.True(t, reader.Versions().DiffersFrom(follower.Versions()))
	for range 2 {
		reader.CompareVersions(slices.Values([]Versions{follower.Versions()}))
		assert.False(t, follower.listIsDue(Rollouts))
		c.advance(differenceTolerance)
	}
	assert.True(t, reader.listIsDue(Rollouts), "the reader itself may lack something")
	follower.ApplyRelayed(reader.Missing(follower.Versions()), 0)
	assert.Equal(t, reader.Snapshot().Rollouts, follower.Snapshot().Rollouts)
	assert.Equal(t, reader.Versions(), follower.Versions())

	// The writing of an unknown field changes only the revision.
	reader.apply(Rollouts, Batch{Changes: []Change{requested("m", "v2", 14)}, Revision: 14}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.Equal(t, int64(14), follower.Snapshot().Rollouts["m"].Revision)

	next := ready("a")
	next.Backend.Version = "v2"
	reader.apply(Backends, Batch{Changes: []Change{next}, Revision: 16}, false, c.Now())
	assert.Equal(t, "v2", reader.Snapshot().Servers["a"].Version)
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.Equal(t, "v2", follower.Snapshot().Servers["a"].Version)
	assert.NotEqual(t, ready("a").digest(), next.digest())
}

// Guards against a roll-out that ends, and traffic that jumps, because someone wrote an object that cannot be used.
func TestUnusableRolloutsChangeNothing(t *testing.T) {
	reader, follower, c := newRolloutRegion(t)
	reader.apply(Rollouts, Batch{Changes: []Change{{Name: "m", Revision: 12}, {Name: "odd", Revision: 13}}, Revision: 13}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	for _, d := range []*Directory{reader, follower} {
		assert.Equal(t, map[string]fleet.Rollout{"m": *requested("m", "v2", 10).Rollout}, d.Snapshot().Rollouts)
	}
	assert.Equal(t, reader.Versions(), follower.Versions())
	reader.apply(Rollouts, Batch{Changes: []Change{{Name: "m", Deleted: true}}, Revision: 15}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	assert.Empty(t, follower.Snapshot().Rollouts)
}

// Guards against a host that takes new callers before it knows the roll-outs, and against one with a store reader that passes on
// none, such as one of an earlier build: it must read them itself.
func TestRolloutsAreReadBeforeServing(t *testing.T) {
	_, follower, c := newRolloutRegion(t)
	d := New(Options{Clock: c.Now, Log: follower.opts.Log, Rollouts: true})
	d.apply(Configuration, Batch{Changes: []Change{configuration(1)}, Revision: 10}, true, c.Now())
	d.apply(Backends, Batch{Revision: 10}, true, c.Now())
	d.apply(DomainsOut, Batch{Revision: 10}, true, c.Now())
	assert.False(t, d.Snapshot().Complete)
	d.apply(Rollouts, Batch{Revision: 10}, true, c.Now())
	assert.True(t, d.Snapshot().Complete)

	earlier, _, _ := newRegion(t)
	earlier.opts.Clock = c.Now
	follower.ApplyRelayed(earlier.RelayedUpdate(), c.Now())
	relayed, _ := follower.relayStatus(Backends)
	assert.True(t, relayed)
	relayed, _ = follower.relayStatus(Rollouts)
	assert.False(t, relayed)
	reader, _, _ := newRolloutRegion(t)
	reader.opts.Clock = c.Now
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	relayed, _ = follower.relayStatus(Rollouts)
	assert.True(t, relayed)
}

// kindStore records the kinds that are listed and watched.
type kindStore struct {
	fakeStore
	kindsMu sync.Mutex
	kinds   map[string]bool
}

func (f *kindStore) record(call string, kind Kind) {
	f.kindsMu.Lock()
	defer f.kindsMu.Unlock()
	f.kinds[call+" "+kind.String()] = true
}

func (f *kindStore) List(ctx context.Context, kind Kind, stale bool) (Batch, error) {
	f.record("list", kind)
	return f.fakeStore.List(ctx, kind, stale)
}

func (f *kindStore) Watch(ctx context.Context, kind Kind, after int64, timeout time.Duration) (Batch, error) {
	f.record("watch", kind)
	return f.fakeStore.Watch(ctx, kind, after, timeout)
}

// Guards against calls for roll-outs to the store of a deployment that has none, and against updates of others that such a host
// takes over or passes on.
func TestWithoutRolloutsNothingIsCalledOrRelayed(t *testing.T) {
	for _, on := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := &kindStore{kinds: map[string]bool{}}
			d, _ := newDirectory(store)
			d.opts.Rollouts = on
			start := time.Now()
			d.opts.Clock = func() time.Duration { return time.Hour + time.Since(start) }
			d = New(d.opts)
			d.SetStoreReader(true)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			d.Run(ctx)
			assert.Equal(t, on, store.kinds["list rollouts"])
			assert.Equal(t, on, store.kinds["watch rollouts"])
			assert.True(t, store.kinds["watch domains_out"])
		})
	}
	reader, _, c := newRolloutRegion(t)
	_, off, _ := newRegion(t)
	off.opts.Clock = c.Now
	off.ApplyRelayed(reader.Missing(Versions{}), 0)
	off.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	off.SetStoreReader(true)
	assert.Empty(t, off.Snapshot().Rollouts)
	assert.Zero(t, off.Versions().Rollouts)
	assert.Zero(t, off.RelayedUpdate().Rollouts)
	assert.Zero(t, off.Missing(Versions{}).Rollouts)
}
