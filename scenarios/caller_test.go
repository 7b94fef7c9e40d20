package scenarios

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"

	"monsoonkeel.example/monsoonkeel/internal/standin"
)

// callTimeout limits every call of the harness.
const callTimeout = 60 * time.Second

// kind is a kind of call; scripts use the values in load -kinds.
type kind string

const (
	// kindStream is a streamed generation; kindBuffered is one that the entry host
	// buffers until it is complete.
	kindStream   kind = "stream"
	kindBuffered kind = "whole"
	// kindUnstreamed is a generation with a single JSON response.
	kindUnstreamed kind = "title"
	// kindLookup is an idempotent request to the plain service; kindOrder is an order.
	kindLookup kind = "lookup"
	kindOrder  kind = "order"
	// kindRepeated is an order that is sent through all ready hosts at once. Each
	// response may carry the request id of any of them.
	kindRepeated kind = "repeat"
	// kindOther is a call made by a request command.
	kindOther kind = "other"
)

// result is the outcome of a call as observed by its caller.
type result string

const (
	// complete is a complete response that matches the request.
	complete result = "complete"
	// refused is an error response with a problem document.
	refused result = "refused"
	// typedEnd is a stream that ended with an error event with a problem document.
	typedEnd result = "typed end"
	// cutOff is an incomplete response without an error document.
	cutOff result = "cut off"
	// mismatched is an inconsistent response or one that belongs to another request.
	mismatched result = "wrong"
	// unreachable is a refused connection: the request was not sent.
	unreachable result = "unreachable"
)

// problem is the problem document of an error response or error event.
type problem struct {
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail"`
	Verdict   string `json:"verdict"`
	RequestID string `json:"request_id"`
}

// event is a stream event with one token.
type event struct {
	id         string
	generation string
	text       string
}

// callRecord holds what a caller observed of one call.
type callRecord struct {
	kind           kind
	host           string
	requestID      string
	idempotencyKey string
	start, end     time.Time
	status         int
	result         result
	problem        problem
	// detail explains a result other than complete.
	detail string
	// generation is the id of the generation in the response.
	generation string
	// delivered is the number of tokens that the caller received.
	delivered int
	// resumed is set when the stream resumes another one, so that the generation
	// was started under a different request id.
	resumed bool
	body    []byte
}

func (r *callRecord) String() string {
	return fmt.Sprintf("%s %s via %s at %s: %s (status %d, %s %s, %d tokens) %s", r.kind, r.requestID, r.host,
		r.start.Format(timeFormat), r.result, r.status, r.problem.Title, r.problem.Verdict, r.delivered, r.detail)
}

// callLog holds the records of all callers of a script.
type callLog struct {
	mu      sync.Mutex
	records []*callRecord
	// killed holds the times at which entry hosts were killed.
	killed map[string][]time.Time
	// revisions are the highest configuration revisions of the ready entry hosts.
	revisions map[string]uint64
	reverted  []string
}

func (l *callLog) add(r *callRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// recordKill records the time at which an entry host is killed; the calls that
// it serves then may be cut off.
func (l *callLog) recordKill(host string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killed == nil {
		l.killed = map[string][]time.Time{}
	}
	l.killed[host] = append(l.killed[host], at)
}

// callSpec describes a request and the expected response.
type callSpec struct {
	kind           kind
	method         string
	path           string
	class          string
	idempotencyKey string
	headers        map[string]string
	body           string
	// tokens is the expected number of tokens of a generation; 0 for other calls.
	tokens    int
	noTeamKey bool
}

func generationSpec(k kind, class string, tokens int) callSpec {
	path := "/v1/completions"
	if k != kindUnstreamed {
		path = "/v1/chat/completions"
	}
	body := map[string]any{"model": model, "max_tokens": tokens, "stream": k != kindUnstreamed}
	if k == kindUnstreamed {
		body["prompt"] = "A title for this photo"
	} else {
		body["messages"] = []any{map[string]string{"role": "user", "content": "Caption the service"}}
	}
	raw, _ := json.Marshal(body) // maps of plain values always marshal
	return callSpec{kind: k, method: http.MethodPost, path: path, class: class, body: string(raw), tokens: tokens}
}

// newClient returns a client with its own connections. Its transport does not retry
// requests of newRequest that have a body.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}}
}

