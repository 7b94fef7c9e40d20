package issuer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"monsoonkeel.example/monsoonkeel/core/issuer"
	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/platformtest"
)

// world is a deployment in virtual time. Every platform call can be paused:
// time passes and the other issuer runs while the caller waits.
type world struct {
	t       require.TestingT
	now     time.Time
	store   *platformtest.Store
	engines map[string]*engine
	issuers []*Issuer
	// pauses are the lengths of the next calls, in seconds; 0 is none.
	pauses []int
	// stepping is the issuer that run steps.
	stepping int
	// nested prevents a pause within a pause.
	nested bool
	// latePauses allows pauses between the check and the arrival of a command.
	latePauses   bool
	weightErrors int
	// lateWrites is the number of next writes that are answered with an unknown
	// outcome and arrive just before the write after them.
	lateWrites int
	lateWrite  func()
	failReads  int
}

type engine struct {
	checks  bool
	applied []platform.ControlCommand
	// refuse and lose count the next commands to fail that way.
	refuse, lose int
	// late is set once a command arrived after its issuer was paused.
	late bool
}

func (w *world) pause() {
	if w.nested || len(w.pauses) == 0 {
		return
	}
	seconds := w.pauses[0]
	w.pauses = w.pauses[1:]
	w.nested = true
	for range seconds {
		w.now = w.now.Add(time.Second)
		for n, i := range w.issuers {
			if n != w.stepping {
				_ = i.Step(context.Background())
			}
		}
	}
	w.nested = false
}

// pausedStore pauses the caller before a call takes effect.
type pausedStore struct {
	platform.ObjectStore
	w *world
}

func (s pausedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	s.w.pause()
	if s.w.failReads > 0 {
		s.w.failReads--
		return platform.Object{}, platform.ErrUnavailable
	}
	o, err := s.ObjectStore.Get(ctx, key)
	s.w.pause()
	return o, err
}

func (s pausedStore) Put(ctx context.Context, key string, expected platform.Version, value []byte) (platform.Version, error) {
	s.w.pause()
	late := s.w.lateWrite
	s.w.lateWrite = nil
	if late != nil {
		late()
	}
	if s.w.lateWrites > 0 {
		s.w.lateWrites--
		s.w.lateWrite = func() { _, _ = s.ObjectStore.Put(context.WithoutCancel(ctx), key, expected, value) }
		s.w.pause()
		return 0, platform.ErrOutcomeUnknown
	}
	v, err := s.ObjectStore.Put(ctx, key, expected, value)
	s.w.pause()
	return v, err
}

// control is the engines as seen by one issuer.
type control struct {
	w    *world
	self int
}

func (c control) Control(_ context.Context, address string, command platform.ControlCommand) error {
	w, e := c.w, c.w.engines[address]
	// The issuer's check has just passed: no other issuer may pass it too.
	for n, other := range w.issuers {
		if n != c.self {
			require.False(w.t, other.maySend(other.opt.Now()), "issuers %d and %d may send at the same time", c.self, n)
		}
	}
	if w.latePauses {
		before := w.now
		w.pause()
		e.late = e.late || w.now != before
	}
	highest := uint64(0)
	for _, a := range e.applied {
		highest = max(highest, a.FencingToken)
	}
	if e.refuse > 0 {
		e.refuse--
		return platform.ErrUnavailable
	}
	if e.checks && command.FencingToken < highest {
		return platform.ErrFenced
	}
	require.True(w.t, command.FencingToken >= highest || e.late, "the fencing number went back")
	e.applied = append(e.applied, command)
	if e.lose > 0 {
		e.lose--
		return errors.New("answer lost")
	}
	return nil
}

func (c control) Applied(_ context.Context, address string) ([]platform.ControlCommand, error) {
	c.w.pause()
	return append([]platform.ControlCommand(nil), c.w.engines[address].applied...), nil
}

func (c control) Weights(context.Context, string, string) ([]byte, error) {
	if c.w.weightErrors > 0 {
		c.w.weightErrors--
		return nil, platform.ErrUnavailable
	}
	return []byte("weights"), nil
}

func newWorld(t require.TestingT) *world {
	w := &world{t: t, now: time.Unix(1_800_000_000, 0), store: platformtest.NewStore(), engines: map[string]*engine{}}
	for _, id := range []string{"checks", "ignores"} {
		w.engines[id] = &engine{checks: id == "checks"}
	}
	return w
}

