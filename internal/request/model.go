package request

import (
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// modelRequest holds the fields of an OpenAI-compatible request that routing needs. The
// body is forwarded unchanged.
type modelRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// Messages and Prompt are used for their prefix only.
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

const (
	// prefixBytes is the length of the prompt prefix that is hashed for prefix-cache
	// affinity; system prompts have about this length.
	prefixBytes = 1024
	// bytesPerToken estimates token counts; it is the usual ratio for English text.
	bytesPerToken = 4
)

// workload returns the size of the request for the dispatcher. A prompt shorter than
// prefixBytes gets no prefix, since it does not benefit from a cache.
func (r *modelRequest) workload(body []byte) workload {
	w := workload{promptTokens: len(body)/bytesPerToken + 1, buffered: !r.Stream}
	text := r.Messages
	if len(text) == 0 {
		text = r.Prompt
	}
	if len(text) >= prefixBytes {
		w.prefix = xxhash.Sum64(text[:prefixBytes])
		w.prefixTokens = prefixBytes / bytesPerToken
	}
	return w
}

// serveCompletion serves /v1/completions and /v1/chat/completions. If a service is
// named, the model must belong to it.
func (c *call) serveCompletion(path, service string) error {
	if !c.http.IsPost() {
		return verdict.New(verdict.NotRun, 405, "method_not_allowed", "use POST")
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	if last := c.http.Request.Header.Peek(headerLastEventID); len(last) > 0 {
		return c.resume(string(last))
	}
	// The body is copied, since the request buffer does not outlive the handler and
	// a retry needs the body again.
	body := append([]byte(nil), c.http.PostBody()...)
	var req modelRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return verdict.Wrap(err, verdict.NotRun, 400, "bad_json", "the body is not valid JSON: %v", err)
	}
	if err := c.prepareModel(path, service, req); err != nil {
		return err
	}
	if err := c.acquireTeamSlot(); err != nil {
		return err
	}
	gen := newGeneration(c, path, body, req.Stream)
	gen.workload = req.workload(body)
	cancel := c.cancel
	c.prompt = c.g.Crashes.NewRequest(c.outcome.RequestID, req.promptParts(), func() { cancel() })
	c.prompt.Begin()
	if !req.Stream {
		return gen.serveUnstreamed()
	}
	if err := gen.start(); err != nil {
		return gen.handleStartError(err)
	}
	return gen.stream()
}

func (c *call) prepareModel(path, service string, req modelRequest) error {
	svc, ok := c.snapshot.ServiceForModel(req.Model)
	if !ok || (service != "" && svc.Name != service) {
		return verdict.New(verdict.NotRun, 404, "unknown_model", "unknown model %q", req.Model)
	}
	c.service = svc
	c.outcome.Service = svc.Name
	if err := c.classify("POST", path); err != nil {
		return err
	}
	if c.class.Order {
		return verdict.New(verdict.NotRun, 400, "order_class", "class %q is an order class and cannot be used for generations", c.class.Name)
	}
	return c.applyTimeout()
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels serves /v1/models.
func (c *call) serveModels() error {
	if err := c.authenticate(); err != nil {
		return err
	}
	names := c.snapshot.Models()
	sort.Strings(names)
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, n := range names {
		list.Data = append(list.Data, modelItem{ID: n, Object: "model", OwnedBy: "monsoonkeel"})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	c.http.SetContentType("application/json")
	c.http.SetBody(body)
	return nil
}
