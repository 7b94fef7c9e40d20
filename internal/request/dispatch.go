package request

import (
	"errors"
	"syscall"
	"time"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/dispatch"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/placement"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// codeNoCapacity is the problem code of a request that is rejected because no backend
// server can start it in time.
const codeNoCapacity = "no_capacity"

// maxAttempts is the maximum number of attempts of one request.
const maxAttempts = 3

// workload is the estimated load of a request, as the dispatcher needs it.
type workload struct {
	// promptTokens is the estimated length of the prompt in tokens.
	promptTokens int
	// buffered is set for an unstreamed response, whose tokens this host cannot observe
	// while they are generated.
	buffered bool
	// prefix is the hash of the prompt prefix, and prefixTokens its length in tokens.
	prefix       uint64
	prefixTokens int
}

// sendOptions returns options that send a request only to the incarnation for which it
// was scheduled, and only while checkMaySend allows it.
func (c *call) sendOptions(reservation *placement.Reservation, noReuse bool) connection.Options {
	return connection.Options{
		NoReuse: noReuse, Incarnation: reservation.Load.Incarnation, IDHeader: headerRequestID,
		BeforeSend: func() error { return c.checkMaySend(reservation) },
	}
}

// checkMaySend returns an error if the lease expired, the backend server was removed, or
// the configuration became stale since the slot was reserved, as can happen in a process
// that was paused. It cancels a call that CancelRequests has not reached yet: the slot may be
// that of a call which was cancelled a moment ago.
func (c *call) checkMaySend(reservation *placement.Reservation) error {
	if c.g.stopping.Load() {
		c.cancelForShutdown()
	}
	if err := c.contextErrorIfDone(); err != nil {
		return err
	}
	now := c.g.Now()
	if reservation.CurrentLimit(now) == 0 {
		e := verdict.New(verdict.NotRun, 503, "lease_lapsed", "the lease for the backend server expired before the request was sent")
		e.RetryAfterSeconds = 1
		return e
	}
	if reservation.Refuses() {
		return verdict.New(verdict.NotRun, 503, "backend_refusing", "the backend server began to refuse requests before the request was sent")
	}
	snap := c.g.Snapshot()
	host, listed := snap.BackendHost(reservation.Host.ID)
	if !listed || host.State != platform.HostLive || snap.Document.OutOfService(host.ID, host.Domain) {
		return verdict.New(verdict.NotRun, 503, "backend_leaving", "the backend server was taken out of service before the request was sent")
	}
	return c.g.CheckFreshness(now)
}

// reportSendFailure reports a failed send to the cold-start reporter, or sets maybeSent
// if the request may have reached the backend server.
func (c *call) reportSendFailure(reservation *placement.Reservation, err error) {
	var other *connection.WrongIncarnationError
	var withheld *connection.BeforeSendError
	switch {
	case errors.As(err, &withheld):
	case errors.As(err, &other):
		c.g.ColdStarts.IncarnationMismatch(reservation.Host.ID, reservation.Load.Incarnation, other.Actual)
	case verdict.Of(err) != verdict.NotRun:
		c.maybeSent = true
	case c.ctx.Err() != nil || c.deadlinePassed():
	case errors.Is(err, syscall.ECONNREFUSED):
		c.g.ColdStarts.ConnectionRefused(reservation.Host.ID, reservation.Host.Incarnation)
	default:
		c.g.ColdStarts.ConnectFailed(reservation.Host.ID)
	}
}

// acquire waits for a reservation at a backend server of the call's service. An attempted
// server is chosen again only if all others are full. It fails when the class's
// time-to-first-token target can no longer be met, when all servers were attempted, or when
// the configuration no longer has the service.
func (c *call) acquire(w workload, attempted []string) (*placement.Reservation, error) {
	start := c.g.Now()
	defer func() { c.outcome.QueueTime += c.g.Now().Sub(start) }()
	if err := c.g.CheckFreshness(start); err != nil {
		return nil, err
	}
	r := dispatch.Request{
		Class: c.class.Name, Team: c.team.Name, Priority: c.class.Priority, Arrival: start,
		Target: time.Duration(c.class.FirstTokenMS) * time.Millisecond, TokenGapMS: c.class.TokenGapMS,
		PromptTokens: w.promptTokens, Buffered: w.buffered, Prefix: w.prefix, PrefixTokens: w.prefixTokens, Attempted: attempted,
	}
	r.Deadline, _ = c.ctx.Deadline()
	reservation, err := c.g.Dispatchers.Dispatcher(c.service.Name, c.service.Kind).Acquire(c.ctx, r)
	var rejected *placement.RejectedError
	switch {
	case errors.As(err, &rejected):
		e := c.newError(503, codeNoCapacity, "no backend server of %s can start the request in time", c.service.Name)
		e.RetryAfterSeconds = int(rejected.RetryAfter / time.Second)
		c.outcome.Shortage = rejected.Shortages.String()
		return nil, e
	case errors.Is(err, placement.ErrServiceRemoved):
		return nil, c.serviceRemovedError()
	case err != nil:
		return nil, c.contextError()
	}
	// The configuration may have become stale during the wait.
	if err := c.g.CheckFreshness(c.g.Now()); err != nil {
		reservation.Release(false)
		return nil, err
	}
	return reservation, nil
}

// serviceRemovedError returns the error for a call whose service was removed while it waited:
// the one that a call gets which arrives afterwards, unless an attempt of this one may have run.
func (c *call) serviceRemovedError() error {
	switch {
	case c.maybeSent:
		return c.newError(503, codeNoCapacity, "service %q was removed from the configuration before another attempt", c.service.Name)
	case c.service.Kind == config.ServiceKindEngine:
		return c.newError(404, "unknown_model", "service %q of the model was removed from the configuration", c.service.Name)
	}
	return c.newError(404, "unknown_service", "service %q was removed from the configuration", c.service.Name)
}

// acquireRetry reports whether a request that has made the given number of attempts may
// be retried, and consumes a retry from the budget if so.
func (c *call) acquireRetry(attempts int) bool {
	return attempts < maxAttempts && c.ctx.Err() == nil && c.prompt.AllowRetry() && c.g.RetryBudget.AcquireRetry(c.g.Now())
}
