package dispatch

import "monsoonkeel.example/monsoonkeel/core/schedule"

const (
	// maxPrefixes limits the entries of each of the two maps of the prefix
	// index.
	maxPrefixes = 4096
	// maxServersPerPrefix limits the backend servers recorded for a prefix.
	maxServersPerPrefix = 4
)

// prefixIndex records the backend servers to which prompts with the same prefix
// were sent. It is approximate: it contains only this host's own requests and
// ignores what engines evicted, so it may only decide between candidates of
// similar load. Two maps bound its memory: when the recent one is full, it
// replaces the old one.
type prefixIndex struct{ recent, old map[uint64][]string }

func newPrefixIndex() prefixIndex { return prefixIndex{recent: map[uint64][]string{}} }

// servers returns the backend servers for a prefix, the most recent first.
func (x *prefixIndex) servers(prefix uint64) []string {
	if ids, ok := x.recent[prefix]; ok {
		return ids
	}
	return x.old[prefix]
}

// record adds server as the most recent one for prefix.
func (x *prefixIndex) record(prefix uint64, server string) {
	if prefix == 0 {
		return
	}
	previous := x.servers(prefix)
	ids := append(make([]string, 0, maxServersPerPrefix), server)
	for _, id := range previous {
		if id != server && len(ids) < maxServersPerPrefix {
			ids = append(ids, id)
		}
	}
	if len(x.recent) >= maxPrefixes {
		x.old, x.recent = x.recent, map[uint64][]string{}
	}
	x.recent[prefix] = ids
}

// appendCachedPrefixes appends the current backend servers that r's prefix was
// sent to.
func (d *Dispatcher) appendCachedPrefixes(out []schedule.CachedPrefix, r *Request) []schedule.CachedPrefix {
	if r.Prefix == 0 {
		return out
	}
	for _, id := range d.prefixes.servers(r.Prefix) {
		for i, s := range d.servers {
			if s.ID == id {
				out = append(out, schedule.CachedPrefix{Index: i, Tokens: r.PrefixTokens})
			}
		}
	}
	return out
}
