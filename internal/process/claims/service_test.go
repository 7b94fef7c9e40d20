package claims

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"

	"monsoonkeel.example/monsoonkeel/core/claim"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/platformtest"
)

var requestHash = strings.Repeat("a", 64)

// peerNetwork connects services as peers. The first host is the preferred writer
// of all shards.
type peerNetwork struct {
	mu          sync.Mutex
	services    map[string]*Service
	partitioned bool
}

var errPartitioned = errors.New("network partitioned")

func (n *peerNetwork) setPartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// peerLink is the connection of host self to its peers.
type peerLink struct {
	network *peerNetwork
	self    string
}

func (l peerLink) PreferredWriter(uint32) (string, bool) { return "h0", l.self == "h0" }

func (l peerLink) peer(host string) (*Service, error) {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if s := l.network.services[host]; s != nil && !l.network.partitioned {
		return s, nil
	}
	return nil, errPartitioned
}

func (l peerLink) Claim(ctx context.Context, host string, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	s, err := l.peer(host)
	if err != nil {
		return nil, err
	}
	resp, err := s.HandleClaim(ctx, req)
	if _, lost := l.peer(host); lost != nil { // partitioned during the call: the response is lost
		return nil, lost
	}
	return resp, err
}

func (l peerLink) Answer(ctx context.Context, host string, req *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error) {
	s, err := l.peer(host)
	if err != nil {
		return nil, err
	}
	return s.HandleAnswer(ctx, req)
}

func newPeerNetwork(t require.TestingT, store platform.ObjectStore, hosts int) (*peerNetwork, []*Service) {
	n := &peerNetwork{services: map[string]*Service{}}
	var created []*Service
	for i := range hosts {
		host := fmt.Sprintf("h%d", i)
		var seed [32]byte
		copy(seed[:], host)
		l := peerLink{n, host}
		s, err := New(Options{Host: host, Store: store, Forwarder: l, ResponseFetcher: l, Random: rand.NewChaCha8(seed)})
		require.NoError(t, err)
		n.services[host] = s
		created = append(created, s)
	}
	return n, created
}

func order(key string) Order {
	return Order{Team: "team", Key: key, RequestHash: requestHash, Deadline: time.Now().Add(30 * time.Second)}
}

func closeAll(t require.TestingT, services []*Service) {
	for _, s := range services {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		require.NoError(t, s.Close(ctx))
		cancel()
		require.Zero(t, s.Stats().Background)
	}
}

// event is a generated step of the property test.
type event struct {
	kind         int // 0 store faults, 1 partition, 2 sleep, 3 late writes, 4 to 8 claim
	faults       platformtest.Faults
	partitioned  bool
	sleep        time.Duration
	host, action int
	key          string
}

func drawEvent(t *rapid.T) event {
	return event{
		kind: rapid.IntRange(0, 8).Draw(t, "kind"),
		faults: platformtest.Faults{
			Down:               rapid.IntRange(0, 3).Draw(t, "down") == 0,
			LoseWriteResponses: rapid.IntRange(0, 3).Draw(t, "lose"),
			DropWrites:         rapid.IntRange(0, 2).Draw(t, "drop"),
		},
		partitioned: rapid.Bool().Draw(t, "cut"),
		sleep:       time.Duration(rapid.SampledFrom([]int{1, 9, 12, 40, 700, 3000}).Draw(t, "ms")) * time.Millisecond,
		host:        rapid.IntRange(0, 1).Draw(t, "host"),
		action:      rapid.IntRange(0, 4).Draw(t, "action"),
		key:         rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
	}
}

// callHistory records the results that the callers of one test run observed.
type callHistory struct {
	mu         sync.Mutex
	sent       map[string]int // number of sends by key
	outcomes   map[OutcomeKind]int
	failed     int
	violations []string
}

func (h *callHistory) check(ok bool, format string, args ...any) {
	if !ok {
		h.violations = append(h.violations, fmt.Sprintf(format, args...))
	}
}

