package directory

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a host that ends in another state because changes of an object arrive in another order, or twice: merging them
// is commutative and idempotent.
func TestMergeDoesNotDependOnTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changes []Change
		for revision := range int64(rapid.IntRange(1, 8).Draw(t, "changes")) {
			c := ready(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"))
			c.Backend.StartTime = rapid.Int64Range(1, 2).Draw(t, "start")
			if rapid.Bool().Draw(t, "removed") {
				c = Change{Name: c.Name, Deleted: true}
			}
			c.Revision = revision + 1
			changes = append(changes, c)
		}
		inOrder, shuffled := newObjectSet(), newObjectSet()
		for _, c := range changes {
			inOrder.merge(c, 0, 0)
		}
		for _, c := range append(rapid.Permutation(changes).Draw(t, "order"), rapid.Permutation(changes).Draw(t, "again")...) {
			shuffled.merge(c, 0, 0)
		}
		require.Equal(t, inOrder.objects, shuffled.objects)
		require.Equal(t, inOrder.digest, shuffled.digest)
		sum := uint64(0)
		for _, o := range inOrder.objects {
			sum += o.digest()
		}
		require.Equal(t, sum, inOrder.digest)
	})
}

// Guards against removals that fill the memory, and against a forgotten one whose object comes back with a late message.
func TestRemovalsAreForgotten(t *testing.T) {
	d, c := newDirectory(nil)
	d.apply(Backends, Batch{Changes: []Change{ready("a"), ready("b")}, Revision: 1}, true, c.Now())
	late := Batch{Changes: []Change{ready("a")}, Revision: 2}
	d.apply(Backends, Batch{Changes: []Change{{Name: "a", Deleted: true}}, Revision: 3}, false, c.Now())
	c.advance(removalRetention + 1)
	d.expire()
	d.apply(Backends, Batch{Revision: 4}, false, c.Now())
	require.NotContains(t, d.objects[Backends].objects, "a")
	for _, full := range []bool{false, true} {
		d.apply(Backends, late, full, c.Now())
		assert.NotContains(t, d.Snapshot().Servers, "a")
	}
	set := newObjectSet()
	for revision := range int64(maxRemovals + 100) {
		set.merge(Change{Name: time.Duration(revision).String(), Deleted: true, Revision: revision + 1}, 0, 0)
		set.forget(0)
	}
	assert.Len(t, set.objects, maxRemovals)
	assert.LessOrEqual(t, len(set.removals), maxRemovals)
}

// Guards against a host that lacks a server, or has a removed one, although it has all changes: other hosts see that by its
// digest and send it all objects.
func TestHostsWithOtherObjectsAreRepaired(t *testing.T) {
	reader, follower, c := newRegion(t)
	reader.apply(Backends, Batch{Changes: []Change{{Name: "b", Deleted: true}}, Revision: 12}, false, c.Now())
	reader.apply(DomainsOut, Batch{Changes: []Change{{Name: "west-a"}}, Revision: 13}, false, c.Now())
	// The follower has lost changes without notice.
	follower.mu.Lock()
	follower.setServer("a", nil)
	follower.objects[Backends].digest -= follower.objects[Backends].objects["a"].digest()
	delete(follower.objects[Backends].objects, "a")
	follower.cursor[Backends], follower.cursor[DomainsOut] = 12, 13
	follower.publish()
	follower.mu.Unlock()
	require.True(t, reader.Versions().DiffersFrom(follower.Versions()))
	missing := reader.Missing(follower.Versions())
	require.NotNil(t, missing)
	assert.True(t, missing.Backends.Full)
	follower.ApplyRelayed(missing, 0)
	assert.Equal(t, reader.Versions(), follower.Versions())
	assert.False(t, follower.Snapshot().Servers["a"].Removed)
	assert.True(t, follower.Snapshot().Servers["b"].Removed)
	assert.True(t, follower.Snapshot().DomainsOut["west-a"])
	assert.Nil(t, reader.Missing(follower.Versions()))
}

