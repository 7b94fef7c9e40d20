package view

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// score returns the rendezvous hash weight of candidate for key.
func score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// The separator keeps ("a","bc") and ("ab","c") distinct; Digest never
	// returns an error.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Owner returns the candidate with the highest rendezvous hash weight for key,
// or "" if there are no candidates.
func Owner(key string, candidates []string) string {
	best, bestScore := "", uint64(0)
	for _, c := range candidates {
		s := score(key, c)
		if best == "" || s > bestScore || s == bestScore && c < best {
			best, bestScore = c, s
		}
	}
	return best
}

// Ranked returns up to n candidates in descending order of their rendezvous
// hash weight for key.
func Ranked(key string, candidates []string, n int) []string {
	out := slices.Clone(candidates)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(key, b), score(key, a)), cmp.Compare(a, b))
	})
	return out[:min(n, len(out))]
}

// CellOf returns the cell, from 0 to cells-1, of an entry host or backend
// server id. Few ids are assigned to another cell when the number of cells
// changes.
func CellOf(id string, cells int) int {
	best, bestScore := 0, uint64(0)
	for c := range max(cells, 1) {
		if s := score(id, strconv.Itoa(c)); c == 0 || s > bestScore {
			best, bestScore = c, s
		}
	}
	return best
}

// SlotOwners returns the owners of the first n cold slots of a backend server.
// A slot is assigned to the member with the highest rendezvous hash weight
// among those with the fewest slots so far, so that no member has two slots
// while another has none. The owner of a slot does not depend on n.
func SlotOwners(backend string, n int, members []string) []string {
	owners := make([]string, 0, n)
	free := slices.Clone(members)
	for i := 0; i < n && len(members) > 0; i++ {
		if len(free) == 0 {
			free = append(free, members...)
		}
		owner := Owner(backend+"\x00"+strconv.Itoa(i), free)
		owners = append(owners, owner)
		free = slices.DeleteFunc(free, func(m string) bool { return m == owner })
	}
	return owners
}
