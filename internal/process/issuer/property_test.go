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

// simulation is a deployment in virtual time. Every platform call can be paused:
// time passes and the other issuer runs while the caller waits.
type simulation struct {
	t       require.TestingT
	now     time.Time
	store   *platformtest.Store
	engines map[string]*engine
	issuers []*Issuer
	// pauses are the durations of the pauses of the next calls in seconds; 0 means
	// no pause.
	pauses []int
	// stepping is the index of the issuer whose Step runs.
	stepping int
	// pausing is set during a pause and prevents a nested one.
	pausing bool
	// latePauses permits pauses between the lease check and the arrival of a command.
	latePauses   bool
	weightErrors int
	// lateWrites is the number of next writes that return an unknown outcome and
	// take effect immediately before the following write.
	lateWrites int
	lateWrite  func()
	failReads  int // number of next reads that fail
}

// engine is a simulated model engine.
type engine struct {
	checksFencing bool // rejects commands with an older fencing token
	applied       []platform.ControlCommand
	// rejectNext and loseResponses are the numbers of next commands that are
	// rejected, and that are applied but whose response is lost.
	rejectNext, loseResponses int
	// late is set once a command arrived after a pause of its issuer.
	late bool
}

func (sim *simulation) pause() {
	if sim.pausing || len(sim.pauses) == 0 {
		return
	}
	seconds := sim.pauses[0]
	sim.pauses = sim.pauses[1:]
	sim.pausing = true
	for range seconds {
		sim.now = sim.now.Add(time.Second)
		for n, i := range sim.issuers {
			if n != sim.stepping {
				_ = i.Step(context.Background())
			}
		}
	}
	sim.pausing = false
}

// pausedStore pauses the caller before and after a call takes effect.
type pausedStore struct {
	platform.ObjectStore
	sim *simulation
}

func (s pausedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	s.sim.pause()
	if s.sim.failReads > 0 {
		s.sim.failReads--
		return platform.Object{}, platform.ErrUnavailable
	}
	o, err := s.ObjectStore.Get(ctx, key)
	s.sim.pause()
	return o, err
}

func (s pausedStore) Put(ctx context.Context, key string, expected platform.Version, value []byte) (platform.Version, error) {
	s.sim.pause()
	late := s.sim.lateWrite
	s.sim.lateWrite = nil
	if late != nil {
		late()
	}
	if s.sim.lateWrites > 0 {
		s.sim.lateWrites--
		s.sim.lateWrite = func() { _, _ = s.ObjectStore.Put(context.WithoutCancel(ctx), key, expected, value) }
		s.sim.pause()
		return 0, platform.ErrOutcomeUnknown
	}
	v, err := s.ObjectStore.Put(ctx, key, expected, value)
	s.sim.pause()
	return v, err
}

// engineControl implements the engine and weight store calls of one issuer.
type engineControl struct {
	sim  *simulation
	self int
}

func (c engineControl) Control(_ context.Context, address string, command platform.ControlCommand) error {
	sim, e := c.sim, c.sim.engines[address]
	// The lease check of this issuer has just passed; that of any other must fail.
	for n, other := range sim.issuers {
		if n != c.self {
			require.False(sim.t, other.maySend(other.opt.Now()), "issuers %d and %d may both send", c.self, n)
		}
	}
	if sim.latePauses {
		before := sim.now
		sim.pause()
		e.late = e.late || sim.now != before
	}
	highest := uint64(0)
	for _, a := range e.applied {
		highest = max(highest, a.FencingToken)
	}
	if e.rejectNext > 0 {
		e.rejectNext--
		return platform.ErrUnavailable
	}
	if e.checksFencing && command.FencingToken < highest {
		return platform.ErrFenced
	}
	require.True(sim.t, command.FencingToken >= highest || e.late, "the fencing token decreased")
	e.applied = append(e.applied, command)
	if e.loseResponses > 0 {
		e.loseResponses--
		return errors.New("response lost")
	}
	return nil
}

func (c engineControl) Applied(_ context.Context, address string) ([]platform.ControlCommand, error) {
	c.sim.pause()
	return append([]platform.ControlCommand(nil), c.sim.engines[address].applied...), nil
}

