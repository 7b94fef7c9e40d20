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

// Run renews or follows the view and reads the host list every second until
// ctx ends. The host list has its own loop, so that a slow list does not delay
// a renewal.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return every(ctx, m.ReadHosts) })
	g.Go(func() error { return every(ctx, m.RefreshView) })
	return g.Wait()
}

func every(ctx context.Context, step func(context.Context)) error {
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

// ReadHosts reads the host list once. After a failure the last list stays in use.
func (m *Manager) ReadHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	readAt := m.cfg.Now()
	all, err := m.cfg.Hosts.Hosts(ctx)
	unchanged := errors.Is(err, platform.ErrUnchanged)
	if err != nil && !unchanged {
		m.cfg.Log.Warn().Err(err).Msg("host list not read, the last one stays in use")
		return
	}
	hosts := m.ownCell(all)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !unchanged {
		m.offered = hosts
	}
	if m.fallsBack(readAt) {
		m.cfg.Log.Warn().Msg("host list does not show this host any more, the last one stays in use")
		return
	}
	m.hosts, m.hostsAt = m.offered, readAt
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

// fallsBack reports whether the offered host list is one from before this host
// was listed. Such a list would take all backend servers away that came since.
// The lock is held.
func (m *Manager) fallsBack(readAt time.Time) bool {
	listed := slices.ContainsFunc(m.offered, func(h platform.Host) bool { return h.ID == m.cfg.Self.ID })
	if listed {
		m.selfListedAt = readAt
	}
	return !listed && !m.draining && !m.selfListedAt.IsZero() && readAt.Sub(m.selfListedAt) < absentTrust
}

// ownCell returns the hosts of this cell. An id that is listed twice is kept
// once.
func (m *Manager) ownCell(all []platform.Host) []platform.Host {
	var hosts []platform.Host
	seen := map[string]bool{}
	for _, h := range all {
		if h.ID == "" || seen[h.ID] {
			m.cfg.Log.Warn().Str("host", h.ID).Msg("host list entry without id or with a repeated id ignored")
			continue
		}
		seen[h.ID] = true
		if view.CellOf(h.ID, m.cfg.Cells) == m.cell {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// key returns the name of the cell's view object.
func (m *Manager) key() string { return "view/" + m.cellName() }

func (m *Manager) cellName() string { return fmt.Sprint(m.cell) }

// RefreshView renews the view if this host is the renewer or has to take over, and
// otherwise reads it when relayed confirmations are getting old.
func (m *Manager) RefreshView(ctx context.Context) {
	now := m.cfg.Now()
	m.mu.Lock()
	renewer := m.current.Renewer == m.cfg.Self.ID && m.versionOK
	read := !renewer && (!m.versionOK || m.watchBeat || m.lease.Epoch != m.current.Epoch || now.Sub(m.lease.ConfirmedAt) >= readAfter ||
		m.current.Renewer == m.cfg.Self.ID)
	m.mu.Unlock()
	if read {
		renewer = m.read(ctx) && m.mustRenew()
	}
	if renewer && !m.renew(ctx) {
		m.read(ctx) // The write may have taken effect, or another renewer wrote.
	}
}

// read reads the view object and reports whether its state is known now.
func (m *Manager) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sentAt := m.cfg.Now()
	obj, err := m.cfg.Store.Get(ctx, m.key())
	if errors.Is(err, platform.ErrNotFound) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.version, m.versionOK, m.objectEpoch = 0, true, 0
		return true
	}
	if err != nil {
		m.cfg.Log.Debug().Err(err).Msg("view not read")
		return false
	}
	v, err := view.Parse(obj.Value)
	if err == nil && v.Cell != m.cellName() {
		err = view.Error.New("view of cell %q in the object of cell %q", v.Cell, m.cellName())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.versionOK = false
		m.cfg.Log.Error().Err(err).Str("key", m.key()).Msg("view object is invalid, the last view stays in use")
		return false
	}
	if m.versionOK && obj.Version < m.version {
		return false
	}
	m.version, m.versionOK, m.objectEpoch = obj.Version, true, v.Epoch
	if v.RenewalCount != m.lastBeat || m.beatAt.IsZero() {
		// The next step reads again, since only two reads tell a beat that stands still.
		m.watchBeat = !m.watchBeat
		m.lastBeat, m.beatAt = v.RenewalCount, m.cfg.Now()
	}
	m.adopt(v, sentAt, 0)
	return true
}

// adopt takes over a view that was current age before sentAt, unless a newer
// epoch is known. The lock is held. A view that
// contradicts the one known under the same epoch confirms nothing; that happens
// only when the object was lost and rebuilt.
func (m *Manager) adopt(v view.View, sentAt time.Time, age time.Duration) {
	switch {
	case v.Epoch < m.current.Epoch:
		return
	case v.Epoch > m.current.Epoch:
		m.current, m.maxEpoch = v, max(m.maxEpoch, v.Epoch)
		m.rightsBegin = view.RightsBegin(m.cfg.Now())
		m.cfg.Log.Info().Uint64("epoch", v.Epoch).Strs("members", v.Members).Msg("new view")
	case !slices.Equal(v.Members, m.current.Members):
		m.cfg.Log.Error().Uint64("epoch", v.Epoch).Msg("view differs under the same epoch, it is not confirmed")
		m.maxEpoch = max(m.maxEpoch, v.Epoch+1)
		return
	default:
		m.current.RenewalCount, m.current.Renewer = max(v.RenewalCount, m.current.RenewalCount), v.Renewer
	}
	m.lease = m.lease.Confirm(v.Epoch, sentAt, age)
}

// ApplyPeerView applies what a peer's answer to a Sync call sent at sentAt said: the
// epoch it knows, the age of its confirmation and, if newer than this host's,
// the view as JSON.
func (m *Manager) ApplyPeerView(epoch uint64, age view.Age, encoded []byte, sentAt time.Time) error {
	if !age.Known {
		// Without a confirmation the view still names the members to expect.
		age.Value = view.LeaseDuration
	}
	if len(encoded) > 0 {
		v, err := view.Parse(encoded)
		if err != nil {
			return err
		}
		if v.Cell != m.cellName() || v.Epoch != epoch {
			return view.Error.New("view of cell %q, epoch %d does not match heartbeat of epoch %d in cell %q", v.Cell, v.Epoch, epoch, m.cellName())
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.adopt(v, sentAt, age.Value)
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch == m.current.Epoch && epoch != 0 && age.Known {
		m.lease = m.lease.Confirm(epoch, sentAt, age.Value)
	}
	return nil
}

// mustRenew decides after a read whether this host writes: it is the renewer,
// the object is missing or rebuilt, or the beat has stood still.
func (m *Manager) mustRenew() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining && m.current.Renewer != m.cfg.Self.ID {
		return false
	}
	// A lower epoch in the object than in memory means that it was lost and rebuilt.
	return m.objectEpoch < m.current.Epoch || m.version == 0 || m.current.Epoch < m.maxEpoch ||
		m.current.Renewer == m.cfg.Self.ID || m.cfg.Now().Sub(m.beatAt) >= view.TakeoverTimeout
}

func (m *Manager) nextView(now time.Time) view.View {
	in := view.NextInput{
		Now: now, Self: m.cfg.Self.ID, Cell: m.cellName(), SelfShuttingDown: m.draining, MinEpoch: m.maxEpoch,
	}
	// A list that does not even show this host lags too far to remove others.
	_, listed := m.host(m.cfg.Self.ID)
	in.HostListFresh = listed && now.Sub(m.hostsAt) < hostListTrust
	seen := map[string]bool{}
	add := func(c view.Candidate) {
		if p := m.peers[c.Host]; p != nil {
			c.LastContact, c.FailedCalls = p.contactAt, p.failed
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

// renew writes the next view and reports success. A lost answer or a conflict
// leaves the version unknown, so that the object is read back.
func (m *Manager) renew(ctx context.Context) bool {
	now := m.cfg.Now()
	m.mu.Lock()
	next, version := m.nextView(now), m.version
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	written, err := m.cfg.Store.Put(callCtx, m.key(), version, next.Encode())
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		// An unanswered write may still have taken effect, so another view may be
		// current from now on; the next read tells.
		m.versionOK = false
		m.cfg.Log.Debug().Err(err).Msg("view not renewed")
		return false
	}
	m.version, m.versionOK, m.objectEpoch = written, true, next.Epoch
	m.lastBeat, m.beatAt, m.watchBeat = next.RenewalCount, now, false
	m.adopt(next, now, 0)
	return true
}
