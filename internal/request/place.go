package request

import (
	"errors"
	"time"

	"monsoonkeel.example/monsoonkeel/core/dispatch"
	"monsoonkeel.example/monsoonkeel/internal/placement"
)

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

// place waits for a place at a backend server of the call's service. It gives
// up when the class's first-token target can no longer be met.
func (c *call) place(w work, tried []string) (*placement.Placement, error) {
	began := c.g.Now()
	defer func() { c.out.Queued += c.g.Now().Sub(began) }()
	if err := c.g.Fresh(began); err != nil {
		return nil, err
	}
	r := dispatch.Request{
		Class: c.class.Name, Team: c.team.Name, Priority: c.class.Priority, Arrival: began,
		Target: time.Duration(c.class.FirstTokenMS) * time.Millisecond,
		Prompt: w.prompt, Opaque: w.opaque, Prefix: w.prefix, PrefixTokens: w.prefixTokens, Tried: tried,
	}
	r.Deadline, _ = c.ctx.Deadline()
	p, err := c.g.Places.Service(c.service.Name, c.service.Kind).Place(c.ctx, r)
	var refused *placement.Refused
	switch {
	case errors.As(err, &refused):
		e := c.failure(503, "no_capacity", "no backend server of %s can start the request in time", c.service.Name)
		e.RetryAfterSeconds = int(refused.RetryAfter / time.Second)
		return nil, e
	case err != nil:
		return nil, c.interrupted()
	}
	// The wait may have outlived this host's knowledge of the configuration.
	if err := c.g.Fresh(c.g.Now()); err != nil {
		p.Release(false)
		return nil, err
	}
	return p, nil
}

// mayRetry takes a retry from the budget for a request that failed before
// anything was delivered.
func (c *call) mayRetry(tries int) bool {
	return tries < maxTries && c.ctx.Err() == nil && c.g.Retries.Retry(c.g.Now())
}

// maySend is checked when the connection is ready: the place may rest on a
// lease that lapsed while the connection was made.
func (c *call) maySend(p *placement.Placement) func() bool {
	return func() bool {
		now := c.g.Now()
		return p.CurrentLimit(now) > 0 && c.g.Fresh(now) == nil
	}
}
