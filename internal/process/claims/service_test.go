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

// fleet connects services as peers; the first host owns all shards.
type fleet struct {
	mu       sync.Mutex
	services map[string]*Service
	cut      bool
}

var errCut = errors.New("peer link cut")

func (f *fleet) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

type link struct {
	f    *fleet
	self string
}

func (l link) PreferredWriter(uint32) (string, bool) { return "h0", l.self == "h0" }

func (l link) peer(host string) (*Service, error) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	if s := l.f.services[host]; s != nil && !l.f.cut {
		return s, nil
	}
	return nil, errCut
}

func (l link) Claim(ctx context.Context, host string, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	s, err := l.peer(host)
	if err != nil {
		return nil, err
	}
	resp, err := s.HandleClaim(ctx, req)
	if _, cut := l.peer(host); cut != nil { // the answer is lost
		return nil, cut
	}
	return resp, err
}

func (l link) Answer(ctx context.Context, host string, req *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error) {
	s, err := l.peer(host)
	if err != nil {
		return nil, err
	}
	return s.HandleAnswer(ctx, req)
}

func newFleet(t require.TestingT, store platform.ObjectStore, hosts int) (*fleet, []*Service) {
	f := &fleet{services: map[string]*Service{}}
	var all []*Service
	for i := range hosts {
		host := fmt.Sprintf("h%d", i)
		var seed [32]byte
		copy(seed[:], host)
		l := link{f, host}
		s, err := New(Options{Host: host, Store: store, Forwarder: l, ResponseFetcher: l, Random: rand.NewChaCha8(seed)})
		require.NoError(t, err)
		f.services[host] = s
		all = append(all, s)
	}
	return f, all
}

func order(key string) Order {
	return Order{Team: "team", Key: key, RequestHash: requestHash, Deadline: time.Now().Add(30 * time.Second)}
}

func closeAll(t require.TestingT, all []*Service) {
	for _, s := range all {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		require.NoError(t, s.Close(ctx))
		cancel()
		require.Zero(t, s.Stats().Background)
	}
}

// event is a drawn step of the property test.
type event struct {
	kind         int // 0 faults, 1 peer links, 2 sleep, 3 late writes, 4 and more a call
	faults       platformtest.Faults
	cut          bool
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
		cut:    rapid.Bool().Draw(t, "cut"),
		sleep:  time.Duration(rapid.SampledFrom([]int{1, 9, 12, 40, 700, 3000}).Draw(t, "ms")) * time.Millisecond,
		host:   rapid.IntRange(0, 1).Draw(t, "host"),
		action: rapid.IntRange(0, 4).Draw(t, "action"),
		key:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
	}
}

// ledger is what the callers of a run saw.
type ledger struct {
	mu       sync.Mutex
	sent     map[string]int
	outcomes map[OutcomeKind]int
	refused  int
	problems []string
}

func (l *ledger) check(ok bool, format string, args ...any) {
	if !ok {
		l.problems = append(l.problems, fmt.Sprintf(format, args...))
	}
}

// call claims an order and, when granted, releases it, sends it and loses the
// connection, or sends and finishes it.
func (l *ledger) call(s *Service, key string, action int) {
	began := time.Now()
	out, err := s.Claim(context.Background(), order(key))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(time.Since(began) <= DefaultClaimTimeout, "claim took %v", time.Since(began))
	if err != nil {
		l.refused++
		l.check(verdict.Of(err) == verdict.NotRun, "claim error %v", err)
		return
	}
	l.outcomes[out.Kind]++
	switch {
	case out.Kind == Done:
		l.check(l.sent[key] == 1 && (out.Response == nil || string(out.Response.Body) == key), "%s done: %+v", key, out)
	case out.Kind != Granted:
	case action == 0:
		go s.Release(context.Background(), out.Grant)
	case out.Grant.MaySend(time.Now()):
		l.sent[key]++
		l.check(l.sent[key] == 1, "order %s sent %d times", key, l.sent[key])
		if action == 1 {
			s.Abandon(out.Grant)
			return
		}
		go s.Finish(context.Background(), out.Grant, claim.Response{Status: 200, Body: []byte(key)})
	}
}

func (l *ledger) run(t *testing.T, events []event) {
	store := &slow{Store: platformtest.NewStore()}
	f, all := newFleet(t, store, 2)
	var wg sync.WaitGroup
	for _, e := range events {
		switch e.kind {
		case 0:
			store.SetFaults(e.faults)
		case 3:
			store.late.Store(int64(e.action))
			store.delay.Store(int64(e.sleep))
		case 1:
			f.setCut(e.cut)
		case 2:
			time.Sleep(e.sleep)
		default:
			wg.Go(func() { l.call(all[e.host], e.key, e.action) })
		}
	}
	wg.Wait()
	store.SetFaults(platformtest.Faults{})
	f.setCut(false)
	time.Sleep(10 * time.Second) // releases and late writes are in the store
	for _, key := range []string{"a", "b", "c"} {
		free := l.sent[key] == 0
		l.call(all[0], key, 2)
		l.check(!free || l.sent[key] == 1, "unsent order %s is not granted", key)
		l.call(all[1], key, 2)
	}
	synctest.Wait()
	closeAll(t, all)
}

