package forward

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

const (
	// codePartRejected is the code of requests that are rejected for a prompt part.
	codePartRejected = "prompt_part_rejected"
	// begunEvents is the number of events after which the answer of a stream counts as
	// begun. An engine may crash right after the first one.
	begunEvents = 2
	// crashDials is how often a server that broke off a response is dialled until its state
	// is known.
	crashDials = 2
	// crashCheckRetention is how long the result of these dials holds for other requests.
	crashCheckRetention = 5 * time.Second
	// trialRetryAfter is the Retry-After of a request that a trial of another one may clear.
	trialRetryAfter = 2 * time.Second
	// maxLoggedCrashes limits the crashes in a log line.
	maxLoggedCrashes = 8
)

// crashes attributes crashes of engines to prompt parts and holds the resulting rejections.
type crashes struct {
	opts       Options
	dial       func(ctx context.Context, address string) error
	rejections atomic.Pointer[attribution.Rejections]

	mu      sync.Mutex
	tracker *attribution.Tracker
	// pending are the requests with prompt parts whose answers have not begun.
	pending map[*request]struct{}
	checks  map[attribution.Process]*crashCheck
	// merged identifies the newest message of each host that was merged.
	merged map[string]gossip.MessageID
}

// crashCheck is the check whether a process has ended.
type crashCheck struct {
	done    chan struct{}
	crashed bool // valid once done is closed
	started time.Duration
}

func newCrashes(opts Options) *crashes {
	c := &crashes{
		opts: opts, tracker: attribution.New(), pending: map[*request]struct{}{},
		checks: map[attribution.Process]*crashCheck{}, merged: map[string]gossip.MessageID{},
		dial: func(ctx context.Context, address string) error {
			conn, err := connection.Dial(ctx, address, connectTimeout)
			if err != nil {
				return err
			}
			return conn.Close()
		},
	}
	c.rejections.Store(c.tracker.Rejections())
	return c
}

// checkParts returns an error if the request has a prompt part that is rejected. It is called
// when the request is admitted and again before each send, as the evidence may be new.
func (r *request) checkParts() error {
	c := r.g.crashes
	rejection := c.rejections.Load().Find(r.promptParts)
	if rejection == nil || r.trial.Load() || r.answerBegun.Load() {
		return nil
	}
	now := c.opts.Clock()
	if c.allowTrial(rejection, r.promptParts, now, r.g.peerIDs()) {
		r.trial.Store(true)
		r.g.Metrics.PartTrials.Add(1)
		c.opts.Log.Info().Str("request", r.id).EmbedObject(loggedRejection{rejection, now}).
			Msg("request with a rejected prompt part is sent as a trial")
		return nil
	}
	r.rejection = rejection
	r.retryAfter = trialRetryAfter
	if rejection.Covers(r.promptParts) {
		r.retryAfter = max(rejection.Until()-now, attribution.TrialSlot)
	}
	return notRun(503, codePartRejected, "engines crashed on a part of the prompt: "+r.rejectedPart())
}

// rejects reports whether one of the parts is rejected.
func (c *crashes) rejects(parts []attribution.Part) bool {
	return c.rejections.Load().Find(parts) != nil
}

// rejectedPart returns the ID of the part for which the request is rejected.
func (r *request) rejectedPart() string {
	for i, p := range r.promptParts {
		if slices.Contains(r.rejection.Parts, p) {
			return r.parts[i]
		}
	}
	return ""
}

func (c *crashes) allowTrial(r *attribution.Rejection, parts []attribution.Part, now time.Duration, peers []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.AllowTrial(r, parts, now, r.Elected(c.opts.HostID, peers, now))
}

