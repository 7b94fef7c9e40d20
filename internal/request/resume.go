package request

import (
	"strconv"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/request/gentoken"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// serveResume serves GET /v1/generations/<token>.
func (c *call) serveResume(token string) error {
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
	if eventToken, _, err := gentoken.SplitEventID(last); err != nil || eventToken != token {
		return newEventIDError()
	}
	return c.resume(last)
}

// resume resumes an existing generation after the last event that the caller received.
func (c *call) resume(eventID string) error {
	token, offset, err := gentoken.SplitEventID(eventID)
	if err != nil {
		return newEventIDError()
	}
	id, err := c.g.GenerationTokens.Decode(c.team.Name, token)
	if err != nil {
		return newEventIDError()
	}
	if err := c.applyTimeout(); err != nil {
		return err
	}
	if err := c.acquireTeamSlot(); err != nil {
		return err
	}
	c.maybeSent = true
	gen := newGeneration(c, "", nil, true)
	gen.resumed = true
	gen.id, gen.token, gen.offset, gen.resumeOffset = id.ID, token, offset, offset
	if err := gen.locate(id); err != nil {
		return err
	}
	if err := gen.reattach(errGenerationLost, 0); err != nil {
		if c.ctx.Err() != nil {
			return c.contextError()
		}
		return err
	}
	return gen.stream()
}

// locate looks up the backend server, service and class of the generation.
func (gen *generation) locate(id gentoken.Generation) error {
	c := gen.c
	snap := c.snapshot
	c.service, _ = snap.Service(id.Service)
	if c.service == nil {
		c.service = &version.Service{Service: config.Service{Name: id.Service}}
	}
	c.class = snap.Document.Classes[id.Class]
	c.outcome.Service, c.outcome.Class, c.outcome.Backend = id.Service, id.Class, id.Backend
	host, ok := snap.BackendHost(id.Backend)
	if !ok {
		return gen.lostError(errGenerationLost)
	}
	// The incarnation is checked against the engine's response, since the host list may
	// lag behind.
	gen.host, gen.incarnation = host, id.Incarnation
	return nil
}

func newEventIDError() error {
	return verdict.New(verdict.NotRun, 400, "bad_event_id", "the event id is invalid or was not issued to this team")
}
