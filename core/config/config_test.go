package config

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func put(kind Kind, name string, expected Revision, value string) Op {
	return Op{Kind: kind, Name: name, Action: ActionPut, Expected: expected, Value: json.RawMessage(value)}
}

func mustApply(t *testing.T, doc *Document, id string, ops ...Op) *Document {
	t.Helper()
	next, err := Apply(doc, Change{ID: id, Ops: ops})
	require.NoError(t, err)
	return next
}

// Guards against Apply modifying the document it receives, which others may be reading: a change
// must produce a new document.
func TestApplyLeavesOldDocument(t *testing.T) {
	one := mustApply(t, Empty(), "a", put(KindClass, "fast", 0, `{"first_token_ms":100}`))
	before, err := Encode(one)
	require.NoError(t, err)
	two := mustApply(t, one, "b", put(KindClass, "fast", 1, `{"first_token_ms":200}`),
		put(KindDomain, "west-a", 0, `{"region":"lakes-west","state":"out"}`))
	after, err := Encode(one)
	require.NoError(t, err)
	require.Equal(t, string(before), string(after))
	require.Equal(t, Revision(2), two.Classes["fast"].Revision)
	require.Equal(t, 200, two.Classes["fast"].FirstTokenMS)
}

// Guards against a conflict that omits one of the two versions, or that applies
// the rest of the change.
func TestConflictShowsBothItems(t *testing.T) {
	doc := mustApply(t, Empty(), "a", put(KindClass, "fast", 0, `{"first_token_ms":100}`))
	_, err := Apply(doc, Change{ID: "b", Ops: []Op{put(KindClass, "fast", 0, `{"first_token_ms":50}`),
		put(KindClass, "new", 0, `{"first_token_ms":50}`)}})
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Len(t, conflict.Conflicts, 1)
	require.Equal(t, Revision(1), conflict.Conflicts[0].StoredRevision)
	require.Contains(t, string(conflict.Conflicts[0].Stored), `"first_token_ms":100`)
	require.Contains(t, string(conflict.Conflicts[0].Attempted.Value), `"first_token_ms":50`)
}

// Guards against validation that stops at the first problem or misses a rule.
func TestValidationListsAllProblems(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	_, err := Apply(Empty(), Change{ID: "a", Ops: []Op{
		put(KindClass, "Bad Name", 0, `{"first_token_ms":0,"priority":10,"delivery":"late","token_gap_ms":-1}`),
		put(KindTeam, "one", 0, `{"key_hashes":["`+hash+`","xyz"],"default_class":"missing"}`),
		put(KindTeam, "two", 0, `{"key_hashes":["`+hash+`"]}`),
		put(KindService, "s1", 0, `{"kind":"engine","models":["m"],"cold_limit":0,"warm_limit":4}`),
		put(KindService, "s2", 0, `{"kind":"engine","models":["m"],"cold_limit":5,"warm_limit":4,"rules":[{"class":"gone"}]}`),
		put(KindDomain, "d", 0, `{"region":"r","state":"half"}`),
		put(KindDrain, "h", 0, `{"colour":"red"}`),
		{Kind: KindClass, Name: "none", Action: ActionDelete},
		{Kind: "planet", Name: "none", Action: ActionDelete},
	}})
	var invalid *ValidationError
	require.ErrorAs(t, err, &invalid)
	all := strings.Join(invalid.Problems, "\n")
	for _, want := range []string{"name must match", "first_token_ms is 0", "priority is 10", `delivery is "late"`,
		"token_gap_ms is -1", "not a lower-case hex SHA-256", `class "missing" does not exist`, "is also in team",
		"cold_limit is 0", "cold_limit 5 exceeds warm_limit 4", `class "gone" does not exist`, "is also in service",
		`state is "half"`, `unknown field "colour"`, "does not exist", `unknown kind "planet"`} {
		require.Contains(t, all, want)
	}
}

// Guards against the deletion of a class that is the default of a team.
func TestDeleteReferencedClass(t *testing.T) {
	doc := mustApply(t, Empty(), "a", put(KindClass, "fast", 0, `{"first_token_ms":100}`),
		put(KindTeam, "one", 0, `{"key_hashes":[],"default_class":"fast"}`))
	_, err := Apply(doc, Change{ID: "b", Ops: []Op{{Kind: KindClass, Name: "fast", Action: ActionDelete, Expected: 1}}})
	require.ErrorContains(t, err, `class "fast" does not exist`)
}

// Guards against accepting a head whose tail and checkpoint do not cover every revision exactly
// once, one with an unknown field and one with trailing data.
func TestHeadCoversEveryRevision(t *testing.T) {
	for raw, ok := range map[string]bool{
		`{"revision":0,"checkpoint":0,"tail":[]}`:                        true,
		`{"revision":9,"checkpoint":8,"tail":[{"id":"a","ops":[]}]}`:     true,
		`{"revision":9,"checkpoint":7,"tail":[{"id":"a","ops":[]}]}`:     false,
		`{"revision":9,"checkpoint":10,"tail":[]}`:                       false,
		`{"revision":0,"checkpoint":0,"tail":[{"id":"a","ops":[]}]}`:     false,
		`{"revision":0,"checkpoint":0,"tail":[],"extra":1}`:              false,
		`{"revision":0,"checkpoint":0,"tail":[]} {"revision":1}`:         false,
		`{"revision":18446744073709551615,"checkpoint":0,"tail":[]}`:     false,
		`{"revision":3,"checkpoint":18446744073709551615,"tail":[]}`:     false,
		`{"revision":1,"checkpoint":0,"tail":[{"id":"a","ops":[]},{}]} `: false,
	} {
		_, err := DecodeHead([]byte(raw))
		require.Equal(t, ok, err == nil, "%s: %v", raw, err)
	}
}

// Guards against decoders that panic or accept values that do not survive
// encoding and decoding.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":1,"checkpoint":0,"tail":[{"id":"a","at":"2026-01-02T03:04:05Z","ops":[{"kind":"class","name":"x","action":"put","expected":0,"value":{"first_token_ms":1}}]}]}`))
	f.Add([]byte(`{"revision":1,"classes":{"x":{"name":"x","first_token_ms":1,"revision":1}}}`))
	f.Add([]byte(`{"document":{"revision":0},"accepted":[{"id":"a","revision":1}]}`))
	f.Add([]byte(`{"id":"a","ops":[{"kind":"drain","name":"h","action":"put","value":{}}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if h, err := DecodeHead(raw); err == nil {
			requireRoundTrip(t, h, DecodeHead)
		}
		if d, err := DecodeDocument(raw); err == nil {
			requireRoundTrip(t, d, DecodeDocument)
		}
		if c, err := DecodeCheckpoint(raw); err == nil {
			requireRoundTrip(t, c, DecodeCheckpoint)
		}
		if c, err := DecodeChange(raw); err == nil {
			if next, err := Apply(Empty(), c); err == nil {
				requireRoundTrip(t, next, DecodeDocument)
			}
		}
	})
}

func requireRoundTrip[T Head | Checkpoint | Document](t *testing.T, v *T, decode func([]byte) (*T, error)) {
	first, err := Encode(v)
	require.NoError(t, err)
	back, err := decode(first)
	require.NoError(t, err)
	second, err := Encode(back)
	require.NoError(t, err)
	require.Equal(t, string(first), string(second))
}
