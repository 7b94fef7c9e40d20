package directory

import (
	"context"
	"time"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// Few hosts of a region read the store; they relay what they read to the others,
// so that the calls to the store, each of which is paid for, do not grow with
// the hosts. A host whose relays fall silent reads for itself.

const (
	// relaySilence is how old the newest relayed message may be, counted from the
	// message of this host that it answers: two messages and a lost one. With a
	// call of its own, a host stays below the bounds on leaving servers.
	relaySilence = 1200 * time.Millisecond
	// relayedAge is how much older than a reader's wait a relayed confirmation may
	// be: it counts from when the reader's call was sent, so just before the next
	// one it is two waits old, and the messages add two quiet intervals.
	relayedAge = 1600 * time.Millisecond
	// unfitFor is how long a host whose call failed leaves the reading to others.
	unfitFor = 5 * time.Second
	// relayedChanges is for how long a change is repeated in relayed messages,
	// since some of these are lost.
	relayedChanges = 2 * time.Second
	// followPause is how often a host that follows a relay looks for work left.
	followPause = 150 * time.Millisecond
)

// RelayedChange is a change of a backend server or of a failure domain.
type RelayedChange struct {
	Name    string         `json:"n"`
	Deleted bool           `json:"d,omitempty"`
	Backend *fleet.Backend `json:"b,omitempty"`
}

// RelayedKind holds the changes of a kind after revision Since up to At.
type RelayedKind struct {
	After    int64           `json:"s"`
	Revision int64           `json:"a"`
	Changes  []RelayedChange `json:"c,omitempty"`
}

// RelayedUpdate is what a reader of the store tells the other hosts of its region.
type RelayedUpdate struct {
	// Version is that of the configuration, which was known to be the newest
	// ConfirmedAgoMS before the message was made.
	Version        int64       `json:"v"`
	ConfirmedAgoMS int64       `json:"c"`
	Backends       RelayedKind `json:"b"`
	DomainsOut     RelayedKind `json:"d"`
	// RecentOutage says that entries may be missing because the store was away.
	RecentOutage bool `json:"r,omitempty"`
}

// logged is a batch that a reader relays for a while.
type logged struct {
	at      int64
	changes []Change
	read    time.Duration
}

// SetStoreReader says whether this host reads the store for others of its region.
func (d *Directory) SetStoreReader(reader bool) {
	if d.reader.Swap(reader) != reader {
		d.opts.Log.Info().Bool("reader", reader).Msg("reads the store for others")
	}
}

// RecentStoreFailure reports whether a call to the store failed lately, so that another host
// should read it for the region.
func (d *Directory) RecentStoreFailure() bool {
	at := d.failedAt.Load()
	return at != 0 && d.opts.Clock()-time.Duration(at) < unfitFor
}

// IsStoreReader reports whether this host reads the store for others.
func (d *Directory) IsStoreReader() bool { return d.reader.Load() }

// RelayedUpdate returns what this host tells the others, or nil if it is no reader or
// knows nothing yet.
func (d *Directory) RelayedUpdate() *RelayedUpdate {
	age, known := d.ConfigurationAge()
	if !d.reader.Load() || !known {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.read[Backends] || !d.read[DomainsOut] {
		return nil
	}
	now := d.opts.Clock()
	return &RelayedUpdate{
		Version:        d.state.Table.Version,
		ConfirmedAgoMS: age.Milliseconds() + 1, // rounded up
		Backends:       d.relayedKind(Backends, now),
		DomainsOut:     d.relayedKind(DomainsOut, now),
		RecentOutage:   d.regained > 0 && now-d.regained < d.opts.AbsenceGrace,
	}
}

func (d *Directory) relayedKind(kind Kind, now time.Duration) RelayedKind {
	kept := d.logs[kind][:0]
	for _, batch := range d.logs[kind] {
		if now-batch.read > relayedChanges {
			d.base[kind] = batch.at
			continue
		}
		kept = append(kept, batch)
	}
	d.logs[kind] = kept
	out := RelayedKind{After: d.base[kind], Revision: d.cursor[kind]}
	for _, batch := range kept {
		for _, c := range batch.changes {
			relayed := RelayedChange{Name: c.Name, Deleted: c.Deleted}
			if c.Backend != nil {
				b := *c.Backend
				b.ColdLeft = max(0, b.ColdLeft-(now-batch.read))
				relayed.Backend = &b
			}
			out.Changes = append(out.Changes, relayed)
		}
	}
	return out
}

// ApplyRelayed takes over what a reader told. answers is when this host sent the
// message that the reader had got before it made its own: whatever the reader
// says was true at that time or later.
func (d *Directory) ApplyRelayed(r *RelayedUpdate, answers time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	if r.RecentOutage && (d.regained == 0 || now-d.regained >= d.opts.AbsenceGrace) {
		d.regained = now
	}
	d.applyRelayed(Backends, r.Backends)
	d.applyRelayed(DomainsOut, r.DomainsOut)
	d.heardAt = max(d.heardAt, answers)
	if d.state.Table == nil {
		return
	}
	if r.Version > d.state.Table.Version {
		d.behind[Configuration] = true
		return
	}
	confirmed := answers - time.Duration(r.ConfirmedAgoMS)*time.Millisecond
	if int64(confirmed) > d.confirmed.Load() {
		d.confirmed.Store(int64(confirmed))
	}
	d.relayedAt = max(d.relayedAt, confirmed)
}

// applyRelayed takes over the changes of a kind if none is missing before them.
func (d *Directory) applyRelayed(kind Kind, r RelayedKind) {
	if !d.read[kind] || r.Revision <= d.cursor[kind] {
		return
	}
	if r.After > d.cursor[kind] {
		d.behind[kind] = true
		return
	}
	changed := false
	for _, c := range r.Changes {
		if d.applyOne(kind, Change{Name: c.Name, Deleted: c.Deleted, Backend: c.Backend}) {
			changed = true
		}
	}
	d.cursor[kind] = r.Revision
	// What was relayed is not relayed again: should this host become a reader,
	// it vouches for what it reads from here on.
	d.base[kind], d.logs[kind] = r.Revision, nil
	if changed {
		d.publish()
	}
}

// follows reports whether this host may leave the store to its readers, and
// whether they cannot give it what it lacks of a kind.
func (d *Directory) follows(kind Kind) (relayed, behind bool) {
	if d.reader.Load() {
		return false, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	relayed = d.relayedAt > 0 && now-d.relayedAt < relayedAge+d.opts.WatchTimeouts[Configuration] && now-d.heardAt < relaySilence
	if relayed != d.relayed[kind] {
		d.relayed[kind] = relayed
		d.opts.Log.Info().Stringer("kind", kind).Bool("relayed", relayed).Dur("heard_ago", now-d.heardAt).
			Dur("confirmed_ago", now-d.relayedAt).Msg("relay changed")
	}
	return relayed, d.behind[kind]
}

// awaitRelay waits while the relays suffice. It returns how long the next call
// may wait.
func (d *Directory) awaitRelay(ctx context.Context, kind Kind) time.Duration {
	for ctx.Err() == nil {
		relayed, behind := d.follows(kind)
		switch {
		case !relayed:
			return d.opts.WatchTimeouts[kind]
		case behind:
			return time.Millisecond
		}
		wait.For(ctx, followPause)
	}
	return 0
}
