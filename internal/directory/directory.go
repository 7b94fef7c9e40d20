// Package directory maintains a snapshot of the deployment: the operators'
// configuration, the backend servers, the failure domains that are out of service,
// the entry hosts and, where a deployment has them, the requests for roll-outs. It lists and watches the platform's metadata store, or
// applies the updates that another host relays, and publishes each new state as
// an immutable snapshot that is replaced atomically.
package directory

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// Options configure a Directory.
type Options struct {
	Store Store
	// Clock also counts time in which the machine is suspended; see internal/boottime.
	Clock func() time.Duration
	Log   zerolog.Logger
	// AbsenceGrace is how long after a store outage a backend server whose entry is
	// missing has to register again before it counts as removed.
	AbsenceGrace time.Duration
	// WatchTimeouts are the longest times that a watch call waits for a change.
	WatchTimeouts map[Kind]time.Duration
	// OnChange is called after each new snapshot, with the previous and the new one.
	OnChange func(old, now *Snapshot)
	// RelayTime returns how long a store reader relays a change; nil means changeRetention.
	RelayTime func() time.Duration
	Self      fleet.Host
	// FirstStart is set if all hosts of the deployment start at about the same time.
	FirstStart bool
	// Rollouts is set if the deployment has roll-outs, so that the operators' requests for them are read.
	Rollouts bool
}

const (
	// retryMin and retryMax bound the exponential delay after a failed call. The
	// platform charges for every call, also for failed ones.
	retryMin = 150 * time.Millisecond
	retryMax = time.Second
	// batchDelay lets changes that follow each other closely arrive in one watch call.
	batchDelay = 20 * time.Millisecond
	// followerPause is the mean time between two watch calls of a host of a large deployment that follows no store reader
	// for the moment. When many do, each change would end a watch of each of them.
	followerPause = 300 * time.Millisecond
	// removedRetention is how long a removed server stays in the snapshot, for the
	// requests that still run there.
	removedRetention = 30 * time.Second
	// listTimeout limits one list call.
	listTimeout = 2 * time.Second
	// jitterDivisor sets the random part of a watch timeout: one fifth.
	jitterDivisor = 5
	// watchMargin is how long after its timeout a watch call counts as failed.
	watchMargin = 700 * time.Millisecond
)

// Directory keeps the snapshot up to date.
type Directory struct {
	opts Options
	// Metrics counts the requests for all backend servers and the lists because of differences between hosts.
	Metrics     expvar.Map
	snapshot    atomic.Pointer[Snapshot]
	confirmedAt atomic.Int64 // Clock time as of which the configuration is confirmed; 0: never
	respondedAt atomic.Int64 // Clock time of the last response of the store
	// recoveredAt is when a call for backend servers last succeeded after a failure, here
	// or at the store reader.
	recoveredAt time.Duration

	mu    sync.Mutex // guards recoveredAt and all non-atomic fields below
	state Snapshot
	// ownsServers and ownsHosts are set while the maps of state are no part of a snapshot, so that they may be changed.
	ownsServers, ownsHosts bool
	loaded                 map[Kind]bool
	missingSince           map[string]time.Duration // servers whose entries are missing after an outage
	removedAt              map[string]time.Duration
	domainMissingSince     map[string]time.Duration // domains out whose entries are missing since the store came back from an older copy
	backoff                map[Kind]time.Duration
	// cursor is the revision up to which the changes of a kind are applied. changeLog
	// holds the newest batches, and all changes after revision logStart. behind is set
	// when changes are missing that the relayed updates no longer contain.
	cursor    map[Kind]int64
	logStart  map[Kind]int64
	changeLog map[Kind][]loggedBatch
	behind    map[Kind]bool
	// behindSince is when behind was set.
	behindSince map[Kind]time.Duration
	// namedVersion is the highest version of the configuration that another host has named.
	namedVersion int64
	// relayed are the kinds whose changes are relayed one by one.
	relayed []Kind
	// era is the latest era of the store in which any kind was read after an earlier one, from eraBeganAt on; 0 if there was none.
	era        int64
	eraBeganAt time.Duration
	// objects is what the store says of the objects of each of these kinds.
	objects map[Kind]*objectSet
	// askedAt is when this host asked others for all objects of a kind, and listDue is set if it lists them itself.
	askedAt map[Kind]time.Duration
	listDue map[Kind]bool
	// differsSince is since when peers have other objects at the same version. nextDifferenceList and nextAsk are the earliest
	// times of the next list for that and of the next request for all backend servers.
	differsSince, nextDifferenceList map[Kind]time.Duration
	nextAsk                          time.Duration
	// rawConfiguration is the configuration as the store holds it; nil if unknown.
	rawConfiguration []byte
	// following is set when relayed updates replaced the host's own calls at the last check.
	following map[Kind]bool
	// relayedConfirmedAt is the newest relayed confirmation of the configuration.
	// relayEchoSentAt is when this host sent the message that the newest relayed update echoes.
	relayedConfirmedAt, relayEchoSentAt time.Duration
	// rolloutsEchoSentAt is the same of the newest update with the kind Rollouts. A store reader of an earlier build, or one
	// that has not listed them yet, relays none.
	rolloutsEchoSentAt time.Duration
	// storeReader is set if this host reads the store for others, relaying if it passes on what it knows, and
	// readersNamed if an aggregator names the store readers.
	storeReader, relaying, readersNamed atomic.Bool
	// readsFrom is the Clock time from which this host may be a store reader.
	readsFrom     atomic.Int64
	lastFailureAt atomic.Int64 // Clock time of the last failed call; 0: none
	// registerAttempted is closed after the first attempt to write the entry of this host.
	registerAttempted chan struct{}
	// entryLost receives a value when the store may have lost the entry of this host.
	entryLost chan struct{}
	// hostsListed is set after the first attempt to list the entries of all hosts.
	hostsListed atomic.Bool
}

