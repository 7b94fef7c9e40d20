package membership

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"monsoonkeel.example/monsoonkeel/core/coldstart"
	"monsoonkeel.example/monsoonkeel/core/view"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/platformtest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes CI runs reproducible; flags override it.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "800", "rapid.steps": "60"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// hostList is the host list that one host reads; it may differ from those of others.
type hostList struct{ hosts []platform.Host }

func (l *hostList) Hosts(context.Context) ([]platform.Host, error) { return l.hosts, nil }

// storeLink is one host's connection to the object API.
type storeLink struct {
	*platformtest.Store
	partitioned bool
}

func (l *storeLink) Get(ctx context.Context, key string) (platform.Object, error) {
	if l.partitioned {
		return platform.Object{}, platform.ErrUnavailable
	}
	return l.Store.Get(ctx, key)
}

func (l *storeLink) Put(ctx context.Context, key string, expected platform.Version, value []byte) (platform.Version, error) {
	if l.partitioned {
		return 0, platform.ErrUnavailable
	}
	return l.Store.Put(ctx, key, expected, value)
}

// testHost is one daemon, whose clock may drift.
type testHost struct {
	*Manager
	list      *hostList
	link      *storeLink
	clockRate float64
	off       bool // stopped, paused or disconnected from its peers
	inFlight  int
	// configAt is the time of the newest configuration confirmation on the host's clock.
	configAt time.Time
}

// testCell simulates the hosts of a cell and their object API.
type testCell struct {
	now       time.Time
	store     *platformtest.Store
	testHosts []*testHost
}

func entry(i int) platform.Host {
	return platform.Host{ID: fmt.Sprint("host-", i), Role: platform.RoleEntry, PeerAddress: "p", State: platform.HostLive, Incarnation: "1"}
}

func newTestCell(n int) *testCell {
	c := &testCell{now: time.Unix(1e6, 0), store: platformtest.NewStore()}
	hosts := make([]platform.Host, n)
	for i := range n {
		hosts[i] = entry(i)
		c.testHosts = append(c.testHosts, &testHost{list: &hostList{hosts: hosts}, link: &storeLink{Store: c.store}, clockRate: 1})
		c.restart(i)
	}
	return c
}

func (c *testCell) clock(n *testHost) time.Time {
	return time.Unix(1e6, 0).Add(time.Duration(float64(c.now.Sub(time.Unix(1e6, 0))) * n.clockRate))
}

func (c *testCell) restart(i int) {
	n := c.testHosts[i]
	n.inFlight, n.configAt = 0, time.Time{}
	n.Manager = New(Config{Self: entry(i), Cells: 1, Store: n.link, Hosts: n.list, Log: zerolog.Nop(),
		Now: func() time.Time { return c.clock(n) },
		ConfigAge: func(now time.Time) (time.Duration, bool) {
			return now.Sub(n.configAt), !n.configAt.IsZero()
		}})
}

func (c *testCell) refresh(n *testHost) {
	n.ReadHosts(context.Background())
	n.RefreshView(context.Background())
	if _, err := n.link.Get(context.Background(), "config"); err == platform.ErrNotFound {
		n.configAt = c.clock(n)
	}
}

// sync simulates a Sync call from a to b as package peers makes it.
func (c *testCell) sync(t require.TestingT, a, b *testHost) {
	if a.off || b.off {
		a.RecordSyncFailure(b.Self())
		return
	}
	b.RecordSyncRequest(a.Self(), a.Draining())
	sentAt, now := c.clock(a), c.clock(b)
	epoch, age, known := b.ViewAge(now)
	var encoded []byte
	if epoch > a.View().Epoch {
		encoded = b.View().Encode()
	}
	require.NoError(t, a.ApplyPeerView(epoch, view.Age{Known: known, Value: age}, encoded, sentAt))
	configAge := view.Age{Known: !b.configAt.IsZero(), Value: now.Sub(b.configAt)}
	if at := sentAt.Add(-configAge.Value); configAge.Known && at.After(a.configAt) {
		a.configAt = at
	}
	a.RecordSyncResponse(b.Self(), sentAt, configAge, b.Draining())
}

// advanceSecond advances the time by 1 s. Then every host refreshes its view and syncs
// with all others, except hosts that are off but connected to the object API.
func (c *testCell) advanceSecond(t require.TestingT) {
	c.now = c.now.Add(time.Second)
	for _, n := range c.testHosts {
		for _, m := range c.testHosts {
			switch {
			case n.off && !n.link.partitioned:
			case m == n:
				c.refresh(n)
			default:
				c.sync(t, n, m)
			}
		}
	}
}

