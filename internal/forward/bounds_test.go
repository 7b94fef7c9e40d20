package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/internal/boottime"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// plainStore is a store with a number of plain backend servers. It reports no changes.
type plainStore struct{ servers int }

func (s *plainStore) List(_ context.Context, kind directory.Kind, _ bool) (directory.Batch, error) {
	b := directory.Batch{Revision: 1}
	switch kind {
	case directory.Configuration:
		b.Changes = []directory.Change{{Name: "main", Table: route.New(route.Document{Version: 1, Services: []route.Service{{Name: "desk"}}})}}
	case directory.Backends:
		for _, id := range s.ids() {
			b.Changes = append(b.Changes, directory.Change{Name: id, Backend: &fleet.Backend{
				ID: id, StartTime: 1, Service: "desk", Address: id, Domain: "west-a", Region: "west", Slots: 8,
			}})
		}
	}
	return b, nil
}

// ids returns the IDs of the servers.
func (s *plainStore) ids() (ids []string) {
	for i := range s.servers {
		ids = append(ids, fmt.Sprint("desk-", i))
	}
	return ids
}

func (s *plainStore) Watch(ctx context.Context, _ directory.Kind, _ int64, _ time.Duration) (directory.Batch, error) {
	<-ctx.Done()
	return directory.Batch{}, ctx.Err()
}

func (s *plainStore) DecodeConfiguration([]byte) (*route.Table, error) {
	return nil, errors.New("no configuration")
}

func (s *plainStore) Register(context.Context, fleet.Host) error { return nil }

func (s *plainStore) Unregister(context.Context, string) error { return nil }

// Guards against requests at a server that is leaving, or rejected for a service whose servers are new,
// when the settings are read again at the moment of a change (issue 26): the balancers get the former
// snapshot after the new one and keep it until the next change.
func TestBoundsBesideChangesKeepNewestSnapshot(t *testing.T) {
	store := &plainStore{servers: 10}
	var g *Gateway
	d := directory.New(directory.Options{
		Store: store, Clock: boottime.Now, Log: zerolog.Nop(),
		WatchTimeouts: map[directory.Kind]time.Duration{directory.Configuration: time.Minute, directory.Backends: time.Minute, directory.DomainsOut: time.Minute},
		OnChange:      func(old, now *directory.Snapshot) { g.ApplySnapshot(old, now) },
	})
	g = New(Options{Directory: d, HostID: "host-1", Domain: "west-a", Region: "west", Clock: boottime.Now, Log: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	require.Eventually(t, func() bool { return d.Snapshot().Complete }, 5*time.Second, time.Millisecond)
	for i := range store.servers - 1 {
		id := fmt.Sprint("desk-", i)
		// Both wait for the lock and get it in this order: once a waiter has failed to get it after
		// more than 1 ms, sync.Mutex hands it over in the order of arrival.
		g.balancers.mu.Lock()
		var wg sync.WaitGroup
		for _, change := range []func(){func() { g.SetBounds(Bounds{}) }, func() { d.MarkTerminating(id, 1, true, "load report") }} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				change()
			}()
			time.Sleep(10 * time.Millisecond)
		}
		g.balancers.mu.Unlock()
		g.balancers.mu.Lock()
		time.Sleep(10 * time.Millisecond)
		g.balancers.mu.Unlock()
		wg.Wait()
		others := slices.DeleteFunc(store.ids(), func(other string) bool { return other == id })
		res, reason := g.balancers.acquire(ctx, "desk", balance.Request{Exclude: others}, sender{}, 0)
		assert.Nil(t, res, "reservation at the leaving server %s", id)
		assert.Equal(t, balance.NoCandidate, reason)
	}
}
