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
	// A fixed seed keeps CI runs repeatable; flags override it.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "800", "rapid.steps": "60"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// hostList is a host list that differs per host.
type hostList struct{ hosts []platform.Host }

func (l *hostList) Hosts(context.Context) ([]platform.Host, error) { return l.hosts, nil }

// link is one host's connection to the object API.
type link struct {
	*platformtest.Store
	cut bool
}

func (l *link) Get(ctx context.Context, key string) (platform.Object, error) {
	if l.cut {
		return platform.Object{}, platform.ErrUnavailable
	}
	return l.Store.Get(ctx, key)
}

func (l *link) Put(ctx context.Context, key string, expected platform.Version, value []byte) (platform.Version, error) {
	if l.cut {
		return 0, platform.ErrUnavailable
	}
	return l.Store.Put(ctx, key, expected, value)
}

// node is one daemon with a clock that may drift.
type node struct {
	*Manager
	list     *hostList
	link     *link
	rate     float64
	off      bool // stopped, paused or cut off from its peers
	inFlight int
	// configAt is the newest configuration confirmation on the node's clock.
	configAt time.Time
}

type fleet struct {
	now   time.Time
	store *platformtest.Store
	nodes []*node
}

func entry(i int) platform.Host {
	return platform.Host{ID: fmt.Sprint("host-", i), Role: platform.RoleEntry, PeerAddress: "p", State: platform.HostLive, Incarnation: "1"}
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1e6, 0), store: platformtest.NewStore()}
	all := make([]platform.Host, n)
	for i := range n {
		all[i] = entry(i)
		f.nodes = append(f.nodes, &node{list: &hostList{hosts: all}, link: &link{Store: f.store}, rate: 1})
		f.restart(i)
	}
	return f
}

func (f *fleet) clock(n *node) time.Time {
	return time.Unix(1e6, 0).Add(time.Duration(float64(f.now.Sub(time.Unix(1e6, 0))) * n.rate))
}

func (f *fleet) restart(i int) {
	n := f.nodes[i]
	n.inFlight, n.configAt = 0, time.Time{}
	n.Manager = New(Config{Self: entry(i), Cells: 1, Store: n.link, Hosts: n.list, Log: zerolog.Nop(),
		Now: func() time.Time { return f.clock(n) },
		ConfigAge: func(now time.Time) (time.Duration, bool) {
			return now.Sub(n.configAt), !n.configAt.IsZero()
		}})
}

func (f *fleet) step(n *node) {
	n.ReadHosts(context.Background())
	n.RefreshView(context.Background())
	if _, err := n.link.Get(context.Background(), "config"); err == platform.ErrNotFound {
		n.configAt = f.clock(n)
	}
}

// sync is a Sync call from a to b, as package peers makes it.
func (f *fleet) sync(t require.TestingT, a, b *node) {
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

// second lets every node that is not off act once, 1 s after the last time.
func (f *fleet) second(t require.TestingT) {
	f.now = f.now.Add(time.Second)
	for _, n := range f.nodes {
		for _, m := range f.nodes {
			switch {
			case n.off && !n.link.cut:
			case m == n:
				f.step(n)
			default:
				f.sync(t, n, m)
			}
		}
	}
}

func (f *fleet) settle(t require.TestingT) { // Longer than a takeover and the wait for new rights.
	for range 8 {
		f.second(t)
	}
}

func TestViewFormsAndSurvivesLostAnswersAndRenewerDeath(t *testing.T) {
	f := newFleet(4)
	f.store.SetFaults(platformtest.Faults{LoseWriteResponses: 1})
	f.settle(t)
	f.store.SetFaults(platformtest.Faults{DropWrites: 1})
	f.settle(t)
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
		f.second(t)
		for i, n := range f.nodes {
			require.True(t, i == dead || n.LeaseValid(f.now), "lease lost while the renewer changes")
		}
	}
	require.False(t, f.nodes[dead].LeaseValid(f.now))
	next := f.nodes[(dead+1)%4].View()
	require.Len(t, next.Members, 3)
	require.NotEqual(t, v.Renewer, next.Renewer)
	f.restart(dead)
	f.nodes[dead].off = false
	f.settle(t)
	require.Len(t, f.nodes[(dead+1)%4].View().Members, 4)
}

