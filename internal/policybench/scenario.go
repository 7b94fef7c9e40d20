package policybench

import (
	"time"

	"monsoonkeel.example/monsoonkeel/internal/enginemodel"
)

// scenario is a course of events; event happens at moment.
type scenario struct {
	name      string
	hosts     int
	reportLag time.Duration
	event     func(*run)
	// drain continues until every request has an outcome.
	drain bool
}

var scenarios = []scenario{
	{name: "steady", hosts: 9, reportLag: enginemodel.DefaultReportLag},
	{name: "shift", hosts: 8, reportLag: enginemodel.DefaultReportLag,
		event: func(r *run) { r.source.shifted = true }},
	{name: "burst", hosts: 9, reportLag: enginemodel.DefaultReportLag,
		event: func(r *run) {
			r.source.burst = burstFactor
			r.after(burstTime, func() { r.source.burst = 1 })
		}},
	{name: "reclaim", hosts: 6, reportLag: enginemodel.DefaultReportLag, event: reclaim},
	{name: "domain", hosts: 9, reportLag: enginemodel.DefaultReportLag, event: pullDomain, drain: true},
	{name: "lag5s", hosts: 7, reportLag: 5 * time.Second},
}

const (
	// burstFactor multiplies the rate of team 0, a quarter of the load, for burstTime.
	burstFactor = 4
	burstTime   = 15 * time.Second
	// reclaimed is the engine that is taken away.
	reclaimed = 5
	// domainOut is how long failure domain 0 is out of service.
	domainOut = 20 * time.Second
)

// reclaim marks an engine as leaving and kills it after the notice.
func reclaim(r *run) {
	r.takeOut(reclaimed, true)
	r.after(reclaimNotice, func() { r.kill(reclaimed) })
}

func (r *run) kill(engine int) {
	r.advance(engine)
	e := r.engines[engine]
	prefilled, _ := e.Prefilled()
	r.gauges.stopped.preemptions += e.Preemptions()
	r.gauges.stopped.prefilled += prefilled
	r.handle(engine, e.Stop(r.now))
}

// pullDomain takes failure domain 0 out of service and brings it back. Its
// engines finish their requests; those that are idle by then restart cold.
func pullDomain(r *run) {
	for i := range engines {
		if regionOf(i) == 0 {
			r.takeOut(i, true)
		}
	}
	r.after(domainOut, func() {
		for i := range engines {
			switch {
			case regionOf(i) != 0:
			case r.engines[i].InFlight() == 0:
				r.kill(i)
				r.restart(i)
			default:
				r.takeOut(i, false)
			}
		}
	})
}
