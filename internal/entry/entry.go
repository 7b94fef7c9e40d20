package entry

import (
	"context"
	"errors"
	"expvar"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/retry"
	"monsoonkeel.example/monsoonkeel/internal/boottime"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/forward"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

const (
	// memoryShare is the share of the host's memory that is set as the garbage collector's
	// soft limit; the rest is for kernel buffers and short peaks.
	memoryShare = 0.6
	// bodyShare is the share of the memory for callers' request bodies, which are kept until
	// the response and copied once when they are sent.
	bodyShare = 0.15
	// responseShare is the share of the memory for buffered long responses; others are copied
	// in chunks.
	responseShare = 0.1
	// minBodyBudget admits the largest body that a configuration usually allows.
	minBodyBudget = 8 << 20
	// reservedFileShare is the share of the file descriptors reserved for connections to backend
	// servers, the store and other hosts; the others are for callers.
	reservedFileShare = 0.4
	// exitMargin is the part of the shutdown grace reserved for the exit of the process.
	exitMargin = 400 * time.Millisecond
	// responseMargin is the part of exitMargin for the responses to requests that are still
	// running at the end of the shutdown.
	responseMargin = 200 * time.Millisecond
	// probeTimeout limits reading and writing of a readiness probe or metrics request.
	probeTimeout = 2 * time.Second
	// revokeTimeoutShare of the bound on removed keys and configTimeoutShare of the bound on a new
	// configuration limit the long-poll timeout of the configuration watch: each response
	// confirms the keys, and a relayed one is up to two timeouts old.
	revokeTimeoutShare = 0.18
	configTimeoutShare = 0.3
	// serversTimeoutShare of the bound on terminating servers and domainsTimeoutShare of the bound
	// on failure domains are the long-poll timeouts after which a dead watch is noticed.
	serversTimeoutShare = 0.4
	domainsTimeoutShare = 0.3
	// rolloutsTimeoutShare of the bound on bad versions is the same for the watch of roll-outs.
	rolloutsTimeoutShare = 0.3
)

// Adapter connects the process to a platform.
type Adapter struct {
	Store        directory.Store
	EngineClient forward.EngineClient
	// EvidenceStore is usually the same as Store; nil for none.
	EvidenceStore forward.EvidenceStore
	// RolloutStore is usually the same as Store; nil for none.
	RolloutStore forward.RolloutStore
	Dialect      forward.Dialect
	// Dial opens connections to backend servers; nil for connection.Dial.
	Dial connection.DialFunc
	// StoreMetrics counts the calls to the store; nil for none.
	StoreMetrics expvar.Var
	// ReadyPath is the URL path of the readiness probe.
	ReadyPath string
	// Reload reads the settings again. It returns nil if they did not change.
	Reload func() (*Settings, error)
	// PeerKeys authenticate the messages between hosts; nil for none. ReloadPeerKeys reads them again, if there are any.
	PeerKeys       *gossip.Keys
	ReloadPeerKeys func() (*gossip.Keys, error)
}

// Process is the process of an entry host.
type Process struct {
	settings  *Settings
	adapter   Adapter
	log       zerolog.Logger
	directory *directory.Directory
	gateway   *forward.Gateway
	callers   *connection.Server
	gossip    *gossip.Exchange
	// peerKeys are those in force. Only New and the goroutine that reloads the settings use it.
	peerKeys *gossip.Keys
}

// New creates the components of the process without starting them.
func New(s *Settings, a Adapter, log zerolog.Logger) *Process {
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	p := &Process{settings: s, adapter: a, log: log, peerKeys: a.PeerKeys}
	self := fleet.Host{
		ID:          s.HostID,
		PeerAddress: net.JoinHostPort(s.PeerIP, strconv.Itoa(s.PeerPort)),
		Domain:      s.Domain,
		Region:      s.Region,
		Capacity:    s.Capacity,
		Incarnation: time.Now().UnixMilli(),
	}
	p.directory = directory.New(directory.Options{
		Store:         a.Store,
		Clock:         boottime.Now,
		Log:           log,
		AbsenceGrace:  s.AbsenceGrace,
		WatchTimeouts: watchTimeouts(s),
		OnChange: func(old, now *directory.Snapshot) {
			p.gateway.ApplySnapshot(old, now)
			if p.directory.Relays() {
				// Send new notices at once: hosts that receive a termination notice at
				// different times start their migrations by plans that do not fit together.
				p.gossip.SendNow()
			}
		},
		RelayTime:  func() time.Duration { return p.gossip.RelayTime() },
		Self:       self,
		FirstStart: s.FirstStart,
		Rollouts:   s.RollbackBound > 0,
	})
	p.gateway = forward.New(forward.Options{
		Directory:           p.directory,
		Dialect:             a.Dialect,
		Dial:                a.Dial,
		EngineClient:        a.EngineClient,
		EvidenceStore:       a.EvidenceStore,
		RolloutStore:        a.RolloutStore,
		Log:                 log,
		HostID:              s.HostID,
		WatchTimeouts:       slices.Collect(maps.Values(watchTimeouts(s))),
		Domain:              s.Domain,
		Region:              s.Region,
		Bounds:              bounds(s),
		ForwardToHosts:      s.ForwardToHosts,
		LearnCapacity:       s.LearnCapacity,
		Clock:               boottime.Now,
		ResponseBufferBytes: int64(float64(s.MemoryBytes) * responseShare),
		Place: func(ctx context.Context, r gossip.PlacementRequest) (gossip.Placement, bool) {
			return p.gossip.Place(ctx, r)
		},
		GossipStatus: func() gossip.Status { return p.gossip.Status() },
	})
	p.gossip = gossip.New(gossip.Options{
		Self:          self,
		Region:        s.Region,
		Hosts:         func() map[string]fleet.Host { return p.directory.Snapshot().Hosts },
		FillLocal:     p.gateway.LocalState,
		OnChange:      p.gateway.SetView,
		Missing:       p.directory.Missing,
		OnRepair:      func(u *directory.RelayedUpdate) { p.directory.ApplyRelayed(u, 0) },
		Place:         p.gateway.Place,
		IsTerminating: p.gateway.IsTerminating,
		Clock:         boottime.Now,
		Log:           log,
	})
	p.gossip.SetKeys(p.peerKeys)
	p.callers = &connection.Server{
		Limits:     p.gateway.Limits,
		Handle:     p.gateway.Handle,
		BodyBudget: semaphore.NewWeighted(max(int64(float64(s.MemoryBytes)*bodyShare), minBodyBudget)),
		MaxConns:   int(float64(s.MaxFiles) * (1 - reservedFileShare)),
	}
	return p
}

// watchTimeouts returns the long-poll timeouts of the store watches.
func watchTimeouts(s *Settings) map[directory.Kind]time.Duration {
	fraction := func(bound time.Duration, share float64) time.Duration {
		return time.Duration(float64(bound) * share)
	}
	timeouts := map[directory.Kind]time.Duration{
		directory.Configuration: min(fraction(s.RevokeBound, revokeTimeoutShare), fraction(s.ConfigBound, configTimeoutShare)),
		directory.Backends:      fraction(s.DrainBound, serversTimeoutShare),
		directory.DomainsOut:    fraction(s.DomainOutBound, domainsTimeoutShare),
	}
	if s.RollbackBound > 0 {
		timeouts[directory.Rollouts] = fraction(s.RollbackBound, rolloutsTimeoutShare)
	}
	return timeouts
}

func bounds(s *Settings) forward.Bounds {
	return forward.Bounds{
		StrictRevoke: s.StrictRevoke,
		RevokeBound:  s.RevokeBound,
		Drain:        s.DrainBound,
		Retries:      retry.Limits{Ratio: s.RetryRatio, Window: s.RetryWindow, Extra: s.RetryExtra},
		ColdFactor:   s.ColdFactor,
		ColdExtra:    s.ColdExtra,
		ExposeShare:  s.ExposeShare,
		ExposeExtra:  s.ExposeExtra,
		Rollback:     s.RollbackBound,
		Contention:   s.Contention,
	}
}

// Run serves until ctx ends and then shuts down gracefully. A signal on reload makes it
// read the settings again.
func (p *Process) Run(ctx context.Context, metricsListen string, reload <-chan os.Signal) error {
	callerListener, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return err
	}
	probeListener, err := net.Listen("tcp", p.settings.ReadyListen)
	if err != nil {
		return err
	}
	hostListener, err := p.listenForHosts()
	if err != nil {
		return err
	}
	p.log.Info().Str("listen", p.settings.Listen).Str("store", p.settings.Store).Bool("peer_keys", p.peerKeys != nil).Msg("started")
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, failed := errgroup.WithContext(context.Background())
	group.Go(func() error { return p.callers.Serve(callerListener) })
	if hostListener != nil {
		group.Go(func() error { return p.callers.ServeWith(hostListener, p.gateway.HandleFromHost) })
		group.Go(func() error { p.gateway.ProbePaths(background); return nil })
	}
	probe := &http.Server{Handler: p.probes(), ReadTimeout: probeTimeout, WriteTimeout: probeTimeout}
	group.Go(func() error { return ignoreClosed(probe.Serve(probeListener)) })
	group.Go(func() error { p.directory.Run(background); return nil })
	group.Go(func() error { return p.gossip.Run(background) })
	group.Go(func() error { p.gateway.PollTerminationNotices(background); return nil })
	group.Go(func() error { p.gateway.LearnCapacity(background); return nil })
	group.Go(func() error { p.gateway.KeepEvidence(background); return nil })
	group.Go(func() error { p.gateway.UpdateRollouts(background); return nil })
	group.Go(func() error { return p.serveMetrics(background, metricsListen) })
	group.Go(func() error { p.watchSettings(background, reload); return nil })

	ended := make(chan error, 1)
	go func() { ended <- group.Wait() }()
	select {
	case <-ctx.Done():
		p.shutDown()
	case <-failed.Done(): // a listener failed
	}
	stop()
	_ = callerListener.Close()
	if hostListener != nil {
		_ = hostListener.Close()
	}
	_ = probe.Close()
	select {
	case err = <-ended:
	case <-time.After(exitTimeout):
		// Calls to the store end by their own deadlines; the process does not wait for
		// them.
		if failed.Err() != nil {
			err = context.Cause(failed)
		}
	}
	p.log.Info().Msg("stopped")
	return err
}

