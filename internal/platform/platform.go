// Package platform defines the interfaces to the external systems that
// monsoonkeel depends on: the object API, the host list, model engines and the
// weight store. A platform with another protocol needs only another
// implementation of these interfaces.
package platform

import (
	"context"
	"errors"
	"time"
)

// MaxObjectBytes is the size limit of a value in the object API.
const MaxObjectBytes = 1 << 20

// Errors of ObjectStore.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version differs from the expected one;
	// nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrUnchanged means that a watch timed out without a newer version, or that
	// the host list has not changed since the last successful read.
	ErrUnchanged = errors.New("object unchanged")
	// ErrUnavailable means that the call certainly had no effect: the service
	// rejected it (rate limit, overload or outage) or the request was never sent.
	ErrUnavailable = errors.New("service unavailable, call not applied")
	// ErrOutcomeUnknown means that a write may or may not have been applied.
	ErrOutcomeUnknown = errors.New("object write outcome unknown")
)

// Version is an object's version; 0 means that the object does not exist.
type Version uint64

// Object is a stored value with its key and version.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

// ObjectStore is the platform's object API: a key-value store with
// compare-and-set writes and watches.
type ObjectStore interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the value if the object's version equals expected (0: the object
	// must not exist) and returns the new version. It fails with ErrConflict,
	// ErrUnavailable or, when the response was lost, ErrOutcomeUnknown.
	Put(ctx context.Context, key string, expected Version, value []byte) (Version, error)
	// Delete removes the object if its version equals expected, with the errors of Put.
	Delete(ctx context.Context, key string, expected Version) error
	// List returns the keys and versions of the objects whose keys start with
	// prefix; the values are empty.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch returns the object as soon as its version is newer than after, or
	// ErrUnchanged when wait has passed.
	Watch(ctx context.Context, key string, after Version, wait time.Duration) (Object, error)
}

// HostRole is the kind of process that runs on a host.
type HostRole string

const (
	// RoleEntry is a host that runs monsoonkeeld.
	RoleEntry HostRole = "entry"
	// RoleBackend is a host that runs a backend server.
	RoleBackend HostRole = "backend"
)

// HostState is the state of a host in the host list.
type HostState string

const (
	// HostLive is a host that accepts requests.
	HostLive HostState = "live"
	// HostLeaving is a host that is terminating and gets no new requests.
	HostLeaving HostState = "leaving"
)

// Host is an entry of the host list.
type Host struct {
	ID      string   `json:"id"`
	Role    HostRole `json:"role"`
	Service string   `json:"service,omitempty"`
	// Kind is the backend server's protocol, "engine" or "plain"; empty for an entry host.
	Kind string `json:"kind,omitempty"`
	// Address is the HTTP address (host:port).
	Address string `json:"address"`
	// PeerAddress is the DRPC address (host:port) of an entry host.
	PeerAddress string `json:"peer_address,omitempty"`
	Region      string `json:"region"`
	// Domain is the failure domain.
	Domain string    `json:"domain"`
	State  HostState `json:"state"`
	// Incarnation identifies one process lifetime; it changes at every restart.
	Incarnation string `json:"incarnation"`
	// ChecksFencing is set when the backend server rejects control commands and
	// orders with an outdated fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// HostList is the platform's list of live and terminating hosts. It is
// eventually consistent: changes appear with a delay.
type HostList interface {
	// Hosts returns all hosts, or ErrUnchanged if the list has not changed since
	// the last successful call.
	Hosts(ctx context.Context) ([]Host, error)
}

// LoadReport is the load of a backend server as the server itself measured it,
// AgeMS before it sent the response.
type LoadReport struct {
	Incarnation string `json:"incarnation"`
	// Leaving is the server's termination notice. It can arrive before the host
	// list marks the host.
	Leaving bool `json:"leaving,omitempty"`
	// Sequence increases by one with each report of an incarnation.
	Sequence uint64 `json:"sequence"`
	// AgeMS is the age of the measurements when the response was sent, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Running counts the requests being processed, Waiting the queued ones.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// BlocksUsed and BlocksTotal count the blocks of the engine's KV cache.
	BlocksUsed  int `json:"blocks_used"`
	BlocksTotal int `json:"blocks_total"`
	// BlockTokens is the size of a KV cache block, in tokens.
	BlockTokens int `json:"block_tokens"`
	// Completed and Preemptions are counters since the start of the incarnation.
	Completed   uint64 `json:"completed"`
	Preemptions uint64 `json:"preemptions"`
	// RecentFirstTokenMS is the 95th percentile of the time to first token of
	// recent requests, in milliseconds.
	RecentFirstTokenMS int `json:"recent_first_token_ms"`
	// StepMS is the current duration of a decode step, in milliseconds.
	StepMS float64 `json:"step_ms"`
}

// LoadReporter polls backend servers for their load.
type LoadReporter interface {
	// Load returns the newest load report of the backend server at address (host:port).
	Load(ctx context.Context, address string) (LoadReport, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Weights returns the stored bytes of a model version. It fails with
	// ErrNotFound, or with ErrUnavailable when the rate limit is exceeded.
	Weights(ctx context.Context, model, version string) ([]byte, error)
}

// Errors of EngineControl.
var (
	// ErrFenced means that the engine rejected a command whose fencing token is
	// older than one it has already seen.
	ErrFenced = errors.New("fencing token is outdated")
	// ErrInvalidCommand means that the engine rejected the command as invalid;
	// retrying cannot succeed.
	ErrInvalidCommand = errors.New("engine rejected the command as invalid")
)

// ControlCommand is a control command for a model engine, with the fencing
// token of the lease under which it is sent.
type ControlCommand struct {
	Kind         string `json:"kind"`
	Name         string `json:"name"`
	FencingToken uint64 `json:"fencing_number"`
}

// EngineControl sends control commands to model engines.
type EngineControl interface {
	// Control sends the command to the engine at address (host:port) and returns
	// once it is applied. After ErrFenced, ErrInvalidCommand and ErrUnavailable
	// the command was certainly not applied; after any other error it may have been.
	Control(ctx context.Context, address string, command ControlCommand) error
	// Applied returns the commands the engine has applied, oldest first.
	Applied(ctx context.Context, address string) ([]ControlCommand, error)
}
