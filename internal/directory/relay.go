package directory

import (
	"context"
	"time"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// Only the store reader of a region watches the store. For a short time there can be
// several, while the hosts have different lists of live peers. The store reader relays
// changes and confirmations to the other hosts, the followers, so that the number of
// watch calls, which the platform charges for, does not grow with the number of hosts. A
// follower that receives no relayed updates for relayTimeout watches the store itself.

const (
	// relayTimeout is the largest age of the newest relayed update, counted from the
	// message of this host that it echoes: enough for two messages and a lost one. A host
	// that then calls the store itself still meets the bounds on terminating servers.
	relayTimeout = 1200 * time.Millisecond
	// relayedAgeMargin is how much older than a store reader's watch timeout a relayed
	// confirmation may be. Its age counts from when the reader's call was sent, so just
	// before the next confirmation it is two watch timeouts old, and the messages add
	// two gossip refresh intervals.
	relayedAgeMargin = 1600 * time.Millisecond
	// storeFailureMemory is how long after a failed call a host leaves the role of store
	// reader to other hosts.
	storeFailureMemory = 5 * time.Second
	// changeRetention is how long relayed updates repeat a change without Options.RelayTime, since gossip
	// messages can be lost.
	changeRetention = 2 * time.Second
	// followerPollInterval is how often a follower checks whether the relayed updates
	// still suffice.
	followerPollInterval = 150 * time.Millisecond
)

// RelayedChange is a change of a backend server or of a failure domain in a RelayedUpdate.
type RelayedChange struct {
	Name    string         `json:"n"`
	Deleted bool           `json:"d,omitempty"`
	Backend *fleet.Backend `json:"b,omitempty"`
}

// RelayedKind holds all changes of a kind later than revision After, up to Revision.
type RelayedKind struct {
	After    int64           `json:"s"`
	Revision int64           `json:"a"`
	Changes  []RelayedChange `json:"c,omitempty"`
}

// RelayedUpdate is what a store reader sends to the other hosts of its region. It is
// part of the gossip message.
type RelayedUpdate struct {
	// Version is that of the configuration, which was confirmed to be the newest
	// ConfirmedAgoMS before the message was encoded.
	Version        int64       `json:"v"`
	ConfirmedAgoMS int64       `json:"c"`
	Backends       RelayedKind `json:"b"`
	DomainsOut     RelayedKind `json:"d"`
	// RecentOutage is set when entries may have expired during a store outage.
	RecentOutage bool `json:"r,omitempty"`
}

// loggedBatch is a batch that a store reader relays for changeRetention.
type loggedBatch struct {
	revision int64
	changes  []Change
	readAt   time.Duration
}

// SetStoreReader sets whether this host is a store reader of its region.
func (d *Directory) SetStoreReader(reader bool) {
	if d.storeReader.Swap(reader) != reader {
		d.opts.Log.Info().Bool("reader", reader).Msg("store reader role changed")
	}
}

// RecentStoreFailure reports whether a call to the store failed within the last
// storeFailureMemory, so that another host should be the store reader.
func (d *Directory) RecentStoreFailure() bool {
	at := d.lastFailureAt.Load()
	return at != 0 && d.opts.Clock()-time.Duration(at) < storeFailureMemory
}

// IsStoreReader reports whether this host is a store reader of its region.
func (d *Directory) IsStoreReader() bool { return d.storeReader.Load() }

// RelayedUpdate returns the update to send to the followers, or nil if this host is no
// store reader or has not read the store yet.
func (d *Directory) RelayedUpdate() *RelayedUpdate {
	age, known := d.ConfigurationAge()
	if !d.storeReader.Load() || !known {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded[Backends] || !d.loaded[DomainsOut] {
		return nil
	}
	now := d.opts.Clock()
	return &RelayedUpdate{
		Version:        d.state.Table.Version,
		ConfirmedAgoMS: age.Milliseconds() + 1, // rounded up
		Backends:       d.relayedKind(Backends, now),
		DomainsOut:     d.relayedKind(DomainsOut, now),
		RecentOutage:   d.recoveredAt > 0 && now-d.recoveredAt < d.opts.AbsenceGrace,
	}
}

// relayedKind drops the expired batches from the log of a kind and returns the others.
func (d *Directory) relayedKind(kind Kind, now time.Duration) RelayedKind {
	retention := changeRetention
	if d.opts.RelayTime != nil {
		retention = d.opts.RelayTime()
	}
	kept := d.changeLog[kind][:0]
	for _, batch := range d.changeLog[kind] {
		if now-batch.readAt > retention {
			d.logStart[kind] = batch.revision
			continue
		}
		kept = append(kept, batch)
	}
	d.changeLog[kind] = kept
	out := RelayedKind{After: d.logStart[kind], Revision: d.cursor[kind]}
	for _, batch := range kept {
		for _, c := range batch.changes {
			relayed := RelayedChange{Name: c.Name, Deleted: c.Deleted}
			if c.Backend != nil {
				b := *c.Backend
				b.ColdLeft = max(0, b.ColdLeft-(now-batch.readAt))
				relayed.Backend = &b
			}
			out.Changes = append(out.Changes, relayed)
		}
	}
	return out
}

// ApplyRelayed applies an update of a store reader. echoSentAt is when this host sent
// the message that the update echoes: the reader had received that message before it
// encoded the update, so the update was current at echoSentAt or later.
func (d *Directory) ApplyRelayed(r *RelayedUpdate, echoSentAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	if r.RecentOutage && (d.recoveredAt == 0 || now-d.recoveredAt >= d.opts.AbsenceGrace) {
		d.recoveredAt = now
	}
	d.applyRelayedKind(Backends, r.Backends)
	d.applyRelayedKind(DomainsOut, r.DomainsOut)
	d.relayEchoSentAt = max(d.relayEchoSentAt, echoSentAt)
	if d.state.Table == nil {
		return
	}
	if r.Version > d.state.Table.Version {
		d.behind[Configuration] = true
		return
	}
	confirmed := echoSentAt - time.Duration(r.ConfirmedAgoMS)*time.Millisecond
	if int64(confirmed) > d.confirmedAt.Load() {
		d.confirmedAt.Store(int64(confirmed))
	}
	d.relayedConfirmedAt = max(d.relayedConfirmedAt, confirmed)
}

// applyRelayedKind applies the changes of a kind if none is missing before them, and
// otherwise sets behind.
func (d *Directory) applyRelayedKind(kind Kind, r RelayedKind) {
	if !d.loaded[kind] || r.Revision <= d.cursor[kind] {
		return
	}
	if r.After > d.cursor[kind] {
		d.behind[kind] = true
		return
	}
	changed := false
	for _, c := range r.Changes {
		if d.applyChange(kind, Change{Name: c.Name, Deleted: c.Deleted, Backend: c.Backend}) {
			changed = true
		}
	}
	d.cursor[kind] = r.Revision
	// Relayed changes are not relayed again. If this host becomes a store reader, its
	// updates cover only what it read from the store after this revision.
	d.logStart[kind], d.changeLog[kind] = r.Revision, nil
	if changed {
		d.publish()
	}
}

// relayStatus reports whether relayed updates can replace this host's own calls, and
// whether changes of a kind are missing that they no longer contain.
func (d *Directory) relayStatus(kind Kind) (relayed, behind bool) {
	if d.storeReader.Load() {
		return false, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	relayed = d.relayedConfirmedAt > 0 && now-d.relayedConfirmedAt < relayedAgeMargin+d.opts.WatchTimeouts[Configuration] && now-d.relayEchoSentAt < relayTimeout
	if relayed != d.following[kind] {
		d.following[kind] = relayed
		d.opts.Log.Info().Stringer("kind", kind).Bool("relayed", relayed).Dur("heard_ago", now-d.relayEchoSentAt).
			Dur("confirmed_ago", now-d.relayedConfirmedAt).Msg("switched between relayed updates and own store calls")
	}
	return relayed, d.behind[kind]
}

// waitWhileRelayed waits while relayed updates suffice. It returns the timeout of the
// watch call that must follow; 1 ms if changes are missing, since the store has them
// already.
func (d *Directory) waitWhileRelayed(ctx context.Context, kind Kind) time.Duration {
	for ctx.Err() == nil {
		relayed, behind := d.relayStatus(kind)
		switch {
		case !relayed:
			return d.opts.WatchTimeouts[kind]
		case behind:
			return time.Millisecond
		}
		wait.For(ctx, followerPollInterval)
	}
	return 0
}
