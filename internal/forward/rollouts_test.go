package forward

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/rollout"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// rolloutTest is a host with the service "desk".
type rolloutTest struct {
	t  *testing.T
	g  *Gateway
	bs *balancers
	// servers are those that the store lists, as ID and version, and rollouts the request in the store.
	servers map[string]string
	rollout *fleet.Rollout
}

func newRolloutTest(t *testing.T, rollback time.Duration, store RolloutStore) *rolloutTest {
	d := directory.New(directory.Options{Clock: func() time.Duration { return time.Hour }, Log: zerolog.Nop()})
	opts := Options{
		HostID: "host-1", Domain: "west-a", Region: "west", Log: zerolog.Nop(), Directory: d, Clock: func() time.Duration { return time.Hour }, RolloutStore: store,
		Bounds: Bounds{Rollback: rollback, ExposeShare: 0.1, ExposeExtra: 1000},
	}
	g := &Gateway{opts: opts, pool: connection.NewPoolSize(1)}
	g.bounds.Store(&opts.Bounds)
	g.view.Store(&gossip.View{InMesh: true})
	g.balancers = newBalancers(opts, &g.Metrics)
	return &rolloutTest{t: t, g: g, bs: g.balancers, servers: map[string]string{"o1": "v1", "o2": "v1"}}
}

// apply applies the store to the host.
func (r *rolloutTest) apply() {
	s := &directory.Snapshot{
		Complete: true, Servers: map[string]*directory.Server{}, Hosts: map[string]fleet.Host{"host-1": {ID: "host-1"}}, Rollouts: map[string]fleet.Rollout{},
		Table: &route.Table{Services: map[string]*route.Service{"desk": {Name: "desk"}}},
	}
	for id, version := range r.servers {
		s.Servers[id] = &directory.Server{Backend: fleet.Backend{ID: id, Address: id, Service: "desk", Version: version, Domain: "west-a", Region: "west", Slots: 8, StartTime: 1}}
	}
	if r.rollout != nil {
		s.Rollouts["desk"] = *r.rollout
	}
	r.bs.applySnapshot(s)
}

// request changes the request in the store; an empty target removes it.
func (r *rolloutTest) request(target string, state fleet.RolloutState) {
	r.rollout = nil
	if target != "" {
		r.rollout = &fleet.Rollout{Service: "desk", Target: target, Ramp: time.Hour, State: state, StateTarget: target, Revision: 1}
	}
	r.apply()
}

// reach has another host report a phase.
func (r *rolloutTest) reach(phase rollout.Phase) {
	id := rollout.ID{Service: "desk", Target: r.rollout.Target}
	r.bs.setPeerRollouts([]rollout.Report{{ID: id, MinPhase: phase, MaxPhase: phase, Hosts: 1}}, 1)
	r.bs.updateRollouts(time.Now())
}

func (r *rolloutTest) service() *serviceState { return r.bs.service("desk") }

// used returns the versions of the servers that requests get.
func (r *rolloutTest) used(exposed bool) map[string]bool {
	versions := map[string]bool{}
	var list []*reservation
	for range 30 {
		res, _ := r.bs.acquire(r.t.Context(), "desk", balance.Request{Exposed: exposed}, sender{}, 0)
		if res == nil {
			break
		}
		versions[res.server.Version] = true
		list = append(list, res)
	}
	for _, res := range list {
		res.cancel()
	}
	return versions
}

func (r *rolloutTest) newRequest() *request {
	return &request{
		g: r.g, service: "desk", route: &route.Route{Name: "read", Kind: route.Idempotent, Attempts: 2}, ctx: r.t.Context(), deadline: time.Now().Add(time.Minute),
		call: &connection.Call{},
	}
}

func set(versions ...string) map[string]bool {
	out := map[string]bool{}
	for _, v := range versions {
		out[v] = true
	}
	return out
}

