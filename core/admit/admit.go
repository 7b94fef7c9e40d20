// Package admit implements admission control: it decides whether a request is
// dispatched at once, queued or rejected.
//
// Queued requests are ordered by priority, then by slack, which is the time
// left until the class's first-token target is missed. Teams share the queue
// fairly: each team has a virtual time that advances with the work dispatched
// for it, and only teams close to the lowest virtual time compete by slack. A
// host decides from its own requests alone. Because the load balancer spreads
// every team over all hosts, fairness at each host adds up to fairness in the
// deployment without a central counter.
//
// A Queue is deterministic: callers pass the time with each call. It is not
// safe for concurrent use; use one Queue per service and shard, and hold its
// lock for the duration of a call.
package admit

import (
	"math"
	"slices"
	"time"
)

const (
	// maxWaiting bounds the number of queued items. At 18 requests/s per host
	// and waits below 2 s, a queue holds fewer than 50.
	maxWaiting = 4096

	// maxLeadTokens is how far, in tokens of work, a team may be ahead of the
	// queue's virtual time and still compete by slack: about one request.
	maxLeadTokens = 500

	// creditTokens and debtTokens bound how far a team without queued items may
	// be behind or ahead of the queue's virtual time: about 10 s of a team's
	// fair share at one host. Without credit, the short bursts of a small team
	// waited behind a noisy team; without a bound on debt, one long generation
	// delayed the team's next requests for a minute.
	creditTokens = 3000
	debtTokens   = 3000

	// rateHalfLife is the half-life of the measured dispatch rate.
	rateHalfLife = 4 * time.Second

	// teamIdleTimeout is the time without activity after which a team without
	// queued items may be removed even if it is ahead of the queue's virtual
	// time.
	teamIdleTimeout = 60 * time.Second

	// minRetryAfter and maxRetryAfter bound Retry-After. The header has a
	// resolution of 1 s, and estimates beyond 60 s are too inaccurate to use.
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// Item is a request submitted for admission.
type Item struct {
	// ID is unique among the queued items.
	ID uint64
	// Class and Team are the names of the request's class and team.
	Class, Team string
	// Priority orders queued items; higher values are dispatched first.
	Priority int
	// Arrival is when the request was received.
	Arrival time.Time
	// Target is the class's target for the time to first token. 0 means that
	// there is none; the item then waits until Deadline.
	Target time.Duration
	// Deadline is the caller's deadline; the zero time means that there is
	// none.
	Deadline time.Time
	// ServiceTime is the expected time from dispatch to the first token.
	ServiceTime time.Duration
	// Tokens is the expected work: uncached prompt tokens plus output tokens.
	Tokens float64
}

// due returns the latest time at which a dispatch still meets the target and
// the deadline, and whether the item has either.
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

// Action is the admission decision about a request.
type Action uint8

const (
	// Wait queues the request.
	Wait Action = iota
	// Dispatch sends the request to a backend server now.
	Dispatch
	// Reject responds with verdict not_run; nothing was sent.
	Reject
)

// String returns the action as it appears in outputs: place, refuse or wait.
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

// Decision is the result of Offer.
type Decision struct {
	Action Action
	// RetryAfter, for Reject, is the time after which a request like this is
	// expected to be admitted; 1 s to 60 s.
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
	// virtualTime is the work dispatched for the team, in tokens.
	virtualTime float64
	waiting     []entry
	lastActive  time.Time
}

// Queue holds the requests that wait for capacity of one service.
type Queue struct {
	teams map[string]*team
	// backlogged lists the teams with queued items, in order of arrival, so
	// that iteration is deterministic.
	backlogged  []*team
	teamOf      map[uint64]*team
	virtualTime float64
	ordinal     uint64
	rate        rate
	rejected    []Rejection
}

// Rejection is a queued item that was rejected because it can no longer meet
// its target or deadline.
type Rejection struct {
	Item     Item
	Decision Decision
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{teams: make(map[string]*team), teamOf: make(map[uint64]*team)}
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.teamOf) }

// Offer decides about a new request. hasCapacity is set when the scheduler
// found a backend server for it. The request is dispatched at once only if
// there is capacity and the queue is empty. Otherwise it is queued, or rejected
// if the expected wait exceeds its slack, the queue is full or its ID is
// already queued.
func (q *Queue) Offer(item Item, hasCapacity bool, now time.Time) Decision {
	t := q.team(item.Team, now)
	if hasCapacity && len(q.teamOf) == 0 {
		q.charge(t, item.Tokens)
		return Decision{Action: Dispatch}
	}
	wait := q.expectedWait(t, &item, now)
	due, hasDue := item.due()
	if len(q.teamOf) >= maxWaiting || (hasDue && now.Add(wait).After(due)) {
		return q.rejection(wait, due, hasDue, now)
	}
	if _, exists := q.teamOf[item.ID]; exists {
		return q.rejection(wait, due, hasDue, now)
	}
	if len(t.waiting) == 0 {
		q.backlogged = append(q.backlogged, t)
	}
	q.ordinal++
	t.waiting = append(t.waiting, entry{item: item, due: due, hasDue: hasDue, ordinal: q.ordinal})
	q.teamOf[item.ID] = t
	return Decision{Action: Wait, Wait: wait}
}

func (q *Queue) rejection(wait time.Duration, due time.Time, hasDue bool, now time.Time) Decision {
	after := wait
	if hasDue {
		after = now.Add(wait).Sub(due)
	}
	// Retry-After is in whole seconds. Rounding down could tell the caller to
	// retry too early.
	after = (after + time.Second - 1).Truncate(time.Second)
	return Decision{Action: Reject, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter), Wait: wait}
}

