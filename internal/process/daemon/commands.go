package daemon

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/view"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/platform/httpapi"
	"monsoonkeel.example/monsoonkeel/internal/process/issuer"
)

// issuerCandidates is the number of members that may become the command issuer of a
// service. The second one takes over when the first cannot reach the object API;
// the others are not candidates, which saves their reads of the object API.
const issuerCandidates = 2

// newCommands returns the manager that issues control commands to engines.
func newCommands(d *Daemon) *issuer.Manager {
	options := issuer.Options{
		Holder:  d.settings.HostID + "/" + uuid.NewString(),
		Store:   d.store,
		Engines: httpapi.NewEngineControl(),
		Hosts: func() ([]platform.Host, bool) {
			hosts := d.membership.Hosts()
			return hosts, len(hosts) > 0
		},
		IsCandidate: func(service string) bool {
			members := view.Ranked("issuer/"+service, d.membership.View().Members, issuerCandidates)
			return !d.draining.Load() && slices.Contains(members, d.settings.HostID)
		},
		Now:     time.Now,
		NewRand: newRand,
		Log:     d.log,
	}
	if d.settings.Cells > 1 {
		// A daemon tracks only the backend servers of its own cell, so each cell has a
		// command issuer of its own.
		options.KeySuffix = fmt.Sprintf("/%d", view.CellOf(d.settings.HostID, d.settings.Cells))
	}
	if d.settings.WeightStore != "" {
		options.Weights = httpapi.NewWeightStore(d.settings.WeightStore)
	}
	return issuer.NewManager(options, d.engineServices)
}

// engineServices returns the names of the configured engine services.
func (d *Daemon) engineServices() []string {
	var names []string
	services := d.config.Current().Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		if services[name].Kind == config.ServiceKindEngine {
			names = append(names, name)
		}
	}
	return names
}
