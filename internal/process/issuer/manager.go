package issuer

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"monsoonkeel.example/monsoonkeel/core/issuer"
)

// stepInterval is the time between two steps while commands are unfinished. It is
// also the renewal interval, so that the lease remains valid after a missed step.
const stepInterval = issuer.RenewInterval

// Manager runs the issuers of all engine services and records operators' commands.
// Submit and List may be called concurrently with Run.
type Manager struct {
	opt      Options
	services func() []string
}

// NewManager returns a manager. services returns the names of the engine services.
func NewManager(opt Options, services func() []string) *Manager {
	return &Manager{opt: opt, services: services}
}

// Run sends commands until ctx ends and then releases the leases that it holds.
func (m *Manager) Run(ctx context.Context) error {
	running := map[string]context.CancelFunc{}
	var g errgroup.Group
	for ctx.Err() == nil {
		current := m.services()
		for _, service := range current {
			if running[service] == nil {
				serviceCtx, cancel := context.WithCancel(ctx)
				running[service] = cancel
				g.Go(func() error { m.runService(serviceCtx, service); return nil })
			}
		}
		for service, cancel := range running {
			if !slices.Contains(current, service) {
				cancel()
				delete(running, service)
			}
		}
		sleep(ctx, stepInterval)
	}
	for _, cancel := range running {
		cancel()
	}
	return g.Wait()
}

// runService sends the commands of one service until ctx ends.
func (m *Manager) runService(ctx context.Context, service string) {
	i := NewIssuer(m.opt, service)
	for ctx.Err() == nil {
		if !m.opt.IsCandidate(service) && i.doc.Holder != m.opt.Holder {
			sleep(ctx, stepInterval)
			continue
		}
		if err := i.Step(ctx); err != nil && ctx.Err() == nil {
			m.opt.Log.Warn().Err(err).Str("service", service).Msg("control commands not processed, retrying")
		}
		if i.idle() {
			i.waitForChange(ctx)
		} else {
			sleep(ctx, stepInterval)
		}
	}
	releasing, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if i.holdsLease {
		if err := i.release(releasing); err != nil {
			m.opt.Log.Warn().Err(err).Str("service", service).Msg("lease not released, another daemon has to wait until it expires")
		}
	}
}

// idle reports whether no daemon holds the lease and all commands are finished.
func (i *Issuer) idle() bool { return i.doc.Holder == "" && !i.doc.HasUnfinished() }

// waitForChange waits until the document changes or the next comparison of the
// engines' states is due, for at most idleWatchTimeout.
func (i *Issuer) waitForChange(ctx context.Context) {
	began := time.Now()
	limit := min(idleWatchTimeout, max(i.nextVerify.Sub(i.opt.Now()), stepInterval))
	watching, cancel := context.WithTimeout(ctx, idleWatchTimeout+callTimeout)
	defer cancel()
	if _, err := i.opt.Store.Watch(watching, i.opt.key(i.service), i.version, limit); err != nil {
		// Prevents a busy loop if watches fail immediately, as in an outage.
		sleep(ctx, stepInterval-time.Since(began))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
