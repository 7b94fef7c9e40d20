package request

import (
	"strconv"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/request/gentoken"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// resumeByPath serves GET /v1/generations/<token>.
func (c *call) resumeByPath(token string) error {
	if !c.http.IsGet() {
		return verdict.New(verdict.NotRun, 405, "method_not_allowed", "use GET")
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	last := string(c.http.Request.Header.Peek(headerLastEventID))
	if last == "" {
		last = token + ":" + strconv.Itoa(0)
	}
	if got, _, err := gentoken.SplitEventID(last); err != nil || got != token {
		return badEventID()
	}
	return c.resume(last)
}

// resume continues an existing generation after the caller's last event.
func (c *call) resume(eventID string) error {
	token, offset, err := gentoken.SplitEventID(eventID)
	if err != nil {
		return badEventID()
	}
	id, err := c.g.GenerationTokens.Decode(c.team.Name, token)
	if err != nil {
		return badEventID()
	}
	if err := c.deadline(); err != nil {
		return err
	}
	if err := c.limitTeam(); err != nil {
		return err
	}
	c.attempted = true
	gen := newGeneration(c, "", nil, true)
	gen.resumed = true
	gen.id, gen.token, gen.offset = id.ID, token, offset
	if err := gen.locate(id); err != nil {
		return err
	}
	if err := gen.reattach(0); err != nil {
		if c.ctx.Err() != nil {
			return c.interrupted()
		}
		return gen.lostError(err)
	}
	return gen.stream()
}

// locate finds the generation's backend server and class.
func (gen *generation) locate(id gentoken.Generation) error {
	c := gen.c
	snap := c.g.Snapshot()
	c.service, _ = snap.Service(id.Service)
	if c.service == nil {
		c.service = &version.Service{}
	}
	c.class = snap.Document.Classes[id.Class]
	c.out.Service, c.out.Class, c.out.Backend = id.Service, id.Class, id.Backend
	host, ok := snap.BackendHost(id.Backend)
	if !ok {
		return gen.lostError(errGenerationLost)
	}
	// The engine's answer decides whether it is the same process, since the
	// host list lags.
	gen.host, gen.incarnation = host, id.Incarnation
	return nil
}

func badEventID() error {
	return verdict.New(verdict.NotRun, 400, "bad_event_id", "the event id is not one that this system gave to this team")
}
