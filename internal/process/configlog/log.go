// Package configlog replicates the configuration change log, which is stored in
// the object API, to a daemon.
//
// A Log holds the newest document it has received, which callers read with one
// atomic load. It proposes changes by conditional update of the head object and
// applies changes that peers relay. Its revision never decreases.
package configlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// Object keys. A checkpoint's key is CheckpointPrefix and its decimal revision.
const (
	HeadKey          = "config/head"
	CheckpointPrefix = "config/checkpoint/"
)

const (
	// A compaction starts when the tail of the head would exceed maxTail changes
	// or maxTailBytes.
	maxTail      = 64
	maxTailBytes = 32 << 10
	// compactedTail and compactedTailBytes are the limits of the tail after a
	// compaction. The byte limit is half of maxTailBytes, so that large changes
	// do not cause a compaction on every write.
	compactedTail      = 32
	compactedTailBytes = maxTailBytes / 2
	// maxAcceptedIDs is the maximum number of change ids in a checkpoint: about
	// one day of changes to one cell, at 54,000 changes per day over 55 cells.
	maxAcceptedIDs = 1024
	// retainedCheckpoints includes the previous checkpoint, since a reader may
	// still have the previous head.
	retainedCheckpoints = 2
)

// Options are the dependencies of a Log.
type Options struct {
	Store platform.ObjectStore
	// Now is the clock; time.Now if nil.
	Now func() time.Time
	// Random returns a number in [0,1) for jitter; math/rand/v2 if nil.
	Random func() float64
	// IsWatcher reports whether this host watches the head; if nil, it does.
	IsWatcher func() bool
	Logger    zerolog.Logger
}

// Log is a daemon's replica of the change log. Its methods may be called
// concurrently.
type Log struct {
	store     platform.ObjectStore
	now       func() time.Time
	random    func() float64
	isWatcher func() bool
	logger    zerolog.Logger

	current atomic.Pointer[config.Document]
	// proposing is a semaphore that serializes the proposals of this host, which
	// would otherwise conflict with each other.
	proposing chan struct{}

	mu          sync.Mutex
	tail        []config.Entry
	confirmedAt time.Time
	pending     confirmation
	checkpoint  *config.Checkpoint
	lastError   error
	// pruneAt is the revision of the checkpoint of a finished compaction, whose
	// older checkpoints are still to be removed; 0 means none.
	pruneAt config.Revision

	notifyMu    sync.Mutex
	subscribers []func(*config.Document)
	notified    *config.Document
}

// confirmation states that revision was the newest one at a time.
type confirmation struct {
	revision config.Revision
	at       time.Time
}

// New returns a Log with the empty document and without a confirmation.
func New(o Options) *Log {
	l := &Log{store: o.Store, now: o.Now, random: o.Random, isWatcher: o.IsWatcher, logger: o.Logger,
		proposing: make(chan struct{}, 1)}
	if l.now == nil {
		l.now = time.Now
	}
	if l.random == nil {
		l.random = rand.Float64
	}
	if l.isWatcher == nil {
		l.isWatcher = func() bool { return true }
	}
	l.current.Store(config.Empty())
	return l
}

// Current returns the newest document that was read or relayed. Callers must not
// modify it.
func (l *Log) Current() *config.Document { return l.current.Load() }

// LastError returns the error of the last failed read of a configuration, or nil
// if a later read succeeded.
func (l *Log) LastError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastError
}

func (l *Log) setError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastError = err
}

// History returns at most maxTail consecutive accepted changes up to the current
// revision, oldest first. It may be empty after a complete document was relayed.
func (l *Log) History() []config.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]config.Entry{}, l.tail...)
}

// Subscribe calls fn with the current document and then with newer ones, in
// order of revision. Revisions may be skipped. fn must not block and must not
// call Subscribe, Propose, Lookup or Merge.
func (l *Log) Subscribe(fn func(*config.Document)) {
	l.notifyMu.Lock()
	defer l.notifyMu.Unlock()
	doc := l.Current()
	if l.notified == nil {
		l.notified = doc
	}
	l.subscribers = append(l.subscribers, fn)
	fn(doc)
}

func (l *Log) notify() {
	l.notifyMu.Lock()
	defer l.notifyMu.Unlock()
	doc := l.Current()
	if l.notified != nil && doc.Revision <= l.notified.Revision {
		return
	}
	l.notified = doc
	for _, fn := range l.subscribers {
		fn(doc)
	}
}

// ConfirmedAge returns the time since Current was last confirmed as the newest
// revision, and false if it never was.
func (l *Log) ConfirmedAge(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(l.confirmedAt)), true
}

// RecordConfirmation records a confirmation relayed by a peer, which had the given
// age when the peer responded to a request sent at sentAt. A confirmation of a
// revision above Current takes effect once Current reaches that revision.
func (l *Log) RecordConfirmation(rev config.Revision, age time.Duration, sentAt time.Time) {
	if age < 0 || sentAt.After(l.now()) {
		return
	}
	l.confirm(rev, sentAt.Add(-age))
}

func (l *Log) confirm(rev config.Revision, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmLocked(rev, at)
}

