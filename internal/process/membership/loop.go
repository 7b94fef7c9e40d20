package membership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"monsoonkeel.example/monsoonkeel/core/view"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// Run refreshes the view and reads the host list every second until ctx ends. The
// host list has a loop of its own, so that a slow read does not delay a renewal of
// the view.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return runPeriodically(ctx, m.ReadHosts) })
	g.Go(func() error { return runPeriodically(ctx, m.RefreshView) })
	return g.Wait()
}

// runPeriodically calls step at once and then at every renewal interval.
func runPeriodically(ctx context.Context, step func(context.Context)) error {
	ticker := time.NewTicker(view.RenewInterval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ReadHosts reads the host list once. If that fails, the last list remains in use.
func (m *Manager) ReadHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	readAt := m.cfg.Now()
	entries, err := m.cfg.Hosts.Hosts(ctx)
	unchanged := errors.Is(err, platform.ErrUnchanged)
	if err != nil && !unchanged {
		m.cfg.Log.Warn().Err(err).Msg("reading the host list failed, keeping the last one")
		return
	}
	hosts := m.hostsOfCell(entries)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !unchanged {
		m.newestHosts = hosts
	}
	if m.isStaleHostList(readAt) {
		m.cfg.Log.Warn().Msg("host list no longer contains this host, keeping the last one")
		return
	}
	m.hosts, m.hostsAt = m.newestHosts, readAt
	for _, h := range m.hosts {
		if h.State == platform.HostLeaving {
			m.leaving[incarnation{h.ID, h.Incarnation}] = true
		}
	}
	for id := range m.peers {
		if _, listed := m.host(id); !listed && !m.current.Has(id) {
			delete(m.peers, id)
		}
	}
}

// isStaleHostList reports whether the last host list read is from before this host
// was added to it. Such a list would remove all backend servers that were added
// since. The lock is held.
func (m *Manager) isStaleHostList(readAt time.Time) bool {
	listed := slices.ContainsFunc(m.newestHosts, func(h platform.Host) bool { return h.ID == m.cfg.Self.ID })
	if listed {
		m.selfListedAt = readAt
	}
	return !listed && !m.draining && !m.selfListedAt.IsZero() && readAt.Sub(m.selfListedAt) < selfAbsentTimeout
}

// hostsOfCell returns the hosts of this cell. Entries without an id and those that
// repeat an id are ignored.
func (m *Manager) hostsOfCell(entries []platform.Host) []platform.Host {
	var hosts []platform.Host
	seen := map[string]bool{}
	for _, h := range entries {
		if h.ID == "" || seen[h.ID] {
			m.cfg.Log.Warn().Str("host", h.ID).Msg("ignoring host list entry with a missing or repeated id")
			continue
		}
		seen[h.ID] = true
		if view.CellOf(h.ID, m.cfg.Cells) == m.cell {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// objectKey returns the key of the cell's view object in the store.
func (m *Manager) objectKey() string { return "view/" + m.cellName() }

func (m *Manager) cellName() string { return fmt.Sprint(m.cell) }

// RefreshView renews the view if this host is the renewer or has to become the
// renewer. Otherwise it reads the view object if the newest relayed confirmation
// is too old.
func (m *Manager) RefreshView(ctx context.Context) {
	now := m.cfg.Now()
	m.mu.Lock()
	renewer := m.current.Renewer == m.cfg.Self.ID && m.versionKnown
	read := !renewer && (!m.versionKnown || m.readAgain || m.lease.Epoch != m.current.Epoch || now.Sub(m.lease.ConfirmedAt) >= readObjectAge ||
		m.current.Renewer == m.cfg.Self.ID)
	m.mu.Unlock()
	if read {
		renewer = m.readView(ctx) && m.shouldRenew()
	}
	if renewer && !m.renewView(ctx) {
		m.readView(ctx) // The write may have been applied, or another host renewed the view.
	}
}

// readView reads the view object and reports whether it was read and is valid.
func (m *Manager) readView(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sentAt := m.cfg.Now()
	obj, err := m.cfg.Store.Get(ctx, m.objectKey())
	if errors.Is(err, platform.ErrNotFound) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.version, m.versionKnown, m.objectEpoch = 0, true, 0
		return true
	}
	if err != nil {
		m.cfg.Log.Debug().Err(err).Msg("reading the view object failed")
		return false
	}
	v, err := view.Parse(obj.Value)
	if err == nil && v.Cell != m.cellName() {
		err = view.Error.New("view of cell %q in the object of cell %q", v.Cell, m.cellName())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.versionKnown = false
		m.cfg.Log.Error().Err(err).Str("key", m.objectKey()).Msg("view object is invalid, keeping the last view")
		return false
	}
	if m.versionKnown && obj.Version < m.version {
		return false
	}
	m.version, m.versionKnown, m.objectEpoch = obj.Version, true, v.Epoch
	if v.RenewalCount != m.lastRenewalCount || m.renewalSeenAt.IsZero() {
		// The next refresh reads the object again: it takes two reads to detect that the
		// renewal count no longer increases.
		m.readAgain = !m.readAgain
		m.lastRenewalCount, m.renewalSeenAt = v.RenewalCount, m.cfg.Now()
	}
	m.applyView(v, sentAt, 0)
	return true
}

// applyView applies a view that was current at sentAt minus age, unless its epoch
// is older than the current one. A view with the current epoch but other members
// confirms nothing; this happens only if the view object was lost and created
// again. The lock is held.
func (m *Manager) applyView(v view.View, sentAt time.Time, age time.Duration) {
	switch {
	case v.Epoch < m.current.Epoch:
		return
	case v.Epoch > m.current.Epoch:
		m.current, m.maxEpoch = v, max(m.maxEpoch, v.Epoch)
		m.slotsUsableFrom = view.RightsBegin(m.cfg.Now())
		m.cfg.Log.Info().Uint64("epoch", v.Epoch).Strs("members", v.Members).Msg("new view")
	case !slices.Equal(v.Members, m.current.Members):
		m.cfg.Log.Error().Uint64("epoch", v.Epoch).Msg("received a view with the current epoch but other members, not confirming it")
		m.maxEpoch = max(m.maxEpoch, v.Epoch+1)
		return
	default:
		m.current.RenewalCount, m.current.Renewer = max(v.RenewalCount, m.current.RenewalCount), v.Renewer
	}
	m.lease = m.lease.Confirm(v.Epoch, sentAt, age)
}

// ApplyPeerView applies a peer's response to a Sync call sent at sentAt: the peer's
// view epoch, the age of its confirmation and, if that epoch is newer than this
// host's, the view as JSON. It returns an error if the view is invalid or does not
// match the epoch and the cell.
func (m *Manager) ApplyPeerView(epoch uint64, age view.Age, encoded []byte, sentAt time.Time) error {
	if !age.Known {
		// A view without a confirmation still provides the members; its lease has expired.
		age.Value = view.LeaseDuration
	}
	if len(encoded) > 0 {
		v, err := view.Parse(encoded)
		if err != nil {
			return err
		}
		if v.Cell != m.cellName() || v.Epoch != epoch {
			return view.Error.New("view of cell %q and epoch %d does not match the heartbeat of epoch %d in cell %q", v.Cell, v.Epoch, epoch, m.cellName())
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.applyView(v, sentAt, age.Value)
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch == m.current.Epoch && epoch != 0 && age.Known {
		m.lease = m.lease.Confirm(epoch, sentAt, age.Value)
	}
	return nil
}

// shouldRenew reports, after a read, whether this host has to write the view: it is
// the renewer, the object is missing or was created again, or the renewal count has
// not increased for too long.
func (m *Manager) shouldRenew() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining && m.current.Renewer != m.cfg.Self.ID {
		return false
	}
	// A lower epoch in the object than in memory shows that the object was lost and
	// created again.
	return m.objectEpoch < m.current.Epoch || m.version == 0 || m.current.Epoch < m.maxEpoch ||
		m.current.Renewer == m.cfg.Self.ID || m.cfg.Now().Sub(m.renewalSeenAt) >= view.TakeoverTimeout
}

// nextView computes the view that this host would write at now. The lock is held.
func (m *Manager) nextView(now time.Time) view.View {
	in := view.NextInput{
		Now: now, Self: m.cfg.Self.ID, Cell: m.cellName(), SelfShuttingDown: m.draining, MinEpoch: m.maxEpoch,
	}
	// A host list without this host is too outdated to remove other hosts.
	_, listed := m.host(m.cfg.Self.ID)
	in.HostListFresh = listed && now.Sub(m.hostsAt) < hostListMaxAge
	seen := map[string]bool{}
	add := func(c view.Candidate) {
		if p := m.peers[c.Host]; p != nil {
			c.LastContact, c.FailedCalls = p.lastContactAt, p.failedCalls
		}
		seen[c.Host] = true
		in.Candidates = append(in.Candidates, c)
	}
	for _, h := range m.hosts {
		if h.Role == platform.RoleEntry && h.ID != m.cfg.Self.ID {
			add(view.Candidate{Host: h.ID, Listed: true, ShuttingDown: m.isLeaving(h)})
		}
	}
	for _, id := range m.current.Members {
		if !seen[id] && id != m.cfg.Self.ID {
			add(view.Candidate{Host: id})
		}
	}
	return view.Next(m.current, in)
}

// renewView writes the next view and reports whether that succeeded. After a lost
// response or a conflict the object's version is unknown, so that the object has to
// be read again.
func (m *Manager) renewView(ctx context.Context) bool {
	now := m.cfg.Now()
	m.mu.Lock()
	next, version := m.nextView(now), m.version
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	written, err := m.cfg.Store.Put(callCtx, m.objectKey(), version, next.Encode())
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		// A write without a response may have been applied, so that the current view may
		// be another one now; the next read shows which.
		m.versionKnown = false
		m.cfg.Log.Debug().Err(err).Msg("writing the view object failed")
		return false
	}
	m.version, m.versionKnown, m.objectEpoch = written, true, next.Epoch
	m.lastRenewalCount, m.renewalSeenAt, m.readAgain = next.RenewalCount, now, false
	m.applyView(next, now, 0)
	return true
}
