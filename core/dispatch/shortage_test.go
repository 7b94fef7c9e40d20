package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/admit"
)

// Guards against rejections whose log does not tell a full server from a queue that is blocked by its first request.
func TestRejectionNamesShortageOfFirstQueuedRequest(t *testing.T) {
	d := newTest(false, Server{ID: "s1", Region: "a", Limit: 1, Warm: true, Capacity: 1})
	require.Equal(t, admit.Dispatch, d.Offer(request(1), start).Action)
	urgent := request(2)
	urgent.Priority, urgent.Target = 1, 10*time.Second
	require.Equal(t, admit.Wait, d.Offer(urgent, start).Action)
	require.Equal(t, admit.Wait, d.Offer(request(3), start).Action)
	require.Empty(t, d.Drain(start.Add(time.Second)))
	out := d.Drain(start.Add(3 * time.Second))
	require.Len(t, out, 1)
	require.Equal(t, "waiting=1 at_limit=1; first in queue 2000 ms before: waiting=2 at_limit=1", out[0].Shortages.String())
}

// Guards against a log that shows backend servers without a limit, or at which the request failed before, as full.
func TestRejectionTellsFullServersFromOthers(t *testing.T) {
	d := newTest(false,
		Server{ID: "s1", Region: "a", Limit: 1, Warm: true, Capacity: 1},
		Server{ID: "s2", Region: "a", Limit: 1, Warm: true, Capacity: 1},
		Server{ID: "s3", Region: "a", Warm: true, Capacity: 1})
	for id := uint64(1); id <= 2; id++ {
		require.Equal(t, admit.Dispatch, d.Offer(request(id), start).Action)
	}
	retry := request(3)
	retry.Attempted = []string{"s1", "s2", "s3"}
	require.Equal(t, "at_limit=2 no_limit=1", d.Offer(retry, start).Shortages.String())
	d.Ended(1, true, start)
	require.Equal(t, "at_limit=1 attempted=1 no_limit=1", d.Offer(retry, start).Shortages.String())
}

// Guards against a rejection while a backend server is free for the request (issue 26), as when the host stood still or
// the server became free with the last decision; and against a late request that takes the place of one in time.
func TestLateRequestIsRejectedOnlyWithoutFreeServer(t *testing.T) {
	late := start.Add(3 * time.Second)
	for name, row := range map[string]struct {
		deadline time.Time
		// inTime is set if another request waits that can meet its target.
		inTime bool
		want   admit.Action
	}{
		"free":            {want: admit.Dispatch},
		"deadline passed": {deadline: late, want: admit.Reject},
		"deadline later":  {deadline: late.Add(time.Second), want: admit.Dispatch},
		"another in time": {inTime: true, want: admit.Reject},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTest(false, Server{ID: "s1", Region: "a", Limit: 1, Warm: true, Capacity: 1})
			require.Equal(t, admit.Dispatch, d.Offer(request(1), start).Action)
			r := request(2)
			r.Deadline = row.deadline
			require.Equal(t, admit.Wait, d.Offer(r, start).Action)
			if row.inTime {
				other := request(3)
				other.Arrival = start.Add(2 * time.Second)
				require.Equal(t, admit.Wait, d.Offer(other, other.Arrival).Action)
			}
			d.Ended(1, true, late)
			outcomes := map[uint64]admit.Action{}
			for _, out := range d.Drain(late) {
				outcomes[out.ID] = out.Action
			}
			require.Equal(t, row.want, outcomes[2])
			if row.inTime {
				require.Equal(t, admit.Dispatch, outcomes[3])
			}
			require.Zero(t, d.Waiting())
		})
	}
}
