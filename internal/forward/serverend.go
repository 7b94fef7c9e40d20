package forward

import (
	"errors"
	"io"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/relay"
	"monsoonkeel.example/monsoonkeel/internal/connection"
)

// A server that crashes ends a body without a length or chunks as one does that exits with its last answer. The body is
// taken for complete only if the exit was announced long enough ago, and nothing shows that the answer was broken off.

// minDrainShare is the share of Bounds.Drain for which this host must have known that a server is terminating, for the
// end of the server to be its exit: the server serves for at least that bound, but this host learns of it later.
const minDrainShare = 0.5

// hasExited reports whether a server that has ended did so as announced.
func (g *Gateway) hasExited(server balance.Server) bool {
	s := g.opts.Directory.Snapshot().Servers[server.ID]
	if s == nil {
		return true // removed, and no longer remembered
	}
	if s.StartTime != server.StartTime || !s.Terminating() {
		return false
	}
	minDrain := time.Duration(minDrainShare * float64(g.bounds.Load().Drain))
	return g.opts.Clock()-s.TerminatingSince >= minDrain
}

// body returns the stream of a response body, or nil if the response has none.
func (g *Gateway) body(ex *connection.Exchange, server balance.Server) io.Reader {
	stream := ex.Body()
	if stream == nil {
		return nil
	}
	return &serverBody{Reader: stream, g: g, server: server}
}

// serverBody is the body of a response. It is complete if it ends with the exit of its server.
type serverBody struct {
	io.Reader
	g      *Gateway
	server balance.Server
}

// Read implements io.Reader.
func (b *serverBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	var ended *connection.ServerEndedError
	if errors.As(err, &ended) && b.g.hasExited(b.server) {
		err = io.EOF
	}
	return n, err
}

// bodyEnd describes how the body of the current source ended, with the error of reading it.
func (s *stream) bodyEnd(end error) relay.Body {
	body := relay.Body{EOF: end == io.EOF, Events: s.sourceEvents}
	var ended *connection.ServerEndedError
	if server := s.generation.server(); errors.As(end, &ended) {
		exited := s.r.g.hasExited(server)
		body.EOF = exited && s.endedWithLastEvent(ended.At)
		s.r.g.opts.Log.Info().Str("request", s.r.id).Str("backend", server.ID).Bool("announced", exited).Bool("complete", body.EOF).
			Dur("after_event", ended.At.Sub(s.lastAt)).Dur("event_interval", s.eventInterval()).Int("events", s.r.events).Msg("server of a stream without a length ended with it")
	}
	return body
}

// maxEndShare is the share of the time between two events within which a body ends after its last event. A server that
// exits between two events ends it at any time.
const maxEndShare = 0.25

// endedWithLastEvent reports whether the body that ended at a time did so with the last event of the stream: all tokens that
// the request allows have arrived, or if their number is unknown, the end followed the last event at once.
func (s *stream) endedWithLastEvent(at time.Time) bool {
	r := s.r
	if engine := r.g.balancers.engineConfig(r.service); engine != nil && engine.EventTokens > 0 && r.maxOutput > 0 {
		events := int(r.callerOffset()) + r.events
		return events*engine.EventTokens >= r.maxOutput
	}
	return r.events > 0 && float64(at.Sub(s.lastAt)) <= maxEndShare*float64(s.eventInterval())
}

// eventInterval is the mean time between two events delivered, or that to the first one if there is no other.
func (s *stream) eventInterval() time.Duration {
	if s.r.events <= 1 {
		return s.r.firstEvent
	}
	return s.lastAt.Sub(s.r.call.Received.Add(s.r.firstEvent)) / time.Duration(s.r.events-1)
}
