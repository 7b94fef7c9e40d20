package forward

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/ratelimit"
	"monsoonkeel.example/monsoonkeel/core/serverstate"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// Sources of termination notices in log lines.
const (
	sourceAnswer = "answer"
	sourceReport = "load report"
	sourcePeer   = "another host"
)

// observeAnswer records what the answer to this request says of its server. sentAt is when the request was
// sent.
func (r *request) observeAnswer(server balance.Server, h *fasthttp.ResponseHeader, sentAt time.Time) {
	r.rateLimit = r.g.observeRequestAnswer(server, h, sentAt)
}

// observeRequestAnswer records what the answer to a request says of its server. It returns the rate limit
// that the answer names, for logs; empty for none.
func (g *Gateway) observeRequestAnswer(server balance.Server, h *fasthttp.ResponseHeader, sentAt time.Time) string {
	d := &g.opts.Dialect
	// Status 503 of anything else is no rejection by the server.
	own := len(h.Peek(d.NotExecuted)) > 0 || len(h.Peek(d.ServerMark)) > 0
	answer, ok := g.observeAnswer(server, h, own, sentAt)
	switch {
	case !ok:
	case answer.Limit > 0:
		return strconv.FormatFloat(answer.Limit, 'g', -1, 64)
	case !answer.LimitUnreadable:
		// Only the answer to a request shows that the server names no limit any more.
		g.balancers.observeRateLimit(server.ID, server.StartTime, ratelimit.Observation{SentAt: sentAt, At: time.Now()})
	}
	return ""
}

// observeAnswer records what an answer says of its server, a process that the server's ID and start time
// identify. own is set if the server has certainly generated the answer. It returns false if the answer says
// nothing of that process.
func (g *Gateway) observeAnswer(server balance.Server, h *fasthttp.ResponseHeader, own bool, sentAt time.Time) (serverstate.Answer, bool) {
	now := time.Now()
	answer, ok := g.opts.Dialect.ReadAnswer(h, now)
	if !ok {
		return answer, false
	}
	for _, f := range answer.Invalid {
		g.opts.Log.Warn().Str("backend", server.ID).Str("field", f.Name).Str("value", f.Value).Str("used", f.Used).
			Msg("invalid field in the answer of a backend server")
	}
	if answer.Limit > 0 {
		g.balancers.observeRateLimit(server.ID, server.StartTime, ratelimit.Observation{Limit: answer.Limit, SentAt: sentAt, At: now})
	}
	g.observeStatedPace(server, answer.Load.Pace, now)
	if own {
		g.observeRefusal(server, answer, sentAt, now)
	}
	if answer.Leaving {
		g.markTerminating(server.ID, server.StartTime, sourceAnswer)
	}
	return answer, true
}

// markTerminating records a termination notice that is not from the store.
func (g *Gateway) markTerminating(id string, startTime int64, source string) {
	if g.opts.Directory.MarkTerminating(id, startTime, source != sourcePeer, source) {
		g.Metrics.Notices.Add(1)
	}
}

// maxAnnouncedPlain limits the plain servers in a gossip message. The hosts learn of the others from the
// store or from answers.
const maxAnnouncedPlain = 64

// terminatingProcesses returns the processes with a termination notice that this host tells the others: all of them in a
// mesh. In a group, aggregators pass on those that the store or another host has reported.
func (g *Gateway) terminatingProcesses() (list []gossip.Process) {
	plain, inMesh := 0, g.view.Load().InMesh
	for id, s := range g.opts.Directory.Snapshot().Servers {
		if !s.Leaving || s.Removed || !inMesh && !s.NoticeHere {
			continue
		}
		if g.balancers.engineConfig(s.Service) == nil {
			if plain++; plain > maxAnnouncedPlain {
				continue
			}
		}
		list = append(list, gossip.Process{ID: id, StartTime: s.StartTime})
	}
	slices.SortFunc(list, func(a, b gossip.Process) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// controlCalls observes the answers to control calls, and holds the calls back that a server refuses.
type controlCalls struct {
	EngineClient
	g *Gateway
}

// prepare returns the context for a control call to an address. It waits while the server there refuses
// requests, until ctx ends.
func (c *controlCalls) prepare(ctx context.Context, address string) (context.Context, error) {
	server, known := c.g.balancers.serverAt(address)
	if !known {
		return ctx, nil
	}
	if !c.g.waitForReturn(ctx, server) {
		return ctx, errRefused
	}
	sentAt := time.Now()
	return withAnswerObserver(ctx, func(h *fasthttp.ResponseHeader) { c.g.observeAnswer(server, h, true, sentAt) }), nil
}

// Report implements EngineClient.
func (c *controlCalls) Report(ctx context.Context, address string) (Report, error) {
	ctx, err := c.prepare(ctx, address)
	if err != nil {
		return Report{}, err
	}
	return c.EngineClient.Report(ctx, address)
}

// Copy implements EngineClient.
func (c *controlCalls) Copy(ctx context.Context, address, generationID, target string, final bool) (CopyResult, error) {
	ctx, err := c.prepare(ctx, address)
	if err != nil {
		return CopyResult{}, err
	}
	return c.EngineClient.Copy(ctx, address, generationID, target, final)
}

// DropCopy implements EngineClient.
func (c *controlCalls) DropCopy(ctx context.Context, address, handle string) error {
	ctx, err := c.prepare(ctx, address)
	if err != nil {
		return err
	}
	return c.EngineClient.DropCopy(ctx, address, handle)
}
