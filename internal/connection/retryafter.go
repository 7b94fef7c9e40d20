package connection

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// RetryAfter decodes the Retry-After of a response that arrived at now: seconds, with fractions, or a date. A
// value that cannot be read is NaN. It returns false if there is none.
func RetryAfter(h *fasthttp.ResponseHeader, now time.Time) (seconds float64, ok bool) {
	value := strings.TrimSpace(string(h.Peek(fasthttp.HeaderRetryAfter)))
	if value == "" {
		return 0, false
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		return seconds, true
	}
	date, err := http.ParseTime(value)
	if err != nil {
		return math.NaN(), true
	}
	// The server's own clock, if it states it, since the clocks of the machines differ.
	if sent, err := http.ParseTime(string(h.Peek(fasthttp.HeaderDate))); err == nil {
		now = sent
	}
	return max(date.Sub(now).Seconds(), 0), true
}
