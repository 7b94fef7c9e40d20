package forward

import (
	"sort"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/retry"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// Options configure a Gateway.
type Options struct {
	Directory *directory.Directory
	Dialect   Dialect
	Engines   EngineClient
	Log       zerolog.Logger
	// HostID, Domain and Region are those of the host.
	HostID, Domain, Region string
	// WatchTimeouts are how long the watches on the store wait.
	WatchTimeouts []time.Duration
	Bounds        Bounds
	// ResponseBufferBytes bounds the memory of long answers that are read whole, in bytes.
	ResponseBufferBytes int64
}

// Bounds are promises that hold for all hosts together. They may change while
// the process runs.
type Bounds struct {
	// StrictRevoke says that a removed key must not be served after RevokeBound,
	// not even by a host without access to the store.
	StrictRevoke bool
	RevokeBound  time.Duration
	Retries      retry.Limits
	// ColdFactor and ColdSlack bound what all hosts send to a cold server.
	ColdFactor, ColdSlack float64
}

// Gateway forwards requests.
type Gateway struct {
	opts    Options
	pool    *connection.Pool
	places  *places
	answers *answers
	runs    runs
	Metrics Metrics
	// leaveBy is the Unix nanosecond by which running requests must have ended
	// because the host stops; 0 while it does not stop.
	leaveBy atomic.Int64
	bounds  atomic.Pointer[Bounds]
	// peers are the states of the other hosts.
	peers atomic.Pointer[[]gossip.State]
}

// maxIdlePerServer bounds the idle connections to a backend server. It accepts
// few from all hosts together and resets those beyond.
const maxIdlePerServer = 2

// New returns a Gateway.
func New(opts Options) *Gateway {
	g := &Gateway{opts: opts, pool: connection.NewPoolSize(maxIdlePerServer)}
	g.bounds.Store(&opts.Bounds)
	g.places = newPlaces(opts)
	g.answers = newAnswers(opts.ResponseBufferBytes)
	g.peers.Store(&[]gossip.State{})
	g.runs.plannedUntil = map[string]time.Time{}
	g.runs.byServer = map[string]map[*run]struct{}{}
	return g
}

// Limits returns the callers' limits of the present configuration.
func (g *Gateway) Limits() connection.CallerLimits {
	l := defaultLimits
	if t := g.opts.Directory.Snapshot().Table; t != nil {
		l = t.Limits
	}
	return connection.CallerLimits{
		HeaderBytes: orDefault(l.HeaderBytes, defaultLimits.HeaderBytes),
		BodyBytes:   orDefault(l.BodyBytes, defaultLimits.BodyBytes),
		HeaderTime:  orDefault(l.HeaderTime, defaultLimits.HeaderTime),
		IdleTime:    orDefault(l.IdleTime, defaultLimits.IdleTime),
	}
}

// defaultLimits hold until a configuration was read and where it sets none.
var defaultLimits = route.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second,
}

func orDefault[T int | time.Duration](v, missing T) T {
	if v > 0 {
		return v
	}
	return missing
}

// UnreadyReason reports why the host should get no new callers, or "".
func (g *Gateway) UnreadyReason() string {
	s := g.opts.Directory.Snapshot()
	switch {
	case g.leaveBy.Load() != 0:
		return "the host stops"
	case !s.Complete:
		return "the deployment was not read yet"
	case !g.keysCurrent():
		return "the configuration may have changed unnoticed"
	}
	return ""
}

// keysCurrent reports whether a key that is known now cannot have been removed
// longer ago than the bound.
func (g *Gateway) keysCurrent() bool {
	bounds := g.bounds.Load()
	if !bounds.StrictRevoke {
		return true
	}
	age, ok := g.opts.Directory.ConfigurationAge()
	return ok && age < bounds.RevokeBound-revokeMargin
}

// revokeMargin covers what passes between the check of a key and the moment
// that the caller's request counts as sent, and the drift of clocks.
const revokeMargin = 100 * time.Millisecond

