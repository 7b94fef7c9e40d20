package issuer

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"monsoonkeel.example/monsoonkeel/core/issuer"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// attempt is one attempt to apply a command to an engine.
type attempt struct {
	command issuer.Command
	address string
	result  issuer.Result
	// send is set if the command is to be sent, since the engine's state differs
	// from the desired one.
	send bool
	// observedToken is the highest fencing token that the engine has applied.
	observedToken uint64
	// fenced is set if the engine rejected this issuer's fencing token.
	fenced bool
	// weightStoreFailed is set if the weight store could not be read, for example
	// because of its rate limit. It is not set if the weights do not exist.
	weightStoreFailed bool
}

func (a *attempt) setStatus(status issuer.Status, detail string) {
	a.result.Status, a.result.Detail = status, detail
}

// round records drift and sends the next commands: it reads the engines' states,
// records the commands to send as sent, sends them, and records the resulting
// states of the engines.
func (i *Issuer) round(ctx context.Context, drift []issuer.Result) error {
	now := i.opt.Now()
	if now.Before(i.firstSendAt) {
		return i.renewIfDue(ctx)
	}
	results := append(drift, i.failRemoved()...)
	if len(results) > 0 {
		if err := i.record(ctx, results); err != nil {
			return err
		}
		i.nextVerify = now.Add(verifyInterval)
	}
	attempts := i.nextAttempts()
	if len(attempts) == 0 {
		return i.renewIfDue(ctx)
	}
	i.forEach(attempts, func(a *attempt) { i.prepare(ctx, a) })
	i.scheduleLoads(attempts)
	if i.checkFencing(attempts) {
		return nil
	}
	if err := i.recordAttempts(ctx, attempts); err != nil {
		return err
	}
	sends := slices.DeleteFunc(slices.Clone(attempts), func(a *attempt) bool { return !a.send })
	i.tokenUsed = i.tokenUsed || len(sends) > 0
	i.forEach(sends, func(a *attempt) { i.send(ctx, a) })
	i.scheduleRetries(attempts)
	if i.checkFencing(sends) || len(sends) == 0 {
		return nil
	}
	return i.recordAttempts(ctx, sends)
}

func (i *Issuer) renewIfDue(ctx context.Context) error {
	if i.opt.Now().Sub(i.renewedAt) < issuer.RenewInterval {
		return nil
	}
	return i.record(ctx, nil)
}

// record writes results and renews the lease. It also removes the finished
// commands of removed backend servers.
func (i *Issuer) record(ctx context.Context, results []issuer.Result) error {
	return i.update(ctx, func(d *issuer.Document) *issuer.Document { return d.Record(results).PruneRemoved(i.removed) })
}

// recordAttempts writes the results that differ from the document. Before a send
// it always writes, which confirms that this process still holds the lease.
func (i *Issuer) recordAttempts(ctx context.Context, attempts []*attempt) error {
	var results []issuer.Result
	sending := false
	for _, a := range attempts {
		c := a.command
		sending = sending || a.send
		if a.result.Status != c.Status || a.result.Detail != c.Detail || a.result.FencingToken > c.FencingToken {
			results = append(results, a.result)
		}
	}
	if len(results) == 0 && !sending {
		return i.renewIfDue(ctx)
	}
	return i.record(ctx, results)
}

// forEach runs fn concurrently for the attempts.
func (i *Issuer) forEach(attempts []*attempt, fn func(*attempt)) {
	var g errgroup.Group
	g.SetLimit(i.opt.Concurrency)
	for _, a := range attempts {
		g.Go(func() error { fn(a); return nil })
	}
	_ = g.Wait() // errors are recorded in the attempts
}

// backends returns the service's engines by id, and false if the host list has not
// been read yet.
func (i *Issuer) backends() (map[string]platform.Host, bool) {
	hosts, ok := i.opt.Hosts()
	return engines(hosts, i.service), ok
}

func engines(hosts []platform.Host, service string) map[string]platform.Host {
	out := map[string]platform.Host{}
	for _, h := range hosts {
		if h.Role == platform.RoleBackend && h.Service == service && h.Kind == "engine" {
			out[h.ID] = h
		}
	}
	return out
}

