package attribution

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	bad, first, second Part = 1, 2, 3
	engines                 = 12
)

// crashAt returns the crash of engine n.
func crashAt(n int, at time.Duration, parts ...Part) Crash {
	return Crash{
		Process: Process{ID: fmt.Sprint("engine-", n), StartTime: int64(n)}, Address: fmt.Sprint("10.0.0.", n),
		Domain: "west-a", At: at, Engines: engines, Domains: 2, Parts: parts,
	}
}

const s = time.Second

// rejected returns the parts that are rejected.
func rejected(t *Tracker) (parts []Part) {
	for _, r := range t.Rejections().All() {
		parts = append(parts, r.Parts...)
	}
	return parts
}

// Guards against a part that is rejected for fewer crashes than shown, for several of one engine, for
// one event that ends several engines, or not at all.
func TestCrashesThatGetAPartRejected(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes []Crash
		want    []Part
	}{
		{"two engines", []Crash{crashAt(1, s, bad), crashAt(2, 2*s, bad)}, nil},
		{"three engines", []Crash{crashAt(1, s, bad), crashAt(2, 2*s, bad), crashAt(3, 3*s, bad)}, []Part{bad}},
		{"one failure of three engines", []Crash{crashAt(1, s, bad), crashAt(2, s+50*time.Millisecond, bad), crashAt(3, s+90*time.Millisecond, bad)}, nil},
		{"two failures of five engines", []Crash{crashAt(1, s, bad), crashAt(2, s, bad), crashAt(3, s, bad), crashAt(4, 3*s, bad), crashAt(5, 3*s, bad)}, nil},
		{"a failure of a domain within a second", []Crash{crashAt(1, s, bad), crashAt(2, s+300*time.Millisecond, bad), crashAt(3, s+600*time.Millisecond, bad), crashAt(4, s+900*time.Millisecond, bad)}, nil},
		{"first position", []Crash{crashAt(1, s, bad, 11), crashAt(2, 2*s, bad, 12), crashAt(3, 3*s, bad, 13)}, []Part{bad}},
		{"middle position", []Crash{crashAt(1, s, 11, bad), crashAt(2, 2*s, 12, bad), crashAt(3, 3*s, 13, bad)}, []Part{bad}},
		{"other requests at each engine", []Crash{crashAt(1, s, first, bad, 20), crashAt(2, 2*s, second, bad, 21), crashAt(3, 3*s, first, bad, 22)}, []Part{bad}},
		{"two parts in turn", []Crash{
			crashAt(1, 1*s, bad, 21), crashAt(2, 2*s, second, 22), crashAt(3, 3*s, bad, 23), crashAt(4, 4*s, second, 24), crashAt(5, 5*s, bad, 25), crashAt(6, 6*s, second, 26),
		}, []Part{bad, second}},
		{"no parts", []Crash{crashAt(1, s), crashAt(2, 2*s), crashAt(3, 3*s)}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := New()
			for _, crash := range c.crashes {
				tracker.RecordCrash(crash)
			}
			assert.Equal(t, c.want, rejected(tracker))
		})
	}
}

// crashTogether returns crashes of n engines at the same moment, in as many failure domains as given.
func crashTogether(n, domains int, at time.Duration, part Part) (crashes []Crash) {
	for i := range n {
		c := crashAt(int(at/s)*100+i, at, part, Part(1000+int(at/s)*100+i))
		c.Domain, c.Domains = fmt.Sprint("domain-", i%domains), 3
		crashes = append(crashes, c)
	}
	return crashes
}

// Guards against a part that crashes several engines at the same moment and is sent again since they count
// as one event, and against a sound part that is rejected then since other engines have not answered yet.
func TestCrashesAtTheSameMoment(t *testing.T) {
	for _, c := range []struct {
		name           string
		crashes        []Crash
		before         bool // an answer with the part began in the minute before
		answers        bool // an answer with the part begins at another engine afterwards
		rejectedAtOnce bool
		rejectedLater  bool
	}{
		{name: "six in three failure domains", crashes: crashTogether(6, 3, 10*s, bad), rejectedLater: true},
		{name: "six in one failure domain", crashes: crashTogether(6, 1, 10*s, bad), rejectedLater: true},
		{name: "three and three", crashes: append(crashTogether(3, 3, 10*s, bad), crashTogether(3, 3, 15*s, bad)...), rejectedLater: true},
		{name: "four", crashes: crashTogether(4, 3, 10*s, bad)},
		{name: "two, two and two", crashes: append(append(crashTogether(2, 2, 10*s, bad), crashTogether(2, 2, 15*s, bad)...), crashTogether(2, 2, 20*s, bad)...), rejectedAtOnce: true, rejectedLater: true},
		{name: "six, other engines answer", crashes: crashTogether(6, 3, 10*s, bad), answers: true},
		{name: "six, was sound", crashes: crashTogether(6, 3, 10*s, bad), before: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker, other := New(), New()
			if c.before {
				other.RecordAnswer([]Part{bad}, 9*s)
			}
			var now time.Duration
			for _, crash := range c.crashes {
				now = crash.At
				tracker.RecordCrash(crash)
			}
			want := func(isRejected bool) (parts []Part) {
				if isRejected {
					parts = append(parts, bad)
				}
				return parts
			}
			exchange := func() {
				tracker.Expire(now)
				other.Expire(now)
				other.Merge(tracker.Reports(now), tracker.Answers(now), now)
				tracker.Merge(other.Reports(now), other.Answers(now), now)
			}
			exchange()
			assert.Equal(t, want(c.rejectedAtOnce), rejected(tracker))
			now += answerWait / 2
			if c.answers {
				other.RecordAnswer([]Part{bad}, now)
			}
			exchange()
			assert.Equal(t, want(c.rejectedAtOnce), rejected(tracker))
			now += answerWait / 2
			exchange()
			assert.Equal(t, want(c.rejectedLater), rejected(tracker))
			assert.Equal(t, want(c.rejectedLater), rejected(other), "the other host decides alike")
		})
	}
}