// SetBounds replaces the bounds.
func (g *Gateway) SetBounds(b Bounds) {
	g.bounds.Store(&b)
	g.places.setBounds(b, g.opts.Directory.Snapshot())
}

// ApplySnapshot takes over a new snapshot.
func (g *Gateway) ApplySnapshot(old, now *directory.Snapshot) {
	g.places.changed(now)
	g.leaveServers(old, now)
	g.pool.Retain(func(address string) bool { return g.places.knows(address) })
}

// StartShutdown makes the gateway refuse what cannot end within grace.
func (g *Gateway) StartShutdown(grace time.Duration) {
	g.leaveBy.Store(time.Now().Add(grace).UnixNano())
}

// Handle answers one request.
func (g *Gateway) Handle(call *connection.Call) {
	g.Metrics.Requests.Add(1)
	r := newRequest(g, call)
	err := r.serve()
	if err != nil && !r.answered {
		r.refuse(verdict.From(err))
	}
	r.log(err)
}

// refuse answers with a status of this system's own.
func (r *request) refuse(e *verdict.Error) {
	r.status = e.Status
	r.call.Respond(e.Status, func(yield func(name, value string) bool) {
		yield("Content-Type", "text/plain; charset=utf-8")
		if r.id != "" {
			yield(r.g.opts.Dialect.RequestID, r.id)
		}
		if r.retryAfter > 0 {
			yield("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
		}
	}, []byte(e.Code+": "+e.Detail+"\n"))
	r.answered = true
}

// LocalState fills in what the other hosts need to know of this one.
func (g *Gateway) LocalState(s *gossip.State) {
	s.Loads, s.Generations = g.places.ownLoad(), g.runs.list(g.places)
	s.StoreResponseAgeMS = g.opts.Directory.StoreResponseAge().Milliseconds()
	s.StoreReader, s.RecentStoreFailure = g.opts.Directory.IsStoreReader(), g.opts.Directory.RecentStoreFailure()
	s.RelayedUpdate = g.opts.Directory.RelayedUpdate()
	s.Terminating = nil
	for id, server := range g.opts.Directory.Snapshot().Servers {
		if server.Leaving && !server.Removed && g.places.engineOf(server.Service) != nil {
			s.Terminating = append(s.Terminating, gossip.Process{ID: id, StartTime: server.StartTime})
		}
	}
	sort.Slice(s.Terminating, func(i, j int) bool { return s.Terminating[i].ID < s.Terminating[j].ID })
}

// SetPeers takes over the states of the other hosts.
func (g *Gateway) SetPeers(states []gossip.State) {
	g.peers.Store(&states)
	loads := map[string]balance.Load{}
	for _, s := range states {
		for id, l := range s.Loads {
			loads[id] = loads[id].Plus(l)
		}
	}
	g.places.setPeers(loads)
	g.opts.Directory.SetStoreReader(g.isReader(states))
	for _, s := range states {
		if s.RelayedUpdate != nil && s.Region == g.opts.Region && s.EchoSentAt > 0 {
			g.opts.Directory.ApplyRelayed(s.RelayedUpdate, s.EchoSentAt)
		}
		for _, p := range s.Terminating {
			g.opts.Directory.MarkTerminating(p.ID, p.StartTime)
		}
	}
}

// isReader reports whether this host reads the store for its region: it is the
// first, by a hash, of the hosts heard there that the store answers.
func (g *Gateway) isReader(states []gossip.State) bool {
	own := xxhash.Sum64String(g.opts.HostID)
	unfit := g.opts.Directory.RecentStoreFailure()
	for _, s := range states {
		if s.Region != g.opts.Region {
			continue
		}
		before := xxhash.Sum64String(s.Host) < own
		if s.RecentStoreFailure != unfit {
			before = unfit
		}
		if before {
			return false
		}
	}
	return true
}
