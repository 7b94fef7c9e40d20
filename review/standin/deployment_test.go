package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// deployment is a small installation: a host in each zone, runners of two services, and the store.
type deployment struct {
	store   *store
	hosts   []*host
	version int64
	// places are the zones of the hosts.
	places []string
	mu     sync.Mutex
	runs   map[string][]string // runners that ran a request, by its id
}

const (
	hostName   = "shop.example"
	apiKey     = "key-of-the-first-tenant"
	tenantName = "first"
)

type settings map[string]any

// routes of the sheet, with its times.
func standardRoutes() []settings {
	route := func(name, kind, service string, timeout, goal, priority, attempts int) settings {
		r := settings{"name": name, "host": hostName, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "goal_ms": goal,
			"priority": priority, "service": service, "attempts": attempts, "public": false, "sticky": kind == "stream", "resumable": false, "allowed_regions": []string{}}
		if kind == "stream" {
			r["gap_target_ms"] = 180
		}
		return r
	}
	return []settings{
		route("tribute-caption", "stream", "caption-models", 39000, 1800, 1, 1),
		route("photo-title", "stream", "caption-models", 6000, 1500, 0, 1),
		route("order-commit", "non_idempotent", "order-desk", 1200, 200, 2, 1),
		route("order-lookup", "idempotent", "order-desk", 1200, 200, 2, 2),
	}
}

// configure writes the next version of the configuration.
func (d *deployment) configure(change func(config settings)) {
	d.version += 7
	config := settings{
		"version": d.version,
		"routes":  standardRoutes(),
		"services": []settings{
			{"name": "caption-models", "health_path": "/healthz", "max_conns": 442, "protocol": "h1", "tls": false, "cold_start_s": 1.0, "cold_per_s": 30.0,
				"engine": settings{"slots": 64, "kv_capacity": 34431, "kv_token_bytes": 18432, "link_mbps": 2700.0, "moves": true, "backups": true, "stride": 4,
					"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []settings{{"name": "m"}}}},
			{"name": "order-desk", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  settings{"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
		"tenants": []settings{{"name": tenantName, "api_keys": []string{apiKey}, "priority": 1, "allowed_regions": []string{}}},
	}
	if change != nil {
		change(config)
	}
	revision := d.store.put("config", "main", config)
	record("config version %d acknowledged at revision %d", d.version, revision)
}

// newDeployment writes the first configuration; start starts the hosts.
func newDeployment() *deployment {
	d := &deployment{store: newStore(), places: zones, runs: map[string][]string{}}
	d.configure(nil)
	return d
}

func (d *deployment) start() { d.startBehind(func(int) string { return d.store.address }) }

// startBehind starts the hosts; storeAt returns the address at which a host reaches the store.
func (d *deployment) startBehind(storeAt func(host int) string) {
	for i, zone := range d.places {
		d.hosts = append(d.hosts, newHost(work, fmt.Sprintf("front-%s-%d", zone, i+1), zone, storeAt(i)))
	}
	for _, h := range d.hosts {
		h.start(work)
	}
	for _, h := range d.hosts {
		h.awaitReady()
	}
	time.Sleep(2 * time.Second)
}

// ran records that a runner began to work on a request.
func (d *deployment) ran(r *http.Request, runner *runner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	d.runs[id] = append(d.runs[id], runner.id)
	record("runner %s runs request %s", runner.id, id)
}

func (d *deployment) runsOf(id string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.runs[id]...)
}

// captionRequest is a request of the kind tribute-caption.
func captionRequest(id string, number, events int) ask {
	return ask{
		id: id, method: "POST", host: hostName, path: "/tribute-caption/1", key: apiKey, deadline: 39 * time.Second, body: "a prompt",
		headers: []string{"X-Model: m", fmt.Sprintf("X-Token-Counts: 1460,%d", 4*events), fmt.Sprintf("X-Prompt-Prefix: 5c1e07a2:800,%08x:660", number+1)},
	}
}
