package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start         = time.Unix(1_800_000_000, 0)
	requestHashA  = strings.Repeat("a", 64)
	requestHashB  = strings.Repeat("b", 64)
	firstAttempt  = strings.Repeat("1", 32)
	secondAttempt = strings.Repeat("2", 32)
)

func op(kind OpKind, attempt string) Op {
	return Op{Kind: kind, KeyHash: KeyHash("team", "key"), RequestHash: requestHashA, Attempt: attempt, Host: "h1",
		DeadlineMS: start.Add(30 * time.Second).UnixMilli()}
}

func applyOp(t *testing.T, s *Shard, now time.Time, o Op) (*Shard, Result) {
	t.Helper()
	next, results := Apply(s, []Op{o}, now)
	require.Len(t, results, 1)
	return next, results[0]
}

// Guards against two pairs of team and key sharing one claim record.
func TestKeyHashFraming(t *testing.T) {
	require.NotEqual(t, KeyHash("ab", "c"), KeyHash("a", "bc"))
	require.NotEqual(t, KeyHash("", "abc"), KeyHash("abc", ""))
	seen := map[uint32]bool{}
	for i := range 2000 {
		seen[ShardOf("team", fmt.Sprint(i))] = true
	}
	require.Len(t, seen, Shards)
}

// Guards against a wrong result code for a claim in any record state, in
// particular against a claimed record being granted to a second attempt at any
// time.
func TestClaimAgainstEveryState(t *testing.T) {
	claimed, r := applyOp(t, Empty(), start, op(OpClaim, firstAttempt))
	require.Equal(t, Granted, r.Code)
	done, _ := applyOp(t, claimed, start, op(OpFinish, firstAttempt))
	released, _ := applyOp(t, claimed, start, op(OpRelease, firstAttempt))
	unknown, _ := applyOp(t, claimed, start.Add(2*time.Hour), Op{Kind: OpExpire})
	for _, c := range []struct {
		shard   *Shard
		attempt string
		want    Code
	}{
		{claimed, firstAttempt, Granted}, {claimed, secondAttempt, Held},
		{done, firstAttempt, AlreadyDone}, {done, secondAttempt, AlreadyDone},
		{released, firstAttempt, AttemptReleased}, {released, secondAttempt, Granted},
		{unknown, firstAttempt, Undetermined}, {unknown, secondAttempt, Undetermined},
	} {
		for _, later := range []time.Duration{0, time.Minute, 1000 * time.Hour} {
			_, r := applyOp(t, c.shard, start.Add(later), op(OpClaim, c.attempt))
			require.Equal(t, c.want, r.Code)
			other := op(OpClaim, c.attempt)
			other.RequestHash = requestHashB
			same, r := applyOp(t, c.shard, start.Add(later), other)
			require.Equal(t, KeyReused, r.Code)
			require.Same(t, c.shard, same)
		}
	}
}

// Guards against a finish or release of another attempt changing a record, and
// against granting a claim that arrives after its own release.
func TestOtherAttemptsAndLateOperations(t *testing.T) {
	claimed, _ := applyOp(t, Empty(), start, op(OpClaim, firstAttempt))
	for _, kind := range []OpKind{OpFinish, OpRelease} {
		same, r := applyOp(t, claimed, start, op(kind, secondAttempt))
		require.Equal(t, Superseded, r.Code)
		require.Same(t, claimed, same)
	}
	early, r := applyOp(t, Empty(), start, op(OpRelease, firstAttempt))
	require.Equal(t, OK, r.Code)
	_, r = applyOp(t, early, start, op(OpClaim, firstAttempt))
	require.Equal(t, AttemptReleased, r.Code)
	done, _ := applyOp(t, claimed, start, op(OpFinish, firstAttempt))
	_, r = applyOp(t, done, start, op(OpRelease, firstAttempt))
	require.Equal(t, Superseded, r.Code)
}

