package directory

import (
	"maps"
	"time"
)

// apply applies a batch to a new snapshot; callSent is when the call that returned it
// was sent. A list (full) also removes the objects that it does not contain.
func (d *Directory) apply(kind Kind, batch Batch, full bool, callSent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case batch.Revision < d.cursor[kind]:
		// Relayed changes have overtaken the answer, which may have been held up on its way.
		d.opts.Log.Info().Stringer("kind", kind).Int64("revision", batch.Revision).Int64("known", d.cursor[kind]).
			Msg("answer of the store is older than what other hosts relayed, ignoring it")
	case d.applyBatch(kind, Batch{Changes: lastChanges(batch.Changes), Revision: batch.Revision}, full, false):
		d.publish()
	}
	if kind == Configuration && d.state.Table != nil && int64(callSent) > d.confirmedAt.Load() {
		// Stored after the snapshot is published: a request that reads the new time
		// also finds the table that it confirms.
		d.confirmedAt.Store(int64(callSent))
	}
}

// lastChanges returns the last change of each object. Relayed changes may already have brought this host to the last one;
// to apply an earlier one first would bring a removed server back, or start its grace anew.
func lastChanges(changes []Change) []Change {
	last := make(map[string]int, len(changes))
	for i, c := range changes {
		last[c.Name] = i
	}
	if len(last) == len(changes) {
		return changes
	}
	kept := make([]Change, 0, len(last))
	earlier := make(map[string]bool, len(last))
	for i, c := range changes {
		if last[c.Name] == i {
			c.replaces = earlier[c.Name]
			kept = append(kept, c)
		}
		earlier[c.Name] = true
	}
	return kept
}

// applyBatch applies a batch, moves the cursor of its kind and logs its changes for other hosts. It reports whether the
// state changed. What is logged is what changed in the store, which this host may know or judge otherwise: all changes
// that were relayed, and of the host's own calls those that another host may lack.
func (d *Directory) applyBatch(kind Kind, batch Batch, full, relayed bool) bool {
	known := d.loaded[kind]
	changed := !known
	d.loaded[kind] = true
	if full {
		batch.Changes = append(batch.Changes, d.deletionsOfUnlisted(kind, batch)...)
	}
	var logged []Change
	for _, c := range batch.Changes {
		_, missing := d.missingSince[c.Name]
		applied := d.applyChange(kind, c)
		changed = changed || applied
		// This host may have had a termination notice before the store, which the others still lack. They may have
		// removed a server that registered again before it counted as removed here.
		if relayed && !full || applied || missing || c.replaces || c.Deleted || c.Backend != nil && c.Backend.Leaving {
			logged = append(logged, c)
		}
	}
	d.setBehind(kind, false)
	switch {
	case !known, full && kind != Hosts:
		// Changes before the list are unknown and cannot be relayed.
		d.changeLog[kind], d.logStart[kind] = nil, batch.Revision
	case len(logged) > 0 && kind != Configuration:
		d.changeLog[kind] = append(d.changeLog[kind], loggedBatch{revision: batch.Revision, changes: logged, readAt: d.opts.Clock()})
	}
	d.cursor[kind] = max(d.cursor[kind], batch.Revision)
	return changed
}

// deletionsOfUnlisted returns a deletion for each known object that a list lacks.
func (d *Directory) deletionsOfUnlisted(kind Kind, batch Batch) []Change {
	listed := make(map[string]bool, len(batch.Changes))
	for _, c := range batch.Changes {
		listed[c.Name] = true
	}
	var deletions []Change
	deleteUnlisted := func(name string) {
		if !listed[name] {
			deletions = append(deletions, Change{Name: name, Deleted: true})
		}
	}
	switch kind {
	case Backends:
		for id, s := range d.state.Servers {
			if !s.Removed {
				deleteUnlisted(id)
			}
		}
	case DomainsOut:
		for name := range d.state.DomainsOut {
			deleteUnlisted(name)
		}
	case Hosts:
		for name := range d.state.Hosts {
			deleteUnlisted(name)
		}
	}
	return deletions
}

func (d *Directory) applyChange(kind Kind, c Change) bool {
	switch kind {
	case Configuration:
		return d.applyConfiguration(c)
	case Backends:
		return d.applyBackend(c)
	case DomainsOut:
		return d.applyDomain(c)
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

func (d *Directory) applyDomain(c Change) bool {
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
		if old.Terminating() == s.Terminating() && old.Slots == s.Slots && !old.Removed {
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
	next.Complete = d.loaded[Configuration] && d.loaded[Backends] && d.loaded[DomainsOut] && next.Table != nil
	d.ownsServers, d.ownsHosts = false, false
	old := d.snapshot.Swap(&next)
	if d.opts.OnChange != nil {
		d.opts.OnChange(old, &next)
	}
}
