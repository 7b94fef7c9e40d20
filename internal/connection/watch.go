package connection

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// CheckInterval is the time between two checks of callers' connections.
	CheckInterval = 200 * time.Millisecond
	// watchShards is the number of shards of the watched connections. Each has its own
	// lock, which reduces contention between requests.
	watchShards = 32
)

// Watcher cancels requests whose caller has disconnected. A fasthttp handler doesn't
// notice a disconnect until a write fails, so a request that waits in a queue or for its
// first token would occupy its engine until then.
type Watcher struct {
	next   atomic.Uint32
	shards [watchShards]watchShard
}

type watchShard struct {
	mu      sync.Mutex
	watched map[*watch]struct{}
}

type watch struct {
	conn   net.Conn
	cancel context.CancelFunc
}

// NewWatcher returns a Watcher; Run must be called for it to work.
func NewWatcher() *Watcher {
	w := &Watcher{}
	for i := range w.shards {
		w.shards[i].watched = map[*watch]struct{}{}
	}
	return w
}

// Add calls cancel when the remote side closes conn. The returned function ends the
// watch and must be called before conn is closed locally.
func (w *Watcher) Add(conn net.Conn, cancel context.CancelFunc) (remove func()) {
	entry := &watch{conn: conn, cancel: cancel}
	shard := &w.shards[w.next.Add(1)%watchShards]
	shard.mu.Lock()
	shard.watched[entry] = struct{}{}
	shard.mu.Unlock()
	return func() {
		shard.mu.Lock()
		delete(shard.watched, entry)
		shard.mu.Unlock()
	}
}

// Run checks the watched connections until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.sweep()
		}
	}
}

func (w *Watcher) sweep() {
	for i := range w.shards {
		for _, e := range w.shards[i].entries() {
			if peerClosed(e.conn) {
				e.cancel()
			}
		}
	}
}

func (s *watchShard) entries() []*watch {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]*watch, 0, len(s.watched))
	for e := range s.watched {
		entries = append(entries, e)
	}
	return entries
}
