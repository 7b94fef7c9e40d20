package standin2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoonkeel.example/monsoonkeel/internal/reservedport"
)

// runRecord is one run of a request at an engine.
type runRecord struct {
	request, engine string
	begin, end      time.Time // end is zero while it runs
	resumed         bool
	outcome         string
}

// arrival is a request that reached an engine and that it did not answer 421.
type arrival struct {
	request, engine string
	at, sent        time.Time
	resumed, ran    bool
	poisoned        bool
}

// engine is a sound backend server: a model engine that streams events, or a plain server that streams.
type engine struct {
	w                 *world
	id, service, zone string
	address           string
	link              *link // nil unless there is one
	interval          time.Duration
	born              int64

	mu     sync.Mutex
	server *http.Server
	down   bool
	gens   map[string]*generation
	copies map[string]int // events of the KV cache copies here, by handle
	recent []time.Time    // arrivals of the last second

	// coldUntil is the end of the cold time. A cold engine crashes at more than crashesAbove requests in a second.
	coldUntil    time.Time
	crashesAbove int
	// loseResume makes the engine run the next request with Kv-From and lose its answer.
	loseResume bool
	// poison is the prompt part that crashes the engine.
	poison string
	// ignoresClose makes it work on a request whose connection was closed, as some runners do.
	ignoresClose bool
	// unframed makes answers end with their connection. endAtLast makes the engine exit with its last answer.
	unframed, endAtLast bool
}

// generation is a run in progress.
type generation struct {
	record  *runRecord
	events  int
	stopped bool
	standby *engine
}

const (
	// stride is the number of tokens in an event.
	stride = 4
	// Answers of up to shortEvents events come with shortInterval between them.
	shortEvents   = 3
	shortInterval = 30 * time.Millisecond
)

func (w *world) addEngine(service, zone string, interval time.Duration) (*engine, error) {
	e := &engine{w: w, id: fmt.Sprintf("i-%s-%d", service, len(w.engines)+1), service: service, zone: zone, interval: interval,
		born: time.Now().UnixMilli(), gens: map[string]*generation{}, copies: map[string]int{}}
	address, _, err := reservedport.TCP() // until the process ends
	if err != nil {
		return nil, err
	}
	e.address = address
	if err := e.listen(); err != nil {
		return nil, err
	}
	w.engines = append(w.engines, e)
	e.register("ready")
	return e, nil
}

func (e *engine) listen() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.down = false
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// addLink puts a link before the engine, whose address becomes that of the engine.
func (e *engine) addLink() (err error) {
	if e.link, err = newLink(e.address); err != nil {
		return err
	}
	e.address = e.link.listener.Addr().String()
	e.register("ready")
	return nil
}

// register writes the engine's entry and returns when the store acknowledged it.
func (e *engine) register(state string) time.Time {
	e.mu.Lock()
	cold := max(0, time.Until(e.coldUntil).Milliseconds())
	e.mu.Unlock()
	return e.w.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": slots, "state": state,
		"cold_left_ms": cold, "sequence": 1, "born": e.born,
	})
}

// crash ends all runs and connections; with back set, the engine is there again after that time as a new process.
func (e *engine) crash(back time.Duration) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	server := e.server
	now := time.Now()
	e.w.note("engine %s crashes, %d runs are lost", e.id, len(e.gens))
	for id, g := range e.gens {
		g.stopped = true
		e.w.endRun(g.record, now, "crash")
		delete(e.gens, id)
	}
	e.copies = map[string]int{}
	e.mu.Unlock()
	e.w.addCrash(now)
	go func() {
		_ = server.Close()
		if back > 0 {
			time.Sleep(back)
			e.mu.Lock()
			e.born = time.Now().UnixMilli()
			e.mu.Unlock()
			if err := e.listen(); err == nil {
				e.register("ready")
			}
		}
	}()
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/kv-move":
		e.move(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		e.w.dropCopies(strings.TrimPrefix(r.URL.Path, "/v1/kv-handle/"))
		writeJSON(w, http.StatusOK, map[string]any{})
	case r.URL.Path == "/v1/report":
		e.report(w)
	default:
		e.serveRequest(w, r)
	}
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	a := &arrival{request: id, engine: e.id, at: now, sent: e.w.sentAt(id), resumed: r.Header.Get("Kv-From") != ""}
	e.mu.Lock()
	parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] { // the last part belongs to the request itself
		a.poisoned = a.poisoned || e.poison != "" && strings.HasPrefix(part, e.poison+":")
	}
	e.recent = append(e.recent, now)
	for now.Sub(e.recent[0]) >= time.Second {
		e.recent = e.recent[1:]
	}
	count := len(e.recent)
	overload := now.Before(e.coldUntil) && e.crashesAbove > 0 && count > e.crashesAbove
	e.mu.Unlock()
	e.w.addArrival(a)
	if overload {
		e.w.note("engine %s got %d requests in a second while cold", e.id, count)
		e.crash(0)
		panic(http.ErrAbortHandler)
	}
	from := 0
	if _, handle, ok := strings.Cut(r.Header.Get("Kv-From"), "/"); ok {
		e.mu.Lock()
		_, known := e.copies[handle]
		delete(e.copies, handle)
		e.mu.Unlock()
		last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if !known || err != nil {
			e.w.note("engine %s has no copy %s for %s: 503, not run", e.id, handle, id)
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		from = last
	}
	a.ran = true
	e.run(w, r, id, from, a)
}

