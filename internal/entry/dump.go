package entry

import (
	"encoding/json"
	"net/http"

	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// dump writes the state dump of the process as JSON.
func (p *Process) dump(w http.ResponseWriter, _ *http.Request) {
	age, known := p.directory.ConfigurationAge()
	var local gossip.State
	p.gateway.LocalState(&local)
	state := map[string]any{
		"host":                    p.settings.HostID,
		"ready":                   p.gateway.UnreadyReason(),
		"configuration_age_ms":    age.Milliseconds(),
		"configuration_age_known": known,
		"connections":             p.callers.Open(),
		"snapshot":                p.directory.Snapshot(),
		"local":                   local,
		"store_response_age_ms":   local.StoreResponseAge.Milliseconds(),
		"rollouts":                p.gateway.RolloutStatus(),
		"gossip":                  p.gossip.Status(),
		"paces":                   p.gateway.Paces(),
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(state); err != nil {
		p.log.Warn().Err(err).Msg("writing the state dump failed")
	}
}
