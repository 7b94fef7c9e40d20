package directory

import (
	"context"
	"math/rand/v2"
	"monsoonkeel.example/monsoonkeel/internal/wait"
	"time"
)

const (
	// registerInterval is how often a host renews its entry.
	registerInterval = 20 * time.Second
	// hostListInterval is how often the entries of all hosts are read, after
	// the first reads.
	hostListInterval = 5 * time.Second
	// firstHostLists are read soon after the start, when all hosts register.
	firstHostLists = 4
	// firstHostListInterval is the pause between them.
	firstHostListInterval = 700 * time.Millisecond
	// hostRetention is how long a host counts after its last registration.
	hostRetention = 60 * time.Second
	// registerTimeout bounds a registration.
	registerTimeout = 2 * time.Second
)

// registerLoop keeps the entry of this host and reads those of the others.
func (d *Directory) registerLoop(ctx context.Context) {
	var registered time.Duration
	var due bool
	for n := 0; ctx.Err() == nil; n++ {
		now := d.opts.Clock()
		if registered == 0 || now-registered > registerInterval {
			due = true
		}
		if due && d.register(ctx) {
			registered, due = now, false
		}
		if batch, err := d.list(ctx, Hosts, n >= firstHostLists); err == nil {
			d.oldHosts = oldHosts(batch)
			d.apply(Hosts, recent(batch), true, now)
		}
		d.forgetOld(ctx)
		pause := hostListInterval
		if n < firstHostLists {
			pause = firstHostListInterval
		}
		wait.For(ctx, pause*3/4+rand.N(pause/2))
	}
}

func (d *Directory) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	self := d.opts.Self
	self.HeartbeatTime = time.Now().Unix()
	if err := d.opts.Store.Register(ctx, self); err != nil {
		d.opts.Log.Warn().Err(err).Msg("registration failed")
		return false
	}
	return true
}

// recent drops the hosts whose last registration is too old. Wall clocks differ
// and step by seconds, which the retention exceeds.
func recent(b Batch) Batch {
	newest := int64(0)
	for _, c := range b.Changes {
		if c.Host != nil {
			newest = max(newest, c.Host.HeartbeatTime)
		}
	}
	kept := b.Changes[:0]
	for _, c := range b.Changes {
		if c.Host != nil && newest-c.Host.HeartbeatTime <= int64(hostRetention/time.Second) {
			kept = append(kept, c)
		}
	}
	b.Changes = kept
	return b
}

// forgottenAfter is how long after its last registration a host's entry is
// deleted from the store.
const forgottenAfter = 10 * time.Minute

// oldHosts returns the hosts whose entries can be deleted.
func oldHosts(b Batch) []string {
	newest := int64(0)
	for _, c := range b.Changes {
		if c.Host != nil {
			newest = max(newest, c.Host.HeartbeatTime)
		}
	}
	var old []string
	for _, c := range b.Changes {
		if c.Host != nil && newest-c.Host.HeartbeatTime > int64(forgottenAfter/time.Second) {
			old = append(old, c.Name)
		}
	}
	return old
}

// forgetOld deletes one old entry. Hosts that do so at the same time do no harm.
func (d *Directory) forgetOld(ctx context.Context) {
	if len(d.oldHosts) == 0 {
		return
	}
	id := d.oldHosts[rand.IntN(len(d.oldHosts))]
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := d.opts.Store.Unregister(ctx, id); err != nil {
		d.opts.Log.Info().Str("entry_host", id).Err(err).Msg("old entry not deleted")
		return
	}
	d.opts.Log.Info().Str("entry_host", id).Msg("old entry deleted")
}
