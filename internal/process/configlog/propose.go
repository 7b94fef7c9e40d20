package configlog

import (
	"context"
	"errors"
	"time"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	// minRetryDelay and maxRetryDelay limit the delay before a proposal is retried.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxHeadBytes limits the growth of the head while compactions fail, well
	// below platform.MaxObjectBytes.
	maxHeadBytes = platform.MaxObjectBytes / 2
)

// Propose stores the change durably and returns the revision at which it was
// accepted. It is idempotent: a change with an accepted id and the same
// operations returns the revision of the accepted one.
//
// The error is a *config.ValidationError, a *config.ConflictError or a
// *verdict.Error. NotRun means that the change was not and will not be accepted,
// MayHaveRun that the outcome was unknown when ctx ended.
func (l *Log) Propose(ctx context.Context, change config.Change) (config.Revision, error) {
	select {
	case l.proposing <- struct{}{}:
		defer func() { <-l.proposing }()
	case <-ctx.Done():
		return 0, notAcceptedError(ctx.Err())
	}
	p := proposal{log: l, change: change}
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		rev, done, err := p.attempt(ctx)
		if done {
			return rev, err
		}
		if !l.sleep(ctx, delay) {
			return 0, p.outcomeError(errors.Join(err, ctx.Err()))
		}
	}
}

func notAcceptedError(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, 503, "config_unavailable", "the change was not accepted")
}

// proposal is one Propose call.
type proposal struct {
	log    *Log
	change config.Change
	// openVersion is the version that a write with an unknown outcome expects.
	// The write can take effect while the head has this version. It is only valid
	// if outcomeUnknown is set.
	openVersion    platform.Version
	outcomeUnknown bool
}

func (p *proposal) outcomeError(cause error) error {
	if p.outcomeUnknown {
		return verdict.Wrap(cause, verdict.MayHaveRun, 504, "config_undecided",
			"the outcome of the change is unknown; look up its id or repeat the change with the same id")
	}
	return notAcceptedError(cause)
}

// attempt reads the head and makes one conditional update. done is false if
// another attempt can determine the outcome.
func (p *proposal) attempt(ctx context.Context) (rev config.Revision, done bool, err error) {
	s, err := p.log.readHead(ctx)
	if err != nil {
		return p.readFailed(err)
	}
	found, err := p.log.findChange(ctx, s, p.change.ID)
	if err != nil {
		return p.readFailed(err)
	}
	if found.Revision != 0 {
		if found.OpsHash != p.change.OpsHash() {
			return 0, true, &config.ValidationError{Problems: []string{"change id " + p.change.ID + " was accepted with other operations"}}
		}
		return found.Revision, true, nil
	}
	// A write that expects an older version can no longer take effect.
	if p.outcomeUnknown && s.version > p.openVersion {
		p.outcomeUnknown = false
	}
	next, err := config.Apply(s.doc, p.change)
	if err != nil {
		// While the outcome of a write is unknown, the head may have been read
		// before it took effect; the change can then appear invalid although it
		// was accepted.
		return 0, !p.outcomeUnknown, err
	}
	return p.write(ctx, s, next)
}

// readFailed ends the proposal if no write may take effect, so that the
// operator's tool can try another daemon without delay. A stale or superseded
// head is read again.
func (p *proposal) readFailed(err error) (config.Revision, bool, error) {
	if p.outcomeUnknown || errors.Is(err, errStaleHead) || errors.Is(err, errSuperseded) {
		return 0, false, err
	}
	return 0, true, notAcceptedError(err)
}

func (p *proposal) write(ctx context.Context, s headState, next *config.Document) (config.Revision, bool, error) {
	raw, checkpoint, err := p.encodeHead(ctx, s)
	if err != nil {
		return 0, !p.outcomeUnknown, p.outcomeError(err)
	}
	sentAt := p.log.now()
	_, err = p.log.store.Put(ctx, HeadKey, s.version, raw)
	switch {
	case err == nil:
		p.log.publish(next, []config.Entry{{Revision: next.Revision, Change: p.change}})
		p.log.confirm(next.Revision, sentAt)
		p.log.requestPrune(checkpoint)
		return next.Revision, true, nil
	case errors.Is(err, platform.ErrConflict):
		return 0, false, err
	case errors.Is(err, platform.ErrUnavailable):
		return 0, !p.outcomeUnknown, p.outcomeError(err)
	default:
		p.outcomeUnknown, p.openVersion = true, s.version
		return 0, false, err
	}
}

// encodeHead returns the head with the change added, compacted if needed, and
// the revision of a newly written checkpoint or 0. A failed compaction is
// retried by the next proposal.
func (p *proposal) encodeHead(ctx context.Context, s headState) (raw []byte, checkpoint config.Revision, err error) {
	head := s.head
	if needsCompaction(head.Tail, &p.change) {
		if shorter, err := p.log.compact(ctx, s); err != nil {
			p.log.logger.Warn().Err(err).Msg("configuration checkpoint not written, head not compacted")
		} else {
			head, checkpoint = shorter, shorter.Checkpoint
		}
	}
	tail := append(append([]config.Change(nil), head.Tail...), p.change)
	next := &config.Head{Revision: head.Revision + 1, Checkpoint: head.Checkpoint, Tail: tail}
	if raw, err = config.Encode(next); err != nil {
		return nil, 0, err
	}
	if len(raw) > maxHeadBytes {
		return nil, 0, errors.New("configuration head exceeds its size limit and could not be compacted")
	}
	return raw, checkpoint, nil
}

// requestPrune makes Run remove the checkpoints that are older than checkpoint.
func (l *Log) requestPrune(checkpoint config.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pruneAt = max(l.pruneAt, checkpoint)
}

// Lookup reads the head and returns the revision at which a change id was
// accepted, or false if neither the tail nor the checkpoint contains it. While a
// proposal of the change is in progress, the change may still be accepted.
func (l *Log) Lookup(ctx context.Context, id string) (config.Revision, bool, error) {
	s, err := l.readHead(ctx)
	if err != nil && !errors.Is(err, errSuperseded) {
		return 0, false, err
	}
	found, err := l.findChange(ctx, s, id)
	return found.Revision, found.Revision != 0, err
}

// sleep waits for a random time from delay/2 to delay and returns false if ctx
// ended.
func (l *Log) sleep(ctx context.Context, delay time.Duration) bool {
	delay = delay/2 + time.Duration(l.random()*float64(delay/2))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
