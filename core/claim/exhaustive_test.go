package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model: two hosts, with up to two attempts each and three in total, claim
// one order through Apply and a store with conditional updates. A paused host
// takes no step. Limits apply to lost responses (the write stays in flight and
// takes effect at any later time or never), crashes and clock steps.
const (
	idle = iota
	claimRead
	claimPut
	granted
	finishRead
	finishPut
	releaseRead
	releasePut
)

type modelHost struct {
	pc, attempt, attempts int // pc is the next step, attempt the id of the current attempt, from 1
	baseVersion, base     int
}

type modelWrite struct{ expected, value int }

// model is comparable, since shards are represented by ids; visited states can
// be skipped.
type model struct {
	hosts               [2]modelHost
	version, value      int
	inFlight            [2]modelWrite // the zero value means that no write is in flight
	lost, crashes       int           // lost responses and crashes that may still occur
	clock               int           // index into modelTimes
	nextAttempt         int
	sent, notRun, sends int // sent and notRun are bit sets of attempts
}

// modelTimes are before the deadline, after its expiry grace and after the
// retention.
var modelTimes = []time.Time{start, start.Add(time.Hour), start.Add(time.Hour + 2*Retention)}

// mutation removes one safeguard. A checker that works then finds a violation.
type mutation struct{ noVersions, sharedAttempt, noDeadline, rejectSent bool }

type step struct {
	base, clock int
	op          Op
}

type outcome struct {
	value int
	code  Code
}

type checker struct {
	mutation
	steps   map[step]outcome
	ids     map[string]int
	shards  []*Shard
	seen    map[model]bool
	failure string
	sends   int
}

func (c *checker) intern(s *Shard) int {
	value, err := s.Encode()
	if err != nil {
		panic(err)
	}
	id, ok := c.ids[string(value)]
	if !ok {
		id = len(c.shards)
		c.ids[string(value)] = id
		c.shards = append(c.shards, s)
	}
	return id
}

func check(m mutation) *checker {
	c := &checker{mutation: m, steps: map[step]outcome{}, ids: map[string]int{}, seen: map[model]bool{}}
	c.visit(model{value: c.intern(Empty()), lost: 1, crashes: 1, nextAttempt: 1})
	return c
}

func (c *checker) visit(s model) {
	if c.failure != "" || c.seen[s] {
		return
	}
	c.seen[s] = true
	c.sends = max(c.sends, s.sends)
	if s.sends > 1 {
		c.failure = fmt.Sprintf("order sent %d times in state %+v", s.sends, s)
	} else if s.sent&s.notRun != 0 {
		c.failure = fmt.Sprintf("not_run reported for a sent order in state %+v", s)
	}
	if s.clock+1 < len(modelTimes) {
		n := s
		n.clock++
		c.visit(n)
	}
	for i, w := range s.inFlight {
		if w == (modelWrite{}) {
			continue
		}
		n := s // a lost write is one that never takes effect
		n.inFlight[i] = modelWrite{}
		if c.store(&n, w) {
			c.visit(n)
		}
	}
	for i := range s.hosts {
		c.host(s, i)
	}
}

func (c *checker) store(s *model, w modelWrite) bool {
	if s.version != w.expected && !c.noVersions {
		return false
	}
	s.version++
	s.value = w.value
	return true
}

func (c *checker) host(s model, i int) {
	h := s.hosts[i]
	if s.crashes > 0 && h.pc != idle { // a restarted host has no state
		n := s
		n.crashes--
		n.hosts[i] = modelHost{attempts: h.attempts}
		c.visit(n)
	}
	n := s
	g := &n.hosts[i]
	switch h.pc {
	case idle:
		if h.attempts < 2 && s.nextAttempt <= 3 {
			*g = modelHost{pc: claimRead, attempt: n.nextAttempt, attempts: h.attempts + 1}
			n.nextAttempt++
			c.visit(n)
		}
	case claimRead, finishRead, releaseRead:
		g.baseVersion, g.base = s.version, s.value
		g.pc++
		c.visit(n)
	case claimPut:
		c.put(s, i, OpClaim, Granted, granted)
	case finishPut:
		c.put(s, i, OpFinish, OK, idle)
	case releasePut:
		c.put(s, i, OpRelease, OK, idle)
	case granted:
		if s.clock == 0 || c.noDeadline {
			n.sent |= 1 << h.attempt
			n.sends++
			g.pc = finishRead
			c.visit(n)
			if c.rejectSent {
				n.notRun |= 1 << h.attempt
				c.visit(n)
			}
		}
	}
	if h.pc == claimRead || h.pc == claimPut || h.pc == granted { // releases, responds with not_run
		n := s
		n.notRun |= 1 << h.attempt
		n.hosts[i].pc = releaseRead
		c.visit(n)
	}
}

// put applies the operation to the shard that the host read and writes the
// result conditionally.
func (c *checker) put(s model, i int, kind OpKind, want Code, next int) {
	h := s.hosts[i]
	attempt := h.attempt
	if c.sharedAttempt {
		attempt = 1
	}
	o := op(kind, strings.Repeat(fmt.Sprint(attempt), 32))
	key := step{h.base, s.clock, o}
	to, ok := c.steps[key]
	if !ok {
		after, results := Apply(c.shards[h.base], []Op{{Kind: OpExpire}, o}, modelTimes[s.clock])
		to = outcome{c.intern(after), results[1].Code}
		c.steps[key] = to
	}
	if to.code != want {
		next = idle // the caller gets the record's state, or there is no record
	}
	n := s
	if to.value == h.base {
		n.hosts[i].pc = next
		c.visit(n)
		return
	}
	w := modelWrite{expected: h.baseVersion, value: to.value}
	if c.store(&n, w) {
		n.hosts[i].pc = next
	} else {
		n.hosts[i].pc--
	}
	c.visit(n)
	if s.lost > 0 { // the host retries the conditional update with the same expected version
		n := s
		n.lost--
		n.inFlight[i] = w
		c.visit(n)
	}
}

// Guards against an order sent twice and against a false not_run, under all
// interleavings with pauses, one lost response and one crash.
func TestExhaustive(t *testing.T) {
	t.Parallel()
	c := check(mutation{})
	require.Empty(t, c.failure)
	require.Equal(t, 1, c.sends)
	t.Logf("%d states, %d shard documents", len(c.seen), len(c.shards))
}

// Guards against a checker that cannot fail: removing any one safeguard must
// lead to a violation.
func TestExhaustiveFindsMutations(t *testing.T) {
	t.Parallel()
	for name, m := range map[string]mutation{
		"store without versions":           {noVersions: true},
		"attempts that share an id":        {sharedAttempt: true},
		"send after the deadline":          {noDeadline: true},
		"not_run after the order was sent": {rejectSent: true},
	} {
		c := check(m)
		require.NotEmpty(t, c.failure, name)
		t.Logf("%s: %.40s", name, c.failure)
	}
}
