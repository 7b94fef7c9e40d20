package directory

import (
	"context"
	"fmt"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// Only the store reader of a region, in a large deployment that of a group, watches the store. For a short time there can
// be several, while the hosts have different lists of live peers. The store reader relays
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
	// catchUpTime is how long a host waits for changes that it lacks before it calls the store: other hosts learn of
	// the versions that it has from its messages.
	catchUpTime = 700 * time.Millisecond
	// logRetention and maxLoggedBatches limit the log of changes, from which hosts get those that they lack.
	logRetention     = 5 * time.Second
	maxLoggedBatches = 256
	// changeRetention is how long relayed updates repeat a change without Options.RelayTime, since gossip
	// messages can be lost.
	changeRetention = 2 * time.Second
	// followerPollInterval is how often a follower checks whether the relayed updates
	// still suffice.
	followerPollInterval = 150 * time.Millisecond
)

// RelayedKind holds the changes of a kind later than revision After, up to Revision. With Full set, they are all objects
// of the kind.
type RelayedKind struct {
	After, Revision int64
	Full            bool
	Changes         []Change
}

// RelayedUpdate is what a host passes on from the store to other hosts. It is part of the gossip message.
type RelayedUpdate struct {
	// Version is that of the configuration, which was confirmed to be the newest
	// ConfirmedAgo before the message was encoded.
	Version      int64
	ConfirmedAgo time.Duration
	Backends     RelayedKind
	DomainsOut   RelayedKind
	Hosts        RelayedKind
	Rollouts     RelayedKind
	// RecoveredAgo is the time since the end of the last store outage, in which entries may have expired; 0 if it is
	// longer than AbsenceGrace.
	RecoveredAgo time.Duration
	// Configuration is the configuration as the store holds it, for a host that lacks it.
	Configuration []byte
}

// Versions are the versions up to which a host has the configuration and the changes of the other kinds; 0 for
// none.
type Versions struct {
	Configuration, Backends, DomainsOut, Hosts, Rollouts int64
	// The digests identify the objects that a host knows at these versions. Two hosts with the same version of a kind and
	// different digests do not both have what the store has.
	BackendsDigest, DomainsOutDigest, HostsDigest, RolloutsDigest uint64
}

// loggedBatch is a batch that is relayed to other hosts for a time.
type loggedBatch struct {
	revision int64
	names    []string
	readAt   time.Duration
}

// relayedKinds are the kinds whose changes are relayed one by one in every deployment. Directory.relayed are those of one.
var relayedKinds = []Kind{Backends, DomainsOut, Hosts}

// of returns the part of an update for one of the kinds whose changes are relayed.
func (r *RelayedUpdate) of(kind Kind) *RelayedKind {
	switch kind {
	case Backends:
		return &r.Backends
	case DomainsOut:
		return &r.DomainsOut
	case Rollouts:
		return &r.Rollouts
	default:
		return &r.Hosts
	}
}

// Of returns the version and the digest of one of the kinds whose changes are relayed.
func (v Versions) Of(kind Kind) (revision int64, digest uint64) {
	switch kind {
	case Backends:
		return v.Backends, v.BackendsDigest
	case DomainsOut:
		return v.DomainsOut, v.DomainsOutDigest
	case Rollouts:
		return v.Rollouts, v.RolloutsDigest
	default:
		return v.Hosts, v.HostsDigest
	}
}

// DiffersFrom reports whether two hosts with these versions have other objects at the same version of a kind.
func (v Versions) DiffersFrom(o Versions) bool {
	return v.DiffersAt(Rollouts, o) || slices.ContainsFunc(relayedKinds, func(kind Kind) bool { return v.DiffersAt(kind, o) })
}