func (w *world) hosts() ([]platform.Host, bool) {
	var out []platform.Host
	for id, e := range w.engines {
		out = append(out, platform.Host{ID: id, Role: platform.RoleBackend, Service: "s", Kind: "engine", Address: id,
			State: platform.HostLive, ChecksFencing: e.checks})
	}
	return out, true
}

// options returns those of daemon self, whose clock is offset and drifts by perMille.
func (w *world) options(self int, offset time.Duration, perMille int) Options {
	began := w.now
	return Options{
		Holder: fmt.Sprintf("entry-%d/a", self), Store: pausedStore{w.store, w}, Engines: control{w, self}, Weights: control{w, self},
		Hosts: w.hosts, IsCandidate: func(string) bool { return true }, Concurrency: 1, Log: zerolog.Nop(),
		Now: func() time.Time {
			elapsed := w.now.Sub(began)
			return began.Add(offset + elapsed + elapsed*time.Duration(perMille)/1000)
		},
		NewRand: func() *rand.Rand { return rand.New(rand.NewPCG(1, uint64(self))) },
	}
}

func (w *world) run(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		for w.stepping = range w.issuers {
			_ = w.issuers[w.stepping].Step(context.Background())
		}
	}
}

// settle runs until all commands are finished, at most for 400 s, and then for
// three comparisons of the engines' states, which repair late commands.
func (w *world) settle() {
	for range 40 {
		w.run(10)
		if !w.document().HasUnfinished() {
			break
		}
	}
	w.run(30)
}

func (w *world) document() *issuer.Document {
	doc, _, err := (&Options{Store: w.store}).readDocument(context.Background(), "s")
	require.NoError(w.t, err)
	return doc
}

// Guards against a daemon that starts to send, or reuses fencing numbers that
// engines have seen, while the holder under a lost document may still send.
func TestLostDocument(t *testing.T) {
	w := newWorld(t)
	a, b := NewIssuer(w.options(0, 0, 0), "s"), NewIssuer(w.options(1, 0, 0), "s")
	w.issuers = []*Issuer{a}
	manager := NewManager(w.options(9, 0, 0), func() []string { return []string{"s"} })
	submit := func(id, name string) {
		_, err := manager.Submit(t.Context(), "s", issuer.Request{ID: id, Kind: issuer.KindLoad, Name: name})
		require.NoError(t, err)
	}
	submit("c1", "m1")
	for range 20 {
		if len(w.engines["checks"].applied)+len(w.engines["ignores"].applied) == 0 {
			w.run(1)
		}
	}
	w.weightErrors = 1 << 20 // keeps the role held
	w.run(20)
	require.True(t, a.maySend(w.now))
	object, err := w.store.Get(t.Context(), "issuer/s")
	require.NoError(t, err)
	require.NoError(t, w.store.Delete(t.Context(), "issuer/s", object.Version))
	submit("c3", "m3")
	w.weightErrors = 0
	for range 20 {
		require.False(t, a.maySend(w.now) && b.maySend(w.now))
		require.NoError(t, b.Step(t.Context()))
		w.now = w.now.Add(500 * time.Millisecond)
	}
	for _, c := range w.document().Commands {
		require.Equal(t, issuer.Applied, c.Status)
		require.Greater(t, c.FencingToken, a.fence)
	}
}

// Guards against a late write of an earlier update that is taken for the
// current one, which would drop statuses and extend the lease too far.
func TestLateWriteOfEarlierUpdate(t *testing.T) {
	w := newWorld(t)
	i := NewIssuer(w.options(0, 0, 0), "s")
	manager := NewManager(w.options(9, 0, 0), func() []string { return []string{"s"} })
	_, err := manager.Submit(t.Context(), "s", issuer.Request{ID: "c", Kind: issuer.KindLoad, Name: "m", Backends: []string{"checks"}})
	require.NoError(t, err)
	require.NoError(t, i.Step(t.Context()))
	require.True(t, i.holding)
	w.lateWrites, w.failReads = 1, 1
	require.ErrorIs(t, i.record(t.Context(), nil), platform.ErrUnavailable)
	require.NoError(t, i.read(t.Context()))
	require.NoError(t, i.record(t.Context(), []issuer.Result{{ID: "c", Backend: "checks", Status: issuer.Failed}}))
	require.Equal(t, issuer.Failed, w.document().Commands[0].Status)
}

