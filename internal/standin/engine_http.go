package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const (
	// defaultMaxTokens is the output length of a request without max_tokens.
	defaultMaxTokens = 16
	// maxMaxTokens is the largest accepted max_tokens.
	maxMaxTokens = 1 << 20
	// stallPollInterval is the interval at which a stalled response checks the fault Stall.
	stallPollInterval = 10 * time.Millisecond
	// skippedEventInterval is the number of events of which the fault SkipEvents omits
	// the last one.
	skippedEventInterval = 3
)

// Handler serves the engine's API, /faults and /debug/journal.
func (e *Engine) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, true) })
	api.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, false) })
	api.HandleFunc("GET /v1/generations/{id}", e.resume)
	api.HandleFunc("DELETE /v1/generations/{id}", e.serveCancel)
	api.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.load(time.Now(), milliseconds(e.faults.get().LoadLagMS)))
	})
	api.HandleFunc("GET /v1/cache_events", e.serveCacheEvents)
	api.HandleFunc("POST /v1/orders", e.serveControl)
	api.HandleFunc("GET /v1/orders", e.listControl)

	mux := http.NewServeMux()
	mux.Handle("/faults", &e.faults)
	mux.HandleFunc("GET /debug/journal", e.journal)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Generation-Id"); id != "" {
			w.Header().Set("X-Generation-Id", id)
		}
		if e.faults.get().Refuse {
			writeUnavailable(w)
			return
		}
		api.ServeHTTP(w, r)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Incarnation", e.config.Incarnation)
		mux.ServeHTTP(w, r)
	})
}

// writeStatusError responds with the status of a statusError, or 500 for any other error.
func writeStatusError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	var statusErr *statusError
	if errors.As(err, &statusErr) {
		status = statusErr.status
	}
	writeError(w, status, "%v", err)
}

// completionRequest holds the fields of an OpenAI API request that the stand-in uses.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	received := time.Now()
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		writeError(w, http.StatusBadRequest, "invalid JSON: %v", err)
		return
	}
	length := defaultMaxTokens
	for _, n := range []*int{request.MaxTokens, request.MaxCompletionTokens} {
		if n != nil {
			length = *n
		}
	}
	if length < 1 || length > maxMaxTokens {
		writeError(w, http.StatusBadRequest, "max_tokens must be from 1 to %d", maxMaxTokens)
		return
	}
	g := &generation{
		ID: r.Header.Get("X-Generation-Id"), RequestID: r.Header.Get("X-Request-Id"), Model: request.Model,
		MaxTokens: length, Priority: r.Header.Get("X-Priority"), DeadlineMS: r.Header.Get("X-Deadline-Ms"),
		chat: chat, promptTokens: len(strings.Fields(string(request.Messages) + string(request.Prompt))),
	}
	g.prefix = fmt.Sprintf("%016x", xxhash.Sum64String(request.Model+string(request.Messages)+string(request.Prompt)))
	if g.ID == "" {
		g.ID = uuid.NewString()
	}
	sleep(r.Context(), milliseconds(e.faults.get().DelayMS))
	w.Header().Set("X-Generation-Id", g.ID)
	if err := e.start(g, received); err != nil {
		writeStatusError(w, err)
		return
	}
	defer e.detach(g)
	if request.Stream {
		e.stream(w, r, g, 0)
		return
	}
	e.respondUnstreamed(w, r, g)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Generation-Id", r.PathValue("id"))
	offset := 0
	if text := r.URL.Query().Get("offset"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			writeError(w, http.StatusBadRequest, "offset must be a non-negative integer")
			return
		}
		offset = n
	}
	g, err := e.attach(r.PathValue("id"), offset)
	if err != nil {
		writeStatusError(w, err)
		return
	}
	defer e.detach(g)
	e.stream(w, r, g, offset)
}

// stream sends the tokens after offset as Server-Sent Events, until the
// generation ends or the reader disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	id := e.responseID(g.ID)
	w.Header().Set("X-Generation-Id", id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	out := http.NewResponseController(w)
	_ = out.Flush() // a disconnected reader cancels the request's context
	for sent := 0; ; {
		p := e.progress(g)
		for ; offset < p.tokens; offset++ {
			e.waitStall(r.Context())
			if r.Context().Err() != nil {
				return
			}
			f := e.faults.get()
			sent++
			repeat := 1
			if f.DuplicateEvents {
				repeat = 2
			}
			if f.SkipEvents && sent%skippedEventInterval == 0 {
				repeat = 0
			}
			for range repeat {
				_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: %s\n\n", id, offset+1, chunk(g, id, offset+1))
			}
			_ = out.Flush()
		}
		if p.state != running {
			e.waitStall(r.Context())
			e.finishStream(w, g, id, p)
			return
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		}
	}
}

