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

// callTimeout bounds every call of the harness.
const callTimeout = 60 * time.Second

// kind is a kind of call.
type kind string

const (
	// kindStream is a streamed generation; kindWhole one that is held back
	// until it is complete.
	kindStream kind = "stream"
	kindWhole  kind = "whole"
	// kindTitle is an unstreamed generation.
	kindTitle  kind = "title"
	kindLookup kind = "lookup"
	kindOrder  kind = "order"
	// kindRepeat is an order sent through all hosts at once.
	kindRepeat kind = "repeat"
	// kindOther is a call that a script wrote itself.
	kindOther kind = "other"
)

// result says how a call ended, as its caller sees it.
type result string

const (
	// complete is a whole answer to the caller's own request.
	complete result = "complete"
	// refused is a problem document instead of an answer.
	refused result = "refused"
	// typedEnd is a stream that ended with a problem document.
	typedEnd result = "typed end"
	// cut is an answer without its end.
	cut result = "cut off"
	// wrong is an answer that contradicts itself or belongs to another request.
	wrong result = "wrong"
	// unreachable is a refused connection: the request was not sent.
	unreachable result = "unreachable"
)

// problem is the problem document of a refusal.
type problem struct {
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail"`
	Verdict   string `json:"verdict"`
	RequestID string `json:"request_id"`
}

// event is one event of a stream with a token.
type event struct {
	id         string
	generation string
	text       string
}

// record is what a caller knows about one call.
type record struct {
	kind       kind
	host       string
	requestID  string
	key        string
	start, end time.Time
	status     int
	result     result
	problem    problem
	// detail explains a result other than complete.
	detail string
	// generation is the engine's generation that answered.
	generation string
	// delivered is the number of tokens that reached the caller.
	delivered int
	// resumed says that the request id differs from the one that started the generation.
	resumed bool
	body    []byte
}

func (r *record) String() string {
	return fmt.Sprintf("%s %s via %s at %s: %s (status %d, %s %s, %d tokens) %s", r.kind, r.requestID, r.host,
		r.start.Format(clock), r.result, r.status, r.problem.Title, r.problem.Verdict, r.delivered, r.detail)
}

// callLog collects the records of all callers of a script.
type callLog struct {
	mu      sync.Mutex
	records []*record
	// killed holds when entry hosts were killed.
	killed map[string][]time.Time
	// revisions are the highest revisions seen at ready entry hosts.
	revisions map[string]uint64
	reverted  []string
}

func (l *callLog) add(r *record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// excuse records that an entry host is about to be killed, so that the calls
// it is serving break.
func (l *callLog) excuse(host string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killed == nil {
		l.killed = map[string][]time.Time{}
	}
	l.killed[host] = append(l.killed[host], at)
}

// callSpec describes a call.
type callSpec struct {
	kind    kind
	method  string
	path    string
	class   string
	key     string
	headers map[string]string
	body    string
	// tokens is the wanted length of a generation; 0 for other calls.
	tokens int
	noKey  bool
}

func generationSpec(k kind, class string, tokens int) callSpec {
	path := "/v1/completions"
	if k != kindTitle {
		path = "/v1/chat/completions"
	}
	body := map[string]any{"model": model, "max_tokens": tokens, "stream": k != kindTitle}
	if k == kindTitle {
		body["prompt"] = "A title for this photo"
	} else {
		body["messages"] = []any{map[string]string{"role": "user", "content": "Caption the service"}}
	}
	raw, _ := json.Marshal(body) // maps of plain values always marshal
	return callSpec{kind: k, method: http.MethodPost, path: path, class: class, body: string(raw), tokens: tokens}
}

// newClient returns a client that never repeats a request on its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}}
}

