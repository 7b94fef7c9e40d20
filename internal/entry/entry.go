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
	// memoryShare is the share of the host's memory at which the collector
	// works harder; the rest is for bytes in the kernel and short peaks.
	memoryShare = 0.6
	// bodyShare is the share of the memory for callers' request bodies, which
	// are kept until the answer and copied once when they are sent.
	bodyShare = 0.15
	// answerShare is the share of the memory for long answers that are read whole
	// before they are passed on; others pass through in pieces.
	answerShare = 0.1
	// minBodyBudget lets the largest body that a configuration usually allows in.
	minBodyBudget = 8 << 20
	// reservedFiles are descriptors that callers' connections leave to those
	// towards backend servers, the store and other hosts, as a share.
	reservedFiles = 0.4
	// stopMargin is the part of the grace that remains for the end of the process.
	stopMargin = 400 * time.Millisecond
	// probeTimeout bounds a readiness probe.
	probeTimeout = 2 * time.Second
	// revokeWaitShare of the bound on a removed key and configWaitShare of that on
	// a configuration are how long the configuration's watch waits: each return
	// confirms the keys, and a relayed one is up to two waits old.
	revokeWaitShare = 0.18
	configWaitShare = 0.3
	// serversWaitShare of the bound on a leaving server and domainsWaitShare of
	// that on a domain are how long a watch that fell silent goes unnoticed.
	serversWaitShare = 0.4
	domainsWaitShare = 0.3
)

// Adapter is what a platform brings.
type Adapter struct {
	Store   directory.Store
	Engines forward.EngineClient
	Dialect forward.Dialect
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	// Reload reads the settings again. It returns nil if they did not change.
	Reload func() (*Settings, error)
}

// Process is the running host.
type Process struct {
	settings  *Settings
	adapter   Adapter
	log       zerolog.Logger
	directory *directory.Directory
	gateway   *forward.Gateway
	callers   *connection.Server
	gossip    *gossip.Exchange
}

// New joins the parts of the process.
func New(s *Settings, a Adapter, log zerolog.Logger) *Process {
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	p := &Process{settings: s, adapter: a, log: log}
	self := fleet.Host{
		ID:          s.HostID,
		PeerAddress: net.JoinHostPort(s.PeerIP, strconv.Itoa(s.PeerPort)),
		Domain:      s.Domain,
		Incarnation: time.Now().UnixMilli(),
	}
	p.directory = directory.New(directory.Options{
		Store:         a.Store,
		Clock:         boottime.Now,
		Log:           log,
		AbsenceGrace:  s.AbsenceGrace,
		WatchTimeouts: waits(s),
		OnChange: func(old, now *directory.Snapshot) {
			p.gateway.ApplySnapshot(old, now)
			if p.directory.IsStoreReader() {
				// Hosts that hear of a notice at different times move their runs
				// at times that do not fit together.
				p.gossip.SendNow()
			}
		},
		Self: self,
	})
	p.gateway = forward.New(forward.Options{
		Directory:           p.directory,
		Dialect:             a.Dialect,
		Engines:             a.Engines,
		Log:                 log,
		HostID:              s.HostID,
		WatchTimeouts:       slices.Collect(maps.Values(waits(s))),
		Domain:              s.Domain,
		Region:              s.Region,
		Bounds:              bounds(s),
		ResponseBufferBytes: int64(float64(s.MemoryBytes) * answerShare),
	})
	p.gossip = gossip.New(gossip.Options{
		Self:      self,
		Region:    s.Region,
		Hosts:     func() map[string]fleet.Host { return p.directory.Snapshot().Hosts },
		FillLocal: p.gateway.LocalState,
		OnChange:  p.gateway.SetPeers,
		Clock:     boottime.Now,
		Log:       log,
	})
	p.callers = &connection.Server{
		Limits:     p.gateway.Limits,
		Handle:     p.gateway.Handle,
		BodyBudget: semaphore.NewWeighted(max(int64(float64(s.MemoryBytes)*bodyShare), minBodyBudget)),
		MaxConns:   int(float64(s.MaxFiles) * (1 - reservedFiles)),
	}
	return p
}

