package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a rejection whose log names another reason than the one that excluded the backend server.
func TestExclusionOf(t *testing.T) {
	free := Candidate{Index: 1, Region: "a", Limit: 2, Capacity: 2, KVTokens: 1000, Hosts: 1}
	change := func(f func(*Candidate)) Candidate {
		c := free
		f(&c)
		return c
	}
	for name, row := range map[string]struct {
		c   Candidate
		req Request
	}{
		"free":         {c: free},
		"at_limit":     {c: change(func(c *Candidate) { c.OwnInFlight = 2 })},
		"no_limit":     {c: change(func(c *Candidate) { c.Limit = 0 })},
		"prefilling":   {c: change(func(c *Candidate) { c.Prefilling, c.MaxPrefill = 1, 1 })},
		"other_region": {c: free, req: Request{Region: "b", LocalOnly: true}},
		"batch_limit":  {c: change(func(c *Candidate) { c.ReportedInFlight, c.MaxBatch = 3, 3 })},
		"attempted":    {c: free, req: Request{Attempted: []int{1}}},
		"kv_cache":     {c: change(func(c *Candidate) { c.ReportedInFlight = 1 }), req: Request{PromptTokens: 2000, Survival: Survival{1}}},
	} {
		require.Equal(t, name, ExclusionOf(&row.c, &row.req).String())
		at := Pick([]Candidate{row.c}, row.req, 0)
		require.Equal(t, name == "free", at == 0, name)
	}
}
