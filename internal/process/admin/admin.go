// Package admin serves the operators' HTTP API under /admin/v1/.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// Prefix is the path prefix of the API.
const Prefix = "/admin/v1/"

// DefaultTimeout bounds a change or a lookup, so that an operator's tool gets a
// truthful answer instead of a broken connection.
const DefaultTimeout = 5 * time.Second

// ChangeLog is the part of configlog.Log that the API uses.
type ChangeLog interface {
	Current() *config.Document
	Propose(ctx context.Context, change config.Change) (config.Revision, error)
	Lookup(ctx context.Context, id string) (config.Revision, bool, error)
	History() []config.Entry
}

// StatusProvider returns the daemon's status as a value that encodes to JSON.
type StatusProvider interface{ Status() any }

// AlarmProvider returns the active alarms as a value that encodes to a JSON list.
type AlarmProvider interface{ Alarms() any }

// DumpProvider returns the state dump as a value that encodes to JSON.
type DumpProvider interface{ Dump() any }

// Options are the dependencies of a Handler.
type Options struct {
	Log    ChangeLog
	Status StatusProvider
	Alarms AlarmProvider
	Dump   DumpProvider
	// Commands is nil if the daemon sends no control commands.
	Commands CommandLog
	// Token is the operators' bearer token; with an empty one every call is refused.
	Token string
	// Now is the clock; time.Now if nil.
	Now func() time.Time
	// Timeout is DefaultTimeout if 0.
	Timeout time.Duration
}

// Handler is the admin API.
type Handler struct {
	options   Options
	tokenHash [sha256.Size]byte
}

// New returns a Handler.
func New(o Options) *Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	return &Handler{options: o, tokenHash: sha256.Sum256([]byte(o.Token))}
}

// AcceptedChange answers POST changes.
type AcceptedChange struct {
	Revision config.Revision `json:"revision"`
}

// States of a change id.
const (
	StateAccepted = "accepted"
	StateUnknown  = "unknown"
)

// ChangeState answers GET changes/<id>. Unknown means that no accepted change
// had this id when the configuration was read.
type ChangeState struct {
	State    string          `json:"state"`
	Revision config.Revision `json:"revision,omitempty"`
}

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail,omitempty"`
	Code      string          `json:"code"`
	Verdict   verdict.Verdict `json:"verdict"`
	RequestID string          `json:"request_id"`
	// Conflicts is set with status 409.
	Conflicts []config.Conflict `json:"conflicts,omitempty"`
	// Errors is set with status 422.
	Errors []string `json:"errors,omitempty"`
}

// ServeHTTP handles a request whose path starts with Prefix.
func (h *Handler) ServeHTTP(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if id == "" || len(id) > 128 {
		id = uuid.NewString()
	}
	ctx.Response.Header.Set("X-Request-Id", id)
	if !h.authorized(ctx) {
		ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
		fail(ctx, Problem{Status: 401, Code: "unauthorized", Detail: "the operator token is missing or wrong"})
		return
	}
	path, ok := strings.CutPrefix(string(ctx.Path()), Prefix)
	if !ok {
		notFound(ctx)
		return
	}
	if changeID, ok := strings.CutPrefix(path, "changes/"); ok && changeID != "" {
		h.method(ctx, "GET", func() { h.lookup(ctx, changeID) })
		return
	}
	switch path {
	case "commands":
		h.commands(ctx)
	case "config":
		h.method(ctx, "GET", func() { answer(ctx, h.options.Log.Current()) })
	case "changes":
		h.method(ctx, "POST", func() { h.propose(ctx) })
	case "history":
		h.method(ctx, "GET", func() { answer(ctx, h.options.Log.History()) })
	case "status":
		h.method(ctx, "GET", func() { answer(ctx, h.options.Status.Status()) })
	case "alarms":
		h.method(ctx, "GET", func() { answer(ctx, h.options.Alarms.Alarms()) })
	case "dump":
		h.method(ctx, "GET", func() { answer(ctx, h.options.Dump.Dump()) })
	default:
		notFound(ctx)
	}
}

