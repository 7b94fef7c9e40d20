// Package claim implements the state machine of an order claim shard. An order
// is claimed in a shard document before it is sent, and the document is
// replaced only by conditional update, so that an order is sent at most once.
//
// The package does no I/O and uses no clock or random source; callers pass the
// time.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"time"
	"unicode/utf8"
)

const (
	// Shards is the number of claim shards of a cell.
	Shards = 64
	// Retention is how long the record of a done or unknown order is kept after
	// its last change.
	Retention = 24 * time.Hour
	// ReleasedRetention is how long a released record is kept. It only has to
	// outlast a delayed write of the same attempt.
	ReleasedRetention = time.Hour
	// ExpiryGrace is the time between a claim's deadline and its change to
	// unknown; it covers clock differences between hosts.
	ExpiryGrace = time.Minute
	// MaxShardBytes is the size limit of an encoded shard.
	MaxShardBytes = 512 << 10
	// MaxResponseBytes is the size limit of a stored response body.
	MaxResponseBytes = 4 << 10
	// MaxHostBytes and MaxContentTypeBytes limit the free-text fields of a
	// record.
	MaxHostBytes        = 128
	MaxContentTypeBytes = 256

	// claimLimitBytes is the shard size above which new claims are rejected, so
	// that running orders can still record their responses in a full shard.
	claimLimitBytes = MaxShardBytes - 64<<10
	// recordBytes is an upper bound of the encoded size of a record without its
	// host and response: two hashes and an attempt id of 160 characters in
	// total, field names, three numbers.
	recordBytes = 400
)

// State is the state of a claim record.
type State string

const (
	// Claimed means that the host of the attempt may send the order until the
	// deadline.
	Claimed State = "claimed"
	// Released means that the attempt did not send the order.
	Released State = "released"
	// Done means that the order was executed.
	Done State = "done"
	// Unknown means that the deadline passed without a recorded outcome: the
	// order may have been executed.
	Unknown State = "unknown"
)

// Response is the stored HTTP response to an order.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Record is the claim record of one order. Times are Unix milliseconds.
type Record struct {
	RequestHash string `json:"request"`
	// Attempt identifies the claim attempt, so that its writer recognizes the
	// record after a write whose response was lost.
	Attempt    string `json:"attempt"`
	State      State  `json:"state"`
	Host       string `json:"host"`
	DeadlineMS int64  `json:"deadline_ms"`
	UpdatedMS  int64  `json:"updated_ms"`
	// Response is nil when the order is not done or its response was not
	// stored.
	Response *Response `json:"answer,omitempty"`
}

// Shard is an immutable shard document; Apply returns a modified copy.
type Shard struct {
	// Records is indexed by key hash.
	Records map[string]Record
	// bytes is an upper bound of the encoded size.
	bytes int
}

// Empty returns a shard without records.
func Empty() *Shard { return &Shard{Records: map[string]Record{}, bytes: 64} }

// KeyHash returns the hex SHA-256 of team and key. The input includes the
// length of the team, so that different pairs have different inputs.
func KeyHash(team, key string) string {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(team)))
	h.Write(n[:])
	h.Write([]byte(team))
	h.Write([]byte(key))
	return hex.EncodeToString(h.Sum(nil))
}

// ShardFor returns the shard of a key hash; ok is false for a malformed hash.
func ShardFor(keyHash string) (shard uint32, ok bool) {
	if !isHash(keyHash) {
		return 0, false
	}
	b, _ := hex.DecodeString(keyHash[:8])
	return binary.BigEndian.Uint32(b) % Shards, true
}

// ShardOf returns the shard of the order that team identifies by key.
func ShardOf(team, key string) uint32 {
	shard, _ := ShardFor(KeyHash(team, key))
	return shard
}

// OpKind is the kind of an operation.
type OpKind string