// Guards G3: a host without object API and peers must refuse within 3 s.
func TestCutOffHostStopsWithin3s(t *testing.T) {
	f := newFleet(5)
	f.settle(t)
	n := f.nodes[2]
	require.Equal(t, view.Fresh, n.Freshness(f.now))
	n.off, n.link.cut = true, true
	cutAt := f.now
	for _, after := range []time.Duration{0, time.Second, 2 * time.Second} {
		require.True(t, n.Freshness(cutAt.Add(after)).MayServe(), "%v after the cut", after)
	}
	for range 4 {
		f.second(t)
		require.Equal(t, f.now.Sub(cutAt) < 3*time.Second, n.Freshness(f.now).MayServe(), "%v after the cut", f.now.Sub(cutAt))
	}
	require.Equal(t, view.Fresh, f.nodes[0].Freshness(f.now))
	n.off = false
	f.second(t)
	require.Equal(t, view.Fresh, n.Freshness(f.now), "a peer relays the confirmation")
}

// Guards against an outage of the object API that stops the whole fleet, also
// at the moment when the last confirmations expire.
func TestFleetOutageKeepsServing(t *testing.T) {
	f := newFleet(5)
	f.settle(t)
	f.store.SetFaults(platformtest.Faults{Down: true})
	for range 20 {
		f.second(t)
		for _, n := range f.nodes {
			for ms := range 10 {
				at := f.now.Add(time.Duration(ms) * 100 * time.Millisecond)
				require.True(t, n.Freshness(at).MayServe(), "%s at %v", n.Self(), at)
			}
		}
	}
	require.Equal(t, view.FleetOutage, f.nodes[0].Freshness(f.now))
	require.False(t, f.nodes[0].LeaseValid(f.now), "no cold slot is used during the outage")
	f.nodes[0].off = true
	f.nodes[1].off = true
	f.settle(t)
	require.True(t, f.nodes[2].Freshness(f.now).MayServe(), "3 of 5 are a majority")
	f.nodes[2].off = true
	f.settle(t)
	require.False(t, f.nodes[3].Freshness(f.now).MayServe(), "2 of 5 are none")
}

var cold = coldstart.Limits{Cold: 4, Warm: 64}

func idle(seq uint64) platform.LoadReport {
	return platform.LoadReport{Incarnation: "i", Sequence: seq}
}

func TestPausedHolderUsesNoSlot(t *testing.T) {
	f := newFleet(1)
	f.settle(t)
	n := f.nodes[0]
	n.ObserveLoad("b", cold, 0, idle(1), f.now, 0)
	limit, until := n.Limit("b", f.now)
	require.Equal(t, 4, limit)
	require.Equal(t, f.now.Add(2970*time.Millisecond), until)
	f.now = f.now.Add(3 * time.Second) // The process is paused.
	limit, _ = n.Limit("b", f.now)
	require.Zero(t, limit)
	f.second(t)
	limit, _ = n.Limit("b", f.now)
	require.Equal(t, 4, limit)
}

// Guards against two renewers that both believe that their view is current.
func TestTwoRenewersAndLostObject(t *testing.T) {
	f := newFleet(3)
	f.settle(t)
	a, b := f.nodes[0], f.nodes[1]
	a.mu.Lock()
	b.mu.Lock()
	b.version, b.versionOK, b.current.Renewer = a.version, true, b.cfg.Self.ID
	a.versionOK, a.current.Renewer = true, a.cfg.Self.ID
	a.mu.Unlock()
	b.mu.Unlock()
	f.settle(t)
	require.Equal(t, a.View().Renewer, b.View().Renewer)
	require.Equal(t, a.View().Epoch, b.View().Epoch)

	obj, err := f.store.Get(context.Background(), "view/0")
	require.NoError(t, err)
	require.NoError(t, f.store.Delete(context.Background(), "view/0", obj.Version))
	before := a.View().Epoch
	f.settle(t)
	require.GreaterOrEqual(t, a.View().Epoch, before)
	require.True(t, a.LeaseValid(f.now))
	require.Len(t, a.View().Members, 3)
}

