package forward

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
	"monsoonkeel.example/monsoonkeel/internal/wait"
)

// listedServers is a store of plain servers that all say ready.
type listedServers struct {
	mu         sync.Mutex
	startTimes map[string]int64
	revision   int64
}

func (l *listedServers) set(id string, startTime int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startTimes[id] = startTime
	l.revision++
}

// List implements directory.Store.
func (l *listedServers) List(_ context.Context, kind directory.Kind, _ bool) (directory.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := directory.Batch{Revision: l.revision}
	for id, startTime := range l.startTimes {
		if kind == directory.Backends {
			b.Changes = append(b.Changes, directory.Change{Name: id, Backend: &fleet.Backend{ID: id, StartTime: startTime, Address: id, Service: "desk", Slots: 1}})
		}
	}
	return b, nil
}

// Watch implements directory.Store. Each change needs a new list.
func (l *listedServers) Watch(ctx context.Context, _ directory.Kind, after int64, _ time.Duration) (directory.Batch, error) {
	wait.For(ctx, 10*time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revision > after {
		return directory.Batch{}, directory.ErrCompacted
	}
	return directory.Batch{Revision: after}, nil
}

// DecodeConfiguration implements directory.Store.
func (*listedServers) DecodeConfiguration([]byte) (*route.Table, error) {
	return nil, errors.New("no configuration")
}

// Register implements directory.Store.
func (*listedServers) Register(context.Context, fleet.Host) error { return nil }

// Unregister implements directory.Store.
func (*listedServers) Unregister(context.Context, string) error { return nil }

// Guards against notices that grow without bound in messages or in memory, and against one that outlives its
// process.
func TestNoticesFromAnswersAreBounded(t *testing.T) {
	const servers = 3 * maxAnnouncedPlain
	store := &listedServers{startTimes: map[string]int64{}}
	for n := range servers {
		store.set(fmt.Sprint("desk-", n), 1)
	}
	opts := Options{HostID: "host-0", Log: zerolog.Nop()}
	begin := time.Now()
	opts.Directory = directory.New(directory.Options{
		Store: store, Log: zerolog.Nop(), Clock: func() time.Duration { return time.Hour + time.Since(begin) },
		WatchTimeouts: map[directory.Kind]time.Duration{directory.Backends: time.Second, directory.Configuration: time.Second, directory.DomainsOut: time.Second},
	})
	g := &Gateway{opts: opts, balancers: newBalancers(opts, &Metrics{})}
	g.view.Store(&gossip.View{InMesh: true})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go opts.Directory.Run(ctx)
	require.Eventually(t, func() bool { return len(opts.Directory.Snapshot().Servers) == servers }, 3*time.Second, 5*time.Millisecond)
	for n := range 10 * servers { // most of them unknown
		g.markTerminating(fmt.Sprint("desk-", n), 1, sourcePeer)
	}
	g.markTerminating("desk-0", 2, sourcePeer)
	assert.EqualValues(t, servers, g.Metrics.Notices.Load(), "changes of known processes")
	assert.Len(t, opts.Directory.Snapshot().Servers, servers)
	announced := map[string]bool{}
	for range 50 {
		list := g.terminatingProcesses()
		assert.Len(t, list, maxAnnouncedPlain)
		for _, p := range list {
			announced[p.ID] = true
		}
	}
	assert.Greater(t, len(announced), maxAnnouncedPlain, "all are announced in turn")
	for n := range servers {
		store.set(fmt.Sprint("desk-", n), 2)
	}
	require.Eventually(t, func() bool { return len(g.terminatingProcesses()) == 0 }, 3*time.Second, 5*time.Millisecond, "the next processes")
	g.markTerminating("desk-0", 2, sourceAnswer)
	assert.Equal(t, []gossip.Process{{ID: "desk-0", StartTime: 2}}, g.terminatingProcesses())
}
