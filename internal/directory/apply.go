package directory

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/fleet"
)

// apply takes a batch over into a new snapshot. A whole list also removes what
// it doesn't hold.
func (d *Directory) apply(kind Kind, batch Batch, whole bool, sent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !d.read[kind]
	d.read[kind] = true
	if whole {
		batch.Changes = append(batch.Changes, d.missing(kind, batch)...)
	}
	for _, c := range batch.Changes {
		if d.applyOne(kind, c) {
			changed = true
		}
	}
	if changed {
		d.publish()
	}
	d.advance(kind, batch, whole)
	if kind == Configuration && d.state.Table != nil && int64(sent) > d.confirmed.Load() {
		// Stored after the table: a request that reads the time finds it.
		d.confirmed.Store(int64(sent))
	}
}

// advance moves the cursor of a kind past a batch and keeps it for the relay. A
// list replaces what was known, so nothing before it can be relayed.
func (d *Directory) advance(kind Kind, batch Batch, whole bool) {
	d.cursor[kind] = max(d.cursor[kind], batch.Revision)
	d.behind[kind] = false
	switch {
	case kind != Backends && kind != DomainsOut:
	case whole:
		d.logs[kind], d.base[kind] = nil, batch.Revision
	case len(batch.Changes) > 0:
		d.logs[kind] = append(d.logs[kind], logged{at: batch.Revision, changes: batch.Changes, read: d.opts.Clock()})
	}
}

// missing returns deletions of what a whole list doesn't hold.
func (d *Directory) missing(kind Kind, batch Batch) []Change {
	held := make(map[string]bool, len(batch.Changes))
	for _, c := range batch.Changes {
		held[c.Name] = true
	}
	var gone []Change
	drop := func(name string) {
		if !held[name] {
			gone = append(gone, Change{Name: name, Deleted: true})
		}
	}
	switch kind {
	case Backends:
		for id, s := range d.state.Servers {
			if !s.Removed {
				drop(id)
			}
		}
	case DomainsOut:
		for name := range d.state.DomainsOut {
			drop(name)
		}
	case Hosts:
		for name := range d.state.Hosts {
			drop(name)
		}
	}
	return gone
}

func (d *Directory) applyOne(kind Kind, c Change) bool {
	switch kind {
	case Configuration:
		return d.applyTable(c)
	case Backends:
		return d.applyBackend(c)
	case DomainsOut:
		return d.applyDomain(c)
	default:
		return d.applyHost(c)
	}
}

func (d *Directory) applyTable(c Change) bool {
	now := d.state.Table
	if c.Table == nil || now != nil && c.Table.Version < now.Version {
		return false
	}
	d.state.Table = c.Table
	d.opts.Log.Info().Int64("version", c.Table.Version).Msg("configuration in force")
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
	d.opts.Log.Info().Str("domain", c.Name).Bool("out", !c.Deleted).Msg("failure domain changed")
	return true
}

func (d *Directory) applyHost(c Change) bool {
	hosts := make(map[string]fleet.Host, len(d.state.Hosts)+1)
	for id, h := range d.state.Hosts {
		hosts[id] = h
	}
	switch {
	case c.Host != nil:
		if hosts[c.Name] == *c.Host {
			return false
		}
		hosts[c.Name] = *c.Host
	default:
		if _, known := hosts[c.Name]; !known {
			return false
		}
		delete(hosts, c.Name)
	}
	d.state.Hosts = hosts
	return true
}

func (d *Directory) applyBackend(c Change) bool {
	now := d.opts.Clock()
	old := d.state.Servers[c.Name]
	if c.Backend == nil {
		return d.applyAbsence(c, old, now)
	}
	delete(d.absent, c.Name)
	delete(d.goneAt, c.Name)
	s := &Server{Backend: *c.Backend, ColdUntil: now + c.Backend.ColdLeft}
	if old != nil && old.SameProcess(s.Backend) {
		// A notice of leaving is final for a process.
		s.Leaving = s.Leaving || old.Leaving
		if old.Terminating() == s.Terminating() && old.Slots == s.Slots && s.ColdLeft == 0 && !old.Removed {
			return false
		}
	}
	d.setServer(c.Name, s)
	d.opts.Log.Info().Str("backend", c.Name).Str("service", s.Service).Str("domain", s.Domain).
		Bool("leaving", s.Leaving).Dur("cold_left", s.ColdLeft).Msg("backend server changed")
	return true
}

// applyAbsence handles an entry that was deleted or cannot be used. Right after
// the store's return, entries that lapsed meanwhile get time to come back.
func (d *Directory) applyAbsence(c Change, old *Server, now time.Duration) bool {
	if !c.Deleted {
		d.opts.Log.Warn().Str("backend", c.Name).Msg("the entry names no usable backend server")
	}
	if old == nil || old.Removed {
		return false
	}
	if _, waiting := d.absent[c.Name]; waiting {
		return false
	}
	if c.Deleted && d.regained > 0 && now-d.regained < d.opts.AbsenceGrace {
		d.absent[c.Name] = now
		d.opts.Log.Info().Str("backend", c.Name).Msg("entry missing after the store's return")
		return false
	}
	d.markGone(c.Name, old, now)
	return true
}

func (d *Directory) markGone(id string, old *Server, now time.Duration) {
	s := *old
	s.Removed = true
	d.setServer(id, &s)
	d.goneAt[id] = now
	d.opts.Log.Info().Str("backend", id).Str("service", s.Service).Bool("leaving", s.Leaving).Msg("backend server gone")
}

func (d *Directory) setServer(id string, s *Server) {
	servers := make(map[string]*Server, len(d.state.Servers)+1)
	for k, v := range d.state.Servers {
		servers[k] = v
	}
	if s == nil {
		delete(servers, id)
	} else {
		servers[id] = s
	}
	d.state.Servers = servers
}

func (d *Directory) publish() {
	next := d.state
	next.Complete = d.read[Configuration] && d.read[Backends] && d.read[DomainsOut] && next.Table != nil
	old := d.snapshot.Swap(&next)
	if d.opts.OnChange != nil {
		d.opts.OnChange(old, &next)
	}
}
