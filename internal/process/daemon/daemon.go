package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/boottime"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/crashes"
	"monsoonkeel.example/monsoonkeel/internal/placement"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/httpapi"
	"monsoonkeel.example/monsoonkeel/internal/process/claims"
	"monsoonkeel.example/monsoonkeel/internal/process/configlog"
	"monsoonkeel.example/monsoonkeel/internal/process/issuer"
	"monsoonkeel.example/monsoonkeel/internal/process/membership"
	"monsoonkeel.example/monsoonkeel/internal/process/peers"
	"monsoonkeel.example/monsoonkeel/internal/process/settings"
	"monsoonkeel.example/monsoonkeel/internal/request"
	"monsoonkeel.example/monsoonkeel/internal/request/gentoken"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

const (
	// idleTimeout is the time after which an idle keep-alive connection is closed.
	idleTimeout = 60 * time.Second
	// readTimeout limits the time to read a request.
	readTimeout = 30 * time.Second
	// flushTimeout limits the time for the remaining writes at shutdown.
	flushTimeout = 10 * time.Second
	// responseTimeout is the part of the drain timeout for the responses to requests that are
	// cancelled at its end.
	responseTimeout = time.Second
)

// Daemon holds the components of a monsoonkeeld process.
type Daemon struct {
	settings  *settings.Settings
	log       zerolog.Logger
	startedAt time.Time

	store        platform.ObjectStore
	loadReporter platform.LoadReporter
	config       *configlog.Log
	membership   *membership.Manager
	peers        *peers.Peers
	claims       *claims.Service
	commands     *issuer.Manager
	dispatchers  *placement.Table
	retries      *retryBudget
	pool         *connection.Pool
	watcher      *connection.Watcher
	gateway      *request.Gateway
	recorder     *recorder
	routing      *routing
	crashes      *crashes.Guard
	callerServer *fasthttp.Server
	adminServer  *fasthttp.Server

	// lastConfig needs no lock: only configChanged uses it, which the configuration log
	// calls in revision order.
	lastConfig *config.Document

	snapshot atomic.Pointer[version.Snapshot]
	draining atomic.Bool
	// hostCount is the number of entry hosts in the view, this host included.
	hostCount atomic.Int32
	// freshUntil is the time until which the configuration counts as confirmed without
	// another evaluation of the freshness rule.
	freshUntil atomic.Pointer[time.Time]
}

// New returns a daemon for validated settings. It listens on no address before Run.
func New(s *settings.Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, startedAt: time.Now()}
	d.store = httpapi.NewObjectStore(s.ObjectAPI)
	d.loadReporter = httpapi.NewLoadReporter()
	hosts := httpapi.NewHostList(s.HostList)
	hosts.OnInvalid = func(err error) { log.Warn().Err(err).Msg("entry of the host list left out") }
	d.config = configlog.New(configlog.Options{Store: d.store, IsWatcher: d.watchesConfig, Logger: log})
	d.membership = membership.New(membership.Config{
		Self: platform.Host{
			ID: s.HostID, Role: platform.RoleEntry, Region: s.Region, Domain: s.Domain, State: platform.HostLive,
			Address: s.Listen, PeerAddress: s.PeerListen, Incarnation: uuid.NewString(),
		},
		Cells:     s.Cells,
		Store:     d.store,
		Hosts:     hosts,
		ConfigAge: d.config.ConfirmedAge,
		Now:       time.Now,
		Log:       log,
	})
	d.crashes = crashes.New(crashes.Options{
		HostID: s.HostID, Peers: func() []string { return d.membership.View().Members }, Clock: boottime.Now, Log: log,
		OnCrash: func() { d.peers.SyncNow() }, OnChange: func() { d.peers.SyncNow() }, Others: d.otherBackends,
	})
	d.peers = peers.New(peers.Config{
		Membership: d.membership,
		Source:     configSource{d.config},
		Claims:     claimServer{d},
		Evidence:   d.crashes,
		TLS:        s.PeerTLS,
		Rand:       newRand(),
		Now:        time.Now,
		Log:        log,
	})
	var err error
	if d.claims, err = newClaims(d); err != nil {
		return nil, err
	}
	d.commands = newCommands(d)
	d.dispatchers = placement.NewTable(s.Region, rand.Uint64())
	d.retries = &retryBudget{}
	d.pool = connection.NewPool()
	d.watcher = connection.NewWatcher()
	d.recorder = newRecorder(log)
	d.routing = newRouting(d)
	d.snapshot.Store(version.Build(version.Inputs{Document: config.Empty()}))
	d.gateway = d.newGateway()
	d.callerServer = &fasthttp.Server{
		Handler:               d.gateway.Handler,
		Name:                  "monsoonkeel",
		MaxRequestBodySize:    s.MaxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		ErrorHandler:          request.WriteProtocolError,
		Logger:                debugLogger{log},
		TLSConfig:             s.CallerTLS,
	}
	d.adminServer = d.newAdminServer()
	d.config.Subscribe(d.configChanged)
	return d, nil
}