func (d *deployment) newRequest(ctx context.Context, p *process, s callSpec, id string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, s.method, p.url()+s.path, strings.NewReader(s.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot retry a request with a body.
	r.GetBody = nil
	if s.body == "" {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	if !s.noTeamKey {
		r.Header.Set("Authorization", "Bearer "+d.teamKey)
	}
	r.Header.Set("X-Request-Id", id)
	for name, value := range map[string]string{"Monsoonkeel-Class": s.class, "Idempotency-Key": s.idempotencyKey} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	for name, value := range s.headers {
		r.Header.Set(name, value)
	}
	return r, nil
}

// call makes one call and checks its response. The record is added to the log
// unless the connection was refused.
func (d *deployment) call(ctx context.Context, client *http.Client, p *process, s callSpec) *callRecord {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rec := &callRecord{kind: s.kind, host: p.name, requestID: uuid.NewString(), idempotencyKey: s.idempotencyKey, start: time.Now()}
	defer func() {
		rec.end = time.Now()
		if rec.result != unreachable {
			d.log.add(rec)
		}
	}()
	r, err := d.newRequest(ctx, p, s, rec.requestID)
	if err != nil {
		rec.result, rec.detail = cutOff, err.Error()
		return rec
	}
	response, err := client.Do(r)
	if err != nil {
		rec.transportError(err)
		return rec
	}
	defer func() { _ = response.Body.Close() }()
	rec.status = response.StatusCode
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		events, end, err := readEvents(response.Body, nil)
		rec.checkStream(events, end, err, s.tokens)
		return rec
	}
	rec.body, err = io.ReadAll(response.Body)
	if err != nil {
		rec.result, rec.detail = cutOff, err.Error()
		return rec
	}
	rec.checkBody(s, response.Header.Get("Content-Type"))
	return rec
}

func (r *callRecord) transportError(err error) {
	r.result, r.detail = cutOff, err.Error()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED) {
		r.result = unreachable
	}
}

// checkBody checks a response that is not a stream.
func (r *callRecord) checkBody(s callSpec, contentType string) {
	if r.status >= 400 {
		r.result = refused
		if !strings.HasPrefix(contentType, "application/problem+json") || json.Unmarshal(r.body, &r.problem) != nil || r.problem.Verdict == "" {
			r.result, r.detail = mismatched, fmt.Sprintf("the error response is not a problem document: %s: %s", contentType, r.body)
		} else if r.problem.RequestID != "" && r.problem.RequestID != r.requestID {
			r.result, r.detail = mismatched, "the problem document has the id of another request"
		}
		return
	}
	r.result = complete
	switch s.kind {
	case kindUnstreamed:
		r.checkCompletion(s.tokens)
	case kindLookup, kindOrder, kindRepeated:
		var echo struct {
			Body      string `json:"body"`
			Path      string `json:"path"`
			RequestID string `json:"request_id"`
		}
		hasOwnID := s.kind == kindLookup || s.kind == kindOrder
		if err := json.Unmarshal(r.body, &echo); err != nil || echo.Body != s.body || hasOwnID && echo.RequestID != r.requestID ||
			"/services/"+plainService+echo.Path != s.path {
			r.result, r.detail = mismatched, fmt.Sprintf("the response belongs to another request: %s", r.body)
		}
	}
}

func (r *callRecord) checkCompletion(tokens int) {
	var response struct {
		ID      string
		Choices []struct{ Text string }
		Usage   struct {
			Completion int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal(r.body, &response); err != nil || len(response.Choices) != 1 {
		r.result, r.detail = mismatched, fmt.Sprintf("the response is not a completion: %s", r.body)
		return
	}
	var want strings.Builder
	for i := 1; i <= tokens; i++ {
		want.WriteString(standin.Token(response.ID, i))
	}
	r.generation, r.delivered = response.ID, response.Usage.Completion
	if response.Choices[0].Text != want.String() {
		r.result, r.detail = mismatched, fmt.Sprintf("the text does not match generation %s", response.ID)
	}
}

// streamEnd tells how a stream ended: with the end marker, a problem document or neither.
type streamEnd struct {
	done    bool
	problem *problem
}

// readEvents reads a stream to its end and passes each token event to onToken,
// if that is not nil.
func readEvents(body io.Reader, onToken func(event)) ([]event, streamEnd, error) {
	var events []event
	var end streamEnd
	var id, name string
	var data []byte
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			if err == io.EOF {
				err = nil
			}
			return events, end, err
		}
		line = bytes.TrimRight(line, "\r\n")
		field, value, _ := bytes.Cut(line, []byte(": "))
		switch {
		case len(line) > 0 && string(field) == "id":
			id = string(value)
		case len(line) > 0 && string(field) == "event":
			name = string(value)
		case len(line) > 0 && string(field) == "data":
			data = append(data, value...)
		case len(line) == 0:
			if end.done || end.problem != nil {
				return events, end, errors.New("an event follows the end marker or error event")
			}
			ev, err := parseEvent(id, name, data, &end)
			if err != nil {
				return events, end, err
			}
			if ev != nil {
				events = append(events, *ev)
				if onToken != nil {
					onToken(*ev)
				}
			}
			id, name, data = "", "", nil
		}
	}
}

