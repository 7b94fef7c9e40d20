package forward

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// Guards against a host that has lost all servers of a service and says that it is ready while others use them, and against
// one that asks although its servers are in use, or although no other host has any.
func TestHostWithoutServersThatOthersUseAsks(t *testing.T) {
	server := func(id, service string, removed bool) *directory.Server {
		return &directory.Server{Backend: fleet.Backend{ID: id, Service: service, Address: id, Slots: 1, StartTime: 1}, Removed: removed}
	}
	used, idle := map[string]balance.Load{"desk-1": {Requests: 1}}, map[string]balance.Load{"desk-1": {}}
	for name, c := range map[string]struct {
		servers  []*directory.Server
		loads    map[string]balance.Load
		complete bool
		asks     bool
	}{
		"no server is known":           {[]*directory.Server{server("model-1", "models", false)}, used, true, true},
		"all are removed":              {[]*directory.Server{server("model-1", "models", false), server("desk-1", "desk", true)}, used, true, true},
		"one is known":                 {[]*directory.Server{server("model-1", "models", false), server("desk-2", "desk", false)}, used, true, false},
		"no other host uses any":       {[]*directory.Server{server("model-1", "models", false)}, idle, true, false},
		"the store was not read yet":   {nil, used, false, false},
		"others use those of this one": {[]*directory.Server{server("model-1", "models", false)}, map[string]balance.Load{"model-1": {Requests: 1}}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New(directory.Options{Clock: func() time.Duration { return time.Hour }, Log: zerolog.Nop()})
			opts := Options{HostID: "host-0", Log: zerolog.Nop(), Directory: d}
			g := &Gateway{opts: opts, balancers: newBalancers(opts, &Metrics{}), pool: connection.NewPoolSize(1)}
			snapshot := &directory.Snapshot{Complete: c.complete, Servers: map[string]*directory.Server{}, Table: &route.Table{Services: map[string]*route.Service{
				"models": {Name: "models"}, "desk": {Name: "desk"},
			}}}
			relayed := directory.RelayedKind{Revision: 5, Full: true}
			for _, s := range c.servers {
				snapshot.Servers[s.ID] = s
				if !s.Removed {
					relayed.Changes = append(relayed.Changes, directory.Change{Name: s.ID, Backend: &s.Backend})
				}
			}
			d.ApplyRelayed(&directory.RelayedUpdate{Backends: relayed}, 0)
			g.ApplySnapshot(&directory.Snapshot{}, snapshot)
			g.askForServers(c.loads)
			assert.Equal(t, c.asks, d.Metrics.Get("asked_for_backends") != nil)
		})
	}
}
