package placement

import (
	"context"
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

// Guards against queued requests that wait after their service was deleted, until their target has passed or forever.
func TestRemovedServiceRejectsWaitingRequests(t *testing.T) {
	table := NewTable("r", 1)
	d := table.Dispatcher("gone", config.ServiceKindPlain)
	d.Update(service(1), Topology{Hosts: 1}, time.Now())
	p, err := d.Acquire(t.Context(), request())
	require.NoError(t, err)
	const waiting = 3
	results := make(chan error, waiting)
	for range waiting {
		go func() {
			r := request()
			r.Target = time.Minute
			_, err := d.Acquire(context.Background(), r)
			results <- err
		}()
	}
	require.Eventually(t, func() bool { return table.Waiting()["gone"] == waiting }, time.Second, time.Millisecond)
	none := func(string) bool { return false }
	table.Retain(none, Topology{Hosts: 1}, time.Now())
	for range waiting {
		select {
		case err := <-results:
			require.ErrorIs(t, err, ErrServiceRemoved)
		case <-time.After(10 * time.Second):
			require.Fail(t, "a request still waits")
		}
	}
	require.Equal(t, map[string]int{"gone": 0}, table.Waiting(), "a request still runs")
	p.Release(true)
	table.Retain(none, Topology{Hosts: 1}, time.Now())
	require.NotContains(t, table.Waiting(), "gone")
}

// Guards against a leaked reservation when a queued request is cancelled at the
// moment it is granted.
func TestCancelledRequestReleasesReservation(t *testing.T) {
	table := NewTable("r", 1)
	d := table.Dispatcher("s", config.ServiceKindPlain)
	svc := service(1)
	d.Update(svc, Topology{Hosts: 1}, time.Now())
	for range 50 {
		p, err := d.Acquire(t.Context(), request())
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if q, err := d.Acquire(ctx, request()); err == nil {
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

// Guards against a request that gets no response beside a configuration change (issue 26): a service is
// removed, and perhaps added again, between the lookup of its dispatcher and the request's offer.
func TestRequestToRemovedDispatcherIsDecided(t *testing.T) {
	for name, addedAgain := range map[string]bool{"removed": false, "removed and added again": true} {
		t.Run(name, func(t *testing.T) {
			table := NewTable("r", 1)
			topology := Topology{Hosts: 1}
			d := table.Dispatcher("s", config.ServiceKindPlain)
			d.Update(service(1), topology, time.Now())
			table.Retain(func(string) bool { return false }, topology, time.Now())
			require.Empty(t, table.Waiting())
			result := make(chan error, 1)
			go func() {
				_, err := d.Acquire(t.Context(), request())
				result <- err
			}()
			var err error
			require.Eventually(t, func() bool {
				if addedAgain {
					table.Dispatcher("s", config.ServiceKindPlain).Update(service(1), topology, time.Now())
				} else {
					table.Retain(func(string) bool { return false }, topology, time.Now())
				}
				select {
				case err = <-result:
					return true
				default:
					return false
				}
			}, 2*time.Second, 10*time.Millisecond, "the request waits forever")
			if addedAgain {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrServiceRemoved)
		})
	}
}

// Guards against a queued request whose decision waits for the next snapshot or for the end of another request although
// only time has to pass: until a prefill that is not observed has ended, until other regions may be used, and until its
// target can no longer be met.
func TestDecisionsThatDependOnTimeNeedNoUpdate(t *testing.T) {
	far := func(svc *version.Service) {
		other := *svc.Backends[0]
		other.Host.ID, other.Host.Region, other.Counters = "s2", "s", &version.Counters{}
		svc.Backends = append(svc.Backends, &other)
	}
	for name, row := range map[string]struct {
		kind     config.ServiceKind
		limit    int
		change   func(*version.Service)
		target   time.Duration
		rejected bool
	}{
		"prefill ends":        {kind: config.ServiceKindEngine, limit: 2, target: time.Minute},
		"other regions":       {kind: config.ServiceKindPlain, limit: 1, change: far, target: time.Minute},
		"target not met":      {kind: config.ServiceKindPlain, limit: 1, target: 200 * time.Millisecond, rejected: true},
		"deadline of a class": {kind: config.ServiceKindEngine, limit: 1, target: 400 * time.Millisecond, rejected: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := NewTable("r", 1).Dispatcher("s", row.kind)
			svc := service(row.limit)
			if row.change != nil {
				row.change(svc)
			}
			// Of two hosts, this one has a share of the first backend server.
			d.Update(svc, Topology{Hosts: 2}, time.Now())
			r := request()
			r.Buffered, r.Target = true, time.Minute
			first, err := d.Acquire(t.Context(), r)
			require.NoError(t, err)
			require.Equal(t, "s1", first.Host.ID)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			r = request()
			r.Target = row.target
			second, err := d.Acquire(ctx, r)
			if row.rejected {
				var rejected *RejectedError
				require.ErrorAs(t, err, &rejected)
				return
			}
			require.NoError(t, err)
			require.NotNil(t, second)
		})
	}
}