// Guards against records that are removed too early or never.
func TestExpire(t *testing.T) {
	s, _ := applyOp(t, Empty(), start, op(OpClaim, firstAttempt))
	at := start.Add(30*time.Second + ExpiryGrace)
	same, _ := applyOp(t, s, at, Op{Kind: OpExpire})
	require.Same(t, s, same)
	at = at.Add(time.Second)
	s, _ = applyOp(t, s, at, Op{Kind: OpExpire})
	require.Equal(t, Unknown, s.Records[KeyHash("team", "key")].State)
	same, _ = applyOp(t, s, at.Add(Retention), Op{Kind: OpExpire})
	require.Same(t, s, same)
	s, _ = applyOp(t, s, at.Add(Retention+time.Second), Op{Kind: OpExpire})
	require.Empty(t, s.Records)
	require.Equal(t, Empty().bytes, s.bytes)
}

// Guards against a full shard that cannot be encoded, that prevents a running
// order from recording its completion, or that decodes differently.
func TestFullShard(t *testing.T) {
	s, body := Empty(), make([]byte, MaxResponseBytes)
	var granted []Op
	for i := 0; ; i++ {
		o := op(OpClaim, firstAttempt)
		o.KeyHash = KeyHash("team", fmt.Sprint(i))
		o.Host = strings.Repeat("\x01", MaxHostBytes)
		next, r := applyOp(t, s, start, o)
		if r.Code == ShardFull {
			require.Same(t, s, next)
			break
		}
		s, granted = next, append(granted, o)
	}
	kept := 0
	for _, o := range granted {
		o.Kind, o.Response = OpFinish, &Response{Status: 200, Body: body}
		var r Result
		s, r = applyOp(t, s, start, o)
		require.Equal(t, OK, r.Code)
		if s.Records[o.KeyHash].Response != nil {
			kept++
		}
	}
	require.Positive(t, kept)
	require.Less(t, kept, len(granted))
	value, err := s.Encode()
	require.NoError(t, err)
	back, err := Decode(value)
	require.NoError(t, err)
	require.Equal(t, s, back)
}

// Guards against a response that makes the stored document undecodable.
func TestUnstorableResponse(t *testing.T) {
	for _, response := range []*Response{
		{Body: make([]byte, MaxResponseBytes+1)},
		{ContentType: strings.Repeat("\xff", MaxContentTypeBytes)},
	} {
		s, _ := applyOp(t, Empty(), start, op(OpClaim, firstAttempt))
		fin := op(OpFinish, firstAttempt)
		fin.Response = response
		s, r := applyOp(t, s, start, fin)
		require.Equal(t, OK, r.Code)
		value, err := s.Encode()
		require.NoError(t, err)
		_, err = Decode(value)
		require.NoError(t, err)
	}
}

// Guards against a document of another version or a damaged one being decoded
// with fewer claims.
func TestDecodeRejectsMalformedDocuments(t *testing.T) {
	for _, doc := range []string{``, `{}`, `null`, `{"version":2,"records":{}}`, `{"version":1}`,
		`{"version":1,"records":{}} {}`, `{"version":1,"records":{},"extra":1}`,
		`{"version":1,"records":{"zz":{}}}`, `{"version":1,"records":{"` + requestHashA + `":{"state":"claimed"}}}`} {
		_, err := Decode([]byte(doc))
		require.Error(t, err, doc)
	}
}

// Guards against a decoder that panics or accepts a document whose re-encoded
// form differs.
func FuzzDecode(f *testing.F) {
	s, _ := Apply(Empty(), []Op{op(OpClaim, firstAttempt)}, start)
	value, _ := s.Encode()
	f.Add(value)
	s, _ = Apply(s, []Op{{Kind: OpFinish, KeyHash: KeyHash("team", "key"), RequestHash: requestHashA, Attempt: firstAttempt, Host: "h", Response: &Response{Status: 200, Body: []byte("ok")}}}, start)
	value, _ = s.Encode()
	f.Add(value)
	f.Add([]byte(`{"version":1,"records":{}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := Decode(value)
		if err != nil {
			return
		}
		again, err := s.Encode()
		if err != nil {
			return // a document near the limit may grow by escapes
		}
		back, err := Decode(again)
		require.NoError(t, err)
		require.Equal(t, len(s.Records), len(back.Records))
		Apply(s, []Op{op(OpClaim, firstAttempt), {Kind: OpExpire}}, start)
	})
}
