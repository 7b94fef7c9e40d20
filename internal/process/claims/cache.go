package claims

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/claim"
)

const (
	// responseTTL is how long the host that executed an order caches its response.
	responseTTL = 10 * time.Minute
	// maxCachedResponseBytes is the size limit of a cached body or content type.
	maxCachedResponseBytes = 64 << 10
	// maxCacheBytes is a quarter of the 64 MB that the control plane may use on
	// a node; the oldest responses are evicted first.
	maxCacheBytes = 16 << 20
	// entryOverheadBytes is the size charged for an entry in addition to its response.
	entryOverheadBytes = 512
)

type cachedResponse struct {
	keyHash, requestHash string
	response             claim.Response
	expires              time.Time
}

// responseCache holds responses in the order in which they were added. The zero
// value is an empty cache.
type responseCache struct {
	byKey map[string]*cachedResponse
	fifo  []*cachedResponse
	bytes int
}

func (c *responseCache) len() int { return len(c.byKey) }

func (c *responseCache) get(keyHash string, now time.Time) (*cachedResponse, bool) {
	e, ok := c.byKey[keyHash]
	if !ok || !now.Before(e.expires) {
		return nil, false
	}
	return e, true
}

func (c *responseCache) put(keyHash, requestHash string, resp claim.Response, now time.Time) {
	c.evict(now)
	if len(resp.Body) > maxCachedResponseBytes || len(resp.ContentType) > maxCachedResponseBytes {
		return
	}
	if c.byKey == nil {
		c.byKey = map[string]*cachedResponse{}
	}
	e := &cachedResponse{keyHash: keyHash, requestHash: requestHash, response: resp, expires: now.Add(responseTTL)}
	c.byKey[keyHash] = e
	c.fifo = append(c.fifo, e)
	c.bytes += e.size()
	c.evict(now)
}

func (c *responseCache) evict(now time.Time) {
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

func (e *cachedResponse) size() int {
	return entryOverheadBytes + len(e.response.Body) + len(e.response.ContentType)
}
