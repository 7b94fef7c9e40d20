package directory

import (
	"context"
	"errors"
	"time"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
)

// Kind is a kind of object in the store.
type Kind uint8

// Kinds of objects; DomainsOut are the failure domains out of service.
const (
	Configuration Kind = iota
	Backends
	DomainsOut
	Hosts
	// Rollouts are the operators' requests for roll-outs.
	Rollouts
)

// String returns the name of the kind that logs use.
func (k Kind) String() string {
	return [...]string{"configuration", "backends", "domains_out", "hosts", "rollouts"}[k]
}

// Errors of Store.
var (
	// ErrCompacted is returned by Watch when the store no longer has all changes after
	// the given revision, so that the objects must be listed again.
	ErrCompacted = errors.New("the store's history was compacted")
	// ErrUnusable means that a store entry has invalid or missing fields.
	ErrUnusable = errors.New("unusable store entry")
	// ErrConflict is returned by a conditional write if the object has another revision than the writer knows. Nothing was
	// written; an earlier write of which the answer was lost may be the cause.
	ErrConflict = errors.New("the store's object has another revision")
)

// Change is one object that was written or deleted. The field of its kind is
// nil if the object was deleted or is unusable.
type Change struct {
	Name    string
	Deleted bool
	Table   *route.Table
	Backend *fleet.Backend
	Host    *fleet.Host
	Rollout *fleet.Rollout
	// Raw is the configuration as the store holds it, for other hosts; nil for other kinds.
	Raw []byte
	// Revision is that of the store as of which the change is known: of the object's last write, or one at which a removed object
	// was gone. In an answer of the store, 0 stands for that of the batch.
	Revision int64
	// replaces is set if the batch had an earlier change of the object.
	replaces bool
}

// Batch holds the objects of a list, or the changes of a watch, as of Revision.
type Batch struct {
	Changes  []Change
	Revision int64
}

// Store is the platform's metadata store.
type Store interface {
	// List returns all objects of a kind. With stale set, the call is cheaper and the
	// result may be seconds old.
	List(ctx context.Context, kind Kind, stale bool) (Batch, error)
	// Watch waits up to timeout for changes after a revision. It returns ErrCompacted
	// if the store no longer has them all.
	Watch(ctx context.Context, kind Kind, after int64, timeout time.Duration) (Batch, error)
	// DecodeConfiguration decodes Change.Raw.
	DecodeConfiguration(raw []byte) (*route.Table, error)
	// Register writes the entry of a host.
	Register(ctx context.Context, host fleet.Host) error
	// Unregister deletes the entry of a host.
	Unregister(ctx context.Context, id string) error
}

// Server is the state of a backend server in a Snapshot.
type Server struct {
	fleet.Backend
	// ColdUntil is the end of the cold start, on Options.Clock.
	ColdUntil time.Duration
	// Removed is set when the store has no entry; the process may still finish its requests.
	Removed bool `json:"Gone"`
	// NoticeHere is set if this host learned of the termination from the server itself.
	NoticeHere bool
	// TerminatingSince is when this host learned that the server is terminating, on Options.Clock.
	TerminatingSince time.Duration
}

// Terminating reports whether the server gets no new work, because it announced its
// termination or its entry was removed.
func (s *Server) Terminating() bool { return s.Leaving || s.Removed }

// Snapshot is the state of the deployment at one time. It must not be changed.
type Snapshot struct {
	// Table is nil until the first configuration was read.
	Table *route.Table
	// Servers are the backend servers by ID; removed ones stay for removedRetention.
	Servers map[string]*Server
	// DomainsOut holds the failure domains that get no new work.
	DomainsOut map[string]bool `json:"Out"`
	// Hosts are the entry hosts by ID.
	Hosts map[string]fleet.Host
	// Rollouts are the requests for roll-outs, by service.
	Rollouts map[string]fleet.Rollout
	// Complete is set once a configuration was applied and the backend servers and the
	// domains out of service were listed, and the roll-outs if Options.Rollouts is set.
	Complete bool
}
