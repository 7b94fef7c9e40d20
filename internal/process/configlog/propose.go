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
	// retryFirst and retryMax bound the pause between two tries of a proposal.
	retryFirst = 20 * time.Millisecond
	retryMax   = 500 * time.Millisecond
	// maxHeadBytes leaves the head far below platform.MaxObjectBytes while a
	// compaction fails.
	maxHeadBytes = platform.MaxObjectBytes / 2
)

// Propose makes the change durable and returns the revision at which it was
// accepted. Proposing an accepted change id again returns its revision.
//
// The error is a *config.ValidationError, a *config.ConflictError, or a
// *verdict.Error: NotRun means that the change was not and will not be
// accepted, MayHaveRun that the outcome was still open when ctx ended.
func (l *Log) Propose(ctx context.Context, change config.Change) (config.Revision, error) {
	select {
	case l.proposing <- struct{}{}:
		defer func() { <-l.proposing }()
	case <-ctx.Done():
		return 0, notAccepted(ctx.Err())
	}
	p := proposal{log: l, change: change}
	for pause := retryFirst; ; pause = min(2*pause, retryMax) {
		rev, done, err := p.attempt(ctx)
		if done {
			return rev, err
		}
		if !l.sleep(ctx, pause) {
			return 0, p.unfinished(errors.Join(err, ctx.Err()))
		}
	}
}

func notAccepted(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, 503, "config_unavailable", "the change was not accepted")
}

// proposal is one Propose call.
type proposal struct {
	log    *Log
	change config.Change
	// open is the version that an unanswered write expects; it can still take
	// effect while the head has this version. Only valid if ambiguous.
	open      platform.Version
	ambiguous bool
}

func (p *proposal) unfinished(cause error) error {
	if p.ambiguous {
		return verdict.Wrap(cause, verdict.MayHaveRun, 504, "config_undecided",
			"the outcome of the change is unknown; ask for its id or repeat it with the same id")
	}
	return notAccepted(cause)
}

// attempt reads the head and tries one conditional update. done is false if
// another attempt may decide the outcome.
func (p *proposal) attempt(ctx context.Context) (rev config.Revision, done bool, err error) {
	s, err := p.log.readHead(ctx)
	if err != nil {
		return p.readFailed(err)
	}
	found, err := p.log.find(ctx, s, p.change.ID)
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
	if p.ambiguous && s.version > p.open {
		p.ambiguous = false
	}
	next, err := config.Apply(s.doc, p.change)
	if err != nil {
		// While a write is open the head read may be an old one, on which the
		// change can look invalid although it was accepted.
		return 0, !p.ambiguous, err
	}
	return p.write(ctx, s, next)
}

// readFailed ends the proposal if nothing was written: a quick refusal lets
// the operator's tool try another daemon.
func (p *proposal) readFailed(err error) (config.Revision, bool, error) {
	if p.ambiguous || errors.Is(err, errStale) || errors.Is(err, errSuperseded) {
		return 0, false, err
	}
	return 0, true, notAccepted(err)
}

func (p *proposal) write(ctx context.Context, s state, next *config.Document) (config.Revision, bool, error) {
	raw, checkpoint, err := p.encodeHead(ctx, s)
	if err != nil {
		return 0, !p.ambiguous, p.unfinished(err)
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
		return 0, !p.ambiguous, p.unfinished(err)
	default:
		p.ambiguous, p.open = true, s.version
		return 0, false, err
	}
}

// encodeHead returns the head with the change added, compacted if needed, and
// the revision of a newly written checkpoint or 0. A failed compaction is
// retried by the next proposal.
func (p *proposal) encodeHead(ctx context.Context, s state) (raw []byte, checkpoint config.Revision, err error) {
	head := s.head
	if needsCompaction(head.Tail, &p.change) {
		if shorter, err := p.log.compact(ctx, s); err != nil {
			p.log.logger.Warn().Err(err).Msg("configuration checkpoint not written")
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
		return nil, 0, errors.New("configuration head is full and cannot be compacted")
	}
	return raw, checkpoint, nil
}

// requestPrune lets Run remove the checkpoints that checkpoint replaces.
func (l *Log) requestPrune(checkpoint config.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pruneAt = max(l.pruneAt, checkpoint)
}

// Lookup reads the head and returns the revision at which a change id was
// accepted; false means that no accepted change has this id. A change whose id
// is unknown may still be accepted while a proposal of it is running.
func (l *Log) Lookup(ctx context.Context, id string) (config.Revision, bool, error) {
	s, err := l.readHead(ctx)
	if err != nil && !errors.Is(err, errSuperseded) {
		return 0, false, err
	}
	found, err := l.find(ctx, s, id)
	return found.Revision, found.Revision != 0, err
}

// sleep waits for a random part of pause, at least half of it, and returns
// false if ctx ended.
func (l *Log) sleep(ctx context.Context, pause time.Duration) bool {
	pause = pause/2 + time.Duration(l.random()*float64(pause/2))
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
