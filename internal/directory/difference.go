package directory

import (
	"iter"
	"time"
)

// Hosts compare what they know of the store by the versions in their messages. A host that passes on what it knows sends all
// objects to one that has others at the same version. If the difference stays, this host may be the one that lacks something, and
// lists the objects itself.

const (
	// differenceTolerance is how long a difference may last before a host lists the objects: longer than two repairs take.
	differenceTolerance = 5 * time.Second
	// differenceListInterval is the least time between two lists of a kind because of differences.
	differenceListInterval = 30 * time.Second
	// askInterval is the least time between two requests for all backend servers.
	askInterval = 5 * time.Second
)

// CompareVersions compares what this host knows with what its peers know. Only hosts that pass on what they know list
// objects for it, so that the number of calls does not grow with the number of hosts.
func (d *Directory) CompareVersions(peers iter.Seq[Versions]) {
	if !d.Relays() {
		return
	}
	own := d.Versions()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	for _, kind := range d.relayed {
		if kind == Hosts { // listed regularly
			continue
		}
		differs := false
		for v := range peers {
			differs = differs || own.DiffersAt(kind, v)
		}
		since, known := d.differsSince[kind]
		switch {
		case !differs:
			delete(d.differsSince, kind)
		case !known:
			d.differsSince[kind] = now
		case now-since >= differenceTolerance && now >= d.nextDifferenceList[kind]:
			d.nextDifferenceList[kind] = now + differenceListInterval
			d.listDue[kind] = true
			d.Metrics.Add("lists_for_difference", 1)
			d.opts.Log.Warn().Stringer("kind", kind).Int64("revision", StoreRevision(d.cursor[kind])).Dur("for", now-since).
				Msg("other hosts have other objects at the same version, listing them")
		}
	}
}

// AskForBackends makes this host ask others for all backend servers, and the store if none sends them: it has none of a service
// although another host has a request at server, which it does not use.
func (d *Directory) AskForBackends(service, server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	if !d.loaded[Backends] || now < d.nextAsk {
		return
	}
	d.nextAsk = now + askInterval
	d.askedAt[Backends] = now
	d.Metrics.Add("asked_for_backends", 1)
	d.opts.Log.Warn().Str("service", service).Str("backend", server).Int64("revision", StoreRevision(d.cursor[Backends])).
		Msg("no backend server of a service is known, but another host uses one: asking for all")
}
