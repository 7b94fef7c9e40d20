package request

import (
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// modelRequest is the part of an OpenAI-compatible request that routing needs;
// the body itself is passed on unchanged.
type modelRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// Messages and Prompt are read for their beginning only.
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

const (
	// prefixBytes is the length of the prompt's beginning that decides about
	// cache affinity; system prompts are about this long.
	prefixBytes = 1024
	// bytesPerToken is the usual ratio for English text.
	bytesPerToken = 4
)

// work describes the request to the dispatcher. Prompts shorter than the
// prefix gain nothing from a cache.
func (r *modelRequest) work(body []byte) work {
	w := work{prompt: len(body)/bytesPerToken + 1, opaque: !r.Stream}
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

// model serves /v1/completions and /v1/chat/completions. With a service name
// the model must be one of that service.
func (c *call) model(path, service string) error {
	if !c.http.IsPost() {
		return verdict.New(verdict.NotRun, 405, "method_not_allowed", "use POST")
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	if last := c.http.Request.Header.Peek(headerLastEventID); len(last) > 0 {
		return c.resume(string(last))
	}
	// The body is copied: the request buffer does not outlive the handler and
	// a retry needs it again.
	body := append([]byte(nil), c.http.PostBody()...)
	var req modelRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return verdict.Wrap(err, verdict.NotRun, 400, "bad_json", "the body is not valid JSON: %v", err)
	}
	if err := c.prepareModel(path, service, req); err != nil {
		return err
	}
	if err := c.limitTeam(); err != nil {
		return err
	}
	gen := newGeneration(c, path, body, req.Stream)
	gen.work = req.work(body)
	if !req.Stream {
		return gen.answerUnstreamed()
	}
	if err := gen.start(); err != nil {
		return gen.startFailed(err)
	}
	return gen.stream()
}

func (c *call) prepareModel(path, service string, req modelRequest) error {
	svc, ok := c.g.Snapshot().ServiceForModel(req.Model)
	if !ok || (service != "" && svc.Name != service) {
		return verdict.New(verdict.NotRun, 404, "unknown_model", "unknown model %q", req.Model)
	}
	c.service = svc
	c.out.Service = svc.Name
	if err := c.classify("POST", path); err != nil {
		return err
	}
	if c.class.Order {
		return verdict.New(verdict.NotRun, 400, "order_class", "class %q is for orders and cannot be used for generations", c.class.Name)
	}
	return c.deadline()
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

// models serves /v1/models.
func (c *call) models() error {
	if err := c.authenticate(); err != nil {
		return err
	}
	names := c.g.Snapshot().Models()
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