// Peek returns the item to dispatch next without removing it, and whether there
// is one.
func (q *Queue) Peek(now time.Time) (Item, bool) {
	return q.peek(now, func(*Item) bool { return true })
}

// PeekArrivedBy is Peek among the items that arrived no later than a time.
func (q *Queue) PeekArrivedBy(latest, now time.Time) (Item, bool) {
	return q.peek(now, func(i *Item) bool { return !i.Arrival.After(latest) })
}

func (q *Queue) peek(now time.Time, eligible func(*Item) bool) (Item, bool) {
	q.expire(now)
	t, i := q.selectNext(eligible)
	if t == nil {
		return Item{}, false
	}
	return t.waiting[i].item, true
}

// Next removes the item to dispatch next, charges its team and returns it, and
// whether there was one.
func (q *Queue) Next(now time.Time) (Item, bool) {
	item, ok := q.Peek(now)
	return item, ok && q.Take(item.ID, now)
}

// Charge charges the team of an item that is dispatched although Rejected returned it.
func (q *Queue) Charge(item *Item, now time.Time) { q.charge(q.team(item.Team, now), item.Tokens) }

// Take removes a queued item that is dispatched and charges its team. It reports
// whether the item was queued.
func (q *Queue) Take(id uint64, now time.Time) bool {
	t, i := q.find(id)
	if t == nil {
		return false
	}
	tokens := t.waiting[i].item.Tokens
	q.remove(t, i)
	q.charge(t, tokens)
	t.lastActive = now
	q.rate.observe(now, q.Len() > 0)
	return true
}

// find returns the team and index of a queued item; the team is nil if the item
// is not queued.
func (q *Queue) find(id uint64) (*team, int) {
	t := q.teamOf[id]
	if t == nil {
		return nil, -1
	}
	i := slices.IndexFunc(t.waiting, func(e entry) bool { return e.item.ID == id })
	return t, i
}

// Rejected returns the items removed from the queue since the last call because
// they can no longer meet their target or deadline. The caller responds to them
// with not_run.
func (q *Queue) Rejected(now time.Time) []Rejection {
	q.expire(now)
	out := q.rejected
	q.rejected = nil
	return out
}

// NextDue returns the earliest time after which a queued item is rejected; zero if
// there is none.
func (q *Queue) NextDue() (earliest time.Time) {
	for _, t := range q.backlogged {
		for i := range t.waiting {
			if e := &t.waiting[i]; e.hasDue && (earliest.IsZero() || e.due.Before(earliest)) {
				earliest = e.due
			}
		}
	}
	return earliest
}

// Cancel removes a queued item whose caller disconnected. It reports whether
// the item was queued.
func (q *Queue) Cancel(id uint64) bool {
	t, i := q.find(id)
	if t == nil {
		return false
	}
	q.remove(t, i)
	return true
}

// AdjustCharge corrects the work charged to a team when a request ends:
// estimated is the Tokens value charged at dispatch, actual is the work used.
func (q *Queue) AdjustCharge(teamName string, estimated, actual float64) {
	if t := q.teams[teamName]; t != nil {
		t.virtualTime += actual - estimated
	}
}

// team returns the state of the named team. The virtual time of a team without
// queued items is kept within creditTokens and debtTokens of the queue's, so
// that an idle team accumulates little credit or debt.
func (q *Queue) team(name string, now time.Time) *team {
	t := q.teams[name]
	if t == nil {
		if len(q.teams) >= maxWaiting {
			q.removeIdleTeams(now)
		}
		t = &team{name: name, virtualTime: q.virtualTime}
		q.teams[name] = t
	}
	if len(t.waiting) == 0 {
		t.virtualTime = min(max(t.virtualTime, q.virtualTime-creditTokens), q.virtualTime+debtTokens)
	}
	t.lastActive = now
	return t
}

func (q *Queue) removeIdleTeams(now time.Time) {
	for name, t := range q.teams {
		if len(t.waiting) == 0 && (t.virtualTime <= q.virtualTime || now.Sub(t.lastActive) > teamIdleTimeout) {
			delete(q.teams, name)
		}
	}
}

// charge adds work to a team's virtual time. The queue's virtual time is that
// of the backlogged team with the least, or of the team served last if no team
// is backlogged.
func (q *Queue) charge(t *team, tokens float64) {
	served := t.virtualTime
	t.virtualTime += max(tokens, 1)
	least := math.Inf(1)
	for _, b := range q.backlogged {
		least = min(least, b.virtualTime)
	}
	if math.IsInf(least, 1) {
		least = served
	}
	q.virtualTime = max(q.virtualTime, least)
}

// selectNext returns the team and index of the item to dispatch next among the
// eligible ones; the team is nil when there is none.
func (q *Queue) selectNext(eligible func(*Item) bool) (*team, int) {
	least := math.Inf(1)
	for _, t := range q.backlogged {
		least = min(least, t.virtualTime)
	}
	var bestTeam *team
	bestAt := -1
	for _, t := range q.backlogged {
		if t.virtualTime > max(least, q.virtualTime)+maxLeadTokens {
			continue
		}
		for i := range t.waiting {
			if !eligible(&t.waiting[i].item) {
				continue
			}
			if bestTeam == nil || before(&t.waiting[i], &bestTeam.waiting[bestAt]) {
				bestTeam, bestAt = t, i
			}
		}
	}
	return bestTeam, bestAt
}

// before orders by priority, then slack, then arrival. An item without a due
// time sorts after those with one.
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
	delete(q.teamOf, t.waiting[i].item.ID)
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

// expire rejects the items whose due time has passed.
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
			q.rejected = append(q.rejected, Rejection{Item: e.item, Decision: q.rejection(wait, e.due, true, now)})
			if last {
				j--
				break
			}
		}
	}
}
