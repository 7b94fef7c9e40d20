package standin2

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slots    = 64
	kvTokens = 34431
	// clientDeadline is X-Deadline-Ms of all requests.
	clientDeadline = 39 * time.Second
)

// world is the deployment and what was sent, answered and run.
type world struct {
	dir, program string
	start        time.Time
	store        *store
	hosts        []*host
	engines      []*engine
	trouble      bool

	recordMu sync.Mutex
	record   *os.File

	mu       sync.Mutex
	runs     []*runRecord
	arrivals []*arrival
	sends    map[string]time.Time
	answers  []*answer
	crashes  []time.Time
	next     atomic.Int64
}

// answer is what a caller got.
type answer struct {
	request, host string
	sent, ended   time.Time
	status        int
	events        int
	complete      bool
	cause         string
	poisoned      bool
}

// note writes a line to the record, with the time since the start.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) sentAt(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sends[id]
}

func (w *world) addArrival(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
}

func (w *world) addCrash(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, at)
}

func (w *world) beginRun(request, engine string, resumed bool) *runRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &runRecord{request: request, engine: engine, begin: time.Now(), resumed: resumed}
	w.runs = append(w.runs, r)
	return r
}

func (w *world) endRun(r *runRecord, at time.Time, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.end.IsZero() {
		r.end, r.outcome = at, outcome
	}
}

func (w *world) engineAt(address string) *engine {
	for _, e := range w.engines {
		if e.address == address {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.down {
				return nil
			}
			return e
		}
	}
	return nil
}

func (w *world) dropCopies(handle string) {
	for _, e := range w.engines {
		e.mu.Lock()
		delete(e.copies, handle)
		e.mu.Unlock()
	}
}

// startHosts starts hosts, one in each of the given zones, and waits until they are ready.
func (w *world) startHosts(zones ...string) error {
	all := slices.Clone(zones)
	for _, e := range w.engines {
		if !slices.Contains(all, e.zone) {
			all = append(all, e.zone)
		}
	}
	for i, zone := range zones {
		h, err := startHost(w.dir, w.program, fmt.Sprintf("front-%s-%d", zone, i+1), zone, all, w.store.address)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if !h.awaitReady(20 * time.Second) {
			log, _ := os.ReadFile(filepath.Join(w.dir, h.name+".log"))
			return fmt.Errorf("%s did not become ready; its log ends with:\n%s", h.name, log[max(0, len(log)-2000):])
		}
	}
	return nil
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.end()
	}
}

// caller sends requests one after the other on a kept connection to a host.
type caller struct {
	w      *world
	host   *host
	client *http.Client
}

func (w *world) newCaller(h *host) *caller {
	return &caller{w: w, host: h, client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}}
}

// request is what a caller asks for.
type request struct {
	path, parts    string
	prompt, output int
	poisoned       bool
}

// stream sends a request and reads its answer to the end.
func (c *caller) stream(q request) *answer {
	w := c.w
	id := fmt.Sprintf("%08x%08x", w.start.UnixNano()&0xffffffff, w.next.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+c.host.front+q.path, strings.NewReader("prompt of "+id))
	if err != nil {
		panic(err)
	}
	req.Host = "captions.example"
	req.GetBody = nil
	h := req.Header
	h.Set("X-Request-Id", id)
	h.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	h.Set("X-Credential", "key-1")
	h.Set("X-Model", "m")
	h.Set("X-Token-Counts", fmt.Sprintf("%d,%d", q.prompt, q.output))
	if q.parts == "" {
		q.parts = "a1:10"
	}
	h.Set("X-Prompt-Prefix", fmt.Sprintf("%s,%s:%d", q.parts, id, q.prompt))
	a := &answer{request: id, host: c.host.name, sent: time.Now(), poisoned: q.poisoned}
	w.mu.Lock()
	w.sends[id] = a.sent
	w.answers = append(w.answers, a)
	w.mu.Unlock()
	resp, err := c.client.Do(req)
	if err != nil {
		a.finish(w, 0, "", err)
		return a
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.finish(w, resp.StatusCode, string(body), err)
	return a
}

func (a *answer) finish(w *world, status int, body string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.ended, a.status, a.complete = time.Now(), status, err == nil
	a.events = strings.Count(body, "\n\n")
	if err != nil {
		a.cause = err.Error()
	} else if status != http.StatusOK {
		a.cause = strings.TrimSpace(body)
	}
}

// dump writes what was sent, answered and run to the record.
func (w *world) dump() {
	w.mu.Lock()
	defer w.mu.Unlock()
	since := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f s", t.Sub(w.start).Seconds())
	}
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintln(w.record, "\nsent and answered: request, host, sent, ended, status, events, complete, cause")
	for _, a := range w.answers {
		_, _ = fmt.Fprintln(w.record, a.request, a.host, since(a.sent), since(a.ended), a.status, a.events, a.complete, a.cause)
	}
	_, _ = fmt.Fprintln(w.record, "\nrun: request, engine, begin, end, resumed, outcome")
	runs := append([]*runRecord(nil), w.runs...)
	sort.Slice(runs, func(i, j int) bool { return runs[i].begin.Before(runs[j].begin) })
	for _, r := range runs {
		_, _ = fmt.Fprintln(w.record, r.request, r.engine, since(r.begin), since(r.end), r.resumed, r.outcome)
	}
}
