package request

import (
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/placement"
)

// refusedError is returned for a request that the engine refuses for a time.
type refusedError struct{ returnsAt time.Time }

// Error implements error.
func (e *refusedError) Error() string {
	return "the engine refuses requests until " + e.returnsAt.Format(time.RFC3339Nano)
}

// takeUnreserved returns *refusedError if the process refuses requests, and otherwise a check that returns it
// if the process refuses them by the time that a request is sent.
func takeUnreserved(process placement.Process) (beforeSend func() error, err error) {
	if returnsAt, ok := process.Take(); !ok {
		return nil, &refusedError{returnsAt: returnsAt}
	}
	return func() error {
		if process.Refuses() {
			return &refusedError{returnsAt: process.ReturnsAt()}
		}
		return nil
	}, nil
}

// processOf returns a process of the engine that has the generation.
func (gen *generation) processOf(incarnation string) placement.Process {
	service := gen.c.service
	return gen.c.g.Dispatchers.Dispatcher(service.Name, config.ServiceKindEngine).Process(gen.host.ID, incarnation)
}

// observeAnswer records whether a response refuses further requests of this host for a time: with status 503 and
// Retry-After. It reports whether it does. sentAt is when the request was sent.
func (c *call) observeAnswer(reservation *placement.Reservation, h *fasthttp.ResponseHeader, sentAt time.Time) bool {
	return c.g.observeAnswer(reservation.Process(), h, sentAt)
}

func (g *Gateway) observeAnswer(process placement.Process, h *fasthttp.ResponseHeader, sentAt time.Time) bool {
	refusal := time.Duration(0)
	if seconds, ok := connection.RetryAfter(h, time.Now()); ok && h.StatusCode() == fasthttp.StatusServiceUnavailable {
		var valid bool
		if refusal, valid = serverstate.RefusalTime(seconds); !valid {
			g.Log.Warn().Str("backend", process.ID).Float64("seconds", seconds).Dur("used", refusal).
				Msg("invalid Retry-After in the response of a backend server")
		}
	}
	switch {
	case refusal > 0:
		if process.Refused(refusal) {
			g.Recorder.RefusalBegan()
			g.Log.Info().Str("backend", process.ID).Dur("refuses_for", refusal).Msg("backend server refuses requests for a time")
		}
	case process.Accepted(sentAt):
		g.Recorder.RefusalEnded()
		g.Log.Info().Str("backend", process.ID).Msg("backend server takes requests again after a refusal")
	}
	return refusal > 0
}
