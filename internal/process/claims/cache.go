package claims

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/claim"
)

const (
	// answerTTL is how long the host that ran an order keeps its answer.
	answerTTL = 10 * time.Minute
	// maxCachedAnswerBytes bounds one cached answer.
	maxCachedAnswerBytes = 64 << 10
	// maxCacheBytes is a quarter of the 64 MB that control may use on a node;
	// the oldest answers are evicted first.
	maxCacheBytes = 16 << 20
	// entryBytes is the bookkeeping charged for one entry.
	entryBytes = 512
)

type cachedAnswer struct {
	keyHash, requestHash string
	answer               claim.Response
	expires              time.Time
}

// answerCache keeps answers in the order of their arrival. The zero value is empty.
type answerCache struct {
	byKey map[string]*cachedAnswer
	fifo  []*cachedAnswer
	bytes int
}

func (c *answerCache) len() int { return len(c.byKey) }

func (c *answerCache) get(keyHash string, now time.Time) (*cachedAnswer, bool) {
	e, ok := c.byKey[keyHash]
	if !ok || !now.Before(e.expires) {
		return nil, false
	}
	return e, true
}

func (c *answerCache) put(keyHash, requestHash string, a claim.Response, now time.Time) {
	c.evict(now)
	if len(a.Body) > maxCachedAnswerBytes || len(a.ContentType) > maxCachedAnswerBytes {
		return
	}
	if c.byKey == nil {
		c.byKey = map[string]*cachedAnswer{}
	}
	e := &cachedAnswer{keyHash: keyHash, requestHash: requestHash, answer: a, expires: now.Add(answerTTL)}
	c.byKey[keyHash] = e
	c.fifo = append(c.fifo, e)
	c.bytes += e.size()
	c.evict(now)
}

func (c *answerCache) evict(now time.Time) {
	for len(c.fifo) > 0 {
		e := c.fifo[0]
		if now.Before(e.expires) && c.bytes <= maxCacheBytes {
			return
		}
		c.fifo = c.fifo[1:]
		c.bytes -= e.size()
		if c.byKey[e.keyHash] == e {
			delete(c.byKey, e.keyHash)
		}
	}
}

func (e *cachedAnswer) size() int { return entryBytes + len(e.answer.Body) + len(e.answer.ContentType) }