func (d *deployment) newRequest(ctx context.Context, p *process, s callSpec, id string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, s.method, p.url()+s.path, strings.NewReader(s.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send the body a second time.
	r.GetBody = nil
	if s.body == "" {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	if !s.noKey {
		r.Header.Set("Authorization", "Bearer "+d.teamKey)
	}
	r.Header.Set("X-Request-Id", id)
	for name, value := range map[string]string{"Monsoonkeel-Class": s.class, "Idempotency-Key": s.key} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	for name, value := range s.headers {
		r.Header.Set(name, value)
	}
	return r, nil
}

// call makes one call and judges its answer. The record is logged.
func (d *deployment) call(ctx context.Context, client *http.Client, p *process, s callSpec) *record {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rec := &record{kind: s.kind, host: p.name, requestID: uuid.NewString(), key: s.key, start: time.Now()}
	defer func() {
		rec.end = time.Now()
		if rec.result != unreachable {
			d.log.add(rec)
		}
	}()
	r, err := d.newRequest(ctx, p, s, rec.requestID)
	if err != nil {
		rec.result, rec.detail = cut, err.Error()
		return rec
	}
	answer, err := client.Do(r)
	if err != nil {
		rec.transportError(err)
		return rec
	}
	defer func() { _ = answer.Body.Close() }()
	rec.status = answer.StatusCode
	if strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		events, end, err := readEvents(answer.Body, nil)
		rec.judgeStream(events, end, err, s.tokens)
		return rec
	}
	rec.body, err = io.ReadAll(answer.Body)
	if err != nil {
		rec.result, rec.detail = cut, err.Error()
		return rec
	}
	rec.judgeBody(s, answer.Header.Get("Content-Type"))
	return rec
}

func (r *record) transportError(err error) {
	r.result, r.detail = cut, err.Error()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED) {
		r.result = unreachable
	}
}

// judgeBody judges an answer that is no stream.
func (r *record) judgeBody(s callSpec, contentType string) {
	if r.status >= 400 {
		r.result = refused
		if !strings.HasPrefix(contentType, "application/problem+json") || json.Unmarshal(r.body, &r.problem) != nil || r.problem.Verdict == "" {
			r.result, r.detail = wrong, fmt.Sprintf("the refusal is no problem document: %s: %s", contentType, r.body)
		} else if r.problem.RequestID != "" && r.problem.RequestID != r.requestID {
			r.result, r.detail = wrong, "the refusal names another request"
		}
		return
	}
	r.result = complete
	switch s.kind {
	case kindTitle:
		r.judgeTitle(s.tokens)
	case kindLookup, kindOrder, kindRepeat:
		var echo struct {
			Body      string `json:"body"`
			Path      string `json:"path"`
			RequestID string `json:"request_id"`
		}
		own := s.kind == kindLookup || s.kind == kindOrder
		if err := json.Unmarshal(r.body, &echo); err != nil || echo.Body != s.body || own && echo.RequestID != r.requestID ||
			"/services/"+plainService+echo.Path != s.path {
			r.result, r.detail = wrong, fmt.Sprintf("the answer belongs to another request: %s", r.body)
		}
	}
}

func (r *record) judgeTitle(tokens int) {
	var answer struct {
		ID      string
		Choices []struct{ Text string }
		Usage   struct {
			Completion int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal(r.body, &answer); err != nil || len(answer.Choices) != 1 {
		r.result, r.detail = wrong, fmt.Sprintf("no answer: %s", r.body)
		return
	}
	var want strings.Builder
	for i := 1; i <= tokens; i++ {
		want.WriteString(standin.Token(answer.ID, i))
	}
	r.generation, r.delivered = answer.ID, answer.Usage.Completion
	if answer.Choices[0].Text != want.String() {
		r.result, r.detail = wrong, fmt.Sprintf("the text is not that of generation %s", answer.ID)
	}
}

// streamEnd is how a stream ended.
type streamEnd struct {
	done    bool
	problem *problem
}

// readEvents reads a stream to its end and reports each token to seen.
func readEvents(body io.Reader, seen func(event)) ([]event, streamEnd, error) {
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
				return events, end, errors.New("an event follows the end of the stream")
			}
			ev, err := parseEvent(id, name, data, &end)
			if err != nil {
				return events, end, err
			}
			if ev != nil {
				events = append(events, *ev)
				if seen != nil {
					seen(*ev)
				}
			}
			id, name, data = "", "", nil
		}
	}
}

// parseEvent returns an event with a token, or nil and notes the end.
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
		return nil, fmt.Errorf("event %s is no token: %s", id, data)
	}
	return &event{id: id, generation: chunk.ID, text: chunk.Choices[0].Text + chunk.Choices[0].Delta.Content}, nil
}

