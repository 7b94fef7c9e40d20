package connection

import (
	"context"
	"net"
	"sync"
	"time"
)

// PeekInterval is how often callers' connections are checked for a disconnect.
const PeekInterval = 200 * time.Millisecond

// Watcher cancels requests whose caller has disconnected. fasthttp handlers do
// not see a disconnect until a write fails, so a request that waits in a queue
// or for its first token would keep its engine busy.
type Watcher struct {
	mu      sync.Mutex
	watched map[*watch]struct{}
}

type watch struct {
	conn   net.Conn
	cancel context.CancelFunc
}

// NewWatcher returns a Watcher; Run must be called for it to work.
func NewWatcher() *Watcher {
	return &Watcher{watched: map[*watch]struct{}{}}
}

// Add cancels when the remote side of conn closes. The returned function ends
// the watch and must be called before conn is closed locally.
func (w *Watcher) Add(conn net.Conn, cancel context.CancelFunc) (remove func()) {
	entry := &watch{conn: conn, cancel: cancel}
	w.mu.Lock()
	w.watched[entry] = struct{}{}
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		delete(w.watched, entry)
		w.mu.Unlock()
	}
}

// Run checks the watched connections until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(PeekInterval)
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
	w.mu.Lock()
	entries := make([]*watch, 0, len(w.watched))
	for e := range w.watched {
		entries = append(entries, e)
	}
	w.mu.Unlock()
	for _, e := range entries {
		if peerClosed(e.conn) {
			e.cancel()
		}
	}
}
