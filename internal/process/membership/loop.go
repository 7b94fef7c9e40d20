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
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return every(ctx, k.ReadHosts) })
	g.Go(func() error { return every(ctx, k.Step) })
	return g.Wait()
}

func every(ctx context.Context, step func(context.Context)) error {
	ticker := time.NewTicker(view.RenewEvery)
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
func (k *Keeper) ReadHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	readAt := k.cfg.Now()
	all, err := k.cfg.Hosts.Hosts(ctx)
	unchanged := errors.Is(err, platform.ErrUnchanged)
	if err != nil && !unchanged {
		k.cfg.Log.Warn().Err(err).Msg("host list not read, the last one stays in use")
		return
	}
	hosts := k.ownCell(all)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !unchanged {
		k.offered = hosts
	}
	if k.fallsBack(readAt) {
		k.cfg.Log.Warn().Msg("host list does not show this host any more, the last one stays in use")
		return
	}
	k.hosts, k.hostsAt = k.offered, readAt
	for _, h := range k.hosts {
		if h.State == platform.HostLeaving {
			k.leaving[incarnation{h.ID, h.Incarnation}] = true
		}
	}
	for id := range k.peers {
		if _, listed := k.host(id); !listed && !k.current.Has(id) {
			delete(k.peers, id)
		}
	}
}

// fallsBack reports whether the offered host list is one from before this host
// was listed. Such a list would take all backend servers away that came since.
// The lock is held.
func (k *Keeper) fallsBack(readAt time.Time) bool {
	listed := slices.ContainsFunc(k.offered, func(h platform.Host) bool { return h.ID == k.cfg.Self.ID })
	if listed {
		k.selfListedAt = readAt
	}
	return !listed && !k.draining && !k.selfListedAt.IsZero() && readAt.Sub(k.selfListedAt) < absentTrust
}

