package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"
)

var start = time.Unix(0, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// in returns a stream in a state.
func in(state State) *Stream {
	s := New(start)
	switch state {
	case Switching, Accepted:
		s.Ask(start)
	case Interrupted, Resuming:
		s.SourceEnded(start, false)
	case Complete:
		s.SourceEnded(start, true)
	case Broken:
		s.Break()
	}
	switch state {
	case Accepted:
		s.Accept()
	case Resuming:
		s.Ask(start)
	}
	return s
}

// Guards against a source that is closed without a target that has accepted, and against a stream
// that ends although its source or its target goes on: each event in each state.
func TestTransitions(t *testing.T) {
	ask := func(s *Stream) Action {
		if s.Ask(start) {
			return AwaitTarget
		}
		return None
	}
	endsWell := func(s *Stream) Action { return s.SourceEnded(start, true) }
	endsShort := func(s *Stream) Action { return s.SourceEnded(start, false) }
	relayed := func(s *Stream) Action { s.Relay(start); return None }
	for _, row := range []struct {
		state  State
		name   string
		event  func(*Stream) Action
		action Action
		next   State
	}{
		{Relayed, "ask", ask, AwaitTarget, Switching},
		{Relayed, "accept", (*Stream).Accept, DropTarget, Relayed},
		{Relayed, "refuse", (*Stream).Refuse, None, Relayed},
		{Relayed, "ends well", endsWell, EndResponse, Complete},
		{Relayed, "ends short", endsShort, FindTarget, Interrupted},
		{Relayed, "break", (*Stream).Break, None, Broken},
		{Switching, "ask", ask, None, Switching},
		{Switching, "accept", (*Stream).Accept, CloseSource, Accepted},
		{Switching, "refuse", (*Stream).Refuse, None, Relayed},
		{Switching, "ends well", endsWell, EndResponse, Complete},
		{Switching, "ends short", endsShort, AwaitTarget, Resuming},
		{Switching, "break", (*Stream).Break, DropTarget, Broken},
		{Accepted, "ask", ask, None, Accepted},
		{Accepted, "refuse", (*Stream).Refuse, None, Accepted},
		{Accepted, "ends well", endsWell, EndResponse, Complete},
		{Accepted, "ends short", endsShort, RelayTarget, Accepted},
		{Accepted, "relay", relayed, None, Relayed},
		{Accepted, "break", (*Stream).Break, DropTarget, Broken},
		{Interrupted, "ask", ask, AwaitTarget, Resuming},
		{Interrupted, "accept", (*Stream).Accept, DropTarget, Interrupted},
		{Interrupted, "refuse", (*Stream).Refuse, None, Interrupted},
		{Interrupted, "break", (*Stream).Break, None, Broken},
		{Resuming, "ask", ask, None, Resuming},
		{Resuming, "accept", (*Stream).Accept, RelayTarget, Accepted},
		{Resuming, "refuse", (*Stream).Refuse, FindTarget, Interrupted},
		{Resuming, "break", (*Stream).Break, DropTarget, Broken},
		{Complete, "ask", ask, None, Complete},
		{Complete, "accept", (*Stream).Accept, DropTarget, Complete},
		{Complete, "refuse", (*Stream).Refuse, None, Complete},
		{Complete, "ends short", endsShort, None, Complete},
		{Complete, "break", (*Stream).Break, None, Complete},
		{Broken, "ask", ask, None, Broken},
		{Broken, "accept", (*Stream).Accept, DropTarget, Broken},
		{Broken, "ends well", endsWell, None, Broken},
		{Broken, "relay", relayed, None, Broken},
	} {
		s := in(row.state)
		require.Equal(t, row.state, s.State())
		assert.Equal(t, row.action, row.event(s), "%v, %s", row.state, row.name)
		assert.Equal(t, row.next, s.State(), "%v, %s", row.state, row.name)
	}
}

// Guards against a truncated stream that counts as complete.
func TestCompleteBodies(t *testing.T) {
	for _, row := range []struct {
		body Body
		want bool
	}{
		{Body{EOF: true, Delimited: true, Events: 3}, true},
		{Body{EOF: true, Delimited: true}, true},
		{Body{EOF: true, Events: 3}, true},
		{Body{EOF: true}, false},
		{Body{Delimited: true, Events: 3}, false},
		{Body{Events: 3}, false},
	} {
		assert.Equal(t, row.want, row.body.Complete(), "%+v", row.body)
	}
}

// Guards against a generation that runs at two engines for too long, against a source that is closed
// although it is silent for a second or two only, and against one that is awaited although it is dead.
func TestLateTargets(t *testing.T) {
	for _, row := range []struct {
		name         string
		heard, asked time.Duration // a negative heard: the event is being delivered
		ends         time.Duration // 0 if that does not happen
		at           time.Duration
		action       Action
	}{
		{"source runs", 900 * time.Millisecond, time.Second, 0, time.Second + MaxOverlap, DropTarget},
		{"source is silent", 0, 2 * time.Second, 0, 2*time.Second + MaxOverlap, DropTarget},
		{"source is taken for dead", 0, SilenceLimit, 0, SilenceLimit + MaxOverlap, CloseSource},
		{"caller reads slowly", -1, SilenceLimit, 0, SilenceLimit + MaxOverlap, DropTarget},
		{"source has ended", 900 * time.Millisecond, time.Second, 1100 * time.Millisecond, 1100*time.Millisecond + SilenceLimit, DropTarget},
	} {
		s := New(start)
		s.Heard(after(row.heard))
		if row.heard >= 0 {
			s.Await(after(row.heard))
		}
		require.True(t, s.Ask(after(row.asked)))
		if row.ends > 0 {
			s.SourceEnded(after(row.ends), false)
		}
		at, ok := s.LateAt()
		assert.True(t, ok, row.name)
		assert.Equal(t, row.at, at.Sub(start), row.name)
		assert.Equal(t, row.action, s.Late(at), row.name)
	}
	_, ok := New(start).LateAt()
	assert.False(t, ok)
}

// Guards against comments that keep a source from being silent, and against a silence that grows while the
// caller does not read them.
func TestCommentsDoNotEndASilence(t *testing.T) {
	s := New(start)
	s.Heard(start)
	s.Await(start)
	s.HeardNoEvent(start.Add(time.Second))
	assert.Zero(t, s.Silence(start.Add(time.Minute)), "the caller does not read")
	s.Await(start.Add(time.Minute))
	assert.Equal(t, 3*time.Second, s.Silence(start.Add(time.Minute+2*time.Second)))
	s.Heard(start.Add(2 * time.Minute))
	s.Await(start.Add(2 * time.Minute))
	assert.Zero(t, s.Silence(start.Add(2*time.Minute)))
}

// engine is an engine of the model, which runs a generation or not.
type engine struct{ running, closedByHost, works bool }

// model plays a host that follows Stream against engines that do anything.
type model struct {
	t             *rapid.T
	s             *Stream
	now           time.Time
	last          int // number of events of the generation
	source        *engine
	target        *engine // nil if none is asked
	targetAt      int     // event from which the target goes on
	sent          int     // events that the source has sent
	delivered     []int
	reservations  int       // of targets
	slow, blocked bool      // the caller reads nothing; the host delivers an event to it
	awaitedAt     time.Time // when the host began to wait for an event, later by the time that it did not read
	commentAt     time.Time // when the host began to deliver a comment; zero if it delivers none
}

// do carries out an action of the stream.
func (m *model) do(a Action) {
	switch a {
	case CloseSource:
		require.NotNil(m.t, m.target, "the source is closed without a target")
		require.True(m.t, m.target.running, "the source is closed before the target has accepted")
		m.source.running, m.source.closedByHost = false, true
		m.do(m.s.SourceEnded(m.now, false))
	case RelayTarget:
		require.True(m.t, m.target.running)
		m.source, m.target, m.sent = m.target, nil, m.targetAt
		m.reservations--
		m.s.Relay(m.now)
		m.commentAt = time.Time{}
		m.await()
	case EndResponse:
		require.Len(m.t, m.delivered, m.last, "complete without the last event")
		m.drop()
	case DropTarget:
		m.drop()
	}
}

func (m *model) drop() {
	if m.target != nil {
		m.target.running = false
		m.target = nil
		m.reservations--
	}
}

// Guards, for random sequences of what engines, callers and the host do, against a stream that is
// complete without its last event, an event that is missing or repeated, a working source that is
// closed for a target that has not accepted, a target that is awaited beyond the bound while the
// source runs, and a reservation that is not released.
func TestRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, s: New(start), now: start, awaitedAt: start, last: rapid.IntRange(1, 6).Draw(t, "events"), source: &engine{running: true, works: true}}
		for !m.s.State().Ended() {
			m.step(rapid.SampledFrom([]string{
				"event", "event", "event", "comment", "silence", "long silence", "ask", "accept", "reject", "close", "ends short", "caller leaves", "host stops", "caller is slow", "caller reads",
			}).Draw(t, "step"))
		}
		for i, n := range m.delivered {
			require.Equal(t, i+1, n, "events delivered: %v", m.delivered)
		}
		if m.s.State() == Complete {
			require.Len(t, m.delivered, m.last)
		}
		require.Zero(t, m.reservations)
	})
}