// Guards against a store reader that lacks something itself: it lists the objects if others keep having other ones, while
// followers do not, and it does not list them again and again.
func TestReaderListsWhereDifferencesStay(t *testing.T) {
	reader, follower, c := newRegion(t)
	other := reader.Versions()
	other.BackendsDigest++
	newer := other
	newer.Backends++
	lists := 0
	compare := func(v Versions) bool {
		for _, d := range []*Directory{reader, follower} {
			d.CompareVersions(slices.Values([]Versions{v}))
		}
		assert.False(t, follower.listIsDue(Backends), "followers get what they lack from the reader")
		return reader.listIsDue(Backends)
	}
	assert.False(t, compare(newer))
	assert.False(t, compare(other))
	c.advance(differenceTolerance - 1)
	assert.False(t, compare(other), "a repair may be under way")
	assert.False(t, compare(newer), "the difference is gone")
	for range 60 {
		c.advance(time.Second)
		if compare(other) {
			lists++
			reader.apply(Backends, Batch{Changes: []Change{ready("a"), ready("b")}, Revision: 10}, true, c.Now())
		}
	}
	assert.Equal(t, 2, lists)
	assert.False(t, reader.listIsDue(DomainsOut))
}

// Guards against a list that was read to find what this host lacks, and is overtaken by a relayed change: unknown objects in it count
// for removed then, so that it is read again.
func TestOvertakenListIsReadAgain(t *testing.T) {
	reader, follower, c := newRegion(t)
	follower.mu.Lock()
	follower.setServer("a", nil)
	follower.objects[Backends].digest -= follower.objects[Backends].objects["a"].digest()
	delete(follower.objects[Backends].objects, "a")
	follower.publish()
	follower.mu.Unlock()
	follower.AskForBackends("m", "a")
	c.advance(catchUpTime)
	list := Batch{Changes: []Change{ready("a"), ready("b")}, Revision: 10}
	reader.apply(Backends, Batch{Changes: []Change{ready("c")}, Revision: 11}, false, c.Now())
	follower.ApplyRelayed(reader.RelayedUpdate(), c.Now())
	follower.apply(Backends, list, true, c.Now())
	assert.True(t, follower.listIsDue(Backends))
	list = Batch{Changes: append(list.Changes, ready("c")), Revision: 12}
	follower.apply(Backends, list, true, c.Now())
	assert.False(t, follower.listIsDue(Backends))
	assert.Contains(t, follower.Snapshot().Servers, "a")
}

// Guards against a host without servers of a service that rejects requests for as long as nothing changes in the store: it
// asks other hosts for all, and lists them itself if none of them sends them.
func TestHostWithoutServersAsks(t *testing.T) {
	reader, follower, c := newRegion(t)
	follower.AskForBackends("m", "a")
	assert.Zero(t, follower.Versions().Backends, "others send all objects")
	assert.NotZero(t, follower.Versions().DomainsOut)
	c.advance(catchUpTime - 1)
	assert.False(t, follower.listIsDue(Backends))
	follower.ApplyRelayed(reader.Missing(follower.Versions()), 0)
	assert.Equal(t, reader.Versions(), follower.Versions())
	c.advance(1)
	assert.False(t, follower.listIsDue(Backends))
	follower.AskForBackends("m", "a")
	assert.NotZero(t, follower.Versions().Backends, "not at once again")
	c.advance(askInterval)
	follower.AskForBackends("m", "a")
	c.advance(catchUpTime)
	assert.True(t, follower.listIsDue(Backends))
	follower.apply(Backends, Batch{Changes: []Change{ready("a"), ready("b")}, Revision: 10}, true, c.Now())
	assert.False(t, follower.listIsDue(Backends))
	assert.Equal(t, reader.Versions(), follower.Versions())
	assert.Equal(t, "2", follower.Metrics.Get("asked_for_backends").String())
}
