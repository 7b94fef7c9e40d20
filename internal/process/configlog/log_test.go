package configlog

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/platformtest"
)

func putClass(id, name string, expected config.Revision, target int) config.Change {
	return config.Change{ID: id, Ops: []config.Op{{Kind: config.KindClass, Name: name, Action: config.ActionPut,
		Expected: expected, Value: json.RawMessage(fmt.Sprintf(`{"first_token_ms":%d}`, target))}}}
}

func timeoutContext(t testing.TB, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

// mustPropose proposes a change, which must be accepted within 5 s. Tests call it in the virtual
// time of synctest, in which only the delays between attempts count.
func mustPropose(t *testing.T, l *Log, c config.Change) config.Revision {
	t.Helper()
	rev, err := l.Propose(timeoutContext(t, 5*time.Second), c)
	require.NoError(t, err)
	return rev
}

// Guards against a lost response or a dropped write after which a change is
// reported as not accepted, is applied twice, or remains without an outcome
// although the object API is available.
func TestAmbiguousWrites(t *testing.T) {
	for name, faults := range map[string]platformtest.Faults{
		"lost responses": {LoseWriteResponses: 2},
		"dropped writes": {DropWrites: 2},
		"both":           {DropWrites: 1, LoseWriteResponses: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := platformtest.NewStore()
				l := New(Options{Store: store})
				store.SetFaults(faults)
				require.Equal(t, config.Revision(1), mustPropose(t, l, putClass("a", "fast", 0, 100)))
				require.Equal(t, config.Revision(1), mustPropose(t, l, putClass("a", "fast", 0, 100)), "repeated id")
				_, err := l.Propose(timeoutContext(t, time.Second), putClass("a", "fast", 0, 101))
				require.ErrorContains(t, err, "accepted with other operations")
			})
		})
	}
}

// Guards against a change that is reported as not accepted while its write may
// still take effect.
func TestOutageVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		l := New(Options{Store: store})
		store.SetFaults(platformtest.Faults{Down: true})
		_, err := l.Propose(timeoutContext(t, time.Second), putClass("a", "fast", 0, 100))
		require.Equal(t, verdict.NotRun, verdict.Of(err))

		store.SetFaults(platformtest.Faults{})
		lossy := &outageAfterPut{Store: store}
		_, err = New(Options{Store: lossy}).Propose(timeoutContext(t, 300*time.Millisecond), putClass("b", "fast", 0, 100))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))

		store.SetFaults(platformtest.Faults{})
		rev, ok, err := l.Lookup(timeoutContext(t, time.Second), "b")
		require.NoError(t, err)
		require.True(t, ok)
		require.Equal(t, config.Revision(1), rev)
	})
}

// outageAfterPut loses the response to a write and is unavailable afterwards.
type outageAfterPut struct{ *platformtest.Store }

func (d *outageAfterPut) Put(ctx context.Context, key string, v platform.Version, value []byte) (platform.Version, error) {
	d.SetFaults(platformtest.Faults{LoseWriteResponses: 1})
	_, err := d.Store.Put(ctx, key, v, value)
	d.SetFaults(platformtest.Faults{Down: true})
	return 0, err
}

// Guards against two concurrent changes of one item that are both accepted, and
// against a conflict between changes of different items.
func TestConcurrentProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		a, b := New(Options{Store: store}), New(Options{Store: store})
		mustPropose(t, a, putClass("base", "fast", 0, 100))
		var mu sync.Mutex
		conflicts := 0
		var g errgroup.Group
		for i, l := range []*Log{a, b} {
			g.Go(func() error {
				_, err := l.Propose(timeoutContext(t, 5*time.Second), putClass(fmt.Sprint("other-", i), fmt.Sprint("class-", i), 0, 100))
				return err
			})
			g.Go(func() error {
				_, err := l.Propose(timeoutContext(t, 5*time.Second), putClass(fmt.Sprint("same-", i), "fast", 1, 200+i))
				if _, ok := err.(*config.ConflictError); ok {
					mu.Lock()
					conflicts++
					mu.Unlock()
					return nil
				}
				return err
			})
		}
		require.NoError(t, g.Wait())
		require.Equal(t, 1, conflicts)
		reader := New(Options{Store: store})
		_, err := reader.readHead(context.Background())
		require.NoError(t, err)
		require.Equal(t, config.Revision(4), reader.Current().Revision)
		require.Len(t, reader.Current().Classes, 3)
	})
}

