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

	metricRefusals      = expvar.NewInt("backend_refusals")
	metricRefusalsEnded = expvar.NewInt("backend_refusals_ended")
)

// recorder logs and counts the outcomes of requests and raises alarms for missed
// targets.
type recorder struct {
	log zerolog.Logger
	// classes maps class names to *classTracker. Requests of different classes share no
	// lock.
	classes sync.Map
}

// classTracker holds the alarm windows of one class.
type classTracker struct {
	mu      sync.Mutex
	tracker *alarm.Tracker
}

func newRecorder(log zerolog.Logger) *recorder { return &recorder{log: log} }

// setTargets applies the targets of the document's classes.
func (r *recorder) setTargets(doc *config.Document) {
	r.classes.Range(func(name, _ any) bool {
		if _, ok := doc.Classes[name.(string)]; !ok {
			r.classes.Delete(name)
		}
		return true
	})
	for name, c := range doc.Classes {
		value, _ := r.classes.LoadOrStore(name, &classTracker{tracker: alarm.NewTracker()})
		t := value.(*classTracker)
		t.mu.Lock()
		t.tracker.SetTarget(name, alarm.Target{FirstTokenMS: c.FirstTokenMS, TokenGapMS: c.TokenGapMS})
		t.mu.Unlock()
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
	metricLateGaps.Add(int64(o.GapsOverTarget))
	if o.Attempts > 1 {
		metricRetries.Add(int64(o.Attempts - 1))
	}
	r.observe(o)
	r.log.Info().
		Str("request_id", o.RequestID).Str("team", o.Team).Str("class", o.Class).
		Str("service", o.Service).Str("backend", o.Backend).
		Int("status", o.Status).Str("code", code).Str("verdict", o.Verdict).
		Dur("queued", o.QueueTime).Str("shortage", o.Shortage).Dur("first_token", o.FirstToken).Dur("worst_gap", o.MaxTokenGap).
		Int("tokens", o.Tokens).Int("late_gaps", o.GapsOverTarget).Int("tries", o.Attempts).
		Bool("cancelled", o.Cancelled).Dur("total", o.Total).
		Msg("request")
}

// RefusalBegan implements request.Recorder.
func (*recorder) RefusalBegan() { metricRefusals.Add(1) }

// RefusalEnded implements request.Recorder.
func (*recorder) RefusalEnded() { metricRefusalsEnded.Add(1) }

// observe evaluates the request against the target of its class. Cancelled requests
// and those rejected for an error of the caller do not count.
func (r *recorder) observe(o request.Outcome) {
	failed := o.Status >= 500
	if o.Class == "" || o.Cancelled || (o.FirstToken == 0 && !failed) {
		return
	}
	value, ok := r.classes.Load(o.Class)
	if !ok {
		return
	}
	t := value.(*classTracker)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Observe(o.Class, alarm.Sample{
		FirstTokenMS: float64(o.FirstToken) / float64(time.Millisecond),
		Rejected:     failed && o.FirstToken == 0,
		Gaps:         max(o.Tokens-1, 0),
		LateGaps:     o.GapsOverTarget,
		WorstGapMS:   float64(o.MaxTokenGap) / float64(time.Millisecond),
	}, time.Now())
}

// alarms returns the active alarms of all classes; the result is not nil.
func (r *recorder) alarms() []alarm.Alarm {
	out := []alarm.Alarm{}
	r.classes.Range(func(_, value any) bool {
		t := value.(*classTracker)
		t.mu.Lock()
		defer t.mu.Unlock()
		out = append(out, t.tracker.Active(time.Now())...)
		return true
	})
	return out
}
