package daemon

import (
	"context"
	"sync"
	"time"

	"monsoonkeel.example/monsoonkeel/internal/placement"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// rebuildEvery bounds the age of limits in the routing snapshot.
const rebuildEvery = 200 * time.Millisecond

// incarnation identifies a process of a backend server.
type incarnation struct{ host, id string }

// routing keeps the inputs of the routing snapshot and rebuilds it.
type routing struct {
	d    *Daemon
	wake chan struct{}

	mu       sync.Mutex
	reports  map[string]version.Report
	counters map[incarnation]*version.Counters
	// excluded are backend servers that refused a connection, until they
	// answer a poll that was sent afterwards.
	excluded map[string]time.Time
}

func newRouting(d *Daemon) *routing {
	return &routing{
		d:        d,
		wake:     make(chan struct{}, 1),
		reports:  map[string]version.Report{},
		counters: map[incarnation]*version.Counters{},
		excluded: map[string]time.Time{},
	}
}

// changed asks for a rebuild at once.
func (r *routing) changed() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *routing) exclude(backend string) {
	r.mu.Lock()
	r.excluded[backend] = time.Now()
	r.mu.Unlock()
	r.changed()
}

// run rebuilds the snapshot when something changed and at regular intervals,
// since limits depend on time.
func (r *routing) run(ctx context.Context) error {
	ticker := time.NewTicker(rebuildEvery)
	defer ticker.Stop()
	for {
		r.rebuild()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.wake:
		}
	}
}

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
	r.forget(hosts)
	r.mu.Unlock()
	r.d.snapshot.Store(snap)
	r.d.retries.tick(time.Now())
	r.d.refreshFreshness(time.Now())
	listed := make(map[string]bool, len(hosts))
	for i := range hosts {
		listed[hosts[i].Address] = true
	}
	r.d.pool.Retain(func(address string) bool { return listed[address] })
	topology := r.topology()
	r.d.hosts.Store(int32(topology.Hosts))
	now := time.Now()
	snap.Services(func(svc *version.Service) {
		r.d.dispatchers.Dispatcher(svc.Name, svc.Kind).Update(svc, topology, now)
	})
	r.d.dispatchers.Retain(func(name string) bool { _, ok := snap.Service(name); return ok }, topology, now)
}

// topology places this host among the view's members, sorted by region and id.
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

// incarnationOf returns the process that the limits hold for. It is the one of
// the load report, since the host list may show a new process later than that:
// work counted under an old name would not count against the cold limit.
func (r *routing) incarnationOf(h platform.Host) incarnation {
	return incarnation{h.ID, version.IncarnationOf(h, r.reports[h.ID].Load)}
}

func (r *routing) counter(h platform.Host) *version.Counters {
	key := r.incarnationOf(h)
	c := r.counters[key]
	if c == nil {
		c = &version.Counters{}
		r.counters[key] = c
	}
	return c
}

// limit asks the membership manager, which knows leases and cold starts.
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

// forget drops state of backend servers that are gone and idle.
func (r *routing) forget(hosts []platform.Host) {
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
