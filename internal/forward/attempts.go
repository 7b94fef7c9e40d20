package forward

import (
	"context"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/hedge"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
)

// attempts are the attempts of a request with a single response. core/hedge decides how many run at the
// same time.
type attempts struct {
	r      *request
	state  *hedge.Request
	events chan attemptEvent
	// live are the attempts that have not ended.
	live map[*attempt]bool
	// free is the number of attempts that need no charge to the retry budget: the first one, and one for
	// each that no server saw.
	free int
	// attempted are the servers chosen so far.
	attempted []string
	// last is the failure of the last attempt, and reason why there was no server for it.
	last    error
	reason  balance.Reason
	silence *time.Timer
}

// eventBacklog is the number of events that attempts leave while a response is delivered.
const eventBacklog = 4

func newAttempts(r *request) *attempts {
	p := &attempts{
		r: r, state: hedge.New(r.maxRuns(), maxRejections+r.route.Attempts), events: make(chan attemptEvent, eventBacklog),
		live: map[*attempt]bool{}, free: 1, silence: time.NewTimer(time.Hour),
	}
	p.silence.Stop()
	return p
}

// serve makes attempts until a response is delivered or none is left.
func (p *attempts) serve() error {
	p.ask(true)
	for {
		action := hedge.Await
		again := true
		select {
		case e := <-p.events:
			if e.stage.ended() {
				delete(p.live, e.attempt)
			}
			if e.stage == stageWhole && !p.withhold(e) {
				return p.deliver(e)
			}
			action = p.record(e)
			again = p.state.Running() == 0
		case <-p.silence.C:
			if action = p.state.Silent(); action == hedge.Ask {
				p.recordSilence()
			}
		}
		if action == hedge.Ask && p.r.ctx.Err() != nil {
			action = p.state.Unsent(false)
		}
		switch action {
		case hedge.GiveUp:
			return p.giveUp()
		case hedge.Ask:
			p.ask(again)
		}
	}
}

// ask starts an attempt at a server that was not attempted yet. With again set, it may be one that was
// attempted, except where an attempt runs: a copy of it there would share its silence.
func (p *attempts) ask(again bool) {
	a := &attempt{r: p.r, events: p.events, free: p.free > 0, exclude: slices.Clone(p.attempted), maxWait: p.r.maxWait(), beside: p.state.Running() > 0}
	if p.r.route.Kind == route.Idempotent && again && len(p.attempted) > 0 {
		a.again = true
		for other := range p.live {
			a.excludeThen = append(a.excludeThen, other.res.server.ID)
		}
	}
	if a.free {
		p.free--
	}
	a.ctx, a.cancel = context.WithCancel(p.r.ctx)
	p.live[a] = true
	go a.run()
}

// record applies an event other than a response that is delivered.
func (p *attempts) record(e attemptEvent) hedge.Action {
	r := p.r
	r.waited += e.waited
	switch e.stage {
	case stageSent:
		r.attempts++
		r.backend = e.res.server.ID
		p.attempted = append(p.attempted, e.res.server.ID)
		if !e.free {
			r.g.Metrics.Retries.Add(1)
		}
		p.state.Sent()
		p.awaitSilence()
		return hedge.Await
	case stageHeader:
		p.awaitSilence()
		return hedge.Await
	case stageUnsent:
		return p.recordUnsent(e)
	case stageWhole:
		status := e.response.ex.Response.StatusCode()
		e.response.drop()
		e.res.release(false)
		e.err = verdict.New(verdict.MayHaveRun, 502, codeServerError, "the backend server responded with status %d", status)
	}
	return p.recordFailure(e)
}

func (p *attempts) recordUnsent(e attemptEvent) hedge.Action {
	e.cancel()
	if e.free {
		p.free++
	}
	p.reason = e.reason
	if e.err != nil {
		p.last = e.err
	}
	if e.rejection != nil {
		p.r.rejection = e.rejection
	}
	p.awaitSilence()
	return p.state.Unsent(e.retry && p.r.ctx.Err() == nil)
}

func (p *attempts) recordFailure(e attemptEvent) hedge.Action {
	r := p.r
	if e.broke {
		r.recordBrokenAnswer(e.res.server, e.err)
	}
	e.cancel()
	p.last = e.err
	if e.rateLimit != "" {
		r.rateLimit = e.rateLimit
	}
	if code := verdict.From(e.err).Code; code == connection.CodeConnectFailed || code == codeLeft {
		p.free++
	}
	if verdict.Of(e.err) == verdict.NotRun {
		return p.state.NotRun()
	}
	return p.state.Failed()
}

// awaitSilence starts or restarts the wait for a silence of the servers asked.
func (p *attempts) awaitSilence() {
	p.silence.Stop()
	if p.r.maxRuns() == 1 {
		return
	}
	if after, ok := hedge.SilentAfter(time.Until(p.r.deadline)); ok {
		p.silence.Reset(after)
	}
}

// recordSilence counts the silence of the servers asked towards their ejection, except for one that the
// caller's short deadline makes a silence.
func (p *attempts) recordSilence() {
	for a := range p.live {
		if time.Since(a.res.since) >= p.r.expectedResponse() {
			a.res.recordSilence()
		}
	}
}

// withhold reports whether a failure response is not delivered, since another attempt runs or is sure to
// be sent.
func (p *attempts) withhold(e attemptEvent) bool {
	return e.response.ex.Response.StatusCode() >= 500 && p.state.Withhold(p.r.canRetry(p.attempted))
}

// deliver cancels the other attempts and forwards a response to the caller.
func (p *attempts) deliver(e attemptEvent) error {
	r := p.r
	for other := range p.live {
		other.cancel()
	}
	defer e.cancel()
	r.backend, r.rateLimit, r.rejection = e.res.server.ID, e.rateLimit, nil
	status := e.response.ex.Response.StatusCode()
	err := r.deliverStart(e.response, e.res)
	switch {
	case err != nil:
		r.recordBrokenAnswer(e.res.server, err)
	case status < 300:
		r.prompt.RecordAnswer()
	}
	return err
}

// giveUp returns the error of a request for which no attempt is left.
func (p *attempts) giveUp() error {
	r, ran := p.r, p.state.Ran()
	switch {
	case r.ctx.Err() != nil:
		return r.interruptionError(ran > 0)
	case r.rejection != nil:
		return r.rejectionError(ran > 0)
	}
	return r.noReservation(p.last, ran, p.reason)
}

// end cancels the attempts that have not ended, and waits for their end.
func (p *attempts) end() {
	p.silence.Stop()
	for a := range p.live {
		a.cancel()
	}
	for len(p.live) > 0 {
		e := <-p.events
		if e.stage == stageWhole {
			e.response.drop()
			e.res.release(false)
		}
		if e.stage.ended() {
			delete(p.live, e.attempt)
		}
	}
}
