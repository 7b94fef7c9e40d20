package directory

import (
	"maps"
	"time"

	"monsoonkeel.example/monsoonkeel/core/fleet"
)

// apply applies a batch to a new snapshot; callSent is when the call that returned it
// was sent. A list (full) also removes the objects that it does not contain.
func (d *Directory) apply(kind Kind, batch Batch, full bool, callSent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case batch.Revision < d.cursor[kind]:
		// The answer may have been held up on its way.
		d.opts.Log.Info().Stringer("kind", kind).Int64("era", EraOf(batch.Revision)).Int64("revision", StoreRevision(batch.Revision)).
			Int64("known_era", EraOf(d.cursor[kind])).Int64("known", StoreRevision(d.cursor[kind])).
			Msg("answer of the store is older than what other hosts relayed, applying only what is new in it")
	case full:
		delete(d.listDue, kind)
		delete(d.askedAt, kind)
	}
	if d.applyBatch(kind, Batch{Changes: lastChanges(batch), Revision: batch.Revision}, full, false) {
		d.publish()
	}
	if kind == Configuration && d.state.Table != nil && int64(callSent) > d.confirmedAt.Load() {
		// Stored after the snapshot is published: a request that reads the new time
		// also finds the table that it confirms.
		d.confirmedAt.Store(int64(callSent))
	}
}

// lastChanges returns the last change of each object in an answer of the store, with its revision. A removal is known as of
// the whole answer: the store does not say when in it the object was removed.
func lastChanges(batch Batch) []Change {
	last := make(map[string]int, len(batch.Changes))
	for i, c := range batch.Changes {
		last[c.Name] = i
	}
	kept := make([]Change, 0, len(last))
	earlier := make(map[string]bool, len(last))
	for i, c := range batch.Changes {
		if last[c.Name] == i {
			if c.Deleted || c.Revision == 0 {
				c.Revision = batch.Revision
			}
			c.replaces = earlier[c.Name]
			kept = append(kept, c)
		}
		earlier[c.Name] = true
	}
	return kept
}

// applyBatch merges a batch into what is known of the store, moves the cursor of its kind and logs what other hosts may lack.
// It reports whether the state changed. The log has what differs in the store, which this host may judge otherwise, also where
// this host cannot know whether the object was another one in between: a relayed change, or the last of several.
func (d *Directory) applyBatch(kind Kind, batch Batch, full, relayed bool) bool {
	known := d.loaded[kind]
	if known && EraOf(batch.Revision) > EraOf(d.cursor[kind]) {
		d.beginEra(kind, batch.Revision)
	}
	changed := !known
	if kind == Configuration {
		for _, c := range batch.Changes {
			changed = d.applyConfiguration(c) || changed
		}
		d.advance(kind, batch.Revision)
		return changed
	}
	set, absentAt, now := d.objects[kind], d.cursor[kind], d.opts.Clock()
	if full {
		if batch.Revision >= d.cursor[kind] {
			absentAt = -1 // the list decides
		}
		if kind != Hosts || d.eraBeganAt == 0 || now-d.eraBeganAt >= lostEntryGrace {
			batch.Changes = append(batch.Changes, set.unlisted(kind, batch)...)
		}
	}
	var logged []string
	for _, c := range batch.Changes {
		if c.Revision == 0 {
			c.Revision = batch.Revision
		}
		former := EraOf(set.objects[c.Name].Revision)
		taken, differs := set.merge(c, absentAt, now)
		if !taken {
			continue
		}
		if kind == DomainsOut && c.Deleted && former < EraOf(c.Revision) && d.state.DomainsOut[c.Name] {
			d.keepDomainOut(c.Name, now)
		} else {
			changed = d.applyChange(kind, c) || changed
		}
		if differs || c.Deleted || c.replaces || relayed && !full {
			logged = append(logged, c.Name)
		}
	}
	set.forget(now)
	switch {
	case !known, full && kind != Hosts && batch.Revision >= d.cursor[kind]:
		// Changes before the list are unknown and cannot be relayed.
		d.changeLog[kind], d.logStart[kind] = nil, batch.Revision
	case len(logged) > 0:
		d.changeLog[kind] = append(d.changeLog[kind], loggedBatch{revision: batch.Revision, names: logged, readAt: now})
	}
	d.advance(kind, batch.Revision)
	return changed
}