// Guards against a part that is rejected because one engine crashes again and again at one address,
// with a new process each time.
func TestCrashesOfOneEngine(t *testing.T) {
	tracker := New()
	for n := range 10 {
		c := crashAt(n, time.Duration(n)*s, bad)
		c.Address = "10.0.0.1"
		tracker.RecordCrash(c)
	}
	assert.Empty(t, rejected(tracker))
}

// Guards against a part that cannot be rejected where a service has one engine, and against one that
// is rejected there for few crashes.
func TestServiceWithOneEngine(t *testing.T) {
	tracker := New()
	for n := range 5 {
		assert.Empty(t, rejected(tracker))
		c := crashAt(n, time.Duration(n)*s, bad)
		c.Address, c.Engines = "10.0.0.1", 1
		tracker.RecordCrash(c)
	}
	assert.Equal(t, []Part{bad}, rejected(tracker))
}

// Guards against rejecting a part on which answers begin: an answer clears it of all earlier crashes,
// at the host of the answer and at the others, also when these crashes are reported later.
func TestAnswerClearsItsParts(t *testing.T) {
	tracker, other := New(), New()
	for n := range 3 {
		tracker.RecordCrash(crashAt(n, time.Duration(n)*s, bad, first))
	}
	assert.Equal(t, []Part{bad, first}, rejected(tracker), "two parts at the same crashes")
	other.Merge(tracker.Reports(3*s), nil, 3*s)
	assert.Equal(t, rejected(tracker), rejected(other))

	late := tracker.Reports(3 * s)
	other.RecordAnswer([]Part{first, 99}, 4*s)
	assert.Equal(t, []Part{bad}, rejected(other))
	tracker.Merge(nil, other.Answers(4*s), 4*s)
	assert.Equal(t, []Part{bad}, rejected(tracker))
	// A host that was cut off sends its old records again, and learns of the answer.
	returned := New()
	returned.Merge(late, nil, 3*s)
	other.Merge(returned.Reports(8*s), nil, 8*s)
	assert.Equal(t, []Part{bad}, rejected(other))
	returned.Merge(nil, other.Answers(8*s), 8*s)
	assert.Equal(t, []Part{bad}, rejected(returned))
}

// Guards against rejecting a part that was sound until a wave of crashes, after as few crashes as an
// unknown one; five show that it is not sound any more.
func TestPartThatWasSound(t *testing.T) {
	tracker := New()
	tracker.RecordAnswer([]Part{first}, 1*s)
	for n := range 5 {
		assert.Empty(t, rejected(tracker))
		tracker.RecordCrash(crashAt(n, time.Duration(10+n)*s, first))
	}
	assert.Equal(t, []Part{first}, rejected(tracker))
}

// Guards against sound requests that are rejected while the evidence names two parts: one with only
// some of the parts is sent as a trial, and its end tells which part it is.
func TestTrialTellsPartsApart(t *testing.T) {
	tracker := New()
	for n := range 3 {
		tracker.RecordCrash(crashAt(n, time.Duration(n)*s, bad, first))
	}
	both := tracker.Rejections().Find([]Part{first, bad, 50})
	require.NotNil(t, both)
	assert.False(t, tracker.AllowTrial(both, []Part{first, bad, 50}, 4*s, true))
	one := tracker.Rejections().Find([]Part{first, 51})
	assert.True(t, tracker.AllowTrial(one, []Part{first, 51}, 4*s, false))
	assert.False(t, tracker.AllowTrial(one, []Part{first, 52}, 4*s, false), "a second trial at the same time")
	// Either end of a trial decides.
	tracker.RecordCrash(crashAt(7, 5*s, bad, 53))
	assert.Equal(t, []Part{bad}, rejected(tracker))
	assert.Nil(t, tracker.Rejections().Find([]Part{first, 54}))
}

