package directory

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"
)

// storeModel is the platform's store with the backend servers and the domains out of service.
type storeModel struct {
	revision int64
	objects  map[Kind]map[string]Change
	history  map[Kind][]revised
	// compacted is the revision up to which the history is gone.
	compacted int64
	// starts is the number of server processes so far, and left has those with a termination notice.
	starts int64
	left   map[int64]bool
	// era is 0 for a store that never comes back from an older copy, which is kept in older.
	era   int64
	older *storeModel
}

// revisionInEra returns a revision of the present era as hosts see it.
func (s *storeModel) revisionInEra(revision int64) int64 {
	r, err := RevisionInEra(s.era, revision)
	if err != nil {
		panic(err)
	}
	return r
}

// copy keeps a copy of the store.
func (s *storeModel) copy() {
	s.older = &storeModel{revision: s.revision, objects: map[Kind]map[string]Change{}}
	for kind, objects := range s.objects {
		s.older.objects[kind] = maps.Clone(objects)
	}
}

// comeBack replaces the store by its older copy, as far as there is one. Servers write their notices again, and remove the entries
// of those that have ended; the operators write what they had written. It returns the lost registrations, which are written again
// some time later.
func (s *storeModel) comeBack() (again []Change) {
	if s.older == nil {
		return nil
	}
	former := s.objects
	s.era++
	s.revision, s.objects, s.older, s.compacted = s.older.revision, s.older.objects, nil, s.older.revision
	s.history = map[Kind][]revised{}
	for _, kind := range convergenceKinds {
		for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
			if _, ok := former[kind][name]; !ok {
				s.write(kind, Change{Name: name, Deleted: true})
			}
		}
		for _, name := range slices.Sorted(maps.Keys(former[kind])) {
			c := former[kind][name]
			if _, ok := s.objects[kind][name]; !ok && kind == Backends {
				again = append(again, c)
			} else {
				s.write(kind, c)
			}
		}
	}
	return again
}

// revised is a change and its revision.
type revised struct {
	Change
	revision int64
}

func (s *storeModel) write(kind Kind, c Change) {
	s.revision++
	if !c.Deleted {
		c.Revision = s.revision
	}
	if c.Deleted {
		delete(s.objects[kind], c.Name)
	} else {
		s.objects[kind][c.Name] = c
	}
	s.history[kind] = append(s.history[kind], revised{c, s.revision})
}

func (s *storeModel) list(kind Kind) Batch {
	b := Batch{Revision: s.revisionInEra(s.revision)}
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		c := s.objects[kind][name]
		c.Revision = s.revisionInEra(c.Revision)
		b.Changes = append(b.Changes, c)
	}
	return b
}

// watch returns the changes after a revision, or false if they are compacted or of another era.
func (s *storeModel) watch(kind Kind, after int64) (Batch, bool) {
	if EraOf(after) != s.era || StoreRevision(after) < s.compacted {
		return Batch{}, false
	}
	b := Batch{Revision: s.revisionInEra(s.revision)}
	for _, r := range s.history[kind] {
		if r.revision > StoreRevision(after) {
			c := r.Change
			if !c.Deleted {
				c.Revision = s.revisionInEra(c.Revision)
			}
			b.Changes = append(b.Changes, c)
		}
	}
	return b, true
}

// convergence plays hosts that call the store themselves, relay to each other and get all of that late, twice, out of
// order or not at all.
type convergence struct {
	t     *rapid.T
	c     *clock
	store *storeModel
	hosts []*Directory
	// inFlight are answers of the store and messages that have not arrived.
	inFlight []func()
	steps    []string
}

// convergenceSteps are what happens to a store that keeps what it has acknowledged.
var convergenceSteps = []string{
	"register", "leave", "remove", "expire", "domain", "outage", "call", "call", "list", "relay", "relay", "repair", "deliver", "deliver", "lose", "wait", "forget", "restart", "compact",
}

var convergenceKinds = []Kind{Backends, DomainsOut}

func (m *convergence) newHost() *Directory {
	d, _ := newDirectory(nil)
	d.opts.Clock = m.c.Now
	d.apply(Configuration, Batch{Changes: []Change{configuration(1)}, Revision: 1}, true, m.c.Now())
	d.SetRelaying(true)
	return d
}

// call starts a call of a host to the store and returns how its answer is applied.
func (m *convergence) call(d *Directory, kind Kind, list bool) func() {
	sent := m.c.Now()
	if !list && d.loaded[kind] {
		if batch, ok := m.store.watch(kind, d.cursorOf(kind)); ok {
			return func() { d.apply(kind, batch, false, sent) }
		}
	}
	batch := m.store.list(kind)
	return func() { d.apply(kind, batch, true, sent) }
}

// relay returns how an update of one host, or what another lacks of it, is applied at the other.
func (m *convergence) relay(from, to *Directory, repair bool) func() {
	var u *RelayedUpdate
	if repair {
		u = from.Missing(to.Versions())
	} else {
		u = from.RelayedUpdate()
	}
	if u == nil {
		return func() {}
	}
	sent := m.c.Now()
	return func() { to.ApplyRelayed(u, sent) }
}

func (m *convergence) host() *Directory {
	return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")]
}

