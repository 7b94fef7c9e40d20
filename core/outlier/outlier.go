// Package outlier ejects backend servers by the failures that other hosts report, so that not each host of a deployment has to
// fail a request at the same server first. A failure that only callers of one failure domain see ejects the server
// there. The package does no I/O and has no clock.
package outlier

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

const (
	// minEjection and maxEjection bound the ejection time, which doubles with each further failure.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
	// recoveryTime is how long after an ejection the next failure counts as the first one again.
	recoveryTime = 5 * time.Second
	// trialInterval is the time between two requests to a server whose ejection has ended, until one of them fails or
	// maxTrials were sent.
	trialInterval = 400 * time.Millisecond
	maxTrials     = 4
	// minDomains is the number of failure domains whose hosts must fail at a server until it is ejected for all.
	minDomains = 2
	// ReportTime is how long a host reports a failure.
	ReportTime = 5 * time.Second
	// maxFirstAge is the age up to which the failures in the first report of a host count.
	maxFirstAge = time.Second
)

// Report is what a host tells the others of its failures at a process of a backend server.
type Report struct {
	serverstate.Process
	// Failures is their number since the host started, and Age the time since the last one.
	Failures int64
	Age      time.Duration
}

// Tracker holds the failures that other hosts have reported. It is not safe for concurrent use.
type Tracker struct {
	// seen are the failures that were counted, by host.
	seen    map[string]map[serverstate.Process]int64
	servers map[serverstate.Process]map[string]*ejection
}

// ejection is the state of a server for the callers of a failure domain.
type ejection struct {
	failures int
	until    time.Duration
	// trials is the number of requests since the ejection has ended, and lastTrial the time of the last one.
	trials    int
	lastTrial time.Duration
}

func (e *ejection) ejects(now time.Duration) bool {
	return now < e.until || e.trials > 0 && e.trials < maxTrials && now < e.lastTrial+trialInterval
}

// New returns a Tracker without failures.
func New() *Tracker {
	return &Tracker{seen: map[string]map[serverstate.Process]int64{}, servers: map[serverstate.Process]map[string]*ejection{}}
}

// Merge counts the failures in the reports of a host in a failure domain that were not counted yet.
func (t *Tracker) Merge(host, domain string, reports []Report, now time.Duration) {
	before, known := t.seen[host]
	seen := make(map[serverstate.Process]int64, len(reports))
	for _, r := range reports {
		seen[r.Process] = r.Failures
		last, counted := before[r.Process]
		isNew := r.Failures > last && (known || r.Age < maxFirstAge)
		if counted && r.Failures < last { // the host has started again
			isNew = r.Age < maxFirstAge
		}
		if isNew {
			t.record(r.Process, domain, now-r.Age)
		}
	}
	t.seen[host] = seen
}

// record ejects a server for a domain because of a failure.
func (t *Tracker) record(p serverstate.Process, domain string, at time.Duration) {
	byDomain := t.servers[p]
	if byDomain == nil {
		byDomain = map[string]*ejection{}
		t.servers[p] = byDomain
	}
	e := byDomain[domain]
	if e == nil || at > e.until+recoveryTime {
		e = &ejection{}
		byDomain[domain] = e
	}
	e.until = max(e.until, at+min(minEjection<<min(e.failures, 8), maxEjection))
	e.failures++
	e.trials = 0
}

// Ejected returns the servers that callers of a failure domain should not use, by ID.
func (t *Tracker) Ejected(domain string, now time.Duration) map[string]bool {
	var ejected map[string]bool
	for p, byDomain := range t.servers {
		domains := 0
		for _, e := range byDomain {
			if e.ejects(now) {
				domains++
			}
		}
		if e := byDomain[domain]; domains >= minDomains || e != nil && e.ejects(now) {
			if ejected == nil {
				ejected = map[string]bool{}
			}
			ejected[p.ID] = true
		}
	}
	return ejected
}

// Tried records a request to a server.
func (t *Tracker) Tried(server string, now time.Duration) {
	for p, byDomain := range t.servers {
		if p.ID != server {
			continue
		}
		for _, e := range byDomain {
			if now >= e.until && now < e.until+recoveryTime {
				e.trials++
				e.lastTrial = now
			}
		}
	}
}

// EjectedForAll returns the servers that no caller should use, by ID.
func (t *Tracker) EjectedForAll(now time.Duration) (ids []string) {
	for id := range t.Ejected("", now) {
		ids = append(ids, id)
	}
	return ids
}

// Expire drops what no longer counts, and the reports of hosts for which live returns false.
func (t *Tracker) Expire(now time.Duration, live func(host string) bool) {
	for host := range t.seen {
		if !live(host) {
			delete(t.seen, host)
		}
	}
	for p, byDomain := range t.servers {
		for domain, e := range byDomain {
			if now > e.until+recoveryTime {
				delete(byDomain, domain)
			}
		}
		if len(byDomain) == 0 {
			delete(t.servers, p)
		}
	}
}
