package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engines are model runners that can move a run: POST /v1/kv-move, DELETE /v1/kv-handle/ID and Kv-From.
type engines struct {
	d          *deployment
	firstEvent time.Duration
	gap        time.Duration
	events     int

	mu      sync.Mutex
	handles map[string]*copied // by "ADDRESS/HANDLE"
	number  int
	works   map[string][]span // by request
	// busyUntil is the end of a long step, by runner.
	busyUntil map[string]time.Time
}

// copied is the memory of a run at another runner.
type copied struct {
	id, target string
}

// span is the time in which a runner works on a request.
type span struct {
	runner     string
	begin, end time.Time // end is zero while it works
}

func newEngines(d *deployment, events int, firstEvent, gap time.Duration) *engines {
	return &engines{d: d, firstEvent: firstEvent, gap: gap, events: events, handles: map[string]*copied{}, works: map[string][]span{}, busyUntil: map[string]time.Time{}}
}

// handler returns the handler of a runner. With drops set, a run ends when its channel closes; PROTOCOL.md says that of
// most runners.
func (e *engines) handler(drops bool) func(*channel, *http.Request, []byte) bool {
	return func(c *channel, r *http.Request, body []byte) bool {
		switch {
		case r.URL.Path == "/v1/report":
			return c.json(200, map[string]any{"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
				"sequence": 1, "queued": 0, "active": 1, "kv_used": 2000, "kv_total": 34431, "handles": 0, "state": "ready", "next": 0, "runs": []any{}})
		case r.URL.Path == "/v1/kv-move":
			return e.move(c, body)
		case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
			return c.json(200, map[string]any{})
		default:
			return e.run(c, r, drops)
		}
	}
}

func (c *channel) json(status int, body any) bool {
	text, _ := json.Marshal(body)
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(text), text)
	return err == nil
}

// workingOn returns the index of the span of a runner that works on a request, or -1. e.mu must be held.
func (e *engines) workingOn(id, runner string) int {
	for i, s := range e.works[id] {
		if s.runner == runner && s.end.IsZero() {
			return i
		}
	}
	return -1
}

func (e *engines) move(c *channel, body []byte) bool {
	var m struct {
		ID, Target string
		Last       bool
	}
	if json.Unmarshal(body, &m) != nil {
		return c.json(400, map[string]any{})
	}
	e.mu.Lock()
	i := e.workingOn(m.ID, c.runner.id)
	if i < 0 {
		e.mu.Unlock()
		return c.json(404, map[string]any{})
	}
	if m.Last {
		e.works[m.ID][i].end = time.Now()
	}
	e.number++
	handle := "h" + strconv.Itoa(e.number)
	e.handles[c.runner.address+"/"+handle] = &copied{id: m.ID, target: m.Target}
	e.mu.Unlock()
	record("runner %s copies request %s to %s, last %v", c.runner.id, m.ID, m.Target, m.Last)
	time.Sleep(20 * time.Millisecond)
	return c.json(200, map[string]any{"handle": handle, "created": 1})
}

// run works on a request, or goes on with a copied run.
func (e *engines) run(c *channel, r *http.Request, drops bool) bool {
	id, from := r.Header.Get("X-Request-Id"), 1
	if ref := r.Header.Get("Kv-From"); ref != "" {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		from = last + 1
		e.mu.Lock()
		h := e.handles[ref]
		delete(e.handles, ref)
		e.mu.Unlock()
		if h == nil || h.target != c.runner.address && !strings.HasPrefix(ref, c.runner.address+"/") {
			_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			return err == nil
		}
	}
	e.d.ran(r, c.runner)
	e.mu.Lock()
	if backup := r.Header.Get("X-Kv-Backup"); backup != "" {
		e.handles[backup+"/"+id] = &copied{id: id, target: backup}
	}
	index := len(e.works[id])
	e.works[id] = append(e.works[id], span{runner: c.runner.id, begin: time.Now()})
	e.mu.Unlock()
	stopped := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !e.works[id][index].end.IsZero()
	}
	defer func() {
		e.mu.Lock()
		if s := &e.works[id][index]; s.end.IsZero() {
			s.end = time.Now()
		}
		e.mu.Unlock()
		record("runner %s ends its work on request %s", c.runner.id, id)
	}()
	c.watch()
	for i := from; i <= e.events; i++ {
		if i == 1 {
			time.Sleep(e.firstEvent)
		} else {
			time.Sleep(e.gap)
		}
		e.endStep(c.runner.id)
		if stopped() || drops && c.gone.Load() {
			return false
		}
		if i == from && c.head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close") != nil && drops {
			return false
		}
		text := fmt.Sprintf("id: %d\ndata: piece %d of %d for %s\n\n", i, i, e.events, id)
		if write(c, fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) != nil && drops {
			return false
		}
	}
	_ = write(c, "0\r\n\r\n")
	return false
}

// longStep makes the current step of a runner last for d, as a long prompt of another request does.
func (e *engines) longStep(runner string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busyUntil[runner] = time.Now().Add(d)
}

// endStep waits for the end of a long step. A runner looks at its channels between two steps.
func (e *engines) endStep(runner string) {
	e.mu.Lock()
	until := e.busyUntil[runner]
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

// overlap returns for how long two runners worked on a request at the same time, and who worked on it.
func (e *engines) overlap(id string) (longest time.Duration, who string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	spans := e.works[id]
	for i, a := range spans {
		for _, b := range spans[i+1:] {
			if both := a.end.Sub(b.begin); both > longest && a.runner != b.runner {
				longest, who = both, a.runner+" and "+b.runner
			}
		}
	}
	return longest, who
}
