package directory

import (
	"context"
	"math/rand/v2"
	"monsoonkeel.example/monsoonkeel/internal/wait"
	"time"
)

const (
	// heartbeatInterval is the time between two writes of this host's entry.
	heartbeatInterval = 20 * time.Second
	// hostListInterval is the time between two lists of all hosts, after the
	// initial ones.
	hostListInterval = 5 * time.Second
	// initialHostLists is the number of lists read soon after the start: when a
	// deployment starts, all hosts register at about that time.
	initialHostLists = 4
	// initialHostListInterval is the time between these lists.
	initialHostListInterval = 700 * time.Millisecond
	// hostExpiry is how long after its last heartbeat a host stays in the snapshot.
	hostExpiry = 60 * time.Second
	// registerTimeout limits one call that writes or deletes a host's entry.
	registerTimeout = 2 * time.Second
)

// registerLoop renews the entry of this host, lists the entries of all hosts and deletes
// stale ones.
func (d *Directory) registerLoop(ctx context.Context) {
	var lastRegistered time.Duration
	var due bool
	for n := 0; ctx.Err() == nil; n++ {
		now := d.opts.Clock()
		if lastRegistered == 0 || now-lastRegistered > heartbeatInterval {
			due = true
		}
		if due && d.register(ctx) {
			lastRegistered, due = now, false
		}
		if batch, err := d.list(ctx, Hosts, n >= initialHostLists); err == nil {
			d.staleHosts = findStaleHosts(batch, time.Now())
			d.apply(Hosts, liveHosts(batch, time.Now()), true, now)
		}
		d.deleteStaleHost(ctx)
		interval := hostListInterval
		if n < initialHostLists {
			interval = initialHostListInterval
		}
		wait.For(ctx, interval*3/4+rand.N(interval/2))
	}
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

// deleteStaleHost deletes the entry of one stale host. The deletion is idempotent, so
// several hosts may do it at the same time.
func (d *Directory) deleteStaleHost(ctx context.Context) {
	if len(d.staleHosts) == 0 {
		return
	}
	id := d.staleHosts[rand.IntN(len(d.staleHosts))]
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := d.opts.Store.Unregister(ctx, id); err != nil {
		d.opts.Log.Info().Str("entry_host", id).Err(err).Msg("deleting a stale host entry failed")
		return
	}
	d.opts.Log.Info().Str("entry_host", id).Msg("stale host entry deleted")
}
