package forward

import (
	"slices"
	"sort"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
)

type waiter struct {
	req      balance.Request
	priority int
	team     string
	// rank is the number of requests of the team that waited when this one began to wait.
	rank  int
	since time.Time
	// until is when the request gives up waiting.
	until    time.Time
	assigned chan balance.Server // capacity 1
	// refused is closed when all servers refuse until after until.
	refused chan struct{}
}

// sender is what decides in which order requests get capacity.
type sender struct {
	priority int // 0 is the most urgent
	team     string
}

// enqueue inserts a waiter by priority, first come first served within a priority; with takeTurns, the teams
// take turns there. It returns the number of waiters before it.
func (s *serviceState) enqueue(w *waiter, takeTurns bool) int {
	i := s.position(w, takeTurns)
	s.waiters = slices.Insert(s.waiters, i, w)
	return i
}

// position sets the rank of a waiter and returns the number of waiters before it, without inserting it.
func (s *serviceState) position(w *waiter, takeTurns bool) int {
	for _, other := range s.waiters {
		if takeTurns && other.priority == w.priority && other.team == w.team {
			w.rank++
		}
	}
	return sort.Search(len(s.waiters), func(i int) bool {
		other := s.waiters[i]
		return other.priority > w.priority || other.priority == w.priority && other.rank > w.rank
	})
}

// isHopeless reports whether a waiter that Pick has rejected for a reason would wait in vain: the rate limits allow too few
// requests until then, or all servers refuse longer.
func (s *serviceState) isHopeless(w *waiter, reason balance.Reason, ahead int, now time.Time) bool {
	return reason == balance.RateLimited && s.balancer.Tokens(w.req, now, w.until) <= ahead || reason == balance.Refused && s.refusesUntilAfter(w)
}

// hasWaiterBefore reports whether a request waits that must get room before a new one. Those that leave room for more urgent
// ones need not.
func (s *serviceState) hasWaiterBefore(req balance.Request) bool {
	return slices.ContainsFunc(s.waiters, func(w *waiter) bool { return w.req.KeepFree <= req.KeepFree })
}

func (s *serviceState) remove(w *waiter) {
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return
		}
	}
}

// refusesUntilAfter reports whether the first server that returns does so after the waiter has given up. Pick
// has returned balance.Refused for the waiter.
func (s *serviceState) refusesUntilAfter(w *waiter) bool {
	at, _ := s.balancer.ReturnsAt(w.req)
	return at.After(w.until)
}

// wake reserves slots for the waiters that now fit, and ends the wait of those that all servers refuse.
func (s *serviceState) wake() {
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		server, reason := s.balancer.Pick(w.req, time.Now())
		if reason == balance.Refused && s.refusesUntilAfter(w) {
			close(w.refused)
			continue
		}
		if reason != balance.Chosen {
			kept = append(kept, w)
			continue
		}
		s.balancer.AddRequest(server.ID, loadOf(w.req), time.Now())
		w.assigned <- server
	}
	s.waiters = kept
}