// ownCell returns the hosts of this cell. An id that is listed twice is kept
// once.
func (k *Keeper) ownCell(all []platform.Host) []platform.Host {
	var hosts []platform.Host
	seen := map[string]bool{}
	for _, h := range all {
		if h.ID == "" || seen[h.ID] {
			k.cfg.Log.Warn().Str("host", h.ID).Msg("host list entry without id or with a repeated id ignored")
			continue
		}
		seen[h.ID] = true
		if view.CellOf(h.ID, k.cfg.Cells) == k.cell {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// key returns the name of the cell's view object.
func (k *Keeper) key() string { return "view/" + k.cellName() }

func (k *Keeper) cellName() string { return fmt.Sprint(k.cell) }

// Step renews the view if this host is the renewer or has to take over, and
// otherwise reads it when relayed confirmations are getting old.
func (k *Keeper) Step(ctx context.Context) {
	now := k.cfg.Now()
	k.mu.Lock()
	renewer := k.current.Renewer == k.cfg.Self.ID && k.versionOK
	read := !renewer && (!k.versionOK || k.watchBeat || k.lease.Epoch != k.current.Epoch || now.Sub(k.lease.ConfirmedAt) >= readAfter ||
		k.current.Renewer == k.cfg.Self.ID)
	k.mu.Unlock()
	if read {
		renewer = k.read(ctx) && k.mustRenew()
	}
	if renewer && !k.renew(ctx) {
		k.read(ctx) // The write may have taken effect, or another renewer wrote.
	}
}

// read reads the view object and reports whether its state is known now.
func (k *Keeper) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sentAt := k.cfg.Now()
	obj, err := k.cfg.Store.Get(ctx, k.key())
	if errors.Is(err, platform.ErrNotFound) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.version, k.versionOK, k.objectEpoch = 0, true, 0
		return true
	}
	if err != nil {
		k.cfg.Log.Debug().Err(err).Msg("view not read")
		return false
	}
	v, err := view.Parse(obj.Value)
	if err == nil && v.Cell != k.cellName() {
		err = view.Error.New("view of cell %q in the object of cell %q", v.Cell, k.cellName())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.versionOK = false
		k.cfg.Log.Error().Err(err).Str("key", k.key()).Msg("view object is invalid, the last view stays in use")
		return false
	}
	if k.versionOK && obj.Version < k.version {
		return false
	}
	k.version, k.versionOK, k.objectEpoch = obj.Version, true, v.Epoch
	if v.Beat != k.lastBeat || k.beatAt.IsZero() {
		// The next step reads again, since only two reads tell a beat that stands still.
		k.watchBeat = !k.watchBeat
		k.lastBeat, k.beatAt = v.Beat, k.cfg.Now()
	}
	k.adopt(v, sentAt, 0)
	return true
}

// adopt takes over a view that was current age before sentAt, unless a newer
// epoch is known. The lock is held. A view that
// contradicts the one known under the same epoch confirms nothing; that happens
// only when the object was lost and rebuilt.
func (k *Keeper) adopt(v view.View, sentAt time.Time, age time.Duration) {
	switch {
	case v.Epoch < k.current.Epoch:
		return
	case v.Epoch > k.current.Epoch:
		k.current, k.maxEpoch = v, max(k.maxEpoch, v.Epoch)
		k.rightsBegin = view.RightsBegin(k.cfg.Now())
		k.cfg.Log.Info().Uint64("epoch", v.Epoch).Strs("members", v.Members).Msg("new view")
	case !slices.Equal(v.Members, k.current.Members):
		k.cfg.Log.Error().Uint64("epoch", v.Epoch).Msg("view differs under the same epoch, it is not confirmed")
		k.maxEpoch = max(k.maxEpoch, v.Epoch+1)
		return
	default:
		k.current.Beat, k.current.Renewer = max(v.Beat, k.current.Beat), v.Renewer
	}
	k.lease = k.lease.Confirm(v.Epoch, sentAt, age)
}

// NoteView applies what a peer's answer to a Sync call sent at sentAt said: the
// epoch it knows, the age of its confirmation and, if newer than this host's,
// the view as JSON.
func (k *Keeper) NoteView(epoch uint64, age view.Age, encoded []byte, sentAt time.Time) error {
	if !age.Known {
		// Without a confirmation the view still names the members to expect.
		age.Value = view.LeaseDuration
	}
	if len(encoded) > 0 {
		v, err := view.Parse(encoded)
		if err != nil {
			return err
		}
		if v.Cell != k.cellName() || v.Epoch != epoch {
			return view.Error.New("view of cell %q, epoch %d does not match heartbeat of epoch %d in cell %q", v.Cell, v.Epoch, epoch, k.cellName())
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		k.adopt(v, sentAt, age.Value)
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch == k.current.Epoch && epoch != 0 && age.Known {
		k.lease = k.lease.Confirm(epoch, sentAt, age.Value)
	}
	return nil
}

// mustRenew decides after a read whether this host writes: it is the renewer,
// the object is missing or rebuilt, or the beat has stood still.
func (k *Keeper) mustRenew() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.draining && k.current.Renewer != k.cfg.Self.ID {
		return false
	}
	// A lower epoch in the object than in memory means that it was lost and rebuilt.
	return k.objectEpoch < k.current.Epoch || k.version == 0 || k.current.Epoch < k.maxEpoch ||
		k.current.Renewer == k.cfg.Self.ID || k.cfg.Now().Sub(k.beatAt) >= view.TakeoverAfter
}

func (k *Keeper) nextView(now time.Time) view.View {
	in := view.NextInput{
		Now: now, Self: k.cfg.Self.ID, Cell: k.cellName(), SelfLeaving: k.draining, MinEpoch: k.maxEpoch,
	}
	// A list that does not even show this host lags too far to remove others.
	_, listed := k.host(k.cfg.Self.ID)
	in.ListKnown = listed && now.Sub(k.hostsAt) < hostListTrust
	seen := map[string]bool{}
	add := func(c view.Candidate) {
		if p := k.peers[c.Host]; p != nil {
			c.HeardAt, c.FailedCalls = p.contactAt, p.failed
		}
		seen[c.Host] = true
		in.Candidates = append(in.Candidates, c)
	}
	for _, h := range k.hosts {
		if h.Role == platform.RoleEntry && h.ID != k.cfg.Self.ID {
			add(view.Candidate{Host: h.ID, Listed: true, Leaving: k.isLeaving(h)})
		}
	}
	for _, m := range k.current.Members {
		if !seen[m] && m != k.cfg.Self.ID {
			add(view.Candidate{Host: m})
		}
	}
	return view.Next(k.current, in)
}

// renew writes the next view and reports success. A lost answer or a conflict
// leaves the version unknown, so that the object is read back.
func (k *Keeper) renew(ctx context.Context) bool {
	now := k.cfg.Now()
	k.mu.Lock()
	next, version := k.nextView(now), k.version
	k.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	written, err := k.cfg.Store.Put(callCtx, k.key(), version, next.Encode())
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		// An unanswered write may still have taken effect, so another view may be
		// current from now on; the next read tells.
		k.versionOK = false
		k.cfg.Log.Debug().Err(err).Msg("view not renewed")
		return false
	}
	k.version, k.versionOK, k.objectEpoch = written, true, next.Epoch
	k.lastBeat, k.beatAt, k.watchBeat = next.Beat, now, false
	k.adopt(next, now, 0)
	return true
}