// beginEra notes that a kind is read for the first time since the store came back from an older copy.
func (d *Directory) beginEra(kind Kind, revision int64) {
	former := d.cursor[kind]
	d.opts.Log.Warn().Stringer("kind", kind).Int64("era", EraOf(revision)).Int64("revision", StoreRevision(revision)).
		Int64("former_era", EraOf(former)).Int64("former_revision", StoreRevision(former)).
		Msg("the store came back from an older copy: what is known of it is replaced")
	if kind == Backends {
		d.recoveredAt = d.opts.Clock() // servers whose entries are lost register again
	}
	if EraOf(revision) > d.era {
		d.era, d.eraBeganAt = EraOf(revision), d.opts.Clock()
		d.Metrics.Add("new_eras", 1)
		select {
		case d.entryLost <- struct{}{}:
		default:
		}
	}
}

// advance records that all changes of a kind up to a revision are applied.
func (d *Directory) advance(kind Kind, revision int64) {
	d.loaded[kind] = true
	if revision >= d.cursor[kind] {
		d.cursor[kind] = revision
		d.setBehind(kind, false)
	}
}

func (d *Directory) applyChange(kind Kind, c Change) bool {
	switch kind {
	case Backends:
		return d.applyBackend(c)
	case DomainsOut:
		return d.applyDomain(c)
	case Rollouts:
		return d.applyRollout(c)
	default:
		return d.applyHost(c)
	}
}

func (d *Directory) applyConfiguration(c Change) bool {
	current := d.state.Table
	if c.Table == nil || current != nil && c.Table.Version < current.Version {
		return false
	}
	if current == nil || c.Table.Version > current.Version {
		d.rawConfiguration = c.Raw
	}
	d.state.Table = c.Table
	d.opts.Log.Info().Int64("version", c.Table.Version).Msg("configuration applied")
	return true
}

// keepDomainOut keeps a failure domain out of service for lostEntryGrace although the store, which came back from an older copy, has
// lost its entry: the operator may write it again.
func (d *Directory) keepDomainOut(name string, now time.Duration) {
	if _, missing := d.domainMissingSince[name]; missing {
		return
	}
	d.domainMissingSince[name] = now
	d.opts.Log.Warn().Str("domain", name).Dur("for", lostEntryGrace).
		Msg("the store came back without the entry of a failure domain that is out of service, keeping it out for now")
}

func (d *Directory) applyDomain(c Change) bool {
	delete(d.domainMissingSince, c.Name)
	if d.state.DomainsOut[c.Name] == !c.Deleted {
		return false
	}
	out := make(map[string]bool, len(d.state.DomainsOut)+1)
	for name := range d.state.DomainsOut {
		out[name] = true
	}
	if c.Deleted {
		delete(out, c.Name)
	} else {
		out[c.Name] = true
	}
	d.state.DomainsOut = out
	d.opts.Log.Info().Str("domain", c.Name).Bool("out", !c.Deleted).Msg("failure domain taken out of service or returned")
	return true
}

// applyRollout applies a request for a roll-out. One that is unusable changes nothing: traffic that has moved stays where it is.
func (d *Directory) applyRollout(c Change) bool {
	known, ok := d.state.Rollouts[c.Name]
	switch {
	case !c.Deleted && c.Rollout == nil:
		d.opts.Log.Warn().Str("service", c.Name).Bool("known", ok).Msg("unusable store entry of a roll-out, keeping what is known")
		return false
	case c.Deleted && !ok, !c.Deleted && ok && known == *c.Rollout:
		return false
	}
	rollouts := make(map[string]fleet.Rollout, len(d.state.Rollouts)+1)
	maps.Copy(rollouts, d.state.Rollouts)
	if c.Deleted {
		delete(rollouts, c.Name)
		d.opts.Log.Info().Str("service", c.Name).Str("target", known.Target).Msg("request for a roll-out removed")
	} else {
		rollouts[c.Name] = *c.Rollout
		d.opts.Log.Info().Str("service", c.Name).Str("target", c.Rollout.Target).Str("state", string(c.Rollout.State)).
			Int64("revision", c.Rollout.Revision).Msg("request for a roll-out added or changed")
	}
	d.state.Rollouts = rollouts
	return true
}

