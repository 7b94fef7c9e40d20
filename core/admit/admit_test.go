package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"
)

var start = time.Unix(1000, 0)

func item(id uint64, team string, arrival time.Time, target time.Duration) Item {
	return Item{ID: id, Class: "quick", Team: team, Arrival: arrival, Target: target, Tokens: 500}
}

// Guards against overloading a backend server, and against a new request
// overtaking a queued one.
func TestDispatchOrWait(t *testing.T) {
	q := NewQueue()
	require.Equal(t, Dispatch, q.Offer(item(1, "a", start, 2*time.Second), true, start).Action)
	require.Equal(t, Wait, q.Offer(item(2, "a", start, 2*time.Second), false, start).Action)
	require.Equal(t, Wait, q.Offer(item(3, "a", start, 3*time.Second), true, start).Action)
	got, ok := q.Next(start)
	require.True(t, ok)
	require.Equal(t, uint64(2), got.ID)
	require.True(t, q.Cancel(3))
	require.False(t, q.Cancel(3))
	_, ok = q.Next(start)
	require.False(t, ok)
}

// Guards against an order other than priority, then slack, and against items
// without a target delaying the others or expiring.
func TestOrder(t *testing.T) {
	q := NewQueue()
	offer := func(id uint64, team string, target time.Duration, priority int) {
		i := item(id, team, start, target)
		i.Priority = priority
		require.Equal(t, Wait, q.Offer(i, false, start).Action)
	}
	offer(1, "a", 0, 0)
	offer(2, "a", 9*time.Second, 0)
	offer(3, "b", 2*time.Second, 0)
	offer(4, "c", 20*time.Second, 1)
	for _, want := range []uint64{4, 3, 2, 1} {
		got, ok := q.Peek(start)
		require.True(t, ok)
		next, _ := q.Next(start)
		require.Equal(t, got, next)
		require.Equal(t, want, got.ID)
	}
}

// Guards against a request staying queued although its target can no longer be
// met, and against a Retry-After below 1 s or after which the request is still
// rejected.
func TestRejection(t *testing.T) {
	q := NewQueue()
	now := start
	id := uint64(0)
	// A backlog of 40 items that drains at 10 per second.
	for range 40 {
		id++
		require.Equal(t, Wait, q.Offer(item(id, "a", now, 20*time.Second), false, now).Action)
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		_, ok := q.Next(now)
		require.True(t, ok)
	}
	// The 20 queued items need 2 s in all, so a target of 1 s cannot be met.
	d := q.Offer(item(999, "a", now, time.Second), false, now)
	require.Equal(t, Reject, d.Action)
	require.InDelta(t, 2.0, d.Wait.Seconds(), 0.5)
	require.GreaterOrEqual(t, d.RetryAfter, time.Second)
	later := now.Add(d.RetryAfter)
	for now.Before(later) {
		now = now.Add(100 * time.Millisecond)
		q.Next(now)
	}
	require.NotEqual(t, Reject, q.Offer(item(1000, "a", now, time.Second), false, now).Action)

	now = now.Add(30 * time.Second)
	rejected := q.Rejected(now)
	require.NotEmpty(t, rejected)
	require.Zero(t, q.Len())
	require.Empty(t, q.Rejected(now))
}

