// Package directory follows what the platform's metadata store says of the
// deployment (the operators' configuration, backend servers, failure domains
// taken out, entry hosts) and publishes it as one immutable snapshot, swapped
// whole.
package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
)

// Kind is a kind of objects in the store.
type Kind uint8

// Kinds of objects.
const (
	Configuration Kind = iota
	Backends
	DomainsOut
	Hosts
)

// String returns the name used in logs.
func (k Kind) String() string {
	return [...]string{"configuration", "backends", "domains_out", "hosts"}[k]
}

// Errors of Store.
var (
	// ErrHistoryGone says that changes after the given revision are no longer known.
	ErrHistoryGone = errors.New("the store's history is gone")
	// ErrUnusable says that an entry names nothing that could be used.
	ErrUnusable = errors.New("unusable entry")
)

// Change is one object that was written or deleted. The field of its kind is
// nil if it was deleted or cannot be used.
type Change struct {
	Name    string
	Deleted bool
	Table   *route.Table
	Backend *fleet.Backend
	Host    *fleet.Host
}

// Batch is a list of objects, or the changes of a watch, as of revision At.
type Batch struct {
	Changes []Change
	At      int64
}

// Store is the platform's metadata store.
type Store interface {
	// List returns all objects of a kind. A stale list is cheaper and may be
	// seconds old.
	List(ctx context.Context, kind Kind, stale bool) (Batch, error)
	// Watch waits for changes after a revision, for at most wait.
	Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) (Batch, error)
	// Register writes the entry of this host.
	Register(ctx context.Context, host fleet.Host) error
	// Forget removes the entry of a host.
	Forget(ctx context.Context, id string) error
}

// Server is a backend server as the snapshot holds it.
type Server struct {
	fleet.Backend
	// ColdUntil is on the directory's clock.
	ColdUntil time.Duration
	// Gone says that the entry is missing; the process may still end its work.
	Gone bool
}

// Closing reports whether the server gets no new work because it ends.
func (s *Server) Closing() bool { return s.Leaving || s.Gone }

// Snapshot is the deployment at one moment. It must not be changed.
type Snapshot struct {
	// Table is nil until a configuration was read.
	Table *route.Table
	// Servers by id, for a while also those that are gone.
	Servers map[string]*Server
	// Out holds the failure domains that get no new work.
	Out map[string]bool
	// Hosts are the entry hosts by id.
	Hosts map[string]fleet.Host
	// Complete says that every kind was read once.
	Complete bool
}

// Options configure a Directory.
type Options struct {
	Store Store
	// Clock counts suspended time too; see internal/boottime.
	Clock func() time.Duration
	Log   zerolog.Logger
	// AbsenceGrace is how long after the store's return a missing entry of a
	// backend server may still come back.
	AbsenceGrace time.Duration
	// Waits are the longest waits of the watches, by kind.
	Waits map[Kind]time.Duration
	// Changed is called after each new snapshot, with the one before.
	Changed func(old, now *Snapshot)
	Self    fleet.Host
}

const (
	// retryMin and retryMax bound the pause after a failed call. Each call is
	// paid for, refused ones too.
	retryMin = 150 * time.Millisecond
	retryMax = time.Second
	// batchPause collects changes that come shortly after one another in one call.
	batchPause = 60 * time.Millisecond
	// goneRetention is how long a server without an entry stays in the snapshot
	// for the requests that run there.
	goneRetention = 30 * time.Second
	// listTimeout bounds a list call.
	listTimeout = 2 * time.Second
	// waitJitter is the part of a wait that is left to chance: a fifth.
	waitJitter = 5
	// watchMargin is added to a watch's wait before it counts as failed.
	watchMargin = 700 * time.Millisecond
)

// Directory follows the store.
type Directory struct {
	opts      Options
	snapshot  atomic.Pointer[Snapshot]
	confirmed atomic.Int64 // Clock at which the configuration was last known to be current; 0: never
	answered  atomic.Int64 // Clock of the last answer to a call
	// regained is when a call on backend servers last succeeded after a failure.
	regained time.Duration

	mu      sync.Mutex // serializes writers of the state below
	state   Snapshot
	read    map[Kind]bool
	absent  map[string]time.Duration // ids of missing servers, since when
	goneAt  map[string]time.Duration
	backoff map[Kind]time.Duration
	// oldHosts are entries to delete; only registerLoop uses it.
	oldHosts []string
}

// New returns a Directory; Run must be called for it to work.
func New(opts Options) *Directory {
	d := &Directory{
		opts:    opts,
		read:    map[Kind]bool{},
		absent:  map[string]time.Duration{},
		goneAt:  map[string]time.Duration{},
		backoff: map[Kind]time.Duration{},
	}
	d.state = Snapshot{Servers: map[string]*Server{}, Out: map[string]bool{}, Hosts: map[string]fleet.Host{}}
	d.snapshot.Store(&Snapshot{})
	return d
}

