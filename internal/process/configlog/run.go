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
	// watchTimeout is the duration of a watch of an unchanged head. Such a watch
	// confirms the revision as of its start, so the confirmed age reaches about
	// twice this value, which is below the freshness bound of 3 s.
	watchTimeout = time.Second
	// callTimeout is added to the duration of a watch, so that a stalled
	// connection does not block the loop. A read has twice this timeout.
	callTimeout = 500 * time.Millisecond
	// watcherPollInterval is the interval at which a host that is not a watcher
	// calls IsWatcher.
	watcherPollInterval = 200 * time.Millisecond
	// minCallInterval is the time between the end of a call and the next call.
	minCallInterval = 50 * time.Millisecond
	// minBackoff and maxBackoff limit the delay after a failed call. With 2 s,
	// the 9 watchers of a cell make about 6 calls/s during an outage.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Run watches the head while IsWatcher returns true, until ctx ends. Failed
// calls are logged and retried; the error is that of ctx.
func (l *Log) Run(ctx context.Context) error {
	var observed observedHead
	canWatch := false
	backoff := minBackoff
	for ctx.Err() == nil {
		l.pruneIfRequested(ctx)
		if !l.isWatcher() {
			canWatch = false
			l.sleep(ctx, watcherPollInterval)
			continue
		}
		next, err := l.readOrWatch(ctx, observed, canWatch)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			// The next call is a read, since the watched version may no longer exist.
			canWatch = false
			l.setError(err)
			l.logger.Warn().Err(err).Dur("backoff", backoff).Msg("configuration watch failed")
			l.sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		observed, canWatch, backoff = next, true, minBackoff
		l.sleep(ctx, minCallInterval)
	}
	return ctx.Err()
}

// observedHead is the head that Run has read last.
type observedHead struct {
	version  platform.Version
	revision config.Revision
}

func observedFrom(s headState, err error) (observedHead, error) {
	if err != nil && !errors.Is(err, errSuperseded) {
		return observedHead{}, err
	}
	return observedHead{s.version, s.head.Revision}, nil
}

// readOrWatch reads the head, or watches it from the observed one if canWatch is
// set, and returns the head that it then observed.
func (l *Log) readOrWatch(ctx context.Context, observed observedHead, canWatch bool) (observedHead, error) {
	if !canWatch {
		ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		defer cancel()
		return observedFrom(l.readHead(ctx))
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+callTimeout)
	defer cancel()
	minRevision, sentAt := l.Current().Revision, l.now()
	object, err := l.store.Watch(ctx, HeadKey, observed.version, watchTimeout)
	if errors.Is(err, platform.ErrUnchanged) {
		if observed.revision < minRevision {
			return observed, fmt.Errorf("%w: watch ended unchanged at revision %d, expected at least %d", errStaleHead, observed.revision, minRevision)
		}
		l.confirm(observed.revision, sentAt)
		l.setError(nil)
		return observed, nil
	}
	if err != nil {
		return observed, fmt.Errorf("watch %s: %w", HeadKey, err)
	}
	return observedFrom(l.adopt(ctx, object, minRevision, sentAt))
}

func (l *Log) pruneIfRequested(ctx context.Context) {
	l.mu.Lock()
	referenced := l.pruneAt
	l.pruneAt = 0
	l.mu.Unlock()
	if referenced == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if err := l.pruneCheckpoints(ctx, referenced); err != nil {
		l.logger.Warn().Err(err).Msg("old configuration checkpoints not removed, retrying later")
		l.requestPrune(referenced)
	}
}
