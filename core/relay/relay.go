// Package relay decides how a stream goes on that is relayed from one backend server and may be
// resumed at another: which of the two may be closed, and when the stream is complete or broken.
//
// A source is closed only after another engine has accepted to resume, or after a silence in which it
// is taken for dead. While it is silent for no longer than a sound engine may be, no other is asked. An
// engine that was asked while the source may still run the generation has to accept within a bound, or
// else its request is abandoned, so that the generation does not run at two engines. The package does no
// I/O, reads no clock and is not safe for concurrent use.
package relay

import "time"

// State is what a stream is doing.
type State uint8

// States of a stream. The source is the engine whose response is relayed, the target an engine that
// was asked to resume the generation.
const (
	// Relayed: events come from the source, and no target is asked.
	Relayed State = iota
	// Switching: events come from the source until the target accepts.
	Switching
	// Accepted: the target has accepted, and the source is closed or has ended.
	Accepted
	// Interrupted: the source ended before the last event, and no target is asked.
	Interrupted
	// Resuming: the source ended before the last event, and a target is asked.
	Resuming
	// Complete: the last event and the regular end of the response arrived.
	Complete
	// Broken: the response to the caller ends without its end.
	Broken
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"relayed", "switching", "accepted", "interrupted", "resuming", "complete", "broken"}[s]
}

// Ended reports whether the caller's response has ended.
func (s State) Ended() bool { return s == Complete || s == Broken }

const (
	// MaxOverlap limits how long a target may take to accept while the source may run the
	// generation. It is half of what the platform allows, since the target's response and the end
	// of the source take a one-way latency between regions each.
	MaxOverlap = 200 * time.Millisecond
	// SoundSilence is the longest silence of a sound engine, in a long step for example. It goes on afterwards, and
	// notices only then that its connection was closed, or that it is to stop.
	SoundSilence = 2 * time.Second
	// SilenceLimit is the time without an event after which an engine is taken for dead.
	SilenceLimit = 3 * time.Second
)

// Action is what the host has to do after an event.
type Action uint8

// Actions.
const (
	// None: nothing changes.
	None Action = iota
	// CloseSource closes the source's response.
	CloseSource
	// RelayTarget goes on with the target's response.
	RelayTarget
	// DropTarget closes the target's response or cancels its request.
	DropTarget
	// AwaitTarget waits for the target's response.
	AwaitTarget
	// FindTarget asks another target, or gives up if no copy of the generation is left.
	FindTarget
	// EndResponse ends the caller's response as complete, after DropTarget if a target is asked.
	EndResponse
)

// Stream is the state of one stream. Use New.
type Stream struct {
	state State
	// heardAt is when the wait for an event of the source began; askedAt is when the target was asked, and
	// endedAt when the source's response ended.
	heardAt, askedAt, endedAt time.Time
	// blocked is set while the host does not read from the source, which it had awaited for waited by then.
	blocked bool
	waited  time.Duration
}

// New returns the state of a stream whose source sent its response header at now.
func New(now time.Time) *Stream { return &Stream{heardAt: now} }

// State returns the current state.
func (s *Stream) State() State { return s.state }

// Heard records an event of the source. The host reads the next one from Await on: it delivers the event
// first, and a caller that reads slowly says nothing about the source.
func (s *Stream) Heard(now time.Time) { s.heardAt, s.blocked, s.waited = now, true, 0 }

// HeardNoEvent records bytes of the source that are no event the caller lacks. They are delivered as an
// event is, but the silence of the source goes on at Await.
func (s *Stream) HeardNoEvent(now time.Time) {
	s.waited = s.Silence(now)
	s.blocked = true
}

// Await records that the host waits for the next event of the source.
func (s *Stream) Await(now time.Time) { s.heardAt, s.blocked, s.waited = now.Add(-s.waited), false, 0 }

// Silence is the time for which the host has waited for an event of the source.
func (s *Stream) Silence(now time.Time) time.Duration {
	if s.blocked {
		return 0
	}
	return now.Sub(s.heardAt)
}

// Ask records that a target is asked to resume, and reports whether it may be: only one at a time, and none while
// the source may be in a step in which it cannot be stopped.
func (s *Stream) Ask(now time.Time) bool {
	switch s.state {
	case Relayed:
		if silence := s.Silence(now); silence > MaxOverlap && silence < SoundSilence {
			return false
		}
		s.state = Switching
	case Interrupted:
		s.state = Resuming
	default:
		return false
	}
	s.askedAt = now
	return true
}

// Accept records that the target has accepted: it runs the generation now.
func (s *Stream) Accept() Action {
	switch s.state {
	case Switching:
		s.state = Accepted
		return CloseSource
	case Resuming:
		s.state = Accepted
		return RelayTarget
	}
	return DropTarget
}

// Relay records that the target has become the source.
func (s *Stream) Relay(now time.Time) {
	if s.state == Accepted {
		s.state, s.heardAt, s.blocked, s.waited = Relayed, now, false, 0
	}
}

// Refuse records that the target does not resume: it rejected the request, closed the connection
// or was abandoned. A source that has not ended goes on.
func (s *Stream) Refuse() Action {
	switch s.state {
	case Switching:
		s.state = Relayed
	case Resuming:
		s.state = Interrupted
		return FindTarget
	}
	return None
}

// LateAt returns when the target is late; see Late. ok is false if no response is awaited.
func (s *Stream) LateAt() (at time.Time, ok bool) {
	switch s.state {
	case Switching:
		return s.askedAt.Add(MaxOverlap), true
	case Resuming:
		start := s.askedAt
		if s.endedAt.After(start) {
			start = s.endedAt
		}
		return start.Add(SilenceLimit), true
	}
	return time.Time{}, false
}

// Late tells what happens to a target that has not responded at LateAt. While the source may run the
// generation, the request to the target is abandoned, so that it does not run at both. A source that
// has been silent for SilenceLimit is closed instead, and its target then has as long as a silent engine.
func (s *Stream) Late(now time.Time) Action {
	if s.state == Switching && s.Silence(now) >= SilenceLimit {
		return CloseSource
	}
	return DropTarget
}

// SourceEnded records the end of the source's response. complete is the result of Body.Complete.
func (s *Stream) SourceEnded(now time.Time, complete bool) Action {
	if s.state.Ended() {
		return None
	}
	if complete {
		s.state = Complete
		return EndResponse
	}
	s.endedAt = now
	switch s.state {
	case Switching:
		s.state = Resuming
		return AwaitTarget
	case Accepted:
		return RelayTarget
	}
	s.state = Interrupted
	return FindTarget
}

// Break ends the caller's response without its end, whatever the state. The action is DropTarget if
// a target is asked or has accepted.
func (s *Stream) Break() Action {
	previous := s.state
	if previous.Ended() {
		return None
	}
	s.state = Broken
	if previous == Switching || previous == Accepted || previous == Resuming {
		return DropTarget
	}
	return None
}

// Body is what is known of a source's response body at its end.
type Body struct {
	// EOF is set if the body ended as its framing says, or with the connection if nothing delimits it.
	EOF bool
	// Delimited is set if a length or chunks show where the body ends.
	Delimited bool
	// Events is the number of events in the body.
	Events int
}

// Complete reports whether the last event has arrived. A body that nothing delimits has an event at least
// if it is complete; EOF must not be set for one whose engine is known to have ended.
func (b Body) Complete() bool { return b.EOF && (b.Delimited || b.Events > 0) }
