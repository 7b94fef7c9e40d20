package version

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// Guards against new requests for backend servers that are drained, terminating,
// excluded or in a failure domain that is out; a host in such a domain must still
// be found, so that generations running there can be resumed.
func TestBuildExcludesUnavailableBackends(t *testing.T) {
	doc := config.Empty()
	doc.Services["s"] = config.Service{Name: "s", Kind: config.ServiceKindPlain, ColdLimit: 1, WarmLimit: 2}
	doc.Domains["out"] = config.Domain{Name: "out", Region: "r", State: config.DomainOut}
	doc.Drains["drained"] = config.HostDrain{Name: "drained"}
	host := func(id, domain string, state platform.HostState) platform.Host {
		return platform.Host{ID: id, Role: platform.RoleBackend, Service: "s", Region: "r", Domain: domain, State: state}
	}
	snap := Build(Inputs{
		Document: doc,
		Hosts: []platform.Host{
			host("live", "in", platform.HostLive), host("drained", "in", platform.HostLive), host("in-out-domain", "out", platform.HostLive),
			host("terminating", "in", platform.HostLeaving), host("refusing", "in", platform.HostLive),
		},
		Counters: func(platform.Host) *Counters { return &Counters{} },
		Limit: func(platform.Host) (int, time.Time, bool) {
			return 2, time.Time{}, true
		},
		Excluded: func(h platform.Host) bool { return h.ID == "refusing" },
	})
	svc, ok := snap.Service("s")
	require.True(t, ok)
	require.Len(t, svc.Backends, 1)
	require.Equal(t, "live", svc.Backends[0].Host.ID)
	_, ok = snap.BackendHost("in-out-domain")
	require.True(t, ok)
}

// Guards against a limit that stays in force after the lease it depends on expired.
func TestLimitExpiresWithLease(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &Backend{Limit: 2, LimitUntil: now}
	require.Equal(t, 2, b.CurrentLimit(now))
	require.Equal(t, 0, b.CurrentLimit(now.Add(time.Millisecond)))
}

// Guards against a team index that is reused after the document changed: a key of a
// removed team would still be accepted, and a new key would be rejected.
func TestTeamIndexFollowsDocument(t *testing.T) {
	in := benchInputs(1, 2)
	first := Build(in)
	_, ok := first.TeamByKey([]byte("team-00001"))
	require.True(t, ok)

	in.Previous = first
	second := Build(in)
	_, ok = second.TeamByKey([]byte("team-00001"))
	require.True(t, ok, "document unchanged")

	sum := sha256.Sum256([]byte("new key"))
	doc := config.Empty()
	doc.Revision = in.Document.Revision // Documents are compared by identity, not by revision.
	doc.Teams["team-00000"] = config.Team{Name: "team-00000", KeyHashes: []string{hex.EncodeToString(sum[:])}}
	in.Document, in.Previous = doc, second
	third := Build(in)
	_, ok = third.TeamByKey([]byte("team-00001"))
	require.False(t, ok, "the team was removed")
	_, ok = third.TeamByKey([]byte("team-00000"))
	require.False(t, ok, "the key was replaced")
	team, ok := third.TeamByKey([]byte("new key"))
	require.True(t, ok)
	require.Equal(t, "team-00000", team.Name)
	_, ok = second.TeamByKey([]byte("team-00001"))
	require.True(t, ok, "the older snapshot is immutable")
}
