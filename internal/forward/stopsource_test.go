package forward

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/relay"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// stopClient answers requests for final copies. It records when they were made.
type stopClient struct {
	EngineClient
	begin  time.Time
	answer func(since time.Duration) (CopyResult, error)
	calls  []time.Duration
}

func (c *stopClient) Copy(ctx context.Context, _, _, _ string, _ bool) (CopyResult, error) {
	since := time.Since(c.begin)
	c.calls = append(c.calls, since)
	if c.answer == nil {
		<-ctx.Done() // no answer
		return CopyResult{}, ctx.Err()
	}
	return c.answer(since)
}

// count returns the number of calls, once all goroutines wait.
func (c *stopClient) count() int {
	synctest.Wait()
	return len(c.calls)
}

func (c *stopClient) DropCopy(context.Context, string, string) error { return nil }

// newStopTest returns a generation that runs at engine a, and a client of the engines.
func newStopTest(deadline time.Duration) (*generation, *stopClient, map[string]balance.Server) {
	g, servers := newRefusalGateway("a", "b")
	client := &stopClient{begin: time.Now()}
	g.opts.EngineClient = client
	r := &request{g: g, id: "run-1", ctx: context.Background(), deadline: time.Now().Add(deadline)}
	return &generation{r: r, reservation: &reservation{server: servers["a"]}, relay: relay.New(time.Now())}, client, servers
}

var errUnreachable = errors.New("unreachable")

// Guards against attempts to stop a generation that end before the engine has stopped: because it cannot be reached
// for long, does not answer, or begins to run the request later; and against attempts that never end.
func TestStopGoesOnUntilItIsCertain(t *testing.T) {
	const deadline = 30 * time.Second
	unreachableUntil := func(end time.Duration, then CopyResult) func(time.Duration) (CopyResult, error) {
		return func(since time.Duration) (CopyResult, error) {
			if since < end {
				return CopyResult{}, errUnreachable
			}
			return then, nil
		}
	}
	notFound := CopyResult{Outcome: GenerationNotFound}
	for name, row := range map[string]struct {
		mayBegin bool
		answer   func(time.Duration) (CopyResult, error)
		// latest is when the last call is made at the latest, not before earliest.
		earliest, latest time.Duration
	}{
		"stopped at once":        {false, unreachableUntil(0, CopyResult{Outcome: Copied, Handle: "h"}), 0, closeNoticeTime},
		"unreachable for 10 s":   {false, unreachableUntil(10*time.Second, CopyResult{Outcome: Copied, Handle: "h"}), 10 * time.Second, 10*time.Second + maxStopInterval},
		"ended":                  {false, func(time.Duration) (CopyResult, error) { return CopyResult{}, syscall.ECONNREFUSED }, 0, closeNoticeTime},
		"may begin":              {true, unreachableUntil(0, notFound), beginTime, beginTime + 2*maxStopInterval},
		"may begin after a cut":  {true, unreachableUntil(10*time.Second, notFound), 10*time.Second + beginTime, 10*time.Second + beginTime + 2*maxStopInterval},
		"unreachable for good":   {false, unreachableUntil(time.Hour, notFound), deadline, deadline + relay.SilenceLimit},
		"does not answer at all": {false, nil, deadline - stopCallTimeout, deadline + relay.SilenceLimit},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gen, client, servers := newStopTest(deadline)
				client.answer = row.answer
				gen.mu.Lock()
				gen.stopClosed(servers["a"], servers["b"], row.mayBegin)
				gen.mu.Unlock()
				assert.EqualValues(t, 1, gen.r.g.Metrics.PendingStops.Load())
				<-gen.stopping["a"].done
				synctest.Wait()
				last := client.calls[len(client.calls)-1]
				assert.GreaterOrEqual(t, last, row.earliest)
				assert.LessOrEqual(t, last, row.latest)
				assert.Zero(t, gen.r.g.Metrics.PendingStops.Load())
			})
		})
	}
}

// Guards against calls about a generation to a process that has got the address of the one that ran it.
func TestStopEndsOnceTheProcessIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gen, client, servers := newStopTest(30 * time.Second)
		client.answer = func(time.Duration) (CopyResult, error) { return CopyResult{}, errUnreachable }
		gen.stopClosed(servers["a"], servers["b"], false)
		time.Sleep(5 * time.Second)
		next := &directory.Server{}
		next.ID, next.Address, next.StartTime, next.Service = "desk-1", "a", 2, "desk"
		gen.r.g.balancers.applySnapshot(&directory.Snapshot{Servers: map[string]*directory.Server{"desk-1": next}})
		calls := client.count()
		<-gen.stopping["a"].done
		assert.Equal(t, calls, client.count())
	})
}

// Guards against a generation that is no longer stopped at an engine because that was asked to resume it in between,
// and did not.
func TestStopGoesOnAfterARejectedResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gen, client, servers := newStopTest(30 * time.Second)
		client.answer = func(since time.Duration) (CopyResult, error) {
			if since < 5*time.Second {
				return CopyResult{}, errUnreachable
			}
			return CopyResult{Outcome: GenerationNotFound}, nil
		}
		gen.stopClosed(servers["a"], servers["b"], false)
		time.Sleep(time.Second)
		continueStop := gen.suspendStop("a")
		calls := client.count()
		time.Sleep(time.Second)
		assert.Equal(t, calls, client.count(), "no call while the engine is asked to resume")
		continueStop()
		<-gen.stopping["a"].done
		assert.Greater(t, client.count(), calls)
		assert.True(t, gen.stopping["a"].stopped)
		calls = client.count()
		gen.suspendStop("a")()
		time.Sleep(time.Second)
		assert.Equal(t, calls, client.count(), "the generation has been stopped")
	})
}
