package standin

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// hostHistory is the time for which old states of the host list are kept; a
// longer lag shows the oldest state kept.
const hostHistory = 10 * time.Minute

// HostFaults are the fault switches of the host list.
type HostFaults struct {
	Refuse bool `json:"refuse"`
	// LagMS is the age of the state that GET /hosts answers with.
	LagMS int `json:"lag_ms"`
}

type hostState struct {
	Revision uint64          `json:"revision"`
	Hosts    []platform.Host `json:"hosts"`
	at       time.Time
}

// HostList is the host list.
type HostList struct {
	faults faultSwitch[HostFaults]
	// start tells the revisions of this process from those of an earlier one.
	start int64

	mu      sync.Mutex
	hosts   map[string]platform.Host
	history []hostState
}

// NewHostList returns an empty host list.
func NewHostList() *HostList {
	return &HostList{start: time.Now().UnixNano(), hosts: map[string]platform.Host{}, history: []hostState{{Hosts: []platform.Host{}, at: time.Now()}}}
}

// Handler serves /hosts and /faults.
func (h *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &h.faults)
	mux.HandleFunc("GET /hosts", h.list)
	mux.HandleFunc("PUT /hosts/{id}", h.put)
	mux.HandleFunc("DELETE /hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		h.change(func() { delete(h.hosts, r.PathValue("id")) })
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (h *HostList) list(w http.ResponseWriter, r *http.Request) {
	f := h.faults.get()
	if f.Refuse {
		refuse(w)
		return
	}
	shown := time.Now().Add(-milliseconds(f.LagMS))
	h.mu.Lock()
	defer h.mu.Unlock()
	i := sort.Search(len(h.history), func(i int) bool { return h.history[i].at.After(shown) })
	state := h.history[max(i-1, 0)]
	etag := fmt.Sprintf(`"%d-%d"`, h.start, state.Revision)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (h *HostList) put(w http.ResponseWriter, r *http.Request) {
	host := platform.Host{ID: r.PathValue("id"), State: platform.HostLive}
	if !readJSON(w, r, &host) {
		return
	}
	backend := host.Role == platform.RoleBackend
	switch {
	case host.ID != r.PathValue("id"):
		writeError(w, http.StatusBadRequest, "id %q differs from the path", host.ID)
	case !backend && host.Role != platform.RoleEntry:
		writeError(w, http.StatusBadRequest, "role must be %q or %q", platform.RoleEntry, platform.RoleBackend)
	case host.State != platform.HostLive && host.State != platform.HostLeaving:
		writeError(w, http.StatusBadRequest, "state must be %q or %q", platform.HostLive, platform.HostLeaving)
	case backend && host.Kind != "engine" && host.Kind != "plain":
		writeError(w, http.StatusBadRequest, `kind must be "engine" or "plain"`)
	case host.Address == "":
		writeError(w, http.StatusBadRequest, "address is required")
	default:
		h.change(func() { h.hosts[host.ID] = host })
		w.WriteHeader(http.StatusNoContent)
	}
}

// change applies f and adds the new state to the history.
func (h *HostList) change(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	now := time.Now()
	state := hostState{Revision: h.history[len(h.history)-1].Revision + 1, Hosts: make([]platform.Host, 0, len(h.hosts)), at: now}
	for _, host := range h.hosts {
		state.Hosts = append(state.Hosts, host)
	}
	sort.Slice(state.Hosts, func(i, j int) bool { return state.Hosts[i].ID < state.Hosts[j].ID })
	h.history = append(h.history, state)
	// The newest state older than hostHistory is still what such a lag shows.
	for len(h.history) > 1 && now.Sub(h.history[1].at) > hostHistory {
		h.history = h.history[1:]
	}
}
