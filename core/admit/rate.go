package admit

import (
	"math"
	"time"
)

// rate measures placements from the queue while it is not empty. Time during
// which nothing waits says nothing about how fast a backlog drains.
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

// perSecond returns the rate, lowered by the time since the last placement; 0
// means unknown.
func (r *rate) perSecond(now time.Time) float64 {
	seconds := r.seconds
	if !r.last.IsZero() {
		seconds += now.Sub(r.last).Seconds()
	}
	// Fewer than 3 placements do not tell a rate.
	if seconds <= 0 || r.count < 3 {
		return 0
	}
	return r.count / seconds
}

// expectedWait is the number of items that go before a new one divided by the
// measured rate of placements. Another team's item goes before it when that
// team's virtual time will then be no greater than the new item's.
func (q *Queue) expectedWait(t *team, item *Item, now time.Time) time.Duration {
	ahead := 0
	own := t.virtual
	for i := range t.waiting {
		if t.waiting[i].item.Priority >= item.Priority {
			own += t.waiting[i].item.Tokens
			ahead++
		}
	}
	for _, b := range q.backlogged {
		virtual := b.virtual
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