const (
	// OpClaim requests permission to send the order.
	OpClaim OpKind = "claim"
	// OpFinish records that the order was executed, with its response.
	OpFinish OpKind = "finish"
	// OpRelease records that the attempt did not send the order.
	OpRelease OpKind = "release"
	// OpExpire changes overdue claims to unknown and removes records after
	// their retention; it applies to the whole shard.
	OpExpire OpKind = "expire"
)

// Op is an operation on a shard. Operations are idempotent per attempt.
type Op struct {
	Kind        OpKind    `json:"kind"`
	KeyHash     string    `json:"key,omitempty"`
	RequestHash string    `json:"request,omitempty"`
	Attempt     string    `json:"attempt,omitempty"`
	Host        string    `json:"host,omitempty"`
	DeadlineMS  int64     `json:"deadline_ms,omitempty"`
	Response    *Response `json:"answer,omitempty"`
}

// Code is the result code of an operation.
type Code string

const (
	// Granted permits the attempt to send the order until its deadline.
	Granted Code = "granted"
	// Held means that another attempt holds the claim.
	Held Code = "held"
	// AlreadyDone means that the order was executed before.
	AlreadyDone Code = "done"
	// Undetermined means that the order may have been executed.
	Undetermined Code = "unknown"
	// KeyReused means that the idempotency key was used before with a different
	// request.
	KeyReused Code = "misuse"
	// ShardFull means that another claim would exceed the size limit of the
	// shard.
	ShardFull Code = "full"
	// AttemptReleased means that this attempt was released before; it cannot be
	// granted again.
	AttemptReleased Code = "given_up"
	// OK means that a finish, release or expire is recorded.
	OK Code = "ok"
	// Superseded means that the record is absent, belongs to another attempt or
	// is in a state that the operation cannot change; nothing was changed.
	Superseded Code = "superseded"
	// Invalid means that the operation is malformed.
	Invalid Code = "invalid"
)

// Result is the result of an operation; Record is the claim record that a claim
// found or wrote, if any.
type Result struct {
	Code   Code    `json:"code"`
	Record *Record `json:"record,omitempty"`
}

// Apply applies ops in order at time now and returns the new shard with one
// result per operation. The input shard is not modified; it is returned itself
// when no operation changes it.
func Apply(s *Shard, ops []Op, now time.Time) (*Shard, []Result) {
	e := editor{shard: s, nowMS: now.UnixMilli()}
	results := make([]Result, len(ops))
	for i := range ops {
		results[i] = e.apply(&ops[i])
	}
	return e.shard, results
}

// editor applies operations to a shard and copies it on the first change.
type editor struct {
	shard  *Shard
	copied bool
	nowMS  int64
}

func (e *editor) copyOnWrite() {
	if !e.copied {
		e.shard = &Shard{Records: maps.Clone(e.shard.Records), bytes: e.shard.bytes}
		e.copied = true
	}
}

func (e *editor) put(key string, r Record) {
	e.copyOnWrite()
	if old, ok := e.shard.Records[key]; ok {
		e.shard.bytes -= sizeOf(&old)
	}
	r.UpdatedMS = e.nowMS
	e.shard.Records[key] = r
	e.shard.bytes += sizeOf(&r)
}

func (e *editor) remove(key string, r *Record) {
	e.copyOnWrite()
	e.shard.bytes -= sizeOf(r)
	delete(e.shard.Records, key)
}

func (e *editor) apply(op *Op) Result {
	if !op.Valid() {
		return Result{Code: Invalid}
	}
	if op.Kind == OpExpire {
		e.expire()
		return Result{Code: OK}
	}
	r, found := e.shard.Records[op.KeyHash]
	switch op.Kind {
	case OpClaim:
		return e.claim(op, r, found)
	case OpFinish:
		return e.finish(op, r, found)
	default:
		return e.release(op, r, found)
	}
}