// authorized compares hashes, so that neither length nor content of the token
// shows in the time taken.
func (h *Handler) authorized(ctx *fasthttp.RequestCtx) bool {
	scheme, token, _ := strings.Cut(string(ctx.Request.Header.Peek("Authorization")), " ")
	hash := sha256.Sum256([]byte(token))
	equal := subtle.ConstantTimeCompare(hash[:], h.tokenHash[:]) == 1
	return equal && strings.EqualFold(scheme, "Bearer") && h.options.Token != ""
}

func (h *Handler) method(ctx *fasthttp.RequestCtx, method string, run func()) {
	if string(ctx.Method()) != method {
		ctx.Response.Header.Set("Allow", method)
		fail(ctx, Problem{Status: 405, Code: "method_not_allowed", Detail: "use " + method})
		return
	}
	run()
}

func (h *Handler) propose(ctx *fasthttp.RequestCtx) {
	if len(ctx.PostBody()) > 2*config.MaxChangeBytes {
		fail(ctx, Problem{Status: 413, Code: "too_large", Detail: "the change is too large"})
		return
	}
	change, err := config.DecodeChange(ctx.PostBody())
	if err != nil {
		fail(ctx, Problem{Status: 400, Code: "bad_request", Detail: err.Error()})
		return
	}
	if change.At.IsZero() {
		change.At = h.options.Now().UTC()
	}
	// The request context ends only with the server, not with the connection.
	proposing, cancel := context.WithTimeout(context.Background(), h.options.Timeout)
	defer cancel()
	revision, err := h.options.Log.Propose(proposing, change)
	if err != nil {
		failError(ctx, err)
		return
	}
	answer(ctx, AcceptedChange{Revision: revision})
}

func (h *Handler) lookup(ctx *fasthttp.RequestCtx, id string) {
	reading, cancel := context.WithTimeout(context.Background(), h.options.Timeout)
	defer cancel()
	revision, ok, err := h.options.Log.Lookup(reading, id)
	switch {
	case err != nil:
		fail(ctx, Problem{Status: 503, Code: "config_unavailable", Verdict: verdict.MayHaveRun, Detail: err.Error()})
	case ok:
		answer(ctx, ChangeState{State: StateAccepted, Revision: revision})
	default:
		answer(ctx, ChangeState{State: StateUnknown})
	}
}

func failError(ctx *fasthttp.RequestCtx, err error) {
	var conflict *config.ConflictError
	var invalid *config.ValidationError
	switch {
	case errors.As(err, &conflict):
		fail(ctx, Problem{Status: 409, Code: "conflict", Verdict: verdict.NotRun, Detail: err.Error(), Conflicts: conflict.Conflicts})
	case errors.As(err, &invalid):
		fail(ctx, Problem{Status: 422, Code: "invalid", Verdict: verdict.NotRun, Detail: "the configuration would be invalid", Errors: invalid.Problems})
	default:
		e := verdict.From(err)
		if e.RetryAfterSeconds > 0 {
			ctx.Response.Header.SetBytesV("Retry-After", fasthttp.AppendUint(nil, e.RetryAfterSeconds))
		}
		fail(ctx, Problem{Status: e.Status, Code: e.Code, Verdict: e.Verdict, Detail: err.Error()})
	}
}

func notFound(ctx *fasthttp.RequestCtx) {
	fail(ctx, Problem{Status: 404, Code: "not_found", Detail: "no such admin resource"})
}

// fail writes the problem. A status below 500 means that nothing was changed.
func fail(ctx *fasthttp.RequestCtx, p Problem) {
	p.Type, p.Title = "about:blank", fasthttp.StatusMessage(p.Status)
	p.RequestID = string(ctx.Response.Header.Peek("X-Request-Id"))
	if p.Status < 500 {
		p.Verdict = verdict.NotRun
	}
	write(ctx, p.Status, "application/problem+json", p)
}

func answer(ctx *fasthttp.RequestCtx, v any) { write(ctx, 200, "application/json", v) }

func write(ctx *fasthttp.RequestCtx, status int, contentType string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error("answer cannot be encoded: "+err.Error(), 500)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentType)
	ctx.SetBody(raw)
}
