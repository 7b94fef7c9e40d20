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
	now   time.Time
	store *platformtest.Store
	nodes []*testHost
}

func entry(i int) platform.Host {
	return platform.Host{ID: fmt.Sprint("host-", i), Role: platform.RoleEntry, PeerAddress: "p", State: platform.HostLive, Incarnation: "1"}
}

func newTestCell(n int) *testCell {
	f := &testCell{now: time.Unix(1e6, 0), store: platformtest.NewStore()}
	hosts := make([]platform.Host, n)
	for i := range n {
		hosts[i] = entry(i)
		f.nodes = append(f.nodes, &testHost{list: &hostList{hosts: hosts}, link: &storeLink{Store: f.store}, clockRate: 1})
		f.restart(i)
	}
	return f
}

func (f *testCell) clock(n *testHost) time.Time {
	return time.Unix(1e6, 0).Add(time.Duration(float64(f.now.Sub(time.Unix(1e6, 0))) * n.clockRate))
}

func (f *testCell) restart(i int) {
	n := f.nodes[i]
	n.inFlight, n.configAt = 0, time.Time{}
	n.Manager = New(Config{Self: entry(i), Cells: 1, Store: n.link, Hosts: n.list, Log: zerolog.Nop(),
		Now: func() time.Time { return f.clock(n) },
		ConfigAge: func(now time.Time) (time.Duration, bool) {
			return now.Sub(n.configAt), !n.configAt.IsZero()
		}})
}

func (f *testCell) refresh(n *testHost) {
	n.ReadHosts(context.Background())
	n.RefreshView(context.Background())
	if _, err := n.link.Get(context.Background(), "config"); err == platform.ErrNotFound {
		n.configAt = f.clock(n)
	}
}

