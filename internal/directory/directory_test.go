package directory

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// clock is a manual clock.
type clock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

func newDirectory(store Store) (*Directory, *clock) {
	c := &clock{now: time.Hour}
	return New(Options{Store: store, Clock: c.Now, Log: zerolog.Nop(), AbsenceGrace: 2 * time.Second}), c
}

func ready(id string) Change {
	return Change{Name: id, Backend: &fleet.Backend{ID: id, Service: "m", Address: id + ":1", StartTime: 1, Slots: 1}}
}

func terminating(id string) Change {
	c := ready(id)
	c.Backend.Leaving = true
	return c
}

func configuration(n int64) Change {
	return Change{Name: "main", Table: route.New(route.Document{Version: n})}
}

// Guards against a stale read that replaces a newer configuration by an older one.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	d, _ := newDirectory(nil)
	for _, step := range []struct{ read, want int64 }{{3, 3}, {7, 7}, {5, 7}, {7, 7}, {8, 8}} {
		d.apply(Configuration, Batch{Changes: []Change{configuration(step.read)}}, true, 0)
		assert.Equal(t, step.want, d.Snapshot().Table.Version)
	}
	d.apply(Configuration, Batch{Changes: []Change{{Name: "main"}}}, true, 0)
	assert.Equal(t, int64(8), d.Snapshot().Table.Version, "an unusable configuration changes nothing")
}

// Guards against a configuration that looks fresher than it is: its age counts from when
// the call was sent, and a call that returned no configuration confirms none.
func TestConfigurationAge(t *testing.T) {
	d, c := newDirectory(nil)
	d.apply(Configuration, Batch{}, true, c.Now())
	_, confirmed := d.ConfigurationAge()
	assert.False(t, confirmed)
	sent := c.Now()
	c.advance(time.Second)
	d.apply(Configuration, Batch{Changes: []Change{configuration(1)}}, true, sent)
	age, confirmed := d.ConfigurationAge()
	assert.True(t, confirmed)
	assert.Equal(t, time.Second, age)
	c.advance(time.Minute) // as if the host was suspended
	age, _ = d.ConfigurationAge()
	assert.Equal(t, 61*time.Second, age)
}

// Guards against new work for a terminating server: a late read must not withdraw the
// termination notice. A new process with the same ID gets work again.
func TestTerminationNoticeIsFinalForAProcess(t *testing.T) {
	d, _ := newDirectory(nil)
	d.apply(Backends, Batch{Changes: []Change{ready("a")}, Revision: 1}, true, 0)
	assert.False(t, d.Snapshot().Servers["a"].Terminating())
	d.apply(Backends, Batch{Changes: []Change{terminating("a")}, Revision: 2}, false, 0)
	d.apply(Backends, Batch{Changes: []Change{ready("a")}, Revision: 3}, false, 0)
	assert.True(t, d.Snapshot().Servers["a"].Terminating())
	next := ready("a")
	next.Backend.StartTime = 2
	d.apply(Backends, Batch{Changes: []Change{next}, Revision: 4}, false, 0)
	assert.False(t, d.Snapshot().Servers["a"].Terminating())
}

// Guards against a time of the termination notice that starts anew when the entry changes, is deleted or marked by the
// server itself, and against one that is kept by a server that registers again or by the next process.
func TestTimeOfTheTerminationNotice(t *testing.T) {
	for _, notice := range []string{"entry", "deleted entry", "server"} {
		d, c := newDirectory(nil)
		revision := int64(0)
		apply := func(change Change) time.Duration {
			revision++
			d.apply(Backends, Batch{Changes: []Change{change}, Revision: revision}, false, c.Now())
			return d.Snapshot().Servers["a"].TerminatingSince
		}
		deleted := Change{Name: "a", Deleted: true}
		assert.Zero(t, apply(ready("a")), notice)
		c.advance(time.Second)
		since := c.Now()
		switch notice {
		case "entry":
			assert.Equal(t, since, apply(terminating("a")))
		case "deleted entry":
			assert.Equal(t, since, apply(deleted))
			c.advance(time.Second)
			assert.Zero(t, apply(ready("a")), "the server registered again")
			continue
		case "server":
			assert.True(t, d.MarkTerminating("a", 1, true, "server"))
			assert.Equal(t, since, apply(ready("a")), "the entry is late")
		}
		c.advance(time.Second)
		assert.Equal(t, since, apply(deleted), notice)
		next := ready("a")
		next.Backend.StartTime = 2
		assert.Zero(t, apply(next), notice)
	}
}

