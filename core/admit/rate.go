package admit

import (
	"math"
	"time"
)

// rate measures how fast items are dispatched while the queue is not empty.
// Intervals with an empty queue are left out, since they do not show how fast a
// backlog drains.
type rate struct {
	last    time.Time
	count   float64
	seconds float64
}

func (r *rate) observe(now time.Time, backlog bool) {
	if !r.last.IsZero() {
		dt := now.Sub(r.last).Seconds()
		decay := math.Exp2(-dt / rateHalfLife.Seconds())
		r.count = r.count*decay + 1
		r.seconds = r.seconds*decay + dt
	}
	r.last = now
	if !backlog {
		r.last = time.Time{}
	}
}

// perSecond returns the dispatch rate; the time since the last dispatch lowers
// it. 0 means unknown.
func (r *rate) perSecond(now time.Time) float64 {
	seconds := r.seconds
	if !r.last.IsZero() {
		seconds += now.Sub(r.last).Seconds()
	}
	// A rate from fewer than 3 dispatches is too inaccurate.
	if seconds <= 0 || r.count < 3 {
		return 0
	}
	return r.count / seconds
}

// expectedWait returns the number of items dispatched before a new one, divided
// by the measured dispatch rate, or 0 if the rate is unknown. An item of
// another team is dispatched first if that team's virtual time is then not
// greater than the new item's.
func (q *Queue) expectedWait(t *team, item *Item, now time.Time) time.Duration {
	ahead := 0
	own := t.virtualTime
	for i := range t.waiting {
		if t.waiting[i].item.Priority >= item.Priority {
			own += t.waiting[i].item.Tokens
			ahead++
		}
	}
	for _, b := range q.backlogged {
		virtual := b.virtualTime
		for i := 0; b != t && i < len(b.waiting) && virtual <= own; i++ {
			if b.waiting[i].item.Priority >= item.Priority {
				virtual += b.waiting[i].item.Tokens
				ahead++
			}
		}
	}
	perSecond := q.rate.perSecond(now)
	if perSecond <= 0 || ahead == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}
