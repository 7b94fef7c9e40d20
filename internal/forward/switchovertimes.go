package forward

import (
	"time"

	"github.com/rs/zerolog"
)

// switchoverTimes are the times of a switchover on this host. They show from its log line alone for how long
// a generation may have run at two engines, and whether the host was late. gen.mu guards them.
type switchoverTimes struct {
	// begun is when the target was chosen, and sent when the connection to it was ready for the first byte
	// of the last request.
	begun, sent time.Time
	// responded is when the response header, or the error instead of it, was taken.
	responded time.Time
	// sourceClosed is when the connection to the source was closed, and abandoned when the request was
	// cancelled because the target was late.
	sourceClosed, abandoned time.Time
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler with the milliseconds since begun; what did not
// happen is left out.
func (t switchoverTimes) MarshalZerologObject(e *zerolog.Event) {
	for _, f := range []struct {
		name string
		at   time.Time
	}{
		{"sent_ms", t.sent}, {"responded_ms", t.responded}, {"source_closed_ms", t.sourceClosed}, {"abandoned_ms", t.abandoned},
	} {
		if !f.at.IsZero() {
			e.Int64(f.name, f.at.Sub(t.begun).Milliseconds())
		}
	}
}

// sending returns the function that charges one request of a switchover, and records that it is sent now.
func (gen *generation) sending(sw *switchover) func() error {
	charge := sw.series.charge()
	return func() error {
		err := charge()
		if err == nil {
			gen.mu.Lock()
			sw.times.sent = time.Now()
			gen.mu.Unlock()
		}
		return err
	}
}
