// Package platformtest provides an in-memory fake of the platform's object
// store with fault injection, for tests.
package platformtest

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// Store is an in-memory platform.ObjectStore. It is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	objects     map[string]platform.Object
	lastVersion platform.Version
	changed     chan struct{}
	faults      Faults
	writes      int
	reads       int
}

// Faults are the failures that a Store injects while they are set.
type Faults struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool
	// LoseWriteResponses is the number of upcoming Puts that are applied but
	// return ErrOutcomeUnknown.
	LoseWriteResponses int
	// DropWrites is the number of upcoming Puts that are not applied and
	// return ErrOutcomeUnknown.
	DropWrites int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the active faults; the zero value clears them.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the number of writes and reads so far, including failed ones. A
// watch counts as a read each time it checks the object.
func (s *Store) Counts() (writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.reads
}

// Get implements platform.ObjectStore.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.get(ctx, key)
}

func (s *Store) get(ctx context.Context, key string) (platform.Object, error) {
	if err := ctx.Err(); err != nil {
		return platform.Object{}, err
	}
	if s.faults.Down {
		return platform.Object{}, platform.ErrUnavailable
	}
	o, ok := s.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	o.Value = append([]byte(nil), o.Value...)
	return o, nil
}

// Put implements platform.ObjectStore.
func (s *Store) Put(ctx context.Context, key string, expected platform.Version, value []byte) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if err := s.checkWrite(ctx, key, expected); err != nil {
		return 0, err
	}
	if s.faults.DropWrites > 0 {
		s.faults.DropWrites--
		return 0, platform.ErrOutcomeUnknown
	}
	s.lastVersion++
	s.objects[key] = platform.Object{Key: key, Version: s.lastVersion, Value: append([]byte(nil), value...)}
	s.notifyWatchers()
	if s.faults.LoseWriteResponses > 0 {
		s.faults.LoseWriteResponses--
		return 0, platform.ErrOutcomeUnknown
	}
	return s.lastVersion, nil
}

// Delete implements platform.ObjectStore.
func (s *Store) Delete(ctx context.Context, key string, expected platform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if err := s.checkWrite(ctx, key, expected); err != nil {
		return err
	}
	delete(s.objects, key)
	s.notifyWatchers()
	return nil
}

func (s *Store) checkWrite(ctx context.Context, key string, expected platform.Version) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if s.faults.Down {
		return platform.ErrUnavailable
	}
	if s.objects[key].Version != expected {
		return platform.ErrConflict
	}
	return nil
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List implements platform.ObjectStore.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.faults.Down {
		return nil, platform.ErrUnavailable
	}
	var out []platform.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, platform.Object{Key: key, Version: o.Version})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, ctx.Err()
}

// Watch implements platform.ObjectStore.
func (s *Store) Watch(ctx context.Context, key string, after platform.Version, wait time.Duration) (platform.Object, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.reads++
		o, err := s.get(ctx, key)
		changed := s.changed
		s.mu.Unlock()
		if err == nil && o.Version > after {
			return o, nil
		}
		if err != nil && err != platform.ErrNotFound {
			return platform.Object{}, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return platform.Object{}, platform.ErrUnchanged
		case <-ctx.Done():
			return platform.Object{}, ctx.Err()
		}
	}
}

var _ platform.ObjectStore = (*Store)(nil)