// listenForHosts listens for the requests that other hosts send on; it returns nil if they send none.
func (p *Process) listenForHosts() (net.Listener, error) {
	if !p.settings.ForwardToHosts {
		return nil, nil
	}
	return net.Listen("tcp", net.JoinHostPort(p.settings.PeerIP, strconv.Itoa(p.settings.PeerPort)))
}

// exitTimeout limits the wait for background work at exit.
const exitTimeout = 100 * time.Millisecond

// shutDown drains running requests within the shutdown grace. Requests that are running at its
// end are cancelled and answered.
func (p *Process) shutDown() {
	grace := p.settings.ShutdownGrace - exitMargin
	p.log.Info().Dur("grace", grace).Int64("connections", p.callers.Open()).Msg("stopping")
	p.gateway.StartShutdown(grace)
	p.callers.StartShutdown()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	// The load balancer sends new callers until the probe has failed twice. Callers on open
	// connections learn of the close from their next response.
	p.waitForProbes(ctx)
	if p.callers.Drain(ctx) == nil {
		return
	}
	p.log.Warn().Msg("requests were still running at the end of the shutdown grace")
	p.callers.CancelRequests()
	ctx, cancel = context.WithTimeout(context.Background(), responseMargin)
	defer cancel()
	if p.callers.Wait(ctx) != nil {
		p.log.Error().Msg("requests got no response before the end of the shutdown grace")
	}
}