// New returns a Directory; Run must be called for it to work.
func New(opts Options) *Directory {
	d := &Directory{
		opts:         opts,
		loaded:       map[Kind]bool{},
		missingSince: map[string]time.Duration{},
		removedAt:    map[string]time.Duration{},
		backoff:      map[Kind]time.Duration{},
		cursor:       map[Kind]int64{},
		logStart:     map[Kind]int64{},
		changeLog:    map[Kind][]loggedBatch{},
		behind:       map[Kind]bool{},
		behindSince:  map[Kind]time.Duration{},
		objects:      map[Kind]*objectSet{},
		askedAt:      map[Kind]time.Duration{},
		listDue:      map[Kind]bool{},
		differsSince: map[Kind]time.Duration{}, nextDifferenceList: map[Kind]time.Duration{},
		following: map[Kind]bool{},

		domainMissingSince: map[string]time.Duration{},

		registerAttempted: make(chan struct{}),
		entryLost:         make(chan struct{}, 1),
	}
	d.relayed = relayedKinds
	if opts.Rollouts {
		d.relayed = append(slices.Clone(relayedKinds), Rollouts)
	}
	for _, kind := range d.relayed {
		d.objects[kind] = newObjectSet()
	}
	d.state = Snapshot{Servers: map[string]*Server{}, DomainsOut: map[string]bool{}, Hosts: map[string]fleet.Host{}}
	d.snapshot.Store(&Snapshot{})
	return d
}

// Snapshot returns the current snapshot, which must not be changed.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// ConfigurationAge returns the time since the configuration was last confirmed to
// be the newest, and false if it never was.
func (d *Directory) ConfigurationAge() (time.Duration, bool) {
	at := d.confirmedAt.Load()
	if at == 0 {
		return 0, false
	}
	return d.opts.Clock() - time.Duration(at), true
}

// StoreResponseAge returns the time since the last successful store call of this host.
func (d *Directory) StoreResponseAge() time.Duration {
	return d.opts.Clock() - time.Duration(d.respondedAt.Load())
}

// MarkTerminating records the termination notice of a backend server's process, as
// reported by the process itself (here) or by another host; source names it in the log. It does
// nothing and returns false if the process with that start time is not the current one or
// is already terminating.
func (d *Directory) MarkTerminating(id string, startTime int64, here bool, source string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.state.Servers[id]
	if old == nil || old.StartTime != startTime || old.Terminating() {
		return false
	}
	s := *old
	s.Leaving, s.NoticeHere = true, here
	d.setServer(id, &s)
	d.opts.Log.Info().Str("backend", id).Str("source", source).Msg("backend server is terminating (reported by the server or a peer, not by the store)")
	d.publish()
	return true
}

// Run keeps the snapshot up to date, and the entry of this host registered, until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	if d.opts.FirstStart {
		d.readsFrom.Store(int64(d.opts.Clock() + firstReadDelay))
	}
	var wg sync.WaitGroup
	kinds := []Kind{Configuration, Backends, DomainsOut}
	if d.opts.Rollouts {
		kinds = append(kinds, Rollouts)
	}
	for _, kind := range kinds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.listAndWatch(ctx, kind)
		}()
	}
	for _, loop := range []func(context.Context){d.expireLoop, d.registerLoop, d.listHostsLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
}

