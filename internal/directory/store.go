package directory

import (
	"context"
	"errors"
	"time"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
)

// Kind is a kind of objects in the store.
type Kind uint8

// Kinds of objects.
const (
	Configuration Kind = iota
	Backends
	DomainsOut
	Hosts
)

// String returns the name used in logs.
func (k Kind) String() string {
	return [...]string{"configuration", "backends", "domains_out", "hosts"}[k]
}

// Errors of Store.
var (
	// ErrCompacted says that changes after the given revision are no longer known.
	ErrCompacted = errors.New("the store's history is gone")
	// ErrUnusable says that an entry names nothing that could be used.
	ErrUnusable = errors.New("unusable entry")
)

// Change is one object that was written or deleted. The field of its kind is
// nil if it was deleted or cannot be used.
type Change struct {
	Name    string
	Deleted bool
	Table   *route.Table
	Backend *fleet.Backend
	Host    *fleet.Host
}

// Batch is a list of objects, or the changes of a watch, as of revision At.
type Batch struct {
	Changes  []Change
	Revision int64
}

// Store is the platform's metadata store.
type Store interface {
	// List returns all objects of a kind. A stale list is cheaper and may be
	// seconds old.
	List(ctx context.Context, kind Kind, stale bool) (Batch, error)
	// Watch waits for changes after a revision, for at most wait.
	Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) (Batch, error)
	// Register writes the entry of this host.
	Register(ctx context.Context, host fleet.Host) error
	// Unregister removes the entry of a host.
	Unregister(ctx context.Context, id string) error
}

// Server is a backend server as the snapshot holds it.
type Server struct {
	fleet.Backend
	// ColdUntil is on the directory's clock.
	ColdUntil time.Duration
	// Removed says that the entry is missing; the process may still end its work.
	Removed bool `json:"Gone"`
}

// Terminating reports whether the server gets no new work because it ends.
func (s *Server) Terminating() bool { return s.Leaving || s.Removed }

// Snapshot is the deployment at one moment. It must not be changed.
type Snapshot struct {
	// Table is nil until a configuration was read.
	Table *route.Table
	// Servers by id, for a while also those that are gone.
	Servers map[string]*Server
	// DomainsOut holds the failure domains that get no new work.
	DomainsOut map[string]bool `json:"Out"`
	// Hosts are the entry hosts by id.
	Hosts map[string]fleet.Host
	// Complete says that every kind was read once.
	Complete bool
}
