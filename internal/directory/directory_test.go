package directory

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
)

// clock is set by hand.
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

func leaving(id string) Change {
	c := ready(id)
	c.Backend.Leaving = true
	return c
}

func version(n int64) Change {
	return Change{Name: "main", Table: route.New(route.Document{Version: n})}
}

// An accepted configuration never goes back, whatever a later read says.
func TestConfigurationNeverGoesBack(t *testing.T) {
	d, _ := newDirectory(nil)
	for _, step := range []struct{ read, want int64 }{{3, 3}, {7, 7}, {5, 7}, {7, 7}, {8, 8}} {
		d.apply(Configuration, Batch{Changes: []Change{version(step.read)}}, true, 0)
		assert.Equal(t, step.want, d.Snapshot().Table.Version)
	}
	d.apply(Configuration, Batch{Changes: []Change{{Name: "main"}}}, true, 0)
	assert.Equal(t, int64(8), d.Snapshot().Table.Version, "one that is not understood changes nothing")
}

// The age of the configuration counts from when the call was sent, and a call
// that brought no configuration confirms none.
func TestConfigurationAge(t *testing.T) {
	d, c := newDirectory(nil)
	d.apply(Configuration, Batch{}, true, c.Now())
	_, known := d.ConfigurationAge()
	assert.False(t, known)
	sent := c.Now()
	c.advance(time.Second)
	d.apply(Configuration, Batch{Changes: []Change{version(1)}}, true, sent)
	age, known := d.ConfigurationAge()
	assert.True(t, known)
	assert.Equal(t, time.Second, age)
	c.advance(time.Minute) // a frozen host
	age, _ = d.ConfigurationAge()
	assert.Equal(t, 61*time.Second, age)
}

// A server that said it leaves gets no new work, also if a late read says
// otherwise; a new process under its id does.
func TestNoticeOfLeavingIsFinalForAProcess(t *testing.T) {
	d, _ := newDirectory(nil)
	d.apply(Backends, Batch{Changes: []Change{ready("a")}}, true, 0)
	assert.False(t, d.Snapshot().Servers["a"].Terminating())
	d.apply(Backends, Batch{Changes: []Change{leaving("a")}}, false, 0)
	d.apply(Backends, Batch{Changes: []Change{ready("a")}}, false, 0)
	assert.True(t, d.Snapshot().Servers["a"].Terminating())
	next := ready("a")
	next.Backend.StartTime = 2
	d.apply(Backends, Batch{Changes: []Change{next}}, false, 0)
	assert.False(t, d.Snapshot().Servers["a"].Terminating())
}

// Some servers never announce their end: their entry goes. The runs there are
// still moved, so the server stays known for a while.
func TestMissingEntries(t *testing.T) {
	d, c := newDirectory(nil)
	d.apply(Backends, Batch{Changes: []Change{ready("a"), ready("b"), ready("c")}}, true, 0)
	d.apply(Backends, Batch{Changes: []Change{{Name: "a", Deleted: true}, {Name: "b"}}}, false, 0)
	assert.True(t, d.Snapshot().Servers["a"].Removed)
	assert.True(t, d.Snapshot().Servers["b"].Removed, "an entry that cannot be read names no server")
	d.apply(Backends, Batch{}, true, 0)
	assert.True(t, d.Snapshot().Servers["c"].Removed, "a whole list drops what it does not hold")
	c.advance(goneRetention + 1)
	d.expire()
	assert.Empty(t, d.Snapshot().Servers)
}

