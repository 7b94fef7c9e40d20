package daemon

import (
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/alarm"
	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/request"
)

// Metrics of the process, published under /debug/vars.
var (
	metricRequests = expvar.NewMap("requests_by_code")
	metricVerdicts = expvar.NewMap("requests_by_verdict")
	metricTokens   = expvar.NewInt("tokens_relayed")
	metricLateGaps = expvar.NewInt("token_gaps_over_target")
	metricRetries  = expvar.NewInt("retries")
)

// recorder logs, counts and judges the outcomes of requests.
type recorder struct {
	log zerolog.Logger

	mu      sync.Mutex
	tracker *alarm.Tracker
	classes map[string]bool
}

func newRecorder(log zerolog.Logger) *recorder {
	return &recorder{log: log, tracker: alarm.NewTracker(), classes: map[string]bool{}}
}

func (r *recorder) setTargets(doc *config.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.classes {
		if _, ok := doc.Classes[name]; !ok {
			r.tracker.Remove(name)
			delete(r.classes, name)
		}
	}
	for name, c := range doc.Classes {
		r.classes[name] = true
		r.tracker.SetTarget(name, alarm.Target{FirstTokenMS: c.FirstTokenMS, TokenGapMS: c.TokenGapMS})
	}
}

// Record implements request.Recorder.
func (r *recorder) Record(o request.Outcome) {
	code := o.Code
	if code == "" {
		code = "ok"
	}
	metricRequests.Add(code, 1)
	metricVerdicts.Add(o.Verdict, 1)
	metricTokens.Add(int64(o.Tokens))
	metricLateGaps.Add(int64(o.LateGaps))
	if o.Tries > 1 {
		metricRetries.Add(int64(o.Tries - 1))
	}
	r.judge(o)
	r.log.Info().
		Str("request_id", o.RequestID).Str("team", o.Team).Str("class", o.Class).
		Str("service", o.Service).Str("backend", o.Backend).
		Int("status", o.Status).Str("code", code).Str("verdict", o.Verdict).
		Dur("queued", o.Queued).Dur("first_token", o.FirstToken).Dur("worst_gap", o.WorstGap).
		Int("tokens", o.Tokens).Int("late_gaps", o.LateGaps).Int("tries", o.Tries).
		Bool("cancelled", o.Cancelled).Dur("total", o.Total).
		Msg("request")
}

// judge counts the request against its class's target. Requests that the
// caller got wrong or gave up say nothing about the target.
func (r *recorder) judge(o request.Outcome) {
	failed := o.Status >= 500
	if o.Class == "" || o.Cancelled || (o.FirstToken == 0 && !failed) {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Observe(o.Class, alarm.Sample{
		FirstTokenMS: float64(o.FirstToken) / float64(time.Millisecond),
		Refused:      failed && o.FirstToken == 0,
		Gaps:         max(o.Tokens-1, 0),
		LateGaps:     o.LateGaps,
		WorstGapMS:   float64(o.WorstGap) / float64(time.Millisecond),
	}, now)
}

// alarms returns the active alarms.
func (r *recorder) alarms() []alarm.Alarm {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Active(time.Now())
}