// judgeStream judges a stream's events and end.
func (r *record) judgeStream(events []event, end streamEnd, err error, tokens int) {
	r.delivered = len(events)
	if len(events) > 0 {
		r.generation = events[0].generation
	}
	if fault := checkTokens(events); fault != "" {
		r.result, r.detail = wrong, fault
		return
	}
	switch {
	case err != nil:
		r.result, r.detail = cut, err.Error()
	case end.problem != nil:
		r.result, r.problem, r.detail = typedEnd, *end.problem, end.problem.Detail
		if end.problem.Verdict == "" {
			r.result, r.detail = wrong, "the error event has no verdict"
		}
	case !end.done:
		r.result, r.detail = cut, "the stream has no end marker"
	case tokens > 0 && len(events) != tokens:
		r.result, r.detail = wrong, fmt.Sprintf("%d tokens instead of %d before the end marker", len(events), tokens)
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
			return fmt.Sprintf("event %d is of generation %s, the first one of %s", i+1, ev.generation, events[0].generation)
		case ev.text != standin.Token(ev.generation, offset):
			return fmt.Sprintf("event %d has the text %q, which is not that of generation %s", i+1, ev.text, ev.generation)
		}
	}
	return ""
}

// cmdRequest makes one call: request HOST METHOD PATH [BODY].
func cmdRequest(d *deployment, args []string) (string, error) {
	fs := flags("request")
	s := callSpec{kind: kindOther, headers: map[string]string{}}
	fs.StringVar(&s.class, "class", "", "class")
	fs.StringVar(&s.key, "key", "", "idempotency key")
	fs.BoolVar(&s.noKey, "no-team", false, "send no team key")
	size := fs.Int("body-bytes", 0, "send a body of this many bytes")
	as := fs.String("as", "", "make the call in the background under this name")
	fs.Func("header", "Name: value", func(text string) error {
		name, value, ok := strings.Cut(text, ": ")
		if !ok {
			return fmt.Errorf("%q is no header", text)
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
	background := make(chan *record, 1)
	d.requests[*as] = background
	go func() { background <- d.call(context.Background(), newClient(), p, s) }()
	return "", nil
}

// cmdAwait waits for a call in the background and prints it as request does.
func cmdAwait(d *deployment, args []string) (string, error) {
	if len(args) != 1 || d.requests[args[0]] == nil {
		return "", fmt.Errorf("usage: await NAME, with the name of a request")
	}
	return (<-d.requests[args[0]]).report()
}

// report describes the call for the script.
func (r *record) report() (string, error) {
	out := fmt.Sprintf("status %d\nresult %s\nverdict %s\ncode %s\nbody %s\n", r.status, r.result, r.problem.Verdict, r.problem.Title, r.body)
	if r.result == cut || r.result == unreachable || r.result == wrong {
		return out, errors.New(r.String())
	}
	return out, nil
}

// stream is a streamed generation in the background.
type stream struct {
	cancel context.CancelFunc
	done   chan struct{}
	rec    *record

	mu sync.Mutex
	// events include those of the stream that this one resumes.
	events []event
	end    streamEnd
	err    error
}

// cmdStream starts a streamed generation: stream NAME HOST.
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
	s.rec = &record{kind: kindStream, host: p.name, requestID: uuid.NewString(), start: time.Now(), resumed: *resume != ""}
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
	answer, err := newClient().Do(r)
	if err != nil {
		s.err = err
		return
	}
	defer func() { _ = answer.Body.Close() }()
	s.rec.status = answer.StatusCode
	if answer.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(answer.Body)
		s.end.problem = &problem{}
		if err := json.Unmarshal(raw, s.end.problem); err != nil {
			s.err = fmt.Errorf("status %d: %s", answer.StatusCode, raw)
		}
		return
	}
	_, end, err := readEvents(answer.Body, func(ev event) {
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

// cmdHangUp closes the caller's connection of a stream: hang-up NAME.
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
// tokens arrived; NAME complete N, NAME error CODE and NAME cut wait for its
// end. The tokens must be in order and of one generation in all cases.
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
	s.rec.judgeStream(s.events, s.end, s.err, number)
	out := s.rec.String() + "\n"
	ok := false
	switch args[1] {
	case "complete":
		ok = s.rec.result == complete
	case "error":
		ok = s.rec.result == typedEnd && len(args) == 3 && s.rec.problem.Title == args[2]
	case "cut":
		ok = s.rec.result == cut
	}
	if !ok {
		return out, errors.New(s.rec.String())
	}
	return out, nil
}