func (p *Process) waitForProbes(ctx context.Context) {
	t := time.NewTimer(p.settings.UnreadyAfter)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (p *Process) probes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(p.adapter.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if reason := p.gateway.UnreadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (p *Process) serveMetrics(ctx context.Context, address string) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	vars := new(expvar.Map).Init()
	vars.Set("forward", &p.gateway.Metrics)
	vars.Set("gossip", &p.gossip.Metrics)
	vars.Set("directory", &p.directory.Metrics)
	if p.adapter.StoreMetrics != nil {
		vars.Set("store", p.adapter.StoreMetrics)
	}
	vars.Set("connections", expvar.Func(func() any { return p.callers.Open() }))
	vars.Set("memstats", expvar.Get("memstats"))
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if _, err := io.WriteString(w, vars.String()+"\n"); err != nil {
			p.log.Debug().Err(err).Msg("writing the metrics response failed")
		}
	})
	mux.HandleFunc("/state", p.dump)
	mux.HandleFunc("GET /explain", explainHandler(p.gateway.Explain, p.log))
	server := &http.Server{Handler: mux, ReadTimeout: probeTimeout, WriteTimeout: probeTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return ignoreClosed(server.Serve(l))
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// settingsInterval is how often the settings file is checked; it may change without a
// signal.
const settingsInterval = 5 * time.Second

func (p *Process) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
		}
		s, err := p.adapter.Reload()
		switch {
		case err != nil:
			p.log.Error().Err(err).Msg("settings not reloaded, the previous ones stay in force")
		case s != nil:
			p.gateway.SetBounds(bounds(p.withStartedKinds(s)))
			p.log.Info().Msg("settings reloaded: bounds apply now, all other settings at the next start")
		}
		p.reloadPeerKeys()
	}
}

// withStartedKinds returns reloaded settings in which roll-outs are on if they were at the start: the kinds of objects that this
// process reads do not change while it runs.
func (p *Process) withStartedKinds(s *Settings) *Settings {
	if (s.RollbackBound > 0) == (p.settings.RollbackBound > 0) {
		return s
	}
	p.log.Warn().Dur("bound", s.RollbackBound).Dur("in_force", p.settings.RollbackBound).Msg("roll-outs are switched on or off at the next start")
	kept := *s
	kept.RollbackBound = p.settings.RollbackBound
	return &kept
}

// reloadPeerKeys applies changed keys. A process that started without keys stays without, and one with keys keeps them if there
// are none any more: hosts with and without keys do not understand each other.
func (p *Process) reloadPeerKeys() {
	if p.peerKeys == nil {
		return
	}
	keys, err := p.adapter.ReloadPeerKeys()
	switch {
	case err != nil:
		p.log.Error().Err(err).Msg("keys of the messages between hosts not reloaded, the previous ones stay in force")
	case !keys.Equal(p.peerKeys):
		p.peerKeys = keys
		p.gossip.SetKeys(keys)
		p.log.Info().Msg("keys of the messages between hosts reloaded")
	}
}