func TestLeavingMarkIsKeptWithinAnIncarnation(t *testing.T) {
	f := newFleet(3)
	f.settle(t)
	n := f.nodes[0]
	f.nodes[1].SetDraining()
	f.settle(t)
	require.Equal(t, platform.HostLeaving, n.Hosts()[1].State, "the host list still shows it live")
	require.False(t, n.View().Has("host-1"))
	full := n.list.hosts
	n.list.hosts = append([]platform.Host(nil), full...)
	n.list.hosts[1].Incarnation = "2"
	n.ReadHosts(context.Background())
	require.Equal(t, platform.HostLive, n.Hosts()[1].State)
	n.list.hosts = full
	n.ReadHosts(context.Background())
	require.Equal(t, platform.HostLeaving, n.Hosts()[1].State, "a lagging list shows the old incarnation again")
}

func TestAtMost3WatchersPerRegion(t *testing.T) {
	f := newFleet(8)
	f.settle(t)
	watchers := 0
	for _, n := range f.nodes {
		if n.IsWatcher() {
			watchers++
		}
	}
	require.Equal(t, 3, watchers)
}

// Guards against members that read the view object although the renewer could
// confirm the view, and against a renewer that every member calls every second.
func TestRenewerIsAskedOnlyForAnOldConfirmation(t *testing.T) {
	f := newFleet(3)
	f.settle(t)
	renewer := f.nodes[0].View().Renewer
	for _, n := range f.nodes {
		now := f.clock(n)
		require.NoError(t, n.ApplyPeerView(n.View().Epoch, view.Age{Known: true}, nil, now))
		_, ask := n.RenewerToSync(now.Add(askAfter - time.Millisecond))
		require.False(t, ask)
		h, ask := n.RenewerToSync(now.Add(askAfter))
		require.Equal(t, n.Self() != renewer, ask)
		if ask {
			require.Equal(t, renewer, h.ID)
		}
	}
	fresh := New(Config{Self: entry(9), Cells: 1, Log: zerolog.Nop()})
	_, ask := fresh.RenewerToSync(f.now)
	require.False(t, ask, "no view is known yet")
}

// Guards the object API against watches that grow with regions and cells: each
// region of a cell keeps a watcher, and only one in a deployment of many cells.
func TestWatchersOfManyCells(t *testing.T) {
	for cells, want := range map[int]int{1: 3, manyCells: 3, manyCells + 1: 1, 55: 1} {
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
			k := New(Config{Self: h, Cells: cells, Log: zerolog.Nop()})
			k.hosts, k.current = hosts, view.View{Cell: "0", Epoch: 1, Members: ids}
			if k.IsWatcher() {
				watchers[h.Region]++
			}
		}
		require.Equal(t, map[string]int{"region-0": want, "region-1": want, "region-2": want}, watchers, "%d cells", cells)
	}
}

// Guards against heartbeats that grow with the number of cold backend servers
// and against a late host that is never told about an old sighting.
func TestOldSightingsAreRepeatedInTurn(t *testing.T) {
	f := newFleet(2)
	f.settle(t)
	n, told := f.nodes[0], map[string]bool{}
	for i := range 7 {
		id := fmt.Sprint("b", i)
		n.ObserveLoad(id, cold, 0, idle(1), f.now, 0)
		require.True(t, n.RecordCold(ColdObservation{Backend: id, At: f.now}))
	}
	require.Len(t, n.ColdObservations(false), 7)
	require.False(t, n.RecordSyncRequest("host-1", false))
	f.now = f.now.Add(11 * time.Second)
	require.True(t, n.RecordSyncRequest("host-1", false))
	require.Len(t, n.ColdObservations(true), 7)
	for range 4 {
		old := n.ColdObservations(false)
		require.Len(t, old, 2)
		told[old[0].Backend], told[old[1].Backend] = true, true
	}
	require.Len(t, told, 7)
	require.Len(t, n.Status(f.now).Backends, 7)
}

