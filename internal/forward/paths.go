package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/reach"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// probeInterval is the mean time between two connection setups that show whether a lost path works again.
const probeInterval = 400 * time.Millisecond

// paths are the paths of this host to the servers of each service.
type paths struct {
	// suspected is set while a connection has failed since the last one that was set up, so that requests do not need the lock
	// otherwise.
	suspected atomic.Bool
	mu        sync.Mutex
	// byService has the services for which that holds.
	byService map[string]*reach.Path
}

// lost reports whether this host has lost its path to the servers of a service.
func (p *paths) lost(service string) bool {
	if !p.suspected.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.byService[service]
	return path != nil && path.Lost()
}

// lostServices returns the services to whose servers the path is lost.
func (p *paths) lostServices() (names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, path := range p.byService {
		if path.Lost() {
			names = append(names, name)
		}
	}
	return names
}

// observeConnection records what a request to a server shows of the path to its service. A reused connection may live on where
// new ones fail.
func (g *Gateway) observeConnection(ctx context.Context, service string, server balance.Server, ex *connection.Exchange, err error) {
	switch {
	case !g.opts.ForwardToHosts:
	case err == nil && !ex.Reused:
		g.pathWorks(service)
	case err != nil && ctx.Err() == nil && verdict.From(err).Code == connection.CodeConnectFailed:
		g.pathFailed(service, server.ID, err)
	}
}

func (g *Gateway) pathWorks(service string) {
	if !g.paths.suspected.Load() {
		return
	}
	g.paths.mu.Lock()
	path := g.paths.byService[service]
	regained := path != nil && path.Connected()
	delete(g.paths.byService, service)
	g.paths.suspected.Store(len(g.paths.byService) > 0)
	g.paths.mu.Unlock()
	if regained {
		g.opts.Log.Info().Str("service", service).Msg("path to the backend servers works again")
	}
}

func (g *Gateway) pathFailed(service, server string, cause error) {
	servers := len(g.serversOf(service))
	g.paths.mu.Lock()
	path := g.paths.byService[service]
	if path == nil {
		path = &reach.Path{}
		g.paths.byService[service] = path
		g.paths.suspected.Store(true)
	}
	lost := path.Failed(server, servers, time.Now())
	g.paths.mu.Unlock()
	if lost {
		g.Metrics.LostPaths.Add(1)
		g.opts.Log.Warn().Str("service", service).Str("backend", server).Int("backends", servers).AnErr("cause", cause).
			Msg("path to the backend servers is lost, other hosts serve its requests")
	}
}

// serversOf returns the addresses of the servers of a service that are in use.
func (g *Gateway) serversOf(service string) (addresses []string) {
	for _, s := range g.opts.Directory.Snapshot().Servers {
		if s.Service == service && !s.Terminating() {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}

// ProbePaths sets up a connection to a server of each service to which the path is lost, until one succeeds or ctx ends.
func (g *Gateway) ProbePaths(ctx context.Context) {
	for wait.For(ctx, probeInterval/2+rand.N(probeInterval)) {
		for _, service := range g.paths.lostServices() {
			servers := g.serversOf(service)
			if len(servers) == 0 {
				g.pathWorks(service) // no server can show that
				continue
			}
			conn, err := g.opts.Dial(ctx, servers[rand.IntN(len(servers))], connectTimeout)
			if err == nil {
				_ = conn.Close()
				g.pathWorks(service)
			}
		}
	}
}