// sync simulates a Sync call from a to b as package peers makes it.
func (f *testCell) sync(t require.TestingT, a, b *testHost) {
	if a.off || b.off {
		a.RecordSyncFailure(b.Self())
		return
	}
	b.RecordSyncRequest(a.Self(), a.Draining())
	sentAt, now := f.clock(a), f.clock(b)
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
func (f *testCell) advanceSecond(t require.TestingT) {
	f.now = f.now.Add(time.Second)
	for _, n := range f.nodes {
		for _, m := range f.nodes {
			switch {
			case n.off && !n.link.partitioned:
			case m == n:
				f.refresh(n)
			default:
				f.sync(t, n, m)
			}
		}
	}
}

func (f *testCell) stabilize(t require.TestingT) { // Longer than a takeover and the wait until new slots are usable.
	for range 8 {
		f.advanceSecond(t)
	}
}

// Guards against a cell that loses its view when responses to writes are lost or the
// renewer fails, and against members whose lease expires until another one takes over.
func TestViewSurvivesLostResponsesAndRenewerFailure(t *testing.T) {
	f := newTestCell(4)
	f.store.SetFaults(platformtest.Faults{LoseWriteResponses: 1})
	f.stabilize(t)
	f.store.SetFaults(platformtest.Faults{DropWrites: 1})
	f.stabilize(t)
	v := f.nodes[0].View()
	require.Len(t, v.Members, 4)
	for _, n := range f.nodes {
		require.Equal(t, v.Epoch, n.View().Epoch)
		require.True(t, n.LeaseValid(f.now))
	}
	dead := 0
	for i, n := range f.nodes {
		if n.Self() == v.Renewer {
			n.off, dead = true, i
		}
	}
	for range 12 {
		f.advanceSecond(t)
		for i, n := range f.nodes {
			require.True(t, i == dead || n.LeaseValid(f.now), "lease expired while the renewer changed")
		}
	}
	require.False(t, f.nodes[dead].LeaseValid(f.now))
	next := f.nodes[(dead+1)%4].View()
	require.Len(t, next.Members, 3)
	require.NotEqual(t, v.Renewer, next.Renewer)
	f.restart(dead)
	f.nodes[dead].off = false
	f.stabilize(t)
	require.Len(t, f.nodes[(dead+1)%4].View().Members, 4)
}

// Guards against a host that still accepts requests 3 s after it lost the connection to
// the object API and to its peers.
func TestPartitionedHostRejectsWithin3s(t *testing.T) {
	f := newTestCell(5)
	f.stabilize(t)
	n := f.nodes[2]
	require.Equal(t, view.Fresh, n.Freshness(f.now))
	n.off, n.link.partitioned = true, true
	partitionedAt := f.now
	for _, after := range []time.Duration{0, time.Second, 2 * time.Second} {
		require.True(t, n.Freshness(partitionedAt.Add(after)).MayServe(), "%v after the partition", after)
	}
	for range 4 {
		f.advanceSecond(t)
		require.Equal(t, f.now.Sub(partitionedAt) < 3*time.Second, n.Freshness(f.now).MayServe(), "%v after the partition", f.now.Sub(partitionedAt))
	}
	require.Equal(t, view.Fresh, f.nodes[0].Freshness(f.now))
	n.off = false
	f.advanceSecond(t)
	require.Equal(t, view.Fresh, n.Freshness(f.now), "a peer relays the confirmation")
}

// Guards against a store outage that makes all hosts reject requests, also at the moment
// when the last confirmations expire.
func TestFleetOutageKeepsServing(t *testing.T) {
	f := newTestCell(5)
	f.stabilize(t)
	f.store.SetFaults(platformtest.Faults{Down: true})
	for range 20 {
		f.advanceSecond(t)
		for _, n := range f.nodes {
			for ms := range 10 {
				at := f.now.Add(time.Duration(ms) * 100 * time.Millisecond)
				require.True(t, n.Freshness(at).MayServe(), "%s at %v", n.Self(), at)
			}
		}
	}
	require.Equal(t, view.FleetOutage, f.nodes[0].Freshness(f.now))
	require.False(t, f.nodes[0].LeaseValid(f.now), "the lease has expired, so no cold slot is used during the outage")
	f.nodes[0].off = true
	f.nodes[1].off = true
	f.stabilize(t)
	require.True(t, f.nodes[2].Freshness(f.now).MayServe(), "3 of 5 are a majority")
	f.nodes[2].off = true
	f.stabilize(t)
	require.False(t, f.nodes[3].Freshness(f.now).MayServe(), "2 of 5 are no majority")
}

var coldLimits = coldstart.Limits{Cold: 4, Warm: 64}

func idleReport(seq uint64) platform.LoadReport {
	return platform.LoadReport{Incarnation: "i", Sequence: seq}
}

// Guards against a host that uses cold slots after its lease expired while the process
// was paused.
func TestPausedHostUsesNoSlot(t *testing.T) {
	f := newTestCell(1)
	f.stabilize(t)
	n := f.nodes[0]
	n.ObserveLoad("b", coldLimits, 0, idleReport(1), f.now, 0)
	limit, until := n.Limit("b", f.now)
	require.Equal(t, 4, limit)
	require.Equal(t, f.now.Add(2970*time.Millisecond), until)
	f.now = f.now.Add(3 * time.Second) // The process is paused.
	limit, _ = n.Limit("b", f.now)
	require.Zero(t, limit)
	f.advanceSecond(t)
	limit, _ = n.Limit("b", f.now)
	require.Equal(t, 4, limit)
}

// Guards against two hosts that keep renewing the view at the same time, and against a
// view that is lost with its object.
func TestTwoRenewersAndLostObject(t *testing.T) {
	f := newTestCell(3)
	f.stabilize(t)
	a, b := f.nodes[0], f.nodes[1]
	a.mu.Lock()
	b.mu.Lock()
	b.version, b.versionKnown, b.current.Renewer = a.version, true, b.cfg.Self.ID
	a.versionKnown, a.current.Renewer = true, a.cfg.Self.ID
	a.mu.Unlock()
	b.mu.Unlock()
	f.stabilize(t)
	require.Equal(t, a.View().Renewer, b.View().Renewer)
	require.Equal(t, a.View().Epoch, b.View().Epoch)

	obj, err := f.store.Get(context.Background(), "view/0")
	require.NoError(t, err)
	require.NoError(t, f.store.Delete(context.Background(), "view/0", obj.Version))
	epochBefore := a.View().Epoch
	f.stabilize(t)
	require.GreaterOrEqual(t, a.View().Epoch, epochBefore)
	require.True(t, a.LeaseValid(f.now))
	require.Len(t, a.View().Members, 3)
}

// Guards against a lagging host list that makes a host live again that is shutting down.
func TestLeavingStateIsKeptWithinAnIncarnation(t *testing.T) {
	f := newTestCell(3)
	f.stabilize(t)
	n := f.nodes[0]
	f.nodes[1].SetDraining()
	f.stabilize(t)
	require.Equal(t, platform.HostLeaving, n.Hosts()[1].State, "the host is still live in the host list")
	require.False(t, n.View().Has("host-1"))
	full := n.list.hosts
	n.list.hosts = append([]platform.Host(nil), full...)
	n.list.hosts[1].Incarnation = "2"
	n.ReadHosts(context.Background())
	require.Equal(t, platform.HostLive, n.Hosts()[1].State)
	n.list.hosts = full
	n.ReadHosts(context.Background())
	require.Equal(t, platform.HostLeaving, n.Hosts()[1].State, "a lagging host list contains the old incarnation again")
}

// Guards the object API against a watch by every host.
func TestAtMost3WatchersPerRegion(t *testing.T) {
	f := newTestCell(8)
	f.stabilize(t)
	watchers := 0
	for _, n := range f.nodes {
		if n.IsWatcher() {
			watchers++
		}
	}
	require.Equal(t, 3, watchers)
}

// Guards against members that read the view object although the renewer could confirm the
// view, and against a renewer that every member calls every second.
func TestRenewerIsSyncedOnlyForAnOldConfirmation(t *testing.T) {
	f := newTestCell(3)
	f.stabilize(t)
	renewer := f.nodes[0].View().Renewer
	for _, n := range f.nodes {
		now := f.clock(n)
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
	_, due := fresh.RenewerToSync(f.now)
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
	f := newTestCell(2)
	f.stabilize(t)
	n, sent := f.nodes[0], map[string]bool{}
	for i := range 7 {
		id := fmt.Sprint("b", i)
		n.ObserveLoad(id, coldLimits, 0, idleReport(1), f.now, 0)
		require.True(t, n.RecordCold(ColdSighting{Backend: id, At: f.now}))
	}
	require.Len(t, n.ColdSightings(false), 7)
	require.False(t, n.RecordSyncRequest("host-1", false))
	f.now = f.now.Add(11 * time.Second)
	require.True(t, n.RecordSyncRequest("host-1", false))
	require.Len(t, n.ColdSightings(true), 7)
	for range 4 {
		old := n.ColdSightings(false)
		require.Len(t, old, 2)
		sent[old[0].Backend], sent[old[1].Backend] = true, true
	}
	require.Len(t, sent, 7)
	require.Len(t, n.Status(f.now).Backends, 7)
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
		f := newTestCell(n)
		for _, node := range f.nodes {
			node.clockRate = rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "rate")
		}
		type sample struct {
			at      time.Time
			running int
		}
		backend, reports, seq, used := []int{}, []sample{}, uint64(0), 0
		pick := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "node") }
		take := func() { reports = append(reports, sample{f.now, len(backend)}) }
		observe := func(node *testHost, s sample) {
			seq++
			r := idleReport(seq)
			r.Running, r.AgeMS = s.running, f.now.Sub(s.at).Milliseconds()
			node.ObserveLoad("b", coldLimits, 0, r, f.clock(node), node.inFlight)
		}
		send := func(i, most int) {
			node := f.nodes[i]
			limit, _ := node.Limit("b", f.clock(node))
			for ; most > 0 && node.inFlight < limit; most-- {
				node.inFlight++
				used++
				backend = append(backend, i)
			}
		}
		drain := func() {
			for _, owner := range backend {
				if owner >= 0 {
					f.nodes[owner].inFlight--
				}
			}
			backend = nil
		}
		if rapid.Bool().Draw(t, "settled") {
			f.stabilize(t)
			take()
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"second": func(t *rapid.T) { f.advanceSecond(t) },
			"work": func(t *rapid.T) {
				busy := rapid.Bool().Draw(t, "busy")
				for range rapid.IntRange(1, 14).Draw(t, "seconds") {
					f.advanceSecond(t)
					if !busy {
						drain()
					}
					take()
					for i, node := range f.nodes {
						if !node.off {
							observe(node, reports[len(reports)-1])
							send(i, 4)
						}
					}
				}
			},
			"drain": func(*rapid.T) { drain() },
			"heal": func(*rapid.T) {
				f.store.SetFaults(platformtest.Faults{})
				for _, node := range f.nodes {
					node.off, node.link.partitioned = false, false
				}
			},
			"step":   func(t *rapid.T) { f.refresh(f.nodes[pick(t)]) },
			"sync":   func(t *rapid.T) { f.sync(t, f.nodes[pick(t)], f.nodes[pick(t)]) },
			"toggle": func(t *rapid.T) { x := f.nodes[pick(t)]; x.off = !x.off },
			"cut":    func(t *rapid.T) { x := f.nodes[pick(t)]; x.link.partitioned = !x.link.partitioned },
			"list": func(t *rapid.T) {
				x := f.nodes[pick(t)]
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
				f.store.SetFaults(platformtest.Faults{Down: down.Draw(t, "down") == 0, LoseWriteResponses: few.Draw(t, "lost"), DropWrites: few.Draw(t, "dropped")})
			},
			"restart": func(t *rapid.T) {
				i := pick(t)
				f.restart(i)
				// The requests of the old process are still running, but the new one does not count
				// them.
				for j, owner := range backend {
					if owner == i {
						backend[j] = -1
					}
				}
			},
			"report": func(t *rapid.T) {
				take()
				observe(f.nodes[pick(t)], reports[len(reports)-1])
			},
			"lagging": func(t *rapid.T) {
				if len(reports) > 0 {
					observe(f.nodes[pick(t)], reports[rapid.IntRange(0, len(reports)-1).Draw(t, "report")])
				}
			},
			"cold": func(t *rapid.T) {
				x := f.nodes[pick(t)]
				x.RecordCold(ColdSighting{Backend: "b", At: f.clock(x)})
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
					f.nodes[owner].inFlight--
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
	f := newTestCell(3)
	f.stabilize(t)
	n := f.nodes[0]
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
	f := newTestCell(2)
	f.stabilize(t)
	n := f.nodes[0]
	n.list.hosts = nil
	n.ReadHosts(t.Context())
	require.Len(t, n.Hosts(), 2)
	f.now = f.now.Add(selfAbsentTimeout)
	n.ReadHosts(t.Context())
	require.Empty(t, n.Hosts())
}
