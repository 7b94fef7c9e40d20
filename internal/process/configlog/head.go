package configlog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// headState is the head at one object version and the document at its revision.
type headState struct {
	version platform.Version
	head    *config.Head
	doc     *config.Document
}

func checkpointKey(rev config.Revision) string {
	return CheckpointPrefix + strconv.FormatUint(uint64(rev), 10)
}

// readHead reads the head, publishes a newer document and records a confirmation.
func (l *Log) readHead(ctx context.Context) (headState, error) {
	minRevision, sentAt := l.Current().Revision, l.now()
	object, err := l.store.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		object, err = platform.Object{}, nil
	}
	if err != nil {
		return headState{}, fmt.Errorf("read %s: %w", HeadKey, err)
	}
	return l.adopt(ctx, object, minRevision, sentAt)
}

// adopt applies a head that the object API returned for a request sent at
// sentAt, when the current revision was minRevision. A missing head (version 0)
// has revision 0. If the error is errSuperseded, the returned state has a head
// but no document.
func (l *Log) adopt(ctx context.Context, object platform.Object, minRevision config.Revision, sentAt time.Time) (headState, error) {
	s := headState{version: object.Version, head: &config.Head{}}
	var err error
	if object.Version != 0 {
		if s.head, err = config.DecodeHead(object.Value); err != nil {
			return s, l.recordReadError(err)
		}
	}
	if s.head.Revision < minRevision {
		return s, l.recordReadError(fmt.Errorf("%w: revision %d, expected at least %d", errStaleHead, s.head.Revision, minRevision))
	}
	doc := l.Current()
	if s.head.Revision < doc.Revision {
		l.confirm(s.head.Revision, sentAt)
		return s, errSuperseded
	}
	if doc.Revision+1 < s.head.FirstTailRevision() {
		checkpoint, err := l.loadCheckpoint(ctx, s.head.Checkpoint)
		if err != nil {
			return s, l.recordReadError(err)
		}
		doc = checkpoint.Document
	}
	doc, entries, err := replay(doc, tailEntries(s.head))
	l.publish(doc, entries)
	if err != nil {
		return s, l.recordReadError(err)
	}
	if doc.Revision != s.head.Revision {
		return s, l.recordReadError(fmt.Errorf("head has revision %d, but its changes end at revision %d", s.head.Revision, doc.Revision))
	}
	s.doc = doc
	l.setError(nil)
	l.confirm(doc.Revision, sentAt)
	return s, nil
}

// recordReadError makes the error of a head that cannot be used the LastError.
func (l *Log) recordReadError(err error) error {
	err = fmt.Errorf("configuration head: %w", err)
	l.setError(err)
	return err
}

func tailEntries(head *config.Head) []config.Entry {
	entries := make([]config.Entry, 0, len(head.Tail))
	for i, change := range head.Tail {
		entries = append(entries, config.Entry{Revision: head.FirstTailRevision() + config.Revision(i), Change: change})
	}
	return entries
}

// loadCheckpoint returns the checkpoint at rev. The newest checkpoint is cached
// in memory.
func (l *Log) loadCheckpoint(ctx context.Context, rev config.Revision) (*config.Checkpoint, error) {
	if rev == 0 {
		return &config.Checkpoint{Document: config.Empty()}, nil
	}
	l.mu.Lock()
	cached := l.checkpoint
	l.mu.Unlock()
	if cached != nil && cached.Document.Revision == rev {
		return cached, nil
	}
	object, err := l.store.Get(ctx, checkpointKey(rev))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", checkpointKey(rev), err)
	}
	checkpoint, err := config.DecodeCheckpoint(object.Value)
	if err != nil {
		return nil, fmt.Errorf("decode %s: %w", checkpointKey(rev), err)
	}
	if checkpoint.Document.Revision != rev {
		return nil, fmt.Errorf("%s contains revision %d", checkpointKey(rev), checkpoint.Document.Revision)
	}
	l.cacheCheckpoint(checkpoint)
	return checkpoint, nil
}

func (l *Log) cacheCheckpoint(c *config.Checkpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checkpoint == nil || l.checkpoint.Document.Revision < c.Document.Revision {
		l.checkpoint = c
	}
}