// confirmLocked records a confirmation of rev. It also confirms a later Current:
// if no revision above rev existed at that time, none above Current did. l.mu
// must be held.
func (l *Log) confirmLocked(rev config.Revision, at time.Time) {
	if rev > l.Current().Revision {
		l.pending = confirmation{rev, at}
		return
	}
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
}

// publish replaces the current document if doc is newer. entries are the last
// changes before doc; the tail is replaced if they are not consecutive with it.
func (l *Log) publish(doc *config.Document, entries []config.Entry) {
	l.mu.Lock()
	old := l.Current().Revision
	if doc.Revision > old {
		l.current.Store(doc)
		l.tail = mergeTail(l.tail, entries, doc.Revision)
		l.lastError = nil
		l.confirmLocked(l.pending.revision, l.pending.at)
	} else if doc.Revision == old {
		// A host that received the complete document from a peer has no tail yet.
		l.tail = mergeTail(l.tail, entries, old)
	}
	l.mu.Unlock()
	if doc.Revision > old {
		l.logger.Info().Uint64("revision", uint64(doc.Revision)).Msg("configuration changed")
		l.notify()
	}
}

// mergeTail returns at most maxTail consecutive entries, up to revision, from old
// and added.
func mergeTail(old, added []config.Entry, revision config.Revision) []config.Entry {
	byRevision := make(map[config.Revision]config.Entry, len(old)+len(added))
	for _, e := range old {
		byRevision[e.Revision] = e
	}
	for _, e := range added {
		byRevision[e.Revision] = e
	}
	first := revision + 1
	for first > 1 && revision+1-first < maxTail {
		if _, ok := byRevision[first-1]; !ok {
			break
		}
		first--
	}
	joined := make([]config.Entry, 0, revision+1-first)
	for r := first; r <= revision; r++ {
		joined = append(joined, byRevision[r])
	}
	return joined
}

// ChangesSince returns the encoded changes after rev for a peer at that revision,
// or the encoded document if the tail does not contain all of them. Both are nil
// if rev is not older than the current revision.
func (l *Log) ChangesSince(rev config.Revision) (changes [][]byte, document []byte) {
	l.mu.Lock()
	doc, tail := l.Current(), l.tail
	l.mu.Unlock()
	if rev >= doc.Revision {
		return nil, nil
	}
	if len(tail) > 0 && tail[0].Revision <= rev+1 {
		for i := range tail {
			if tail[i].Revision <= rev {
				continue
			}
			raw, err := config.Encode(&tail[i])
			if err != nil {
				return nil, l.encodeDocument(doc)
			}
			changes = append(changes, raw)
		}
		return changes, nil
	}
	return nil, l.encodeDocument(doc)
}

func (l *Log) encodeDocument(doc *config.Document) []byte {
	raw, err := config.Encode(doc)
	if err != nil {
		l.setError(fmt.Errorf("encode document: %w", err))
		return nil
	}
	return raw
}

// Merge applies the results of a peer's ChangesSince. The revision never
// decreases. If a change or the document is malformed, Merge applies the changes
// before it, and LastError returns the error.
func (l *Log) Merge(changes [][]byte, document []byte) error {
	doc, entries, err := l.decodeRelayed(changes, document)
	l.publish(doc, entries)
	if err != nil {
		err = fmt.Errorf("relayed configuration: %w", err)
		l.setError(err)
		l.logger.Warn().Err(err).Uint64("kept_revision", uint64(l.Current().Revision)).Msg("relayed configuration not readable, keeping the current revision")
	}
	return err
}

// decodeRelayed returns the document with the relayed changes applied and these
// changes; after an error, only those before the malformed change.
func (l *Log) decodeRelayed(changes [][]byte, document []byte) (*config.Document, []config.Entry, error) {
	doc := l.Current()
	if len(document) > 0 {
		relayed, err := config.DecodeDocument(document)
		if err != nil {
			return doc, nil, err
		}
		if relayed.Revision > doc.Revision {
			doc = relayed
		}
	}
	var entries []config.Entry
	var decodeErr error
	for _, raw := range changes {
		var entry config.Entry
		if entry, decodeErr = config.DecodeEntry(raw); decodeErr != nil {
			break
		}
		entries = append(entries, entry)
	}
	doc, entries, err := replay(doc, entries)
	return doc, entries, errors.Join(err, decodeErr)
}

// replay applies the entries above doc's revision, which must be consecutive.
// After an error it returns the last valid document and the entries before the
// invalid one.
func replay(doc *config.Document, entries []config.Entry) (*config.Document, []config.Entry, error) {
	for i, e := range entries {
		if e.Revision <= doc.Revision {
			continue
		}
		if e.Revision != doc.Revision+1 {
			return doc, entries[:i], fmt.Errorf("the changes of revisions %d to %d are missing", doc.Revision+1, e.Revision-1)
		}
		next, err := config.Apply(doc, e.Change)
		if err != nil {
			return doc, entries[:i], fmt.Errorf("change %q at revision %d: %w", e.Change.ID, e.Revision, err)
		}
		doc = next
	}
	return doc, entries, nil
}

var (
	// errStaleHead means that the object API returned a head that is older than
	// the revision that was current when the request was sent.
	errStaleHead = errors.New("object API returned a stale configuration head")
	// errSuperseded means that a newer head was received during the request.
	errSuperseded = errors.New("a newer configuration head was received during the request")
)