// staleStore returns the head set by setOld instead of the stored one.
type staleStore struct {
	*platformtest.Store
	mu  sync.Mutex
	old *platform.Object
}

func (s *staleStore) setOld(o *platform.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.old = o
}

func (s *staleStore) Get(ctx context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.old != nil && key == HeadKey {
		return *s.old, nil
	}
	return s.Store.Get(ctx, key)
}

// Guards against a restarted daemon that received the newest document from a
// peer and then applies a stale head or takes it as a confirmation.
func TestRestartWithStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &staleStore{Store: platformtest.NewStore()}
		first := New(Options{Store: store})
		mustPropose(t, first, putClass("a", "fast", 0, 100))
		old, err := store.Get(context.Background(), HeadKey)
		require.NoError(t, err)
		mustPropose(t, first, putClass("b", "fast", 1, 200))

		restarted := New(Options{Store: store})
		require.NoError(t, restarted.Merge(first.ChangesSince(0)))
		store.setOld(&old)
		_, err = restarted.readHead(context.Background())
		require.ErrorIs(t, err, errStaleHead)
		require.Equal(t, config.Revision(2), restarted.Current().Revision)
		require.Error(t, restarted.LastError())
		_, confirmed := restarted.ConfirmedAge(time.Now())
		require.False(t, confirmed)
		store.setOld(nil)
		require.Equal(t, config.Revision(3), mustPropose(t, restarted, putClass("c", "fast", 2, 300)))
	})
}

// Guards against a compaction that loses a change, the id of an old change or
// the checkpoint to which the head refers.
func TestCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		l := New(Options{Store: store})
		const changes = 200
		for i := range changes {
			mustPropose(t, l, putClass(fmt.Sprint("c", i), "fast", config.Revision(i), 100+i))
		}
		l.pruneIfRequested(context.Background())
		objects, err := store.List(context.Background(), CheckpointPrefix)
		require.NoError(t, err)
		require.Len(t, objects, retainedCheckpoints)

		reader := New(Options{Store: store})
		s, err := reader.readHead(context.Background())
		require.NoError(t, err)
		require.Equal(t, l.Current(), reader.Current())
		require.LessOrEqual(t, len(s.head.Tail), maxTail)
		require.GreaterOrEqual(t, len(s.head.Tail), compactedTail)
		require.Equal(t, config.Revision(1), mustPropose(t, reader, putClass("c0", "fast", 0, 100)), "id in the checkpoint")
		_, err = reader.Propose(context.Background(), putClass("c0", "fast", 0, 101))
		require.ErrorContains(t, err, "accepted with other operations")

		behind := New(Options{Store: store})
		changed, document := l.ChangesSince(1)
		require.Empty(t, changed)
		require.NoError(t, behind.Merge(changed, document))
		require.Equal(t, l.Current(), behind.Current())
		require.Empty(t, behind.History())
		_, err = behind.readHead(context.Background())
		require.NoError(t, err)
		require.Len(t, behind.History(), len(s.head.Tail))
	})
}

// Guards against large changes that make the tail exceed its byte limit.
func TestCompactionBySize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		l := New(Options{Store: store})
		for i := range 30 {
			c := putClass(fmt.Sprint("c", i), "fast", config.Revision(i), 100)
			c.Ops = append(c.Ops, config.Op{Kind: config.KindService, Name: fmt.Sprint("s", i), Action: config.ActionPut, Value: json.RawMessage(
				`{"kind":"engine","cold_limit":1,"warm_limit":1,"models":["m` + fmt.Sprint(i) + `","` + strings.Repeat("x", 100) + fmt.Sprint(i) + `"],
				"rules":[` + strings.Repeat(`{"path_prefix":"/aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa","class":"fast"},`, 60) + `{"class":"fast"}]}`)})
			mustPropose(t, l, c)
			head, err := store.Get(context.Background(), HeadKey)
			require.NoError(t, err)
			require.Less(t, len(head.Value), maxTailBytes+1024)
		}
	})
}