func (d *Daemon) newGateway() *request.Gateway {
	return &request.Gateway{
		Snapshot:         d.snapshot.Load,
		CheckFreshness:   d.checkFreshness,
		Dispatchers:      d.dispatchers,
		Pool:             d.pool,
		Watcher:          d.watcher,
		GenerationTokens: gentoken.NewCodec(d.settings.GenerationKey),
		Orders:           orders{d.claims},
		RetryBudget:      d.retries,
		ColdStarts:       coldReporter{d},
		Recorder:         d.recorder,
		Crashes:          d.crashes,
		Log:              d.log,
		Now:              time.Now,
		NewID:            uuid.NewString,
		Draining:         d.draining.Load,
		HostCount:        func() int { return int(d.hostCount.Load()) },
	}
}

// watchesConfig reports whether this host watches the configuration head. Every host
// does until it has a view, since there is no peer that could relay changes.
func (d *Daemon) watchesConfig() bool {
	return d.membership.View().Epoch == 0 || d.membership.IsWatcher()
}

// configChanged applies a new revision of the configuration.
func (d *Daemon) configChanged(doc *config.Document) {
	d.markRestoredCold(d.lastConfig, doc)
	d.lastConfig = doc
	d.recorder.setTargets(doc)
	d.routing.requestRebuild()
	d.peers.SyncNow()
}

// Run serves until ctx ends and then shuts down gracefully. It returns an error if an
// address cannot be listened on or a loop fails.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	// The loops do not end with ctx, since they are needed until the last request has
	// ended.
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	g, loopCtx := errgroup.WithContext(loopCtx)
	for _, loop := range []func(context.Context) error{
		d.config.Run, d.membership.Run, d.peers.Run, d.watcher.Run, d.routing.run, d.routing.pollLoads, d.commands.Run,
		func(ctx context.Context) error { return d.peers.Serve(ctx, listeners.peers) },
	} {
		g.Go(func() error { return ignoreCancel(loop(loopCtx)) })
	}
	g.Go(func() error { return d.serve(d.callerServer, connection.NewListener(listeners.callers)) })
	g.Go(func() error { return d.serve(d.adminServer, listeners.admin) })
	d.log.Info().Str("listen", d.settings.Listen).Msg("serving")
	select {
	case <-ctx.Done():
	case <-loopCtx.Done():
	}
	d.shutdown()
	stopLoops()
	return g.Wait()
}

// ignoreCancel returns nil for context.Canceled, with which loops end at shutdown.
func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

type listeners struct{ callers, admin, peers net.Listener }

func (d *Daemon) listen() (l listeners, err error) {
	if l.callers, err = net.Listen("tcp", d.settings.Listen); err != nil {
		return l, err
	}
	if l.admin, err = net.Listen("tcp", d.settings.AdminListen); err != nil {
		_ = l.callers.Close()
		return l, err
	}
	if l.peers, err = net.Listen("tcp", d.settings.PeerListen); err != nil {
		_ = l.callers.Close()
		_ = l.admin.Close()
	}
	return l, err
}

func (d *Daemon) serve(s *fasthttp.Server, l net.Listener) error {
	if d.settings.CallerTLS != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}

// shutdown fails the readiness probe, waits for the drain delay, so that the load
// balancer stops sending requests, lets running requests finish and flushes the order
// records.
func (d *Daemon) shutdown() {
	d.draining.Store(true)
	d.membership.SetDraining()
	d.peers.SyncNow()
	d.log.Info().Msg("draining")
	time.Sleep(d.settings.DrainDelay)
	ctx := context.Background()
	if d.settings.DrainTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.settings.DrainTimeout)
		defer cancel()
		response := min(responseTimeout, d.settings.DrainTimeout/2)
		defer time.AfterFunc(d.settings.DrainTimeout-response, d.gateway.CancelRequests).Stop()
	}
	if err := d.callerServer.ShutdownWithContext(ctx); err != nil {
		d.log.Error().Err(err).Msg("graceful shutdown incomplete, running requests were interrupted")
	}
	d.gateway.WaitBackground(ctx)
	flush, cancelFlush := context.WithTimeout(context.Background(), flushTimeout)
	defer cancelFlush()
	if err := d.claims.Close(flush); err != nil {
		d.log.Error().Err(err).Msg("flushing the order records failed")
	}
	_ = d.adminServer.ShutdownWithContext(flush)
	_ = d.peers.Close()
	d.pool.Close()
	d.log.Info().Msg("stopped")
}

// debugLogger writes fasthttp's connection errors to the log at debug level.
type debugLogger struct{ log zerolog.Logger }

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, args ...any) { l.log.Debug().Msgf(format, args...) }
