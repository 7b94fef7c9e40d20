// Package crashes rejects requests with prompt parts that crash engines. It connects the decisions of
// core/attribution to the requests of a host, to its peers and to the log: it checks whether an engine
// that broke off a response has crashed, publishes the rejections to the request path, and interrupts
// requests that would crash their engines.
package crashes

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/internal/connection"
)

const (
	// dialTimeout limits one connection setup to an engine that broke off a response. A lost
	// packet costs a second.
	dialTimeout = 400 * time.Millisecond
	// maxDials is how often such an engine is dialled until its state is known.
	maxDials = 2
	// listenerCloseTime is how long a process that ends may accept connections after it has broken off a response.
	listenerCloseTime = 100 * time.Millisecond
	// checkRetention is how long the crash that these dials show holds for other requests, and runningRetention
	// how long it holds that the engine still runs: it may crash right afterwards.
	checkRetention   = 5 * time.Second
	runningRetention = 100 * time.Millisecond
	// maxOthers is how many other servers are dialled at the same time, and pathWait how long a host that reaches none waits until it
	// reaches one, dialling every pathInterval.
	maxOthers    = 4
	pathWait     = 20 * time.Second
	pathInterval = 300 * time.Millisecond
	// trialRetryAfter is the Retry-After of a request that a trial of another one may clear.
	trialRetryAfter = 2 * time.Second
	// minRetryAfter is the least Retry-After of other rejected requests.
	minRetryAfter = 10 * time.Second
)

// Options configure a Guard.
type Options struct {
	// HostID is the ID of this host, and Peers returns those of the other live hosts.
	HostID string
	Peers  func() []string
	// Clock also counts time in which the machine is suspended; see internal/boottime.
	Clock func() time.Duration
	// Dial opens connections to engines; nil for connection.Dial.
	Dial connection.DialFunc
	// Others returns the addresses of other backend servers than the one at an address, in the order in which they are dialled to find
	// out whether this host reaches any; nil if there are none.
	Others func(address string) []string
	// IsReplaced reports whether another process is known to have the address of a process; nil if that is unknown.
	IsReplaced func(attribution.Process, string) bool
	// OnCrash, if set, is called after this host has recorded a crash, and OnChange after the
	// rejections changed.
	OnCrash, OnChange func()
	Log               zerolog.Logger
}

// Guard holds the rejections of a host and the evidence for them.
type Guard struct {
	opts       Options
	rejections atomic.Pointer[attribution.Rejections]
	// Crashes counts the crashes of engines before answers of this host began, and Trials the
	// requests that were sent although a prompt part was rejected.
	Crashes, Trials atomic.Int64

	mu      sync.Mutex
	tracker *attribution.Tracker
	// pending are the requests that were sent and whose answers have not begun.
	pending map[*Request]struct{}
	checks  map[attribution.Process]*check

	// pathMu is held while other servers are dialled. reached is whether one could be reached by the dials that began at reachedAt.
	pathMu    sync.Mutex
	reachedAt time.Time
	reached   bool
}

// check is the check whether a process has ended.
type check struct {
	started time.Duration
	// done is closed at the first result: the process has crashed, still runs, or noPath: this host reached no server at all, so that
	// the refused connection shows nothing yet. The others are valid then.
	done            chan struct{}
	crashed, noPath bool
	// settled is closed once it is known whether the process has crashed after noPath, and crashedThen valid.
	settled     chan struct{}
	crashedThen bool
}

// holds reports whether a check is the one for a response that has just broken off.
func (c *check) holds(now time.Duration) bool {
	select {
	case <-c.done:
		return c.crashed || c.noPath || now-c.started <= runningRetention
	default:
		return true
	}
}

// New returns a Guard without evidence.
func New(opts Options) *Guard {
	if opts.Dial == nil {
		opts.Dial = connection.Dial
	}
	g := &Guard{opts: opts, tracker: attribution.New(), pending: map[*Request]struct{}{}, checks: map[attribution.Process]*check{}}
	g.rejections.Store(g.tracker.Rejections())
	return g
}

// Rejections returns the current rejections.
func (g *Guard) Rejections() []*attribution.Rejection { return g.rejections.Load().All() }

// IsElected reports whether this host acts for all hosts on a rejection that does not change.
func (g *Guard) IsElected(r *attribution.Rejection) bool {
	return r.Elected(g.opts.HostID, g.opts.Peers(), r.Last())
}

// Age returns the time since at, which is on the Clock.
func (g *Guard) Age(at time.Duration) time.Duration { return g.opts.Clock() - at }

// Merge adds the evidence of another host or of the store, as of receivedAt. reason is for the log.
func (g *Guard) Merge(reports []attribution.Report, answers []attribution.Answer, receivedAt time.Time, reason string) {
	if len(reports) == 0 && len(answers) == 0 {
		return
	}
	g.update(reason, func(t *attribution.Tracker, now time.Duration) bool {
		return t.Merge(reports, answers, now-time.Since(receivedAt))
	})
}

// Evidence returns the evidence of this host for the others.
func (g *Guard) Evidence() (reports []attribution.Report, answers []attribution.Answer) {
	g.update("crashes expired", func(t *attribution.Tracker, now time.Duration) bool {
		changed := t.Expire(now)
		reports, answers = t.Reports(now), t.Answers(now)
		return changed
	})
	return reports, answers
}