func (i *Issuer) nextAttempts() []*attempt {
	now := i.opt.Now()
	backends, _ := i.backends()
	loads := 0
	if !now.Before(i.nextLoad) {
		loads = 1
	}
	commands := i.doc.Next(issuer.NextInput{LoadBudget: loads, Ready: func(backend string) bool {
		_, listed := backends[backend]
		return listed && !now.Before(i.retries[backend].at)
	}})
	var attempts []*attempt
	for _, c := range commands[:min(len(commands), i.opt.Concurrency)] {
		attempts = append(attempts, &attempt{command: c, address: backends[c.Backend].Address,
			result: issuer.Result{ID: c.ID, Backend: c.Backend, Status: c.Status, FencingToken: c.FencingToken}})
	}
	return attempts
}

// engineState reads the state of an engine.
func (i *Issuer) engineState(ctx context.Context, address string) (*issuer.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	applied, err := i.opt.Engines.Applied(ctx, address)
	if err != nil {
		return nil, err
	}
	s := &issuer.EngineState{}
	for _, c := range applied {
		s.Apply(issuer.Kind(c.Kind), c.Name, c.FencingToken)
	}
	return s, nil
}

// prepare determines from the engine's state and the weight store whether the
// command must be sent.
func (i *Issuer) prepare(ctx context.Context, a *attempt) {
	s, err := i.engineState(ctx, a.address)
	if err != nil {
		a.setStatus(a.command.Status, "cannot read the engine's state: "+err.Error())
		return
	}
	a.observedToken = s.FencingToken
	if s.Satisfies(&a.command) {
		a.setStatus(issuer.Applied, "")
		return
	}
	if a.command.Kind == issuer.KindLoad && !i.weightsAvailable(ctx, a) {
		return
	}
	a.send = true
	a.setStatus(issuer.Sent, "")
	a.result.FencingToken = i.fencingToken
}

// weightsAvailable reads the weights from the weight store. Success means that
// they exist and that the store's rate limit permits the engine's own reads.
func (i *Issuer) weightsAvailable(ctx context.Context, a *attempt) bool {
	if i.opt.Weights == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	model, version := issuer.SplitName(a.command.Name)
	_, err := i.opt.Weights.Weights(ctx, model, version)
	switch {
	case err == nil:
		return true
	case errors.Is(err, platform.ErrNotFound):
		a.setStatus(issuer.Failed, "the weight store does not have "+model+" "+version)
	default:
		a.weightStoreFailed = true
		a.setStatus(a.command.Status, "weight store: "+err.Error())
	}
	return false
}

// scheduleLoads sets the time of the next load command: after the load interval,
// or after a backoff if the weight store could not be read.
func (i *Issuer) scheduleLoads(attempts []*attempt) {
	for _, a := range attempts {
		switch {
		case a.command.Kind != issuer.KindLoad:
		case a.weightStoreFailed:
			i.loadBackoff = backoff(i.loadBackoff)
			i.nextLoad = i.opt.Now().Add(i.jitter(i.loadBackoff))
		case a.send:
			i.loadBackoff = 0
			i.nextLoad = i.opt.Now().Add(i.opt.LoadInterval)
		}
	}
}

func backoff(delay time.Duration) time.Duration {
	return min(max(2*delay, minRetryDelay), maxRetryDelay)
}

// jitter returns a random duration from delay/2 to delay.
func (i *Issuer) jitter(delay time.Duration) time.Duration {
	return delay/2 + time.Duration(i.rand.Int64N(int64(delay/2)+1))
}

// checkFencing gives up the lease, and returns true, if an engine has applied a
// higher fencing token, or this one before this process used it: another daemon
// has taken over, or the document was lost and created again. The next step reads
// the document and, if this process is still its holder, acquires a fencing token
// above the engine's.
func (i *Issuer) checkFencing(attempts []*attempt) bool {
	found := false
	for _, a := range attempts {
		i.highestToken = max(i.highestToken, a.observedToken)
		if a.observedToken > i.fencingToken || a.observedToken == i.fencingToken && !i.tokenUsed || a.fenced {
			i.holdsLease, found = false, true
		}
	}
	return found
}