// DiffersAt reports whether two hosts with these versions have the same version of a kind, but not the same objects.
func (v Versions) DiffersAt(kind Kind, o Versions) bool {
	revision, digest := v.Of(kind)
	otherRevision, otherDigest := o.Of(kind)
	return revision > 0 && revision == otherRevision && digest != otherDigest
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
func (d *Directory) IsStoreReader() bool {
	return d.storeReader.Load() && d.opts.Clock() >= time.Duration(d.readsFrom.Load())
}

// SetRelaying sets whether this host passes on what it knows of the store although it is no store reader.
func (d *Directory) SetRelaying(relaying bool) { d.relaying.Store(relaying) }

// SetReadersNamed sets whether an aggregator names the store readers. This host then calls the store only if it
// hears no aggregator, however old the confirmation of the configuration is: the named readers make the calls.
func (d *Directory) SetReadersNamed(named bool) { d.readersNamed.Store(named) }

// Relays reports whether this host passes on what it knows of the store.
func (d *Directory) Relays() bool { return d.IsStoreReader() || d.relaying.Load() }

// Versions returns the versions up to which this host has each kind.
func (d *Directory) Versions() Versions {
	d.mu.Lock()
	defer d.mu.Unlock()
	var v Versions
	if d.state.Table != nil {
		v.Configuration = d.state.Table.Version
	}
	for _, kind := range d.relayed {
		if _, asked := d.askedAt[kind]; !d.loaded[kind] || asked {
			continue
		}
		revision, digest := d.cursor[kind], d.objects[kind].digest
		switch kind {
		case Backends:
			v.Backends, v.BackendsDigest = revision, digest
		case DomainsOut:
			v.DomainsOut, v.DomainsOutDigest = revision, digest
		case Hosts:
			v.Hosts, v.HostsDigest = revision, digest
		case Rollouts:
			v.Rollouts, v.RolloutsDigest = revision, digest
		}
	}
	return v
}

// RelayedUpdate returns the update for all followers, or nil if this host relays none or has not read the store yet.
func (d *Directory) RelayedUpdate() *RelayedUpdate {
	age, known := d.ConfigurationAge()
	if !d.Relays() || !known {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded[Backends] || !d.loaded[DomainsOut] {
		return nil
	}
	now := d.opts.Clock()
	r := &RelayedUpdate{
		Version:      d.state.Table.Version,
		ConfirmedAgo: age + time.Millisecond, // messages have whole milliseconds
	}
	if d.recoveredAt > 0 && now-d.recoveredAt < d.opts.AbsenceGrace {
		r.RecoveredAgo = now - d.recoveredAt + time.Millisecond
	}
	retention := changeRetention
	if d.opts.RelayTime != nil {
		retention = d.opts.RelayTime()
	}
	for _, kind := range d.relayed {
		d.expireLog(kind, now)
		after := d.logStart[kind]
		for _, batch := range d.changeLog[kind] {
			if now-batch.readAt > retention {
				after = batch.revision
			}
		}
		if d.loaded[kind] {
			*r.of(kind) = d.changesAfter(kind, after, now)
		}
	}
	return r
}

// Missing returns what a host with these versions lacks and RelayedUpdate may no longer contain, or nil. A host that has other
// objects at the same version gets all.
func (d *Directory) Missing(v Versions) *RelayedUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, missing := &RelayedUpdate{}, false
	if d.state.Table != nil && v.Configuration < d.state.Table.Version && d.rawConfiguration != nil {
		r.Version, r.Configuration, missing = d.state.Table.Version, d.rawConfiguration, true
	}
	now := d.opts.Clock()
	for _, kind := range d.relayed {
		known, digest := v.Of(kind)
		known = inEraOf(d.cursor[kind], known)
		switch {
		case !d.loaded[kind] || known > d.cursor[kind]:
		case known < d.cursor[kind]:
			*r.of(kind) = d.changesAfter(kind, known, now)
			missing = true
		case digest != d.objects[kind].digest:
			*r.of(kind) = d.allObjects(kind, now)
			missing = true
		}
	}
	if !missing {
		return nil
	}
	return r
}

// expireLog drops the batches of a kind that are too old to be relayed.
func (d *Directory) expireLog(kind Kind, now time.Duration) {
	log := d.changeLog[kind]
	for len(log) > 0 && (now-log[0].readAt > logRetention || len(log) > maxLoggedBatches) {
		d.logStart[kind] = log[0].revision
		log = log[1:]
	}
	d.changeLog[kind] = log
}

// changesAfter returns the changes of a kind after a revision, or all objects if the log does not have them.
func (d *Directory) changesAfter(kind Kind, after int64, now time.Duration) RelayedKind {
	if after < d.logStart[kind] || after == 0 {
		return d.allObjects(kind, now)
	}
	out := RelayedKind{After: after, Revision: d.cursor[kind]}
	added := map[string]bool{}
	for _, batch := range d.changeLog[kind] {
		if batch.revision <= after {
			continue
		}
		for _, name := range batch.names {
			if o, ok := d.objects[kind].objects[name]; ok && !added[name] {
				added[name] = true
				out.Changes = append(out.Changes, o.relayed(now))
			}
		}
	}
	return out
}

// allObjects returns all objects of a kind.
func (d *Directory) allObjects(kind Kind, now time.Duration) RelayedKind {
	out := RelayedKind{Full: true, Revision: d.cursor[kind]}
	for _, o := range d.objects[kind].objects {
		if !o.Deleted {
			out.Changes = append(out.Changes, o.relayed(now))
		}
	}
	return out
}

// relayed returns an object as other hosts get it.
func (o object) relayed(now time.Duration) Change {
	c := o.Change
	c.replaces = false
	if c.Backend != nil {
		b := *c.Backend
		b.ColdLeft = max(0, b.ColdLeft-(now-o.readAt))
		c.Backend = &b
	}
	return c
}

// ApplyRelayed applies an update of another host. echoSentAt is when this host sent
// the message that the update echoes: the sender had received that message before it
// encoded the update, so the update was current at echoSentAt or later. It is 0 if the update echoes none; the
// update then says nothing of the time.
func (d *Directory) ApplyRelayed(r *RelayedUpdate, echoSentAt time.Duration) {
	table := d.decodeRelayed(r)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	if r.RecoveredAgo > 0 {
		d.recoveredAt = max(d.recoveredAt, now-r.RecoveredAgo)
	}
	changed := false
	if table != nil {
		changed = d.applyConfiguration(Change{Table: table, Raw: r.Configuration})
		d.loaded[Configuration] = true
	}
	for _, kind := range d.relayed {
		changed = d.applyRelayedKind(kind, *r.of(kind)) || changed
	}
	if changed {
		d.publish()
	}
	d.relayEchoSentAt = max(d.relayEchoSentAt, echoSentAt)
	if r.Rollouts.Revision > 0 {
		d.rolloutsEchoSentAt = max(d.rolloutsEchoSentAt, echoSentAt)
	}
	if d.state.Table == nil {
		return
	}
	d.namedVersion = max(d.namedVersion, r.Version)
	d.setBehind(Configuration, r.Version > d.state.Table.Version || d.behind[Configuration] && d.namedVersion > d.state.Table.Version)
	if r.Version != d.state.Table.Version || echoSentAt == 0 {
		return
	}
	confirmed := echoSentAt - r.ConfirmedAgo
	if int64(confirmed) > d.confirmedAt.Load() {
		d.confirmedAt.Store(int64(confirmed))
	}
	d.relayedConfirmedAt = max(d.relayedConfirmedAt, confirmed)
}

// decodeRelayed returns the configuration of an update if it is newer than that of this host; otherwise nil.
func (d *Directory) decodeRelayed(r *RelayedUpdate) *route.Table {
	current := d.Snapshot().Table
	if r.Configuration == nil || current != nil && current.Version >= r.Version {
		return nil
	}
	table, err := d.opts.Store.DecodeConfiguration(r.Configuration)
	if err == nil && table.Version != r.Version {
		err = fmt.Errorf("version %d, expected %d", table.Version, r.Version)
	}
	if err != nil {
		d.opts.Log.Error().Err(err).Int64("version", r.Version).Msg("relayed configuration cannot be decoded")
		return nil
	}
	return table
}

// applyRelayedKind applies the changes of a kind if none is missing before them, and
// otherwise sets behind. It reports whether the state changed.
func (d *Directory) applyRelayedKind(kind Kind, r RelayedKind) (changed bool) {
	r = r.inEraOf(d.cursor[kind])
	switch {
	case r.Revision == 0 || d.loaded[kind] && r.Revision < d.cursor[kind]:
		return false
	case r.Full:
		delete(d.askedAt, kind)
	case !d.loaded[kind], r.Revision == d.cursor[kind]:
		return false
	case r.After > d.cursor[kind]:
		d.setBehind(kind, true)
		return false
	}
	return d.applyBatch(kind, Batch{Changes: r.Changes, Revision: r.Revision}, r.Full, true)
}

// inEraOf returns r with the era of a known revision if it has none; see inEraOf.
func (r RelayedKind) inEraOf(known int64) RelayedKind {
	if EraOf(r.Revision) > 0 || EraOf(known) == 0 {
		return r
	}
	r.After, r.Revision = inEraOf(known, r.After), inEraOf(known, r.Revision)
	r.Changes = slices.Clone(r.Changes)
	for i, c := range r.Changes {
		r.Changes[i].Revision = inEraOf(known, c.Revision)
	}
	return r
}

// setBehind sets whether changes of a kind are missing.
func (d *Directory) setBehind(kind Kind, behind bool) {
	if behind && !d.behind[kind] {
		d.behindSince[kind] = d.opts.Clock()
	}
	d.behind[kind] = behind
}

// relayStatus reports whether relayed updates can replace this host's own calls, and
// whether changes of a kind are missing that they no longer contain.
func (d *Directory) relayStatus(kind Kind) (relayed, behind bool) {
	if d.IsStoreReader() {
		return false, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	confirmed := d.relayedConfirmedAt > 0 && now-d.relayedConfirmedAt < relayedAgeMargin+d.opts.WatchTimeouts[Configuration]
	heardAt := d.relayEchoSentAt
	if kind == Rollouts {
		heardAt = d.rolloutsEchoSentAt
	}
	relayed = now-heardAt < relayTimeout && (confirmed || d.readersNamed.Load())
	if d.listIsDueAt(kind, now) {
		return relayed, true
	}
	if relayed != d.following[kind] {
		d.following[kind] = relayed
		d.opts.Log.Info().Stringer("kind", kind).Bool("relayed", relayed).Dur("heard_ago", now-heardAt).
			Dur("confirmed_ago", now-d.relayedConfirmedAt).Msg("switched between relayed updates and own store calls")
	}
	return relayed, d.behind[kind] && now-d.behindSince[kind] >= catchUpTime
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