// call claims an order. A granted order is, by action: released (0), sent and
// abandoned (1), or sent and finished.
func (h *callHistory) call(s *Service, key string, action int) {
	began := time.Now()
	out, err := s.Claim(context.Background(), order(key))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.check(time.Since(began) <= DefaultClaimTimeout, "claim took %v", time.Since(began))
	if err != nil {
		h.failed++
		h.check(verdict.Of(err) == verdict.NotRun, "claim error %v", err)
		return
	}
	h.outcomes[out.Kind]++
	switch {
	case out.Kind == Done:
		h.check(h.sent[key] == 1 && (out.Response == nil || string(out.Response.Body) == key), "%s done: %+v", key, out)
	case out.Kind != Granted:
	case action == 0:
		go s.Release(context.Background(), out.Grant)
	case out.Grant.MaySend(time.Now()):
		h.sent[key]++
		h.check(h.sent[key] == 1, "order %s sent %d times", key, h.sent[key])
		if action == 1 {
			s.Abandon(out.Grant)
			return
		}
		go s.Finish(context.Background(), out.Grant, claim.Response{Status: 200, Body: []byte(key)})
	}
}

func (h *callHistory) run(t *testing.T, events []event) {
	store := &latencyStore{Store: platformtest.NewStore()}
	n, services := newPeerNetwork(t, store, 2)
	var wg sync.WaitGroup
	for _, e := range events {
		switch e.kind {
		case 0:
			store.SetFaults(e.faults)
		case 3:
			store.late.Store(int64(e.action))
			store.delay.Store(int64(e.sleep))
		case 1:
			n.setPartitioned(e.partitioned)
		case 2:
			time.Sleep(e.sleep)
		default:
			wg.Go(func() { h.call(services[e.host], e.key, e.action) })
		}
	}
	wg.Wait()
	store.SetFaults(platformtest.Faults{})
	n.setPartitioned(false)
	time.Sleep(10 * time.Second) // until releases and late writes have reached the store
	for _, key := range []string{"a", "b", "c"} {
		unsent := h.sent[key] == 0
		h.call(services[0], key, 2)
		h.check(!unsent || h.sent[key] == 1, "order %s was not sent and is not granted", key)
		h.call(services[1], key, 2)
	}
	synctest.Wait()
	closeAll(t, services)
}

// latencyStore adds latency to a store. Its next late writes return ErrOutcomeUnknown
// and take effect after delay.
type latencyStore struct {
	*platformtest.Store
	late        atomic.Int64
	delay       atomic.Int64 // nanoseconds
	unversioned bool         // writes ignore the expected version
}

func (s *latencyStore) Get(ctx context.Context, key string) (platform.Object, error) {
	o, err := s.Store.Get(ctx, key)
	time.Sleep(time.Millisecond)
	return o, err
}

func (s *latencyStore) Put(ctx context.Context, key string, expected platform.Version, value []byte) (platform.Version, error) {
	time.Sleep(2 * time.Millisecond)
	for s.unversioned { // retried if another write came between the two calls
		o, _ := s.Store.Get(ctx, key)
		version, err := s.Store.Put(ctx, key, o.Version, value)
		if !errors.Is(err, platform.ErrConflict) {
			return version, err
		}
	}
	if s.late.Add(-1) >= 0 {
		time.AfterFunc(time.Duration(s.delay.Load()), func() { _, _ = s.Store.Put(context.Background(), key, expected, value) })
		return 0, platform.ErrOutcomeUnknown
	}
	defer time.Sleep(time.Millisecond)
	return s.Store.Put(ctx, key, expected, value)
}

// Guards against a second send, a wrong verdict, a claim beyond the claim timeout
// and an unsent order that remains claimed. Two services share a store with lost
// responses, dropped and late writes and outages, and a network that partitions.
func TestAtMostOnce(t *testing.T) {
	total := map[OutcomeKind]int{}
	failed := 0
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 40).Draw(rt, "events")
		h := &callHistory{sent: map[string]int{}, outcomes: map[OutcomeKind]int{}}
		synctest.Test(t, func(t *testing.T) {
			h.run(t, events)
		})
		if len(h.violations) > 0 {
			rt.Fatalf("%v", h.violations)
		}
		for kind, n := range h.outcomes {
			total[kind] += n
		}
		failed += h.failed
	})
	t.Logf("outcomes %v, failed %d", total, failed)
	for _, kind := range []OutcomeKind{Granted, Done, Running, Unknown} {
		require.Positive(t, total[kind], "outcome %d did not occur", kind)
	}
	require.Positive(t, failed)
}