// Guards the loops of Run, in virtual time.
func TestRunRenewsOncePerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		k := New(Config{Self: entry(0), Cells: 1, Store: store, Hosts: &hostList{hosts: []platform.Host{entry(0)}}, Now: time.Now,
			ConfigAge: func(time.Time) (time.Duration, bool) { return 0, false }, Log: zerolog.Nop()})
		ctx, cancel := context.WithTimeout(t.Context(), 10500*time.Millisecond)
		defer cancel()
		require.NoError(t, k.Run(ctx))
		writes, _ := store.Counts()
		require.Equal(t, 11, writes)
		require.True(t, k.LeaseValid(time.Now()))
		require.EqualValues(t, 11, k.View().RenewalCount)
	})
}

// Guards G2: hosts with different host lists, drifting clocks, pauses, restarts,
// cuts, lost answers and lagging reports never exceed the cold limit together.
func TestColdBoundHolds(t *testing.T) {
	sent := 0
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		f := newFleet(n)
		for _, node := range f.nodes {
			node.rate = rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "rate")
		}
		type sample struct {
			at      time.Time
			running int
		}
		backend, reports, seq, used := []int{}, []sample{}, uint64(0), 0
		pick := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "node") }
		take := func() { reports = append(reports, sample{f.now, len(backend)}) }
		observe := func(node *node, s sample) {
			seq++
			r := idle(seq)
			r.Running, r.AgeMS = s.running, f.now.Sub(s.at).Milliseconds()
			node.ObserveLoad("b", cold, 0, r, f.clock(node), node.inFlight)
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
			f.settle(t)
			take()
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"second": func(t *rapid.T) { f.second(t) },
			"work": func(t *rapid.T) {
				busy := rapid.Bool().Draw(t, "busy")
				for range rapid.IntRange(1, 14).Draw(t, "seconds") {
					f.second(t)
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
					node.off, node.link.cut = false, false
				}
			},
			"step":   func(t *rapid.T) { f.step(f.nodes[pick(t)]) },
			"sync":   func(t *rapid.T) { f.sync(t, f.nodes[pick(t)], f.nodes[pick(t)]) },
			"toggle": func(t *rapid.T) { x := f.nodes[pick(t)]; x.off = !x.off },
			"cut":    func(t *rapid.T) { x := f.nodes[pick(t)]; x.link.cut = !x.link.cut },
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
				// The old process's requests still run, unknown to the new one.
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
				x.RecordCold(ColdObservation{Backend: "b", At: f.clock(x)})
			},
			"send": func(t *rapid.T) { send(pick(t), rapid.IntRange(1, 4).Draw(t, "most")) },
			// Paused hosts wake up too, one after the other.
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
				if len(backend) > cold.Cold {
					t.Fatalf("%d requests in flight, the cold limit is %d", len(backend), cold.Cold)
				}
			},
		})
		sent += used
	})
	// Without this the property would hold for hosts that never send.
	require.Greater(t, sent, 100)
}

// Guards against a daemon that stays out of the view because it was restarted
// before the host list showed a new incarnation.
func TestRestartEndsTheLeavingMark(t *testing.T) {
	f := newFleet(3)
	f.settle(t)
	n := f.nodes[0]
	n.RecordSyncRequest("host-1", true)
	require.Equal(t, platform.HostLeaving, hostState(n, "host-1"))
	n.RecordSyncRequest("host-1", false)
	require.Equal(t, platform.HostLive, hostState(n, "host-1"))
}

func hostState(n *node, id string) platform.HostState {
	for _, h := range n.Hosts() {
		if h.ID == id {
			return h.State
		}
	}
	return ""
}

// Guards against a host list that falls back to a state from before this host
// was listed taking away all backend servers; seen in a scenario with a lag of
// 20 s. A host that stays away from the list has been removed.
func TestListWithoutThisHostIsIgnoredForAWhile(t *testing.T) {
	f := newFleet(2)
	f.settle(t)
	n := f.nodes[0]
	n.list.hosts = nil
	n.ReadHosts(t.Context())
	require.Len(t, n.Hosts(), 2)
	f.now = f.now.Add(absentTrust)
	n.ReadHosts(t.Context())
	require.Empty(t, n.Hosts())
}
