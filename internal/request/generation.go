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
	// defaultStallTimeout is the time without a new event of an engine's stream after which the
	// host asks to resume it on a new connection.
	defaultStallTimeout = 5 * time.Second
	// streamHeaderTimeout bounds the wait for the headers of a streamed response, which
	// engines send when they accept a request.
	streamHeaderTimeout = 10 * time.Second
	// unstreamedHeaderTimeout bounds the wait for the headers of an unstreamed response,
	// which arrive when the generation is complete: tens of thousands of tokens at 52 ms
	// take about half an hour.
	unstreamedHeaderTimeout = time.Hour
	// defaultBodyTimeout bounds the time in which the body of an unstreamed response or of a
	// rejection arrives after its headers.
	defaultBodyTimeout = 30 * time.Second
	// maxGenerationTokens is the maximum number of tokens of a generation, over ten times
	// the longest expected output.
	maxGenerationTokens = 1 << 20
	// maxTrailingEvents is the maximum number of events without an id of a generation; an
	// engine sends one, with usage data.
	maxTrailingEvents = 16
	// maxResumes is the maximum number of times that a generation is resumed without a new token.
	maxResumes = 3
	// resumeBackoff is the base of the exponential backoff between attempts to resume, which is
	// maxResumeBackoff at most.
	resumeBackoff    = 100 * time.Millisecond
	maxResumeBackoff = time.Second
	// closedPortTimeout is how long an engine that refuses connections is asked to resume a generation: its
	// process has ended, or replaces its listener.
	closedPortTimeout = 3 * time.Second
	// restartDelay is the time after which a generation of which nothing was delivered is started anew
	// elsewhere instead of resumed; three attempts to resume take 600 ms.
	restartDelay = 700 * time.Millisecond
	// maxRefusalWait bounds the time for which a caller waits for an engine that refuses requests; streams
	// that wait longer are ended with a time to return.
	maxRefusalWait = 30 * time.Second
	// cancelTimeout bounds one cancel call to an engine.
	cancelTimeout = 2 * time.Second
	// maxCancelWait bounds the time for which a cancellation waits for an engine that refuses requests or
	// does not respond. It is above the longest time that one refusal may take, 10 min.
	maxCancelWait = 15 * time.Minute
	// minGraceAfterRefusal is the least time for which a generation without a reader is kept after a refusal:
	// hosts return after random delays of up to 1 s, and Retry-After has whole seconds.
	minGraceAfterRefusal = 2 * time.Second
	// maxCancelAttempts and cancelBackoff, which doubles with each attempt, give an
	// engine 1.5 s to detect a closed connection. They are made again after cancelRetryInterval while
	// the engine fails or does not respond.
	maxCancelAttempts   = 5
	cancelBackoff       = 50 * time.Millisecond
	cancelRetryInterval = 2 * time.Second
)

// errProtocol is returned for a response or an event of another generation, for an event
// that does not follow the previous one, for too many repeated or trailing events or tokens,
// for an end marker without a finish reason, and for an unstreamed response that is not valid
// JSON.
var errProtocol = errors.New("the engine's response is malformed or belongs to another generation")

// errGenerationLost is returned when the engine no longer has the generation.
var errGenerationLost = errors.New("the engine no longer has the generation")

// generation tracks the generation of one call: its current attempt and the engine
// that runs it.
type generation struct {
	c        *call
	path     string
	body     []byte
	streamed bool
	workload workload

	id    string
	token string
	host  platform.Host
	// incarnation identifies the engine process that runs the generation. The host
	// list may lag behind and name an older one.
	incarnation string
	reservation *placement.Reservation
	exchange    *connection.Exchange
	// events parses the body of exchange.
	events *sse.Reader
	// offset is the number of tokens accepted so far.
	offset int
	// repeated is the number of events in a row that were already accepted.
	repeated int
	// trailing is the number of events without an id.
	trailing int
	// finished is set once an event has carried a finish reason.
	finished bool
	// delivered is set once a part of the response was delivered to the caller. After
	// that no other generation may continue the response.
	delivered bool
	// resumed is set when the caller resumes an existing generation, after resumeOffset tokens.
	resumed      bool
	resumeOffset int
	// attempts is the number of generations started for this call.
	attempts int
	// refused is set if the engine of the last attempt refuses requests for a time.
	refused           bool
	attemptedBackends []string
	failedAttempts    []failedAttempt
}

func newGeneration(c *call, path string, body []byte, stream bool) *generation {
	return &generation{c: c, path: path, body: body, streamed: stream}
}

// start counts the request's first attempt for the retry budget and sends the request to a
// backend server. If that fails, it retries at other servers within the budget.
func (gen *generation) start() error {
	gen.c.g.RetryBudget.RecordFirstAttempt(gen.c.g.Now())
	return gen.startAttempts()
}

