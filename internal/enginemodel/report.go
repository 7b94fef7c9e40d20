package enginemodel

import (
	"slices"
	"strconv"
	"time"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

type sample struct {
	at     time.Time
	report platform.LoadReport
}

// sampleUntil records the load samples that are due by now.
func (e *Engine) sampleUntil(now time.Time) {
	for e.up && !e.nextSample.After(now) {
		e.reportSeq++
		e.samples = append(e.samples, sample{at: e.nextSample, report: e.load()})
		e.nextSample = e.nextSample.Add(e.params.ReportInterval)
	}
	if n := len(e.samples); n > 2*retainedSamples {
		e.samples = append(e.samples[:0], e.samples[n-retainedSamples:]...)
	}
}

func (e *Engine) load() platform.LoadReport {
	used := e.params.Blocks - e.free
	for _, p := range e.prefixes {
		if p.refs == 0 {
			used -= p.blocks
		}
	}
	recent := 0
	if n := len(e.firstTokens); n > 0 {
		sorted := slices.Clone(e.firstTokens)
		slices.Sort(sorted)
		recent = int(sorted[n*95/100].Milliseconds())
	}
	return platform.LoadReport{
		Incarnation: strconv.Itoa(e.incarnation), Sequence: e.reportSeq,
		Running: len(e.running), Waiting: len(e.waiting),
		BlocksUsed: used, BlocksTotal: e.params.Blocks, BlockTokens: e.params.BlockTokens,
		Completed: e.completed, Preemptions: e.preemptions,
		RecentFirstTokenMS: recent, StepMS: e.stepTime,
	}
}

// Load returns the newest load report that is visible at now, which is the newest sample at
// least Params.ReportLag old. It reports false when the engine is down or no sample is visible
// yet.
func (e *Engine) Load(now time.Time) (platform.LoadReport, bool) {
	if !e.up {
		return platform.LoadReport{}, false
	}
	e.sampleUntil(now)
	visible := now.Add(-e.params.ReportLag)
	for i := len(e.samples) - 1; i >= 0; i-- {
		s := &e.samples[i]
		if s.at.After(visible) {
			continue
		}
		r := s.report
		r.AgeMS = now.Sub(s.at).Milliseconds()
		return r, true
	}
	return platform.LoadReport{}, false
}

// SetReportLag changes the age at which load samples become visible.
func (e *Engine) SetReportLag(lag time.Duration) { e.params.ReportLag = lag }
