package policybench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// gapUnit is the unit of the gap histograms, and gapMax their largest value.
const (
	gapUnit = 100 * time.Microsecond
	gapMax  = 10_000_000
)

// Result holds the figures of one run.
type Result struct {
	// Preemptions in the measured time.
	Preemptions float64
	// StallSeconds sums, over all streams, the time by which gaps between
	// tokens exceed the target.
	StallSeconds float64
	// GapP99 and GapP999 are quantiles over all gaps, in ms.
	GapP99, GapP999 float64
	// TokensPerSecond counts tokens delivered to callers, each once.
	TokensPerSecond float64
	// FirstTokenInTarget is the share of offered requests whose first token came
	// within the target; a refused request is a miss.
	FirstTokenInTarget float64
	// SmallTeamsInTarget is the same for the small teams, whose demand stays below
	// their fair share when team 0 bursts.
	SmallTeamsInTarget float64
	// GapsInTarget is the share of gaps within the target.
	GapsInTarget float64
	// RejectedShare is the share of offered requests that were refused.
	RejectedShare float64
	// Interrupted counts streams that ended early because their engine died, and
	// Unfinished requests without any outcome, in scenarios that
	// run until all have one.
	Interrupted, Unfinished float64
	// Restarts counts engines that returned cold, and OverloadCrashes those of them
	// that were overloaded.
	Restarts, OverloadCrashes float64
	// OtherDomainsGapBefore and OtherDomainsGapAfter are the p99 gaps, in ms, on engines outside
	// failure domain 0 before and after the scenario's moment.
	OtherDomainsGapBefore, OtherDomainsGapAfter float64
	// PrefixHitShare is the share of prompt tokens served from the prefix cache.
	PrefixHitShare float64
}

type totals struct{ preemptions, prefilled uint64 }

type gauges struct {
	gaps, otherBefore, otherAfter *hdrhistogram.Histogram
	stall                         time.Duration
	total, inTarget               int
	tokens                        int
	restarted, fellOver           int
	engineBase, engineEnd         totals
	// stopped holds the totals of engines that were stopped.
	stopped totals
}

func newGauges() gauges {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, gapMax, 3) }
	return gauges{gaps: h(), otherBefore: h(), otherAfter: h()}
}

func (r *run) engineTotals() totals {
	t := r.gauges.stopped
	for _, e := range r.engines {
		if e.Up() {
			prefilled, _ := e.Prefilled()
			t.preemptions += e.Preemptions()
			t.prefilled += prefilled
		}
	}
	return t
}

func (g *gauges) token(r *run, q *request, at time.Time) {
	if q.delivered == 0 {
		q.first = at.Add(r.delay(r.hosts[q.host], q.engine))
	}
	if at.Before(r.start) || !at.Before(r.end) {
		return
	}
	g.tokens++
	if q.delivered == 0 {
		return
	}
	gap := at.Sub(q.last)
	g.total++
	if gap <= gapTarget {
		g.inTarget++
	} else {
		g.stall += gap - gapTarget
	}
	v := min(int64(gap/gapUnit), gapMax)
	// The value is within the histogram's range.
	_ = g.gaps.RecordValue(v)
	if regionOf(q.engine) != 0 {
		if at.Before(r.start.Add(r.scenario.moment)) {
			_ = g.otherBefore.RecordValue(v)
		} else {
			_ = g.otherAfter.RecordValue(v)
		}
	}
}

func (g *gauges) result(r *run) Result {
	quantile := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) * float64(gapUnit) / float64(time.Millisecond)
	}
	res := Result{
		Preemptions:           float64(g.engineEnd.preemptions - g.engineBase.preemptions),
		StallSeconds:          g.stall.Seconds(),
		GapP99:                quantile(g.gaps, 99),
		GapP999:               quantile(g.gaps, 99.9),
		TokensPerSecond:       float64(g.tokens) / r.scenario.measured.Seconds(),
		GapsInTarget:          float64(g.inTarget) / float64(max(g.total, 1)),
		Restarts:              float64(g.restarted),
		OverloadCrashes:       float64(g.fellOver),
		OtherDomainsGapBefore: quantile(g.otherBefore, 99),
		OtherDomainsGapAfter:  quantile(g.otherAfter, 99),
	}
	var offered, refused, ok, small, smallOK, prompt int
	for _, q := range r.requests {
		if q.cut {
			res.Interrupted++
		}
		if !q.done && r.scenario.drain {
			res.Unfinished++
		}
		if q.arrival.Before(r.start) || q.arrival.After(r.end.Add(-settle)) {
			continue
		}
		offered++
		prompt += q.prompt
		good := !q.first.IsZero() && q.first.Sub(q.arrival) <= firstTokenTarget
		if q.refused {
			refused++
		}
		if good {
			ok++
		}
		if q.team >= largeTeams {
			small++
			if good {
				smallOK++
			}
		}
	}
	res.FirstTokenInTarget = float64(ok) / float64(max(offered, 1))
	res.RejectedShare = float64(refused) / float64(max(offered, 1))
	res.SmallTeamsInTarget = float64(smallOK) / float64(max(small, 1))
	res.PrefixHitShare = 1 - float64(g.engineEnd.prefilled-g.engineBase.prefilled)/float64(max(prompt, 1))
	return res
}