// Guards against requests at servers whose version nobody requested, and against a hold where none is due: for the servers that a
// host knows first, for more servers of a known version, and without roll-outs in the settings.
func TestServersOfNewVersionsAreHeldBack(t *testing.T) {
	r := newRolloutTest(t, 5*time.Second, nil)
	r.servers["p1"] = "v0"
	r.apply()
	assert.Equal(t, set("v0", "v1"), r.used(true), "the first complete snapshot")
	r.servers["n1"] = "v2"
	r.servers["o3"], r.servers["x"] = "v1", ""
	r.apply()
	assert.Equal(t, set("v0", "v1", ""), r.used(true))
	v2 := r.service().versions["v2"]
	assert.InDelta(t, versionHold.Seconds(), time.Until(v2.usableFrom).Seconds(), 0.5)
	v2.usableFrom = time.Now().Add(20 * time.Millisecond)
	r.bs.applySnapshot(r.bs.snapshot) // sets the timer
	assert.Eventually(t, func() bool { return r.used(false)["v2"] }, time.Second, 5*time.Millisecond, "the hold ends by itself")

	r = newRolloutTest(t, 0, nil)
	r.apply()
	r.servers["n1"] = "v2"
	r.request("v3", "")
	assert.Equal(t, set("v1", "v2"), r.used(false))
	assert.False(t, r.bs.hasRollouts.Load())
	assert.Empty(t, r.bs.rolloutReports())
	r.bs.setBounds(Bounds{Rollback: time.Second}, func() *directory.Snapshot { return r.bs.snapshot })
	assert.Equal(t, set("v1", "v2"), r.used(false), "switched on while it runs")
}

// Guards against a version that is used after its roll-out was rolled back, removed or replaced, and against servers of the former
// version that are used after the roll-out was completed, when they stop at once.
func TestVersionsFollowTheStore(t *testing.T) {
	r := newRolloutTest(t, 5*time.Second, nil)
	r.apply()
	r.servers["n1"] = "v2"
	r.request("v2", "")
	assert.Equal(t, rollout.Canary, r.service().tracker.Phase())
	assert.Equal(t, set("v1"), r.used(false))
	assert.Equal(t, set("v2"), r.used(true))

	r.request("", "")
	assert.Nil(t, r.service().tracker)
	assert.Equal(t, set("v1"), r.used(true), "removed while v1 is there")
	r.servers = map[string]string{"n1": "v2"}
	r.apply()
	assert.Equal(t, set("v2"), r.used(false), "removed, and only v2 is left")

	r.servers = map[string]string{"o1": "v1", "n1": "v2"}
	r.request("v2", "")
	assert.Equal(t, set("v2"), r.used(true), "requested again")
	r.servers["n3"] = "v3"
	r.request("v3", "")
	assert.Equal(t, set("v1"), r.used(false), "v2 is no other version to use")
	assert.Equal(t, set("v3"), r.used(true))

	r.request("v3", fleet.RolloutRolledBack)
	assert.Equal(t, set("v1"), r.used(true))
	r.request("", "")
	assert.Equal(t, set("v1"), r.used(true), "rolled back, and the servers are still there")
	r.servers["n2"] = "v2"
	r.request("v2", "")
	r.reach(rollout.Final)
	assert.Equal(t, set("v2"), r.used(false))
	r.request("v2", fleet.RolloutCompleted)
	r.servers["n4"] = "v4"
	r.apply()
	assert.Equal(t, set("v2"), r.used(false), "the old servers have stopped, and v4 is held back")
	r.service().versions["v4"].usableFrom = time.Now()
	r.servers["o9"] = "v1"
	r.apply()
	assert.Equal(t, set("v1", "v2", "v4"), r.used(false), "servers that start after the completion")
}

// Guards against a host that starts after the end of a roll-out and uses the version that was rolled back.
func TestNewHostFollowsTheStore(t *testing.T) {
	for state, want := range map[fleet.RolloutState]map[string]bool{
		fleet.RolloutRolledBack: set("v1"), fleet.RolloutCompleted: set("v1", "v2"), fleet.RolloutRunning: set("v1"),
	} {
		r := newRolloutTest(t, 5*time.Second, nil)
		r.servers["n1"] = "v2"
		r.request("v2", state)
		assert.Equal(t, want, r.used(false), state)
	}
}