// Guards against a TestAtMostOnce that cannot fail: if the store ignores expected
// versions, two hosts that write at the same time must both send.
func TestAtMostOnceNeedsVersions(t *testing.T) {
	h := &callHistory{sent: map[string]int{}, outcomes: map[OutcomeKind]int{}}
	synctest.Test(t, func(t *testing.T) {
		n, services := newPeerNetwork(t, &latencyStore{Store: platformtest.NewStore(), unversioned: true}, 2)
		n.setPartitioned(true)
		var wg sync.WaitGroup
		for _, s := range services {
			wg.Go(func() { h.call(s, "a", 2) })
		}
		wg.Wait()
		closeAll(t, services)
	})
	require.NotEmpty(t, h.violations)
}

// Guards against a store outage that blocks callers beyond the claim timeout, or
// after which an order whose claim failed with NotRun remains claimed.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		_, services := newPeerNetwork(t, store, 2)
		defer closeAll(t, services)
		store.SetFaults(platformtest.Faults{Down: true})
		began := time.Now()
		_, err := services[1].Claim(t.Context(), order("k"))
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Equal(t, 503, verdict.From(err).Status)
		require.Equal(t, DefaultClaimTimeout, time.Since(began))
		store.SetFaults(platformtest.Faults{LoseWriteResponses: 1})
		time.Sleep(time.Second)
		out, err := services[0].Claim(t.Context(), order("k"))
		require.NoError(t, err)
		require.Equal(t, Granted, out.Kind)
		require.NoError(t, services[0].Finish(t.Context(), out.Grant, claim.Response{Status: 200}))
	})
}

// Guards against repeated requests that get no response from the host that
// executes the order, from its cache or from the shard, and against a key that is
// accepted with another request.
func TestRepeatedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, services := newPeerNetwork(t, platformtest.NewStore(), 3)
		defer closeAll(t, services)
		o := order("k")
		out, err := services[1].Claim(t.Context(), o)
		require.NoError(t, err)
		require.Equal(t, Granted, out.Kind)
		other := o
		other.RequestHash = strings.Repeat("b", 64)
		for _, s := range services {
			_, err = s.Claim(t.Context(), other)
			require.Equal(t, 422, verdict.From(err).Status)
			require.Equal(t, verdict.NotRun, verdict.Of(err))
		}
		repeat, err := services[2].Claim(t.Context(), o)
		require.NoError(t, err)
		require.Equal(t, Outcome{Kind: Running, Host: "h1"}, repeat)
		big := claim.Response{Status: 201, ContentType: "text/plain", Body: bytes.Repeat([]byte("x"), claim.MaxResponseBytes+1)}
		go func() {
			time.Sleep(7 * time.Second)
			_ = services[1].Finish(t.Context(), out.Grant, big)
		}()
		response, err := services[2].Await(t.Context(), o, repeat)
		require.NoError(t, err)
		require.Equal(t, big, response)
		time.Sleep(time.Second)
		repeat, err = services[0].Claim(t.Context(), o)
		require.NoError(t, err)
		require.Equal(t, Outcome{Kind: Done, Host: "h1"}, repeat)
		n.setPartitioned(true)
		_, err = services[0].Await(t.Context(), o, repeat)
		require.Equal(t, verdict.Ran, verdict.Of(err))
		require.False(t, out.Grant.MaySend(time.Now()))
	})
}

// Guards against a repeated request that waits until its deadline of 30 s for an
// order that its host has abandoned.
func TestRepeatOfAbandonedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, services := newPeerNetwork(t, platformtest.NewStore(), 2)
		defer closeAll(t, services)
		o := order("k")
		out, err := services[1].Claim(t.Context(), o)
		require.NoError(t, err)
		repeat, err := services[0].Claim(t.Context(), o)
		require.NoError(t, err)
		services[1].Abandon(out.Grant)
		began := time.Now()
		_, err = services[0].Await(t.Context(), o, repeat)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.Less(t, time.Since(began), 2*time.Second)
	})
}

// Guards against a host that sends an order after being suspended beyond its
// deadline.
func TestMaySendAfterPause(t *testing.T) {
	now := time.Now()
	g := &Grant{deadline: now.Add(time.Second)}
	require.True(t, g.MaySend(now))
	require.False(t, g.MaySend(now.Add(time.Second)))
	require.False(t, g.MaySend(now))
}