// waits are how long the watches on the store wait.
func waits(s *Settings) map[directory.Kind]time.Duration {
	part := func(bound time.Duration, share float64) time.Duration {
		return time.Duration(float64(bound) * share)
	}
	return map[directory.Kind]time.Duration{
		directory.Configuration: min(part(s.RevokeBound, revokeWaitShare), part(s.ConfigBound, configWaitShare)),
		directory.Backends:      part(s.DrainBound, serversWaitShare),
		directory.DomainsOut:    part(s.DomainOutBound, domainsWaitShare),
	}
}

func bounds(s *Settings) forward.Bounds {
	return forward.Bounds{
		StrictRevoke: s.StrictRevoke,
		RevokeBound:  s.RevokeBound,
		Retries:      retry.Limits{Ratio: s.RetryShare, Window: s.RetryWindow, Extra: s.RetrySlack},
		ColdFactor:   s.ColdFactor,
		ColdSlack:    s.ColdSlack,
	}
}

// Run serves until ctx ends and then stops gracefully. reload is signalled when
// the settings may have changed.
func (p *Process) Run(ctx context.Context, metricsListen string, reload <-chan os.Signal) error {
	front, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", p.settings.ReadyListen)
	if err != nil {
		return err
	}
	p.log.Info().Str("listen", p.settings.Listen).Str("store", p.settings.Store).Msg("started")
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return p.callers.Serve(front) })
	probe := &http.Server{Handler: p.probes(), ReadTimeout: probeTimeout, WriteTimeout: probeTimeout}
	group.Go(func() error { return ignoreClosed(probe.Serve(ready)) })
	group.Go(func() error { p.directory.Run(background); return nil })
	group.Go(func() error { return p.gossip.Run(background) })
	group.Go(func() error { p.gateway.PollTerminationNotices(background); return nil })
	group.Go(func() error { return p.serveMetrics(background, metricsListen) })
	group.Go(func() error { p.watchSettings(background, reload); return nil })

	ended := make(chan error, 1)
	go func() { ended <- group.Wait() }()
	select {
	case <-ctx.Done():
		p.stop()
	case err = <-ended: // a listener failed
	}
	stop()
	_ = front.Close()
	_ = probe.Close()
	select {
	case err = <-ended:
	case <-time.After(endTimeout):
		// Calls to the store end by their own deadlines; the process need not wait.
	}
	p.log.Info().Msg("stopped")
	return err
}

// endTimeout bounds the end of the background work.
const endTimeout = 100 * time.Millisecond

// stop lets running requests end within the grace.
func (p *Process) stop() {
	grace := p.settings.ShutdownGrace - stopMargin
	p.log.Info().Dur("grace", grace).Int64("connections", p.callers.Open()).Msg("stopping")
	p.gateway.StartShutdown(grace)
	p.callers.StartShutdown()
	p.callers.CloseIdle()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	// The load balancer goes on sending callers until it has missed the probe twice.
	p.waitForProbes(ctx)
	if err := p.callers.Wait(ctx); err != nil {
		p.log.Warn().Msg("requests were still running at the end of the grace")
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
		if why := p.gateway.UnreadyReason(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
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
	vars.Set("connections", expvar.Func(func() any { return p.callers.Open() }))
	vars.Set("memstats", expvar.Get("memstats"))
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if _, err := io.WriteString(w, vars.String()+"\n"); err != nil {
			p.log.Debug().Err(err).Msg("metrics")
		}
	})
	mux.HandleFunc("/state", p.dump)
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

// settingsInterval is how often the settings file is looked at; it may change
// without a signal.
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
			p.log.Error().Err(err).Msg("settings not reloaded, the former ones hold")
		case s != nil:
			p.gateway.SetBounds(bounds(s))
			p.log.Info().Msg("settings reloaded: bounds are in force, addresses and places at the next start")
		}
	}
}
