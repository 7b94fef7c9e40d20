// Package admit decides whether a request is placed now, waits or is refused.
//
// Requests that wait are ordered by slack to their class's first-token target
// and are fair between teams: each team has a virtual time that advances with
// the work it was given, and only teams that are not ahead of the others
// compete by slack. A host decides from its own requests alone; because the
// load balancer spreads every team over all hosts, local fairness adds up to
// fairness in the deployment without a central counter.
//
// A Queue is deterministic and driven by events that carry the time. It is not
// safe for concurrent use: use one Queue per service and shard, and hold its
// lock for the duration of a call.
package admit

import (
	"math"
	"time"
)

const (
	// maxWaiting bounds the queue. At 18 requests/s per host and waits below
	// 2 s, a well-behaved queue holds fewer than 50.
	maxWaiting = 4096

	// aheadTokens is how far, in tokens of work, a team may be ahead of the
	// queue's virtual time and still compete by slack: about one request.
	aheadTokens = 500

	// creditTokens and debtTokens bound how far a team without waiting items is
	// behind or ahead of the queue's virtual time: about 10 s of a team's share
	// at one host. Without credit, a small team's short bursts waited for the
	// noisy team's turns; without a bound on debt, one long answer delayed the
	// team's next requests for a minute.
	creditTokens = 3000
	debtTokens   = 3000

	// rateHalfLife is the half-life of the measured rate of placements.
	rateHalfLife = 4 * time.Second

	// idleReset is the time after which the rate says nothing any more.
	idleReset = 60 * time.Second

	// minRetryAfter and maxRetryAfter bound Retry-After: below 1 s the header
	// cannot express it, and beyond 60 s the estimate means nothing.
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// Item is a request at admission.
type Item struct {
	// ID is unique among the waiting items.
	ID uint64
	// Class and Team name the request's class and team.
	Class, Team string
	// Priority orders classes when the queue is not empty; higher goes first.
	Priority int
	// Arrival is when the request was received.
	Arrival time.Time
	// Target is the class's time-to-first-token target; 0 means none, and the
	// item waits until Deadline.
	Target time.Duration
	// Deadline is the caller's own deadline; zero means none.
	Deadline time.Time
	// ServiceTime is the expected time from placement to the first token.
	ServiceTime time.Duration
	// Tokens is the expected work: uncached prompt tokens and output tokens.
	Tokens float64
}

// due is the latest useful moment of placement, and whether there is one.
func (i *Item) due() (time.Time, bool) {
	var due time.Time
	if i.Target > 0 {
		due = i.Arrival.Add(i.Target - i.ServiceTime)
	}
	if !i.Deadline.IsZero() {
		if d := i.Deadline.Add(-i.ServiceTime); due.IsZero() || d.Before(due) {
			due = d
		}
	}
	return due, !due.IsZero()
}

// Action is what to do with a request.
type Action uint8

const (
	// Wait keeps the item in the queue.
	Wait Action = iota
	// Dispatch sends the request to a backend server now.
	Dispatch
	// Reject answers with verdict not_run; nothing was sent.
	Reject
)

// String returns the action's name.
func (a Action) String() string {
	switch a {
	case Dispatch:
		return "place"
	case Reject:
		return "refuse"
	default:
		return "wait"
	}
}

// Decision is the answer to an offered request.
type Decision struct {
	Action Action
	// RetryAfter, for Refuse, is when a request like this is expected to be
	// admitted; at least 1 s.
	RetryAfter time.Duration
	// Wait is the expected time in the queue.
	Wait time.Duration
}

type entry struct {
	item    Item
	due     time.Time
	hasDue  bool
	ordinal uint64
}

type team struct {
	name string
	// virtual is the team's virtual time, in tokens of work.
	virtual float64
	waiting []entry
	touched time.Time
}

// Queue holds the requests that wait for one service.
type Queue struct {
	teams map[string]*team
	// backlogged lists the teams with waiting items, in order of arrival, so
	// that iteration is deterministic.
	backlogged []*team
	owner      map[uint64]*team
	virtual    float64
	ordinal    uint64
	rate       rate
	refused    []Rejection
}

// Rejection is a waiting item that can no longer meet its target.
type Rejection struct {
	Item     Item
	Decision Decision
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{teams: make(map[string]*team), owner: make(map[uint64]*team)}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.owner) }

// Offer decides about a new request. Room says whether the scheduler found a
// backend server for it. A request is placed at once only when there is room
// and no waiting item goes first; otherwise it waits, or is refused when the
// expected wait exceeds its slack.
func (q *Queue) Offer(item Item, room bool, now time.Time) Decision {
	t := q.team(item.Team, now)
	if room && len(q.owner) == 0 {
		q.charge(t, item.Tokens)
		return Decision{Action: Dispatch}
	}
	wait := q.expectedWait(t, &item, now)
	due, hasDue := item.due()
	if len(q.owner) >= maxWaiting || (hasDue && now.Add(wait).After(due)) {
		return q.refusal(wait, due, hasDue, now)
	}
	if _, exists := q.owner[item.ID]; exists {
		return q.refusal(wait, due, hasDue, now)
	}
	if len(t.waiting) == 0 {
		q.backlogged = append(q.backlogged, t)
	}
	q.ordinal++
	t.waiting = append(t.waiting, entry{item: item, due: due, hasDue: hasDue, ordinal: q.ordinal})
	q.owner[item.ID] = t
	return Decision{Action: Wait, Wait: wait}
}