func (m *model) step(name string) {
	switch name {
	case "event":
		m.event()
	case "comment":
		if m.reads() {
			m.s.HeardNoEvent(m.now)
			m.blocked, m.commentAt = true, m.now
			if !m.slow {
				m.await()
			}
		}
	case "silence":
		m.pass(300 * time.Millisecond)
	case "long silence":
		m.pass(SilenceLimit)
	case "ask":
		if m.s.Ask(m.now) {
			m.target, m.targetAt = &engine{}, len(m.delivered)
			m.reservations++
		}
	case "accept":
		if m.target != nil && !m.target.running {
			m.target.running, m.targetAt = true, len(m.delivered)
			m.do(m.s.Accept())
		}
	case "reject", "close":
		m.refuse()
	case "ends short":
		if m.source.running {
			m.source.running = false
			m.do(m.s.SourceEnded(m.now, false))
		}
	case "caller is slow":
		m.slow = true
	case "caller reads":
		m.slow = false
		if m.blocked {
			m.await()
		}
	case "caller leaves", "host stops":
		// Rare, so that most sequences get to their end otherwise.
		if rapid.IntRange(0, 9).Draw(m.t, name) == 0 {
			m.do(m.s.Break())
		}
	}
	if m.s.State() == Interrupted && rapid.IntRange(0, 4).Draw(m.t, "gives up") == 0 {
		m.do(m.s.Break())
	}
}