// Guards against a malformed relayed change that replaces the last valid
// document or that LastError does not report.
func TestMergeKeepsLastValidDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Options{Store: platformtest.NewStore()})
		mustPropose(t, l, putClass("a", "fast", 0, 100))
		for _, raw := range []string{`{"revision":2,"change":{"id":"b","colour":1}}`, `{"revision":9,"change":{"id":"b","ops":[]}}`, `x`} {
			require.Error(t, l.Merge([][]byte{[]byte(raw)}, nil))
			require.Error(t, l.LastError())
			require.Equal(t, config.Revision(1), l.Current().Revision)
		}
		require.NoError(t, l.Merge(nil, []byte(`{"revision":0}`)))
		require.Equal(t, config.Revision(1), l.Current().Revision)
	})
}

// Guards against an age that is measured from the response instead of the
// request, and against a confirmation of a revision that this host does not have
// yet.
func TestConfirmedAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		now := start
		store := platformtest.NewStore()
		source := New(Options{Store: store})
		mustPropose(t, source, putClass("a", "fast", 0, 100))
		l := New(Options{Store: store, Now: func() time.Time { return now }})
		now = start.Add(2 * time.Second)
		l.RecordConfirmation(1, time.Second, start)
		_, ok := l.ConfirmedAge(now)
		require.False(t, ok)
		require.NoError(t, l.Merge(source.ChangesSince(0)))
		age, ok := l.ConfirmedAge(now)
		require.True(t, ok)
		require.Equal(t, 3*time.Second, age)
		l.RecordConfirmation(1, -time.Second, start)
		l.RecordConfirmation(1, 0, now.Add(time.Hour))
		age, _ = l.ConfirmedAge(now)
		require.Equal(t, 3*time.Second, age)
	})
}

// unchangedWatch is a store whose watches end unchanged after one second of the
// test clock.
type unchangedWatch struct {
	*platformtest.Store
	now *time.Time
}

func (s unchangedWatch) Watch(context.Context, string, platform.Version, time.Duration) (platform.Object, error) {
	*s.now = s.now.Add(time.Second)
	return platform.Object{}, platform.ErrUnchanged
}

// Guards against an unchanged watch that confirms the revision as of its end
// instead of its start, and against a confirmation by a watch of a head that is
// older than the current one.
func TestUnchangedWatch(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	l := New(Options{Store: unchangedWatch{platformtest.NewStore(), &now}, Now: func() time.Time { return now }})
	seen, err := l.readOrWatch(context.Background(), observedHead{}, true)
	require.NoError(t, err)
	age, ok := l.ConfirmedAge(now)
	require.True(t, ok)
	require.Equal(t, time.Second, age)
	require.NoError(t, l.Merge(nil, []byte(`{"revision":1}`)))
	_, err = l.readOrWatch(context.Background(), seen, true)
	require.ErrorIs(t, err, errStaleHead)
	age, _ = l.ConfirmedAge(now)
	require.Equal(t, 2*time.Second, age)
}

// Guards against a watcher that exceeds the freshness bound while the object API
// is available, that overloads it during an outage, or that misses the changes of
// another daemon.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.NewStore()
		l, writer := New(Options{Store: store}), New(Options{Store: store})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		defer func() { cancel(); <-done }()
		seen := make(chan config.Revision, 16)
		l.Subscribe(func(d *config.Document) { seen <- d.Revision })
		require.Equal(t, config.Revision(0), <-seen)
		mustPropose(t, writer, putClass("a", "fast", 0, 100))
		require.Equal(t, config.Revision(1), <-seen)

		// 3.5 s, so that the age stays below 3 s only with new confirmations.
		for range 35 {
			time.Sleep(100 * time.Millisecond)
			age, ok := l.ConfirmedAge(time.Now())
			require.True(t, ok)
			require.Less(t, age, 3*time.Second)
		}
		store.SetFaults(platformtest.Faults{Down: true})
		_, readsBefore := store.Counts()
		time.Sleep(2 * time.Second)
		_, readsAfter := store.Counts()
		require.LessOrEqual(t, readsAfter-readsBefore, 10)
		store.SetFaults(platformtest.Faults{})
		mustPropose(t, writer, putClass("b", "fast", 1, 200))
		require.Eventually(t, func() bool { return l.Current().Revision == 2 && l.LastError() == nil }, 5*time.Second, 10*time.Millisecond)
	})
}

