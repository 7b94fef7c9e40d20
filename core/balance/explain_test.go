package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/pace"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

// Guards against an explanation that leaves out a reason or differs from the choice: the server "a" is cheaper than "b", and each
// reason alone must make Pick choose "b".
func TestExplainNamesEachReason(t *testing.T) {
	now := time.Unix(1000, 0)
	a := Server{ID: "a", Domain: "west-a", Region: "west", StartTime: 1, Slots: 8, PerSecond: 1, Version: "v1"}
	b := Server{ID: "b", Domain: "north-a", Region: "north", StartTime: 1, Slots: 8, PerSecond: 5, Version: "v0"}
	const kv = 1000
	for name, c := range map[string]struct {
		arrange func(*Balancer)
		change  func(*Request)
		want    []Exclusion
	}{
		"usable":     {},
		"not listed": {arrange: func(l *Balancer) { l.SetServers([]Server{b}) }, want: []Exclusion{ExcludedUnknown}},
		"attempted":  {change: func(r *Request) { r.Exclude = []string{"a"} }, want: []Exclusion{ExcludedByCaller}},
		"region":     {change: func(r *Request) { r.Allowed = func(region string) bool { return region == "north" } }, want: []Exclusion{ExcludedRegion}},
		"version":    {arrange: func(l *Balancer) { l.SetRollout(Rollout{Target: "v1", Others: true}) }, want: []Exclusion{ExcludedVersion}},
		"ejected":    {arrange: func(l *Balancer) { l.RecordFailure("a", now) }, want: []Exclusion{ExcludedEjected}},
		"reported":   {arrange: func(l *Balancer) { l.SetSuspects(map[string]bool{"a": true}) }, want: []Exclusion{ExcludedReported}},
		"refuses":    {arrange: func(l *Balancer) { l.refusals.Observe(a.Process(), 3*time.Second, now) }, want: []Exclusion{ExcludedRefusing}},
		"rate limit": {arrange: func(l *Balancer) {
			l.limits.Observe("a", 1, ratelimit.Observation{Limit: 1, SentAt: now, At: now})
			for l.limits.Allows("a", now) {
				l.limits.Take("a", now)
			}
		}, want: []Exclusion{ExcludedRateLimit}},
		"cold rate": {arrange: func(l *Balancer) { l.settings.Limited = true; l.AddRequest("a", Load{Requests: 1}, now) }, want: []Exclusion{ExcludedColdRate}},
		"full":      {arrange: func(l *Balancer) { l.AddLoad("a", Load{Requests: 1, Tokens: kv}) }, want: []Exclusion{ExcludedKVFull}},
		"kept free": {arrange: func(l *Balancer) { l.AddLoad("a", Load{Requests: 1, Tokens: 200}) }, change: func(r *Request) { r.KeepFree = 750 }, want: []Exclusion{ExcludedKeptFree}},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(func(int) int { return 0 }, ratelimit.New("host-1", func() float64 { return 0.5 }), serverstate.NewRefusals(func() float64 { return 0.5 }))
			l.Configure(Settings{Domain: "west-a", Region: "west", KVTokens: kv, OtherRegionCost: 5})
			l.SetServers([]Server{a, b})
			if c.arrange != nil {
				c.arrange(l)
			}
			req := Request{Tokens: 100, Prefill: 50}
			if c.change != nil {
				c.change(&req)
			}
			before := l.OwnLoad()
			assert.Equal(t, c.want, l.Explain("a", req, now).Excluded)
			assert.Empty(t, l.Explain("b", req, now).Excluded)
			assert.Equal(t, before, l.OwnLoad())
			picked, reason := l.Pick(req, now)
			require.Equal(t, Chosen, reason)
			assert.Equal(t, len(c.want) == 0, picked.ID == "a")
		})
	}
}

// Guards against parts that do not add up to the cost that Pick compares, or that name the wrong cause.
func TestExplainSplitsCost(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(func(int) int { return 0 }, nil, nil)
	l.Configure(Settings{Domain: "west-a", Region: "west", KVTokens: 1000})
	l.SetServers([]Server{{ID: "a", Domain: "west-b", Region: "west", StartTime: 1, Slots: 8}})
	l.SetPaces(map[serverstate.Process]pace.Estimate{{ID: "a", StartTime: 1}: {Speed: 1.5, Slowdown: 1, Limit: 1, LateRate: 0.01}})
	l.AddLoad("a", Load{Requests: 1, Tokens: 300, Prefill: 100})
	e := l.Explain("a", Request{Tokens: 100, Events: 10}, now)
	c := e.Cost
	assert.InDelta(t, c.Total, c.Load+c.Prefill+c.Distance+c.Speed+c.Late, 1e-9)
	assert.InDelta(t, l.cost(l.servers["a"], Request{Tokens: 100, Events: 10}), c.Total, 1e-9)
	assert.InDelta(t, 0.4, c.Load, 1e-9)
	assert.InDelta(t, 0.2, c.Prefill, 1e-9)
	assert.InDelta(t, engineDomainCost, c.Distance, 1e-9)
	assert.InDelta(t, 0.5*(engineSpeedCost+0.6), c.Speed, 1e-9)
	assert.InDelta(t, lateCost*e.Pace.LateShare(10), c.Late, 1e-9)
	assert.Equal(t, Load{Requests: 1, Tokens: 300, Prefill: 100}, e.Own)
}

// Guards against an explanation that hides why a dearer server is chosen during a roll-out.
func TestExplainMarksSecondChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(func(int) int { return 0 }, nil, nil)
	l.SetServers([]Server{{ID: "old", Version: "v1", Slots: 8}, {ID: "new", Version: "v2", Slots: 8}})
	l.SetRollout(Rollout{Target: "v2", Others: true, Servers: map[string]bool{"new": true}})
	assert.True(t, l.Explain("old", Request{Exposed: true}, now).SecondChoice)
	assert.False(t, l.Explain("new", Request{Exposed: true}, now).SecondChoice)
	assert.False(t, l.Explain("old", Request{}, now).SecondChoice)
}