func (c *testCell) stabilize(t require.TestingT) { // Longer than a takeover and the wait until new slots are usable.
	for range 8 {
		c.advanceSecond(t)
	}
}

// Guards against a cell that loses its view when responses to writes are lost or the
// renewer fails, and against members whose lease expires until another one takes over.
func TestViewSurvivesLostResponsesAndRenewerFailure(t *testing.T) {
	c := newTestCell(4)
	c.store.SetFaults(platformtest.Faults{LoseWriteResponses: 1})
	c.stabilize(t)
	c.store.SetFaults(platformtest.Faults{DropWrites: 1})
	c.stabilize(t)
	v := c.testHosts[0].View()
	require.Len(t, v.Members, 4)
	for _, n := range c.testHosts {
		require.Equal(t, v.Epoch, n.View().Epoch)
		require.True(t, n.LeaseValid(c.now))
	}
	dead := 0
	for i, n := range c.testHosts {
		if n.Self() == v.Renewer {
			n.off, dead = true, i
		}
	}
	for range 12 {
		c.advanceSecond(t)
		for i, n := range c.testHosts {
			require.True(t, i == dead || n.LeaseValid(c.now), "lease expired while the renewer changed")
		}
	}
	require.False(t, c.testHosts[dead].LeaseValid(c.now))
	next := c.testHosts[(dead+1)%4].View()
	require.Len(t, next.Members, 3)
	require.NotEqual(t, v.Renewer, next.Renewer)
	c.restart(dead)
	c.testHosts[dead].off = false
	c.stabilize(t)
	require.Len(t, c.testHosts[(dead+1)%4].View().Members, 4)
}

// Guards against a host that still accepts requests 3 s after it lost the connection to
// the object API and to its peers.
func TestPartitionedHostRejectsWithin3s(t *testing.T) {
	c := newTestCell(5)
	c.stabilize(t)
	n := c.testHosts[2]
	require.Equal(t, view.Fresh, n.Freshness(c.now))
	n.off, n.link.partitioned = true, true
	partitionedAt := c.now
	for _, after := range []time.Duration{0, time.Second, 2 * time.Second} {
		require.True(t, n.Freshness(partitionedAt.Add(after)).MayServe(), "%v after the partition", after)
	}
	for range 4 {
		c.advanceSecond(t)
		require.Equal(t, c.now.Sub(partitionedAt) < 3*time.Second, n.Freshness(c.now).MayServe(), "%v after the partition", c.now.Sub(partitionedAt))
	}
	require.Equal(t, view.Fresh, c.testHosts[0].Freshness(c.now))
	n.off = false
	c.advanceSecond(t)
	require.Equal(t, view.Fresh, n.Freshness(c.now), "a peer relays the confirmation")
}

// Guards against a store outage that makes all hosts reject requests, also at the moment
// when the last confirmations expire.
func TestFleetOutageKeepsServing(t *testing.T) {
	c := newTestCell(5)
	c.stabilize(t)
	c.store.SetFaults(platformtest.Faults{Down: true})
	for range 20 {
		c.advanceSecond(t)
		for _, n := range c.testHosts {
			for ms := range 10 {
				at := c.now.Add(time.Duration(ms) * 100 * time.Millisecond)
				require.True(t, n.Freshness(at).MayServe(), "%s at %v", n.Self(), at)
			}
		}
	}
	require.Equal(t, view.FleetOutage, c.testHosts[0].Freshness(c.now))
	require.False(t, c.testHosts[0].LeaseValid(c.now), "the lease has expired, so no cold slot is used during the outage")
	c.testHosts[0].off = true
	c.testHosts[1].off = true
	c.stabilize(t)
	require.True(t, c.testHosts[2].Freshness(c.now).MayServe(), "3 of 5 are a majority")
	c.testHosts[2].off = true
	c.stabilize(t)
	require.False(t, c.testHosts[3].Freshness(c.now).MayServe(), "2 of 5 are no majority")
}

var coldLimits = coldstart.Limits{Cold: 4, Warm: 64}

func idleReport(seq uint64) platform.LoadReport {
	return platform.LoadReport{Incarnation: "i", Sequence: seq}
}

