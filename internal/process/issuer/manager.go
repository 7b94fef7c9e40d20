package issuer

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"monsoonkeel.example/monsoonkeel/core/issuer"
)

// stepInterval is the time between two steps while commands are unfinished.
// It also paces renewals, so that a missed step leaves a lease valid.
const stepInterval = issuer.RenewInterval

// Manager runs the issuers of all engine services and records operators' commands.
type Manager struct {
	opt      Options
	services func() []string
}

// NewManager returns a manager of the engine services that services names.
func NewManager(opt Options, services func() []string) *Manager {
	return &Manager{opt: opt, services: services}
}

// Run issues commands until ctx ends and then gives the held roles up.
func (m *Manager) Run(ctx context.Context) error {
	running := map[string]context.CancelFunc{}
	var g errgroup.Group
	for ctx.Err() == nil {
		current := m.services()
		for _, service := range current {
			if running[service] == nil {
				serviceCtx, cancel := context.WithCancel(ctx)
				running[service] = cancel
				g.Go(func() error { m.run(serviceCtx, service); return nil })
			}
		}
		for service, cancel := range running {
			if !slices.Contains(current, service) {
				cancel()
				delete(running, service)
			}
		}
		wait(ctx, stepInterval)
	}
	for _, cancel := range running {
		cancel()
	}
	return g.Wait()
}

// run issues the commands of one service until ctx ends.
func (m *Manager) run(ctx context.Context, service string) {
	i := NewIssuer(m.opt, service)
	for ctx.Err() == nil {
		if !m.opt.IsCandidate(service) && i.doc.Holder != m.opt.Holder {
			wait(ctx, stepInterval)
			continue
		}
		if err := i.Step(ctx); err != nil && ctx.Err() == nil {
			m.opt.Log.Warn().Err(err).Str("service", service).Msg("control commands not processed")
		}
		if i.idle() {
			i.waitForChange(ctx)
		} else {
			wait(ctx, stepInterval)
		}
	}
	releasing, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if i.holding {
		if err := i.release(releasing); err != nil {
			m.opt.Log.Warn().Err(err).Str("service", service).Msg("control commands not handed over, another daemon waits for the lease")
		}
	}
}

// idle says that the document asks for nothing.
func (i *Issuer) idle() bool { return i.doc.Holder == "" && !i.doc.HasUnfinished() }

// waitForChange waits until the document changes or the engines' states are to
// be compared, at most idleWatch.
func (i *Issuer) waitForChange(ctx context.Context) {
	began := time.Now()
	limit := min(idleWatch, max(i.nextVerify.Sub(i.opt.Now()), stepInterval))
	watching, cancel := context.WithTimeout(ctx, idleWatch+callTimeout)
	defer cancel()
	if _, err := i.opt.Store.Watch(watching, i.opt.key(i.service), i.version, limit); err != nil {
		// A watch that ends early, as in an outage, must not become a busy loop.
		wait(ctx, stepInterval-time.Since(began))
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