// slow is a store with latency. Its next late writes return ErrOutcomeUnknown and
// reach the store after delay.
type slow struct {
	*platformtest.Store
	late        atomic.Int64
	delay       atomic.Int64 // nanoseconds
	unversioned bool
}

func (s *slow) Get(ctx context.Context, key string) (platform.Object, error) {
	o, err := s.Store.Get(ctx, key)
	time.Sleep(time.Millisecond)
	return o, err
}

func (s *slow) Put(ctx context.Context, key string, expected platform.Version, value []byte) (platform.Version, error) {
	time.Sleep(2 * time.Millisecond)
	for s.unversioned { // repeated until no other write came between the two calls
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

// Guards against a second send, a false verdict and a claim that waits too
// long when two services share a store under lost answers, dropped and late
// writes, outages and cut peer links; also against an unsent order that stays claimed.
func TestAtMostOnce(t *testing.T) {
	total := map[OutcomeKind]int{}
	refused := 0
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 40).Draw(rt, "events")
		l := &ledger{sent: map[string]int{}, outcomes: map[OutcomeKind]int{}}
		synctest.Test(t, func(t *testing.T) {
			l.run(t, events)
		})
		if len(l.problems) > 0 {
			rt.Fatalf("%v", l.problems)
		}
		for kind, n := range l.outcomes {
			total[kind] += n
		}
		refused += l.refused
	})
	t.Logf("outcomes %v, refused %d", total, refused)
	for _, kind := range []OutcomeKind{Granted, Done, Running, Unknown} {
		require.Positive(t, total[kind], "outcome %d never reached", kind)
	}
	require.Positive(t, refused)
}

// Guards against a property that cannot fail: without versions in the store,
// two hosts that write at the same time must both send.
func TestAtMostOnceNeedsVersions(t *testing.T) {
	l := &ledger{sent: map[string]int{}, outcomes: map[OutcomeKind]int{}}
	synctest.Test(t, func(t *testing.T) {
		f, all := newFleet(t, &slow{Store: platformtest.NewStore(), unversioned: true}, 2)
		f.setCut(true)
		var wg sync.WaitGroup
		for _, s := range all {
			wg.Go(func() { l.call(s, "a", 2) })
		}
		wg.Wait()
		closeAll(t, all)
	})
	require.NotEmpty(t, l.problems)
}

// Guards against an outage that blocks callers or leaves an order claimed
// that was answered as not run.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		_, all := newFleet(t, store, 2)
		defer closeAll(t, all)
		store.SetFaults(platformtest.Faults{Down: true})
		began := time.Now()
		_, err := all[1].Claim(t.Context(), order("k"))
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Equal(t, 503, verdict.From(err).Status)
		require.Equal(t, DefaultClaimTimeout, time.Since(began))
		store.SetFaults(platformtest.Faults{LoseWriteResponses: 1})
		time.Sleep(time.Second)
		out, err := all[0].Claim(t.Context(), order("k"))
		require.NoError(t, err)
		require.Equal(t, Granted, out.Kind)
		require.NoError(t, all[0].Finish(t.Context(), out.Grant, claim.Response{Status: 200}))
	})
}

// Guards against repeats that get no answer: from the running host, its cache,
// or the shard, and against a reused key.
func TestRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, all := newFleet(t, platformtest.NewStore(), 3)
		defer closeAll(t, all)
		o := order("k")
		out, err := all[1].Claim(t.Context(), o)
		require.NoError(t, err)
		require.Equal(t, Granted, out.Kind)
		other := o
		other.RequestHash = strings.Repeat("b", 64)
		for _, s := range all {
			_, err = s.Claim(t.Context(), other)
			require.Equal(t, 422, verdict.From(err).Status)
			require.Equal(t, verdict.NotRun, verdict.Of(err))
		}
		repeat, err := all[2].Claim(t.Context(), o)
		require.NoError(t, err)
		require.Equal(t, Outcome{Kind: Running, Host: "h1"}, repeat)
		big := claim.Response{Status: 201, ContentType: "text/plain", Body: bytes.Repeat([]byte("x"), claim.MaxResponseBytes+1)}
		go func() {
			time.Sleep(7 * time.Second)
			_ = all[1].Finish(t.Context(), out.Grant, big)
		}()
		got, err := all[2].Await(t.Context(), o, repeat)
		require.NoError(t, err)
		require.Equal(t, big, got)
		time.Sleep(time.Second)
		repeat, err = all[0].Claim(t.Context(), o)
		require.NoError(t, err)
		require.Equal(t, Outcome{Kind: Done, Host: "h1"}, repeat)
		f.setCut(true)
		_, err = all[0].Await(t.Context(), o, repeat)
		require.Equal(t, verdict.Ran, verdict.Of(err))
		require.False(t, out.Grant.MaySend(time.Now()))
	})
}