// finishStream sends the usage event and the end marker, or aborts the
// connection if the generation did not complete. Under the fault Truncate it does
// neither, so that the response ends without the marker.
func (e *Engine) finishStream(w http.ResponseWriter, g *generation, id string, p progress) {
	if e.faults.get().Truncate {
		return
	}
	if p.state != completed {
		panic(http.ErrAbortHandler)
	}
	end := map[string]any{"id": id, "object": objectName(g, true), "model": g.Model, "choices": []any{}, "usage": usage(g, p.tokens)}
	body, _ := json.Marshal(end) // maps of plain values always marshal
	_, _ = fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", body)
}

// waitStall blocks while the fault Stall is set and ctx is not done.
func (e *Engine) waitStall(ctx context.Context) {
	for e.faults.get().Stall && ctx.Err() == nil {
		sleep(ctx, stallPollInterval)
	}
}

func objectName(g *generation, streamed bool) string {
	switch {
	case !g.chat:
		return "text_completion"
	case streamed:
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

func usage(g *generation, tokens int) map[string]int {
	return map[string]int{"prompt_tokens": g.promptTokens, "completion_tokens": tokens, "total_tokens": g.promptTokens + tokens}
}

// chunk returns the JSON data of one token's event; offsets count from 1.
func chunk(g *generation, id string, offset int) []byte {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if offset == g.MaxTokens {
		choice["finish_reason"] = "length"
	}
	if g.chat {
		choice["delta"] = map[string]string{"role": "assistant", "content": Token(id, offset)}
	} else {
		choice["text"] = Token(id, offset)
	}
	body, _ := json.Marshal(map[string]any{ // maps of plain values always marshal
		"id": id, "object": objectName(g, true), "model": g.Model, "choices": []any{choice},
	})
	return body
}

// respondUnstreamed waits for the end of the generation and sends it as one response.
func (e *Engine) respondUnstreamed(w http.ResponseWriter, r *http.Request, g *generation) {
	p := e.progress(g)
	for p.state == running {
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		}
		p = e.progress(g)
	}
	e.waitStall(r.Context())
	if p.state != completed {
		writeError(w, http.StatusInternalServerError, "generation %s", p.state)
		return
	}
	id := e.responseID(g.ID)
	var text strings.Builder
	for offset := 1; offset <= p.tokens; offset++ {
		text.WriteString(Token(id, offset))
	}
	choice := map[string]any{"index": 0, "finish_reason": "length"}
	if g.chat {
		choice["message"] = map[string]string{"role": "assistant", "content": text.String()}
	} else {
		choice["text"] = text.String()
	}
	w.Header().Set("X-Generation-Id", id)
	response := map[string]any{
		"id": id, "object": objectName(g, false), "model": g.Model, "choices": []any{choice}, "usage": usage(g, p.tokens),
	}
	if e.faults.get().Truncate {
		writeTruncated(w, response)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

// writeTruncated sends the Content-Length of the full body and closes the
// connection after half of it.
func writeTruncated(w http.ResponseWriter, v any) {
	body, _ := json.Marshal(v) // maps of plain values always marshal
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Generation-Id", r.PathValue("id"))
	g, err := e.cancel(r.PathValue("id"), r.URL.Query().Get("if_detached") == "1")
	if err != nil {
		writeStatusError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, g)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "after must be a non-negative integer")
			return
		}
		after = n
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []cacheEvent{}
	for _, event := range e.cacheEvents {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"incarnation": e.config.Incarnation, "last_seq": e.cacheSequence, "events": events})
}

// serveControl applies a control command. An engine that checks fencing rejects
// a token lower than the highest one received.
func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	var command controlCommand
	if !readJSON(w, r, &command) {
		return
	}
	if command.Kind == "" || command.Name == "" {
		writeError(w, http.StatusBadRequest, "kind and name are required")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && command.FencingToken < e.highestFencingToken {
		writeError(w, http.StatusConflict, "fencing token %d is older than %d", command.FencingToken, e.highestFencingToken)
		return
	}
	e.highestFencingToken = max(e.highestFencingToken, command.FencingToken)
	e.controlCommands = append(e.controlCommands, command)
	writeJSON(w, http.StatusOK, map[string]any{"accepted": true, "applied": len(e.controlCommands)})
}

// listControl returns the applied control commands, so that a command issuer
// can verify the state of an engine that ignores fencing tokens.
func (e *Engine) listControl(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"applied": append([]controlCommand{}, e.controlCommands...), "checks_fencing": e.config.ChecksFencing,
	})
}

func (e *Engine) journal(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	generations := make([]*generation, 0, len(e.startOrder))
	for _, id := range e.startOrder {
		generations = append(generations, e.generations[id])
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"incarnation": e.config.Incarnation, "cold": e.cold, "cold_limit": e.config.ColdLimit,
		"cold_violations": e.coldViolations, "max_cold_concurrency": e.maxColdConcurrent, "running": len(e.active),
		"generations": generations, "orders": append([]controlCommand{}, e.controlCommands...),
	})
}
