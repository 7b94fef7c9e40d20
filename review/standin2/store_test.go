package standin2

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the metadata store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
		Created  int64  `json:"created"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type storeEvent struct {
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
	kind     string
	revision int64
}

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	events   []storeEvent
	changed  chan struct{}
	address  string
}

const (
	storePage    = 500
	maxStoreWait = 30 * time.Second
)

func newStore() (*store, error) {
	s := &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put creates or replaces an object and returns when the store acknowledged it.
func (s *store) put(kind, name string, spec any) time.Time {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, encoded)
	return time.Now()
}

// drop deletes an object, and reports whether there was one.
func (s *store) drop(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	s.publish(storeEvent{Object: o, Deleted: true, kind: kind, revision: s.revision})
	return true
}

// write replaces the spec of an object. One that is the same changes nothing.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, known := s.objects[kind][name]
	if known && bytes.Equal(o.Spec, spec) {
		return o
	}
	s.revision++
	if !known {
		o.Metadata.Name, o.Metadata.Created = name, s.revision
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.publish(storeEvent{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *store) publish(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the entry hosts.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		if o, ok := s.objects[kind][name]; ok {
			writeJSON(w, http.StatusOK, o)
		} else {
			writeJSON(w, http.StatusNotFound, map[string]any{})
		}
	case r.Method == http.MethodDelete:
		if !s.drop(kind, name) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{})
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && sent.Metadata.Revision != 0 && sent.Metadata.Revision != known.Metadata.Revision:
		writeJSON(w, http.StatusConflict, known)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		writeJSON(w, http.StatusOK, s.write(kind, name, sent.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > storePage
	names = names[:min(len(names), storePage)]
	items := []object{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": s.revision})
}

// watch is called with s.mu locked and unlocks it while it waits.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, maxStoreWait))
	for ended := false; ; {
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		if len(events) > 0 || ended {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the host closed the connection
}