// Guards against requests that fail although a server is there: with no servers on one side, the other one is used.
func TestSideWithoutServers(t *testing.T) {
	r := newRolloutTest(t, 5*time.Second, nil)
	r.request("v1", "")
	assert.Equal(t, set("v1"), r.used(false), "a roll-out of the version that is in use")
	r.rollout = nil
	r.apply()
	r.request("v2", "")
	assert.Equal(t, set("v1"), r.used(true), "no server of the target has started")
	r.reach(rollout.Final)
	assert.Equal(t, set("v1"), r.used(false), "all servers of the target have ended")
	r.servers["n1"] = "v2"
	r.apply()
	assert.Equal(t, set("v2"), r.used(false))

	r = newRolloutTest(t, 5*time.Second, nil)
	r.servers["n1"] = "v2"
	r.request("v2", "")
	delete(r.servers, "o1")
	delete(r.servers, "o2")
	r.apply()
	assert.Empty(t, r.used(false), "old servers that restart do not expose all requests to the target")
	r.service().othersAt = time.Now().Add(-withoutOthers)
	r.bs.updateRollouts(time.Now())
	assert.Equal(t, set("v2"), r.used(false))
}

// Guards against a request that is sent to a version after this host has rolled it back, and against exposures that stay counted
// although nothing was sent.
func TestRollBackReachesReservedRequests(t *testing.T) {
	r := newRolloutTest(t, 5*time.Second, nil)
	r.servers["n1"] = "v2"
	r.request("v2", "")
	tracker := r.service().tracker
	exposed := func() int64 { return tracker.Status(time.Now()).Exposed }
	reserve := func() *reservation {
		for {
			req := r.newRequest()
			res, _ := req.reserve(balance.Request{}, nil)
			require.NotNil(t, res)
			if res.server.Version == "v2" {
				return res
			}
			res.cancel()
		}
	}
	sent, unsent, late := reserve(), reserve(), reserve()
	require.EqualValues(t, 3, exposed())
	assert.True(t, r.bs.beginSend(sent))
	unsent.cancel()
	assert.EqualValues(t, 2, exposed())
	sent.cancel()
	assert.EqualValues(t, 2, exposed(), "a request that was sent stays counted")
	r.reach(rollout.RolledBack)
	assert.False(t, r.bs.admits("desk", "n1"))
	assert.False(t, r.bs.beginSend(late))
	assert.True(t, isWithheld((&request{g: r.g}).checkAcceptsWork(late)))
	assert.EqualValues(t, 1, r.g.Metrics.Rollbacks.Load())
}

// Guards against a host that was suspended while a version was rolled back, and sends it requests before it has read that.
func TestHostThatWasSuspendedExposesNothing(t *testing.T) {
	r := newRolloutTest(t, 5*time.Second, nil)
	now := time.Hour
	r.bs.opts.Clock = func() time.Duration { return now }
	r.servers["n1"] = "v2"
	r.request("v2", "")
	exposed := func() bool {
		for range 100 {
			if tracker := r.bs.expose(r.newRequest(), false); tracker != nil {
				r.bs.settle(tracker, nil)
				return true
			}
		}
		return false
	}
	r.bs.updateRollouts(time.Now())
	assert.True(t, exposed())
	res, _ := r.bs.acquire(t.Context(), "desk", balance.Request{Exposed: true}, sender{}, 0)
	r.bs.settle(r.service().tracker, res)
	now += maxLoopPause + time.Millisecond
	assert.False(t, exposed())
	assert.False(t, r.bs.beginSend(res))
	r.bs.updateRollouts(time.Now())
	assert.False(t, exposed(), "the others have not sent their states yet")
	now += newsTime
	r.bs.updateRollouts(time.Now())
	assert.True(t, exposed())
	assert.True(t, r.bs.beginSend(res))
}