// Snapshot returns the present snapshot.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// ConfigurationAge returns how long ago the configuration was known to be the
// newest, and false if it never was.
func (d *Directory) ConfigurationAge() (time.Duration, bool) {
	at := d.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return d.opts.Clock() - time.Duration(at), true
}

// AnswerAge returns how long ago the store last answered a call of this host.
func (d *Directory) AnswerAge() time.Duration {
	return d.opts.Clock() - time.Duration(d.answered.Load())
}

// Leaving records that a process was told to end, as learned from itself or
// from another host.
func (d *Directory) Leaving(id string, born int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.state.Servers[id]
	if old == nil || old.Born != born || old.Closing() {
		return
	}
	s := *old
	s.Leaving = true
	d.setServer(id, &s)
	d.opts.Log.Info().Str("backend", id).Msg("backend server leaves, learned without the store")
	d.publish()
}

// Run follows the store until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, kind := range []Kind{Configuration, Backends, DomainsOut} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.follow(ctx, kind)
		}()
	}
	wg.Add(2)
	go func() {
		defer wg.Done()
		d.expireLoop(ctx)
	}()
	go func() {
		defer wg.Done()
		d.registerLoop(ctx)
	}()
	wg.Wait()
}

// follow lists a kind and then watches it. It lists again only when changes
// were missed.
func (d *Directory) follow(ctx context.Context, kind Kind) {
	listed := false
	var at int64
	for ctx.Err() == nil {
		sent := d.opts.Clock()
		var batch Batch
		var err error
		if listed {
			batch, err = d.watch(ctx, kind, at)
		} else {
			batch, err = d.list(ctx, kind, false)
		}
		if errors.Is(err, ErrHistoryGone) {
			d.opts.Log.Info().Stringer("kind", kind).Int64("after", at).Msg("history gone, listing again")
			listed = false
			continue
		}
		if err != nil {
			d.failed(ctx, kind, err)
			continue
		}
		d.succeeded(kind)
		d.apply(kind, batch, !listed, sent)
		listed, at = true, batch.At
		if len(batch.Changes) > 0 && kind == Backends {
			sleep(ctx, batchPause)
		}
	}
}

func (d *Directory) list(ctx context.Context, kind Kind, stale bool) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return d.opts.Store.List(ctx, kind, stale)
}

func (d *Directory) watch(ctx context.Context, kind Kind, at int64) (Batch, error) {
	// Hosts that heard of the same change would otherwise call in step.
	wait := d.opts.Waits[kind]
	wait -= rand.N(wait/waitJitter + 1)
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	return d.opts.Store.Watch(ctx, kind, at, wait)
}

func (d *Directory) failed(ctx context.Context, kind Kind, err error) {
	d.mu.Lock()
	pause := d.backoff[kind]
	if pause == 0 {
		pause = retryMin
		d.opts.Log.Warn().Stringer("kind", kind).Err(err).Msg("store lost")
	}
	d.backoff[kind] = min(2*pause, retryMax)
	d.mu.Unlock()
	sleep(ctx, pause/2+rand.N(pause/2+1))
}

func (d *Directory) succeeded(kind Kind) {
	d.answered.Store(int64(d.opts.Clock()))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backoff[kind] == 0 {
		return
	}
	d.backoff[kind] = 0
	if kind == Backends {
		d.regained = d.opts.Clock()
	}
	d.opts.Log.Info().Stringer("kind", kind).Msg("store regained")
}

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
	if kind == Configuration && d.state.Table != nil {
		// Stored after the table: a request that reads the time finds it.
		d.confirmed.Store(int64(sent))
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
			if !s.Gone {
				drop(id)
			}
		}
	case DomainsOut:
		for name := range d.state.Out {
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
	if d.state.Out[c.Name] == !c.Deleted {
		return false
	}
	out := make(map[string]bool, len(d.state.Out)+1)
	for name := range d.state.Out {
		out[name] = true
	}
	if c.Deleted {
		delete(out, c.Name)
	} else {
		out[c.Name] = true
	}
	d.state.Out = out
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
		if old.Closing() == s.Closing() && old.Slots == s.Slots && s.ColdLeft == 0 && !old.Gone {
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
	if old == nil || old.Gone {
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
	s.Gone = true
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
	if d.opts.Changed != nil {
		d.opts.Changed(old, &next)
	}
}

// expireLoop ends the grace of missing servers and forgets those long gone.
func (d *Directory) expireLoop(ctx context.Context) {
	const interval = 250 * time.Millisecond
	for sleep(ctx, interval) {
		d.expire()
	}
}

func (d *Directory) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock()
	changed := false
	for id := range d.absent {
		if now-d.regained < d.opts.AbsenceGrace {
			continue
		}
		delete(d.absent, id)
		if old := d.state.Servers[id]; old != nil && !old.Gone {
			d.markGone(id, old, now)
			changed = true
		}
	}
	for id, at := range d.goneAt {
		if now-at > goneRetention {
			delete(d.goneAt, id)
			d.setServer(id, nil)
			changed = true
		}
	}
	if changed {
		d.publish()
	}
}

// sleep waits and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
