package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type event struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
	kind    string
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	// silent is set while the store is down: it answers no call.
	silent atomic.Bool
}

func newStore() *store {
	s := &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// put creates or replaces an object as the operator or a server does. It returns the revision.
func (s *store) put(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, raw).Metadata.Revision
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(kind, name)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, known := s.objects[kind][name]
	if known && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !known {
		o.Metadata = metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	s.objects[kind][name] = o
	s.record(event{Object: o, kind: kind})
	return o
}

func (s *store) erase(kind, name string) bool {
	o, known := s.objects[kind][name]
	if !known {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(event{Object: o, Deleted: true, kind: kind})
	return true
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.silent.Load() {
		<-r.Context().Done()
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, known := s.objects[kind][name]
		s.mu.Unlock()
		answer(w, known, o)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		known := s.erase(kind, name)
		s.mu.Unlock()
		answer(w, known, struct{}{})
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = o.Metadata.Name
	}
	old, known := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known, known && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(old)
	case r.Method == http.MethodPut && !known:
		w.WriteHeader(http.StatusNotFound)
	default:
		answer(w, true, s.write(kind, name, o.Spec))
	}
}

func answer(w http.ResponseWriter, found bool, body any) {
	w.Header().Set("Content-Type", "application/json")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, true, map[string]any{"items": items, "has_more": false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, true, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
			if s.silent.Load() {
				<-r.Context().Done()
				return
			}
		case <-timeout:
			if s.silent.Load() {
				<-r.Context().Done()
				return
			}
			answer(w, true, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