// Guards against a rejection that never ends once engines are mended, against one that ends after a
// quiet time, and against many trials: one host tries, after a hold that grows with each crash.
func TestHoldAndTrials(t *testing.T) {
	tracker := New()
	for n := range 5 {
		tracker.RecordCrash(crashAt(n, time.Duration(n)*s, bad))
	}
	hosts := []string{"host-0", "host-1", "host-2"}
	r := tracker.Rejections().Find([]Part{bad})
	assert.False(t, tracker.AllowTrial(r, []Part{bad}, r.Until()-1, true))
	assert.Equal(t, minHold, r.Until()-r.Last())
	assert.False(t, tracker.AllowTrial(r, []Part{bad}, r.Until(), false))
	trials := 0
	for now := time.Duration(0); now < time.Hour; now += 500 * time.Millisecond {
		tracker.Expire(now)
		r := tracker.Rejections().Find([]Part{bad})
		require.NotNil(t, r, "forgotten after %v", now)
		elected := 0
		for _, h := range hosts {
			if r.Elected(h, hosts, now) {
				elected++
			}
		}
		assert.Equal(t, 1, elected)
		if tracker.AllowTrial(r, []Part{bad}, now, true) {
			trials++
			tracker.RecordCrash(crashAt(100+trials, now, bad))
		}
	}
	assert.LessOrEqual(t, trials, 10)
	last := tracker.Rejections().Find([]Part{bad}).Last()
	assert.False(t, tracker.RecordAnswer([]Part{first}, last+s))
	assert.True(t, tracker.RecordAnswer([]Part{bad}, last+s), "an answer ends the rejection")
	assert.Nil(t, tracker.Rejections().Find([]Part{bad}))
}

// Guards against one request that crashes an engine with each of its retries.
func TestRetryAfterCrashes(t *testing.T) {
	tracker := New()
	parts := []Part{first, bad}
	assert.True(t, tracker.AllowRetry(parts))
	tracker.RecordCrash(crashAt(1, s, parts...))
	assert.True(t, tracker.AllowRetry(parts))
	tracker.RecordCrash(crashAt(2, 2*s, parts...))
	assert.False(t, tracker.AllowRetry(parts))
	tracker.RecordAnswer(parts, 3*s)
	assert.True(t, tracker.AllowRetry(parts))
}

// Guards against evidence that is kept for ever.
func TestEvidenceExpires(t *testing.T) {
	tracker := New()
	for n := range 3 {
		tracker.RecordCrash(crashAt(n, time.Duration(n)*s, bad))
	}
	tracker.Expire(retention - s)
	assert.Equal(t, []Part{bad}, rejected(tracker))
	assert.True(t, tracker.Expire(retention+3*s))
	assert.Empty(t, rejected(tracker))
	assert.Empty(t, tracker.Reports(retention+3*s))
}

// Guards against memory and messages without bound when every request has hundreds of parts that
// were never seen before, and against losing a rejection in such a flood.
func TestBoundsOnEvidence(t *testing.T) {
	tracker := New()
	next := Part(1000)
	newParts := func(n int) (parts []Part) {
		for range n {
			next++
			parts = append(parts, next)
		}
		return parts
	}
	for n := range 3 {
		tracker.RecordCrash(crashAt(n, time.Duration(n)*s, append(newParts(600), bad)...))
	}
	for n := range 1000 {
		now := time.Duration(4000+100*n) * time.Millisecond
		tracker.RecordAnswer(newParts(300), now)
		tracker.RecordCrash(crashAt(n, now, newParts(300)...))
		if n%100 == 0 {
			message, err := json.Marshal(map[string]any{"c": tracker.Reports(now), "a": tracker.Answers(now)})
			require.NoError(t, err)
			assert.Less(t, len(message), 40<<10)
		}
	}
	assert.Equal(t, []Part{bad}, rejected(tracker))
	total := 0
	for _, c := range tracker.crashes {
		total += len(c.parts)
	}
	assert.LessOrEqual(t, len(tracker.crashes), maxCrashRecords)
	assert.LessOrEqual(t, total, maxCrashParts)
	assert.LessOrEqual(t, len(tracker.answered.recent)+len(tracker.answered.old), 2*maxAnsweredParts)
	joined := New()
	joined.Merge(tracker.Reports(200*s), tracker.Answers(200*s), 200*s)
	assert.Equal(t, []Part{bad}, rejected(joined), "a host that joins learns of the rejection")
}

// Guards against a report from another build or with absurd values that ends the process or rejects a
// part for ever.
func TestAbsurdReports(t *testing.T) {
	tracker := New()
	for n, ms := range []int64{-5, 1 << 62, -1 << 63, 0} {
		tracker.Merge([]Report{{Process: Process{ID: fmt.Sprint(n)}, Address: fmt.Sprint(n), AgeMS: ms, Engines: -1, Parts: []Part{bad}}},
			[]Answer{{Part: first, AgeMS: ms}}, 100*time.Hour)
	}
	assert.Empty(t, rejected(tracker))
	assert.LessOrEqual(t, len(tracker.Reports(100*time.Hour)), 4)
}
