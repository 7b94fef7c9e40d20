package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"monsoonkeel.example/monsoonkeel/core/serverstate"
	_ "monsoonkeel.example/monsoonkeel/internal/fixedseed"
)

// versions returns a balancer with two servers of v1 and three of v2.
func versions(r Rollout) (*Balancer, *serverstate.Refusals) {
	refusals := serverstate.NewRefusals(func() float64 { return 0 })
	b := New(rand.New(rand.NewPCG(1, 2)).IntN, nil, refusals)
	b.Configure(Settings{Domain: "west-a", Region: "west", KVTokens: 1000})
	list := []Server{{ID: "o1", Version: "v1"}, {ID: "o2", Version: "v1"}, {ID: "n1", Version: "v2"}, {ID: "n2", Version: "v2"}, {ID: "n3", Version: "v2"}}
	for i := range list {
		list[i].Address, list[i].Domain, list[i].Region, list[i].Slots, list[i].StartTime = list[i].ID, "west-a", "west", 8, 1
	}
	b.SetServers(list)
	b.SetRollout(r)
	return b, refusals
}

func reserved(b *Balancer, req Request) map[string]bool {
	used := map[string]bool{}
	for range 60 {
		s, reason := b.Pick(req, start)
		if reason != Chosen {
			break
		}
		used[s.ID] = true
		b.AddLoad(s.ID, Load{Requests: 1, Tokens: 10})
	}
	return used
}

func set(ids ...string) map[string]bool {
	out := map[string]bool{}
	for _, id := range ids {
		out[id] = true
	}
	return out
}

// Guards against requests at a version that is not for them: in each phase, new requests, migrations, standby replicas and
// placements of an aggregator use only the servers that the phase allows.
func TestRolloutLimitsServersOfEachRequest(t *testing.T) {
	canary := Rollout{Target: "v2", Others: true, Servers: set("n2")}
	final := Rollout{Target: "v2", Open: true}
	rolledBack := Rollout{Target: "v2", Others: true}
	oldSource, newSource := &Server{ID: "o1", Version: "v1", Domain: "west-a", Region: "west"}, &Server{ID: "n1", Version: "v2", Domain: "west-a", Region: "west"}
	old, target := set("o1", "o2"), set("n1", "n2", "n3")
	for name, c := range map[string]struct {
		rollout Rollout
		req     Request
		// picked are the servers that Pick returns, and accepted those that Accept allows.
		picked, accepted map[string]bool
	}{
		"no roll-out":         {Rollout{}, Request{}, set("o1", "o2", "n1", "n2", "n3"), set("o1", "o2", "n1", "n2", "n3")},
		"canary, not exposed": {canary, Request{}, old, old},
		"canary, exposed":     {canary, Request{Exposed: true}, set("n2"), set("o1", "o2", "n2")},
		"canary, exposed without a server of target":  {canary, Request{Exposed: true, Exclude: []string{"n2"}}, old, old},
		"canary, migration of an old server":          {canary, Request{Source: oldSource, Exclude: []string{"o1"}}, set("o2"), set("o2")},
		"canary, exposed migration":                   {canary, Request{Source: oldSource, Exclude: []string{"o1"}, Exposed: true}, set("n2"), set("o2", "n2")},
		"canary, exposed migration of a target":       {canary, Request{Source: newSource, Exclude: []string{"n1"}, Exposed: true}, set("o1", "o2", "n2"), set("o1", "o2", "n2")},
		"canary, migration of a target":               {canary, Request{Source: newSource, Exclude: []string{"n1"}}, old, set("o1", "o2", "n2")},
		"canary, migration of the last of the target": {canary, Request{Source: newSource, Exclude: []string{"o1", "o2"}}, set("n2"), set("n2")},
		"final":                      {final, Request{}, target, target},
		"final, migration":           {final, Request{Source: oldSource}, target, target},
		"rolled back":                {rolledBack, Request{}, old, old},
		"rolled back, still exposed": {rolledBack, Request{Exposed: true}, old, old},
		"rolled back, migration":     {rolledBack, Request{Source: newSource}, old, old},
	} {
		t.Run(name, func(t *testing.T) {
			b, _ := versions(c.rollout)
			c.req.Tokens = 10
			assert.Equal(t, c.picked, reserved(b, c.req), "picked")
			accepted := map[string]bool{}
			for id := range b.servers {
				if _, ok := b.Accept(id, c.req, Load{}, start); ok {
					accepted[id] = true
				}
			}
			assert.Equal(t, c.accepted, accepted)
		})
	}
}