// Guards against a revision that decreases and against an accepted change that is
// lost or applied twice, under any sequence of faults, restarts and relayed
// changes.
func TestLogProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := platformtest.NewStore()
		logs := []*Log{New(Options{Store: store}), New(Options{Store: store})}
		accepted, unresolved := map[string]config.Revision{}, []config.Change{}
		steps := rapid.IntRange(1, 100).Draw(t, "steps")
		for i := range steps {
			n := rapid.IntRange(0, 1).Draw(t, "host")
			l := logs[n]
			revisionBefore := l.Current().Revision
			switch rapid.SampledFrom([]string{"propose", "propose", "propose", "repeat", "relay", "restart"}).Draw(t, "step") {
			case "propose":
				store.SetFaults(platformtest.Faults{Down: rapid.IntRange(0, 9).Draw(t, "down") == 0,
					LoseWriteResponses: rapid.IntRange(0, 1).Draw(t, "lose"), DropWrites: rapid.IntRange(0, 1).Draw(t, "drop")})
				name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class")
				seen := rapid.SampledFrom(logs).Draw(t, "reader").Current().Classes[name].Revision
				c := putClass(fmt.Sprint("change-", i), name, seen, 1+i)
				ctx, cancel := context.WithTimeout(context.Background(), rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second}).Draw(t, "limit"))
				if rev, err := l.Propose(ctx, c); err == nil {
					accepted[c.ID] = rev
				} else if _, ok := err.(*config.ConflictError); !ok {
					if verdict.Of(err) == verdict.MayHaveRun {
						unresolved = append(unresolved, c)
					}
				}
				cancel()
				store.SetFaults(platformtest.Faults{})
			case "repeat":
				if len(unresolved) == 0 {
					continue
				}
				c := unresolved[0]
				unresolved = unresolved[1:]
				if rev, err := l.Propose(context.Background(), c); err == nil {
					accepted[c.ID] = rev
				}
			case "relay":
				require.NoError(t, l.Merge(logs[1-n].ChangesSince(revisionBefore)))
				require.GreaterOrEqual(t, l.Current().Revision, logs[1-n].Current().Revision)
			case "restart":
				logs[n] = New(Options{Store: store})
				_, err := logs[n].readHead(context.Background())
				require.NoError(t, err)
			}
			require.GreaterOrEqual(t, logs[n].Current().Revision, revisionBefore)
		}
		requireExactlyOnce(t, store, accepted, unresolved)
	})
}

func requireExactlyOnce(t *rapid.T, store platform.ObjectStore, accepted map[string]config.Revision, unresolved []config.Change) {
	l := New(Options{Store: store})
	s, err := l.readHead(context.Background())
	require.NoError(t, err)
	checkpoint, err := l.loadCheckpoint(context.Background(), s.head.Checkpoint)
	require.NoError(t, err)
	mayBeAccepted := map[string]bool{}
	for _, c := range unresolved {
		mayBeAccepted[c.ID] = true
	}
	ids := acceptedIDs(checkpoint, s.head)
	require.Len(t, ids, int(s.head.Revision))
	found := map[string]config.Revision{}
	for i, a := range ids {
		require.Equal(t, config.Revision(i+1), a.Revision)
		require.NotContains(t, found, a.ID)
		require.True(t, mayBeAccepted[a.ID] || accepted[a.ID] == a.Revision, "change %s at %d", a.ID, a.Revision)
		found[a.ID] = a.Revision
	}
	for id, rev := range accepted {
		require.Equal(t, rev, found[id])
	}
}