// listAndWatch lists a kind and then watches it, unless a store reader relays its
// changes. It lists again only when changes were missed.
func (d *Directory) listAndWatch(ctx context.Context, kind Kind) {
	for listed := d.waitForFirst(ctx, kind); ctx.Err() == nil; {
		timeout := time.Duration(0)
		if listed {
			timeout = d.waitWhileRelayed(ctx, kind)
		}
		after := d.cursorOf(kind)
		sent := d.opts.Clock()
		var batch Batch
		var err error
		watch := listed && !d.configurationBehind(kind) && !d.listIsDue(kind)
		if watch {
			batch, err = d.watch(ctx, kind, after, timeout)
		} else {
			batch, err = d.list(ctx, kind, false)
		}
		if errors.Is(err, ErrCompacted) {
			d.opts.Log.Info().Stringer("kind", kind).Int64("after", StoreRevision(after)).Msg("store history compacted, or of a former era, listing again")
			listed = false
			continue
		}
		if err != nil {
			d.backOff(ctx, kind, err)
			continue
		}
		d.recordSuccess(kind)
		d.apply(kind, batch, !watch, sent)
		listed = true
		wait.For(ctx, d.pauseAfter(kind, batch))
	}
}

// pauseAfter returns how long a host waits after a call before it watches a kind again. A host that does not know the
// others may be one of many.
func (d *Directory) pauseAfter(kind Kind, batch Batch) time.Duration {
	hosts := len(d.Snapshot().Hosts)
	switch {
	case d.listIsDue(kind): // the list was overtaken by relayed changes
		return followerPollInterval
	case !d.IsStoreReader() && (hosts == 0 || hosts > topology.MaxMesh):
		return followerPause/2 + rand.N(followerPause)
	case len(batch.Changes) > 0 && kind == Backends:
		return batchDelay
	}
	return 0
}

// configurationBehind reports whether a relayed update named a newer configuration.
// It is then listed instead of watched, since its history may be compacted by now and
// the list holds a single object.
func (d *Directory) configurationBehind(kind Kind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return kind == Configuration && d.behind[kind]
}

// listIsDue reports whether a kind must be listed instead of watched to find what this host lacks although it has all changes.
func (d *Directory) listIsDue(kind Kind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listIsDueAt(kind, d.opts.Clock())
}

// listIsDueAt is listIsDue for callers that hold the lock. Other hosts have catchUpTime to send what this one asked for.
func (d *Directory) listIsDueAt(kind Kind, now time.Duration) bool {
	askedAt, asked := d.askedAt[kind]
	return d.listDue[kind] || asked && now-askedAt >= catchUpTime
}

func (d *Directory) cursorOf(kind Kind) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cursor[kind]
}

func (d *Directory) list(ctx context.Context, kind Kind, stale bool) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return d.opts.Store.List(ctx, kind, stale)
}

func (d *Directory) watch(ctx context.Context, kind Kind, after int64, timeout time.Duration) (Batch, error) {
	// Without jitter, hosts that received the same change would call at the same time.
	timeout -= rand.N(timeout/jitterDivisor + 1)
	ctx, cancel := context.WithTimeout(ctx, timeout+watchMargin)
	defer cancel()
	return d.opts.Store.Watch(ctx, kind, after, timeout)
}

// backOff records a failed call and waits before the next one.
func (d *Directory) backOff(ctx context.Context, kind Kind, err error) {
	d.lastFailureAt.Store(int64(d.opts.Clock()))
	d.mu.Lock()
	delay := d.backoff[kind]
	if delay == 0 {
		delay = retryMin
		d.opts.Log.Warn().Stringer("kind", kind).Err(err).Msg("store call failed, keeping the last snapshot and retrying")
	}
	d.backoff[kind] = min(2*delay, retryMax)
	d.mu.Unlock()
	wait.For(ctx, delay/2+rand.N(delay/2+1))
}

func (d *Directory) recordSuccess(kind Kind) {
	d.respondedAt.Store(int64(d.opts.Clock()))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backoff[kind] == 0 {
		return
	}
	d.backoff[kind] = 0
	if kind == Backends {
		d.recoveredAt = d.opts.Clock()
	}
	d.opts.Log.Info().Stringer("kind", kind).Msg("store calls succeed again")
}

// expireLoop removes missing servers after AbsenceGrace, takes missing domains back in after
// lostEntryGrace and drops removed servers after removedRetention.
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
	for id, since := range d.missingSince {
		if now-since < d.opts.AbsenceGrace {
			continue
		}
		delete(d.missingSince, id)
		if old := d.state.Servers[id]; old != nil && !old.Removed {
			d.markRemoved(id, old, now)
			changed = true
		}
	}
	for name, since := range d.domainMissingSince {
		if now-since >= lostEntryGrace {
			changed = d.applyDomain(Change{Name: name, Deleted: true}) || changed
		}
	}
	for id, at := range d.removedAt {
		if now-at > removedRetention {
			delete(d.removedAt, id)
			d.setServer(id, nil)
			changed = true
		}
	}
	if changed {
		d.publish()
	}
}
