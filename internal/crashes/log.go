package crashes

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/attribution"
)

const (
	// maxLoggedParts and maxLoggedCrashes limit the lists in a log line.
	maxLoggedParts   = 8
	maxLoggedCrashes = 8
)

// LoggedParts returns the IDs of the first prompt parts.
func (r *Request) LoggedParts() []string {
	if r == nil {
		return nil
	}
	return r.partIDs[:min(len(r.partIDs), maxLoggedParts)]
}

// logRejections logs all rejections after a change.
func (g *Guard) logRejections(reason string, now time.Duration) {
	rejections := g.Rejections()
	g.opts.Log.Warn().Str("reason", reason).Int("rejections", len(rejections)).Msg("rejected prompt parts changed")
	for _, r := range rejections {
		g.opts.Log.Warn().EmbedObject(Logged{r, now}).Msg("prompt part is rejected")
	}
}

// Logged adds a rejection with its evidence to a log line.
type Logged struct {
	rejection *attribution.Rejection
	now       time.Duration
}

// Logged returns a rejection as of now for a log line.
func (g *Guard) Logged(r *attribution.Rejection) Logged { return Logged{r, g.opts.Clock()} }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l Logged) MarshalZerologObject(e *zerolog.Event) {
	r := l.rejection
	hashes := make([]string, 0, maxLoggedParts)
	for _, p := range r.Parts[:min(len(r.Parts), maxLoggedParts)] {
		hashes = append(hashes, p.String())
	}
	servers := make([]string, 0, maxLoggedCrashes)
	for _, crash := range slices.Backward(r.Crashes) {
		if len(servers) < maxLoggedCrashes {
			servers = append(servers, crash.Process.ID)
		}
	}
	e.Strs("part_hashes", hashes).Int("crashes", len(r.Crashes)).Strs("crashed", servers).
		Int64("evidence_age_ms", (l.now-r.Last()).Milliseconds()).Int64("first_crash_age_ms", (l.now - r.First()).Milliseconds())
}
