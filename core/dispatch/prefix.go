package dispatch

import "monsoonkeel.example/monsoonkeel/core/schedule"

const (
	// maxPrefixes bounds each of the two generations of the prefix index.
	maxPrefixes = 4096
	// maxHolders bounds the backend servers remembered for a prefix.
	maxHolders = 4
)

// prefixIndex remembers at which backend servers prompts with the same
// beginning were placed. It is approximate: it knows only this host's own
// placements and not what engines evicted, so it may only break near ties.
// Two generations of entries bound its memory: when the newer one is full it
// replaces the older one.
type prefixIndex struct{ recent, old map[uint64][]string }

func newPrefixIndex() prefixIndex { return prefixIndex{recent: map[uint64][]string{}} }

// holders returns the backend servers for a prefix, the latest first.
func (x *prefixIndex) holders(prefix uint64) []string {
	if ids, ok := x.recent[prefix]; ok {
		return ids
	}
	return x.old[prefix]
}

// placed records a placement.
func (x *prefixIndex) placed(prefix uint64, server string) {
	if prefix == 0 {
		return
	}
	known := x.holders(prefix)
	ids := append(make([]string, 0, maxHolders), server)
	for _, id := range known {
		if id != server && len(ids) < maxHolders {
			ids = append(ids, id)
		}
	}
	if len(x.recent) >= maxPrefixes {
		x.old, x.recent = x.recent, map[uint64][]string{}
	}
	x.recent[prefix] = ids
}

// appendHolders finds the holders of r's prefix among the present servers.
func (d *Dispatcher) appendHolders(out []schedule.CachedPrefix, r *Request) []schedule.CachedPrefix {
	if r.Prefix == 0 {
		return out
	}
	for _, id := range d.prefixes.holders(r.Prefix) {
		for i, s := range d.servers {
			if s.ID == id {
				out = append(out, schedule.CachedPrefix{Index: i, Tokens: r.PrefixTokens})
			}
		}
	}
	return out
}