// Guards against a repeat that waits until its deadline for an order whose host
// has abandoned it; a trial run waited 30 s.
func TestRepeatOfAbandonedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := newFleet(t, platformtest.NewStore(), 2)
		defer closeAll(t, all)
		o := order("k")
		out, err := all[1].Claim(t.Context(), o)
		require.NoError(t, err)
		repeat, err := all[0].Claim(t.Context(), o)
		require.NoError(t, err)
		all[1].Abandon(out.Grant)
		began := time.Now()
		_, err = all[0].Await(t.Context(), o, repeat)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.Less(t, time.Since(began), 2*time.Second)
	})
}

// Guards against a host sending after a pause beyond its deadline.
func TestMaySendAfterPause(t *testing.T) {
	now := time.Now()
	g := &Grant{deadline: now.Add(time.Second)}
	require.True(t, g.MaySend(now))
	require.False(t, g.MaySend(now.Add(time.Second)))
	require.False(t, g.MaySend(now))
}

// Guards against a damaged shard being overwritten, which would forget its claims.
func TestDamagedShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		key := fmt.Sprintf("claims/%d", claim.ShardOf("team", "k"))
		_, err := store.Put(t.Context(), key, 0, []byte(`{"version":9}`))
		require.NoError(t, err)
		_, all := newFleet(t, store, 1)
		defer closeAll(t, all)
		_, err = all[0].Claim(t.Context(), order("k"))
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Positive(t, all[0].Stats().Damaged)
		o, err := store.Get(t.Context(), key)
		require.NoError(t, err)
		require.JSONEq(t, `{"version":9}`, string(o.Value))
	})
}

// Guards against malformed peer calls being applied.
func TestHandleClaimRefuses(t *testing.T) {
	_, all := newFleet(t, platformtest.NewStore(), 1)
	for _, req := range []*peerpb.ClaimRequest{
		{Protocol: 2}, {Protocol: 1, Shard: claim.Shards},
		{Protocol: 1, Operations: [][]byte{[]byte(`{"kind":"expire"}`)}},
		{Protocol: 1, Operations: [][]byte{[]byte(`{}x`)}},
	} {
		_, err := all[0].HandleClaim(t.Context(), req)
		require.Error(t, err)
	}
	closeAll(t, all)
	_, err := all[0].Claim(t.Context(), order("k"))
	require.Equal(t, "shutting_down", verdict.From(err).Code)
}

// Guards against pending finishes lost at shutdown.
func TestCloseFlushes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		_, all := newFleet(t, store, 1)
		out, err := all[0].Claim(t.Context(), order("k"))
		require.NoError(t, err)
		store.SetFaults(platformtest.Faults{Down: true})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err = all[0].Finish(ctx, out.Grant, claim.Response{Status: 200})
		require.Equal(t, verdict.Ran, verdict.Of(err))
		time.AfterFunc(5*time.Second, func() { store.SetFaults(platformtest.Faults{}) })
		closeAll(t, all)
		_, restarted := newFleet(t, store, 1)
		defer closeAll(t, restarted)
		repeat, err := restarted[0].Claim(t.Context(), order("k"))
		require.NoError(t, err)
		require.Equal(t, Done, repeat.Kind)
		require.Equal(t, 200, repeat.Response.Status)
	})
}

// Guards against one write per claim within a shard and against two writes of
// one shard in flight.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slow{Store: platformtest.NewStore()}
		_, all := newFleet(t, store, 1)
		defer closeAll(t, all)
		var wg sync.WaitGroup
		for i, n := 0, 0; n < 100; i++ {
			key := fmt.Sprint(i)
			if claim.ShardOf("team", key) != 7 {
				continue
			}
			n++
			wg.Go(func() {
				out, err := all[0].Claim(t.Context(), order(key))
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
		require.Zero(t, all[0].Stats().Conflicts)
	})
}

// Guards against cached answers that outlive their time or exceed the bounds.
func TestAnswerCache(t *testing.T) {
	var c answerCache
	now := time.Now()
	c.put("a", requestHash, claim.Response{Body: make([]byte, maxCachedAnswerBytes)}, now)
	c.put("b", requestHash, claim.Response{Body: make([]byte, maxCachedAnswerBytes+1)}, now)
	_, ok := c.get("a", now.Add(answerTTL-1))
	require.True(t, ok)
	_, ok = c.get("a", now.Add(answerTTL))
	require.False(t, ok)
	_, ok = c.get("b", now)
	require.False(t, ok)
	for i := range 1000 {
		c.put(fmt.Sprint(i), requestHash, claim.Response{Body: make([]byte, maxCachedAnswerBytes)}, now)
		require.LessOrEqual(t, c.bytes, maxCacheBytes)
	}
	_, ok = c.get("999", now)
	require.True(t, ok)
	c.put("last", requestHash, claim.Response{}, now.Add(answerTTL))
	require.Equal(t, 1, c.len())
	require.Equal(t, entryBytes, c.bytes)
}
