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

// maxCommandBytes bounds a command with its list of backend servers.
const maxCommandBytes = 256 << 10

// CommandLog is the part of issuer.Manager that the API uses.
type CommandLog interface {
	Submit(ctx context.Context, service string, r coreissuer.Request) (issuer.AcceptedCommand, error)
	List(ctx context.Context, service string) (issuer.CommandList, error)
}

// Command is the body of POST commands. Without backend servers it is for all
// live ones of the service.
type Command struct {
	Service string `json:"service"`
	coreissuer.Request
}

// commands serves GET commands?service=<name> and POST commands.
func (h *Handler) commands(ctx *fasthttp.RequestCtx) {
	if h.options.Commands == nil {
		notFound(ctx)
		return
	}
	// The request context ends only with the server, not with the connection.
	deciding, cancel := context.WithTimeout(context.Background(), h.options.Timeout)
	defer cancel()
	switch {
	case ctx.IsGet():
		listing, err := h.options.Commands.List(deciding, string(ctx.QueryArgs().Peek("service")))
		respond(ctx, listing, err)
	case ctx.IsPost():
		command, err := decodeCommand(ctx.PostBody())
		if err != nil {
			respond(ctx, nil, err)
			return
		}
		accepted, err := h.options.Commands.Submit(deciding, command.Service, command.Request)
		respond(ctx, accepted, err)
	default:
		ctx.Response.Header.Set("Allow", "GET, POST")
		fail(ctx, Problem{Status: 405, Code: "method_not_allowed", Detail: "use GET or POST"})
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
		return c, verdict.Wrap(err, verdict.NotRun, 400, "bad_request", "the command is not readable")
	}
	if _, err := d.Token(); err != io.EOF {
		return c, verdict.New(verdict.NotRun, 400, "bad_request", "data after the JSON value")
	}
	return c, nil
}

func respond(ctx *fasthttp.RequestCtx, v any, err error) {
	if err != nil {
		failError(ctx, err)
		return
	}
	answer(ctx, v)
}