// begin registers a request that is about to be sent.
func (c *crashes) begin(r *request) {
	if len(r.promptParts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[r] = struct{}{}
}

// end removes a request whose answer has begun or that has ended.
func (c *crashes) end(r *request) {
	if len(r.promptParts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, r)
}

// recordAnswer records that the answer of the request has begun, which shows that its prompt
// parts do not crash engines.
func (r *request) recordAnswer() {
	if len(r.promptParts) == 0 || r.answerBegun.Swap(true) {
		return
	}
	c := r.g.crashes
	c.mu.Lock()
	delete(c.pending, r)
	changed := c.tracker.RecordAnswer(r.promptParts, c.opts.Clock())
	c.publish()
	c.mu.Unlock()
	if changed {
		c.logChange("an answer began")
	}
}

// recordBrokenAnswer records a crash if the server has ended since it got the request, and the
// answer had not begun. It does not wait for the check.
func (r *request) recordBrokenAnswer(server balance.Server, cause error) {
	if len(r.promptParts) == 0 || r.answerBegun.Load() || r.ctx.Err() != nil || isTimeout(cause) {
		return
	}
	snapshot := r.g.opts.Directory.Snapshot()
	entry := snapshot.Servers[server.ID]
	if entry == nil || entry.Terminating() {
		return // its end was announced
	}
	engines := 0
	for _, s := range snapshot.Servers {
		if s.Service == entry.Service && !s.Removed {
			engines++
		}
	}
	crash := attribution.Crash{
		Process: attribution.Process{ID: server.ID, StartTime: entry.StartTime}, Address: server.Address, Domain: server.Domain,
		At: r.g.opts.Clock(), Engines: engines, Parts: r.promptParts,
	}
	go r.confirmCrash(crash)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// confirmCrash records a crash if the process does not accept connections any more.
func (r *request) confirmCrash(crash attribution.Crash) {
	c := r.g.crashes
	check, first := c.startCheck(crash.Process)
	if first {
		check.crashed = c.refuses(crash.Address)
		close(check.done)
	}
	<-check.done
	log := c.opts.Log.Info().Str("request", r.id).Str("backend", crash.Process.ID).Str("address", crash.Address).
		Strs("parts", r.parts[:min(len(r.parts), maxLoggedParts)])
	if !check.crashed {
		log.Msg("response broke off before the answer began, the backend server still accepts connections")
		return
	}
	if first {
		r.g.Metrics.EngineCrashes.Add(1)
	}
	log.Int("engines", crash.Engines).Msg("backend server crashed before the answer began")
	c.mu.Lock()
	changed := c.tracker.RecordCrash(crash)
	c.publish()
	c.mu.Unlock()
	if changed {
		c.logChange("a backend server crashed")
	}
}

// startCheck returns the check of a process; first is set if the caller must perform it.
func (c *crashes) startCheck(p attribution.Process) (check *crashCheck, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock()
	for known, check := range c.checks {
		if now-check.started > crashCheckRetention {
			delete(c.checks, known)
		}
	}
	if check := c.checks[p]; check != nil {
		return check, false
	}
	check = &crashCheck{done: make(chan struct{}), started: now}
	c.checks[p] = check
	return check, true
}

// refuses reports whether no process listens at an address. A host that does not respond at all may
// only be unreachable.
func (c *crashes) refuses(address string) bool {
	var err error
	for range crashDials {
		if err = c.dial(context.Background(), address); err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// publish makes the tracker's rejections visible to requests and interrupts the pending ones that
// they cover, which would crash their engines. c.mu must be held.
func (c *crashes) publish() {
	rejections := c.tracker.Rejections()
	if c.rejections.Swap(rejections) == rejections {
		return
	}
	for r := range c.pending {
		if rejection := rejections.Find(r.promptParts); rejection != nil && rejection.Covers(r.promptParts) && !r.trial.Load() {
			delete(c.pending, r)
			r.interruptedBy.Store(rejection)
			r.cancel()
		}
	}
}

// merge adds the evidence of other hosts.
func (c *crashes) merge(states []gossip.State) {
	changed := false
	c.mu.Lock()
	for _, s := range states {
		id := gossip.MessageID{Incarnation: s.Incarnation, Sequence: s.Sequence}
		if c.merged[s.Host] == id {
			continue
		}
		c.merged[s.Host] = id
		if len(s.Crashes) > 0 || len(s.Answers) > 0 {
			changed = c.tracker.Merge(s.Crashes, s.Answers, c.opts.Clock()-time.Since(s.ReceivedAt)) || changed
		}
	}
	c.publish()
	c.mu.Unlock()
	if changed {
		c.logChange("another host reported")
	}
}

// mergeReports adds crashes that were read from the store.
func (c *crashes) mergeReports(reports []attribution.Report, reason string) {
	c.mu.Lock()
	changed := c.tracker.Merge(reports, nil, c.opts.Clock())
	c.publish()
	c.mu.Unlock()
	if changed {
		c.logChange(reason)
	}
}

// fill sets the evidence in this host's gossip state.
func (c *crashes) fill(s *gossip.State) {
	c.mu.Lock()
	now := c.opts.Clock()
	changed := c.tracker.Expire(now)
	c.publish()
	s.Crashes, s.Answers = c.tracker.Reports(now), c.tracker.Answers(now)
	c.mu.Unlock()
	if changed {
		c.logChange("crashes expired")
	}
}

// logChange logs the rejections after a change.
func (c *crashes) logChange(reason string) {
	rejections := c.rejections.Load().All()
	now := c.opts.Clock()
	c.opts.Log.Warn().Str("reason", reason).Int("rejections", len(rejections)).Msg("rejected prompt parts changed")
	for _, r := range rejections {
		c.opts.Log.Warn().EmbedObject(loggedRejection{r, now}).Msg("prompt part is rejected")
	}
}

// loggedRejection adds a rejection with its evidence to a log line.
type loggedRejection struct {
	*attribution.Rejection
	now time.Duration
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l loggedRejection) MarshalZerologObject(e *zerolog.Event) {
	hashes := make([]string, 0, len(l.Parts))
	for _, p := range l.Parts[:min(len(l.Parts), maxLoggedParts)] {
		hashes = append(hashes, p.String())
	}
	servers := make([]string, 0, maxLoggedCrashes)
	for _, crash := range slices.Backward(l.Crashes) {
		if len(servers) < maxLoggedCrashes {
			servers = append(servers, crash.Process.ID)
		}
	}
	e.Strs("part_hashes", hashes).Int("crashes", len(l.Crashes)).Strs("crashed", servers).
		Int64("evidence_age_ms", (l.now-l.Last()).Milliseconds()).Int64("first_crash_age_ms", (l.now - l.First()).Milliseconds())
}

// rejectionError returns the error of a request that was interrupted because of its prompt parts.
func (r *request) rejectionError(rejection *attribution.Rejection, sent bool) *verdict.Error {
	r.rejection = rejection
	detail := "engines crashed on a part of the prompt: " + r.rejectedPart()
	if !sent {
		r.retryAfter = max(rejection.Until()-r.g.opts.Clock(), attribution.TrialSlot)
		return notRun(503, codePartRejected, detail)
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: 502, Code: codePartRejected, Detail: detail}
}