// Guards against losing a server that ends without a termination notice: only its entry
// disappears. Its generations are still migrated, so the server stays in the snapshot
// for removedRetention.
func TestServersWithoutEntriesAreRemoved(t *testing.T) {
	d, c := newDirectory(nil)
	d.apply(Backends, Batch{Changes: []Change{ready("a"), ready("b"), ready("c")}, Revision: 1}, true, 0)
	d.apply(Backends, Batch{Changes: []Change{{Name: "a", Deleted: true}, {Name: "b"}}, Revision: 2}, false, 0)
	assert.True(t, d.Snapshot().Servers["a"].Removed)
	assert.True(t, d.Snapshot().Servers["b"].Removed, "a server with an unusable entry is removed")
	d.apply(Backends, Batch{Revision: 3}, true, 0)
	assert.True(t, d.Snapshot().Servers["c"].Removed, "a list removes the servers that it does not contain")
	c.advance(removedRetention + 1)
	d.expire()
	assert.Empty(t, d.Snapshot().Servers)
}

// Guards against the removal of healthy servers whose entries expired during a store
// outage. They may register again within AbsenceGrace; those still missing are removed.
func TestEntriesThatExpiredDuringAnOutage(t *testing.T) {
	d, c := newDirectory(nil)
	d.apply(Backends, Batch{Changes: []Change{ready("back"), ready("lost")}, Revision: 1}, true, 0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.backOff(ctx, Backends, errors.New("outage"))
	c.advance(10 * time.Second)
	d.recordSuccess(Backends)
	d.apply(Backends, Batch{Changes: []Change{{Name: "back", Deleted: true}, {Name: "lost", Deleted: true}}, Revision: 2}, false, 0)
	assert.False(t, d.Snapshot().Servers["back"].Terminating())
	assert.False(t, d.Snapshot().Servers["lost"].Terminating())
	c.advance(time.Second)
	d.apply(Backends, Batch{Changes: []Change{ready("back")}, Revision: 3}, false, 0)
	c.advance(time.Second)
	d.expire()
	assert.False(t, d.Snapshot().Servers["back"].Terminating())
	assert.True(t, d.Snapshot().Servers["lost"].Terminating())
}

// Guards against a snapshot that counts as complete before every kind was read, and
// against domains that stay out of service after their entry was deleted.
func TestDomainsAndCompleteness(t *testing.T) {
	d, _ := newDirectory(nil)
	assert.False(t, d.Snapshot().Complete)
	d.apply(Backends, Batch{Revision: 1}, true, 0)
	d.apply(Configuration, Batch{Changes: []Change{configuration(1)}, Revision: 2}, true, 0)
	assert.False(t, d.Snapshot().Complete, "a host must not serve before it has listed the domains out of service")
	d.apply(DomainsOut, Batch{Changes: []Change{{Name: "west-a"}}, Revision: 3}, true, 0)
	assert.True(t, d.Snapshot().Complete)
	assert.True(t, d.Snapshot().DomainsOut["west-a"])
	d.apply(DomainsOut, Batch{Changes: []Change{{Name: "west-a", Deleted: true}}, Revision: 4}, false, 0)
	assert.False(t, d.Snapshot().DomainsOut["west-a"])
	d.apply(DomainsOut, Batch{Changes: []Change{{Name: "east-a"}}, Revision: 5}, true, 0)
	assert.Equal(t, map[string]bool{"east-a": true}, d.Snapshot().DomainsOut)
}

// Guards against a snapshot that changes while a request uses it.
func TestSnapshotsAreImmutable(t *testing.T) {
	d, _ := newDirectory(nil)
	d.apply(Backends, Batch{Changes: []Change{ready("a")}, Revision: 1}, true, 0)
	d.apply(DomainsOut, Batch{Changes: []Change{{Name: "x"}}, Revision: 2}, true, 0)
	snapshot := d.Snapshot()
	d.apply(Backends, Batch{Changes: []Change{ready("b"), terminating("a")}, Revision: 3}, false, 0)
	d.apply(DomainsOut, Batch{Changes: []Change{{Name: "y"}}, Revision: 4}, false, 0)
	assert.Len(t, snapshot.Servers, 1)
	assert.False(t, snapshot.Servers["a"].Leaving)
	assert.Equal(t, map[string]bool{"x": true}, snapshot.DomainsOut)
}

// fakeStore is a Store that returns the scripted results of watches one after another.
type fakeStore struct {
	mu           sync.Mutex
	watches      []func() (Batch, error)
	lists        int
	hosts        Batch
	unregistered []string
	registered   int
}

func (f *fakeStore) List(_ context.Context, kind Kind, _ bool) (Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == Hosts {
		b := Batch{Revision: f.hosts.Revision}
		for _, c := range f.hosts.Changes { // the caller changes what it gets
			h := *c.Host
			b.Changes = append(b.Changes, Change{Name: c.Name, Host: &h})
		}
		return b, nil
	}
	f.lists++
	return Batch{Revision: int64(f.lists * 100)}, nil
}

func (f *fakeStore) Watch(ctx context.Context, _ Kind, after int64, _ time.Duration) (Batch, error) {
	f.mu.Lock()
	if len(f.watches) == 0 {
		f.mu.Unlock()
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	next := f.watches[0]
	f.watches = f.watches[1:]
	f.mu.Unlock()
	b, err := next()
	if err == nil {
		b.Revision = after + 1
	}
	return b, err
}

func (f *fakeStore) DecodeConfiguration(raw []byte) (*route.Table, error) {
	version, err := strconv.ParseInt(string(raw), 10, 64)
	return route.New(route.Document{Version: version}), err
}

func (f *fakeStore) Register(context.Context, fleet.Host) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registered++
	return nil
}

func (f *fakeStore) Unregister(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unregistered = append(f.unregistered, id)
	return nil
}

// Guards against needless lists: a failed watch continues at its revision, and only a
// compacted history requires a new list.
func TestWatchesListAgainOnlyWhenChangesWereMissed(t *testing.T) {
	store := &fakeStore{}
	store.watches = []func() (Batch, error){
		func() (Batch, error) { return Batch{Changes: []Change{ready("a")}}, nil },
		func() (Batch, error) { return Batch{}, errors.New("connection reset") },
		func() (Batch, error) { return Batch{Changes: []Change{ready("b")}}, nil },
		func() (Batch, error) { return Batch{}, ErrCompacted },
		func() (Batch, error) { return Batch{Changes: []Change{ready("c")}}, nil },
	}
	d, _ := newDirectory(store)
	d.opts.AbsenceGrace = 0 // missing entries are removed at once
	d.SetStoreReader(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { d.listAndWatch(ctx, Backends); close(done) }()
	require.Eventually(t, func() bool { return d.Snapshot().Servers["c"] != nil }, 3*time.Second, time.Millisecond)
	cancel()
	<-done
	assert.Equal(t, 2, store.lists)
	assert.True(t, d.Snapshot().Servers["a"].Removed)
}

// Guards against dead hosts that stay in the snapshot or in the store: a host without a
// recent heartbeat leaves the snapshot, and a stale entry is deleted.
func TestHostsThatStoppedRegistering(t *testing.T) {
	store := &fakeStore{}
	for id, age := range map[string]int64{"fresh": 5, "quiet": 200, "ancient": 10000} {
		h := fleet.Host{ID: id, HeartbeatTime: 1_000_000 - age}
		store.hosts.Changes = append(store.hosts.Changes, Change{Name: id, Host: &h})
	}
	d, _ := newDirectory(store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.registerLoop(ctx)
	go d.listHostsLoop(ctx)
	require.Eventually(t, func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.unregistered) > 0
	}, 3*time.Second, time.Millisecond)
	store.mu.Lock()
	assert.Equal(t, "ancient", store.unregistered[0])
	store.mu.Unlock()
	hosts := fmt.Sprint(d.Snapshot().Hosts)
	assert.Contains(t, hosts, "fresh")
	assert.NotContains(t, hosts, "quiet")
}

// Guards against the entry of a host from the far future, such as one of another writer: all other hosts would count
// as expired, and their entries be deleted.
func TestHeartbeatFromTheFutureDoesNotExpireOthers(t *testing.T) {
	now := time.Unix(1_777_945_397, 0)
	host := func(id string, heartbeat int64) Change {
		return Change{Name: id, Host: &fleet.Host{ID: id, PeerAddress: "10.1.0.1:7200", HeartbeatTime: heartbeat}}
	}
	batch := func() Batch {
		return Batch{Changes: []Change{
			host("a", now.Unix()), host("b", now.Unix()-30), host("odd", math.MaxInt64), host("past", math.MinInt64), host("stale", now.Unix()-3600),
		}}
	}
	var live []string
	for _, c := range liveHosts(batch(), now).Changes {
		live = append(live, c.Name)
	}
	assert.Equal(t, []string{"a", "b"}, live)
	assert.Equal(t, []string{"past", "stale"}, findStaleHosts(batch(), now))
}

// Guards against a store that all hosts of a large deployment call at each change, while they follow no store reader.
// Pattern: all hosts have started again during an outage of the store; when it ends, the backend servers register one
// after another.
func TestChangesDoNotMultiplyStoreCalls(t *testing.T) {
	for _, c := range []struct {
		name       string
		hosts      int
		reader     bool
		atMost, of int
	}{
		{"host of a large deployment", 295, false, 14, 100},
		{"host that does not know the others", 0, false, 14, 100},
		{"store reader of a large deployment", 295, true, 100, 100},
		{"host of a small deployment", 9, false, 100, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{}
				for i := range c.of {
					store.watches = append(store.watches, func() (Batch, error) {
						time.Sleep(10 * time.Millisecond)
						return Batch{Changes: []Change{ready(fmt.Sprint("server-", i))}}, nil
					})
				}
				d, _ := newDirectory(store)
				hosts := Batch{Revision: 1}
				for i := range c.hosts {
					hosts.Changes = append(hosts.Changes, Change{Name: fmt.Sprint("host-", i), Host: &fleet.Host{ID: fmt.Sprint("host-", i)}})
				}
				d.apply(Hosts, hosts, true, 0)
				d.SetStoreReader(c.reader)
				start := time.Now()
				d.opts.Clock = func() time.Duration { return time.Hour + time.Since(start) }
				ctx, cancel := context.WithTimeout(context.Background(), startGrace+2*time.Second)
				defer cancel()
				d.listAndWatch(ctx, Backends)
				calls := c.of - len(store.watches)
				assert.LessOrEqual(t, calls, c.atMost)
				const longestPause = followerPause * 3 / 2
				assert.GreaterOrEqual(t, calls, int(2*time.Second/(longestPause+10*time.Millisecond)), "changes are followed")
			})
		})
	}
}

// registeringStore lists the hosts that have registered.
type registeringStore struct {
	fakeStore
	delay time.Duration
}

func (f *registeringStore) Register(ctx context.Context, h fleet.Host) error {
	wait.For(ctx, f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts.Revision++
	f.hosts.Changes = []Change{{Name: h.ID, Host: &h}}
	return nil
}

// Guards against a host that divides shared bounds among hosts which it only assumes, since it listed all hosts before
// it had registered: it lists them again at once, and not after the interval.
func TestNewHostListsItselfOnceRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registeringStore{delay: 60 * time.Millisecond}
		d, _ := newDirectory(store)
		d.opts.Self = fleet.Host{ID: "new", PeerAddress: "10.1.0.1:7200"}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.registerLoop(ctx)
		go d.listHostsLoop(ctx)
		time.Sleep(30 * time.Millisecond)
		assert.Empty(t, d.Snapshot().Hosts)
		time.Sleep(50 * time.Millisecond)
		assert.Contains(t, d.Snapshot().Hosts, "new")
		cancel()
		synctest.Wait()
	})
}
