package request

import (
	"errors"
	"time"

	"monsoonkeel.example/monsoonkeel/core/dispatch"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/placement"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// codeNoCapacity is the reason of a refusal because no backend server can start
// the request in time.
const codeNoCapacity = "no_capacity"

// maxTries bounds the backend servers that one request is tried at.
const maxTries = 3

// work describes a request to the dispatcher.
type work struct {
	// prompt is the estimated length of the prompt in tokens.
	prompt int
	// opaque says that tokens are not seen while they are produced.
	opaque bool
	// prefix and prefixTokens identify the prompt's beginning.
	prefix       uint64
	prefixTokens int
}

// sendOptions binds a request to the process that the placement's limit holds
// for and to the rights under which it was placed.
func (c *call) sendOptions(p *placement.Reservation, fresh bool) connection.Options {
	return connection.Options{NoReuse: fresh, Incarnation: p.Load.Incarnation, BeforeSend: func() error { return c.mayStillSend(p) }}
}

// mayStillSend refuses when the lease or the confirmation of the configuration
// lapsed since the request was placed, as in a process that was paused.
func (c *call) mayStillSend(p *placement.Reservation) error {
	now := c.g.Now()
	if p.CurrentLimit(now) == 0 {
		e := verdict.New(verdict.NotRun, 503, "lease_lapsed", "the right to use the backend server lapsed before the request was sent")
		e.RetryAfterSeconds = 1
		return e
	}
	snap := c.g.Snapshot()
	host, listed := snap.BackendHost(p.Host.ID)
	if !listed || host.State != platform.HostLive || snap.Document.OutOfService(host.ID, host.Domain) {
		return verdict.New(verdict.NotRun, 503, "backend_leaving", "the backend server was taken out before the request was sent")
	}
	return c.g.CheckFreshness(now)
}

// noteSendFailure records what a failed send says about the backend server.
func (c *call) noteSendFailure(p *placement.Reservation, err error) {
	var other *connection.WrongIncarnationError
	var withheld *connection.BeforeSendError
	switch {
	case errors.As(err, &withheld):
	case errors.As(err, &other):
		c.g.ColdStarts.IncarnationMismatch(p.Host.ID, p.Load.Incarnation, other.Actual)
	case verdict.Of(err) != verdict.NotRun:
		c.attempted = true
	case c.ctx.Err() == nil && !c.deadlinePassed():
		c.g.ColdStarts.ConnectionRefused(p.Host.ID, p.Host.Incarnation)
	}
}

// place waits for a place at a backend server of the call's service. It gives
// up when the class's first-token target can no longer be met.
func (c *call) place(w work, tried []string) (*placement.Reservation, error) {
	began := c.g.Now()
	defer func() { c.out.QueueTime += c.g.Now().Sub(began) }()
	if err := c.g.CheckFreshness(began); err != nil {
		return nil, err
	}
	r := dispatch.Request{
		Class: c.class.Name, Team: c.team.Name, Priority: c.class.Priority, Arrival: began,
		Target: time.Duration(c.class.FirstTokenMS) * time.Millisecond, TokenGapMS: c.class.TokenGapMS,
		PromptTokens: w.prompt, Buffered: w.opaque, Prefix: w.prefix, PrefixTokens: w.prefixTokens, Attempted: tried,
	}
	r.Deadline, _ = c.ctx.Deadline()
	p, err := c.g.Dispatchers.Dispatcher(c.service.Name, c.service.Kind).Acquire(c.ctx, r)
	var refused *placement.RejectedError
	switch {
	case errors.As(err, &refused):
		e := c.failure(503, codeNoCapacity, "no backend server of %s can start the request in time", c.service.Name)
		e.RetryAfterSeconds = int(refused.RetryAfter / time.Second)
		return nil, e
	case err != nil:
		return nil, c.interrupted()
	}
	// The wait may have outlived this host's knowledge of the configuration.
	if err := c.g.CheckFreshness(c.g.Now()); err != nil {
		p.Release(false)
		return nil, err
	}
	return p, nil
}

// mayRetry takes a retry from the budget for a request that failed before
// anything was delivered.
func (c *call) mayRetry(tries int) bool {
	return tries < maxTries && c.ctx.Err() == nil && c.g.RetryBudget.AcquireRetry(c.g.Now())
}
