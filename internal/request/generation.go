package request

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/placement"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/request/gentoken"
	"monsoonkeel.example/monsoonkeel/internal/request/sse"
)

const (
	// stallTimeout is how long an engine's stream may be silent before the
	// host asks for it again on a new connection.
	stallTimeout = 5 * time.Second
	// streamHeadTimeout bounds the wait for the head of a streamed answer, which
	// engines send when they accept a request.
	streamHeadTimeout = 10 * time.Second
	// wholeHeadTimeout bounds an unstreamed answer, whose head comes with its
	// end: tens of thousands of tokens at 52 ms take about half an hour.
	wholeHeadTimeout = time.Hour
	// maxResumes bounds the attempts to resume without a new token.
	maxResumes = 3
	// resumeBackoff is the pause before a repeated attempt to resume.
	resumeBackoff = 100 * time.Millisecond
	// controlTimeout bounds cancel calls to engines.
	controlTimeout = 2 * time.Second
	// maxCancels and cancelPause, doubled each time, give an engine 1.5 s to
	// notice a closed connection.
	maxCancels  = 5
	cancelPause = 50 * time.Millisecond
)

// errProtocol means that an engine's event does not belong to the generation
// or does not continue it.
var errProtocol = errors.New("the engine sent an event of another generation or offset")

// errGenerationLost means that the engine no longer has the generation.
var errGenerationLost = errors.New("the engine no longer has the generation")

// generation is a generation at an engine, as one call sees it.
type generation struct {
	c        *call
	path     string
	body     []byte
	streamed bool
	work     work

	id    string
	token string
	host  platform.Host
	// incarnation is the engine process that runs the generation. The host
	// list may still name an older one.
	incarnation string
	place       *placement.Reservation
	ex          *connection.Exchange
	// events reads ex's body.
	events *sse.Reader
	// offset is the number of tokens accepted so far.
	offset int
	// finished says that a finish reason was seen.
	finished bool
	// delivered says that a part of the answer was handed to the caller, so
	// that no other generation may continue it.
	delivered bool
	// resumed says that the caller asked for an existing generation.
	resumed bool
	// runs counts generations started for this call.
	runs     int
	tried    []string
	failedAt []failedRun
}

func newGeneration(c *call, path string, body []byte, stream bool) *generation {
	return &generation{c: c, path: path, body: body, streamed: stream}
}

// start places the request and sends it, trying other backend servers within
// the retry budget while nothing was delivered.
func (gen *generation) start() error {
	gen.c.g.RetryBudget.RecordFirstAttempt(gen.c.g.Now())
	return gen.startAnew()
}

func (gen *generation) startAnew() error {
	var failure error
	for {
		err := gen.attempt()
		var rejected *rejection
		switch {
		case err == nil || errors.As(err, &rejected):
			return err
		case gen.place == nil && failure != nil && verdict.From(err).Code == codeNoCapacity:
			// The caller learns more from why the last run failed.
			return failure
		case gen.place == nil:
			return err
		}
		failure = err
		gen.abandon()
		if !gen.c.mayRetry(gen.runs) {
			return err
		}
	}
}

// attempt sends the request to one backend server under a new generation id.
func (gen *generation) attempt() error {
	p, err := gen.c.place(gen.work, gen.tried)
	if err != nil {
		gen.place = nil
		return err
	}
	gen.place, gen.host, gen.incarnation = p, p.Host, p.Incarnation()
	gen.runs++
	gen.offset, gen.finished = 0, false
	gen.id = gen.c.g.NewID()
	gen.token = gen.c.g.GenerationTokens.Encode(gen.c.team.Name, gentoken.Generation{
		Service: gen.c.service.Name, Backend: gen.host.ID, Incarnation: gen.incarnation, ID: gen.id, Class: gen.c.class.Name,
	})
	gen.c.out.Backend = gen.host.ID
	gen.c.out.Attempts = gen.runs
	return gen.send()
}

func (gen *generation) send() error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	gen.c.requestTo(req, gen.host.Address)
	req.Header.SetMethod("POST")
	req.SetRequestURI(gen.path)
	req.Header.SetContentType("application/json")
	req.Header.Set(headerGenerationID, gen.id)
	req.Header.Set(headerPriority, strconv.Itoa(gen.c.class.Priority))
	req.SetBodyRaw(gen.body)
	options := gen.c.sendOptions(gen.place, false)
	options.ResponseHeaderTimeout = streamHeadTimeout
	if !gen.streamed {
		options.ResponseHeaderTimeout = wholeHeadTimeout
	}
	ex, err := gen.c.g.Pool.Do(gen.c.ctx, gen.host.Address, req, options)
	if err != nil {
		return gen.sendFailed(err)
	}
	gen.c.attempted = true
	return gen.accept(ex)
}

func (gen *generation) sendFailed(err error) error {
	gen.c.noteSendFailure(gen.place, err)
	if gen.c.ctx.Err() != nil {
		return gen.c.interrupted()
	}
	return err
}

