package standin

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// historyRetention is how long old states of the host list are kept. A longer
// lag returns the oldest state kept.
const historyRetention = 10 * time.Minute

// HostFaults are the fault switches of the host list.
type HostFaults struct {
	Refuse bool `json:"refuse"`
	// LagMS is the age of the state that GET /hosts returns.
	LagMS int `json:"lag_ms"`
}

type hostListState struct {
	Revision uint64          `json:"revision"`
	Hosts    []platform.Host `json:"hosts"`
	at       time.Time
}

// HostList is a stand-in for the platform's host list, kept in memory.
type HostList struct {
	faults faultSwitch[HostFaults]
	// startNanos distinguishes the ETags of this process from those of an earlier one.
	startNanos int64

	mu      sync.Mutex
	hosts   map[string]platform.Host
	history []hostListState
}

// NewHostList returns an empty host list.
func NewHostList() *HostList {
	return &HostList{startNanos: time.Now().UnixNano(), hosts: map[string]platform.Host{}, history: []hostListState{{Hosts: []platform.Host{}, at: time.Now()}}}
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
		writeUnavailable(w)
		return
	}
	asOf := time.Now().Add(-milliseconds(f.LagMS))
	h.mu.Lock()
	defer h.mu.Unlock()
	i := sort.Search(len(h.history), func(i int) bool { return h.history[i].at.After(asOf) })
	state := h.history[max(i-1, 0)]
	etag := fmt.Sprintf(`"%d-%d"`, h.startNanos, state.Revision)
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
	state := hostListState{Revision: h.history[len(h.history)-1].Revision + 1, Hosts: make([]platform.Host, 0, len(h.hosts)), at: now}
	for _, host := range h.hosts {
		state.Hosts = append(state.Hosts, host)
	}
	sort.Slice(state.Hosts, func(i, j int) bool { return state.Hosts[i].ID < state.Hosts[j].ID })
	h.history = append(h.history, state)
	// The newest state older than historyRetention is kept for lags of that length.
	for len(h.history) > 1 && now.Sub(h.history[1].at) > historyRetention {
		h.history = h.history[1:]
	}
}
