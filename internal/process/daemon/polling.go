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
	// pollRound is the time between two rounds of load reports.
	pollRound = 500 * time.Millisecond
	// pollWarm is the interval for warm backend servers that this host uses;
	// cold ones are polled in each round, since their ramp follows the reports.
	pollWarm = 1 * time.Second
	// maxOthers bounds the polls in a round of backend servers that this host
	// does not use. Polling all 190 of a full cell twice a second cost 226 KB/s.
	maxOthers = 4
	// pollTimeout bounds one load report; regional round trips take 60 ms.
	pollTimeout = 400 * time.Millisecond
	// maxPolls bounds the load reports fetched at once.
	maxPolls = 32
	// reportExpiry is how long after its receipt a load report allows new work:
	// the backend server may have announced since that it is leaving.
	reportExpiry = 3 * time.Second
)

// usage says how a host uses a backend server at present.
type usage int

const (
	// unused: no share, no work there.
	unused usage = iota
	// usedWarm: this host has a share or work there.
	usedWarm
	// usedCold: no report yet, excluded, or in cold start with a slot here.
	usedCold
)

// choosePolls returns the backend servers to poll in this round: those in use
// whose report is due, and the longest not polled of the others.
func choosePolls(hosts []platform.Host, use func(platform.Host) usage, last map[string]time.Time, now time.Time) []platform.Host {
	var due, others []platform.Host
	for _, h := range hosts {
		switch use(h) {
		case usedCold:
			due = append(due, h)
		case usedWarm:
			// Half a round of slack keeps the interval at whole rounds.
			if now.Sub(last[h.ID]) >= pollWarm-pollRound/2 {
				due = append(due, h)
			}
		default:
			others = append(others, h)
		}
	}
	slices.SortStableFunc(others, func(a, b platform.Host) int { return last[a.ID].Compare(last[b.ID]) })
	return append(due, others[:min(len(others), maxOthers)]...)
}

// pollLoads fetches load reports until ctx ends.
func (r *routing) pollLoads(ctx context.Context) error {
	ticker := time.NewTicker(pollRound)
	defer ticker.Stop()
	last := map[string]time.Time{}
	for {
		r.pollOnce(ctx, last)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *routing) pollOnce(ctx context.Context, last map[string]time.Time) {
	doc := r.d.config.Current()
	var backends []platform.Host
	for _, h := range r.d.membership.Hosts() {
		if _, configured := doc.Services[h.Service]; configured && h.Role == platform.RoleBackend {
			backends = append(backends, h)
		}
	}
	now := time.Now()
	chosen := choosePolls(backends, r.usageOf, last, now)
	next := make(map[string]time.Time, len(backends))
	for _, h := range backends {
		next[h.ID] = last[h.ID]
	}
	var g errgroup.Group
	g.SetLimit(maxPolls)
	for _, h := range chosen {
		next[h.ID] = now
		g.Go(func() error {
			svc := doc.Services[h.Service]
			r.poll(ctx, h, svc, tightestFirstToken(doc, svc))
			return nil
		})
	}
	_ = g.Wait()
	clear(last)
	for id, at := range next {
		last[id] = at
	}
	r.changed()
}

// usageOf tells how this host uses a backend server.
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

func (r *routing) poll(ctx context.Context, h platform.Host, svc config.Service, target time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := time.Now()
	r.mu.Lock()
	own := r.counter(h).InFlight()
	r.mu.Unlock()
	report, err := r.d.loads.Load(ctx, h.Address)
	if err != nil {
		r.d.log.Debug().Err(err).Str("backend", h.ID).Msg("no load report")
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

// tightestFirstToken is the first-token target that a backend server must meet
// to count as warming up: that of the classes in the service's rules, or of all
// classes for generations if there are no rules.
func tightestFirstToken(doc *config.Document, svc config.Service) time.Duration {
	tightest := 0
	consider := func(c config.Class) {
		if c.FirstTokenMS > 0 && (tightest == 0 || c.FirstTokenMS < tightest) {
			tightest = c.FirstTokenMS
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
	return time.Duration(tightest) * time.Millisecond
}