// Guards against an exposed request that waits for the few servers of the target, or fails, while servers of the old version are
// free: the target is full, ejected or refuses requests.
func TestExposedRequestsFallBackToOtherVersions(t *testing.T) {
	canary := Rollout{Target: "v2", Others: true, Servers: set("n2")}
	for name, block := range map[string]func(*Balancer, *serverstate.Refusals){
		"full":    func(b *Balancer, _ *serverstate.Refusals) { b.AddLoad("n2", Load{Requests: 1, Tokens: 995}) },
		"ejected": func(b *Balancer, _ *serverstate.Refusals) { b.RecordFailure("n2", start) },
		"refuses": func(_ *Balancer, r *serverstate.Refusals) {
			r.Observe(serverstate.Process{ID: "n2", StartTime: 1}, time.Second, start)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b, refusals := versions(canary)
			block(b, refusals)
			s, reason := b.Pick(Request{Tokens: 10, Exposed: true}, start)
			assert.Equal(t, Chosen, reason)
			assert.Equal(t, "v1", s.Version)
			for _, id := range []string{"o1", "o2"} {
				b.AddLoad(id, Load{Requests: 1, Tokens: 995})
			}
			_, reason = b.Pick(Request{Tokens: 10, Exposed: true}, start)
			assert.Equal(t, Full, reason, "a full server becomes free without notice, so the request waits for it")
		})
	}
}

// Guards against a wait for servers that the phase excludes: their refusal says nothing of those that are used.
func TestRefusalsOfExcludedVersionsDoNotCount(t *testing.T) {
	b, refusals := versions(Rollout{Target: "v2", Others: true, Servers: set("n2")})
	for _, id := range []string{"o1", "o2"} {
		refusals.Observe(serverstate.Process{ID: id, StartTime: 1}, time.Second, start)
	}
	_, refused := b.ReturnsAt(Request{})
	assert.True(t, refused, "all servers that the request may use refuse")
	_, refused = b.ReturnsAt(Request{Exposed: true})
	assert.False(t, refused)
	b.SetRollout(Rollout{Target: "v2", Open: true})
	_, refused = b.ReturnsAt(Request{})
	assert.False(t, refused)
}

// Guards against standby replicas at servers that are about to stop, or at a version under trial.
func TestStandbyReplicasFollowTheRollout(t *testing.T) {
	source := &Server{ID: "o1", Version: "v1", Domain: "west-b", Region: "west"}
	standby := Request{Tokens: 10, Source: source, Standby: true, Exclude: []string{"o1"}}
	b, _ := versions(Rollout{Target: "v2", Others: true, Servers: set("n1", "n2", "n3")})
	assert.Empty(t, reserved(b, standby), "two engines leave no room for replicas")
	b.SetRollout(Rollout{Target: "v2", Open: true})
	assert.Subset(t, set("n1", "n2", "n3"), reserved(b, standby))
	assert.False(t, b.Admits("o2"))
	assert.True(t, b.Admits("n3"))
}

// Guards against a missed path: for any phase and request, no method that chooses or counts candidates names a server that the
// roll-out excludes, and a request without exposure never gets a server of a target that is not open.
func TestNoPathUsesExcludedVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Rollout{Target: "v2", Others: rapid.Bool().Draw(t, "others"), Open: rapid.Bool().Draw(t, "open")}
		r.Servers = set(rapid.SliceOfDistinct(rapid.SampledFrom([]string{"n1", "n2", "n3"}), rapid.ID).Draw(t, "servers")...)
		b, _ := versions(r)
		req := Request{Tokens: 10, Exposed: rapid.Bool().Draw(t, "exposed")}
		for _, id := range rapid.SliceOf(rapid.SampledFrom([]string{"o1", "o2", "n1", "n2", "n3"})).Draw(t, "failed") {
			b.RecordFailure(id, start)
		}
		s, reason := b.Pick(req, start)
		if reason != Chosen {
			assert.False(t, r.Others || r.Open || req.Exposed && len(r.Servers) > 0, "a server may be used")
			return
		}
		if s.Version == "v1" {
			assert.True(t, r.Others)
		} else {
			assert.True(t, r.Open || req.Exposed && r.Servers[s.ID])
		}
		assert.True(t, b.Admits(s.ID))
	})
}
