package view

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

// Guards against accepting a damaged view, one with unsorted or repeated members or one with
// unknown fields, and against a view that changes when it is encoded and parsed.
func TestParseRejectsMalformedViews(t *testing.T) {
	v := View{Cell: "0", Epoch: 3, Members: []string{"a", "b"}, RenewalCount: 9, Renewer: "a"}
	got, err := Parse(v.Encode())
	require.NoError(t, err)
	require.Equal(t, v, got)
	for _, bad := range []string{
		``, `{}`, `{"cell":"0","epoch":0}`, `{"cell":"0","epoch":1,"members":["b","a"]}`,
		`{"cell":"0","epoch":1,"members":["a","a"]}`, `{"cell":"0","epoch":1,"members":[""]}`,
		`{"cell":"0","epoch":1,"extra":1}`, `{"cell":"0","epoch":1} {}`,
	} {
		_, err := Parse([]byte(bad))
		require.Error(t, err, bad)
	}
}

// Guards against a lease that is still valid when another member's rights under
// a new epoch begin.
func TestLeaseEndsBeforeNewRightsBeginUnderDrift(t *testing.T) {
	l := Lease{}.Confirm(4, t0, time.Second)
	require.True(t, l.Valid(4, t0.Add(1960*time.Millisecond)))
	require.False(t, l.Valid(4, t0.Add(1970*time.Millisecond)))
	require.False(t, l.Valid(5, t0))
	require.Equal(t, l, l.Confirm(3, t0.Add(time.Hour), 0), "an older epoch must not extend the lease")
	require.Equal(t, l, l.Confirm(4, t0, 2*time.Second), "an older confirmation must not shorten the lease")
	// A clock may run up to 1% slow at the host that holds the lease, and 1% fast at the other.
	slow := float64(Lease{}.Confirm(1, t0, 0).Until().Sub(t0)) / 0.99
	fast := float64(RightsBegin(t0).Sub(t0)) / 1.01
	require.GreaterOrEqual(t, fast-slow, 0.99*float64(LeaseMargin))
}

// Guards against a wrong result of the freshness rule at its boundaries. A false FleetOutage
// serves requests with an outdated configuration, so half of the members, members whose last
// response is old, and hosts outside the view must not suffice for it.
func TestFreshness(t *testing.T) {
	v := View{Members: []string{"a", "b", "c", "d"}}
	at := func(host string, ago, age time.Duration) PeerState {
		return PeerState{Host: host, RequestSentAt: t0.Add(-ago), ConfigAge: Age{age >= 0, age}}
	}
	stale, s := Age{true, 3 * time.Second}, time.Second
	for i, c := range []struct {
		own   Age
		peers []PeerState
		want  FreshnessState
	}{
		{Age{true, 3*s - 1}, nil, Fresh},
		{stale, nil, Unknown},
		{stale, []PeerState{at("b", s, 9*s), at("c", s, -1)}, FleetOutage},
		{Age{}, []PeerState{at("b", s, 9*s), at("c", s, -1)}, FleetOutage},
		{stale, []PeerState{at("b", s, 9*s)}, Unknown},
		{stale, []PeerState{at("b", s, 9*s), at("c", 3*s, 9*s)}, Unknown},
		{stale, []PeerState{at("b", s, 9*s), at("c", s, 9*s), at("d", s, s)}, Unknown},
		{stale, []PeerState{at("b", s, 9*s), at("x", s, 9*s), at("a", s, 9*s)}, Unknown},
	} {
		assert.Equal(t, c.want, Freshness(t0, "a", c.own, c.peers, v), "case %d", i)
	}
	require.Equal(t, Unknown, Freshness(t0, "z", stale, []PeerState{at("b", s, 9*s), at("c", s, 9*s), at("d", s, 9*s)}, v))
}