// Guards against waiting requests that keep to the phase in which they began to wait.
func TestWaitingRequestsFollowThePhase(t *testing.T) {
	for phase, want := range map[rollout.Phase]string{rollout.RolledBack: "v1", rollout.Final: "v2"} {
		r := newRolloutTest(t, 5*time.Second, nil)
		r.servers = map[string]string{"o1": "v1", "n1": "v2"}
		r.request("v2", "")
		s := r.service()
		s.balancer.Configure(balance.Settings{Region: "west", KVTokens: 100})
		for _, id := range []string{"o1", "n1"} {
			s.balancer.AddLoad(id, balance.Load{Requests: 1, Tokens: 100})
		}
		got := make(chan *reservation, 1)
		go func() {
			res, _ := r.bs.acquire(t.Context(), "desk", balance.Request{Tokens: 10, Exposed: phase == rollout.RolledBack}, sender{}, 5*time.Second)
			got <- res
		}()
		require.Eventually(t, func() bool {
			r.bs.mu.Lock()
			defer r.bs.mu.Unlock()
			return len(s.waiters) == 1
		}, time.Second, time.Millisecond)
		r.reach(phase)
		r.bs.mu.Lock()
		s.balancer.Configure(balance.Settings{Region: "west", KVTokens: 100})
		for _, id := range []string{"o1", "n1"} {
			s.balancer.RemoveLoad(id, balance.Load{Requests: 1, Tokens: 100})
		}
		s.wake()
		r.bs.mu.Unlock()
		res := <-got
		require.NotNil(t, res)
		assert.Equal(t, want, res.server.Version)
	}
}

// Guards against a roll-out that is completed while a request runs at an old server, and one that waits for standby replicas there.
func TestRequestsAtOldServersAreReported(t *testing.T) {
	r := newRolloutTest(t, 5*time.Second, nil)
	r.servers["n1"] = "v2"
	r.request("v2", "")
	inFlight := func() int { return r.bs.rolloutReports()[0].OldInFlight }
	old, _ := r.bs.acquire(t.Context(), "desk", balance.Request{}, sender{}, 0)
	target, _ := r.bs.acquire(t.Context(), "desk", balance.Request{Exposed: true}, sender{}, 0)
	r.service().balancer.Configure(balance.Settings{Region: "west", KVTokens: 1 << 20})
	r.servers["o3"], r.servers["o4"] = "v1", "v1"
	r.apply()
	r.service().balancer.Configure(balance.Settings{Region: "west", KVTokens: 1 << 20})
	standby := r.bs.acquireStandby("desk", balance.Request{Standby: true, Tokens: 1, Source: &balance.Server{ID: "x", Version: "v1", Region: "west"}})
	require.NotNil(t, standby)
	assert.Equal(t, 1, inFlight(), "neither the one at the target nor the standby replica")
	require.True(t, r.bs.beginSend(standby))
	assert.Equal(t, 2, inFlight(), "the replica was asked to resume")
	standby.cancel()
	old.release(false)
	assert.Equal(t, 0, inFlight())
	target.cancel()
	assert.Empty(t, r.service().standbys["v1"])
}

