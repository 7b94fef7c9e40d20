package forward

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonkeel.example/monsoonkeel/core/rollout"
	"monsoonkeel.example/monsoonkeel/internal/crashes"
)

// Metrics holds the gateway's counters and latency histograms.
type Metrics struct {
	Requests, Retries, Migrations, FailedMigrations, CompletedStreams, BrokenStreams atomic.Int64
	// LostPaths counts losses of the path to the servers of a service, SentToHosts the requests that other hosts were asked to serve
	// because of that, and RequestsFromHosts those that they asked this one to serve.
	LostPaths, SentToHosts, RequestsFromHosts atomic.Int64
	// Reruns counts streams that another server ran anew after their response had begun.
	Reruns atomic.Int64
	// RoomNotKept counts less urgent generations that took room kept for more urgent ones, since they found no other in time.
	RoomNotKept atomic.Int64
	// Refusals counts refusals of servers that named a time, and RefusalsEnded those after which the
	// server accepted a request.
	Refusals, RefusalsEnded atomic.Int64
	// Notices counts termination notices that were not from the store.
	Notices atomic.Int64
	// PendingStops is the number of generations that may still run at an engine whose connection was closed.
	PendingStops atomic.Int64
	// Placed counts generations and migrations whose engine the aggregator of the group chose, and PlacedHere those for
	// which this host chose it although the deployment has groups.
	Placed, PlacedHere atomic.Int64
	balancers          *balancers
	// Rollbacks counts the roll-outs that were rolled back here, RolloutWrites the writes of a status and RolloutConflicts
	// those that the store rejected because the object had changed.
	Rollbacks, RolloutWrites, RolloutConflicts atomic.Int64
	rollouts                                   func() map[string]rollout.Status
	crashes                                    *crashes.Guard
	Latency, FirstEvent                        Histogram
	mu                                         sync.Mutex
	failures                                   map[string]int64
}

func (m *Metrics) countFailure(code string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failures == nil {
		m.failures = map[string]int64{}
	}
	m.failures[code]++
}

// String implements expvar.Var and returns JSON.
func (m *Metrics) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	type rolloutMetrics struct {
		Phase    string `json:"phase"`
		Requests int64  `json:"requests"`
		Exposed  int64  `json:"exposed"`
	}
	rollouts := map[string]rolloutMetrics{}
	if m.rollouts != nil {
		for service, s := range m.rollouts() {
			rollouts[service] = rolloutMetrics{Phase: s.Phase, Requests: s.Requests, Exposed: s.Exposed}
		}
	}
	out, err := json.Marshal(map[string]any{
		"rollouts":              rollouts,
		"rollbacks":             m.Rollbacks.Load(),
		"rollout_writes":        m.RolloutWrites.Load(),
		"rollout_conflicts":     m.RolloutConflicts.Load(),
		"requests":              m.Requests.Load(),
		"repeats":               m.Retries.Load(),
		"moves":                 m.Migrations.Load(),
		"moves_failed":          m.FailedMigrations.Load(),
		"lost_paths":            m.LostPaths.Load(),
		"sent_to_hosts":         m.SentToHosts.Load(),
		"requests_from_hosts":   m.RequestsFromHosts.Load(),
		"reruns":                m.Reruns.Load(),
		"pending_stops":         m.PendingStops.Load(),
		"room_not_kept":         m.RoomNotKept.Load(),
		"broken_streams":        m.BrokenStreams.Load(),
		"completed_streams":     m.CompletedStreams.Load(),
		"server_refusals":       m.Refusals.Load(),
		"server_refusals_ended": m.RefusalsEnded.Load(),
		"server_notices":        m.Notices.Load(),
		"placed":                m.Placed.Load(),
		"placed_here":           m.PlacedHere.Load(),
		"slow_servers":          m.balancers.paces.slow.Load(),
		"learned_services":      m.balancers.learnedServices(),
		"engine_crashes":        m.crashes.Crashes.Load(),
		"rejected_parts":        len(m.crashes.Rejections()),
		"part_trials":           m.crashes.Trials.Load(),
		"failures":              m.failures,
		"latency_ms":            m.Latency.quantiles(),
		"first_event_ms":        m.FirstEvent.quantiles(),
	})
	if err != nil {
		return "{}" // the map holds only numbers and strings, which always encode
	}
	return string(out)
}

// maxLatencyMS is the largest latency recorded; longer ones count as this value.
const maxLatencyMS = 10 * 60 * 1000

// Histogram is a latency histogram in milliseconds. The zero value is ready to use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func (h *Histogram) observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.h == nil {
		h.h = hdrhistogram.New(1, maxLatencyMS, 2)
	}
	// The value is clamped to the histogram's range, so recording cannot fail.
	_ = h.h.RecordValue(min(max(d.Milliseconds(), 1), maxLatencyMS))
}

func (h *Histogram) quantiles() map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.h == nil {
		return nil
	}
	return map[string]int64{
		"count": h.h.TotalCount(), "p50": h.h.ValueAtQuantile(50), "p95": h.h.ValueAtQuantile(95), "p99": h.h.ValueAtQuantile(99),
	}
}
