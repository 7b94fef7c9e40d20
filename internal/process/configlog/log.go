// Package configlog keeps the configuration of a daemon in step with the
// change log in the object API.
//
// A Log holds the newest document it knows, reads it with one atomic load,
// proposes changes by conditional update of the head object, and takes over
// changes that peers relay. It never goes to a lower revision.
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

// Object keys.
const (
	HeadKey          = "config/head"
	CheckpointPrefix = "config/checkpoint/"
)

const (
	// maxTail and maxTailBytes start a compaction.
	maxTail      = 64
	maxTailBytes = 32 << 10
	// keepTail and keepTailBytes bound the tail after a compaction. The byte
	// limit is half of maxTailBytes, so that large changes do not cause a
	// compaction on every write.
	keepTail      = 32
	keepTailBytes = maxTailBytes / 2
	// maxAcceptedIDs bounds the ids in a checkpoint: about one day of changes
	// of one cell at 54,000 changes a day over 55 cells.
	maxAcceptedIDs = 1024
	// keepCheckpoints leaves the previous checkpoint for a reader that still
	// holds the previous head.
	keepCheckpoints = 2
)

// Options are the dependencies of a Log.
type Options struct {
	Store platform.ObjectStore
	// Now is the clock; time.Now if nil.
	Now func() time.Time
	// Random returns a number in [0,1) for jitter; math/rand/v2 if nil.
	Random func() float64
	// IsWatcher says whether this host watches the head; always if nil.
	IsWatcher func() bool
	Logger    zerolog.Logger
}

// Log is the change log as one daemon sees it. Its methods may be called
// concurrently.
type Log struct {
	store    platform.ObjectStore
	now      func() time.Time
	random   func() float64
	watching func() bool
	logger   zerolog.Logger

	current atomic.Pointer[config.Document]
	// proposing serializes the proposals of this host, which would otherwise
	// conflict with each other. It holds one token.
	proposing chan struct{}

	mu          sync.Mutex
	tail        []config.Entry
	confirmedAt time.Time
	pending     confirmation
	checkpoint  *config.Checkpoint
	lastError   error
	// pruneAt is the checkpoint of a finished compaction whose predecessors
	// are still to be removed; 0 means none.
	pruneAt config.Revision

	notifyMu    sync.Mutex
	subscribers []func(*config.Document)
	notified    *config.Document
}

// confirmation is a proof that a revision was the newest at a time.
type confirmation struct {
	revision config.Revision
	at       time.Time
}

// New returns a Log with the empty document and no confirmation.
func New(o Options) *Log {
	l := &Log{store: o.Store, now: o.Now, random: o.Random, watching: o.IsWatcher, logger: o.Logger,
		proposing: make(chan struct{}, 1)}
	if l.now == nil {
		l.now = time.Now
	}
	if l.random == nil {
		l.random = rand.Float64
	}
	if l.watching == nil {
		l.watching = func() bool { return true }
	}
	l.current.Store(config.Empty())
	return l
}

// Current returns the newest document known. Callers must not modify it.
func (l *Log) Current() *config.Document { return l.current.Load() }

// LastError returns the newest failure to read a configuration, or nil after
// a later success.
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

// History returns the newest accepted changes known, oldest first.
func (l *Log) History() []config.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]config.Entry{}, l.tail...)
}

// Subscribe calls fn with the current document and then after every change of
// it, in revision order. Documents may be skipped. fn must not block and must
// not call Subscribe, Propose, Lookup or Merge.
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

// ConfirmedAge returns the age of the newest proof that no revision newer than
// Current existed, and whether there is any proof.
func (l *Log) ConfirmedAge(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(l.confirmedAt)), true
}

// NoteConfirmation takes a proof relayed by a peer: rev was the newest
// revision age before the peer answered a request sent at sentAt. A proof of a
// revision above Current counts once Current has reached it.
func (l *Log) NoteConfirmation(rev config.Revision, age time.Duration, sentAt time.Time) {
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

// confirmLocked counts a proof for every revision from rev on: if nothing
// newer than rev existed at that time, nothing newer than Current did.
func (l *Log) confirmLocked(rev config.Revision, at time.Time) {
	if rev > l.Current().Revision {
		l.pending = confirmation{rev, at}
		return
	}
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
}

// publish replaces the current document if doc is newer. entries are the
// changes that lead to doc; the tail restarts if they do not join it.
func (l *Log) publish(doc *config.Document, entries []config.Entry) {
	l.mu.Lock()
	old := l.Current().Revision
	if doc.Revision > old {
		l.current.Store(doc)
		l.tail = joinTail(l.tail, entries, doc.Revision)
		l.lastError = nil
		l.confirmLocked(l.pending.revision, l.pending.at)
	} else if doc.Revision == old {
		// A host that got the whole document from a peer has no tail yet.
		l.tail = joinTail(l.tail, entries, old)
	}
	l.mu.Unlock()
	if doc.Revision > old {
		l.logger.Info().Uint64("revision", uint64(doc.Revision)).Msg("configuration changed")
		l.notify()
	}
}

// joinTail returns the newest maxTail consecutive entries up to revision.
func joinTail(old, added []config.Entry, revision config.Revision) []config.Entry {
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

// ChangesSince returns what a peer at rev is missing: the encoded changes if
// they are known, else the encoded document. Both are nil if nothing is missing.
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

// Merge takes over what a peer returned from ChangesSince. It never lowers the
// revision. On error the last good document stays and LastError reports it.
func (l *Log) Merge(changes [][]byte, document []byte) error {
	doc, entries, err := l.decodeRelayed(changes, document)
	l.publish(doc, entries)
	if err != nil {
		err = fmt.Errorf("relayed configuration: %w", err)
		l.setError(err)
		l.logger.Warn().Err(err).Uint64("kept_revision", uint64(l.Current().Revision)).Msg("configuration not readable")
	}
	return err
}

// decodeRelayed returns the newest readable document; on error, the one before
// the unreadable change.
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

// replay applies the entries after doc's revision, which must be consecutive.
func replay(doc *config.Document, entries []config.Entry) (*config.Document, []config.Entry, error) {
	for i, e := range entries {
		if e.Revision <= doc.Revision {
			continue
		}
		if e.Revision != doc.Revision+1 {
			return doc, entries[:i], fmt.Errorf("changes from %d to %d are missing", doc.Revision+1, e.Revision-1)
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
	// errStale means that the object API returned an older head than one that
	// was known when the request was sent.
	errStale = errors.New("object API returned an old configuration head")
	// errSuperseded means that a newer head became known while the request ran.
	errSuperseded = errors.New("a newer configuration head became known")
)
