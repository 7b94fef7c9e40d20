package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against placement on a backend server that is full, cold without a
// slot, or already failed the request, and against paying for a regional link
// without need.
func TestPick(t *testing.T) {
	local := Candidate{Index: 0, Region: "a", Limit: 4, Capacity: 10}
	remote := Candidate{Index: 1, Region: "b", Limit: 4, Capacity: 10}
	full := Candidate{Index: 2, Region: "a", Limit: 1, Own: 1, Capacity: 10}
	busy := Candidate{Index: 3, Region: "a", Limit: 4, ReportedWork: 9, Capacity: 10}

	cases := []struct {
		name       string
		candidates []Candidate
		tried      []int
		want       int
	}{
		{"empty", nil, nil, -1},
		{"local first", []Candidate{remote, local}, nil, 1},
		{"remote when local is crowded", []Candidate{remote, busy}, nil, 0},
		{"full is skipped", []Candidate{full, remote}, nil, 1},
		{"tried is skipped", []Candidate{local, remote}, []int{0}, 1},
		{"none left", []Candidate{full}, nil, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				require.Equal(t, c.want, Pick(c.candidates, Request{Region: "a", Tried: c.tried}, seed))
			}
		})
	}
}