// Guards against a host that uses cold slots after its lease expired while the process
// was paused.
func TestPausedHostUsesNoSlot(t *testing.T) {
	c := newTestCell(1)
	c.stabilize(t)
	n := c.testHosts[0]
	n.ObserveLoad("b", coldLimits, 0, idleReport(1), c.now, 0)
	limit, until := n.Limit("b", c.now)
	require.Equal(t, 4, limit)
	require.Equal(t, c.now.Add(2970*time.Millisecond), until)
	c.now = c.now.Add(3 * time.Second) // The process is paused.
	limit, _ = n.Limit("b", c.now)
	require.Zero(t, limit)
	c.advanceSecond(t)
	limit, _ = n.Limit("b", c.now)
	require.Equal(t, 4, limit)
}

// Guards against two hosts that keep renewing the view at the same time, and against a
// view that is lost with its object.
func TestTwoRenewersAndLostObject(t *testing.T) {
	c := newTestCell(3)
	c.stabilize(t)
	a, b := c.testHosts[0], c.testHosts[1]
	a.mu.Lock()
	b.mu.Lock()
	b.version, b.versionKnown, b.current.Renewer = a.version, true, b.cfg.Self.ID
	a.versionKnown, a.current.Renewer = true, a.cfg.Self.ID
	a.mu.Unlock()
	b.mu.Unlock()
	c.stabilize(t)
	require.Equal(t, a.View().Renewer, b.View().Renewer)
	require.Equal(t, a.View().Epoch, b.View().Epoch)

	obj, err := c.store.Get(context.Background(), "view/0")
	require.NoError(t, err)
	require.NoError(t, c.store.Delete(context.Background(), "view/0", obj.Version))
	epochBefore := a.View().Epoch
	c.stabilize(t)
	require.GreaterOrEqual(t, a.View().Epoch, epochBefore)
	require.True(t, a.LeaseValid(c.now))
	require.Len(t, a.View().Members, 3)
}

// Guards against a lagging host list that makes a host live again that is shutting down.
func TestLeavingStateIsKeptWithinAnIncarnation(t *testing.T) {
	c := newTestCell(3)
	c.stabilize(t)
	n := c.testHosts[0]
	c.testHosts[1].SetDraining()
	c.stabilize(t)
	require.Equal(t, platform.HostLeaving, n.Hosts()[1].State, "the host is still live in the host list")
	require.False(t, n.View().Has("host-1"))
	oldList := n.list.hosts
	n.list.hosts = append([]platform.Host(nil), oldList...)
	n.list.hosts[1].Incarnation = "2"
	n.ReadHosts(context.Background())
	require.Equal(t, platform.HostLive, n.Hosts()[1].State)
	n.list.hosts = oldList
	n.ReadHosts(context.Background())
	require.Equal(t, platform.HostLeaving, n.Hosts()[1].State, "a lagging host list contains the old incarnation again")
}

// Guards the object API against a watch by every host.
func TestAtMost3WatchersPerRegion(t *testing.T) {
	c := newTestCell(8)
	c.stabilize(t)
	watchers := 0
	for _, n := range c.testHosts {
		if n.IsWatcher() {
			watchers++
		}
	}
	require.Equal(t, 3, watchers)
}

// Guards against members that read the view object although the renewer could confirm the
// view, and against a renewer that every member calls every second.
func TestRenewerIsSyncedOnlyForAnOldConfirmation(t *testing.T) {
	c := newTestCell(3)
	c.stabilize(t)
	renewer := c.testHosts[0].View().Renewer
	for _, n := range c.testHosts {
		now := c.clock(n)
		require.NoError(t, n.ApplyPeerView(n.View().Epoch, view.Age{Known: true}, nil, now))
		_, due := n.RenewerToSync(now.Add(syncRenewerAge - time.Millisecond))
		require.False(t, due)
		h, due := n.RenewerToSync(now.Add(syncRenewerAge))
		require.Equal(t, n.Self() != renewer, due)
		if due {
			require.Equal(t, renewer, h.ID)
		}
	}
	fresh := New(Config{Self: entry(9), Cells: 1, Log: zerolog.Nop()})
	_, due := fresh.RenewerToSync(c.now)
	require.False(t, due, "there is no view yet")
}

