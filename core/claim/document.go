package claim

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"unicode/utf8"

	"github.com/zeebo/errs"
)

// documentVersion is the version of the encoding.
const documentVersion = 1

// maxTimeMS limits times in Unix milliseconds, so that differences do not
// overflow a time.Duration.
const maxTimeMS = math.MaxInt64 / 4_000_000

// Error is the class of errors about malformed shard documents.
var Error = errs.Class("claim shard")

type document struct {
	Version int               `json:"version"`
	Records map[string]Record `json:"records"`
}

// Encode returns the shard as JSON. A result longer than MaxShardBytes is an
// error.
func (s *Shard) Encode() ([]byte, error) {
	value, err := json.Marshal(document{Version: documentVersion, Records: s.Records})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(value) > MaxShardBytes {
		return nil, Error.New("document has %d bytes, the limit is %d", len(value), MaxShardBytes)
	}
	return value, nil
}

// Decode decodes an encoded shard. A document of another version, with unknown
// fields, trailing data or a malformed record is rejected as a whole, since a
// record that is skipped would let an order be executed again.
func Decode(value []byte) (*Shard, error) {
	if len(value) > MaxShardBytes {
		return nil, Error.New("document has %d bytes, the limit is %d", len(value), MaxShardBytes)
	}
	var d document
	if err := DecodeStrict(value, &d); err != nil {
		return nil, err
	}
	if d.Version != documentVersion {
		return nil, Error.New("unsupported document version %d, want %d", d.Version, documentVersion)
	}
	if d.Records == nil {
		return nil, Error.New("document has no records field")
	}
	s := &Shard{Records: d.Records, bytes: Empty().bytes}
	for key, r := range d.Records {
		if !isHash(key) || !r.valid() {
			return nil, Error.New("record of key hash %.64q is malformed", key)
		}
		s.bytes += sizeOf(&r)
	}
	return s, nil
}

// DecodeStrict decodes exactly one JSON value; unknown fields and trailing data
// are errors.
func DecodeStrict(value []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(value))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return Error.Wrap(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return Error.New("data after the JSON value")
	}
	return nil
}

// Valid reports whether the operation is well formed.
func (o *Op) Valid() bool {
	switch o.Kind {
	case OpExpire:
		return true
	case OpClaim, OpFinish, OpRelease:
		return isHash(o.KeyHash) && isHash(o.RequestHash) && isAttempt(o.Attempt) &&
			isHost(o.Host) && validTime(o.DeadlineMS)
	default:
		return false
	}
}

func (r *Record) valid() bool {
	switch r.State {
	case Claimed, Released, Done, Unknown:
	default:
		return false
	}
	if r.Response != nil && (r.State != Done || !storable(r.Response)) {
		return false
	}
	return isHash(r.RequestHash) && isAttempt(r.Attempt) && isHost(r.Host) &&
		validTime(r.DeadlineMS) && validTime(r.UpdatedMS)
}

func validTime(ms int64) bool { return ms >= 0 && ms <= maxTimeMS }

func isHost(s string) bool { return s != "" && len(s) <= MaxHostBytes && utf8.ValidString(s) }

func isHash(s string) bool { return isHex(s, 64) }

func isAttempt(s string) bool { return isHex(s, 32) }

func isHex(s string, n int) bool {
	if len(s) != n {
		return false
	}
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
