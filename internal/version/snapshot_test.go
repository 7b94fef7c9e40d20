package version

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/config"
)

// Guards against a key that still works after its team was removed, or does not
// work after it was added, because an older snapshot's index was kept.
func TestTeamsFollowTheDocument(t *testing.T) {
	in := benchInputs(1, 2)
	first := Build(in)
	_, ok := first.TeamByKey([]byte("team-00001"))
	require.True(t, ok)

	in.Previous = first
	second := Build(in)
	_, ok = second.TeamByKey([]byte("team-00001"))
	require.True(t, ok, "the same document")

	sum := sha256.Sum256([]byte("new key"))
	doc := config.Empty()
	doc.Revision = in.Document.Revision // Tells the documents apart by identity, not by revision.
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
	require.True(t, ok, "an older snapshot does not change")
}
