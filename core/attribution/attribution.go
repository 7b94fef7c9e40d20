// Package attribution finds the prompt parts that crash engines, so that requests with them can
// be rejected. Each host records the crashes of engine processes together with the parts of its
// requests that had been sent there and whose answers had not begun, and the hosts exchange these
// records. A part is rejected when several engines crashed while requests with it were about to
// begin, and no answer to a request with it has begun since. An answer that begins shows that its
// parts are sound. Crashes at the same moment may have another common cause: they suffice only if
// there are many and no answer has begun within a waiting time after them.
//
// The package does no I/O and has no clock: callers pass the time, on a clock that also counts
// suspended time, and hold the lock. The published Rejections are immutable.
package attribution

import (
	"math"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCrashes is the number of crashes that get a part rejected.
	minCrashes = 3
	// minCrashesIfSound is that number for a part on which an answer began within
	// soundWindow before the first of these crashes, and for a service with fewer than
	// minAddresses engines, where the same engine crashes again and again.
	minCrashesIfSound = 5
	soundWindow       = time.Minute
	// minAddresses is the number of different engines among the crashes, unless the
	// service has fewer.
	minAddresses = 3
	// minSpacing is the time between two crashes that count separately, and
	// minDomainSpacing that between two in one of several failure domains: engines that
	// crash together, as when a domain loses power, may have a common cause.
	minSpacing       = 250 * time.Millisecond
	minDomainSpacing = time.Second
	// minUnansweredCrashes is the number of crashes that get a part rejected even if they do
	// not count separately, once answerWait has passed without an answer with the part. With
	// another common cause, the engines that were spared begin such answers within that time.
	minUnansweredCrashes = 5
	answerWait           = 2 * time.Second
	// clockTolerance is the error of times that other hosts report as ages.
	clockTolerance = 500 * time.Millisecond
	// maxCrashesBeforeRetry is the number of crashes with a part from which a request with it
	// is not sent to another engine any more.
	maxCrashesBeforeRetry = 2
	// minHold and maxHold bound the time for which a part is rejected without a trial.
	minHold = 30 * time.Second
	maxHold = 10 * time.Minute
	// retention is how long a crash is remembered, and a rejection after its last crash.
	// Trials begin earlier, so a part that still crashes engines is not forgotten.
	retention = 2 * maxHold
	// maxAge is the largest age of a crash that another host may report.
	maxAge = 24 * time.Hour
	// trialInterval is the least time between two trials of a rejection at one host.
	trialInterval = 2 * time.Second
	// TrialSlot is the time for which one host is elected for the trials of a rejection
	// whose hold has passed.
	TrialSlot = 10 * time.Second

	// maxCrashRecords and maxCrashParts bound the memory for crashes.
	maxCrashRecords = 64
	maxCrashParts   = 4096
	// maxAnsweredParts bounds each of the two generations of the map of answered parts.
	maxAnsweredParts = 8192
	// maxReportParts and maxAnswers bound the size of a message to other hosts.
	maxReportParts = 1000
	maxAnswers     = 200
	// maxSupportingParts limits the parts that are sent of a crash that explains a rejection.
	maxSupportingParts = 32
	// exportTime is how long an answer that contradicts a crash record is sent to other
	// hosts: several messages, of which some may be lost.
	exportTime = 5 * time.Second
)

// Part identifies a prompt part by the hash of its ID.
type Part uint64

// partBits is the size of a Part; 53 bits are exact in JSON.
const partBits = 48

// PartOf returns the Part of a part's ID.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id) >> (64 - partBits)) }

// String returns the hash in hexadecimal.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// ParsePart is the inverse of String.
func ParsePart(s string) (Part, error) {
	n, err := strconv.ParseUint(s, 16, partBits)
	return Part(n), err
}

// Process identifies one process of an engine.
type Process struct {
	ID string `json:"i"`
	// StartTime is in Unix milliseconds.
	StartTime int64 `json:"b"`
}

// Crash is the unannounced end of an engine process.
type Crash struct {
	Process Process
	Address string
	// Domain is the failure domain.
	Domain string
	// At is when the crash was noticed.
	At time.Duration
	// Engines is the number of engines of the service, and Domains that of their failure
	// domains.
	Engines, Domains int
	// Parts are those of requests that had been sent to the process and whose answers had
	// not begun.
	Parts []Part
}

type crash struct {
	Crash
	parts map[Part]struct{}
}

// Tracker collects the evidence of one host and of the reports of others. It is not safe for
// concurrent use.
type Tracker struct {
	crashes []*crash // by time
	// answered holds when the last answer with a part began at this host, in two
	// generations: when the recent one is full, it replaces the old one. peerAnswered holds
	// the same of other hosts, for parts of crashes.
	answered, peerAnswered generations
	// exports are the parts whose answers are sent to other hosts, until the given time.
	exports map[Part]time.Duration
	trials  map[Part]time.Duration // last trial of a rejection, by its first part
	current *Rejections
	// evaluated is when the current rejections were computed.
	evaluated time.Duration
}

// New returns a Tracker without evidence.
func New() *Tracker {
	return &Tracker{
		answered: newGenerations(), peerAnswered: newGenerations(),
		exports: map[Part]time.Duration{}, trials: map[Part]time.Duration{}, current: &Rejections{},
	}
}

// Rejections returns the current rejections.
func (t *Tracker) Rejections() *Rejections { return t.current }

