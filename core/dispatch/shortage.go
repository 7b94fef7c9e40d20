package dispatch

import (
	"fmt"
	"strings"
	"time"

	"monsoonkeel.example/monsoonkeel/core/schedule"
)

// Shortage says why the backend servers of a service could not take a request that was rejected.
type Shortage struct {
	// Waiting is the number of other queued requests.
	Waiting int
	// Servers counts the backend servers by the reason, in order of the constants of schedule.Exclusion, and
	// Refusing those that refuse requests of this host for a time.
	Servers  [schedule.Exclusions]int
	Refusing int
}

// Shortages are the shortage of a rejected request when it is rejected, and that of the first queued request when
// that was last considered: the others wait behind it.
type Shortages struct {
	Rejected, First Shortage
	// SinceDrain is the time from the previous decision about the queue to the rejection.
	SinceDrain time.Duration
}

// String returns both shortages and the time of the previous decision.
func (s Shortages) String() string {
	if s.First == (Shortage{}) {
		return s.Rejected.String()
	}
	return fmt.Sprintf("%s; first in queue %d ms before: %s", s.Rejected, s.SinceDrain.Milliseconds(), s.First)
}

// String returns the counts that are not 0, as "waiting=2 at_limit=3 refusing=1".
func (s Shortage) String() string {
	var b strings.Builder
	add := func(name string, n int) {
		if n == 0 {
			return
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d", name, n)
	}
	add("waiting", s.Waiting)
	for reason, n := range s.Servers {
		add(schedule.Exclusion(reason).String(), n)
	}
	add("refusing", s.Refusing)
	if b.Len() == 0 {
		return "no servers"
	}
	return b.String()
}

// shortage returns why no backend server in the scope can take a request now.
func (d *Dispatcher) shortage(r *Request, regions scope, now time.Time) Shortage {
	out := Shortage{Waiting: d.queue.Len()}
	dist := d.lengths.Dist(r.Class, r.Team)
	req := d.fillCandidates(r, &dist, regions, now)
	for i, s := range d.servers {
		if d.isHeldBack(s, now) {
			out.Refusing++
			continue
		}
		out.Servers[schedule.ExclusionOf(&d.candidates[i], &req)]++
	}
	return out
}
