// Package admin implements the HTTP API for operators under /admin/v1/.
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

// Prefix is the path prefix of all resources of the API.
const Prefix = "/admin/v1/"

// DefaultTimeout limits the time of a change, a lookup or a command, so that an
// operator's tool gets a response with a verdict instead of a closed connection.
const DefaultTimeout = 5 * time.Second

// ChangeLog is the part of configlog.Log that the API uses. It is safe for concurrent
// use.
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
	// Token is the operators' bearer token; if it is empty, every call is rejected.
	Token string
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Timeout limits the time of a change, a lookup or a command; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Handler serves the admin API. It is safe for concurrent use.
type Handler struct {
	options   Options
	tokenHash [sha256.Size]byte
}

// New returns a Handler with defaults for the options that are not set.
func New(o Options) *Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	return &Handler{options: o, tokenHash: sha256.Sum256([]byte(o.Token))}
}

// AcceptedChange is the response to POST changes.
type AcceptedChange struct {
	Revision config.Revision `json:"revision"`
}

// Values of ChangeState.State.
const (
	StateAccepted = "accepted"
	StateUnknown  = "unknown"
)

// ChangeState is the response to GET changes/<id>. StateUnknown means that no accepted
// change had this id when the configuration was read.
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

// ServeHTTP authorizes and handles a request. A path that does not start with Prefix gets
// status 404.
func (h *Handler) ServeHTTP(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if id == "" || len(id) > 128 {
		id = uuid.NewString()
	}
	ctx.Response.Header.Set("X-Request-Id", id)
	if !h.authorized(ctx) {
		ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
		writeProblem(ctx, Problem{Status: 401, Code: "unauthorized", Detail: "the operator token is missing or wrong"})
		return
	}
	path, ok := strings.CutPrefix(string(ctx.Path()), Prefix)
	if !ok {
		writeNotFound(ctx)
		return
	}
	if changeID, ok := strings.CutPrefix(path, "changes/"); ok && changeID != "" {
		h.requireMethod(ctx, "GET", func() { h.lookup(ctx, changeID) })
		return
	}
	switch path {
	case "commands":
		h.commands(ctx)
	case "config":
		h.requireMethod(ctx, "GET", func() { writeJSON(ctx, h.options.Log.Current()) })
	case "changes":
		h.requireMethod(ctx, "POST", func() { h.propose(ctx) })
	case "history":
		h.requireMethod(ctx, "GET", func() { writeJSON(ctx, h.options.Log.History()) })
	case "status":
		h.requireMethod(ctx, "GET", func() { writeJSON(ctx, h.options.Status.Status()) })
	case "alarms":
		h.requireMethod(ctx, "GET", func() { writeJSON(ctx, h.options.Alarms.Alarms()) })
	case "dump":
		h.requireMethod(ctx, "GET", func() { writeJSON(ctx, h.options.Dump.Dump()) })
	default:
		writeNotFound(ctx)
	}
}

// authorized reports whether the request has the operator token. It compares hashes in
// constant time, so that the time taken reveals neither the length nor the content of the
// token.
func (h *Handler) authorized(ctx *fasthttp.RequestCtx) bool {
	scheme, token, _ := strings.Cut(string(ctx.Request.Header.Peek("Authorization")), " ")
	hash := sha256.Sum256([]byte(token))
	equal := subtle.ConstantTimeCompare(hash[:], h.tokenHash[:]) == 1
	return equal && strings.EqualFold(scheme, "Bearer") && h.options.Token != ""
}

// requireMethod calls run if the request has the method, and writes a problem otherwise.
func (h *Handler) requireMethod(ctx *fasthttp.RequestCtx, method string, run func()) {
	if string(ctx.Method()) != method {
		ctx.Response.Header.Set("Allow", method)
		writeProblem(ctx, Problem{Status: 405, Code: "method_not_allowed", Detail: "use " + method})
		return
	}
	run()
}

// propose serves POST changes.
func (h *Handler) propose(ctx *fasthttp.RequestCtx) {
	if len(ctx.PostBody()) > 2*config.MaxChangeBytes {
		writeProblem(ctx, Problem{Status: 413, Code: "too_large", Detail: "the change is too large"})
		return
	}
	change, err := config.DecodeChange(ctx.PostBody())
	if err != nil {
		writeProblem(ctx, Problem{Status: 400, Code: "bad_request", Detail: err.Error()})
		return
	}
	if change.At.IsZero() {
		change.At = h.options.Now().UTC()
	}
	// The request context ends when the server shuts down, not when the connection closes.
	callCtx, cancel := context.WithTimeout(context.Background(), h.options.Timeout)
	defer cancel()
	revision, err := h.options.Log.Propose(callCtx, change)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, AcceptedChange{Revision: revision})
}

// lookup serves GET changes/<id>.
func (h *Handler) lookup(ctx *fasthttp.RequestCtx, id string) {
	callCtx, cancel := context.WithTimeout(context.Background(), h.options.Timeout)
	defer cancel()
	revision, ok, err := h.options.Log.Lookup(callCtx, id)
	switch {
	case err != nil:
		writeProblem(ctx, Problem{Status: 503, Code: "config_unavailable", Verdict: verdict.MayHaveRun, Detail: err.Error()})
	case ok:
		writeJSON(ctx, ChangeState{State: StateAccepted, Revision: revision})
	default:
		writeJSON(ctx, ChangeState{State: StateUnknown})
	}
}

// writeError writes the problem for err with the status and the verdict that it carries.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	var conflict *config.ConflictError
	var invalid *config.ValidationError
	switch {
	case errors.As(err, &conflict):
		writeProblem(ctx, Problem{Status: 409, Code: "conflict", Verdict: verdict.NotRun, Detail: err.Error(), Conflicts: conflict.Conflicts})
	case errors.As(err, &invalid):
		writeProblem(ctx, Problem{Status: 422, Code: "invalid", Verdict: verdict.NotRun, Detail: "the configuration would be invalid", Errors: invalid.Problems})
	default:
		e := verdict.From(err)
		if e.RetryAfterSeconds > 0 {
			ctx.Response.Header.SetBytesV("Retry-After", fasthttp.AppendUint(nil, e.RetryAfterSeconds))
		}
		writeProblem(ctx, Problem{Status: e.Status, Code: e.Code, Verdict: e.Verdict, Detail: err.Error()})
	}
}

func writeNotFound(ctx *fasthttp.RequestCtx) {
	writeProblem(ctx, Problem{Status: 404, Code: "not_found", Detail: "no such admin resource"})
}

// writeProblem writes the problem as the response. A status below 500 gets the verdict
// NotRun, since nothing was changed.
func writeProblem(ctx *fasthttp.RequestCtx, p Problem) {
	p.Type, p.Title = "about:blank", fasthttp.StatusMessage(p.Status)
	p.RequestID = string(ctx.Response.Header.Peek("X-Request-Id"))
	if p.Status < 500 {
		p.Verdict = verdict.NotRun
	}
	writeBody(ctx, p.Status, "application/problem+json", p)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) { writeBody(ctx, 200, "application/json", v) }

func writeBody(ctx *fasthttp.RequestCtx, status int, contentType string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error("response cannot be encoded: "+err.Error(), 500)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentType)
	ctx.SetBody(raw)
}
