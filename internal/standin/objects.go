package standin

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// maxWatch bounds a long poll, whatever the caller asks for.
const maxWatch = 5 * time.Minute

// holdPoll is how often a held write looks whether it may go on: often against
// the scenarios' waits of seconds.
const holdPoll = 5 * time.Millisecond

// ObjectFaults are the fault switches of the object API.
type ObjectFaults struct {
	// Refuse answers every call with 503.
	Refuse bool `json:"refuse"`
	// DelayMS delays each call before it takes effect.
	DelayMS int `json:"delay_ms"`
	// HoldWrites holds each write, before it takes effect, until the switch is off.
	HoldWrites bool `json:"hold_writes"`
	// LoseWriteAnswers is the number of next successful writes whose
	// connection is closed without an answer.
	LoseWriteAnswers int `json:"lose_write_answers"`
	// WritesPerSecond and ReadsPerSecond limit the rates; 0 means unlimited.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
}

// ObjectAPI is the object API. ObjectAPI live in memory.
type ObjectAPI struct {
	faults faultSwitch[ObjectFaults]
	stop   chan struct{}
	once   sync.Once

	mu            sync.Mutex
	objects       map[string]platform.Object
	next          platform.Version
	changed       chan struct{}
	writes, reads *rate.Limiter
	counts        map[string]int
}

// NewObjectAPI returns an empty object API.
func NewObjectAPI(faults ObjectFaults) *ObjectAPI {
	o := &ObjectAPI{
		stop:    make(chan struct{}),
		objects: map[string]platform.Object{},
		changed: make(chan struct{}),
		counts:  map[string]int{},
	}
	o.faults.onSet = o.setRates
	o.faults.faults = faults
	o.setRates(&faults)
	return o
}

func (o *ObjectAPI) setRates(f *ObjectFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes, o.reads = limiter(f.WritesPerSecond), limiter(f.ReadsPerSecond)
}

// limiter allows a burst of one second's calls.
func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Stop ends waiting watches.
func (o *ObjectAPI) Stop() { o.once.Do(func() { close(o.stop) }) }

// Handler serves /objects, /faults and /debug/journal.
func (o *ObjectAPI) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &o.faults)
	mux.HandleFunc("GET /objects", o.admit("reads", o.list))
	mux.HandleFunc("GET /objects/{key...}", o.admit("reads", o.get))
	mux.HandleFunc("PUT /objects/{key...}", o.admit("writes", o.write))
	mux.HandleFunc("DELETE /objects/{key...}", o.admit("writes", o.write))
	mux.HandleFunc("GET /debug/journal", func(w http.ResponseWriter, _ *http.Request) {
		o.mu.Lock()
		defer o.mu.Unlock()
		writeJSON(w, http.StatusOK, o.counts)
	})
	return mux
}

// admit applies the faults and rates that are common to all calls and counts
// the calls.
func (o *ObjectAPI) admit(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o.mu.Lock()
		o.counts[kind]++
		limit := o.reads
		if kind == "writes" {
			limit = o.writes
		}
		o.mu.Unlock()
		f := o.faults.get()
		if f.Refuse {
			refuse(w)
			return
		}
		if !limit.Allow() {
			w.Header().Set("Retry-After", "1")
			writeError(w, http.StatusTooManyRequests, "rate of %s exceeded", kind)
			return
		}
		// The delay ignores the caller's disconnect: a write of a caller that
		// gave up still takes effect late.
		time.Sleep(milliseconds(f.DelayMS))
		if kind == "writes" {
			o.awaitRelease()
		}
		next(w, r)
	}
}

// awaitRelease returns when writes are not held or the stand-in stops.
func (o *ObjectAPI) awaitRelease() {
	tick := time.NewTicker(holdPoll)
	defer tick.Stop()
	for o.faults.get().HoldWrites {
		select {
		case <-tick.C:
		case <-o.stop:
			return
		}
	}
}

func (o *ObjectAPI) list(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		Key     string           `json:"key"`
		Version platform.Version `json:"version"`
	}
	entries := []entry{}
	o.mu.Lock()
	for key, object := range o.objects {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
			entries = append(entries, entry{key, object.Version})
		}
	}
	o.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	writeJSON(w, http.StatusOK, entries)
}

func (o *ObjectAPI) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if !query.Has("watch") {
		o.mu.Lock()
		object, ok := o.objects[r.PathValue("key")]
		o.mu.Unlock()
		if !ok {
			writeError(w, http.StatusNotFound, "no object %q", r.PathValue("key"))
			return
		}
		writeObject(w, object)
		return
	}
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.ParseUint(query.Get("timeout_ms"), 10, 32)
	if err != nil || waitErr != nil {
		writeError(w, http.StatusBadRequest, "watch and timeout_ms must be non-negative integers")
		return
	}
	limit := min(milliseconds(int(wait)), maxWatch)
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	o.watch(ctx, w, r.PathValue("key"), platform.Version(after))
}

func (o *ObjectAPI) watch(ctx context.Context, w http.ResponseWriter, key string, after platform.Version) {
	for {
		o.mu.Lock()
		object, changed := o.objects[key], o.changed
		o.mu.Unlock()
		if object.Version > after {
			writeObject(w, object)
			return
		}
		select {
		case <-changed:
			if o.faults.get().Refuse {
				refuse(w)
				return
			}
		case <-ctx.Done():
			w.WriteHeader(http.StatusNotModified)
			return
		case <-o.stop:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func writeObject(w http.ResponseWriter, object platform.Object) {
	w.Header().Set("ETag", etag(object.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object.Value) // the reader may be gone
}

func etag(v platform.Version) string { return fmt.Sprintf(`"%d"`, v) }

// write serves PUT and DELETE, both conditional.
func (o *ObjectAPI) write(w http.ResponseWriter, r *http.Request) {
	value, ok := readBody(w, r)
	if !ok {
		return
	}
	if len(value) > platform.MaxObjectBytes {
		writeError(w, http.StatusRequestEntityTooLarge, "value has %d bytes, at most %d are stored", len(value), platform.MaxObjectBytes)
		return
	}
	expected, err := precondition(r)
	if err != nil {
		writeError(w, http.StatusPreconditionRequired, "%v", err)
		return
	}
	version, ok := o.apply(r.Method, r.PathValue("key"), expected, value)
	if !ok {
		w.Header().Set("ETag", etag(version))
		writeError(w, http.StatusPreconditionFailed, "version is %d, not %d", version, expected)
		return
	}
	lost := o.faults.update(func(f *ObjectFaults) bool {
		if f.LoseWriteAnswers <= 0 {
			return false
		}
		f.LoseWriteAnswers--
		return true
	})
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(version))
	w.WriteHeader(http.StatusNoContent)
}

// precondition returns the expected version; 0 means that the object must not exist.
func precondition(r *http.Request) (platform.Version, error) {
	if r.Header.Get("If-None-Match") == "*" && r.Method == http.MethodPut {
		return 0, nil
	}
	v, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf(`If-Match: "<version>" or, to create, If-None-Match: * is required`)
	}
	return platform.Version(v), nil
}

// apply does the write if the version is expected. It returns the new version,
// or the present one and false.
func (o *ObjectAPI) apply(method, key string, expected platform.Version, value []byte) (platform.Version, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if present := o.objects[key].Version; present != expected {
		o.counts["conflicts"]++
		return present, false
	}
	o.next++
	if method == http.MethodDelete {
		delete(o.objects, key)
	} else {
		o.objects[key] = platform.Object{Key: key, Version: o.next, Value: value}
	}
	close(o.changed)
	o.changed = make(chan struct{})
	return o.next, true
}
