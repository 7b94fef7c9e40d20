package connection

import (
	"slices"
	"sync"
	"time"
)

// idleConns holds the idle connections to one address. The last one is reused first.
type idleConns struct {
	mu    sync.Mutex
	conns []*upstreamConn
}

func (p *Pool) idle(address string) *idleConns {
	if existing, ok := p.addresses.Load(address); ok {
		return existing.(*idleConns)
	}
	created, _ := p.addresses.LoadOrStore(address, &idleConns{})
	return created.(*idleConns)
}

func (p *Pool) takeIdle(address string, maxIdle time.Duration) *upstreamConn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		if !c.stale(maxIdle) {
			return c
		}
		_ = c.Close()
	}
}

// stale reports whether an idle connection must not be reused: it was idle for longer than
// maxIdle, the server closed it, or it has unread bytes, which belong to an earlier response.
func (c *upstreamConn) stale(maxIdle time.Duration) bool {
	return time.Since(c.idledAt) > maxIdle || c.hasUnread()
}

func (p *Pool) popIdle(address string) *upstreamConn {
	idle := p.idle(address)
	idle.mu.Lock()
	defer idle.mu.Unlock()
	last := len(idle.conns) - 1
	if last < 0 {
		return nil
	}
	c := idle.conns[last]
	idle.conns = idle.conns[:last]
	return c
}

// put keeps an idle connection, unless the server has already sent more than its response.
func (p *Pool) put(c *upstreamConn) {
	if c.reader.Buffered() > 0 || !c.responses.BetweenResponses() {
		_ = c.Close()
		return
	}
	defer p.scheduleCheck()
	c.idledAt = time.Now()
	idle := p.idle(c.address)
	idle.mu.Lock()
	defer idle.mu.Unlock()
	if len(idle.conns) >= p.maxIdle {
		_ = c.Close()
		return
	}
	idle.conns = append(idle.conns, c)
}

// scheduleCheck schedules a check of the idle connections, unless one is due.
func (p *Pool) scheduleCheck() {
	if !p.checking.Load() && p.checking.CompareAndSwap(false, true) {
		time.AfterFunc(p.checkInterval, p.closeStale)
	}
}

// closeStale closes the idle connections that must not be reused, and schedules the next
// check if others remain.
func (p *Pool) closeStale() {
	p.checking.Store(false)
	remaining := 0
	p.addresses.Range(func(_, value any) bool {
		remaining += value.(*idleConns).closeStale()
		return true
	})
	if remaining > 0 {
		p.scheduleCheck()
	}
}

// closeStale closes stale connections and returns the number of the others.
func (i *idleConns) closeStale() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.conns = slices.DeleteFunc(i.conns, func(c *upstreamConn) bool {
		if !c.stale(orDefault(c.maxIdle, maxIdleAge)) {
			return false
		}
		_ = c.Close()
		return true
	})
	return len(i.conns)
}

// Retain closes the idle connections to addresses for which keep returns false.
func (p *Pool) Retain(keep func(address string) bool) {
	p.addresses.Range(func(key, value any) bool {
		if !keep(key.(string)) {
			p.addresses.Delete(key)
			value.(*idleConns).closeAll()
		}
		return true
	})
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Retain(func(string) bool { return false }) }

func (i *idleConns) closeAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.conns {
		_ = c.Close()
	}
	i.conns = nil
}