// parseEvent returns a token event, or nil for other events; the end marker and
// an error event are stored in end.
func parseEvent(id, name string, data []byte, end *streamEnd) (*event, error) {
	switch {
	case name == "error":
		end.problem = &problem{}
		return nil, json.Unmarshal(data, end.problem)
	case string(data) == "[DONE]":
		end.done = true
		return nil, nil
	case id == "":
		return nil, nil
	}
	var chunk struct {
		ID      string
		Choices []struct {
			Text  string
			Delta struct{ Content string }
		}
	}
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 {
		return nil, fmt.Errorf("event %s is not a token event: %s", id, data)
	}
	return &event{id: id, generation: chunk.ID, text: chunk.Choices[0].Text + chunk.Choices[0].Delta.Content}, nil
}

// checkStream checks the token events and the end of a stream; with tokens 0 any
// number of tokens is accepted.
func (r *callRecord) checkStream(events []event, end streamEnd, err error, tokens int) {
	r.delivered = len(events)
	if len(events) > 0 {
		r.generation = events[0].generation
	}
	if fault := checkTokens(events); fault != "" {
		r.result, r.detail = mismatched, fault
		return
	}
	switch {
	case err != nil:
		r.result, r.detail = cutOff, err.Error()
	case end.problem != nil:
		r.result, r.problem, r.detail = typedEnd, *end.problem, end.problem.Detail
		if end.problem.Verdict == "" {
			r.result, r.detail = mismatched, "the error event has no verdict"
		}
	case !end.done:
		r.result, r.detail = cutOff, "the stream has no end marker"
	case tokens > 0 && len(events) != tokens:
		r.result, r.detail = mismatched, fmt.Sprintf("%d tokens before the end marker, expected %d", len(events), tokens)
	default:
		r.result = complete
	}
}

// checkTokens describes the first token that is missing, repeated, out of
// order or from another generation.
func checkTokens(events []event) string {
	for i, ev := range events {
		at := strings.LastIndexByte(ev.id, ':')
		offset, err := strconv.Atoi(ev.id[at+1:])
		switch {
		case at < 0 || err != nil || offset != i+1:
			return fmt.Sprintf("event %d has the id %q", i+1, ev.id)
		case ev.id[:at] != events[0].id[:at] || ev.generation != events[0].generation:
			return fmt.Sprintf("event %d belongs to generation %s, the first event to %s", i+1, ev.generation, events[0].generation)
		case ev.text != standin.Token(ev.generation, offset):
			return fmt.Sprintf("event %d has the text %q, which does not match generation %s", i+1, ev.text, ev.generation)
		}
	}
	return ""
}

// cmdRequest makes one call: request HOST METHOD PATH [BODY].
func cmdRequest(d *deployment, args []string) (string, error) {
	fs := flags("request")
	s := callSpec{kind: kindOther, headers: map[string]string{}}
	fs.StringVar(&s.class, "class", "", "class")
	fs.StringVar(&s.idempotencyKey, "key", "", "idempotency key")
	fs.BoolVar(&s.noTeamKey, "no-team", false, "send no team key")
	size := fs.Int("body-bytes", 0, "send a body of this many bytes")
	as := fs.String("as", "", "make the call in the background under this name")
	fs.Func("header", "Name: value", func(text string) error {
		name, value, ok := strings.Cut(text, ": ")
		if !ok {
			return fmt.Errorf("header %q is not of the form Name: value", text)
		}
		s.headers[name] = value
		return nil
	})
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	if fs.NArg() < 3 || !strings.HasPrefix(fs.Arg(2), "/") {
		return "", fmt.Errorf("usage: request [FLAGS] HOST METHOD PATH [BODY]")
	}
	p, err := d.process(fs.Arg(0))
	if err != nil {
		return "", err
	}
	s.method, s.path, s.body = fs.Arg(1), fs.Arg(2), fs.Arg(3)
	if *size > 0 {
		s.body = strings.Repeat("x", *size)
	}
	if *as == "" {
		return d.call(context.Background(), newClient(), p, s).report()
	}
	background := make(chan *callRecord, 1)
	d.requests[*as] = background
	go func() { background <- d.call(context.Background(), newClient(), p, s) }()
	return "", nil
}

// cmdAwait waits for a background call and prints it like request: await NAME.
func cmdAwait(d *deployment, args []string) (string, error) {
	if len(args) != 1 || d.requests[args[0]] == nil {
		return "", fmt.Errorf("usage: await NAME, with the name of a request")
	}
	return (<-d.requests[args[0]]).report()
}