// Guards the object API against too many watches: in a deployment of many cells, each
// region of a cell has one watcher.
func TestWatchersOfManyCells(t *testing.T) {
	for cells, want := range map[int]int{1: 3, multiWatcherCells: 3, multiWatcherCells + 1: 1, 55: 1} {
		var hosts []platform.Host
		var ids []string
		for i := 0; len(hosts) < 24; i++ {
			id := fmt.Sprintf("host-%05d", i)
			if view.CellOf(id, cells) != 0 {
				continue
			}
			hosts = append(hosts, platform.Host{ID: id, Role: platform.RoleEntry, Region: fmt.Sprint("region-", len(hosts)%3)})
			ids = append(ids, id)
		}
		watchers := map[string]int{}
		for _, h := range hosts {
			m := New(Config{Self: h, Cells: cells, Log: zerolog.Nop()})
			m.hosts, m.current = hosts, view.View{Cell: "0", Epoch: 1, Members: ids}
			if m.IsWatcher() {
				watchers[h.Region]++
			}
		}
		require.Equal(t, map[string]int{"region-0": want, "region-1": want, "region-2": want}, watchers, "%d cells", cells)
	}
}

// Guards against heartbeats that grow with the number of cold backend servers, and against
// a host that joins late and never receives an old sighting.
func TestOldSightingsAreSentInRotation(t *testing.T) {
	c := newTestCell(2)
	c.stabilize(t)
	n, sent := c.testHosts[0], map[string]bool{}
	for i := range 7 {
		id := fmt.Sprint("b", i)
		n.ObserveLoad(id, coldLimits, 0, idleReport(1), c.now, 0)
		require.True(t, n.RecordCold(ColdSighting{Backend: id, At: c.now}))
	}
	require.Len(t, n.ColdSightings(false), 7)
	require.False(t, n.RecordSyncRequest("host-1", false))
	c.now = c.now.Add(11 * time.Second)
	require.True(t, n.RecordSyncRequest("host-1", false))
	require.Len(t, n.ColdSightings(true), 7)
	for range 4 {
		old := n.ColdSightings(false)
		require.Len(t, old, 2)
		sent[old[0].Backend], sent[old[1].Backend] = true, true
	}
	require.Len(t, sent, 7)
	require.Len(t, n.Status(c.now).Backends, 7)
}

// Guards against a renewal interval other than 1 s. The test runs in virtual time.
func TestRunRenewsOncePerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		m := New(Config{Self: entry(0), Cells: 1, Store: store, Hosts: &hostList{hosts: []platform.Host{entry(0)}}, Now: time.Now,
			ConfigAge: func(time.Time) (time.Duration, bool) { return 0, false }, Log: zerolog.Nop()})
		ctx, cancel := context.WithTimeout(t.Context(), 10500*time.Millisecond)
		defer cancel()
		require.NoError(t, m.Run(ctx))
		writes, _ := store.Counts()
		require.Equal(t, 11, writes)
		require.True(t, m.LeaseValid(time.Now()))
		require.EqualValues(t, 11, m.View().RenewalCount)
	})
}