func (d *Directory) applyHost(c Change) bool {
	known, ok := d.state.Hosts[c.Name]
	if c.Host != nil && ok && known == *c.Host || c.Host == nil && !ok {
		return false
	}
	if !d.ownsHosts {
		d.state.Hosts, d.ownsHosts = maps.Clone(d.state.Hosts), true
	}
	if c.Host == nil {
		delete(d.state.Hosts, c.Name)
	} else {
		d.state.Hosts[c.Name] = *c.Host
	}
	return true
}

func (d *Directory) applyBackend(c Change) bool {
	now := d.opts.Clock()
	old := d.state.Servers[c.Name]
	if c.Backend == nil {
		return d.applyRemoval(c, old, now)
	}
	delete(d.missingSince, c.Name)
	delete(d.removedAt, c.Name)
	s := &Server{Backend: *c.Backend, ColdUntil: now + c.Backend.ColdLeft}
	if old != nil && old.SameProcess(s.Backend) {
		// A process never withdraws its termination notice.
		s.Leaving, s.NoticeHere = s.Leaving || old.Leaving, old.NoticeHere
		if s.Leaving {
			s.TerminatingSince = old.TerminatingSince
		}
		if old.Terminating() == s.Terminating() && old.Slots == s.Slots && old.Version == s.Version && !old.Removed {
			return false
		}
	}
	d.setServer(c.Name, s)
	d.opts.Log.Info().Str("backend", c.Name).Str("service", s.Service).Str("domain", s.Domain).
		Bool("leaving", s.Leaving).Dur("cold_left", s.ColdLeft).Msg("backend server added or changed")
	return true
}

// applyRemoval handles an entry that was deleted or is unusable. For AbsenceGrace after
// a store outage, servers whose entries expired meanwhile may register again.
func (d *Directory) applyRemoval(c Change, old *Server, now time.Duration) bool {
	if !c.Deleted {
		d.opts.Log.Warn().Str("backend", c.Name).Msg("unusable store entry of a backend server")
	}
	if old == nil || old.Removed {
		return false
	}
	if _, missing := d.missingSince[c.Name]; missing {
		return false
	}
	if c.Deleted && d.recoveredAt > 0 && now-d.recoveredAt < d.opts.AbsenceGrace {
		d.missingSince[c.Name] = now
		d.opts.Log.Info().Str("backend", c.Name).Msg("entry of a backend server missing after a store outage, waiting for it to register")
		return false
	}
	d.markRemoved(c.Name, old, now)
	return true
}

func (d *Directory) markRemoved(id string, old *Server, now time.Duration) {
	s := *old
	s.Removed = true
	d.setServer(id, &s)
	d.removedAt[id] = now
	d.opts.Log.Info().Str("backend", id).Str("service", s.Service).Bool("leaving", s.Leaving).Msg("backend server removed")
}

// setServer replaces a server in a copy of the map that the last snapshot has; a nil server is deleted.
func (d *Directory) setServer(id string, s *Server) {
	if s != nil && s.Terminating() && s.TerminatingSince == 0 {
		s.TerminatingSince = d.opts.Clock()
	}
	if !d.ownsServers {
		d.state.Servers, d.ownsServers = maps.Clone(d.state.Servers), true
	}
	if s == nil {
		delete(d.state.Servers, id)
	} else {
		d.state.Servers[id] = s
	}
}

func (d *Directory) publish() {
	next := d.state
	next.Complete = d.loaded[Configuration] && d.loaded[Backends] && d.loaded[DomainsOut] && next.Table != nil &&
		(!d.opts.Rollouts || d.loaded[Rollouts])
	d.ownsServers, d.ownsHosts = false, false
	old := d.snapshot.Swap(&next)
	if d.opts.OnChange != nil {
		d.opts.OnChange(old, &next)
	}
}