// findChange searches the tail and then the checkpoint for an accepted change
// id. The returned revision is 0 if neither contains it.
func (l *Log) findChange(ctx context.Context, s headState, id string) (config.AcceptedChange, error) {
	for i := range s.head.Tail {
		if s.head.Tail[i].ID == id {
			return acceptedChange(s.head.FirstTailRevision()+config.Revision(i), &s.head.Tail[i]), nil
		}
	}
	checkpoint, err := l.loadCheckpoint(ctx, s.head.Checkpoint)
	if err != nil {
		return config.AcceptedChange{}, err
	}
	for _, a := range checkpoint.Accepted {
		if a.ID == id {
			return a, nil
		}
	}
	return config.AcceptedChange{}, nil
}

func acceptedChange(rev config.Revision, c *config.Change) config.AcceptedChange {
	return config.AcceptedChange{ID: c.ID, Revision: rev, OpsHash: c.OpsHash()}
}

// compact returns head with a checkpoint at its revision and a shorter tail.
func (l *Log) compact(ctx context.Context, s headState) (*config.Head, error) {
	previous, err := l.loadCheckpoint(ctx, s.head.Checkpoint)
	if err != nil {
		return nil, err
	}
	checkpoint := &config.Checkpoint{Document: s.doc, Accepted: acceptedIDs(previous, s.head)}
	raw, err := config.Encode(checkpoint)
	if err != nil {
		return nil, err
	}
	// The content depends only on the accepted changes, so a conflict means that
	// an identical checkpoint is already stored.
	_, err = l.store.Put(ctx, checkpointKey(s.doc.Revision), 0, raw)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return nil, fmt.Errorf("write %s: %w", checkpointKey(s.doc.Revision), err)
	}
	return &config.Head{Revision: s.head.Revision, Checkpoint: s.doc.Revision, Tail: trimTail(s.head.Tail)}, nil
}

func acceptedIDs(previous *config.Checkpoint, head *config.Head) []config.AcceptedChange {
	ids := slices.Clone(previous.Accepted)
	for _, e := range tailEntries(head) {
		if e.Revision > previous.Document.Revision {
			ids = append(ids, acceptedChange(e.Revision, &e.Change))
		}
	}
	return ids[max(0, len(ids)-maxAcceptedIDs):]
}

// trimTail returns the newest changes within compactedTail and
// compactedTailBytes. One entry is left for the change that is about to be added.
func trimTail(tail []config.Change) []config.Change {
	first, size := len(tail), 0
	for first > 0 && len(tail)-first < compactedTail-1 {
		size += encodedSize(&tail[first-1])
		if size > compactedTailBytes {
			break
		}
		first--
	}
	return tail[first:]
}

func encodedSize(c *config.Change) int {
	raw, err := config.Encode(c)
	if err != nil {
		return maxTailBytes
	}
	return len(raw)
}

func needsCompaction(tail []config.Change, added *config.Change) bool {
	if len(tail) == 0 {
		return false
	}
	size := encodedSize(added)
	for i := range tail {
		size += encodedSize(&tail[i])
	}
	return len(tail)+1 > maxTail || size > maxTailBytes
}

// pruneCheckpoints removes the checkpoints that are older than the referenced
// one, except the newest retainedCheckpoints-1 of them.
func (l *Log) pruneCheckpoints(ctx context.Context, referenced config.Revision) error {
	objects, err := l.store.List(ctx, CheckpointPrefix)
	if err != nil {
		return err
	}
	type candidate struct {
		revision config.Revision
		object   platform.Object
	}
	var old []candidate
	for _, o := range objects {
		n, err := strconv.ParseUint(strings.TrimPrefix(o.Key, CheckpointPrefix), 10, 64)
		if rev := config.Revision(n); err == nil && rev <= referenced {
			old = append(old, candidate{rev, o})
		}
	}
	slices.SortFunc(old, func(a, b candidate) int { return int(int64(b.revision) - int64(a.revision)) })
	for _, c := range old[min(len(old), retainedCheckpoints):] {
		err := l.store.Delete(ctx, c.object.Key, c.object.Version)
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
	}
	return nil
}