// send sends the command unless the lease has expired, and then reads the
// engine's state whether or not the command succeeded.
func (i *Issuer) send(ctx context.Context, a *attempt) {
	a.result.Detail = ""
	command := platform.ControlCommand{Kind: string(a.command.Kind), Name: a.command.Name, FencingToken: i.fencingToken}
	now := i.opt.Now()
	sending, cancel := context.WithTimeout(ctx, min(callTimeout, i.lease.End().Sub(now)))
	defer cancel()
	if !i.maySend(now) {
		a.setStatus(issuer.Pending, "the lease expired before the command was sent")
		return
	}
	err := i.opt.Engines.Control(sending, a.address, command)
	s, readErr := i.engineState(ctx, a.address)
	switch {
	case errors.Is(err, platform.ErrFenced):
		a.fenced = true
		if readErr == nil {
			a.observedToken = s.FencingToken
		}
	case errors.Is(err, platform.ErrInvalidCommand):
		a.setStatus(issuer.Failed, err.Error())
	case readErr != nil:
		a.setStatus(issuer.Sent, "cannot read the engine's state after sending: "+readErr.Error())
	case s.Satisfies(&a.command):
		a.setStatus(issuer.Applied, "")
	case errors.Is(err, platform.ErrUnavailable):
		a.setStatus(issuer.Pending, err.Error())
	case err != nil:
		a.setStatus(issuer.Sent, "no response from the engine: "+err.Error())
	default:
		a.setStatus(issuer.Sent, "accepted, but not yet in the engine's state")
	}
}

func (i *Issuer) scheduleRetries(attempts []*attempt) {
	for _, a := range attempts {
		id := a.command.Backend
		if a.result.Status == issuer.Applied || a.result.Status == issuer.Failed || a.weightStoreFailed {
			delete(i.retries, id)
			continue
		}
		delay := backoff(i.retries[id].delay)
		i.retries[id] = retry{at: i.opt.Now().Add(i.jitter(delay)), delay: delay}
	}
}

// drift returns results that set commands back to pending if the engine no longer
// has their desired state. Engines whose state cannot be read are ignored.
func (i *Issuer) drift(ctx context.Context) []issuer.Result {
	backends, _ := i.backends()
	var attempts []*attempt
	for _, id := range i.doc.AppliedBackends() {
		if h, listed := backends[id]; listed {
			attempts = append(attempts, &attempt{command: issuer.Command{Backend: id}, address: h.Address})
		}
	}
	states := make([]*issuer.EngineState, len(attempts))
	index := make(map[*attempt]int, len(attempts))
	for n, a := range attempts {
		index[a] = n
	}
	i.forEach(attempts, func(a *attempt) {
		s, err := i.engineState(ctx, a.address)
		if err == nil {
			states[index[a]] = s
		}
	})
	var results []issuer.Result
	for n, a := range attempts {
		if states[n] != nil {
			results = append(results, i.doc.Drifted(a.command.Backend, states[n])...)
		}
	}
	return results
}

// failRemoved returns results that fail the unfinished commands of backend servers
// that have been missing from the host list for removedAfter.
func (i *Issuer) failRemoved() []issuer.Result {
	backends, known := i.backends()
	now := i.opt.Now()
	var results []issuer.Result
	for _, c := range i.doc.Commands {
		since, missing := i.missingSince[c.Backend]
		if _, listed := backends[c.Backend]; listed || !known {
			delete(i.missingSince, c.Backend)
			continue
		}
		if !missing {
			i.missingSince[c.Backend] = now
			continue
		}
		if now.Sub(since) >= removedAfter && !c.Finished() {
			results = append(results, issuer.Result{ID: c.ID, Backend: c.Backend, Status: issuer.Failed,
				Detail: "the backend server was removed from the host list"})
		}
	}
	return results
}

func (i *Issuer) removed(backend string) bool {
	since, missing := i.missingSince[backend]
	return missing && i.opt.Now().Sub(since) >= removedAfter
}