func (q *Queue) refusal(wait time.Duration, due time.Time, hasDue bool, now time.Time) Decision {
	after := wait
	if hasDue {
		after = now.Add(wait).Sub(due)
	}
	// Retry-After has whole seconds; rounding up keeps it true.
	after = (after + time.Second - 1).Truncate(time.Second)
	return Decision{Action: Reject, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter), Wait: wait}
}

// Peek returns the item that goes next, without removing it.
func (q *Queue) Peek(now time.Time) (Item, bool) {
	q.expire(now)
	t, i := q.best()
	if t == nil {
		return Item{}, false
	}
	return t.waiting[i].item, true
}

// Next removes and returns the item that goes next, and counts it as placed.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.expire(now)
	t, i := q.best()
	if t == nil {
		return Item{}, false
	}
	item := t.waiting[i].item
	q.remove(t, i)
	q.charge(t, item.Tokens)
	t.touched = now
	q.rate.observe(now, q.Len() > 0)
	return item, true
}

// Rejected returns the items that left the queue since the last call because
// their target can no longer be met. The caller answers them with not_run.
func (q *Queue) Rejected(now time.Time) []Rejection {
	q.expire(now)
	out := q.refused
	q.refused = nil
	return out
}

// Cancel removes a waiting item, for a caller that went away. It reports
// whether the item was waiting.
func (q *Queue) Cancel(id uint64) bool {
	t := q.owner[id]
	if t == nil {
		return false
	}
	for i := range t.waiting {
		if t.waiting[i].item.ID == id {
			q.remove(t, i)
			return true
		}
	}
	return false
}

// AdjustCharge corrects a team's charged work when a request ends: estimated is
// the Tokens that it was charged, actual what it used.
func (q *Queue) AdjustCharge(teamName string, estimated, actual float64) {
	if t := q.teams[teamName]; t != nil {
		t.virtual += actual - estimated
	}
}

// team returns the named team. A team that was idle starts near the queue's
// virtual time: it saves up or owes little service.
func (q *Queue) team(name string, now time.Time) *team {
	t := q.teams[name]
	if t == nil {
		if len(q.teams) >= maxWaiting {
			q.dropIdle(now)
		}
		t = &team{name: name, virtual: q.virtual}
		q.teams[name] = t
	}
	if len(t.waiting) == 0 {
		t.virtual = min(max(t.virtual, q.virtual-creditTokens), q.virtual+debtTokens)
	}
	t.touched = now
	return t
}

func (q *Queue) dropIdle(now time.Time) {
	for name, t := range q.teams {
		if len(t.waiting) == 0 && (t.virtual <= q.virtual || now.Sub(t.touched) > idleReset) {
			delete(q.teams, name)
		}
	}
}

// charge gives a team work. The queue's virtual time is that of the least
// served backlogged team, or of the team served last when none waits.
func (q *Queue) charge(t *team, tokens float64) {
	served := t.virtual
	t.virtual += max(tokens, 1)
	least := math.Inf(1)
	for _, b := range q.backlogged {
		least = min(least, b.virtual)
	}
	if math.IsInf(least, 1) {
		least = served
	}
	q.virtual = max(q.virtual, least)
}

// best returns the team and position of the item that goes next.
func (q *Queue) best() (*team, int) {
	least := math.Inf(1)
	for _, t := range q.backlogged {
		least = min(least, t.virtual)
	}
	var bestTeam *team
	bestAt := -1
	for _, t := range q.backlogged {
		if t.virtual > max(least, q.virtual)+aheadTokens {
			continue
		}
		for i := range t.waiting {
			if bestTeam == nil || before(&t.waiting[i], &bestTeam.waiting[bestAt]) {
				bestTeam, bestAt = t, i
			}
		}
	}
	return bestTeam, bestAt
}

// before orders by priority, then slack, then arrival. An item without a
// target goes after those with one.
func before(a, b *entry) bool {
	switch {
	case a.item.Priority != b.item.Priority:
		return a.item.Priority > b.item.Priority
	case a.hasDue != b.hasDue:
		return a.hasDue
	case a.hasDue && !a.due.Equal(b.due):
		return a.due.Before(b.due)
	default:
		return a.ordinal < b.ordinal
	}
}

func (q *Queue) remove(t *team, i int) {
	delete(q.owner, t.waiting[i].item.ID)
	t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
	if len(t.waiting) > 0 {
		return
	}
	t.waiting = nil
	for j, b := range q.backlogged {
		if b == t {
			q.backlogged = append(q.backlogged[:j], q.backlogged[j+1:]...)
			return
		}
	}
}

// expire refuses the items whose due time has passed.
func (q *Queue) expire(now time.Time) {
	for j := 0; j < len(q.backlogged); j++ {
		t := q.backlogged[j]
		for i := 0; i < len(t.waiting); {
			e := t.waiting[i]
			if !e.hasDue || !now.After(e.due) {
				i++
				continue
			}
			last := len(t.waiting) == 1
			q.remove(t, i)
			wait := q.expectedWait(t, &e.item, now)
			q.refused = append(q.refused, Rejection{Item: e.item, Decision: q.refusal(wait, e.due, true, now)})
			if last {
				j--
				break
			}
		}
	}
}