// Guards against a view that keeps hosts which are shutting down or stopped responding, lacks new
// ones, or loses healthy ones because the renewer is partitioned or its host list is outdated.
func TestNextAddsAndRemovesMembers(t *testing.T) {
	cur := View{Cell: "0", Epoch: 2, Members: []string{"a", "b", "c", "d", "e"}, RenewalCount: 7, Renewer: "a"}
	alive := func(h string) Candidate { return Candidate{Host: h, Listed: true, LastContact: t0.Add(-time.Second)} }
	unresponsive := func(h string) Candidate {
		return Candidate{Host: h, Listed: true, LastContact: t0.Add(-MemberTimeout), FailedCalls: 2}
	}
	shuttingDown := alive("e")
	shuttingDown.ShuttingDown = true
	in := NextInput{Now: t0, Self: "a", Cell: "0", HostListFresh: true, MinEpoch: 2,
		Candidates: []Candidate{alive("b"), alive("c"), alive("d"), alive("e")}}
	next := Next(cur, in)
	require.Equal(t, View{Cell: "0", Epoch: 2, Members: cur.Members, RenewalCount: 8, Renewer: "a"}, next, "the epoch must not change without a membership change")

	in.Candidates = []Candidate{alive("b"), alive("c"), unresponsive("d"), shuttingDown, alive("f"), {Host: "g", Listed: true}, unresponsive("h")}
	next = Next(cur, in)
	require.Equal(t, []string{"a", "b", "c", "f"}, next.Members)
	require.EqualValues(t, 3, next.Epoch)

	// A renewer without contact to any member is probably partitioned itself
	// and must not remove the others.
	in.Candidates = []Candidate{unresponsive("b"), unresponsive("c"), unresponsive("d"), unresponsive("e")}
	require.Equal(t, cur.Members, Next(cur, in).Members)
	// Hosts that are missing from the host list are removed nevertheless,
	// unless the list is outdated.
	in.Candidates = nil
	require.Equal(t, []string{"a"}, Next(cur, in).Members)
	in.HostListFresh = false
	require.Equal(t, cur.Members, Next(cur, in).Members)
	// A view that is created again continues after the highest epoch observed.
	require.EqualValues(t, 10, Next(View{}, NextInput{Now: t0, Self: "a", Cell: "0", MinEpoch: 9}).Epoch)
	in.Candidates, in.SelfShuttingDown = []Candidate{unresponsive("b"), alive("c"), alive("d")}, true
	next = Next(cur, in)
	require.Equal(t, "c", next.Renewer)
	require.False(t, next.Has("a"))
}

// Guards against an uneven distribution and against keys that change owner
// although their owner remains a member.
func TestRendezvousSpreadAndStability(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	count := map[string]int{}
	for i := range 8000 {
		key := fmt.Sprint("backend-", i)
		owner := Owner(key, members)
		count[owner]++
		if owner != "h" {
			require.Equal(t, owner, Owner(key, members[:7]))
		}
	}
	for _, m := range members {
		require.InDelta(t, 1000, count[m], 150, m)
	}
	testSlotOwners(t, members)
	moved := 0
	for i := range 1000 {
		if id := fmt.Sprint("host-", i); CellOf(id, 10) != CellOf(id, 11) {
			moved++
		}
	}
	require.InDelta(t, 91, moved, 40, "an 11th cell takes 1 in 11 of the hosts")
	require.Len(t, Ranked("k", members, 3), 3)
	require.Equal(t, Owner("k", members), Ranked("k", members, 3)[0])
}

// testSlotOwners checks that slot counts of members differ by at most one, that
// an owner does not depend on the number of slots, and that most slots of
// remaining members keep their owner: a slot that changes its owner is unusable
// until the backend server is idle.
func testSlotOwners(t *testing.T, members []string) {
	const slots = 12
	kept, moved := 0, 0
	for i := range 500 {
		id := fmt.Sprint("backend-", i)
		owners := SlotOwners(id, slots, members)
		require.Equal(t, owners[:5], SlotOwners(id, 5, members))
		count := map[string]int{}
		for _, o := range owners {
			count[o]++
		}
		for _, m := range members {
			require.Contains(t, []int{1, 2}, count[m], m)
		}
		for j, o := range SlotOwners(id, slots, members[:7]) {
			if owners[j] == o {
				kept++
			} else if owners[j] != "h" {
				moved++
			}
		}
	}
	require.Greater(t, kept, 2*moved)
	require.Empty(t, SlotOwners("backend", 3, nil))
}