func (c engineControl) Weights(context.Context, string, string) ([]byte, error) {
	if c.sim.weightErrors > 0 {
		c.sim.weightErrors--
		return nil, platform.ErrUnavailable
	}
	return []byte("weights"), nil
}

func newSimulation(t require.TestingT) *simulation {
	sim := &simulation{t: t, now: time.Unix(1_800_000_000, 0), store: platformtest.NewStore(), engines: map[string]*engine{}}
	for _, id := range []string{"checks", "ignores"} {
		sim.engines[id] = &engine{checksFencing: id == "checks"}
	}
	return sim
}

func (sim *simulation) hosts() ([]platform.Host, bool) {
	var out []platform.Host
	for id, e := range sim.engines {
		out = append(out, platform.Host{ID: id, Role: platform.RoleBackend, Service: "s", Kind: "engine", Address: id,
			State: platform.HostLive, ChecksFencing: e.checksFencing})
	}
	return out, true
}

// options returns the options of daemon self. Its clock has the given offset and
// a drift in thousandths.
func (sim *simulation) options(self int, offset time.Duration, perMille int) Options {
	began := sim.now
	return Options{
		Holder: fmt.Sprintf("entry-%d/a", self), Store: pausedStore{sim.store, sim}, Engines: engineControl{sim, self}, Weights: engineControl{sim, self},
		Hosts: sim.hosts, IsCandidate: func(string) bool { return true }, Concurrency: 1, Log: zerolog.Nop(),
		Now: func() time.Time {
			elapsed := sim.now.Sub(began)
			return began.Add(offset + elapsed + elapsed*time.Duration(perMille)/1000)
		},
		NewRand: func() *rand.Rand { return rand.New(rand.NewPCG(1, uint64(self))) },
	}
}

func (sim *simulation) run(seconds int) {
	for range seconds {
		sim.now = sim.now.Add(time.Second)
		for sim.stepping = range sim.issuers {
			_ = sim.issuers[sim.stepping].Step(context.Background())
		}
	}
}

// settle runs until all commands are finished, for at most 400 s, and then for
// three comparisons of the engines' states, which correct the effects of late
// commands.
func (sim *simulation) settle() {
	for range 40 {
		sim.run(10)
		if !sim.document().HasUnfinished() {
			break
		}
	}
	sim.run(30)
}

func (sim *simulation) document() *issuer.Document {
	doc, _, err := (&Options{Store: sim.store}).readDocument(context.Background(), "s")
	require.NoError(sim.t, err)
	return doc
}

// Guards against a second daemon that, after the document was lost, sends while
// the former lease holder may still send, or reuses fencing tokens that engines
// have already applied.
func TestLostDocument(t *testing.T) {
	sim := newSimulation(t)
	a, b := NewIssuer(sim.options(0, 0, 0), "s"), NewIssuer(sim.options(1, 0, 0), "s")
	sim.issuers = []*Issuer{a}
	manager := NewManager(sim.options(9, 0, 0), func() []string { return []string{"s"} })
	submit := func(id, name string) {
		_, err := manager.Submit(t.Context(), "s", issuer.Request{ID: id, Kind: issuer.KindLoad, Name: name})
		require.NoError(t, err)
	}
	submit("c1", "m1")
	for range 20 {
		if len(sim.engines["checks"].applied)+len(sim.engines["ignores"].applied) == 0 {
			sim.run(1)
		}
	}
	sim.weightErrors = 1 << 20 // keeps a command unfinished, so that the lease is not released
	sim.run(20)
	require.True(t, a.maySend(sim.now))
	object, err := sim.store.Get(t.Context(), "issuer/s")
	require.NoError(t, err)
	require.NoError(t, sim.store.Delete(t.Context(), "issuer/s", object.Version))
	submit("c3", "m3")
	sim.weightErrors = 0
	for range 20 {
		require.False(t, a.maySend(sim.now) && b.maySend(sim.now))
		require.NoError(t, b.Step(t.Context()))
		sim.now = sim.now.Add(500 * time.Millisecond)
	}
	for _, c := range sim.document().Commands {
		require.Equal(t, issuer.Applied, c.Status)
		require.Greater(t, c.FencingToken, a.fencingToken)
	}
}

