package directory

import (
	"context"
	"time"

	"monsoonkeel.example/monsoonkeel/core/topology"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

const (
	// hostsGrace is how long a host that starts waits for the list of all hosts. In a small deployment it reads the store
	// as soon as it has the list; in a large one it waits for the state of other hosts, for startGrace at most, or for
	// firstStartGrace where all hosts start for the first time.
	hostsGrace      = 500 * time.Millisecond
	startGrace      = 1500 * time.Millisecond
	firstStartGrace = 4 * time.Second
	// firstReadDelay is the time from the start of all hosts until a host reads the store for others: before, the
	// hosts do not know each other, and many would.
	firstReadDelay = 2500 * time.Millisecond
	// firstPollInterval is how often it checks whether it has received them.
	firstPollInterval = 20 * time.Millisecond
)

// waitForFirst waits until another host has relayed all objects of a kind, or this host is to read them itself. It
// reports whether they were relayed.
func (d *Directory) waitForFirst(ctx context.Context, kind Kind) bool {
	start := d.opts.Clock()
	for {
		d.mu.Lock()
		loaded, hosts := d.loaded[kind], len(d.state.Hosts)
		d.mu.Unlock()
		if loaded {
			return true
		}
		if d.IsStoreReader() || d.opts.Clock()-start >= d.startGrace(hosts) || !wait.For(ctx, firstPollInterval) {
			return false
		}
	}
}

// startGrace returns how long a host waits for the state of others, of which it knows a number.
func (d *Directory) startGrace(hosts int) time.Duration {
	switch {
	case d.opts.FirstStart:
		return firstStartGrace
	case hosts > topology.MaxMesh:
		return startGrace
	case !d.hostsListed.Load():
		return hostsGrace
	default:
		return 0
	}
}
