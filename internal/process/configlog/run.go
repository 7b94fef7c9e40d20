package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	// watchWait is the length of a watch. A watch that ends unchanged proves
	// the revision as of its start, so the confirmed age reaches about twice
	// this value, below the 3 s of the freshness rule.
	watchWait = time.Second
	// callTimeout bounds one call beyond its wait, so that a stalled
	// connection does not stop the loop.
	callTimeout = 500 * time.Millisecond
	// idlePause is the interval at which a host that does not watch checks
	// whether it should.
	idlePause = 200 * time.Millisecond
	// watchInterval is the shortest time from one call to the next.
	watchInterval = 50 * time.Millisecond
	// backoffFirst and backoffMax bound the pause after failed calls. 2 s
	// limits 9 watchers of a cell to about 6 calls/s during an outage.
	backoffFirst = 100 * time.Millisecond
	backoffMax   = 2 * time.Second
)

// Run watches the head while Watching says so, until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	var seen seenHead
	known := false
	backoff := backoffFirst
	for ctx.Err() == nil {
		l.pruneIfRequested(ctx)
		if !l.watching() {
			known = false
			l.sleep(ctx, idlePause)
			continue
		}
		next, err := l.follow(ctx, seen, known)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			// The next read is a plain one, since the known version may be gone.
			known = false
			l.setError(err)
			l.logger.Warn().Err(err).Dur("backoff", backoff).Msg("configuration watch failed")
			l.sleep(ctx, backoff)
			backoff = min(2*backoff, backoffMax)
			continue
		}
		seen, known, backoff = next, true, backoffFirst
		l.sleep(ctx, watchInterval)
	}
	return ctx.Err()
}

// seenHead is the newest head that Run has read.
type seenHead struct {
	version  platform.Version
	revision config.Revision
}

func seenFrom(s state, err error) (seenHead, error) {
	if err != nil && !errors.Is(err, errSuperseded) {
		return seenHead{}, err
	}
	return seenHead{s.version, s.head.Revision}, nil
}

// follow makes one read or watch and returns the head that it saw.
func (l *Log) follow(ctx context.Context, seen seenHead, known bool) (seenHead, error) {
	if !known {
		ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		defer cancel()
		return seenFrom(l.readHead(ctx))
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	floor, sentAt := l.Current().Revision, l.now()
	object, err := l.store.Watch(ctx, HeadKey, seen.version, watchWait)
	if errors.Is(err, platform.ErrUnchanged) {
		if seen.revision < floor {
			return seen, fmt.Errorf("%w: unchanged at revision %d after %d", errStale, seen.revision, floor)
		}
		l.confirm(seen.revision, sentAt)
		l.setError(nil)
		return seen, nil
	}
	if err != nil {
		return seen, fmt.Errorf("watch %s: %w", HeadKey, err)
	}
	return seenFrom(l.adopt(ctx, object, floor, sentAt))
}

func (l *Log) pruneIfRequested(ctx context.Context) {
	l.mu.Lock()
	referenced := l.pruneAt
	l.pruneAt = 0
	l.mu.Unlock()
	if referenced == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait)
	defer cancel()
	if err := l.pruneCheckpoints(ctx, referenced); err != nil {
		l.logger.Warn().Err(err).Msg("old configuration checkpoints not removed")
		l.requestPrune(referenced)
	}
}