// Guards against a late write of an earlier update that is mistaken for the
// current one: statuses would be lost and the lease extended too far.
func TestLateWriteOfEarlierUpdate(t *testing.T) {
	sim := newSimulation(t)
	i := NewIssuer(sim.options(0, 0, 0), "s")
	manager := NewManager(sim.options(9, 0, 0), func() []string { return []string{"s"} })
	_, err := manager.Submit(t.Context(), "s", issuer.Request{ID: "c", Kind: issuer.KindLoad, Name: "m", Backends: []string{"checks"}})
	require.NoError(t, err)
	require.NoError(t, i.Step(t.Context()))
	require.True(t, i.holdsLease)
	sim.lateWrites, sim.failReads = 1, 1
	require.ErrorIs(t, i.record(t.Context(), nil), platform.ErrUnavailable)
	require.NoError(t, i.read(t.Context()))
	require.NoError(t, i.record(t.Context(), []issuer.Result{{ID: "c", Backend: "checks", Status: issuer.Failed}}))
	require.Equal(t, issuer.Failed, sim.document().Commands[0].Status)
}

// Guards against fencing tokens that decrease, two issuers that send at the same
// time, lost commands and engines that do not reach the desired state, under
// pauses, clock drift, lost responses, outages of every component and engine
// restarts. At an engine that ignores fencing tokens, their order is not checked
// after a pause between the lease check and the send.
func TestIssuersUnderFaults(t *testing.T) {
	takeovers, late, latePauseRuns := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		sim.latePauses = rapid.Bool().Draw(rt, "late pauses")
		for n := range 2 {
			offset := time.Duration(rapid.IntRange(-3600, 3600).Draw(rt, "clock offset")) * time.Second
			sim.issuers = append(sim.issuers, NewIssuer(sim.options(n, offset, rapid.IntRange(-9, 9).Draw(rt, "drift")), "s"))
		}
		manager := NewManager(sim.options(9, 0, 0), func() []string { return []string{"s"} })
		manager.opt.Store = sim.store
		desired := map[string]string{}
		accepted := 0
		for step := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			e := sim.engines[rapid.SampledFrom([]string{"checks", "ignores"}).Draw(rt, "engine")]
			switch rapid.SampledFrom([]string{"submit", "submit", "store", "engine", "weights", "restart", "none"}).Draw(rt, "event") {
			case "submit":
				kind := rapid.SampledFrom([]issuer.Kind{issuer.KindLoad, issuer.KindUnload, issuer.KindRole}).Draw(rt, "kind")
				name := rapid.SampledFrom([]string{"a", "b@2"}).Draw(rt, "name")
				ctx, cancel := context.WithCancel(context.Background())
				sim.store.SetFaults(platformtest.Faults{})
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
				sim.store.SetFaults(platformtest.Faults{Down: rapid.Bool().Draw(rt, "down"),
					LoseWriteResponses: rapid.IntRange(0, 3).Draw(rt, "lose"), DropWrites: rapid.IntRange(0, 3).Draw(rt, "drop")})
				sim.lateWrites = rapid.IntRange(0, 2).Draw(rt, "late writes")
			case "engine":
				e.rejectNext, e.loseResponses = rapid.IntRange(0, 2).Draw(rt, "refuse"), rapid.IntRange(0, 2).Draw(rt, "lose")
			case "weights":
				sim.weightErrors = rapid.IntRange(0, 3).Draw(rt, "weight errors")
			case "restart":
				e.applied = nil
			}
			sim.pauses = rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 4, 8}), 0, 20).Draw(rt, "pauses")
			sim.run(rapid.IntRange(1, 6).Draw(rt, "seconds"))
		}
		sim.store.SetFaults(platformtest.Faults{})
		sim.pauses, sim.weightErrors, sim.lateWrites = nil, 0, 0
		for _, e := range sim.engines {
			e.rejectNext, e.loseResponses = 0, 0
		}
		sim.settle()
		doc := sim.document()
		require.Len(rt, doc.Commands, 2*accepted)
		for _, c := range doc.Commands {
			require.Equal(rt, issuer.Applied, c.Status, "%+v", c)
		}
		for id, e := range sim.engines {
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
		if sim.latePauses {
			latePauseRuns++
		}
	})
	require.Positive(t, takeovers, "no run had a second lease holder")
	require.Positive(t, late, "no run had a late command")
	require.Positive(t, latePauseRuns)
}
