package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

var bad = serverstate.Process{ID: "bad", StartTime: 1}

func report(failures int64, age time.Duration) []Report {
	return []Report{{Process: bad, Failures: failures, Age: age}}
}

// Guards against a failure that is counted with each message that repeats it, or not at all, and against the failures
// from before a host started again.
func TestFailuresCountOnce(t *testing.T) {
	tracker := New()
	now := time.Hour
	tracker.Merge("h", "west-a", report(7, 3*time.Second), now)
	assert.Empty(t, tracker.Ejected("west-a", now), "an old failure in the first report of a host")
	tracker.Merge("h", "west-a", report(8, 0), now)
	assert.True(t, tracker.Ejected("west-a", now)["bad"])
	for range 10 {
		tracker.Merge("h", "west-a", report(8, 0), now)
	}
	assert.Empty(t, tracker.Ejected("west-a", now+minEjection))
	now += minEjection
	tracker.Merge("h", "west-a", report(9, 0), now)
	assert.True(t, tracker.Ejected("west-a", now+2*minEjection-1)["bad"], "doubled")
	assert.Empty(t, tracker.Ejected("west-a", now+2*minEjection))
	now += 2 * minEjection
	tracker.Merge("h", "west-a", report(1, 0), now)
	assert.True(t, tracker.Ejected("west-a", now)["bad"], "the host has started again")
	now += maxEjection + recoveryTime
	tracker.Merge("h", "west-a", report(2, 0), now)
	assert.Empty(t, tracker.Ejected("west-a", now+minEjection), "the first failure after a long time")
}

// Guards against a sound server that no host uses since the callers of one failure domain cannot reach it.
func TestFailuresOfOneDomainEjectThere(t *testing.T) {
	tracker := New()
	now := time.Hour
	tracker.Merge("h", "west-a", report(1, 0), now)
	tracker.Merge("i", "west-a", report(1, 0), now)
	assert.True(t, tracker.Ejected("west-a", now)["bad"])
	assert.Empty(t, tracker.Ejected("east-a", now))
	assert.Empty(t, tracker.EjectedForAll(now))
	tracker.Merge("j", "north-a", report(1, 0), now)
	assert.True(t, tracker.Ejected("east-a", now)["bad"])
	assert.Equal(t, []string{"bad"}, tracker.EjectedForAll(now))
	tracker.Expire(now+maxEjection+recoveryTime+time.Second, func(string) bool { return false })
	assert.Empty(t, tracker.servers)
	assert.Empty(t, tracker.seen)
}

// Guards against a host that is cut off from all servers and makes the others eject them.
func TestHostsInTroubleReportNoFailures(t *testing.T) {
	r := NewReporter()
	now := time.Hour
	for i := range 10 {
		r.Record(serverstate.Process{ID: fmt.Sprint("s-", i)}, false, now)
	}
	r.Record(bad, true, now)
	r.Record(bad, true, now)
	assert.Equal(t, []Report{{Process: bad, Failures: 2}}, r.Reports(now))
	for i := range 20 {
		r.Record(serverstate.Process{ID: fmt.Sprint("s-", i)}, true, now)
	}
	assert.Empty(t, r.Reports(now))
	now += ReportTime + 1
	assert.Empty(t, r.Reports(now))
	r.Record(bad, true, now)
	assert.Len(t, r.Reports(now), 1)
	assert.Len(t, r.recent, 1)
}

func domainOf(host int) string { return []string{"west-a", "west-b"}[host%2] }

// Guards against each of hundreds of hosts failing a request at the same server, whose idle slots attract requests.
// Pattern: a server resets all requests while its health is good, and 98 hosts use it among 43, two thirds of the time
// since it looks idle.
func TestFewRequestsFailAtABadServer(t *testing.T) {
	tracker, reporters := New(), map[string]*Reporter{}
	now, failed := time.Hour, 0
	for request := range 600 { // 10 s
		now += 17 * time.Millisecond
		n := request * 31 % 98
		host, domain := fmt.Sprint("host-", n), domainOf(n)
		if reporters[host] == nil {
			reporters[host] = NewReporter()
		}
		failing := request%3 < 2 && !tracker.Ejected(domain, now)["bad"]
		if failing {
			failed++
			tracker.Tried("bad", now)
		}
		server := serverstate.Process{ID: fmt.Sprint("good-", request%42)}
		if failing {
			server = bad
		}
		reporters[host].Record(server, failing, now)
		if request%10 == 0 { // the states of all hosts arrive every 170 ms
			for n := range 98 {
				if r := reporters[fmt.Sprint("host-", n)]; r != nil {
					tracker.Merge(fmt.Sprint("host-", n), domainOf(n), r.Reports(now), now)
				}
			}
		}
	}
	t.Logf("%d of 600 requests failed", failed)
	assert.LessOrEqual(t, failed, 25)
}

// Guards against a server that is never used again after its failures, and against many requests to one that still fails.
func TestEjectedServersAreTriedAgain(t *testing.T) {
	tracker := New()
	now := time.Hour
	tracker.Merge("h", "west-a", nil, now)
	tracker.Merge("h", "west-a", report(1, 0), now)
	now += minEjection
	for range maxTrials {
		assert.Empty(t, tracker.Ejected("west-a", now))
		tracker.Tried("bad", now)
		if tracker.servers[bad]["west-a"].trials < maxTrials {
			assert.True(t, tracker.Ejected("west-a", now)["bad"], "until the trial may have failed")
		}
		now += trialInterval
	}
	tracker.Tried("bad", now)
	assert.Empty(t, tracker.Ejected("west-a", now), "sound again")
}
