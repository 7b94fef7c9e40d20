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

// maxWatchTimeout is the longest duration of a long poll; a longer timeout_ms is reduced to it.
const maxWatchTimeout = 5 * time.Minute

// holdPollInterval is the interval at which a held write checks the fault HoldWrites. It is
// small against the waits in the scenarios, which take seconds.
const holdPollInterval = 5 * time.Millisecond

// ObjectFaults are the fault switches of the object API.
type ObjectFaults struct {
	// Refuse makes every call fail with status 503.
	Refuse bool `json:"refuse"`
	// DelayMS delays each call before it takes effect.
	DelayMS int `json:"delay_ms"`
	// HoldWrites blocks each write, before it takes effect, until the switch is off.
	HoldWrites bool `json:"hold_writes"`
	// LoseWriteAnswers is the number of successful writes still to come whose
	// connection is closed without a response.
	LoseWriteAnswers int `json:"lose_write_answers"`
	// WritesPerSecond and ReadsPerSecond limit the rates; 0 means unlimited.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
}

// ObjectAPI is a stand-in for the object API. It keeps the objects in memory.
type ObjectAPI struct {
	faults faultSwitch[ObjectFaults]
	stop   chan struct{}
	once   sync.Once

	mu            sync.Mutex
	objects       map[string]platform.Object
	lastVersion   platform.Version
	changed       chan struct{}
	writes, reads *rate.Limiter
	counts        map[string]int
}

// NewObjectAPI returns an object API without objects, with the given faults active.
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
	o.writes, o.reads = newLimiter(f.WritesPerSecond), newLimiter(f.ReadsPerSecond)
}

// newLimiter returns a limiter with a burst of one second's calls; 0 is unlimited.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Stop ends pending watches and releases held writes.
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

// admit counts the calls and applies the faults and rate limits that are common
// to all of them.
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
			writeUnavailable(w)
			return
		}
		if !limit.Allow() {
			w.Header().Set("Retry-After", "1")
			writeError(w, http.StatusTooManyRequests, "rate of %s exceeded", kind)
			return
		}
		// The delay ignores a disconnect of the caller: an abandoned write still
		// takes effect late.
		time.Sleep(milliseconds(f.DelayMS))
		if kind == "writes" {
			o.waitWhileHeld()
		}
		next(w, r)
	}
}

// waitWhileHeld blocks while HoldWrites is set, until Stop is called.
func (o *ObjectAPI) waitWhileHeld() {
	tick := time.NewTicker(holdPollInterval)
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
	limit := min(milliseconds(int(wait)), maxWatchTimeout)
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
				writeUnavailable(w)
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
	_, _ = w.Write(object.Value) // the client may have disconnected
}

func etag(v platform.Version) string { return fmt.Sprintf(`"%d"`, v) }

// write serves conditional PUT and DELETE.
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
		writeError(w, http.StatusPreconditionFailed, "object %q has version %d, expected %d", r.PathValue("key"), version, expected)
		return
	}
	dropResponse := o.faults.update(func(f *ObjectFaults) bool {
		if f.LoseWriteAnswers <= 0 {
			return false
		}
		f.LoseWriteAnswers--
		return true
	})
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(version))
	w.WriteHeader(http.StatusNoContent)
}

// precondition returns the version that the request expects; 0 means that the
// object must not exist.
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

// apply writes the object if its version is the expected one. It returns the new
// version, or the current one and false on a conflict.
func (o *ObjectAPI) apply(method, key string, expected platform.Version, value []byte) (platform.Version, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if present := o.objects[key].Version; present != expected {
		o.counts["conflicts"]++
		return present, false
	}
	o.lastVersion++
	if method == http.MethodDelete {
		delete(o.objects, key)
	} else {
		o.objects[key] = platform.Object{Key: key, Version: o.lastVersion, Value: value}
	}
	close(o.changed)
	o.changed = make(chan struct{})
	return o.lastVersion, true
}
