package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"monsoonkeel.example/monsoonkeel/core/claim"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// pendingOp is an operation that waits for a write. mayTakeEffect and abandoned
// are guarded by the queue's mutex.
type pendingOp struct {
	op            claim.Op
	done          chan claim.Result
	mayTakeEffect bool // a write with the operation may have taken effect or may still do so
	abandoned     bool // the caller no longer waits for the result
}

// queue batches the operations of one shard. One goroutine at a time writes.
type queue struct {
	s     *Service
	shard uint32
	key   string

	mu      sync.Mutex
	pending []*pendingOp
	writing bool

	// base and version are the cached document and its object version, used by
	// the writing goroutine only.
	base    *claim.Shard
	version platform.Version
}

func (q *queue) init(s *Service, shard uint32) {
	q.s, q.shard, q.key = s, shard, fmt.Sprintf("claims/%d", shard)
}

// submit queues op and waits for its result. After an error, mayTakeEffect
// reports whether a write with op may have taken effect or may still do so.
func (q *queue) submit(ctx context.Context, op claim.Op) (res claim.Result, mayTakeEffect bool, err error) {
	p := &pendingOp{op: op, done: make(chan claim.Result, 1)}
	q.mu.Lock()
	q.pending = append(q.pending, p)
	if !q.writing {
		q.writing = true
		go q.commitPending()
	}
	q.mu.Unlock()
	select {
	case res := <-p.done:
		return res, true, nil
	case <-ctx.Done():
		q.mu.Lock()
		defer q.mu.Unlock()
		p.abandoned = true
		return claim.Result{}, p.mayTakeEffect, ctx.Err()
	}
}

// commitPending commits batches until no operation is pending.
func (q *queue) commitPending() {
	for q.s.sleep(q.s.opt.BatchWindow) {
		q.commit()
		_, self := q.s.preferredWriter(q.shard)
		q.mu.Lock()
		if len(q.pending) == 0 {
			q.writing = false
			if !self {
				q.base = nil // only the preferred writer caches the document
			}
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
	}
}

// fillBatch removes abandoned operations from the batch and adds pending ones.
func (q *queue) fillBatch(batch []*pendingOp) []*pendingOp {
	q.mu.Lock()
	defer q.mu.Unlock()
	remaining := batch[:0]
	for _, p := range batch {
		if !p.abandoned {
			remaining = append(remaining, p)
		}
	}
	for len(q.pending) > 0 && len(remaining) < maxBatch {
		if p := q.pending[0]; !p.abandoned {
			remaining = append(remaining, p)
		}
		q.pending = q.pending[1:]
	}
	return remaining
}

// commit retries until the batch is recorded or empty, or the service is closed.
// After a write with an unknown outcome it retries the update with the same
// expected version. If the first write took effect, the retry conflicts, and
// Apply recognizes the attempts in the document that is then read.
func (q *queue) commit() {
	var batch []*pendingOp
	backoff := minBackoff
	for {
		batch = q.fillBatch(batch)
		if len(batch) == 0 {
			return
		}
		cached := q.base != nil
		err := q.load()
		if err == nil {
			err = q.update(batch, cached)
		}
		switch {
		case err == nil:
			return
		case errors.Is(err, platform.ErrConflict):
			q.base = nil
			q.s.count.conflicts.Add(1)
		case errors.Is(err, errStaleCache):
			q.base = nil
			continue
		case errors.Is(err, platform.ErrUnavailable):
			q.s.count.refused.Add(1)
		}
		if !q.s.sleep(q.s.withJitter(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// errStaleCache means that the results need no write but were derived from a
// cached document, which must be read again first.
var errStaleCache = errors.New("cached claim shard may be stale")

func (q *queue) load() error {
	if q.base != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(q.s.ctx, callTimeout)
	defer cancel()
	o, err := q.s.opt.Store.Get(ctx, q.key)
	if errors.Is(err, platform.ErrNotFound) {
		q.base, q.version = claim.Empty(), 0
		return nil
	}
	if err != nil {
		return err
	}
	base, err := claim.Decode(o.Value)
	if err != nil {
		// A damaged document is not overwritten, since its claims would be lost.
		q.s.count.damaged.Add(1)
		return err
	}
	q.base, q.version = base, o.Version
	return nil
}

func (q *queue) update(batch []*pendingOp, cached bool) error {
	ops := make([]claim.Op, 1, len(batch)+1)
	ops[0] = claim.Op{Kind: claim.OpExpire}
	for _, p := range batch {
		ops = append(ops, p.op)
	}
	next, results := claim.Apply(q.base, ops, q.s.opt.Now())
	if next == q.base {
		if cached {
			return errStaleCache
		}
	} else if err := q.put(batch, next); err != nil {
		return err
	}
	for i, p := range batch {
		p.done <- results[i+1]
	}
	q.s.count.operations.Add(uint64(len(batch)))
	return nil
}

func (q *queue) put(batch []*pendingOp, next *claim.Shard) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	firstWritten := q.markWritten(batch)
	ctx, cancel := context.WithTimeout(q.s.ctx, callTimeout)
	defer cancel()
	q.s.count.writes.Add(1)
	version, err := q.s.opt.Store.Put(ctx, q.key, q.version, value)
	switch {
	case err == nil:
		q.base, q.version = next, version
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnavailable):
		q.mu.Lock()
		defer q.mu.Unlock()
		for _, p := range firstWritten {
			p.mayTakeEffect = false
		}
	default:
		q.s.count.ambiguous.Add(1)
	}
	return err
}

// markWritten marks the operations of a write and returns those that were not
// part of an earlier write with an unknown outcome.
func (q *queue) markWritten(batch []*pendingOp) []*pendingOp {
	q.mu.Lock()
	defer q.mu.Unlock()
	var firstWritten []*pendingOp
	for _, p := range batch {
		if !p.mayTakeEffect {
			p.mayTakeEffect = true
			firstWritten = append(firstWritten, p)
		}
	}
	return firstWritten
}

// sleep waits for d; it returns false if the service is closed before.
func (s *Service) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// withJitter returns a random duration from d/2 to d.
func (s *Service) withJitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)))
}
