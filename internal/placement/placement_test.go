package placement

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/dispatch"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

func service(limit int) *version.Service {
	return &version.Service{Backends: []*version.Backend{{
		Host:     platform.Host{ID: "s1", Region: "r", Incarnation: "i"},
		Counters: &version.Counters{}, Limit: limit, Warm: true, Capacity: 1,
	}}}
}

func request() dispatch.Request {
	return dispatch.Request{Class: "c", Team: "t", Arrival: time.Now(), Target: 200 * time.Millisecond}
}

// Guards against requests that wait for ever for a service that was deleted.
func TestRemovedServiceRefusesItsWaitingRequests(t *testing.T) {
	table := NewTable("r", 1)
	s := table.Dispatcher("gone", config.KindPlain)
	s.Update(service(1), Topology{Hosts: 1}, time.Now())
	p, err := s.Acquire(t.Context(), request())
	require.NoError(t, err)
	waited := make(chan error, 1)
	go func() {
		_, err := s.Acquire(context.Background(), request())
		waited <- err
	}()
	require.Eventually(t, func() bool { return table.Waiting()["gone"] == 1 }, time.Second, time.Millisecond)
	none := func(string) bool { return false }
	require.Eventually(t, func() bool {
		table.Retain(none, Topology{Hosts: 1}, time.Now())
		select {
		case err = <-waited:
			return true
		default:
			return false
		}
	}, 2*time.Second, 10*time.Millisecond)
	var refused *RejectedError
	require.True(t, errors.As(err, &refused))
	require.Contains(t, table.Waiting(), "gone", "a request still runs")
	p.Release(true)
	table.Retain(none, Topology{Hosts: 1}, time.Now())
	require.NotContains(t, table.Waiting(), "gone")
}

// Guards against a place that is lost when its request gives up while waiting.
func TestGivenUpRequestsLeaveNoPlace(t *testing.T) {
	table := NewTable("r", 1)
	s := table.Dispatcher("s", config.KindPlain)
	svc := service(1)
	s.Update(svc, Topology{Hosts: 1}, time.Now())
	for range 50 {
		p, err := s.Acquire(t.Context(), request())
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if q, err := s.Acquire(ctx, request()); err == nil {
				q.Release(true)
			}
		}()
		go cancel()
		p.Release(true)
		<-done
		cancel()
		require.Zero(t, svc.Backends[0].Counters.InFlight())
	}
}
