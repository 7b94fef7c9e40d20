package directory

import (
	"context"
	"math/rand/v2"
	"monsoonkeel.example/monsoonkeel/internal/wait"
	"time"
)

const (
	// heartbeatInterval is the time between two writes of this host's entry.
	heartbeatInterval = 60 * time.Second
	// hostListInterval is the time between two lists of all hosts, after the initial ones.
	hostListInterval = 5 * time.Second
	// initialHostLists is the number of lists read soon after the start: when a
	// deployment starts, all hosts register at about that time.
	initialHostLists = 4
	// firstStartDelay is the mean time until the first list where all hosts start, in which they register.
	firstStartDelay = 800 * time.Millisecond
	// initialHostListInterval is the time between these lists, and between two attempts to register.
	initialHostListInterval = 700 * time.Millisecond
	// hostExpiry is how long after its last heartbeat a host stays in the snapshot.
	hostExpiry = 3 * heartbeatInterval
	// reregisterSpread is the time in which all hosts write their entries again after the store has lost some, and lostEntryGrace how
	// long the entry of a host, or of a domain out of service, may be missing then: hosts do not learn of it at the same time.
	reregisterSpread = 2 * time.Second
	lostEntryGrace   = 3 * reregisterSpread
	// registerTimeout limits one call that writes or deletes a host's entry.
	registerTimeout = 2 * time.Second
)

// registerLoop renews the entry of this host.
func (d *Directory) registerLoop(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		interval := initialHostListInterval
		if d.register(ctx) {
			interval = heartbeatInterval
		}
		if first {
			first = false
			close(d.registerAttempted)
		}
		d.waitToRegister(ctx, interval*3/4+rand.N(interval/2))
	}
}

// waitToRegister waits for an interval, or less if the store may have lost the entry of this host. All hosts learn of that at about
// the same time.
func (d *Directory) waitToRegister(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.entryLost:
		wait.For(ctx, rand.N(reregisterSpread))
	}
}

// listHostsLoop lists the entries of all hosts and deletes stale ones, unless another host relays them. Where all hosts
// start for the first time, it begins when they have registered.
func (d *Directory) listHostsLoop(ctx context.Context) {
	if d.opts.FirstStart {
		select {
		case <-d.registerAttempted:
		case <-ctx.Done():
		}
		wait.For(ctx, firstStartDelay/2+rand.N(firstStartDelay))
	}
	for n := 0; ctx.Err() == nil; n++ {
		if !d.hostsAreRelayed() {
			// Data that is seconds old does not show that this host is alone.
			d.listHosts(ctx, n == 0 || n >= initialHostLists || len(d.Snapshot().Hosts) > 1)
		}
		d.hostsListed.Store(true)
		if n == 0 && !d.listsItself() {
			d.listOnceRegistered(ctx)
		}
		interval := hostListInterval
		if n < initialHostLists {
			interval = initialHostListInterval
		}
		wait.For(ctx, interval*3/4+rand.N(interval/2))
	}
}

// listsItself reports whether this host is in its list of all hosts, from its registration or that of its predecessor.
func (d *Directory) listsItself() bool { return d.Snapshot().Hosts[d.opts.Self.ID].ID != "" }

// listOnceRegistered lists the hosts again when this host, which is new, has registered: bounds are divided by their
// number.
func (d *Directory) listOnceRegistered(ctx context.Context) {
	select {
	case <-d.registerAttempted:
		d.listHosts(ctx, true)
	case <-ctx.Done():
	}
}

// hostsAreRelayed reports whether another host relays the entries of all hosts.
func (d *Directory) hostsAreRelayed() bool {
	d.mu.Lock()
	loaded := d.loaded[Hosts]
	d.mu.Unlock()
	relayed, behind := d.relayStatus(Hosts)
	return loaded && relayed && !behind
}

func (d *Directory) listHosts(ctx context.Context, stale bool) {
	sent := d.opts.Clock()
	batch, err := d.list(ctx, Hosts, stale)
	if err != nil {
		d.opts.Log.Info().Err(err).Msg("listing the entry hosts failed, keeping the last list")
		return
	}
	now := time.Now()
	stalest := findStaleHosts(batch, now)
	d.apply(Hosts, liveHosts(batch, now), true, sent)
	if others := d.Snapshot().Hosts; !stale && (len(others) == 0 || len(others) == 1 && others[d.opts.Self.ID].ID != "") {
		d.SetStoreReader(true) // this host is alone
	}
	d.deleteStaleHost(ctx, stalest)
}

func (d *Directory) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	self := d.opts.Self
	self.HeartbeatTime = time.Now().Unix()
	if err := d.opts.Store.Register(ctx, self); err != nil {
		d.opts.Log.Warn().Err(err).Msg("registering this host in the store failed")
		return false
	}
	return true
}

// liveHosts drops the hosts whose heartbeat is more than hostExpiry older than the
// newest one. Wall clocks differ and step by seconds, which hostExpiry exceeds.
func liveHosts(b Batch, now time.Time) Batch {
	newest := newestHeartbeat(b, now)
	kept := b.Changes[:0]
	for _, c := range b.Changes {
		if c.Host != nil && plausible(c.Host.HeartbeatTime, now) && c.Host.HeartbeatTime >= newest-int64(hostExpiry/time.Second) {
			// Renewals are no changes of the host.
			c.Host.HeartbeatTime = 0
			kept = append(kept, c)
		}
	}
	b.Changes = kept
	return b
}

// maxClockDifference is how far the wall clocks of two hosts may differ.
const maxClockDifference = time.Hour

// newestHeartbeat returns the newest time of a heartbeat, in Unix seconds.
func newestHeartbeat(b Batch, now time.Time) (newest int64) {
	for _, c := range b.Changes {
		if c.Host != nil && plausible(c.Host.HeartbeatTime, now) {
			newest = max(newest, c.Host.HeartbeatTime)
		}
	}
	return newest
}

// plausible reports whether a heartbeat is not from the future. One that is would make all others too old.
func plausible(heartbeat int64, now time.Time) bool {
	return heartbeat <= now.Add(maxClockDifference).Unix()
}

// staleHostRetention is how long after its last heartbeat a host's entry may be
// deleted from the store.
const staleHostRetention = 10 * time.Minute

// findStaleHosts returns the hosts whose entries may be deleted.
func findStaleHosts(b Batch, now time.Time) []string {
	newest := newestHeartbeat(b, now)
	var stale []string
	for _, c := range b.Changes {
		if c.Host != nil && c.Host.HeartbeatTime < newest-int64(staleHostRetention/time.Second) {
			stale = append(stale, c.Name)
		}
	}
	return stale
}

// deleteStaleHost deletes the entry of one of the stale hosts, if there are any. The deletion is idempotent, so
// several hosts may do it at the same time.
func (d *Directory) deleteStaleHost(ctx context.Context, stale []string) {
	if len(stale) == 0 {
		return
	}
	id := stale[rand.IntN(len(stale))]
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := d.opts.Store.Unregister(ctx, id); err != nil {
		d.opts.Log.Info().Str("entry_host", id).Err(err).Msg("deleting a stale host entry failed")
		return
	}
	d.opts.Log.Info().Str("entry_host", id).Msg("stale host entry deleted")
}