// update changes the evidence, publishes the rejections and logs them if they changed.
func (g *Guard) update(reason string, change func(t *attribution.Tracker, now time.Duration) bool) {
	now := g.opts.Clock()
	g.mu.Lock()
	changed := change(g.tracker, now)
	g.publish()
	g.mu.Unlock()
	if changed {
		g.logRejections(reason, now)
		if g.opts.OnChange != nil {
			g.opts.OnChange()
		}
	}
}

// publish makes the tracker's rejections visible to requests and interrupts the pending ones that
// they cover, which would crash their engines. g.mu must be held.
func (g *Guard) publish() {
	rejections := g.tracker.Rejections()
	if g.rejections.Swap(rejections) == rejections {
		return
	}
	for r := range g.pending {
		if rejection := rejections.Find(r.parts); rejection != nil && rejection.Covers(r.parts) && !r.trial.Load() {
			delete(g.pending, r)
			r.interruptedBy.Store(rejection)
			r.interrupt()
		}
	}
}

// confirm records a crash if its process does not accept connections any more. A host that reaches no server at that time, because it
// has lost its path or all have crashed, finds out later which of them it is.
func (g *Guard) confirm(r *Request, crash attribution.Crash) {
	c, first := g.startCheck(crash.Process)
	if first {
		c.crashed = g.hasEnded(crash.Address)
		if c.crashed && !g.reachesOthers(crash.Address, time.Now()) {
			c.crashed, c.noPath = false, true
			go g.settle(c, crash)
		}
		close(c.done)
	}
	<-c.done
	log := g.opts.Log.Info().Str("request", r.id).Str("backend", crash.Process.ID).Str("address", crash.Address).Strs("parts", r.LoggedParts())
	switch {
	case c.crashed:
		g.record(log, crash, first)
	case c.noPath:
		log.Msg("response broke off before the answer began, no backend server can be reached")
		go func() {
			if <-c.settled; c.crashedThen {
				g.record(g.opts.Log.Info().Str("request", r.id).Str("backend", crash.Process.ID), crash, first)
			}
		}()
	default:
		log.Msg("response broke off before the answer began, the backend server still accepts connections")
	}
}

// record records a crash; first is set for one of the requests that it broke off.
func (g *Guard) record(log *zerolog.Event, crash attribution.Crash, first bool) {
	if first {
		g.Crashes.Add(1)
	}
	log.Int("engines", crash.Engines).Msg("backend server crashed before the answer began")
	g.update("a backend server crashed", func(t *attribution.Tracker, _ time.Duration) bool { return t.RecordCrash(crash) })
	if g.opts.OnCrash != nil {
		g.opts.OnCrash()
	}
}

// settle waits until this host reaches other servers again, and then finds out whether the process of a crash has ended.
func (g *Guard) settle(c *check, crash attribution.Crash) {
	defer close(c.settled)
	for end := time.Now().Add(pathWait); time.Now().Before(end); time.Sleep(pathInterval) {
		if g.reachesOthers(crash.Address, time.Now().Add(-pathInterval/2)) {
			refused, _ := g.dial(crash.Address)
			c.crashedThen = refused || g.opts.IsReplaced != nil && g.opts.IsReplaced(crash.Process, crash.Address)
			return
		}
	}
}

// reachesOthers reports whether this host reaches any other server than the one at an address, or knows no other. The result of dials
// for another server that began after since will do.
func (g *Guard) reachesOthers(address string, since time.Time) bool {
	if g.opts.Others == nil {
		return true
	}
	g.pathMu.Lock()
	defer g.pathMu.Unlock()
	if g.reachedAt.Before(since) {
		g.reachedAt = time.Now()
		g.reached = g.reachesAny(g.opts.Others(address))
	}
	return g.reached
}

// reachesAny reports whether one of the first addresses accepts a connection, or there are none.
func (g *Guard) reachesAny(others []string) bool {
	others = others[:min(len(others), maxOthers)]
	results := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			_, accepted := g.dial(other)
			results <- accepted
		}()
	}
	for range others {
		if <-results {
			return true
		}
	}
	return len(others) == 0
}

// startCheck returns the check of a process; first is set if the caller must perform it.
func (g *Guard) startCheck(p attribution.Process) (c *check, first bool) {
	now := g.opts.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for known, c := range g.checks {
		if now-c.started > checkRetention {
			delete(g.checks, known)
		}
	}
	if c := g.checks[p]; c != nil && c.holds(now) {
		return c, false
	}
	c = &check{done: make(chan struct{}), settled: make(chan struct{}), started: now}
	g.checks[p] = c
	return c, true
}

// hasEnded reports whether no process listens at an address any more from which a response has broken off. A process
// that ends may close its listener last, so one that accepts a connection is dialled again after listenerCloseTime.
func (g *Guard) hasEnded(address string) bool {
	refused, accepted := g.dial(address)
	if accepted {
		time.Sleep(listenerCloseTime)
		refused, _ = g.dial(address)
	}
	return refused
}

// dial reports whether connections to an address are refused or accepted. A machine that does not respond at all may
// only be unreachable.
func (g *Guard) dial(address string) (refused, accepted bool) {
	for range maxDials {
		conn, err := g.opts.Dial(context.Background(), address, dialTimeout)
		if err == nil {
			_ = conn.Close()
			return false, true
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true, false
		}
	}
	return false, false
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