func (m *model) event() {
	m.now = m.now.Add(10 * time.Millisecond)
	if !m.reads() {
		return
	}
	if m.sent < m.last {
		m.sent++
		m.delivered = append(m.delivered, m.sent)
		m.s.Heard(m.now)
		if m.blocked = m.slow; !m.blocked {
			m.await()
		}
		return
	}
	m.source.running = false
	m.do(m.s.SourceEnded(m.now, true))
}

// reads reports whether the host reads from a source.
func (m *model) reads() bool {
	return m.source.running && !m.blocked && m.s.State() != Interrupted && m.s.State() != Resuming
}

func (m *model) await() {
	if m.commentAt.IsZero() {
		m.awaitedAt = m.now
	} else {
		m.awaitedAt = m.awaitedAt.Add(m.now.Sub(m.commentAt))
	}
	m.blocked, m.commentAt = false, time.Time{}
	m.s.Await(m.now)
	require.Equal(m.t, m.now.Sub(m.awaitedAt), m.s.Silence(m.now))
}

func (m *model) refuse() {
	if m.target == nil || m.target.running {
		return // its response has arrived
	}
	wasRunning := m.source.running
	m.drop()
	m.s.Refuse()
	require.Equal(m.t, wasRunning, m.source.running, "the refusal of a target ended the source")
	require.Equal(m.t, wasRunning, m.s.State() == Relayed)
}

// pass lets time pass; a target that does not respond in time has its consequence.
func (m *model) pass(d time.Duration) {
	end := m.now.Add(d)
	at, ok := m.s.LateAt()
	if !ok || at.After(end) {
		m.now = end
		return
	}
	if m.source.running {
		require.Equal(m.t, MaxOverlap, at.Sub(m.s.askedAt), "the target is awaited beyond the bound")
	}
	m.now = at
	if m.s.Late(at) == CloseSource {
		require.False(m.t, m.blocked, "a source is closed that was not read")
		require.GreaterOrEqual(m.t, at.Sub(m.awaitedAt), SilenceLimit, "a source is closed that may be sound")
		m.source.running = false
		m.do(m.s.SourceEnded(at, false))
	} else {
		m.refuse()
	}
	m.now = end
}

// Guards against a state without a name in the logs.
func TestStateNames(t *testing.T) {
	for s := Relayed; s <= Broken; s++ {
		assert.NotEmpty(t, fmt.Sprint(s))
	}
}
