package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/valyala/fasthttp"

	coreissuer "monsoonkeel.example/monsoonkeel/core/issuer"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/process/issuer"
)

// maxCommandBytes is the maximum size of a command with its list of backend servers.
const maxCommandBytes = 256 << 10

// CommandLog is the part of issuer.Manager that the API uses. It is safe for concurrent
// use.
type CommandLog interface {
	Submit(ctx context.Context, service string, r coreissuer.Request) (issuer.AcceptedCommand, error)
	List(ctx context.Context, service string) (issuer.CommandList, error)
}

// Command is the body of POST commands. A command without backend servers is for all live
// ones of the service.
type Command struct {
	Service string `json:"service"`
	coreissuer.Request
}

// commands serves GET commands?service=<name> and POST commands.
func (h *Handler) commands(ctx *fasthttp.RequestCtx) {
	if h.options.Commands == nil {
		writeNotFound(ctx)
		return
	}
	// The request context ends when the server shuts down, not when the connection closes.
	callCtx, cancel := context.WithTimeout(context.Background(), h.options.Timeout)
	defer cancel()
	switch {
	case ctx.IsGet():
		list, err := h.options.Commands.List(callCtx, string(ctx.QueryArgs().Peek("service")))
		writeResult(ctx, list, err)
	case ctx.IsPost():
		command, err := decodeCommand(ctx.PostBody())
		if err != nil {
			writeResult(ctx, nil, err)
			return
		}
		accepted, err := h.options.Commands.Submit(callCtx, command.Service, command.Request)
		writeResult(ctx, accepted, err)
	default:
		ctx.Response.Header.Set("Allow", "GET, POST")
		writeProblem(ctx, Problem{Status: 405, Code: "method_not_allowed", Detail: "use GET or POST"})
	}
}

func decodeCommand(raw []byte) (Command, error) {
	var c Command
	if len(raw) > maxCommandBytes {
		return c, verdict.New(verdict.NotRun, 413, "too_large", "the command is too large")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, verdict.Wrap(err, verdict.NotRun, 400, "bad_request", "the command cannot be decoded")
	}
	if _, err := d.Token(); err != io.EOF {
		return c, verdict.New(verdict.NotRun, 400, "bad_request", "data after the JSON value")
	}
	return c, nil
}

func writeResult(ctx *fasthttp.RequestCtx, v any, err error) {
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, v)
}
