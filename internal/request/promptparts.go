package request

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonkeel.example/monsoonkeel/core/attribution"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/crashes"
)

// maxPromptParts limits the messages of a prompt that are attributed; the newest count.
const maxPromptParts = 256

// begunTokens is the number of tokens after which an answer counts as begun. An engine may crash right
// after the first one.
const begunTokens = 2

// promptParts returns the IDs of the parts of the prompt that other requests may share: the hashes of its
// messages. A prompt that is not a list of messages has none.
func (r *modelRequest) promptParts() []string {
	var messages []json.RawMessage
	if len(r.Messages) == 0 || json.Unmarshal(r.Messages, &messages) != nil {
		return nil // an engine rejects what is no list
	}
	messages = messages[max(len(messages)-maxPromptParts, 0):]
	parts := make([]string, len(messages))
	for i, m := range messages {
		parts[i] = strconv.FormatUint(xxhash.Sum64(m), 16)
	}
	return parts
}

// checkPrompt returns an error if a part of the prompt is rejected.
func (c *call) checkPrompt() error {
	rejection := c.prompt.Check()
	if rejection == nil {
		return nil
	}
	c.g.Log.Warn().Str("request_id", c.outcome.RequestID).Str("rejected_part", c.prompt.RejectedPart(rejection)).
		EmbedObject(c.g.Crashes.Logged(rejection)).Msg("request rejected: engines crashed on a part of the prompt")
	return c.rejectedPrompt(rejection)
}

// rejectedPrompt returns the error of a call that is rejected for a part of its prompt.
func (c *call) rejectedPrompt(rejection *attribution.Rejection) error {
	status := 503
	if c.maybeSent {
		status = 502
	}
	e := c.newError(status, crashes.Code, "engines crashed on a part of the prompt: %s", c.prompt.RejectedPart(rejection))
	e.RetryAfterSeconds = int(c.prompt.RetryAfter(rejection) / time.Second)
	return e
}

// recordBrokenAnswer records that the engine broke off a response; cause is how. It does nothing if the
// caller or the deadline ended it, or if the engine is leaving.
func (gen *generation) recordBrokenAnswer(cause error) {
	c := gen.c
	if !c.prompt.HasPendingAnswer() || c.ctx.Err() != nil || c.deadlinePassed() || verdict.Of(cause) == verdict.NotRun {
		return
	}
	if host, listed := c.g.Snapshot().BackendHost(gen.host.ID); !listed || host.State != gen.host.State {
		return
	}
	domains := map[string]bool{}
	for _, b := range c.service.Backends {
		domains[b.Host.Domain] = true
	}
	c.prompt.RecordBrokenAnswer(attribution.Crash{
		Process: attribution.Process{ID: gen.host.ID + "/" + gen.incarnation}, Address: gen.host.Address, Domain: gen.host.Domain,
		Engines: len(c.service.Backends), Domains: len(domains),
	}, cause)
}