// run generates the events of a request after the first from ones.
func (e *engine) run(w http.ResponseWriter, r *http.Request, id string, from int, a *arrival) {
	total := eventsOf(r)
	g := &generation{record: e.w.beginRun(id, e.id, a.resumed), events: from, standby: e.w.engineAt(r.Header.Get("X-Kv-Backup"))}
	e.mu.Lock()
	e.gens[id] = g
	lost := a.resumed && e.loseResume
	e.loseResume = e.loseResume && !lost
	load := fmt.Sprintf("%d,0,%d", len(e.gens), slots)
	e.mu.Unlock()
	closed := r.Context().Done()
	if lost {
		e.w.note("engine %s runs %s from event %d on and loses its answer", e.id, id, from+1)
		reset(w)
		w, closed = nil, nil // the run goes on
	}
	if w != nil {
		h := w.Header()
		h.Set("X-Server-Stamp", "stamp-"+e.id)
		h.Set("X-Server-Load", load)
		h.Set("Content-Type", "text/event-stream")
		if e.unframed {
			h.Set("Transfer-Encoding", "identity") // net/http then sends neither a length nor chunks
			h.Set("Connection", "close")
		}
	}
	interval := e.interval
	if total <= shortEvents {
		interval = shortInterval
	}
	for {
		time.Sleep(interval)
		e.mu.Lock()
		stopped := g.stopped
		if !stopped {
			g.events++
		}
		n, poisoned := g.events, a.poisoned
		e.mu.Unlock()
		if stopped {
			e.finish(g, "stopped")
			panic(http.ErrAbortHandler) // the stream is closed without its end
		}
		if poisoned {
			e.w.note("engine %s begins to write an answer on the poisoned part (%s)", e.id, id)
			e.crash(2 * time.Second)
			panic(http.ErrAbortHandler)
		}
		if w != nil {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", n, n, id)
			w.(http.Flusher).Flush()
		}
		if g.standby != nil {
			g.standby.keepCopy(id, n)
		}
		if n >= total {
			break
		}
		e.mu.Lock()
		ignores := e.ignoresClose
		e.mu.Unlock()
		select {
		case <-closed:
			if !ignores {
				e.finish(g, "connection closed")
				return
			}
		default:
		}
	}
	e.finish(g, "complete")
	if e.endAtLast {
		e.exitAfterLast(w)
	}
}

func (e *engine) finish(g *generation, outcome string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gens[g.record.request] == g {
		delete(e.gens, g.record.request)
	}
	e.w.endRun(g.record, time.Now(), outcome)
}

// exitAfterLast ends the process with the end of its last answer: as at any exit, the kernel closes the listener, which was
// opened first, and then the connection.
func (e *engine) exitAfterLast(w http.ResponseWriter) {
	e.mu.Lock()
	left := len(e.gens)
	e.mu.Unlock()
	if left > 0 {
		return
	}
	e.w.note("engine %s exits with the end of its last answer", e.id)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = buffered.Flush()
	e.mu.Lock()
	e.down = true
	server := e.server
	e.mu.Unlock()
	_ = server.Close() // does not close hijacked connections
	_ = conn.Close()   // regular end: FIN
}

func (e *engine) keepCopy(handle string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		e.copies[handle] = events
	}
}

// move copies a generation to another engine, after stopping it if that is the last copy.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ID, Target string
		Last       bool
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g := e.gens[call.ID]
	if g == nil {
		e.mu.Unlock()
		e.w.note("kv-move of %s at %s to %s, last %t: 404", call.ID, e.id, call.Target, call.Last)
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	g.stopped = g.stopped || call.Last
	events := g.events
	e.mu.Unlock()
	target := e.w.engineAt(call.Target)
	e.w.note("kv-move of %s at %s to %s, last %t", call.ID, e.id, call.Target, call.Last)
	handle := "h-" + call.ID + "-" + strings.NewReplacer(":", "-", ".", "-").Replace(call.Target)
	if target == nil {
		writeJSON(w, http.StatusServiceUnavailable, map[string]any{"handle": handle, "created": events})
		return
	}
	target.keepCopy(handle, events)
	writeJSON(w, http.StatusOK, map[string]any{"handle": handle, "created": events})
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := [][]any{}
	for id, g := range e.gens {
		runs = append(runs, []any{id, 100 + stride*g.events, g.events, 5})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 1,
		"queued": 0, "active": len(runs), "kv_used": 0, "kv_total": kvTokens, "handles": len(e.copies), "state": "ready", "runs": runs, "born": e.born,
	})
}

// eventsOf returns the number of events of a request's answer.
func eventsOf(r *http.Request) int {
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	n, _ := strconv.Atoi(output)
	return max(1, n/stride)
}

// reset closes the connection of a request with a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
