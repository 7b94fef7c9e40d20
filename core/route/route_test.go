package route

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func table() *Table {
	priority := 3
	return New(Document{
		Version: 4,
		Routes: []Route{
			{Name: "root", Host: "Shop.example", PathPrefix: "/", Targets: []Target{{"a", 1}}},
			{Name: "orders", Host: "shop.example", PathPrefix: "/orders/", Targets: []Target{{"a", 1}}},
			{Name: "deep", Host: "shop.example", PathPrefix: "/orders/new/", Targets: []Target{{"a", 90}, {"b", 10}}},
			{Name: "other", Host: "other.example", PathPrefix: "/orders/", Targets: []Target{{"b", 1}}},
		},
		Teams: []TeamKeys{{Team: Team{Name: "blue", Priority: &priority, Regions: []string{"west", "east"}}, Keys: []string{"k1", "k2"}}},
	})
}

// Guards against a wrong match, which sends a request to the backend servers of another
// service.
func TestMatchUsesLongestPrefixOfHost(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"shop.example", "/orders/7", "orders"},
		{"SHOP.example:8080", "/orders/new/7", "deep"},
		{"shop.example", "/orders/new", "orders"},
		{"shop.example", "/orders", "root"},
		{"shop.example", "/", "root"},
		{"other.example", "/orders/7", "other"},
		{"other.example", "/else/7", ""},
		{"unknown.example", "/orders/7", ""},
		{"", "", ""},
	} {
		r := table().Match(c.host, c.path)
		if c.want == "" {
			assert.Nil(t, r, "%s%s", c.host, c.path)
			continue
		}
		require.NotNil(t, r, "%s%s", c.host, c.path)
		assert.Equal(t, c.want, r.Name, "%s%s", c.host, c.path)
	}
}

// Guards against a traffic split that deviates from the weights, and against one request
// ID being given different services.
func TestTargetFollowsWeights(t *testing.T) {
	r := table().Match("shop.example", "/orders/new/")
	counts := map[string]int{}
	const requests = 20000
	for i := range requests {
		id := string(rune(i)) + "x"
		counts[r.Target(id)]++
		assert.Equal(t, r.Target(id), r.Target(id))
	}
	assert.InDelta(t, 0.9, float64(counts["a"])/requests, 0.02)
	assert.Equal(t, "", (&Route{}).Target("x"))
	assert.Equal(t, "z", (&Route{Targets: []Target{{"z", 0}}}).Target("x"))
}

// Guards against a key being attributed to no team or the wrong one, and against keys
// being required by a configuration without keys.
func TestTeamByKey(t *testing.T) {
	tab := table()
	require.NotNil(t, tab.Team("k2"))
	assert.Equal(t, "blue", tab.Team("k2").Name)
	assert.Nil(t, tab.Team("k3"))
	assert.True(t, tab.NeedsKey)
	assert.False(t, New(Document{}).NeedsKey)
}

// Guards against serving a request in a region that only one of the route and the team
// allows.
func TestRegionsOfRouteAndTeamBothApply(t *testing.T) {
	team := table().Team("k1")
	both := RegionFilter(&Route{Regions: []string{"east", "north"}}, team)
	assert.True(t, both("east"))
	assert.False(t, both("west"))
	assert.False(t, both("north"))
	assert.True(t, RegionFilter(&Route{}, nil)("anywhere"))
}

// Guards against generations that give way to requests of another service, or to no others at all.
func TestMostUrgentPriorityOfAService(t *testing.T) {
	table := New(Document{Routes: []Route{
		{Host: "a", PathPrefix: "/x/", Priority: 2, Targets: []Target{{Service: "model"}}},
		{Host: "a", PathPrefix: "/y/", Priority: 1, Targets: []Target{{Service: "model"}, {Service: "desk"}}},
		{Host: "a", PathPrefix: "/z/", Priority: 0, Targets: []Target{{Service: "other"}}},
	}})
	assert.Equal(t, 1, table.MostUrgent("model"))
	assert.Equal(t, 1, table.MostUrgent("desk"))
	assert.Equal(t, 0, table.MostUrgent("other"))
}
