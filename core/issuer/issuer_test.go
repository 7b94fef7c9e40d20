package issuer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a takeover or a command while the old holder's lease may be
// valid.
func TestTakeover(t *testing.T) {
	t0 := time.Unix(1_800_000_000, 0)
	held := Empty().Acquire("a", 0).Renew(0)
	w := LeaseWatch{}.Observe(held, t0)
	expired := t0.Add(LeaseDuration + LeaseMargin)
	require.False(t, w.MayTakeOver(expired.Add(-1)))
	require.True(t, w.MayTakeOver(expired))
	require.Equal(t, expired, w.FirstSendAt(expired))
	submitted, err := held.Submit(Request{ID: "c", Kind: KindLoad, Name: "m", Backends: []string{"b"}})
	require.NoError(t, err)
	require.True(t, w.Observe(submitted, expired).MayTakeOver(expired), "a new command is not a lease renewal")
	require.False(t, w.Observe(held.Renew(0), expired).MayTakeOver(expired.Add(time.Second)))
	released := LeaseWatch{}.Observe(held.Release(), t0)
	require.True(t, released.MayTakeOver(t0))
	require.Equal(t, t0, released.FirstSendAt(t0))
	require.Equal(t, expired, LeaseWatch{}.Observe(Empty(), t0).FirstSendAt(t0))
	require.EqualValues(t, 8, held.Acquire("b", 7).FencingToken)
	require.EqualValues(t, 9, held.Renew(8).RenewalCount, "an attempted renewal count is not reused")
}

// Guards against a second load at a backend server, loads beyond the weight
// store's rate limit and commands that overtake an earlier one.
func TestNext(t *testing.T) {
	d := Empty()
	for _, r := range []Request{{"c1", KindLoad, "m1", []string{"x", "y"}}, {"c2", KindUnload, "m0", []string{"y", "z"}}} {
		var err error
		d, err = d.Submit(r)
		require.NoError(t, err)
	}
	allReady := func(string) bool { return true }
	require.Len(t, d.Next(NextInput{Ready: allReady, LoadBudget: 9}), 3)
	limited := d.Next(NextInput{Ready: allReady, LoadBudget: 1})
	require.Equal(t, []string{"x", "z"}, []string{limited[0].Backend, limited[1].Backend})
	d = d.Record([]Result{{ID: "c1", Backend: "y", Status: Sent}})
	require.Equal(t, "c1", d.Next(NextInput{Ready: func(b string) bool { return b == "y" }, LoadBudget: 1})[0].ID)
}

// Guards against decoding or accepting documents and commands only in part.
func TestDocument(t *testing.T) {
	d, err := Empty().Submit(Request{ID: "c", Kind: KindRole, Name: "prefill", Backends: []string{"b"}})
	require.NoError(t, err)
	raw, err := d.Encode()
	require.NoError(t, err)
	read, err := Decode(raw)
	require.NoError(t, err)
	require.Equal(t, d, read)
	for _, bad := range []string{``, `{}`, string(raw) + "x", `{"version":1,"holder":"","fencing_number":0,"beat":0,"commands":[],"x":1}`,
		`{"version":1,"holder":"a","fencing_number":0,"beat":0,"commands":[]}`} {
		_, err := Decode([]byte(bad))
		require.Error(t, err, bad)
	}
	for _, r := range []Request{{"", KindLoad, "m", []string{"b"}}, {"c", "fly", "m", []string{"b"}}, {"c", KindLoad, "m\n", []string{"b"}}, {"c", KindLoad, "m", nil}} {
		_, err := Empty().Submit(r)
		require.Error(t, err, "%+v", r)
	}
	_, err = d.AlreadyAccepted(Request{ID: "c", Kind: KindLoad, Name: "prefill"})
	require.ErrorIs(t, err, ErrIDReused)
	recorded, err := d.AlreadyAccepted(Request{ID: "c", Kind: KindRole, Name: "prefill"})
	require.NoError(t, err)
	require.True(t, recorded)
}
