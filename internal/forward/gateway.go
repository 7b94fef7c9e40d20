package forward

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/reach"
	"monsoonkeel.example/monsoonkeel/core/retry"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/crashes"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// Options configure a Gateway.
type Options struct {
	Directory    *directory.Directory
	Dialect      Dialect
	EngineClient EngineClient
	// EvidenceStore keeps rejections of prompt parts for the next processes; nil for none.
	EvidenceStore EvidenceStore
	// RolloutStore gets the status of roll-outs; nil for none.
	RolloutStore RolloutStore
	Log          zerolog.Logger
	// HostID, Domain and Region identify this host.
	HostID, Domain, Region string
	// WatchTimeouts are the long-poll timeouts of the store watches.
	WatchTimeouts []time.Duration
	Bounds        Bounds
	// ResponseBufferBytes limits the memory for buffered long responses, in bytes.
	ResponseBufferBytes int64
	// LearnCapacity decides for which services the capacity of the servers is learned; empty for LearnAuto.
	LearnCapacity LearnMode
	// Clock also counts time in which the machine is suspended; see internal/boottime.
	Clock func() time.Duration
	// Place asks the aggregator of this host's group for a backend server; nil if there are no groups.
	Place func(context.Context, gossip.PlacementRequest) (gossip.Placement, bool)
	// Dial opens connections to backend servers; nil for connection.Dial.
	Dial connection.DialFunc
	// ForwardToHosts makes other hosts serve the requests for services to whose servers this host has lost its path.
	ForwardToHosts bool
	// GossipStatus returns the state of the exchange with other hosts; nil for none.
	GossipStatus func() gossip.Status
}

// Bounds are guarantees that hold for all hosts together. They can be replaced
// while the process runs.
type Bounds struct {
	// StrictRevoke is set when a removed key must not be accepted after RevokeBound,
	// not even by a host without access to the store.
	StrictRevoke bool
	RevokeBound  time.Duration
	// Drain is how long a server goes on to serve at least after it announced that it is terminating.
	Drain   time.Duration
	Retries retry.Limits
	// ColdFactor and ColdExtra limit the total rate that all hosts send to a cold
	// server: its rate limit (ColdPerSecond in core/route) times the factor, plus the
	// extra requests per second.
	ColdFactor, ColdExtra float64
	// ExposeShare of the requests for a service, plus ExposeExtra requests, may reach a bad version of it during a
	// roll-out, and none later than Rollback after its 50th bad response. Rollback is 0 if there are no roll-outs.
	ExposeShare, ExposeExtra float64
	Rollback                 time.Duration
	// Contention is set if callers compete for too little capacity at times.
	Contention bool
}

// Gateway forwards callers' requests to backend servers.
type Gateway struct {
	opts Options
	pool *connection.Pool
	// hostPool has the connections to other hosts.
	hostPool        *connection.Pool
	paths           paths
	others          otherHosts
	balancers       *balancers
	responseBuffers *responseBuffers
	generations     generations
	crashes         *crashes.Guard
	Metrics         Metrics
	// shutdownDeadline is the time, in Unix nanoseconds, by which running requests
	// must have ended because the host is shutting down; 0 otherwise.
	shutdownDeadline atomic.Int64
	bounds           atomic.Pointer[Bounds]
	// view is what this host knows of the others.
	view atomic.Pointer[gossip.View]
	// withoutServers is a service of which this host knows no server to use; "" for none.
	withoutServers atomic.Pointer[string]
}

// maxIdlePerServer limits the idle connections to a backend server, which accepts
// few connections from all hosts together and resets those beyond its limit.
const maxIdlePerServer = 2

// New returns a Gateway that has no peers and no servers until ApplySnapshot and
// SetPeers are called.
func New(opts Options) *Gateway {
	if opts.Dial == nil {
		opts.Dial = connection.Dial
	}
	g := &Gateway{
		opts: opts, pool: connection.NewPoolSize(maxIdlePerServer), hostPool: connection.NewPoolSize(0),
		paths: paths{byService: map[string]*reach.Path{}}, others: otherHosts{unusable: map[string]time.Time{}},
	}
	g.pool.SetDial(opts.Dial)
	g.opts.EngineClient = &controlCalls{EngineClient: opts.EngineClient, g: g}
	g.bounds.Store(&opts.Bounds)
	g.balancers = newBalancers(opts, &g.Metrics)
	g.Metrics.balancers = g.balancers
	g.crashes = crashes.New(crashes.Options{
		HostID: opts.HostID, Peers: g.peerIDs, Clock: opts.Clock, Dial: opts.Dial, Log: opts.Log,
		Others: g.otherServers, IsReplaced: g.balancers.isProcessReplaced,
	})
	g.Metrics.crashes, g.Metrics.rollouts = g.crashes, g.balancers.rolloutStatus
	g.responseBuffers = newResponseBuffers(opts.ResponseBufferBytes)
	g.view.Store(&gossip.View{InMesh: true, StoreResponseAge: -1})
	g.generations.plannedUntil = map[string]time.Time{}
	g.generations.byServer = map[string]map[*generation]struct{}{}
	return g
}

