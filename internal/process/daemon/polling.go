package daemon

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"monsoonkeel.example/monsoonkeel/core/coldstart"
	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

const (
	// pollInterval is the time between two rounds of load polls.
	pollInterval = 500 * time.Millisecond
	// warmPollInterval is the interval for warm backend servers that this host uses;
	// cold ones are polled in each round, since their warm-up depends on the reports.
	warmPollInterval = 1 * time.Second
	// maxUnusedPolls is the maximum number of polls per round to backend servers that
	// this host does not use. Polling all 190 servers of a full cell twice a second
	// used 226 KB/s.
	maxUnusedPolls = 4
	// pollTimeout limits one load poll; round trips between regions take 60 ms.
	pollTimeout = 400 * time.Millisecond
	// maxConcurrentPolls is the maximum number of polls at the same time.
	maxConcurrentPolls = 32
	// reportExpiry is the time after its poll for which a load report permits new
	// requests: the backend server may have received a termination notice since.
	reportExpiry = 3 * time.Second
)

// usage is how this host currently uses a backend server.
type usage int

const (
	// unused: this host has no share of the server and no load there.
	unused usage = iota
	// usedWarm: this host has a share of the server or load there.
	usedWarm
	// usedCold: the server has no report yet, is excluded, or is in cold start and this
	// host has a slot there.
	usedCold
)

// choosePolls returns the backend servers to poll in this round: those in use whose
// poll is due, and up to maxUnusedPolls others, the least recently polled first.
func choosePolls(hosts []platform.Host, use func(platform.Host) usage, lastPolled map[string]time.Time, now time.Time) []platform.Host {
	var due, others []platform.Host
	for _, h := range hosts {
		switch use(h) {
		case usedCold:
			due = append(due, h)
		case usedWarm:
			// The tolerance of half a round keeps the interval at a whole number of rounds
			// despite timer jitter.
			if now.Sub(lastPolled[h.ID]) >= warmPollInterval-pollInterval/2 {
				due = append(due, h)
			}
		default:
			others = append(others, h)
		}
	}
	slices.SortStableFunc(others, func(a, b platform.Host) int { return lastPolled[a.ID].Compare(lastPolled[b.ID]) })
	return append(due, others[:min(len(others), maxUnusedPolls)]...)
}

// pollLoads polls the load of backend servers in rounds until ctx ends.
func (r *routing) pollLoads(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastPolled := map[string]time.Time{}
	for {
		r.pollOnce(ctx, lastPolled)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pollOnce runs one round of polls and updates the times in lastPolled.
func (r *routing) pollOnce(ctx context.Context, lastPolled map[string]time.Time) {
	doc := r.d.config.Current()
	var backends []platform.Host
	for _, h := range r.d.membership.Hosts() {
		if _, configured := doc.Services[h.Service]; configured && h.Role == platform.RoleBackend {
			backends = append(backends, h)
		}
	}
	now := time.Now()
	chosen := choosePolls(backends, r.usageOf, lastPolled, now)
	next := make(map[string]time.Time, len(backends))
	for _, h := range backends {
		next[h.ID] = lastPolled[h.ID]
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, h := range chosen {
		next[h.ID] = now
		g.Go(func() error {
			svc := doc.Services[h.Service]
			r.poll(ctx, h, svc, smallestFirstTokenTarget(doc, svc))
			return nil
		})
	}
	_ = g.Wait()
	clear(lastPolled)
	for id, at := range next {
		lastPolled[id] = at
	}
	r.requestRebuild()
}

// usageOf returns how this host uses a backend server.
func (r *routing) usageOf(h platform.Host) usage {
	r.mu.Lock()
	_, reported := r.reports[h.ID]
	_, excluded := r.excluded[h.ID]
	r.mu.Unlock()
	n, until := r.d.membership.Limit(h.ID, time.Now())
	switch {
	case !reported, excluded, n > 0 && !until.IsZero():
		return usedCold
	case r.d.dispatchers.Uses(h.Service, h.ID):
		return usedWarm
	}
	return unused
}

// poll applies the load report of one backend server.
func (r *routing) poll(ctx context.Context, h platform.Host, svc config.Service, target time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := time.Now()
	r.mu.Lock()
	own := r.counter(h).InFlight()
	r.mu.Unlock()
	report, err := r.d.loadReporter.Load(ctx, h.Address)
	if err != nil {
		r.d.log.Debug().Err(err).Str("backend", h.ID).Msg("load poll failed")
		return
	}
	limits := coldstart.Limits{Cold: svc.ColdLimit, Warm: svc.WarmLimit}
	r.d.membership.ObserveLoad(h.ID, limits, target, report, sentAt, own)
	if report.Leaving {
		r.d.membership.MarkLeaving(h.ID, report.Incarnation)
	}
	taken := sentAt.Add(-time.Duration(report.AgeMS) * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports[h.ID] = version.Report{Load: report, SampledAt: taken, RequestedAt: sentAt}
	if at, out := r.excluded[h.ID]; out && sentAt.After(at) {
		delete(r.excluded, h.ID)
	}
}

// smallestFirstTokenTarget returns the target for the time to first token that a
// backend server must meet for its warm-up to proceed: the smallest one among the
// classes in the service's rules or, without rules, among all classes for
// generations. It is 0 if there is none.
func smallestFirstTokenTarget(doc *config.Document, svc config.Service) time.Duration {
	smallest := 0
	consider := func(c config.Class) {
		if c.FirstTokenMS > 0 && (smallest == 0 || c.FirstTokenMS < smallest) {
			smallest = c.FirstTokenMS
		}
	}
	for _, r := range svc.Rules {
		consider(doc.Classes[r.Class])
	}
	if len(svc.Rules) == 0 {
		for _, c := range doc.Classes {
			if !c.Order && !c.Idempotent {
				consider(c)
			}
		}
	}
	return time.Duration(smallest) * time.Millisecond
}
