package policybench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// gapUnit is the unit of the token gap histograms, and gapMax their largest value in that unit.
const (
	gapUnit = 100 * time.Microsecond
	gapMax  = 10_000_000
)

// Result contains the measurements of one simulation.
type Result struct {
	// Preemptions is the number of preemptions in the measured time.
	Preemptions float64
	// StallSeconds is the sum, over all streams, of the time by which token gaps exceed the
	// target.
	StallSeconds float64
	// GapP99 and GapP999 are quantiles over all token gaps, in ms.
	GapP99, GapP999 float64
	// TokensPerSecond is the throughput of tokens delivered to callers.
	TokensPerSecond float64
	// FirstTokenInTarget is the share of offered requests whose time to first token met the
	// target. Rejected requests count as missed.
	FirstTokenInTarget float64
	// SmallTeamsInTarget is the same share for the small teams, whose demand stays below
	// their fair share when team 0 bursts.
	SmallTeamsInTarget float64
	// GapsInTarget is the share of token gaps within the target.
	GapsInTarget float64
	// RejectedShare is the share of offered requests that were rejected.
	RejectedShare float64
	// Interrupted is the number of streams that ended early because their engine stopped.
	// Unfinished is the number of requests without an outcome; it is only counted in
	// scenarios that set drain.
	Interrupted, Unfinished float64
	// Restarts is the number of engines that restarted cold, and OverloadCrashes the number
	// of cold engines that crashed because of overload.
	Restarts, OverloadCrashes float64
	// OtherDomainsGapBefore and OtherDomainsGapAfter are the p99 token gaps, in ms, on engines
	// outside failure domain 0 before and after eventOffset.
	OtherDomainsGapBefore, OtherDomainsGapAfter float64
	// PrefixHitShare is the share of prompt tokens that were not prefilled, because they were
	// in the prefix cache.
	PrefixHitShare float64
}

type totals struct{ preemptions, prefilled uint64 }

type recorder struct {
	gaps, otherDomainsBefore, otherDomainsAfter *hdrhistogram.Histogram
	stall                                       time.Duration
	gapCount, gapsInTarget                      int
	tokens                                      int
	restarts, overloadCrashes                   int
	totalsAtStart, totalsAtEnd                  totals
	// stoppedEngines sums the totals of incarnations that were stopped.
	stoppedEngines totals
}

func newRecorder() recorder {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, gapMax, 3) }
	return recorder{gaps: h(), otherDomainsBefore: h(), otherDomainsAfter: h()}
}

func (sim *simulation) engineTotals() totals {
	t := sim.recorder.stoppedEngines
	for _, e := range sim.engines {
		if e.Up() {
			prefilled, _ := e.Prefilled()
			t.preemptions += e.Preemptions()
			t.prefilled += prefilled
		}
	}
	return t
}

func (rec *recorder) token(sim *simulation, q *request, at time.Time) {
	if q.delivered == 0 {
		q.firstTokenAt = at.Add(sim.delay(sim.hosts[q.host], q.engine))
	}
	if at.Before(sim.start) || !at.Before(sim.end) {
		return
	}
	rec.tokens++
	if q.delivered == 0 {
		return
	}
	gap := at.Sub(q.lastTokenAt)
	rec.gapCount++
	if gap <= gapTarget {
		rec.gapsInTarget++
	} else {
		rec.stall += gap - gapTarget
	}
	v := min(int64(gap/gapUnit), gapMax)
	// RecordValue fails only for values above gapMax.
	_ = rec.gaps.RecordValue(v)
	if regionOf(q.engine) != 0 {
		if at.Before(sim.start.Add(sim.scenario.eventOffset)) {
			_ = rec.otherDomainsBefore.RecordValue(v)
		} else {
			_ = rec.otherDomainsAfter.RecordValue(v)
		}
	}
}

func (rec *recorder) result(sim *simulation) Result {
	quantile := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) * float64(gapUnit) / float64(time.Millisecond)
	}
	res := Result{
		Preemptions:           float64(rec.totalsAtEnd.preemptions - rec.totalsAtStart.preemptions),
		StallSeconds:          rec.stall.Seconds(),
		GapP99:                quantile(rec.gaps, 99),
		GapP999:               quantile(rec.gaps, 99.9),
		TokensPerSecond:       float64(rec.tokens) / sim.scenario.measureTime.Seconds(),
		GapsInTarget:          float64(rec.gapsInTarget) / float64(max(rec.gapCount, 1)),
		Restarts:              float64(rec.restarts),
		OverloadCrashes:       float64(rec.overloadCrashes),
		OtherDomainsGapBefore: quantile(rec.otherDomainsBefore, 99),
		OtherDomainsGapAfter:  quantile(rec.otherDomainsAfter, 99),
	}
	var offered, rejected, inTarget, small, smallInTarget, prompt int
	for _, q := range sim.requests {
		if q.interrupted {
			res.Interrupted++
		}
		if !q.done && sim.scenario.drain {
			res.Unfinished++
		}
		if q.arrival.Before(sim.start) || q.arrival.After(sim.end.Add(-settleTime)) {
			continue
		}
		offered++
		prompt += q.prompt
		withinTarget := !q.firstTokenAt.IsZero() && q.firstTokenAt.Sub(q.arrival) <= firstTokenTarget
		if q.rejected {
			rejected++
		}
		if withinTarget {
			inTarget++
		}
		if q.team >= largeTeams {
			small++
			if withinTarget {
				smallInTarget++
			}
		}
	}
	res.FirstTokenInTarget = float64(inTarget) / float64(max(offered, 1))
	res.RejectedShare = float64(rejected) / float64(max(offered, 1))
	res.SmallTeamsInTarget = float64(smallInTarget) / float64(max(small, 1))
	res.PrefixHitShare = 1 - float64(rec.totalsAtEnd.prefilled-rec.totalsAtStart.prefilled)/float64(max(prompt, 1))
	return res
}
