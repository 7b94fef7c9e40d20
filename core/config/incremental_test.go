package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against accepting a change although Validate rejects the resulting
// document, since Apply checks only what a change can invalidate.
func TestAcceptedChangesLeaveAValidDocument(t *testing.T) {
	hash := func(i int) string { return strings.Repeat(fmt.Sprintf("%02x", i), 32) }
	rapid.Check(t, func(t *rapid.T) {
		doc := Empty()
		accepted := 0
		for step := range 30 {
			change := Change{ID: fmt.Sprint("c", step)}
			for range rapid.IntRange(1, 3).Draw(t, "ops") {
				op := Op{Name: rapid.SampledFrom([]string{"a", "b", "c", "Bad"}).Draw(t, "name"), Action: ActionPut}
				op.Kind = rapid.SampledFrom([]Kind{KindClass, KindTeam, KindService, KindDomain, KindDrain}).Draw(t, "kind")
				op.Expected, _ = doc.Item(op.Kind, op.Name)
				if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
					op.Action = ActionDelete
					change.Ops = append(change.Ops, op)
					continue
				}
				class := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class")
				n := rapid.IntRange(0, 5).Draw(t, "n")
				op.Value = []byte(map[Kind]string{
					KindClass:   fmt.Sprintf(`{"first_token_ms":%d}`, n),
					KindTeam:    fmt.Sprintf(`{"key_hashes":[%q,%q],"default_class":%q}`, hash(n), hash(n+rapid.IntRange(0, 3).Draw(t, "m")), class),
					KindService: fmt.Sprintf(`{"kind":"engine","models":["m%d"],"cold_limit":%d,"warm_limit":4,"rules":[{"class":%q}]}`, n, n, class),
					KindDomain:  `{"region":"r","state":"in"}`,
					KindDrain:   `{}`,
				}[op.Kind])
				change.Ops = append(change.Ops, op)
			}
			next, err := Apply(doc, change)
			if err != nil {
				var invalid *ValidationError
				if !errors.As(err, &invalid) {
					t.Fatalf("rejected with an error other than ValidationError: %v", err)
				}
				continue
			}
			accepted++
			if problems := Validate(next); len(problems) > 0 {
				t.Fatalf("change %+v was accepted but leaves an invalid document: %v", change, problems)
			}
			raw, err := Encode(next)
			if err != nil || sizeBound(next) < len(raw) {
				t.Fatalf("size bound %d is below the encoded size of %d bytes, or encoding failed (%v)", sizeBound(next), len(raw), err)
			}
			doc = next
		}
	})
}

// Guards against a size bound that lets a document exceed the limit, and one
// that rejects documents well below it.
func TestDocumentSizeLimit(t *testing.T) {
	doc := benchDocument(4430)
	raw, err := Encode(doc)
	require.NoError(t, err)
	require.Less(t, len(raw), MaxDocumentBytes)
	require.GreaterOrEqual(t, sizeBound(doc), len(raw))
	for i := 0; ; i++ {
		name := fmt.Sprintf("new-%05d", i)
		next, err := Apply(doc, Change{ID: name, Ops: []Op{put(KindTeam, name, 0, fmt.Sprintf(`{"key_hashes":["%064x"]}`, i))}})
		if err != nil {
			require.ErrorContains(t, err, fmt.Sprintf("limit %d", MaxDocumentBytes))
			break
		}
		doc = next
	}
	raw, err = Encode(doc)
	require.NoError(t, err)
	require.LessOrEqual(t, len(raw), MaxDocumentBytes)
	require.Greater(t, len(raw), MaxDocumentBytes-200, "the rejected team has less than 200 bytes")
}
