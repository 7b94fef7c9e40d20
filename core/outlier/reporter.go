package outlier

import (
	"cmp"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

// maxReports limits the reports of a host.
const maxReports = 32

// ownTroubleServers is the number of servers at which a host fails within ReportTime, with more failures than successes, from
// which it takes the cause to be its own: it is cut off, or its link is full.
const ownTroubleServers = 3

// Reporter collects the failures of this host. It is not safe for concurrent use.
type Reporter struct {
	failures map[serverstate.Process]*failures
	// recent are the results within ReportTime.
	recent []result
}

type failures struct {
	count int64
	last  time.Duration
}

type result struct {
	at     time.Duration
	server serverstate.Process
	failed bool
}

// NewReporter returns a Reporter without failures.
func NewReporter() *Reporter { return &Reporter{failures: map[serverstate.Process]*failures{}} }

// Record records the result of a request.
func (r *Reporter) Record(p serverstate.Process, failed bool, now time.Duration) {
	r.expire(now)
	r.recent = append(r.recent, result{now, p, failed})
	if !failed {
		return
	}
	f := r.failures[p]
	if f == nil {
		f = &failures{}
		r.failures[p] = f
	}
	f.count++
	f.last = now
}

func (r *Reporter) expire(now time.Duration) {
	i := 0
	for i < len(r.recent) && now-r.recent[i].at > ReportTime {
		i++
	}
	r.recent = r.recent[i:]
	for p, f := range r.failures {
		if now-f.last > ReportTime {
			delete(r.failures, p)
		}
	}
}

// Reports returns the failures of the last ReportTime, sorted by server, newest first if there are too many. There are
// none while the host itself is the likely cause.
func (r *Reporter) Reports(now time.Duration) []Report {
	r.expire(now)
	if r.ownTrouble() {
		return nil
	}
	reports := make([]Report, 0, len(r.failures))
	for p, f := range r.failures {
		reports = append(reports, Report{Process: p, Failures: f.count, Age: now - f.last})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
	reports = reports[:min(len(reports), maxReports)]
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartTime, b.StartTime)) })
	return reports
}

func (r *Reporter) ownTrouble() bool {
	servers := map[serverstate.Process]bool{}
	failed := 0
	for _, result := range r.recent {
		if result.failed {
			servers[result.server] = true
			failed++
		}
	}
	return len(servers) >= ownTroubleServers && 2*failed > len(r.recent)
}