func (m *convergence) step() {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "server")
	switch op := rapid.SampledFrom(m.steps).Draw(m.t, "step"); op {
	case "register":
		c := ready(id)
		if known, ok := m.store.objects[Backends][id]; ok || rapid.Bool().Draw(m.t, "again") && m.store.starts > 0 {
			if ok {
				c.Backend.StartTime = known.Backend.StartTime
			} else {
				c.Backend.StartTime = m.store.starts
			}
		} else {
			m.store.starts++
			c.Backend.StartTime = m.store.starts
		}
		c.Backend.Leaving = m.store.left[c.Backend.StartTime] // a process never withdraws its termination notice
		m.store.write(Backends, c)
	case "leave":
		if c, ok := m.store.objects[Backends][id]; ok {
			b := *c.Backend
			b.Leaving = true
			m.store.left[b.StartTime] = true
			m.store.write(Backends, Change{Name: id, Backend: &b})
		}
	case "remove", "expire":
		c, ok := m.store.objects[Backends][id]
		if !ok {
			return
		}
		m.store.write(Backends, Change{Name: id, Deleted: true})
		if op == "expire" { // the server registers again when the store is back
			m.inFlight = append(m.inFlight, func() { m.register(c) })
		}
	case "domain":
		m.store.write(DomainsOut, Change{Name: "west-" + id, Deleted: rapid.Bool().Draw(m.t, "in")})
	case "outage":
		m.host().recoveredAt = m.c.Now()
	case "call", "list":
		kind := rapid.SampledFrom(convergenceKinds).Draw(m.t, "kind")
		m.inFlight = append(m.inFlight, m.call(m.host(), kind, op == "list"))
	case "relay", "repair":
		m.inFlight = append(m.inFlight, m.relay(m.host(), m.host(), op == "repair"))
	case "deliver", "lose":
		if len(m.inFlight) == 0 {
			return
		}
		i := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "message")
		if op == "deliver" {
			m.inFlight[i]()
		}
		if op == "lose" || !rapid.Bool().Draw(m.t, "twice") {
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
		}
	case "wait":
		m.c.advance(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "ms")) * time.Millisecond)
		for _, d := range m.hosts {
			d.expire()
		}
	case "forget":
		m.c.advance(removalRetention + 1)
		for _, d := range m.hosts {
			d.expire()
			for _, kind := range convergenceKinds {
				d.objects[kind].forget(m.c.Now())
			}
		}
	case "restart":
		i := rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "restarted")
		m.hosts[i] = m.newHost()
	case "compact":
		m.store.compacted = m.store.revision
	case "copy":
		m.store.copy()
	case "come back":
		for _, c := range m.store.comeBack() {
			m.inFlight = append(m.inFlight, func() { m.register(c) })
		}
	}
}

// register writes the entry of a server again unless there is one with its ID.
func (m *convergence) register(c Change) {
	if _, taken := m.store.objects[Backends][c.Name]; taken {
		return
	}
	b := *c.Backend
	b.Leaving = m.store.left[b.StartTime]
	m.store.write(Backends, Change{Name: c.Name, Backend: &b})
}

// settle lets what is under way arrive, the first host read the store, and all hosts get what they lack, from it or each
// from the one before.
func (m *convergence) settle() {
	chain := rapid.Bool().Draw(m.t, "chain")
	for len(m.inFlight) > 0 {
		deliver := m.inFlight[0]
		m.inFlight = m.inFlight[1:]
		deliver()
	}
	for range 2 {
		for _, kind := range convergenceKinds {
			m.call(m.hosts[0], kind, false)()
		}
		for i, to := range m.hosts[1:] {
			from := m.hosts[0]
			if chain {
				from = m.hosts[i]
			}
			m.relay(from, to, false)()
			m.relay(from, to, true)()
		}
		m.c.advance(3 * time.Second) // longer than AbsenceGrace
		for _, d := range m.hosts {
			d.expire()
		}
	}
}

// Guards against hosts that end in another state than the store: with servers that were removed, or without servers
// that have registered, or with domains in another state. Answers and relayed updates arrive late, twice, out of order
// or not at all; hosts restart and forget removals, and the store compacts its history.
func TestHostsConverge(t *testing.T) { checkConvergence(t, 0, convergenceSteps) }

// Guards against hosts that keep what a former era of the store had, or lack what the present one has, after the store came back
// from an older copy and gave its revisions out again.
func TestHostsConvergeAfterStoreCameBack(t *testing.T) {
	checkConvergence(t, 1, append(slices.Clone(convergenceSteps), "copy", "come back", "copy", "come back"))
}

func checkConvergence(t *testing.T, era int64, steps []string) {
	const checks = "3000"
	former := flag.Lookup("rapid.checks").Value.String()
	if former == flag.Lookup("rapid.checks").DefValue {
		require.NoError(t, flag.Set("rapid.checks", checks))
		defer func() { require.NoError(t, flag.Set("rapid.checks", former)) }()
	}
	rapid.Check(t, func(t *rapid.T) {
		m := &convergence{t: t, c: &clock{now: time.Hour}, steps: steps, store: &storeModel{
			era: era, revision: 10, objects: map[Kind]map[string]Change{Backends: {}, DomainsOut: {}}, history: map[Kind][]revised{}, left: map[int64]bool{},
		}}
		for range 3 {
			m.hosts = append(m.hosts, m.newHost())
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step()
		}
		m.settle()
		for i, d := range m.hosts {
			known := map[string]string{}
			for id, s := range d.Snapshot().Servers {
				if !s.Removed {
					known[id] = fmt.Sprint(s.StartTime, s.Leaving)
				}
			}
			want := map[string]string{}
			for id, c := range m.store.objects[Backends] {
				want[id] = fmt.Sprint(c.Backend.StartTime, c.Backend.Leaving)
			}
			require.Equal(t, want, known, "servers at host %d", i)
			out := map[string]bool{}
			for name := range m.store.objects[DomainsOut] {
				out[name] = true
			}
			require.Equal(t, out, d.Snapshot().DomainsOut, "domains out at host %d", i)
			require.Equal(t, m.hosts[0].Versions(), d.Versions(), "versions and digests at host %d", i)
		}
	})
}