// Guards against one noisy team of ten delaying the first tokens of the others,
// and against rejections that the load does not require.
func TestNoisyTeam(t *testing.T) {
	const perSecond = 20 // dispatches that the backend servers can sustain
	run := func(noisy float64) (waits []time.Duration, rejected, dispatched int) {
		rng := rand.New(rand.NewPCG(7, 7))
		q := NewQueue()
		id := uint64(0)
		for ms := range 60_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for team := range 10 {
				rate := 1.5
				if team == 0 {
					rate = noisy
				}
				if rng.Float64() >= rate/1000 {
					continue
				}
				id++
				d := q.Offer(item(id, fmt.Sprint(team), now, 1900*time.Millisecond), false, now)
				if d.Action == Reject && team != 0 {
					rejected++
				}
			}
			for _, r := range q.Rejected(now) {
				if r.Item.Team != "0" {
					rejected++
				}
			}
			if ms%(1000/perSecond) != 0 {
				continue
			}
			if it, ok := q.Next(now); ok {
				dispatched++
				if it.Team != "0" {
					waits = append(waits, now.Sub(it.Arrival))
				}
			}
		}
		return waits, rejected, dispatched
	}
	for _, noisy := range []float64{1.5, 60} {
		waits, rejected, dispatched := run(noisy)
		late := 0
		for _, w := range waits {
			if w > 500*time.Millisecond {
				late++
			}
		}
		require.Less(t, float64(late), 0.05*float64(len(waits)), "noisy team at %v/s", noisy)
		require.Less(t, float64(rejected), 0.01*float64(len(waits)), "noisy team at %v/s", noisy)
		if noisy > perSecond {
			require.Greater(t, dispatched, 60*perSecond*98/100, "dispatches below capacity although more requests are offered")
		}
	}
}

// Guards against a lost request and against a request decided twice: each
// offered item leaves the queue exactly once, by dispatch, rejection or
// cancellation.
func TestEachItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		now := start
		left := map[uint64]int{}
		waiting := map[uint64]bool{}
		leave := func(id uint64) {
			left[id]++
			delete(waiting, id)
		}
		id := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			for _, r := range q.Rejected(now) {
				leave(r.Item.ID)
			}
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				id++
				it := item(id, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team")), now, time.Duration(rapid.IntRange(0, 3).Draw(t, "s"))*time.Second)
				if q.Offer(it, rapid.Bool().Draw(t, "room"), now).Action == Wait {
					waiting[id] = true
				} else {
					left[id]++
				}
			case 2:
				if it, ok := q.Next(now); ok {
					leave(it.ID)
				}
			case 3:
				c := uint64(rapid.IntRange(0, int(id)).Draw(t, "id"))
				if q.Cancel(c) {
					leave(c)
				}
			}
		}
		for _, r := range q.Rejected(now) {
			leave(r.Item.ID)
		}
		require.Equal(t, len(waiting), q.Len())
		for i := uint64(1); i <= id; i++ {
			want := 1
			if waiting[i] {
				want = 0
			}
			require.Equal(t, want, left[i], "item %d", i)
		}
	})
}

// BenchmarkOfferNext measures queueing one request and dispatching one, with 200 requests of 50
// teams in the queue.
func BenchmarkOfferNext(b *testing.B) {
	q := NewQueue()
	now := start
	for i := range 200 {
		q.Offer(item(uint64(i), fmt.Sprint(i%50), now, time.Hour), false, now)
	}
	id := uint64(1000)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(time.Millisecond)
		q.Offer(item(id, "7", now, time.Hour), false, now)
		q.Next(now)
	}
}

// Guards against an order among earlier arrivals other than that of the whole queue, and against a taken item that
// stays queued or is charged to no team.
func TestTakeOfEarlierArrival(t *testing.T) {
	q := NewQueue()
	for id, arrival := range []time.Duration{0, 0, 100 * time.Millisecond} {
		i := item(uint64(id), fmt.Sprint(id), start.Add(arrival), time.Duration(4-id)*time.Second)
		require.Equal(t, Wait, q.Offer(i, false, start).Action)
	}
	first, _ := q.Peek(start)
	require.Equal(t, uint64(2), first.ID)
	_, ok := q.PeekArrivedBy(start.Add(-time.Nanosecond), start)
	require.False(t, ok)
	early, ok := q.PeekArrivedBy(start, start)
	require.True(t, ok)
	require.Equal(t, uint64(1), early.ID)
	require.True(t, q.Take(1, start))
	require.False(t, q.Take(1, start))
	require.Equal(t, 500.0, q.teams["1"].virtualTime)
	require.Equal(t, 2, q.Len())
}