// Guards against an overwritten damaged shard, whose claims would be lost.
func TestDamagedShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		key := fmt.Sprintf("claims/%d", claim.ShardOf("team", "k"))
		_, err := store.Put(t.Context(), key, 0, []byte(`{"version":9}`))
		require.NoError(t, err)
		_, services := newPeerNetwork(t, store, 1)
		defer closeAll(t, services)
		_, err = services[0].Claim(t.Context(), order("k"))
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Positive(t, services[0].Stats().Damaged)
		o, err := store.Get(t.Context(), key)
		require.NoError(t, err)
		require.JSONEq(t, `{"version":9}`, string(o.Value))
	})
}

// Guards against malformed peer calls that are applied, and against claims that
// are accepted after Close.
func TestHandleClaimRejectsMalformedCalls(t *testing.T) {
	_, services := newPeerNetwork(t, platformtest.NewStore(), 1)
	for _, req := range []*peerpb.ClaimRequest{
		{Protocol: 2}, {Protocol: 1, Shard: claim.Shards},
		{Protocol: 1, Operations: [][]byte{[]byte(`{"kind":"expire"}`)}},
		{Protocol: 1, Operations: [][]byte{[]byte(`{}x`)}},
	} {
		_, err := services[0].HandleClaim(t.Context(), req)
		require.Error(t, err)
	}
	closeAll(t, services)
	_, err := services[0].Claim(t.Context(), order("k"))
	require.Equal(t, "shutting_down", verdict.From(err).Code)
}

// Guards against a finish that is lost at shutdown because the store did not
// respond when it was written.
func TestCloseFlushes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		_, services := newPeerNetwork(t, store, 1)
		out, err := services[0].Claim(t.Context(), order("k"))
		require.NoError(t, err)
		store.SetFaults(platformtest.Faults{Down: true})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err = services[0].Finish(ctx, out.Grant, claim.Response{Status: 200})
		require.Equal(t, verdict.Ran, verdict.Of(err))
		time.AfterFunc(5*time.Second, func() { store.SetFaults(platformtest.Faults{}) })
		closeAll(t, services)
		_, restarted := newPeerNetwork(t, store, 1)
		defer closeAll(t, restarted)
		repeat, err := restarted[0].Claim(t.Context(), order("k"))
		require.NoError(t, err)
		require.Equal(t, Done, repeat.Kind)
		require.Equal(t, 200, repeat.Response.Status)
	})
}

// Guards against one write per claim of a shard and against two concurrent
// writes of one shard.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &latencyStore{Store: platformtest.NewStore()}
		_, services := newPeerNetwork(t, store, 1)
		defer closeAll(t, services)
		var wg sync.WaitGroup
		for i, n := 0, 0; n < 100; i++ {
			key := fmt.Sprint(i)
			if claim.ShardOf("team", key) != 7 {
				continue
			}
			n++
			wg.Go(func() {
				out, err := services[0].Claim(t.Context(), order(key))
				if err != nil || out.Kind != Granted {
					t.Errorf("%s: %v %v", key, out, err)
				}
			})
			if n == 50 {
				time.Sleep(11 * time.Millisecond) // the first write is in flight
			}
		}
		wg.Wait()
		writes, reads := store.Counts()
		require.Equal(t, 2, writes)
		require.Equal(t, 1, reads)
		require.Zero(t, services[0].Stats().Conflicts)
	})
}

// Guards against cached responses that do not expire or exceed the size limits.
func TestResponseCache(t *testing.T) {
	var c responseCache
	now := time.Now()
	c.put("a", requestHash, claim.Response{Body: make([]byte, maxCachedResponseBytes)}, now)
	c.put("b", requestHash, claim.Response{Body: make([]byte, maxCachedResponseBytes+1)}, now)
	_, ok := c.get("a", now.Add(responseTTL-1))
	require.True(t, ok)
	_, ok = c.get("a", now.Add(responseTTL))
	require.False(t, ok)
	_, ok = c.get("b", now)
	require.False(t, ok)
	for i := range 1000 {
		c.put(fmt.Sprint(i), requestHash, claim.Response{Body: make([]byte, maxCachedResponseBytes)}, now)
		require.LessOrEqual(t, c.bytes, maxCacheBytes)
	}
	_, ok = c.get("999", now)
	require.True(t, ok)
	c.put("last", requestHash, claim.Response{}, now.Add(responseTTL))
	require.Equal(t, 1, c.len())
	require.Equal(t, entryOverheadBytes, c.bytes)
}
