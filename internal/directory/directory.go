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
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// Options configure a Directory.
type Options struct {
	Store Store
	// Clock counts suspended time too; see internal/boottime.
	Clock func() time.Duration
	Log   zerolog.Logger
	// AbsenceGrace is how long after the store's return a missing entry of a
	// backend server may still come back.
	AbsenceGrace time.Duration
	// WatchTimeouts are the longest waits of the watches, by kind.
	WatchTimeouts map[Kind]time.Duration
	// OnChange is called after each new snapshot, with the one before.
	OnChange func(old, now *Snapshot)
	Self     fleet.Host
}

const (
	// retryMin and retryMax bound the pause after a failed call. Each call is
	// paid for, refused ones too.
	retryMin = 150 * time.Millisecond
	retryMax = time.Second
	// batchPause collects changes that come shortly after one another in one call.
	batchPause = 20 * time.Millisecond
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
	// cursor is the revision up to which a kind is known, logs its newest
	// batches, base the revision after which these hold all changes. behind says
	// that relays lack changes.
	cursor map[Kind]int64
	base   map[Kind]int64
	logs   map[Kind][]logged
	behind map[Kind]bool
	// relayed says that a kind was last left to the readers.
	relayed map[Kind]bool
	// relayedAt is when the newest relayed configuration was confirmed, heardAt
	// when this host sent the message that the newest relay answers.
	relayedAt, heardAt time.Duration
	reader             atomic.Bool
	failedAt           atomic.Int64 // Clock of the last failed call; 0: none
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
		cursor:  map[Kind]int64{},
		base:    map[Kind]int64{},
		logs:    map[Kind][]logged{},
		behind:  map[Kind]bool{},
		relayed: map[Kind]bool{},
	}
	d.reader.Store(true) // until other hosts are heard
	d.state = Snapshot{Servers: map[string]*Server{}, DomainsOut: map[string]bool{}, Hosts: map[string]fleet.Host{}}
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

// StoreResponseAge returns how long ago the store last answered a call of this host.
func (d *Directory) StoreResponseAge() time.Duration {
	return d.opts.Clock() - time.Duration(d.answered.Load())
}

// MarkTerminating records that a process was told to end, as learned from itself or
// from another host.
func (d *Directory) MarkTerminating(id string, born int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.state.Servers[id]
	if old == nil || old.StartTime != born || old.Terminating() {
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

// follow lists a kind and then watches it, unless a reader relays it. It lists
// again only when changes were missed.
func (d *Directory) follow(ctx context.Context, kind Kind) {
	for listed := false; ctx.Err() == nil; {
		bound := time.Duration(0)
		if listed {
			bound = d.awaitRelay(ctx, kind)
		}
		at := d.position(kind)
		sent := d.opts.Clock()
		var batch Batch
		var err error
		if listed && !d.configurationBehind(kind) {
			batch, err = d.watch(ctx, kind, at, bound)
		} else {
			batch, err = d.list(ctx, kind, false)
		}
		if errors.Is(err, ErrCompacted) {
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
		listed = true
		if len(batch.Changes) > 0 && kind == Backends {
			wait.For(ctx, batchPause)
		}
	}
}

// configurationBehind reports whether a newer configuration was heard of. Its
// history may be gone by now, and a list holds a single object.
func (d *Directory) configurationBehind(kind Kind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return kind == Configuration && d.behind[kind]
}

func (d *Directory) position(kind Kind) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cursor[kind]
}

func (d *Directory) list(ctx context.Context, kind Kind, stale bool) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return d.opts.Store.List(ctx, kind, stale)
}

func (d *Directory) watch(ctx context.Context, kind Kind, at int64, wait time.Duration) (Batch, error) {
	// Hosts that heard of the same change would otherwise call in step.
	wait -= rand.N(wait/waitJitter + 1)
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	return d.opts.Store.Watch(ctx, kind, at, wait)
}

func (d *Directory) failed(ctx context.Context, kind Kind, err error) {
	d.failedAt.Store(int64(d.opts.Clock()))
	d.mu.Lock()
	pause := d.backoff[kind]
	if pause == 0 {
		pause = retryMin
		d.opts.Log.Warn().Stringer("kind", kind).Err(err).Msg("store lost")
	}
	d.backoff[kind] = min(2*pause, retryMax)
	d.mu.Unlock()
	wait.For(ctx, pause/2+rand.N(pause/2+1))
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

// expireLoop ends the grace of missing servers and forgets those long gone.
func (d *Directory) expireLoop(ctx context.Context) {
	const interval = 250 * time.Millisecond
	for wait.For(ctx, interval) {
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
		if old := d.state.Servers[id]; old != nil && !old.Removed {
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