// RecordAnswer records that an answer to a request with these parts began at now. It reports
// whether the rejections changed.
func (t *Tracker) RecordAnswer(parts []Part, now time.Duration) bool {
	cleared := false
	for _, p := range parts {
		t.answered.set(p, now)
		if t.clear(p, now) {
			t.export(p, now)
			cleared = true
		}
	}
	return cleared && t.evaluate(now)
}

// clear removes a part from the crashes before an answer with it.
func (t *Tracker) clear(p Part, answered time.Duration) (cleared bool) {
	for _, c := range t.crashes {
		if _, ok := c.parts[p]; ok && c.At < answered+clockTolerance {
			delete(c.parts, p)
			cleared = true
		}
	}
	return cleared
}

func (t *Tracker) export(p Part, now time.Duration) {
	if len(t.exports) < maxAnswers {
		t.exports[p] = now + exportTime
	}
}

// lastAnswer returns when the last answer with a part began.
func (t *Tracker) lastAnswer(p Part) (time.Duration, bool) {
	own, ok1 := t.answered.get(p)
	peer, ok2 := t.peerAnswered.get(p)
	return max(own, peer), ok1 || ok2
}

// RecordCrash records a crash, or adds the parts to the record of the same process. It
// reports whether the rejections changed.
func (t *Tracker) RecordCrash(c Crash) bool { return t.add(c, c.At) && t.evaluate(c.At) }

// add returns whether it changed the evidence. Answers of this host that contradict the crash are
// exported at now.
func (t *Tracker) add(c Crash, now time.Duration) bool {
	suspects := make([]Part, 0, len(c.Parts))
	for _, p := range c.Parts {
		if at, ok := t.lastAnswer(p); ok && c.At < at+clockTolerance {
			if _, own := t.answered.get(p); own {
				t.export(p, now)
			}
			continue
		}
		suspects = append(suspects, p)
	}
	if len(suspects) == 0 {
		return false
	}
	record := t.record(c)
	changed := false
	for _, p := range suspects {
		if _, known := record.parts[p]; !known && len(record.parts) < maxCrashParts/2 {
			record.parts[p] = struct{}{}
			changed = true
		}
	}
	t.evict()
	return changed
}

// record returns the record of a crash, a new one if there is none.
func (t *Tracker) record(c Crash) *crash {
	for _, known := range t.crashes {
		if known.Process == c.Process {
			return known
		}
	}
	record := &crash{Crash: c, parts: map[Part]struct{}{}}
	record.Crash.Parts = nil
	at := sort.Search(len(t.crashes), func(i int) bool { return t.crashes[i].At > c.At })
	t.crashes = slices.Insert(t.crashes, at, record)
	return record
}

// evict keeps the crash records within their bounds. It removes the oldest ones that no
// rejection is based on first.
func (t *Tracker) evict() {
	parts := 0
	for _, c := range t.crashes {
		parts += len(c.parts)
	}
	for len(t.crashes) > maxCrashRecords || parts > maxCrashParts {
		victim := slices.IndexFunc(t.crashes, func(c *crash) bool { return !t.supports(c) })
		if victim < 0 || victim == len(t.crashes)-1 {
			victim = 0
		}
		parts -= len(t.crashes[victim].parts)
		t.crashes = slices.Delete(t.crashes, victim, victim+1)
	}
}

// supports reports whether a part of a crash is rejected.
func (t *Tracker) supports(c *crash) bool { return t.supportsSince(c, math.MinInt64) }

// supportsSince is like supports, for rejections whose last crash was at start or later.
func (t *Tracker) supportsSince(c *crash, start time.Duration) bool {
	for p := range c.parts {
		if r := t.current.byPart[p]; r != nil && r.Last() >= start {
			return true
		}
	}
	return false
}

// Expire drops old evidence and rejects the parts for which answerWait has passed. It is called
// several times per second. It reports whether the rejections changed.
func (t *Tracker) Expire(now time.Duration) bool {
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		return len(c.parts) == 0 || now-c.At > retention && !t.supportsSince(c, now-retention)
	})
	for p, until := range t.exports {
		if now > until {
			delete(t.exports, p)
		}
	}
	for p, at := range t.trials {
		if now-at > TrialSlot {
			delete(t.trials, p)
		}
	}
	return (len(t.crashes) != before || t.answerWaitEnded(now)) && t.evaluate(now)
}

// answerWaitEnded reports whether the answerWait of a crash has ended since the last evaluation.
func (t *Tracker) answerWaitEnded(now time.Duration) bool {
	return slices.ContainsFunc(t.crashes, func(c *crash) bool {
		end := c.At + answerWait
		return t.evaluated < end && end <= now
	})
}

// generations is a map of bounded size: when the recent map is full, it replaces the old one.
type generations struct{ recent, old map[Part]time.Duration }

func newGenerations() generations { return generations{recent: map[Part]time.Duration{}} }

func (g *generations) get(p Part) (time.Duration, bool) {
	if at, ok := g.recent[p]; ok {
		return at, true
	}
	at, ok := g.old[p]
	return at, ok
}

func (g *generations) set(p Part, at time.Duration) {
	if _, ok := g.recent[p]; !ok && len(g.recent) >= maxAnsweredParts {
		g.old, g.recent = g.recent, map[Part]time.Duration{}
	}
	g.recent[p] = at
}