// Limits returns the limits for callers' connections from the current configuration.
func (g *Gateway) Limits() connection.CallerLimits {
	l := defaultLimits
	if t := g.opts.Directory.Snapshot().Table; t != nil {
		l = t.Limits
	}
	return connection.CallerLimits{
		HeaderBytes:   orDefault(l.HeaderBytes, defaultLimits.HeaderBytes),
		BodyBytes:     orDefault(l.BodyBytes, defaultLimits.BodyBytes),
		HeaderTimeout: orDefault(l.HeaderTime, defaultLimits.HeaderTime),
		IdleTimeout:   orDefault(l.IdleTime, defaultLimits.IdleTime),
	}
}

// defaultLimits apply until a configuration has been read, and for limits that it
// leaves unset.
var defaultLimits = route.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second,
}

func orDefault[T int | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

// UnreadyReason returns why the host should get no new callers, or "" when it is
// ready.
func (g *Gateway) UnreadyReason() string {
	s := g.opts.Directory.Snapshot()
	switch {
	case g.shutdownDeadline.Load() != 0:
		return "the host is shutting down"
	case !s.Complete:
		return "the deployment has not been read from the store yet"
	case !g.keysCurrent():
		return "the configuration was not confirmed recently enough to rule out removed keys"
	}
	return ""
}

// keysCurrent reports whether every key in the snapshot was still valid less than
// RevokeBound ago. It is always true without StrictRevoke.
func (g *Gateway) keysCurrent() bool {
	bounds := g.bounds.Load()
	if !bounds.StrictRevoke {
		return true
	}
	age, ok := g.opts.Directory.ConfigurationAge()
	return ok && age < bounds.RevokeBound-revokeMargin
}

// revokeMargin covers the time between the check of a key and the moment when the
// caller's request counts as sent, and clock drift.
const revokeMargin = 100 * time.Millisecond

// SetBounds replaces the bounds and reconfigures the balancers.
func (g *Gateway) SetBounds(b Bounds) {
	g.bounds.Store(&b)
	g.balancers.setBounds(b, g.opts.Directory.Snapshot)
}

// ApplySnapshot applies a new snapshot of the directory and starts migrating
// generations off servers that are terminating in now but not in old.
func (g *Gateway) ApplySnapshot(old, now *directory.Snapshot) {
	g.balancers.applySnapshot(now)
	service := serviceWithoutServers(now)
	g.withoutServers.Store(&service)
	g.migrateFromTerminating(old, now)
	g.pool.Retain(func(address string) bool { return g.balancers.hasAddress(address) })
}

// StartShutdown makes the gateway reject requests that could outlast grace.
func (g *Gateway) StartShutdown(grace time.Duration) {
	g.shutdownDeadline.Store(time.Now().Add(grace).UnixNano())
}

// Handle serves one request of a caller and writes its log line.
func (g *Gateway) Handle(call *connection.Call) {
	g.Metrics.Requests.Add(1)
	newRequest(g, call).handle()
}

// HandleFromHost is Handle for a request that another host has sent on.
func (g *Gateway) HandleFromHost(call *connection.Call) {
	g.Metrics.RequestsFromHosts.Add(1)
	r := newRequest(g, call)
	r.fromHost = true
	r.handle()
}

func (r *request) handle() {
	err := r.serve()
	if err != nil && !r.responded {
		r.respondError(verdict.From(err))
	}
	r.log(err)
}

// respondError sends a response that this host generates from an error.
func (r *request) respondError(e *verdict.Error) {
	r.status = e.Status
	r.call.Respond(e.Status, func(yield func(name, value string) bool) {
		yield("Content-Type", "text/plain; charset=utf-8")
		if r.id != "" {
			yield(r.g.opts.Dialect.RequestID, r.id)
		}
		if r.fromHost {
			yield(errorHeader, e.Code)
		}
		if r.retryAfter > 0 {
			yield("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
		}
	}, []byte(e.Code+": "+e.Detail+"\n"))
	r.responded = true
}

// LocalState fills in this host's gossip state.
func (g *Gateway) LocalState(s *gossip.State) {
	s.Placed, s.Loads = g.balancers.placedLoad()
	s.Generations = g.generations.list(g.balancers)
	s.Failures, s.Ejected = g.balancers.failureReports()
	s.StoreResponseAge = g.opts.Directory.StoreResponseAge()
	s.StoreReader, s.RecentStoreFailure = g.opts.Directory.IsStoreReader(), g.opts.Directory.RecentStoreFailure()
	s.RelayedUpdate, s.Versions = g.opts.Directory.RelayedUpdate(), g.opts.Directory.Versions()
	s.Crashes, s.Answers = g.crashes.Evidence()
	s.Limits = g.balancers.rateLimitReports()
	s.Terminating = g.terminatingProcesses()
	s.Paces = g.balancers.paces.ownReports()
	s.Rollouts = g.balancers.rolloutReports()
}

// SetView applies what is known of the other hosts.
func (g *Gateway) SetView(v gossip.View) {
	g.view.Store(&v)
	g.balancers.setPeerLoad(v.Loads, v.Peers, v.Ejected)
	for _, e := range v.Evidence {
		g.crashes.Merge(e.Crashes, e.Answers, time.Now().Add(e.At-g.opts.Clock()), "another host reported")
	}
	g.balancers.paces.setPeers(v.Paces)
	g.balancers.setPeerLimits(v.Limits, v.UnreportedHosts)
	g.balancers.setPeerRollouts(v.Rollouts, v.LiveHosts)
	d := g.opts.Directory
	d.SetRelaying(!v.InMesh && v.Role != topology.Member)
	d.SetReadersNamed(v.ReadersNamed)
	switch {
	case v.InMesh:
		d.SetStoreReader(g.isStoreReader(v.Peers))
	case v.Role == topology.Primary:
		d.SetStoreReader(!d.RecentStoreFailure() || g.noReaderAmong(v.Peers))
	default:
		d.SetStoreReader(v.StoreReader)
	}
	for _, u := range v.Updates {
		d.ApplyRelayed(u.RelayedUpdate, u.EchoSentAt)
	}
	d.CompareVersions(func(yield func(directory.Versions) bool) {
		for _, p := range v.Peers {
			if !yield(p.Versions) {
				return
			}
		}
	})
	g.askForServers(v.Loads)
	for _, p := range v.Terminating {
		g.markTerminating(p.ID, p.StartTime, sourcePeer)
	}
}

// serviceWithoutServers returns a service of which a complete snapshot has no server to use, or "".
func serviceWithoutServers(s *directory.Snapshot) string {
	if !s.Complete {
		return ""
	}
	used := make(map[string]bool, len(s.Table.Services))
	for _, server := range s.Servers {
		if !server.Removed {
			used[server.Service] = true
		}
	}
	for name := range s.Table.Services {
		if !used[name] {
			return name
		}
	}
	return ""
}

// askForServers asks for all backend servers if this host knows none of a service, while the loads of other hosts name servers that
// it does not use.
func (g *Gateway) askForServers(loads map[string]balance.Load) {
	service := g.withoutServers.Load()
	if service == nil || *service == "" {
		return
	}
	servers := g.opts.Directory.Snapshot().Servers
	for id, load := range loads {
		if s := servers[id]; load.Requests > 0 && (s == nil || s.Removed) {
			g.opts.Directory.AskForBackends(*service, id)
			return
		}
	}
}

// Place chooses a backend server for a host of the group that this host aggregates.
func (g *Gateway) Place(host string, r gossip.PlacementRequest) gossip.Placement {
	return g.balancers.place(host, r)
}

// IsTerminating reports whether a server terminates and may still run generations.
func (g *Gateway) IsTerminating(server string) bool {
	s := g.opts.Directory.Snapshot().Servers[server]
	return s != nil && s.Leaving
}

// peerIDs returns the IDs of the other hosts: of the live ones in a mesh, else of all.
func (g *Gateway) peerIDs() []string {
	v := g.view.Load()
	var ids []string
	if v.InMesh {
		for _, p := range v.Peers {
			ids = append(ids, p.Host)
		}
		return ids
	}
	for id := range g.opts.Directory.Snapshot().Hosts {
		if id != g.opts.HostID {
			ids = append(ids, id)
		}
	}
	return ids
}

// noReaderAmong reports whether the store calls of all other hosts of the group have failed recently too.
func (g *Gateway) noReaderAmong(peers []gossip.Peer) bool {
	return !slices.ContainsFunc(peers, func(p gossip.Peer) bool { return !p.RecentStoreFailure })
}

// isStoreReader reports whether this host is the store reader of its region in a mesh. The store
// reader is the live host of the region with the lowest hash, where hosts without a
// recent store failure come before hosts with one.
func (g *Gateway) isStoreReader(peers []gossip.Peer) bool {
	own := xxhash.Sum64String(g.opts.HostID)
	recentFailure := g.opts.Directory.RecentStoreFailure()
	for _, p := range peers {
		if p.Region != g.opts.Region {
			continue
		}
		precedes := xxhash.Sum64String(p.Host) < own
		if p.RecentStoreFailure != recentFailure {
			precedes = recentFailure
		}
		if precedes {
			return false
		}
	}
	return true
}
