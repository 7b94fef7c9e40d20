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

// attempt is one try of a command.
type attempt struct {
	command issuer.Command
	address string
	result  issuer.Result
	// send is set when the engine's state differs from the desired one.
	send bool
	// seen is the highest fencing number that the engine has applied.
	seen uint64
	// outranked says that the engine refused this issuer's fencing number.
	outranked bool
	// refusedWeights says that the weight store's rate was exceeded.
	refusedWeights bool
}

func (a *attempt) set(status issuer.Status, detail string) {
	a.result.Status, a.result.Detail = status, detail
}

// round records drift and sends the next commands: it reads the engines'
// states, records as sent what must be sent, sends, and records what the
// engines' states show afterwards.
func (i *Issuer) round(ctx context.Context, drift []issuer.Result) error {
	now := i.opt.Now()
	if now.Before(i.sendFrom) {
		return i.renewIfDue(ctx)
	}
	results := append(drift, i.failGone()...)
	if len(results) > 0 {
		if err := i.record(ctx, results); err != nil {
			return err
		}
		i.nextVerify = now.Add(verifyInterval)
	}
	attempts := i.next()
	if len(attempts) == 0 {
		return i.renewIfDue(ctx)
	}
	i.each(attempts, func(a *attempt) { i.prepare(ctx, a) })
	i.noteLoads(attempts)
	if i.outranked(attempts) {
		return nil
	}
	if err := i.recordAttempts(ctx, attempts); err != nil {
		return err
	}
	sends := slices.DeleteFunc(slices.Clone(attempts), func(a *attempt) bool { return !a.send })
	i.used = i.used || len(sends) > 0
	i.each(sends, func(a *attempt) { i.send(ctx, a) })
	i.scheduleRetries(attempts)
	if i.outranked(sends) || len(sends) == 0 {
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

// record writes results and renews the lease.
func (i *Issuer) record(ctx context.Context, results []issuer.Result) error {
	return i.update(ctx, func(d *issuer.Document) *issuer.Document { return d.Record(results).PruneRemoved(i.gone) })
}

// recordAttempts writes the results, and always before a send: the write
// confirms that this process is the holder.
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

// each runs fn for the attempts concurrently.
func (i *Issuer) each(attempts []*attempt, fn func(*attempt)) {
	var g errgroup.Group
	g.SetLimit(i.opt.Concurrency)
	for _, a := range attempts {
		g.Go(func() error { fn(a); return nil })
	}
	_ = g.Wait() // failures are kept in the attempts
}

// backends returns the service's engines by id, and false if the host list is unknown.
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

func (i *Issuer) next() []*attempt {
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

// state reads an engine's state back.
func (i *Issuer) state(ctx context.Context, address string) (*issuer.EngineState, error) {
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

// prepare decides by the engine's state and the weight store whether the
// command is to be sent.
func (i *Issuer) prepare(ctx context.Context, a *attempt) {
	s, err := i.state(ctx, a.address)
	if err != nil {
		a.set(a.command.Status, "engine state not read: "+err.Error())
		return
	}
	a.seen = s.FencingToken
	if s.Satisfies(&a.command) {
		a.set(issuer.Applied, "")
		return
	}
	if a.command.Kind == issuer.KindLoad && !i.weightsReady(ctx, a) {
		return
	}
	a.send = true
	a.set(issuer.Sent, "")
	a.result.FencingToken = i.fence
}

// weightsReady asks the weight store for the weights, which shows that they
// exist and that its rate has room for the engine's own reads.
func (i *Issuer) weightsReady(ctx context.Context, a *attempt) bool {
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
		a.set(issuer.Failed, "the weight store does not have "+model+" "+version)
	default:
		a.refusedWeights = true
		a.set(a.command.Status, "weight store: "+err.Error())
	}
	return false
}

// noteLoads spaces loads and backs off when the weight store refuses.
func (i *Issuer) noteLoads(attempts []*attempt) {
	for _, a := range attempts {
		switch {
		case a.command.Kind != issuer.KindLoad:
		case a.refusedWeights:
			i.loadPause = backoff(i.loadPause)
			i.nextLoad = i.opt.Now().Add(i.jitter(i.loadPause))
		case a.send:
			i.loadPause = 0
			i.nextLoad = i.opt.Now().Add(i.opt.LoadInterval)
		}
	}
}

func backoff(pause time.Duration) time.Duration { return min(max(2*pause, retryFirst), retryMax) }

// jitter returns a random part of pause, at least half of it.
func (i *Issuer) jitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(i.rand.Int64N(int64(pause/2)+1))
}

// outranked gives the role up when an engine has seen a higher fencing number,
// or this one before it was used: another daemon took over, or the document was
// lost and rebuilt. The next step reads the document and, if this process is
// still its holder, takes a number above the engine's.
func (i *Issuer) outranked(attempts []*attempt) bool {
	found := false
	for _, a := range attempts {
		i.atLeast = max(i.atLeast, a.seen)
		if a.seen > i.fence || a.seen == i.fence && !i.used || a.outranked {
			i.holding, found = false, true
		}
	}
	return found
}

// send sends the command unless the lease has lapsed, and reads the engine's
// state back whatever the answer is.
func (i *Issuer) send(ctx context.Context, a *attempt) {
	a.result.Detail = ""
	command := platform.ControlCommand{Kind: string(a.command.Kind), Name: a.command.Name, FencingToken: i.fence}
	now := i.opt.Now()
	sending, cancel := context.WithTimeout(ctx, min(callTimeout, i.lease.End().Sub(now)))
	defer cancel()
	if !i.maySend(now) {
		a.set(issuer.Pending, "the issuer's lease lapsed before the command was sent")
		return
	}
	err := i.opt.Engines.Control(sending, a.address, command)
	s, readErr := i.state(ctx, a.address)
	switch {
	case errors.Is(err, platform.ErrFenced):
		a.outranked = true
		if readErr == nil {
			a.seen = s.FencingToken
		}
	case errors.Is(err, platform.ErrInvalidCommand):
		a.set(issuer.Failed, err.Error())
	case readErr != nil:
		a.set(issuer.Sent, "engine state not read after sending: "+readErr.Error())
	case s.Satisfies(&a.command):
		a.set(issuer.Applied, "")
	case errors.Is(err, platform.ErrUnavailable):
		a.set(issuer.Pending, err.Error())
	case err != nil:
		a.set(issuer.Sent, "no answer from the engine: "+err.Error())
	default:
		a.set(issuer.Sent, "accepted, but the engine's state does not show it yet")
	}
}

func (i *Issuer) scheduleRetries(attempts []*attempt) {
	for _, a := range attempts {
		id := a.command.Backend
		if a.result.Status == issuer.Applied || a.result.Status == issuer.Failed || a.refusedWeights {
			delete(i.retries, id)
			continue
		}
		pause := backoff(i.retries[id].pause)
		i.retries[id] = retry{at: i.opt.Now().Add(i.jitter(pause)), pause: pause}
	}
}

// drift compares the engines' states with the desired ones.
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
	i.each(attempts, func(a *attempt) {
		s, err := i.state(ctx, a.address)
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

// failGone fails the unfinished commands of backend servers that left the host list.
func (i *Issuer) failGone() []issuer.Result {
	backends, known := i.backends()
	now := i.opt.Now()
	var results []issuer.Result
	for _, c := range i.doc.Commands {
		since, missing := i.missing[c.Backend]
		if _, listed := backends[c.Backend]; listed || !known {
			delete(i.missing, c.Backend)
			continue
		}
		if !missing {
			i.missing[c.Backend] = now
			continue
		}
		if now.Sub(since) >= goneAfter && !c.Finished() {
			results = append(results, issuer.Result{ID: c.ID, Backend: c.Backend, Status: issuer.Failed,
				Detail: "the backend server left the host list"})
		}
	}
	return results
}

func (i *Issuer) gone(backend string) bool {
	since, missing := i.missing[backend]
	return missing && i.opt.Now().Sub(since) >= goneAfter
}
