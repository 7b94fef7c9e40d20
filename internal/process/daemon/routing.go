package daemon

import (
	"context"
	"sync"
	"time"

	"monsoonkeel.example/monsoonkeel/internal/placement"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// rebuildInterval is the maximum age of the limits in the routing snapshot.
const rebuildInterval = 200 * time.Millisecond

// incarnation identifies one process of a backend server.
type incarnation struct{ host, id string }

// routing holds the load reports and request counters that are inputs of the routing
// snapshot, and rebuilds the snapshot.
type routing struct {
	d          *Daemon
	rebuildNow chan struct{}

	mu       sync.Mutex
	reports  map[string]version.Report
	counters map[incarnation]*version.Counters
	// excluded maps backend servers that refused a connection to the time of the
	// refusal, until they answer a load poll that was sent later.
	excluded map[string]time.Time
}

func newRouting(d *Daemon) *routing {
	return &routing{
		d:          d,
		rebuildNow: make(chan struct{}, 1),
		reports:    map[string]version.Report{},
		counters:   map[incarnation]*version.Counters{},
		excluded:   map[string]time.Time{},
	}
}

// requestRebuild triggers a rebuild of the snapshot without waiting for it.
func (r *routing) requestRebuild() {
	select {
	case r.rebuildNow <- struct{}{}:
	default:
	}
}

// exclude excludes a backend server until it answers a load poll that is sent later.
func (r *routing) exclude(backend string) {
	r.mu.Lock()
	r.excluded[backend] = time.Now()
	r.mu.Unlock()
	r.requestRebuild()
}

// run rebuilds the snapshot on request and at regular intervals, since limits depend
// on the time, until ctx ends.
func (r *routing) run(ctx context.Context) error {
	ticker := time.NewTicker(rebuildInterval)
	defer ticker.Stop()
	for {
		r.rebuild()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.rebuildNow:
		}
	}
}

// rebuild builds the routing snapshot and updates the state that depends on it.
func (r *routing) rebuild() {
	hosts := r.d.membership.Hosts()
	r.mu.Lock()
	snap := version.Build(version.Inputs{
		Document: r.d.config.Current(),
		Previous: r.d.snapshot.Load(),
		Hosts:    hosts,
		Reports:  r.reports,
		Counters: r.counter,
		Limit:    r.limit,
		Excluded: r.isExcluded,
	})
	r.removeStale(hosts)
	r.mu.Unlock()
	r.d.snapshot.Store(snap)
	r.d.retries.update(time.Now())
	r.d.updateFreshness(time.Now())
	listed := make(map[string]bool, len(hosts))
	for i := range hosts {
		listed[hosts[i].Address] = true
	}
	r.d.pool.Retain(func(address string) bool { return listed[address] })
	topology := r.topology()
	r.d.hostCount.Store(int32(topology.Hosts))
	now := time.Now()
	snap.Services(func(svc *version.Service) {
		r.d.dispatchers.Dispatcher(svc.Name, svc.Kind).Update(svc, topology, now)
	})
	r.d.dispatchers.Retain(func(name string) bool { _, ok := snap.Service(name); return ok }, topology, now)
}

// topology returns the position of this host among the view's members, sorted by
// region and id.
func (r *routing) topology() placement.Topology {
	topology := placement.Topology{Hosts: 1}
	type member struct{ region, id string }
	self := member{r.d.settings.Region, r.d.settings.HostID}
	for _, id := range r.d.membership.View().Members {
		h, known := r.d.membership.HostByID(id)
		if !known || id == self.id {
			continue
		}
		topology.Hosts++
		if other := (member{h.Region, id}); other.region < self.region || other.region == self.region && other.id < self.id {
			topology.Position++
		}
	}
	return topology
}

// incarnationOf returns the process that the limits apply to. It is the one in the
// load report, since the host list may lag behind it: requests counted for the
// previous process would not count towards the cold limit.
func (r *routing) incarnationOf(h platform.Host) incarnation {
	return incarnation{h.ID, version.IncarnationOf(h, r.reports[h.ID].Load)}
}

// counter returns the request counters of the server's current process.
func (r *routing) counter(h platform.Host) *version.Counters {
	key := r.incarnationOf(h)
	c := r.counters[key]
	if c == nil {
		c = &version.Counters{}
		r.counters[key] = c
	}
	return c
}

// limit implements version.Limiter with the limits of the membership manager. The limit
// is 0 if the load report is missing or has expired.
func (r *routing) limit(h platform.Host) (int, time.Time, bool) {
	now := time.Now()
	if report, ok := r.reports[h.ID]; !ok || now.Sub(report.RequestedAt) > reportExpiry {
		return 0, time.Time{}, false
	}
	n, until := r.d.membership.Limit(h.ID, now)
	return n, until, n > 0 && until.IsZero()
}

func (r *routing) isExcluded(h platform.Host) bool {
	_, out := r.excluded[h.ID]
	return out
}

// removeStale deletes the state of backend servers that are no longer in the host
// list, and the counters of replaced processes once they have no requests in flight.
func (r *routing) removeStale(hosts []platform.Host) {
	listed := make(map[incarnation]bool, len(hosts))
	ids := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[r.incarnationOf(h)] = true
		ids[h.ID] = true
	}
	for key, c := range r.counters {
		if !listed[key] && c.InFlight() == 0 {
			delete(r.counters, key)
		}
	}
	for id := range r.reports {
		if !ids[id] {
			delete(r.reports, id)
			delete(r.excluded, id)
		}
	}
	r.d.membership.RetainBackends(func(id string) bool { return ids[id] })
}