func (e *editor) claim(op *Op, r Record, found bool) Result {
	if found {
		if code := rejectClaim(op, &r); code != "" {
			return Result{Code: code, Record: &r}
		}
		if r.Attempt == op.Attempt {
			return Result{Code: Granted, Record: &r}
		}
	}
	next := Record{RequestHash: op.RequestHash, Attempt: op.Attempt, State: Claimed, Host: op.Host, DeadlineMS: op.DeadlineMS}
	grown := e.shard.bytes + sizeOf(&next)
	if found {
		grown -= sizeOf(&r)
	}
	if grown > claimLimitBytes {
		return Result{Code: ShardFull}
	}
	e.put(op.KeyHash, next)
	next.UpdatedMS = e.nowMS
	return Result{Code: Granted, Record: &next}
}

// rejectClaim returns why the record r does not permit the claim, or "" if it
// does. It ignores time: a claimed record is never granted to a second attempt.
func rejectClaim(op *Op, r *Record) Code {
	if r.RequestHash != op.RequestHash {
		return KeyReused
	}
	switch r.State {
	case Released:
		if r.Attempt == op.Attempt {
			return AttemptReleased
		}
		return ""
	case Claimed:
		if r.Attempt == op.Attempt {
			return ""
		}
		return Held
	case Done:
		return AlreadyDone
	default:
		return Undetermined
	}
}

func (e *editor) finish(op *Op, r Record, found bool) Result {
	if !found || r.Attempt != op.Attempt || r.State == Released {
		return Result{Code: Superseded}
	}
	if r.State == Done {
		return Result{Code: OK}
	}
	next := r
	next.State, next.Response = Done, op.Response
	if !storable(op.Response) || e.shard.bytes-sizeOf(&r)+sizeOf(&next) > MaxShardBytes {
		next.Response = nil
	}
	e.put(op.KeyHash, next)
	return Result{Code: OK}
}

// release also records a release whose claim has not arrived, so that a delayed
// write of the claim cannot leave a claimed record behind.
func (e *editor) release(op *Op, r Record, found bool) Result {
	if found && r.Attempt != op.Attempt {
		return Result{Code: Superseded}
	}
	if found && r.State == Released {
		return Result{Code: OK}
	}
	if found && r.State == Done {
		return Result{Code: Superseded}
	}
	next := Record{RequestHash: op.RequestHash, Attempt: op.Attempt, State: Released, Host: op.Host, DeadlineMS: op.DeadlineMS}
	if !found && e.shard.bytes+sizeOf(&next) > claimLimitBytes {
		// A full shard also rejects the delayed claim.
		return Result{Code: Superseded}
	}
	e.put(op.KeyHash, next)
	return Result{Code: OK}
}

func (e *editor) expire() {
	before := e.shard.Records
	for key, r := range before {
		age := time.Duration(e.nowMS-r.UpdatedMS) * time.Millisecond
		switch {
		case r.State == Claimed:
			if e.nowMS > r.DeadlineMS && e.nowMS-r.DeadlineMS > ExpiryGrace.Milliseconds() {
				next := r
				next.State = Unknown
				e.put(key, next)
			}
		case r.State == Released && age > ReleasedRetention, age > Retention:
			e.remove(key, &r)
		}
	}
}

// sizeOf returns an upper bound of the record's encoded size. JSON escapes a
// byte to at most six bytes; base64 encodes three bytes as four.
func sizeOf(r *Record) int {
	n := recordBytes + 6*len(r.Host)
	if r.Response != nil {
		n += 64 + 6*len(r.Response.ContentType) + 4*(len(r.Response.Body)/3+1)
	}
	return n
}

// storable reports whether the response can be stored. Invalid UTF-8 is
// rejected, since JSON would replace it by longer text, which Decode would then
// reject.
func storable(r *Response) bool {
	return r == nil || len(r.Body) <= MaxResponseBytes && len(r.ContentType) <= MaxContentTypeBytes && utf8.ValidString(r.ContentType)
}
