package schedule

import (
	"time"
)

// Report is a load report of a backend server.
type Report struct {
	// At is the time that the report describes.
	At time.Time
	// InFlight counts running and waiting requests, Running only the running
	// ones, both of all hosts.
	InFlight, Running int
	// KVUsed and KVTotal are the used and total KV cache, in tokens.
	KVUsed, KVTotal int
	// Preemptions counts from the start of the incarnation.
	Preemptions uint64
	StepMS      float64
	Incarnation string
}

// Tracker holds one host's load data for one backend server: this host's
// requests individually, and those of other hosts from the last load report. It
// is not safe for concurrent use; one lock per backend server is enough.
type Tracker struct {
	own       []ownRequest
	index     map[uint64]int
	ended     []endedRequest
	report    Report
	hasReport bool

	demand, ownDemand, demandSince Demand
}

type ownRequest struct {
	id               uint64
	sent             time.Time
	prompt, produced int
	lengths          LengthDistribution
	// survival was computed when the request had produced predictedAt tokens.
	survival    Survival
	predictedAt int
}

// predict updates the survival. It changes slowly, so it is recomputed only
// after an eighth more tokens, at least 8.
func (r *ownRequest) predict() {
	if r.produced < r.predictedAt+max(r.predictedAt/8, 8) {
		return
	}
	r.survival = SurvivalOf(r.lengths, r.produced)
	r.predictedAt = r.produced
}

type endedRequest struct {
	sent, ended time.Time
	tokens      int
}

// endedRetention is how long ended requests are kept to correct lagged reports.
const endedRetention = 30 * time.Second

// NewTracker returns a tracker without requests or a report.
func NewTracker() *Tracker { return &Tracker{index: make(map[uint64]int)} }

// Sent adds a request of prompt tokens that was sent to the backend server.
func (t *Tracker) Sent(id uint64, prompt int, lengths LengthDistribution, now time.Time) {
	t.index[id] = len(t.own)
	r := ownRequest{id: id, sent: now, prompt: prompt, lengths: lengths, survival: SurvivalOf(lengths, 0)}
	t.own = append(t.own, r)
	for _, d := range []*Demand{&t.demand, &t.ownDemand, &t.demandSince} {
		d.Add(1, float32(prompt), &r.survival)
	}
}

// Progress sets the number of tokens that a request has produced; unknown ids
// are ignored.
func (t *Tracker) Progress(id uint64, produced int) {
	if i, ok := t.index[id]; ok {
		t.own[i].produced = produced
	}
}

// Ended removes a request that completed, failed or was cancelled.
func (t *Tracker) Ended(id uint64, now time.Time) {
	i, ok := t.index[id]
	if !ok {
		return
	}
	r := &t.own[i]
	t.ended = append(t.ended, endedRequest{sent: r.sent, ended: now, tokens: r.prompt + r.produced})
	last := len(t.own) - 1
	t.own[i] = t.own[last]
	t.index[t.own[i].id] = i
	t.own[last] = ownRequest{}
	t.own = t.own[:last]
	delete(t.index, id)
}

// ApplyReport replaces the load report and returns the number of preemptions
// since the previous report of the same incarnation. A report older than the
// current one is ignored.
func (t *Tracker) ApplyReport(r Report, now time.Time) (preempted int) {
	if t.hasReport && r.Incarnation == t.report.Incarnation {
		if r.At.Before(t.report.At) {
			return 0
		}
		preempted = int(r.Preemptions - t.report.Preemptions)
	}
	t.report, t.hasReport = r, true
	kept := t.ended[:0]
	for _, e := range t.ended {
		if now.Sub(e.ended) < endedRetention && e.ended.After(r.At) {
			kept = append(kept, e)
		}
	}
	t.ended = kept
	return preempted
}

// InFlight returns the number of this host's requests in flight.
func (t *Tracker) InFlight() int { return len(t.own) }

// AddSurvival adds the survival of this host's requests to sum and returns
// their number. Their average over all backend servers approximates the
// requests of other hosts, whose class and progress are unknown.
func (t *Tracker) AddSurvival(sum *Survival) int {
	for i := range t.own {
		r := &t.own[i]
		r.predict()
		for j := range sum {
			sum[j] += r.survival[j]
		}
	}
	return len(t.own)
}

// EstimateOthers estimates the number of requests of other hosts at the time of
// the last report, and their KV cache in tokens.
func (t *Tracker) EstimateOthers(now time.Time) (requests, tokens int) {
	if !t.hasReport {
		return 0, 0
	}
	steps := 0
	if t.report.StepMS > 0 {
		steps = int(float64(now.Sub(t.report.At).Milliseconds()) / t.report.StepMS)
	}
	requests, tokens = t.report.InFlight, t.report.KVUsed
	for i := range t.own {
		r := &t.own[i]
		if r.sent.After(t.report.At) {
			continue
		}
		requests--
		if r.produced > steps {
			tokens -= r.prompt + r.produced - steps
		}
	}
	for _, e := range t.ended {
		if !e.sent.After(t.report.At) && e.ended.After(t.report.At) {
			requests--
			tokens -= e.tokens
		}
	}
	if requests <= 0 {
		return 0, 0
	}
	return requests, max(tokens, 0)
}

// Refresh recomputes the predicted demand from the progress of this host's
// requests and the last report. population is the average survival of running
// requests.
func (t *Tracker) Refresh(population *Survival, now time.Time) {
	t.ownDemand, t.demandSince = Demand{}, Demand{}
	for i := range t.own {
		r := &t.own[i]
		r.predict()
		t.ownDemand.Add(1, float32(r.prompt+r.produced), &r.survival)
		if !t.hasReport || r.sent.After(t.report.At) {
			t.demandSince.Add(1, float32(r.prompt+r.produced), &r.survival)
		}
	}
	t.demand = t.ownDemand
	if n, tokens := t.EstimateOthers(now); n > 0 {
		t.demand.Add(float32(n), float32(tokens)/float32(n), population)
	}
}

// FillCandidate sets the fields of c that come from load reports and from this
// host's requests.
func (t *Tracker) FillCandidate(c *Candidate) {
	c.OwnInFlight = len(t.own)
	c.ReportedInFlight, c.SentSinceReport, c.Prefilling = 0, 0, 0
	c.Demand, c.OwnDemand, c.DemandSinceReport = t.demand, t.ownDemand, t.demandSince
	for i := range t.own {
		if !t.hasReport || t.own[i].sent.After(t.report.At) {
			c.SentSinceReport++
		}
		if t.own[i].produced == 0 {
			c.Prefilling++
		}
	}
	if !t.hasReport {
		c.KVUsedShare, c.KVTokens = 0, 0
		return
	}
	c.ReportedInFlight = t.report.InFlight
	for _, e := range t.ended {
		if !e.sent.After(t.report.At) && e.ended.After(t.report.At) {
			c.ReportedInFlight--
		}
	}
	c.ReportedInFlight = max(c.ReportedInFlight, 0)
	c.KVTokens = float32(t.report.KVTotal)
	if t.report.KVTotal > 0 {
		c.KVUsedShare = float64(t.report.KVUsed) / float64(t.report.KVTotal)
	}
}
