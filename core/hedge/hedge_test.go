package hedge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"
)

// Guards against a silent server that is given up while it may respond, against a request without an
// attempt that is not given up, and against another server that is asked too early or never: each event
// in each state of a request.
func TestTransitions(t *testing.T) {
	silent := (*Request).Silent
	notRun := (*Request).NotRun
	failed := (*Request).Failed
	unsent := func(r *Request) Action { return r.Unsent(false) }
	refused := func(r *Request) Action { return r.Unsent(true) }
	sent := func(r *Request) Action { r.Sent(); return Await }
	type event = func(*Request) Action
	for _, row := range []struct {
		name    string
		maxRuns int
		before  []event // after these
		event   event
		action  Action
	}{
		{"no server", 2, nil, unsent, GiveUp},
		{"server refuses after it was chosen", 2, nil, refused, Ask},
		{"silence before anything was sent", 2, nil, silent, Await},
		{"silence", 2, []event{sent}, silent, Ask},
		{"silence, may run once", 1, []event{sent}, silent, Await},
		{"silence while another is prepared", 2, []event{sent, silent}, silent, Await},
		{"silence of two, may run twice", 2, []event{sent, silent, sent}, silent, Await},
		{"silence of two, may run three times", 3, []event{sent, silent, sent}, silent, Ask},
		{"silence after no other was found", 2, []event{sent, silent, unsent}, silent, Ask},
		{"rejection", 2, []event{sent}, notRun, Ask},
		{"rejection, may run once", 1, []event{sent}, notRun, Ask},
		{"rejection after a failure", 2, []event{sent, failed, sent}, notRun, Ask},
		{"failure", 2, []event{sent}, failed, Ask},
		{"failure, may run once", 1, []event{sent}, failed, GiveUp},
		{"second failure", 2, []event{sent, failed, sent}, failed, GiveUp},
		{"no other after a rejection", 2, []event{sent, notRun}, unsent, GiveUp},
		{"no other beside a silent one", 2, []event{sent, silent}, unsent, Await},
		{"other refuses beside a silent one", 2, []event{sent, silent}, refused, Ask},
		{"rejection beside a silent one", 2, []event{sent, silent, sent}, notRun, Ask},
		{"failure beside a silent one", 2, []event{sent, silent, sent}, failed, Await},
		{"failure beside a silent one, may run three times", 3, []event{sent, silent, sent}, failed, Ask},
		{"failure while another is prepared", 2, []event{sent, silent}, failed, Await},
		{"rejection while another is prepared", 2, []event{sent, silent}, notRun, Await},
		{"failure of both", 2, []event{sent, silent, sent, failed}, failed, GiveUp},
		{"failure, then rejection of the silent one", 2, []event{sent, silent, sent, failed}, notRun, Ask},
		{"failure, then no other", 2, []event{sent, silent, failed}, unsent, GiveUp},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := New(row.maxRuns, 10)
			for _, e := range row.before {
				e(r)
			}
			assert.Equal(t, row.action, row.event(r), "%s", row.action)
		})
	}
}

// Guards against a failure response that is delivered although another server may still respond with
// success, and against one that is withheld for nothing.
func TestWithhold(t *testing.T) {
	r := New(2, 5)
	r.Sent()
	assert.True(t, r.Withhold(true))
	assert.False(t, r.Withhold(false), "no other server can be asked")
	r.Silent()
	assert.False(t, r.Withhold(true), "the attempt in preparation may find no server")
	r.Sent()
	assert.True(t, r.Withhold(false), "another server runs the request")
	r.Failed()
	assert.False(t, r.Withhold(true), "the request may not run a third time")
	once := New(1, 5)
	once.Sent()
	assert.False(t, once.Withhold(true))
}

// Guards against a server that is taken for silent at once, or again and again right before the deadline.
func TestSilentAfter(t *testing.T) {
	after, ok := SilentAfter(1500 * time.Millisecond)
	assert.Equal(t, 600*time.Millisecond, after)
	assert.True(t, ok)
	for _, left := range []time.Duration{0, -time.Second, 49 * time.Millisecond} {
		_, ok := SilentAfter(left)
		assert.False(t, ok, "%s", left)
	}
	left, n := time.Minute, 0
	for after, ok := SilentAfter(left); ok; after, ok = SilentAfter(left) {
		left -= after
		n++
	}
	assert.Less(t, n, 15)
}

// Guards against a request that runs more often than allowed, also while attempts have no outcome, and
// against one that hangs, or ends while an attempt may still respond.
func TestRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxRuns, maxAttempts := rapid.IntRange(1, 4).Draw(t, "runs"), rapid.IntRange(1, 7).Draw(t, "attempts")
		r := New(maxRuns, maxAttempts)
		preparing, running, ran, asked := true, 0, 0, 1
		for step := 0; ; step++ {
			events := []string{}
			if preparing {
				events = append(events, "sent", "unsent", "refused")
			}
			if running > 0 {
				events = append(events, "silent", "not run", "failed")
			}
			require.NotEmpty(t, events, "the request hangs")
			action := Await
			switch event := rapid.SampledFrom(events).Draw(t, fmt.Sprint("event ", step)); event {
			case "sent":
				preparing = false
				running++
				r.Sent()
			case "unsent", "refused":
				preparing = false
				action = r.Unsent(event == "refused")
			case "silent":
				action = r.Silent()
			case "not run":
				running--
				action = r.NotRun()
			case "failed":
				running--
				ran++
				action = r.Failed()
			}
			if action == Ask {
				require.False(t, preparing, "two attempts are prepared at the same time")
				preparing = true
				asked++
			}
			runs := running + ran
			if preparing {
				runs++
			}
			require.LessOrEqual(t, runs, maxRuns)
			require.LessOrEqual(t, asked, maxAttempts)
			require.Equal(t, running, r.Running())
			require.Equal(t, ran, r.Ran())
			if action == GiveUp {
				require.False(t, preparing || running > 0, "an attempt may still respond")
				return
			}
			if step > 100 {
				return // silent for good
			}
		}
	})
}