func (gen *generation) startAttempts() error {
	var failure error
	for {
		err := gen.attempt()
		var rejected *rejection
		switch {
		case err == nil || errors.As(err, &rejected):
			return err
		case gen.reservation == nil && failure != nil && verdict.From(err).Code == codeNoCapacity:
			// The failure of the last attempt is more specific than a lack of capacity.
			return failure
		case gen.reservation == nil:
			return err
		}
		failure = err
		gen.abandon()
		if !gen.c.acquireRetry(gen.attempts) {
			return err
		}
	}
}

// attempt sends the request to one backend server with a new generation id. Without a
// reservation, gen.reservation is nil.
func (gen *generation) attempt() error {
	if err := gen.c.checkPrompt(); err != nil {
		gen.reservation = nil
		return err
	}
	reservation, err := gen.c.acquire(gen.workload, gen.attemptedBackends)
	if err != nil {
		gen.reservation = nil
		return err
	}
	// The evidence may have become known during the wait.
	if err := gen.c.checkPrompt(); err != nil {
		reservation.Release(false)
		gen.reservation = nil
		return err
	}
	gen.reservation, gen.host, gen.incarnation = reservation, reservation.Host, reservation.Incarnation()
	gen.attempts++
	gen.refused = false
	gen.offset, gen.trailing, gen.finished = 0, 0, false
	gen.id = gen.c.g.NewID()
	gen.token = gen.c.g.GenerationTokens.Encode(gen.c.team.Name, gentoken.Generation{
		Service: gen.c.service.Name, Backend: gen.host.ID, Incarnation: gen.incarnation, ID: gen.id, Class: gen.c.class.Name,
	})
	gen.c.outcome.Backend = gen.host.ID
	gen.c.outcome.Attempts = gen.attempts
	return gen.send()
}

func (gen *generation) send() error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	gen.c.setRequestHeaders(req, gen.host.Address)
	req.Header.SetMethod("POST")
	req.SetRequestURI(gen.path)
	req.Header.SetContentType("application/json")
	req.Header.Set(headerGenerationID, gen.id)
	req.Header.Set(headerPriority, strconv.Itoa(gen.c.class.Priority))
	req.SetBodyRaw(gen.body)
	options := gen.c.sendOptions(gen.reservation, false)
	options.IDHeader = headerGenerationID
	options.ResponseHeaderTimeout = streamHeaderTimeout
	if !gen.streamed {
		options.ResponseHeaderTimeout = unstreamedHeaderTimeout
	}
	sentAt := gen.c.g.Now()
	ex, err := gen.c.g.Pool.Do(gen.c.ctx, gen.host.Address, req, options)
	if err != nil {
		return gen.handleSendError(err)
	}
	gen.c.maybeSent = true
	gen.refused = gen.c.observeAnswer(gen.reservation, &ex.Response.Header, sentAt)
	return gen.acceptResponse(ex)
}

func (gen *generation) handleSendError(err error) error {
	gen.c.reportSendFailure(gen.reservation, err)
	gen.recordBrokenAnswer(err)
	if gen.c.ctx.Err() != nil {
		return gen.c.contextError()
	}
	return err
}

// acceptResponse checks the status and headers of the engine's response and stores the
// exchange.
func (gen *generation) acceptResponse(ex *connection.Exchange) error {
	if err := gen.checkID(ex); err != nil {
		ex.Finish(false)
		return verdict.Wrap(err, verdict.MayHaveRun, 502, "backend_protocol", "the response does not belong to the request")
	}
	status := ex.Response.StatusCode()
	if status >= 400 && status < 500 && status != 408 && status != 409 && status != 429 {
		return gen.readRejection(ex)
	}
	if status != 200 {
		ex.Finish(false)
		if status == fasthttp.StatusInternalServerError {
			gen.failedAttempts = append(gen.failedAttempts, failedAttempt{gen.host.ID, gen.incarnation})
		}
		return gen.c.newError(502, "backend_refused", "the backend server responded with status %d", status)
	}
	if err := gen.checkIncarnation(ex); err != nil {
		ex.Finish(false)
		return verdict.Wrap(err, verdict.MayHaveRun, 502, "backend_protocol", "the response does not belong to the request")
	}
	gen.setExchange(ex)
	gen.reportFailedAttempts()
	return nil
}

// setExchange makes an exchange the one whose events are read.
func (gen *generation) setExchange(ex *connection.Exchange) {
	gen.exchange, gen.events, gen.repeated = ex, sse.NewReader(ex.Body()), 0
}

// failedAttempt identifies a backend server that responded with status 500.
type failedAttempt struct{ backend, incarnation string }