// Guards against outcomes that are counted although they say nothing of the version, and against those that are lost.
func TestOutcomesAreObserved(t *testing.T) {
	r := newRolloutTest(t, 5*time.Second, nil)
	r.servers["n1"] = "v2"
	r.request("v2", "")
	r.g.opts.Directory.ApplyRelayed(&directory.RelayedUpdate{Backends: directory.RelayedKind{Revision: 1, Full: true, Changes: []directory.Change{
		{Name: "n1", Backend: &fleet.Backend{ID: "n1", Service: "desk", Version: "v2", StartTime: 1}},
	}}}, 0)
	broken := verdict.Wrap(io.ErrUnexpectedEOF, verdict.MayHaveRun, 502, codeUnusable, "broken")
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, c := range map[string]struct {
		end                func(*request, *reservation)
		requests, failures int64
	}{
		"broken":                     {func(q *request, res *reservation) { q.releaseFailed(res, broken) }, 1, 1},
		"response":                   {func(q *request, res *reservation) { q.observe(res, false) }, 1, 0},
		"failure, then broken":       {func(q *request, res *reservation) { q.observe(res, true); q.releaseFailed(res, broken) }, 1, 1},
		"response, then broken":      {func(q *request, res *reservation) { q.observe(res, false); q.releaseFailed(res, broken) }, 2, 1},
		"rejected without execution": {func(q *request, res *reservation) { q.releaseFailed(res, notRun(503, codeNotRun, "")) }, 0, 0},
		"withheld":                   {func(q *request, res *reservation) { q.releaseFailed(res, notRun(503, codeLeft, "")) }, 0, 0},
		"ended by the caller":        {func(q *request, res *reservation) { q.ctx = cancelled; q.releaseFailed(res, broken) }, 0, 0},
		"cancelled":                  {func(q *request, res *reservation) { (&attempt{r: q, res: res, ctx: cancelled}).failed(broken, true) }, 0, 0},
		"cancelled after a silence that another attempt ended": {func(q *request, res *reservation) {
			res.recordSilence()
			(&attempt{r: q, res: res, ctx: cancelled}).failed(broken, true)
		}, 1, 0},
		"write to the caller failed": {func(q *request, res *reservation) { q.releaseFailed(res, toCaller(errors.New("reset"))) }, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			before := sumOf(r.service().tracker)
			res, _ := r.bs.acquire(t.Context(), "desk", balance.Request{Exposed: true, Exclude: []string{"o1", "o2"}}, sender{}, 0)
			require.NotNil(t, res)
			r.bs.beginSend(res)
			c.end(r.newRequest(), res)
			r.service().balancer.RecordSuccess("n1")
			res.cancel()
			after := sumOf(r.service().tracker)
			assert.Equal(t, []int64{c.requests, c.failures}, []int64{after.Requests - before.Requests, after.Failures - before.Failures})
		})
	}
}

func sumOf(t *rollout.Tracker) (sum rollout.Counts) {
	for _, c := range t.Status(time.Now()).Counts {
		if c.Target {
			sum.Requests, sum.Failures = sum.Requests+c.Requests, sum.Failures+c.Failures
		}
	}
	return sum
}

// statusStore records the writes; it answers with err once release is closed.
type statusStore struct {
	writes  chan fleet.RolloutState
	release chan struct{}
	err     error
}

func (s *statusStore) SetRolloutStatus(_ context.Context, _ fleet.Rollout, state fleet.RolloutState) error {
	s.writes <- state
	<-s.release
	return s.err
}

// Guards against a store that does not answer and delays the phases, and against several writes of a status at the same time.
func TestWritesDoNotDelayPhases(t *testing.T) {
	store := &statusStore{writes: make(chan fleet.RolloutState, 9), release: make(chan struct{}), err: directory.ErrConflict}
	r := newRolloutTest(t, 5*time.Second, store)
	r.servers["n1"] = "v2"
	r.request("v2", "")
	go r.g.UpdateRollouts(t.Context())
	assert.Equal(t, fleet.RolloutRunning, <-store.writes)
	r.bs.setPeerRollouts([]rollout.Report{{ID: rollout.ID{Service: "desk", Target: "v2"}, MinPhase: rollout.RolledBack, MaxPhase: rollout.RolledBack, Hosts: 1}}, 1)
	require.Eventually(t, func() bool { return r.g.RolloutStatus()["desk"].Phase == "rolled_back" }, 2*time.Second, 10*time.Millisecond)
	assert.Empty(t, store.writes)
	close(store.release)
	assert.Equal(t, fleet.RolloutRolledBack, <-store.writes)
	assert.Eventually(t, func() bool { return r.g.Metrics.RolloutConflicts.Load() == 2 }, time.Second, 10*time.Millisecond)
}
