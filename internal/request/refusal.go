package request

import (
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/placement"
)

// observeAnswer records whether a response refuses further requests of this host for a time: with status 503 and
// Retry-After. It reports whether it does. sentAt is when the request was sent.
func (c *call) observeAnswer(reservation *placement.Reservation, h *fasthttp.ResponseHeader, sentAt time.Time) bool {
	refusal := time.Duration(0)
	if seconds, ok := connection.RetryAfter(h, time.Now()); ok && h.StatusCode() == fasthttp.StatusServiceUnavailable {
		var valid bool
		if refusal, valid = serverstate.RefusalTime(seconds); !valid {
			c.g.Log.Warn().Str("backend", reservation.Host.ID).Float64("seconds", seconds).Dur("used", refusal).
				Msg("invalid Retry-After in the response of a backend server")
		}
	}
	switch {
	case refusal > 0:
		if reservation.Refused(refusal) {
			c.g.Recorder.RefusalBegan()
			c.g.Log.Info().Str("backend", reservation.Host.ID).Dur("refuses_for", refusal).Msg("backend server refuses requests for a time")
		}
	case reservation.Accepted(sentAt):
		c.g.Recorder.RefusalEnded()
		c.g.Log.Info().Str("backend", reservation.Host.ID).Msg("backend server takes requests again after a refusal")
	}
	return refusal > 0
}
