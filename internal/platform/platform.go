// Package platform defines the interfaces to the systems monsoonkeel does not
// own: the object API, the host list, model engines and the weight store.
// Another dialect of the same contract is one more adapter of an interface.
package platform

import (
	"context"
	"errors"
	"time"
)

// MaxObjectBytes is the largest value the object API stores.
const MaxObjectBytes = 1 << 20

// Errors of ObjectStore.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version is not the expected one; the
	// write did not take effect.
	ErrConflict = errors.New("object version conflict")
	// ErrUnchanged means that a watch ended without a newer version, or that a
	// list is the one returned before.
	ErrUnchanged = errors.New("object unchanged")
	// ErrUnavailable means that the object API refused the call (overload or outage) and did nothing.
	ErrUnavailable = errors.New("object API refused the call")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("object write outcome unknown")
)

// Version is an object's version; 0 means that the object does not exist.
type Version uint64

// Object is a stored value with its version.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

// ObjectStore is the platform's object API.
type ObjectStore interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the value if the object's version is expected (0: the object
	// must not exist). It returns the new version, ErrConflict, ErrUnavailable or,
	// when the answer was lost, ErrOutcomeUnknown.
	Put(ctx context.Context, key string, expected Version, value []byte) (Version, error)
	// Delete removes the object if its version is expected.
	Delete(ctx context.Context, key string, expected Version) error
	// List returns the objects whose keys start with prefix, without values.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object is newer than after, for at most wait, and
	// returns it, or ErrUnchanged.
	Watch(ctx context.Context, key string, after Version, wait time.Duration) (Object, error)
}

// HostRole says what runs on a host.
type HostRole string

const (
	// RoleEntry runs monsoonkeeld.
	RoleEntry HostRole = "entry"
	// RoleBackend runs a backend server.
	RoleBackend HostRole = "backend"
)

// HostState is the host list's opinion of a host.
type HostState string

const (
	// HostLive is expected to work.
	HostLive HostState = "live"
	// HostLeaving is about to stop and gets no new work.
	HostLeaving HostState = "leaving"
)

// Host is an entry of the host list.
type Host struct {
	ID      string   `json:"id"`
	Role    HostRole `json:"role"`
	Service string   `json:"service,omitempty"`
	// Kind is the backend server's protocol, "engine" or "plain".
	Kind string `json:"kind,omitempty"`
	// Address is the host:port for HTTP.
	Address string `json:"address"`
	// PeerAddress is an entry host's host:port for drpc.
	PeerAddress string    `json:"peer_address,omitempty"`
	Region      string    `json:"region"`
	Domain      string    `json:"domain"`
	State       HostState `json:"state"`
	// Incarnation changes whenever the process on the host restarts.
	Incarnation string `json:"incarnation"`
	// ChecksFencing says that the backend server refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList interface {
	// Hosts returns all hosts, or ErrUnchanged if the list is still the one that
	// the last successful call returned.
	Hosts(ctx context.Context) ([]Host, error)
}

// LoadReport is what an engine or plain service says about its load. It lags.
type LoadReport struct {
	Incarnation string `json:"incarnation"`
	// Leaving says that the backend server is about to stop. It arrives even
	// when the host list lags.
	Leaving bool `json:"leaving,omitempty"`
	// Sequence grows by one with each report of one incarnation.
	Sequence uint64 `json:"sequence"`
	// AgeMS is the age of the figures when the answer was sent, in milliseconds.
	AgeMS   int64 `json:"age_ms"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	// BlocksUsed and BlocksTotal measure the engine's cache memory.
	BlocksUsed  int `json:"blocks_used"`
	BlocksTotal int `json:"blocks_total"`
	// BlockTokens is the number of tokens a block holds.
	BlockTokens int `json:"block_tokens"`
	// Completed and Preemptions count since the start of the incarnation.
	Completed   uint64 `json:"completed"`
	Preemptions uint64 `json:"preemptions"`
	// RecentFirstTokenMS is the 95th percentile of the last first-token times, in milliseconds.
	RecentFirstTokenMS int `json:"recent_first_token_ms"`
	// StepMS is the current time of a decode step, in milliseconds.
	StepMS float64 `json:"step_ms"`
}

// LoadReporter asks a backend server for its load.
type LoadReporter interface {
	// Load returns the newest load report of the backend server at address (host:port).
	Load(ctx context.Context, address string) (LoadReport, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Weights returns the stored bytes of a model version, ErrNotFound, or
	// ErrUnavailable when the rate is exceeded.
	Weights(ctx context.Context, model, version string) ([]byte, error)
}

// Errors of EngineControl.
var (
	// ErrFenced means that the engine refused a command with an old fencing number.
	ErrFenced = errors.New("fencing number is too old")
	// ErrInvalidCommand means that the engine refused the command for good.
	ErrInvalidCommand = errors.New("engine refused the command as invalid")
)

// ControlCommand is a control command to a model engine.
type ControlCommand struct {
	Kind         string `json:"kind"`
	Name         string `json:"name"`
	FencingToken uint64 `json:"fencing_number"`
}

// EngineControl sends control commands to model engines.
type EngineControl interface {
	// Control makes the engine at address (host:port) apply the command. It
	// returns ErrFenced, ErrInvalidCommand or ErrUnavailable when the command was
	// certainly not applied; after any other error it may have been.
	Control(ctx context.Context, address string, command ControlCommand) error
	// Applied returns the commands that the engine has applied, oldest first.
	Applied(ctx context.Context, address string) ([]ControlCommand, error)
}
