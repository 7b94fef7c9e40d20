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

// item is an operation waiting for a write. exposed and abandoned are guarded
// by the queue's mutex.
type item struct {
	op        claim.Op
	done      chan claim.Result
	exposed   bool // a write with the operation may take or have taken effect
	abandoned bool
}

// queue groups the operations of one shard; one goroutine at a time writes.
type queue struct {
	s     *Service
	shard uint32
	key   string

	mu      sync.Mutex
	pending []*item
	writing bool

	// base and version are the last known document, used by the writer only.
	base    *claim.Shard
	version platform.Version
}

func (q *queue) init(s *Service, shard uint32) {
	q.s, q.shard, q.key = s, shard, fmt.Sprintf("claims/%d", shard)
}

// submit queues op and waits for its result. After an error, exposed says
// whether a write with op may have taken effect.
func (q *queue) submit(ctx context.Context, op claim.Op) (res claim.Result, exposed bool, err error) {
	it := &item{op: op, done: make(chan claim.Result, 1)}
	q.mu.Lock()
	q.pending = append(q.pending, it)
	if !q.writing {
		q.writing = true
		go q.write()
	}
	q.mu.Unlock()
	select {
	case res := <-it.done:
		return res, true, nil
	case <-ctx.Done():
		q.mu.Lock()
		defer q.mu.Unlock()
		it.abandoned = true
		return claim.Result{}, it.exposed, ctx.Err()
	}
}

// write commits batches until nothing is pending.
func (q *queue) write() {
	for q.s.sleep(q.s.opt.BatchWindow) {
		q.commit()
		_, self := q.s.owner(q.shard)
		q.mu.Lock()
		if len(q.pending) == 0 {
			q.writing = false
			if !self {
				q.base = nil // only owners keep documents in memory
			}
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
	}
}

// collect drops abandoned items and fills the batch from pending ones.
func (q *queue) collect(batch []*item) []*item {
	q.mu.Lock()
	defer q.mu.Unlock()
	live := batch[:0]
	for _, it := range batch {
		if !it.abandoned {
			live = append(live, it)
		}
	}
	for len(q.pending) > 0 && len(live) < maxBatch {
		if it := q.pending[0]; !it.abandoned {
			live = append(live, it)
		}
		q.pending = q.pending[1:]
	}
	return live
}

// commit tries until the batch is recorded or empty, or the service stops. After
// a write with an unknown outcome it repeats the update with the same expected
// version. If the first write took effect the repeat conflicts, and Apply
// recognises the attempts in the document read again.
func (q *queue) commit() {
	var batch []*item
	backoff := minBackoff
	for {
		batch = q.collect(batch)
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
		case errors.Is(err, errStale):
			q.base = nil
			continue
		case errors.Is(err, platform.ErrUnavailable):
			q.s.count.refused.Add(1)
		}
		if !q.s.sleep(q.s.jittered(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// errStale asks for a fresh read before a result that needs no write is
// derived from a document kept in memory.
var errStale = errors.New("document may be stale")

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
		// Overwriting a damaged document would forget its claims.
		q.s.count.damaged.Add(1)
		return err
	}
	q.base, q.version = base, o.Version
	return nil
}

func (q *queue) update(batch []*item, cached bool) error {
	ops := make([]claim.Op, 1, len(batch)+1)
	ops[0] = claim.Op{Kind: claim.OpExpire}
	for _, it := range batch {
		ops = append(ops, it.op)
	}
	next, results := claim.Apply(q.base, ops, q.s.opt.Now())
	if next == q.base {
		if cached {
			return errStale
		}
	} else if err := q.put(batch, next); err != nil {
		return err
	}
	for i, it := range batch {
		it.done <- results[i+1]
	}
	q.s.count.operations.Add(uint64(len(batch)))
	return nil
}

func (q *queue) put(batch []*item, next *claim.Shard) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	fresh := q.expose(batch)
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
		for _, it := range fresh {
			it.exposed = false
		}
	default:
		q.s.count.ambiguous.Add(1)
	}
	return err
}

// expose marks the items of a write and returns those that no earlier write
// with an unknown outcome contained.
func (q *queue) expose(batch []*item) []*item {
	q.mu.Lock()
	defer q.mu.Unlock()
	var fresh []*item
	for _, it := range batch {
		if !it.exposed {
			it.exposed = true
			fresh = append(fresh, it)
		}
	}
	return fresh
}

// sleep waits; it returns false when the service stops.
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

// jittered returns a random duration between half of d and d.
func (s *Service) jittered(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.jitter.Int64N(int64(d/2)))
}
