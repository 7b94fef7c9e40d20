package forward

import (
	"context"
	"time"
)

// Dialect holds the names of the header fields that callers and backend servers
// use. The adapter of a platform fills it.
type Dialect struct {
	// RequestID names one attempt of a caller.
	RequestID string
	// Timeout is how long the caller waits, in milliseconds.
	Timeout string
	// APIKey is the caller's secret, which backend servers never get.
	APIKey string
	// Team tells a backend server whose request it is.
	Team string
	// ExpectBackend makes every other backend server refuse the request.
	ExpectBackend string
	// ServerMark marks every answer of a backend server.
	ServerMark string
	// NotExecuted marks an answer that says the request has not run.
	NotExecuted string
	// TokenCounts holds the numbers of prompt tokens and of output tokens at most.
	TokenCounts string
	// LengthHint is the caller's estimate of the output tokens.
	LengthHint string
	// LastEventID is the last event that a continued run has delivered.
	LastEventID string
	// KVSource names the engine and copy from which a run continues.
	KVSource string
	// Standby names the engine that the run is copied to as it grows. The copy is
	// named by the request's id.
	Standby string
	// Reserved are further fields that only this system may set.
	Reserved []string
	// ParseTokenCounts decodes the value of Tokens.
	ParseTokenCounts func(value string) (prompt, output int, ok bool)
	// FormatKVSource encodes the value of CopySource.
	FormatKVSource func(sourceAddress, handle string) string
}

// Generation is a running request as its engine reports it.
type Generation struct {
	ID string
	// Tokens is the memory that the run holds.
	Tokens int
	// Events is the number of events made so far.
	Events int
}

// Report is the state of an engine some hundred milliseconds ago.
type Report struct {
	Queued, Active   int
	KVUsed, KVTokens int
	// Terminating says that the engine has been told to end.
	Terminating bool
	// TerminatesIn is the time left until the engine ends; negative if unknown.
	TerminatesIn time.Duration
	Generations  []Generation
}

// CopyOutcome says what became of a copy.
type CopyOutcome uint8

// Outcomes of Engines.Copy.
const (
	// CopyFailed means that the answer is unknown: the run may have stopped.
	CopyFailed CopyOutcome = iota
	// Copied means that the target holds the run.
	Copied
	// GenerationNotFound means that the engine runs no such request (yet, or any more).
	GenerationNotFound
	// CopyInProgress means that another copy of the run is in progress.
	CopyInProgress
	// TargetUnavailable means that the target has no room or cannot be reached. After the
	// last part the run has stopped, and its memory is kept at the source.
	TargetUnavailable
)

// String returns the name used in logs.
func (o CopyOutcome) String() string {
	return [...]string{"failed", "copied", "no_run", "busy", "no_room"}[o]
}

// CopyResult is the answer to a copy.
type CopyResult struct {
	Outcome CopyOutcome
	// Handle names the copy; it may be set after NoRoom too.
	Handle string
	// Events is the number of events made so far.
	Events int
}

// EngineClient are the calls to model engines besides requests.
type EngineClient interface {
	Report(ctx context.Context, address string) (Report, error)
	// Copy copies the memory of a run to the engine at target. With last, the
	// run stops first, and its stream closes without its end.
	Copy(ctx context.Context, address, run, target string, last bool) (CopyResult, error)
	// DropCopy frees a copy at both ends.
	DropCopy(ctx context.Context, address, handle string) error
}