// accept checks the head of the engine's answer and takes over the exchange.
func (gen *generation) accept(ex *connection.Exchange) error {
	status := ex.Response.StatusCode()
	if status >= 400 && status < 500 && status != 408 && status != 409 && status != 429 {
		return newRejection(ex)
	}
	if status != 200 {
		ex.Finish(false)
		if status == fasthttp.StatusInternalServerError {
			gen.failedAt = append(gen.failedAt, failedRun{gen.host.ID, gen.incarnation})
		}
		return gen.c.failure(502, "backend_refused", "the backend server answered %d", status)
	}
	if err := gen.checkIdentity(ex); err != nil {
		ex.Finish(false)
		return verdict.Wrap(err, verdict.MayHaveRun, 502, "backend_protocol", "the answer does not belong to the request")
	}
	gen.ex, gen.events = ex, sse.NewReader(ex.Body())
	gen.reportFailed()
	return nil
}

// failedRun is a backend server that answered a request with status 500.
type failedRun struct{ backend, incarnation string }

// reportFailed reports the backend servers that failed a request which another
// one accepts. A request that fails everywhere says nothing about them.
func (gen *generation) reportFailed() {
	for _, f := range gen.failedAt {
		gen.c.g.ColdStarts.RequestFailed(f.backend, f.incarnation)
	}
	gen.failedAt = nil
}

// checkIdentity refuses an answer of another generation, and of another process
// than the one whose incarnation the event ids will name.
func (gen *generation) checkIdentity(ex *connection.Exchange) error {
	h := &ex.Response.Header
	if id := h.Peek(headerGenerationID); len(id) > 0 && string(id) != gen.id {
		return errProtocol
	}
	if seen := string(h.Peek(headerIncarnation)); seen != "" && seen != gen.incarnation {
		gen.c.g.ColdStarts.IncarnationMismatch(gen.host.ID, gen.incarnation, seen)
		return errGenerationLost
	}
	return nil
}

// eventKind says what an event of an engine means for the relay.
type eventKind int

const (
	// eventToken continues the generation by one offset.
	eventToken eventKind = iota
	// eventExtra follows the last token, such as usage figures.
	eventExtra
	// eventDone is the end marker.
	eventDone
	// eventRepeated was relayed before.
	eventRepeated
)

// next returns the next event of the generation. It resumes at the engine
// after a broken connection and starts anew if the engine lost the generation
// before anything was delivered.
func (gen *generation) next() (sse.Event, eventKind, error) {
	resumes := 0
	for {
		ev, err := gen.read()
		if err == nil {
			var kind eventKind
			if kind, err = gen.check(ev); err == nil {
				if kind == eventRepeated {
					continue
				}
				return ev, kind, nil
			}
		}
		if gen.c.ctx.Err() == nil {
			err = gen.recover(err, resumes)
		}
		if gen.c.ctx.Err() != nil {
			err = gen.c.interrupted()
		}
		if err != nil {
			return sse.Event{}, 0, err
		}
		resumes++
	}
}

func (gen *generation) read() (sse.Event, error) {
	if !gen.events.HasEvent() {
		gen.ex.SetReadDeadline(time.Now().Add(stallTimeout))
		if err := gen.c.ctx.Err(); err != nil {
			return sse.Event{}, err
		}
	}
	return gen.events.Next()
}

// check decides whether an event continues the generation.
func (gen *generation) check(ev sse.Event) (eventKind, error) {
	if bytes.Equal(ev.Data, []byte("[DONE]")) {
		if !gen.finished && !gen.resumed {
			return 0, errProtocol
		}
		return eventDone, nil
	}
	if string(ev.Name) == "error" {
		return 0, fmt.Errorf("engine error: %s", ev.Data)
	}
	if len(ev.ID) == 0 && (gen.finished || gen.resumed) {
		return eventExtra, nil
	}
	id, offset, ok := splitEngineEventID(ev.ID)
	if !ok || id != gen.id || offset > gen.offset+1 {
		return 0, errProtocol
	}
	if offset <= gen.offset {
		return eventRepeated, nil
	}
	gen.offset = offset
	if gen.place != nil {
		gen.place.RecordTokens(offset)
	}
	gen.finished = gen.finished || hasFinishReason(ev.Data)
	return eventToken, nil
}

// hasFinishReason says whether a chunk is the last one of a choice; earlier ones
// carry a null finish_reason. It is asked for each token, so it does not parse.
func hasFinishReason(chunk []byte) bool {
	_, rest, found := bytes.Cut(chunk, []byte(`"finish_reason":`))
	return found && bytes.HasPrefix(bytes.TrimLeft(rest, " \t\n\r"), []byte(`"`))
}

func splitEngineEventID(id []byte) (string, int, bool) {
	at := bytes.LastIndexByte(id, ':')
	if at < 0 {
		return "", 0, false
	}
	offset, err := strconv.Atoi(string(id[at+1:]))
	return string(id[:at]), offset, err == nil
}

// requestTo sets the headers that every request to a backend server carries.
func (c *call) requestTo(req *fasthttp.Request, address string) {
	req.Header.SetHost(address)
	req.Header.Set(headerRequestID, c.out.RequestID)
	if ms := c.remainingMS(); ms > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(ms, 10))
	}
}