// report returns the output of a call for the script, and an error if the response
// was missing, incomplete or mismatched.
func (r *callRecord) report() (string, error) {
	out := fmt.Sprintf("status %d\nresult %s\nverdict %s\ncode %s\nbody %s\n", r.status, r.result, r.problem.Verdict, r.problem.Title, r.body)
	if r.result == cutOff || r.result == unreachable || r.result == mismatched {
		return out, errors.New(r.String())
	}
	return out, nil
}

// stream is a streamed generation that is read in the background.
type stream struct {
	cancel context.CancelFunc
	done   chan struct{}
	rec    *callRecord

	mu sync.Mutex
	// events includes the events of the stream that this one resumes.
	events []event
	end    streamEnd
	err    error
}

// cmdStream starts a streamed generation in the background: stream NAME HOST.
func cmdStream(d *deployment, args []string) (string, error) {
	fs := flags("stream")
	class := fs.String("class", "caption", "class")
	tokens := fs.Int("tokens", 50, "number of tokens")
	resume := fs.String("resume", "", "name of the stream to resume")
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	if fs.NArg() != 2 {
		return "", fmt.Errorf("usage: stream [FLAGS] NAME HOST")
	}
	p, err := d.process(fs.Arg(1))
	if err != nil {
		return "", err
	}
	if d.streams[fs.Arg(0)] != nil {
		return "", fmt.Errorf("stream %s exists", fs.Arg(0))
	}
	s := &stream{done: make(chan struct{})}
	spec := generationSpec(kindStream, *class, *tokens)
	if *resume != "" {
		before := d.streams[*resume]
		if before == nil {
			return "", fmt.Errorf("no stream %s", *resume)
		}
		<-before.done
		s.events = append(s.events, before.events...)
		if len(s.events) == 0 {
			return "", fmt.Errorf("stream %s has no event to resume after", *resume)
		}
		spec.headers = map[string]string{"Last-Event-ID": s.events[len(s.events)-1].id}
	}
	d.streams[fs.Arg(0)] = s
	s.rec = &callRecord{kind: kindStream, host: p.name, requestID: uuid.NewString(), start: time.Now(), resumed: *resume != ""}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	s.cancel = cancel
	r, err := d.newRequest(ctx, p, spec, s.rec.requestID)
	if err != nil {
		return "", err
	}
	go func() {
		defer close(s.done)
		defer cancel()
		s.run(r)
		s.rec.end = time.Now()
	}()
	return "", nil
}

func (s *stream) run(r *http.Request) {
	response, err := newClient().Do(r)
	if err != nil {
		s.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	s.rec.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(response.Body)
		s.end.problem = &problem{}
		if err := json.Unmarshal(raw, s.end.problem); err != nil {
			s.err = fmt.Errorf("status %d: %s", response.StatusCode, raw)
		}
		return
	}
	_, end, err := readEvents(response.Body, func(ev event) {
		s.mu.Lock()
		s.events = append(s.events, ev)
		s.mu.Unlock()
	})
	s.end, s.err = end, err
}

func (s *stream) tokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events)
}

// cmdHangUp disconnects the caller of a stream and waits for its end: hang-up NAME.
func cmdHangUp(d *deployment, args []string) (string, error) {
	for _, name := range args {
		s := d.streams[name]
		if s == nil {
			return "", fmt.Errorf("no stream %s", name)
		}
		s.cancel()
		<-s.done
	}
	return "", nil
}

// cmdExpectStream checks a stream: expect-stream NAME tokens N waits until N
// tokens were received; NAME complete N, NAME error CODE and NAME cut wait for its
// end and require that the tokens are in order and of one generation.
func cmdExpectStream(d *deployment, args []string) (string, error) {
	if len(args) < 2 {
		return "", fmt.Errorf("usage: expect-stream NAME tokens N|complete N|error CODE|cut")
	}
	s := d.streams[args[0]]
	if s == nil {
		return "", fmt.Errorf("no stream %s", args[0])
	}
	number := 0
	if args[1] == "tokens" || args[1] == "complete" {
		if len(args) != 3 {
			return "", fmt.Errorf("%s needs a number", args[1])
		}
		var err error
		if number, err = strconv.Atoi(args[2]); err != nil {
			return "", err
		}
	}
	if args[1] == "tokens" {
		return "", waitFor(context.Background(), callTimeout, func() (bool, string) {
			return s.tokens() >= number, fmt.Sprint(s.tokens(), " tokens")
		})
	}
	<-s.done
	s.rec.checkStream(s.events, s.end, s.err, number)
	out := s.rec.String() + "\n"
	ok := false
	switch args[1] {
	case "complete":
		ok = s.rec.result == complete
	case "error":
		ok = s.rec.result == typedEnd && len(args) == 3 && s.rec.problem.Title == args[2]
	case "cut":
		ok = s.rec.result == cutOff
	}
	if !ok {
		return out, errors.New(s.rec.String())
	}
	return out, nil
}
