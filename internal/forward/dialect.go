package forward

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

// Dialect holds the names of the HTTP header fields that callers and backend servers
// use. The adapter of a platform fills it.
type Dialect struct {
	// RequestID identifies one attempt of a caller.
	RequestID string
	// CallerTimeout is how long the caller waits, in milliseconds.
	CallerTimeout string
	// APIKey is the caller's secret. It is never forwarded to backend servers.
	APIKey string
	// Team is the caller's team, for the backend server.
	Team string
	// ExpectBackend is the intended backend server; every other one rejects the request.
	ExpectBackend string
	// ServerMark is present in every response that a backend server generated.
	ServerMark string
	// NotExecuted marks a response to a request that the backend server has not run.
	NotExecuted string
	// TokenCounts holds the number of prompt tokens and the limit of output tokens.
	TokenCounts string
	// LengthHint is the caller's estimate of the output tokens.
	LengthHint string
	// PromptParts lists the parts of the prompt in order.
	PromptParts string
	// LastEventID is the last event that a resumed generation has delivered.
	LastEventID string
	// KVSource identifies the engine and the KV cache copy from which to resume.
	KVSource string
	// Standby is the address of the engine that keeps a standby replica. The replica is
	// identified by the request's ID.
	Standby string
	// Priority tells an engine of a contended service how urgent the request is, from 0 (most urgent) to 9.
	Priority string
	// Reserved lists further fields that are removed from callers' requests.
	Reserved []string
	// ParseTokenCounts decodes the value of TokenCounts.
	ParseTokenCounts func(value string) (prompt, output int, ok bool)
	// ReadAnswer reads what the header of an answer says of its server; now is when it arrived. It
	// returns false for an answer that may be from another server than the intended one.
	ReadAnswer func(h *fasthttp.ResponseHeader, now time.Time) (serverstate.Answer, bool)
	// ParsePromptParts decodes the value of PromptParts to the IDs of the parts that other
	// requests may share.
	ParsePromptParts func(value string) []string
	// FormatKVSource encodes the value of KVSource.
	FormatKVSource func(sourceAddress, handle string) string
}

// Generation is a running generation as its engine reports it.
type Generation struct {
	ID string
	// Tokens is the size of the KV cache.
	Tokens int
	// Events is the number of events generated so far.
	Events int
}

// Report is the state of an engine, some hundred milliseconds old.
type Report struct {
	Queued, Active  int
	KVUsed, KVTotal int
	// Terminating is set when the engine has received a termination notice.
	Terminating bool
	// TerminatesIn is the time until the engine ends; negative if unknown.
	TerminatesIn time.Duration
	Generations  []Generation
}

// CopyOutcome is the result of copying a generation's KV cache.
type CopyOutcome uint8

// Outcomes of EngineClient.Copy.
const (
	// CopyFailed means that the outcome is unknown: the generation may have stopped.
	CopyFailed CopyOutcome = iota
	// Copied means that the target has the KV cache.
	Copied
	// GenerationNotFound means that the engine does not run the generation: not yet, or
	// not any more.
	GenerationNotFound
	// CopyInProgress means that another copy of the generation is in progress.
	CopyInProgress
	// TargetUnavailable means that the target is full or cannot be reached. After a final
	// copy the generation has stopped, and the source keeps its KV cache.
	TargetUnavailable
)

// String returns the name used in logs.
func (o CopyOutcome) String() string {
	return [...]string{"failed", "copied", "no_run", "busy", "no_room"}[o]
}

// CopyResult is an engine's response to a copy request.
type CopyResult struct {
	Outcome CopyOutcome
	// Handle identifies the copy; it may be set with TargetUnavailable too.
	Handle string
	// Events is the number of events generated so far.
	Events int
}

// EngineClient is the control API of model engines, beside the generations themselves. It passes the
// header of each answer to ObserveAnswer.
type EngineClient interface {
	Report(ctx context.Context, address string) (Report, error)
	// Copy copies the KV cache of a generation to the engine at target. With final, the
	// generation stops first, and its stream closes without an end event.
	Copy(ctx context.Context, address, generationID, target string, final bool) (CopyResult, error)
	// DropCopy frees a copy at the source and at the target.
	DropCopy(ctx context.Context, address, handle string) error
}

type answerObserverKey struct{}

// withAnswerObserver returns a context for control calls that has observe called for each answer.
func withAnswerObserver(ctx context.Context, observe func(*fasthttp.ResponseHeader)) context.Context {
	return context.WithValue(ctx, answerObserverKey{}, observe)
}

// ObserveAnswer passes on the header of an answer to a control call. ctx is the context of the call.
func ObserveAnswer(ctx context.Context, h *fasthttp.ResponseHeader) {
	if observe, ok := ctx.Value(answerObserverKey{}).(func(*fasthttp.ResponseHeader)); ok {
		observe(h)
	}
}