// Guards against fencing numbers that go back, two issuers that send at the
// same time, lost commands and engines that end in a state other than the
// desired one, under pauses, drifting clocks, lost answers, outages of all
// parts and engine restarts. At an engine that ignores fencing numbers, the
// order of numbers is not checked after a pause between check and send.
func TestIssuersUnderFaults(t *testing.T) {
	takeovers, late, fencedRuns := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		w.latePauses = rapid.Bool().Draw(rt, "late pauses")
		for n := range 2 {
			offset := time.Duration(rapid.IntRange(-3600, 3600).Draw(rt, "clock offset")) * time.Second
			w.issuers = append(w.issuers, NewIssuer(w.options(n, offset, rapid.IntRange(-9, 9).Draw(rt, "drift")), "s"))
		}
		manager := NewManager(w.options(9, 0, 0), func() []string { return []string{"s"} })
		manager.opt.Store = w.store
		desired := map[string]string{}
		accepted := 0
		for step := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			e := w.engines[rapid.SampledFrom([]string{"checks", "ignores"}).Draw(rt, "engine")]
			switch rapid.SampledFrom([]string{"submit", "submit", "store", "engine", "weights", "restart", "none"}).Draw(rt, "event") {
			case "submit":
				kind := rapid.SampledFrom([]issuer.Kind{issuer.KindLoad, issuer.KindUnload, issuer.KindRole}).Draw(rt, "kind")
				name := rapid.SampledFrom([]string{"a", "b@2"}).Draw(rt, "name")
				ctx, cancel := context.WithCancel(context.Background())
				w.store.SetFaults(platformtest.Faults{})
				_, err := manager.Submit(ctx, "s", issuer.Request{ID: fmt.Sprint("c", step), Kind: kind, Name: name})
				cancel()
				require.NoError(rt, err)
				accepted++
				if kind == issuer.KindRole {
					desired["role"] = name
				} else {
					desired[name] = string(kind)
				}
			case "store":
				w.store.SetFaults(platformtest.Faults{Down: rapid.Bool().Draw(rt, "down"),
					LoseWriteResponses: rapid.IntRange(0, 3).Draw(rt, "lose"), DropWrites: rapid.IntRange(0, 3).Draw(rt, "drop")})
				w.lateWrites = rapid.IntRange(0, 2).Draw(rt, "late writes")
			case "engine":
				e.refuse, e.lose = rapid.IntRange(0, 2).Draw(rt, "refuse"), rapid.IntRange(0, 2).Draw(rt, "lose")
			case "weights":
				w.weightErrors = rapid.IntRange(0, 3).Draw(rt, "weight errors")
			case "restart":
				e.applied = nil
			}
			w.pauses = rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 4, 8}), 0, 20).Draw(rt, "pauses")
			w.run(rapid.IntRange(1, 6).Draw(rt, "seconds"))
		}
		w.store.SetFaults(platformtest.Faults{})
		w.pauses, w.weightErrors, w.lateWrites = nil, 0, 0
		for _, e := range w.engines {
			e.refuse, e.lose = 0, 0
		}
		w.settle()
		doc := w.document()
		require.Len(rt, doc.Commands, 2*accepted)
		for _, c := range doc.Commands {
			require.Equal(rt, issuer.Applied, c.Status, "%+v", c)
		}
		for id, e := range w.engines {
			var s issuer.EngineState
			for _, c := range e.applied {
				s.Apply(issuer.Kind(c.Kind), c.Name, c.FencingToken)
			}
			for name, want := range desired {
				if name == "role" {
					require.Equal(rt, want, s.Role, id)
				} else {
					require.Equal(rt, want == "load", s.Loaded[name], "%s of %s", name, id)
				}
			}
			if e.late {
				late++
			}
		}
		if doc.FencingToken > 2 {
			takeovers++
		}
		if w.latePauses {
			fencedRuns++
		}
	})
	require.Positive(t, takeovers, "no run had a second holder")
	require.Positive(t, late, "no run had a late command")
	require.Positive(t, fencedRuns)
}