// reportFailedAttempts reports the backend servers that failed a request which another
// one accepted. Servers are not reported for a request that fails everywhere, since the
// request itself may be the cause.
func (gen *generation) reportFailedAttempts() {
	for _, f := range gen.failedAttempts {
		gen.c.g.ColdStarts.RequestFailed(f.backend, f.incarnation)
	}
	gen.failedAttempts = nil
}

// checkID rejects a response from another generation.
func (gen *generation) checkID(ex *connection.Exchange) error {
	if id := ex.Response.Header.Peek(headerGenerationID); len(id) > 0 && string(id) != gen.id {
		return errProtocol
	}
	return nil
}

// checkIncarnation rejects a response from another incarnation than the one encoded in the
// event ids.
func (gen *generation) checkIncarnation(ex *connection.Exchange) error {
	if seen := string(ex.Response.Header.Peek(headerIncarnation)); seen != "" && seen != gen.incarnation {
		gen.c.g.ColdStarts.IncarnationMismatch(gen.host.ID, gen.incarnation, seen)
		return errGenerationLost
	}
	return nil
}

// eventKind classifies the events of an engine's stream.
type eventKind int

const (
	// eventToken is the next token of the generation.
	eventToken eventKind = iota
	// eventTrailing is an event without an id after the last token, such as usage data.
	eventTrailing
	// eventDone is the end marker.
	eventDone
	// eventDuplicate is an event that was already relayed.
	eventDuplicate
)

// next returns the next event of the generation. It resumes the stream after a broken
// connection, or when the engine accepts that during a silence. If the engine lost the
// generation and nothing was delivered, it starts a new attempt.
func (gen *generation) next() (sse.Event, eventKind, error) {
	resumes := 0
	deadline := time.Now().Add(gen.c.g.stallTimeout())
	for {
		ev, err := gen.readEvent(deadline)
		if err == nil {
			var kind eventKind
			if kind, err = gen.checkEvent(ev); err == nil {
				if kind == eventDuplicate {
					continue
				}
				return ev, kind, nil
			}
		}
		switch {
		case gen.c.ctx.Err() != nil:
		case err == errResumed && resumes < maxResumes:
			err = nil
		default:
			err = gen.recoverStream(err, resumes)
		}
		if gen.c.ctx.Err() != nil {
			err = gen.c.contextError()
		}
		if err != nil {
			return sse.Event{}, 0, err
		}
		resumes++
		deadline = time.Now().Add(gen.c.g.stallTimeout())
	}
}

// checkEvent validates the generation id and offset of an event and classifies it.
func (gen *generation) checkEvent(ev sse.Event) (eventKind, error) {
	if bytes.Equal(ev.Data, []byte("[DONE]")) {
		if !gen.mayBeFinished() {
			return 0, errProtocol
		}
		gen.c.prompt.RecordAnswer()
		return eventDone, nil
	}
	if string(ev.Name) == "error" {
		return 0, fmt.Errorf("engine error: %s", ev.Data)
	}
	if len(ev.ID) == 0 && gen.mayBeFinished() {
		if gen.trailing++; gen.trailing > maxTrailingEvents {
			return 0, errProtocol
		}
		return eventTrailing, nil
	}
	id, offset, ok := splitEngineEventID(ev.ID)
	if !ok || id != gen.id || offset > gen.offset+1 || offset > maxGenerationTokens {
		return 0, errProtocol
	}
	if offset <= gen.offset {
		// An engine may repeat each event, or after a resume all earlier ones.
		if gen.repeated++; gen.repeated > gen.offset {
			return 0, errProtocol
		}
		return eventDuplicate, nil
	}
	gen.offset, gen.repeated = offset, 0
	if offset == begunTokens {
		gen.c.prompt.RecordAnswer()
	}
	if gen.reservation != nil {
		gen.reservation.RecordTokens(offset)
	}
	gen.finished = gen.finished || hasFinishReason(ev.Data)
	return eventToken, nil
}

// mayBeFinished reports whether the last token may have been accepted. A caller that resumes
// may have received the finish reason before, which the engine does not repeat.
func (gen *generation) mayBeFinished() bool {
	return gen.finished || gen.resumed && gen.offset == gen.resumeOffset
}

// hasFinishReason reports whether a chunk is the last one of a choice; earlier chunks
// carry a null finish_reason. It runs for every token, so it searches the bytes instead
// of parsing the JSON.
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

// setRequestHeaders sets the headers common to all requests to backend servers: Host,
// request id and remaining time.
func (c *call) setRequestHeaders(req *fasthttp.Request, address string) {
	req.Header.SetHost(address)
	req.Header.Set(headerRequestID, c.outcome.RequestID)
	if ms := c.remainingMS(); ms > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(ms, 10))
	}
}