// Pattern: entries lapse while the store is away. They get time to come back;
// what is still missing then is gone.
func TestEntriesThatLapsedDuringAnOutage(t *testing.T) {
	d, c := newDirectory(nil)
	d.apply(Backends, Batch{Changes: []Change{ready("back"), ready("lost")}}, true, 0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.failed(ctx, Backends, errors.New("outage"))
	c.advance(10 * time.Second)
	d.succeeded(Backends)
	d.apply(Backends, Batch{Changes: []Change{{Name: "back", Deleted: true}, {Name: "lost", Deleted: true}}}, false, 0)
	assert.False(t, d.Snapshot().Servers["back"].Terminating())
	assert.False(t, d.Snapshot().Servers["lost"].Terminating())
	c.advance(time.Second)
	d.apply(Backends, Batch{Changes: []Change{ready("back")}}, false, 0)
	c.advance(time.Second)
	d.expire()
	assert.False(t, d.Snapshot().Servers["back"].Terminating())
	assert.True(t, d.Snapshot().Servers["lost"].Terminating())
}

func TestDomainsAndReadiness(t *testing.T) {
	d, _ := newDirectory(nil)
	assert.False(t, d.Snapshot().Complete)
	d.apply(Backends, Batch{}, true, 0)
	d.apply(Configuration, Batch{Changes: []Change{version(1)}}, true, 0)
	assert.False(t, d.Snapshot().Complete, "a host that does not know which domains are out must not serve")
	d.apply(DomainsOut, Batch{Changes: []Change{{Name: "west-a"}}}, true, 0)
	assert.True(t, d.Snapshot().Complete)
	assert.True(t, d.Snapshot().DomainsOut["west-a"])
	d.apply(DomainsOut, Batch{Changes: []Change{{Name: "west-a", Deleted: true}}}, false, 0)
	assert.False(t, d.Snapshot().DomainsOut["west-a"])
	d.apply(DomainsOut, Batch{Changes: []Change{{Name: "east-a"}}}, true, 0)
	assert.Equal(t, map[string]bool{"east-a": true}, d.Snapshot().DomainsOut)
}

// A snapshot that a request holds must not change under it.
func TestSnapshotsDoNotChange(t *testing.T) {
	d, _ := newDirectory(nil)
	d.apply(Backends, Batch{Changes: []Change{ready("a")}}, true, 0)
	d.apply(DomainsOut, Batch{Changes: []Change{{Name: "x"}}}, true, 0)
	held := d.Snapshot()
	d.apply(Backends, Batch{Changes: []Change{ready("b"), leaving("a")}}, false, 0)
	d.apply(DomainsOut, Batch{Changes: []Change{{Name: "y"}}}, false, 0)
	assert.Len(t, held.Servers, 1)
	assert.False(t, held.Servers["a"].Leaving)
	assert.Equal(t, map[string]bool{"x": true}, held.DomainsOut)
}

// fakeStore answers from a script, call by call.
type fakeStore struct {
	mu      sync.Mutex
	watches []func() (Batch, error)
	lists   int
	hosts   Batch
	forgot  []string
}

func (f *fakeStore) List(_ context.Context, kind Kind, _ bool) (Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == Hosts {
		return f.hosts, nil
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

func (f *fakeStore) Register(context.Context, fleet.Host) error { return nil }

func (f *fakeStore) Unregister(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgot = append(f.forgot, id)
	return nil
}

// A watch that fails goes on where it was; only a lost history costs a list.
func TestWatchesListAgainOnlyWhenChangesWereMissed(t *testing.T) {
	store := &fakeStore{}
	store.watches = []func() (Batch, error){
		func() (Batch, error) { return Batch{Changes: []Change{ready("a")}}, nil },
		func() (Batch, error) { return Batch{}, errors.New("cut") },
		func() (Batch, error) { return Batch{Changes: []Change{ready("b")}}, nil },
		func() (Batch, error) { return Batch{}, ErrCompacted },
		func() (Batch, error) { return Batch{Changes: []Change{ready("c")}}, nil },
	}
	d, _ := newDirectory(store)
	d.opts.AbsenceGrace = 0 // no entry gets time to come back
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { d.follow(ctx, Backends); close(done) }()
	require.Eventually(t, func() bool { return d.Snapshot().Servers["c"] != nil }, 3*time.Second, time.Millisecond)
	cancel()
	<-done
	assert.Equal(t, 2, store.lists)
	assert.True(t, d.Snapshot().Servers["a"].Removed)
}

// Hosts that stopped registering no longer count, and their entries go.
func TestHostsThatStoppedRegistering(t *testing.T) {
	store := &fakeStore{}
	for id, age := range map[string]int64{"fresh": 5, "quiet": 90, "ancient": 10000} {
		h := fleet.Host{ID: id, HeartbeatTime: 1_000_000 - age}
		store.hosts.Changes = append(store.hosts.Changes, Change{Name: id, Host: &h})
	}
	d, _ := newDirectory(store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.registerLoop(ctx)
	require.Eventually(t, func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.forgot) > 0
	}, 3*time.Second, time.Millisecond)
	assert.Equal(t, "ancient", store.forgot[0])
	hosts := fmt.Sprint(d.Snapshot().Hosts)
	assert.Contains(t, hosts, "fresh")
	assert.NotContains(t, hosts, "quiet")
}
