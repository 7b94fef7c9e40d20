package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/admit"
	"monsoonkeel.example/monsoonkeel/core/schedule"
)

// Guards against a class that gets no engine, though all are idle, because the rounded lengths of its earlier
// outputs make the predicted KV cache demand not a number.
func TestIdleEnginesAcceptClassAfterAnyOutputLengths(t *testing.T) {
	d := newTest(true, Server{ID: "s1", Region: "a", Limit: 4, Warm: true, Capacity: 4})
	now := start
	for id := uint64(1); id <= 200; id++ {
		d.ApplyReport("s1", schedule.Report{At: now, KVTotal: 65536}, now)
		r := request(id)
		r.Arrival = now
		out := d.Offer(r, now)
		require.Equal(t, admit.Dispatch, out.Action, "request %d: %s", id, out.Shortages)
		d.Progress(id, 60)
		now = now.Add(time.Second)
		d.Ended(id, true, now)
		d.Refresh(now)
	}
}
