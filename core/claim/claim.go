// Package claim is the state machine of an order claim shard. An order is
// claimed in a shard document before it is sent, and the document is only
// replaced by conditional update, so that an order is sent at most once.
//
// The package is pure: it reads no clock and no random source.
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
	// Retention is how long a finished or unknown order is remembered after its last change.
	Retention = 24 * time.Hour
	// ReleasedRetention is how long a released record is kept. It only has to
	// outlive a delayed write of the same attempt.
	ReleasedRetention = time.Hour
	// ExpiryGrace is the time between a claim's deadline and the change to
	// unknown; it covers clock differences between hosts.
	ExpiryGrace = time.Minute
	// MaxShardBytes bounds an encoded shard.
	MaxShardBytes = 512 << 10
	// MaxResponseBytes bounds a stored answer body.
	MaxResponseBytes = 4 << 10
	// MaxHostBytes and MaxContentTypeBytes bound the free text of a record.
	MaxHostBytes        = 128
	MaxContentTypeBytes = 256

	// claimLimitBytes refuses new claims early, so that running orders can
	// still record their answers in a full shard.
	claimLimitBytes = MaxShardBytes - 64<<10
	// recordBytes is an upper bound of an encoded record without its host and
	// answer: two hashes and an attempt id of 160 characters, field names,
	// three numbers.
	recordBytes = 400
)

// State is the state of a record.
type State string

const (
	// Claimed means that the attempt's host may send the order until the deadline.
	Claimed State = "claimed"
	// Released means that the attempt certainly did not send the order.
	Released State = "released"
	// Done means that the order ran.
	Done State = "done"
	// Unknown means that the deadline passed without an outcome: the order may have run.
	Unknown State = "unknown"
)

// Response is the answer to an order.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Record is the claim of one order. Times are Unix milliseconds.
type Record struct {
	RequestHash string `json:"request"`
	// Attempt identifies the claim attempt, so that its writer recognises the
	// record after a write whose answer was lost.
	Attempt    string `json:"attempt"`
	State      State  `json:"state"`
	Host       string `json:"host"`
	DeadlineMS int64  `json:"deadline_ms"`
	UpdatedMS  int64  `json:"updated_ms"`
	// Response is nil when the order is not done or its answer was not kept.
	Response *Response `json:"answer,omitempty"`
}

// Shard is an immutable shard document; Apply returns a new one.
type Shard struct {
	// Records is keyed by key hash.
	Records map[string]Record
	// bytes is an upper bound of the encoded size.
	bytes int
}

// Empty returns a shard without records.
func Empty() *Shard { return &Shard{Records: map[string]Record{}, bytes: 64} }

// KeyHash returns the hex SHA-256 of team and key. The length of the team is
// part of the input, so that no two pairs have the same input.
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

// ShardOf returns the shard of an order.
func ShardOf(team, key string) uint32 {
	shard, _ := ShardFor(KeyHash(team, key))
	return shard
}

// OpKind is the kind of an operation.
type OpKind string

const (
	// OpClaim asks for the right to send the order.
	OpClaim OpKind = "claim"
	// OpFinish records that the order ran, with its answer.
	OpFinish OpKind = "finish"
	// OpRelease records that the attempt certainly did not send the order.
	OpRelease OpKind = "release"
	// OpExpire marks overdue claims unknown and drops records after their
	// retention; it names no order.
	OpExpire OpKind = "expire"
)

// Op is an operation on a shard. All operations are idempotent per attempt.
type Op struct {
	Kind        OpKind    `json:"kind"`
	KeyHash     string    `json:"key,omitempty"`
	RequestHash string    `json:"request,omitempty"`
	Attempt     string    `json:"attempt,omitempty"`
	Host        string    `json:"host,omitempty"`
	DeadlineMS  int64     `json:"deadline_ms,omitempty"`
	Response    *Response `json:"answer,omitempty"`
}

// Code is the outcome of an operation.
type Code string

const (
	// Granted gives the attempt the right to send the order until its deadline.
	Granted Code = "granted"
	// Held means that another attempt holds the claim.
	Held Code = "held"
	// AlreadyDone means that the order ran.
	AlreadyDone Code = "done"
	// Undetermined means that the order may have run.
	Undetermined Code = "unknown"
	// KeyReused means that the key was used before with another request.
	KeyReused Code = "misuse"
	// ShardFull means that the shard has no room for another claim.
	ShardFull Code = "full"
	// AttemptReleased means that this attempt was released before; it cannot be granted again.
	AttemptReleased Code = "given_up"
	// OK means that a finish, release or expire is recorded.
	OK Code = "ok"
	// Superseded means that the record belongs to another attempt or is gone;
	// nothing was changed.
	Superseded Code = "superseded"
	// Invalid means that the operation is malformed.
	Invalid Code = "invalid"
)

// Result is the outcome of an operation with the record it met, if any.
type Result struct {
	Code   Code    `json:"code"`
	Record *Record `json:"record,omitempty"`
}

// Apply applies ops in order and returns the new shard with one result per
// operation. The input shard is not changed; when no operation changes
// anything, the same pointer is returned.
func Apply(s *Shard, ops []Op, now time.Time) (*Shard, []Result) {
	e := editor{shard: s, nowMS: now.UnixMilli()}
	results := make([]Result, len(ops))
	for i := range ops {
		results[i] = e.apply(&ops[i])
	}
	return e.shard, results
}

// editor copies the shard on the first change.
type editor struct {
	shard  *Shard
	copied bool
	nowMS  int64
}

func (e *editor) own() {
	if !e.copied {
		e.shard = &Shard{Records: maps.Clone(e.shard.Records), bytes: e.shard.bytes}
		e.copied = true
	}
}

func (e *editor) put(key string, r Record) {
	e.own()
	if old, ok := e.shard.Records[key]; ok {
		e.shard.bytes -= sizeOf(&old)
	}
	r.UpdatedMS = e.nowMS
	e.shard.Records[key] = r
	e.shard.bytes += sizeOf(&r)
}

func (e *editor) drop(key string, r *Record) {
	e.own()
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
		if refusal := refuse(op, &r); refusal != "" {
			return Result{Code: refusal, Record: &r}
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

// refuse returns why the record refuses the claim, or "". Time plays no part:
// a claimed record is never given to a second attempt.
func refuse(op *Op, r *Record) Code {
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

// release also records a release whose claim has not arrived, so that a
// delayed write of the claim cannot leave a claimed record behind.
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
		// A full shard refuses the delayed claim as well.
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
			e.drop(key, &r)
		}
	}
}

// sizeOf is an upper bound of the record's encoded size. JSON escapes a byte
// into at most six; base64 takes four bytes for three.
func sizeOf(r *Record) int {
	n := recordBytes + 6*len(r.Host)
	if r.Response != nil {
		n += 64 + 6*len(r.Response.ContentType) + 4*(len(r.Response.Body)/3+1)
	}
	return n
}

// storable refuses text that JSON would replace by longer text, which the
// decoder would then refuse.
func storable(a *Response) bool {
	return a == nil || len(a.Body) <= MaxResponseBytes && len(a.ContentType) <= MaxContentTypeBytes && utf8.ValidString(a.ContentType)
}
