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
	require.Equal(t, "waiting=1 at_limit=1; first in queue: waiting=2 at_limit=1", out[0].Shortages.String())
}