// Guards against hosts that together exceed the cold limit of a backend server, under
// different host lists, drifting clocks, pauses, restarts, partitions, lost responses and
// lagging reports.
func TestColdLimitHoldsAcrossHosts(t *testing.T) {
	sent := 0
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		c := newTestCell(n)
		for _, host := range c.testHosts {
			host.clockRate = rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "rate")
		}
		type sample struct {
			at      time.Time
			running int
		}
		backend, reports, seq, used := []int{}, []sample{}, uint64(0), 0
		pick := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "node") }
		recordSample := func() { reports = append(reports, sample{c.now, len(backend)}) }
		observe := func(host *testHost, s sample) {
			seq++
			r := idleReport(seq)
			r.Running, r.AgeMS = s.running, c.now.Sub(s.at).Milliseconds()
			host.ObserveLoad("b", coldLimits, 0, r, c.clock(host), host.inFlight)
		}
		send := func(i, most int) {
			host := c.testHosts[i]
			limit, _ := host.Limit("b", c.clock(host))
			for ; most > 0 && host.inFlight < limit; most-- {
				host.inFlight++
				used++
				backend = append(backend, i)
			}
		}
		drain := func() {
			for _, owner := range backend {
				if owner >= 0 {
					c.testHosts[owner].inFlight--
				}
			}
			backend = nil
		}
		if rapid.Bool().Draw(t, "settled") {
			c.stabilize(t)
			recordSample()
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"second": func(t *rapid.T) { c.advanceSecond(t) },
			"work": func(t *rapid.T) {
				busy := rapid.Bool().Draw(t, "busy")
				for range rapid.IntRange(1, 14).Draw(t, "seconds") {
					c.advanceSecond(t)
					if !busy {
						drain()
					}
					recordSample()
					for i, host := range c.testHosts {
						if !host.off {
							observe(host, reports[len(reports)-1])
							send(i, 4)
						}
					}
				}
			},
			"drain": func(*rapid.T) { drain() },
			"heal": func(*rapid.T) {
				c.store.SetFaults(platformtest.Faults{})
				for _, host := range c.testHosts {
					host.off, host.link.partitioned = false, false
				}
			},
			"step":   func(t *rapid.T) { c.refresh(c.testHosts[pick(t)]) },
			"sync":   func(t *rapid.T) { c.sync(t, c.testHosts[pick(t)], c.testHosts[pick(t)]) },
			"toggle": func(t *rapid.T) { x := c.testHosts[pick(t)]; x.off = !x.off },
			"cut":    func(t *rapid.T) { x := c.testHosts[pick(t)]; x.link.partitioned = !x.link.partitioned },
			"list": func(t *rapid.T) {
				x := c.testHosts[pick(t)]
				x.list.hosts = nil
				for i := range n {
					if h := entry(i); rapid.Bool().Draw(t, "listed") {
						if rapid.IntRange(0, 3).Draw(t, "leaving") == 0 {
							h.State = platform.HostLeaving
							h.Incarnation = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation")
						}
						x.list.hosts = append(x.list.hosts, h)
					}
				}
			},
			"faults": func(t *rapid.T) {
				down, few := rapid.IntRange(0, 3), rapid.IntRange(0, 2)
				c.store.SetFaults(platformtest.Faults{Down: down.Draw(t, "down") == 0, LoseWriteResponses: few.Draw(t, "lost"), DropWrites: few.Draw(t, "dropped")})
			},
			"restart": func(t *rapid.T) {
				i := pick(t)
				c.restart(i)
				// The requests of the old process are still running, but the new one does not count
				// them.
				for j, owner := range backend {
					if owner == i {
						backend[j] = -1
					}
				}
			},
			"report": func(t *rapid.T) {
				recordSample()
				observe(c.testHosts[pick(t)], reports[len(reports)-1])
			},
			"lagging": func(t *rapid.T) {
				if len(reports) > 0 {
					observe(c.testHosts[pick(t)], reports[rapid.IntRange(0, len(reports)-1).Draw(t, "report")])
				}
			},
			"cold": func(t *rapid.T) {
				x := c.testHosts[pick(t)]
				x.RecordCold(ColdSighting{Backend: "b", At: c.clock(x)})
			},
			"send": func(t *rapid.T) { send(pick(t), rapid.IntRange(1, 4).Draw(t, "most")) },
			// Paused hosts resume and send too, one after the other.
			"sendall": func(t *rapid.T) {
				first := pick(t)
				for i := range n {
					send((first+i)%n, 4)
				}
			},
			"complete": func(t *rapid.T) {
				if len(backend) == 0 {
					return
				}
				j := rapid.IntRange(0, len(backend)-1).Draw(t, "request")
				if owner := backend[j]; owner >= 0 {
					c.testHosts[owner].inFlight--
				}
				backend = append(backend[:j], backend[j+1:]...)
			},
			"": func(t *rapid.T) {
				if len(backend) > coldLimits.Cold {
					t.Fatalf("%d requests in flight exceed the cold limit of %d", len(backend), coldLimits.Cold)
				}
			},
		})
		sent += used
	})
	// Without this check, the test would pass if no host ever sent a request.
	require.Greater(t, sent, 100)
}

// Guards against a daemon that is kept out of the view because it was restarted before the
// host list contained its new incarnation.
func TestRestartClearsTheLeavingState(t *testing.T) {
	c := newTestCell(3)
	c.stabilize(t)
	n := c.testHosts[0]
	n.RecordSyncRequest("host-1", true)
	require.Equal(t, platform.HostLeaving, hostState(n, "host-1"))
	n.RecordSyncRequest("host-1", false)
	require.Equal(t, platform.HostLive, hostState(n, "host-1"))
}

func hostState(n *testHost, id string) platform.HostState {
	for _, h := range n.Hosts() {
		if h.ID == id {
			return h.State
		}
	}
	return ""
}

// Guards against losing all backend servers to a host list from before this host was
// added; this occurred in a scenario with a lag of 20 s. A host that remains missing from
// the list has been removed.
func TestStaleHostListIsIgnoredTemporarily(t *testing.T) {
	c := newTestCell(2)
	c.stabilize(t)
	n := c.testHosts[0]
	n.list.hosts = nil
	n.ReadHosts(t.Context())
	require.Len(t, n.Hosts(), 2)
	c.now = c.now.Add(selfAbsentTimeout)
	n.ReadHosts(t.Context())
	require.Empty(t, n.Hosts())
}
