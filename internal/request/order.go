package request

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/placement"
)

const (
	// headerReplayed marks an answer that an earlier run of the order gave.
	headerReplayed = "Monsoonkeel-Replayed"
	// finishTimeout bounds the write of an order's answer.
	finishTimeout = 10 * time.Second
	// maxKeyBytes bounds an Idempotency-Key.
	maxKeyBytes = 256
)

var errAnswerTooLarge = errs.New("the answer is too large")

// OrderRequest identifies an order.
type OrderRequest struct {
	Team, Key   string
	RequestHash [sha256.Size]byte
	// Deadline is the last moment the order may be sent.
	Deadline time.Time
}

// OrderResponse is the answer of an order's only run.
type OrderResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// OrderGrant is the right to send an order once.
type OrderGrant interface {
	// MaySend reports whether the order may still be sent.
	MaySend(now time.Time) bool
	// Finish stores the answer.
	Finish(ctx context.Context, a OrderResponse) error
	// Release gives the right back; the order was certainly not sent.
	Release(ctx context.Context) error
	// Abandon ends a grant whose order may have run and has no answer.
	Abandon()
}

// ClaimResult is what a claim found: a Grant, the Answer of an earlier run, or
// neither when an earlier run has no known answer.
type ClaimResult struct {
	Grant    OrderGrant
	Response *OrderResponse
}

// Orders claims non-idempotent requests durably before they are sent.
type Orders interface {
	// Claim asks for the right to send. An error means that the order was
	// not sent. While another run holds the order, Claim waits for its answer
	// until ctx ends.
	Claim(ctx context.Context, o OrderRequest) (ClaimResult, error)
}

// order runs a non-idempotent request at most once.
func (c *call) order(req *fasthttp.Request) error {
	key := string(c.http.Request.Header.Peek(headerIdempotencyKey))
	if key == "" || len(key) > maxKeyBytes {
		return verdict.New(verdict.NotRun, 400, "idempotency_key_required",
			"requests of class %q need an %s of 1 to %d bytes", c.class.Name, headerIdempotencyKey, maxKeyBytes)
	}
	deadline, _ := c.ctx.Deadline()
	out, err := c.g.Orders.Claim(c.ctx, OrderRequest{Team: c.team.Name, Key: key, RequestHash: orderHash(req), Deadline: deadline})
	if err != nil {
		return claimRefused(err)
	}
	switch {
	case out.Grant != nil:
		return c.runOrder(req, out.Grant, deadline)
	case out.Response != nil:
		c.http.Response.Header.Set(headerReplayed, "true")
		c.writeOrderAnswer(*out.Response)
		return nil
	}
	// Another run may have sent the order; this repeat must not say not run.
	c.attempted = true
	return verdict.New(verdict.MayHaveRun, 409, "order_outcome_unknown", "an earlier run of this order has no known answer")
}

// claimRefused adds what a refused claim leaves open: this request was not
// sent, but an earlier one with the same key may have been.
func claimRefused(err error) error {
	e := verdict.From(err)
	if e.Verdict != verdict.NotRun || e.Status < 500 {
		return err
	}
	e.Detail += "; an earlier request with the same " + headerIdempotencyKey + " may have run"
	return e
}

func orderHash(req *fasthttp.Request) [sha256.Size]byte {
	h := sha256.New()
	h.Write(req.Header.Method())
	h.Write([]byte{0})
	h.Write(req.Header.RequestURI())
	h.Write([]byte{0})
	h.Write(req.Body())
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

// runOrder sends a granted order. Once it may have been sent, neither a
// disconnected caller nor an error leads to a second attempt.
func (c *call) runOrder(req *fasthttp.Request, grant OrderGrant, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c.g.RetryBudget.RecordFirstAttempt(c.g.Now())
	var tried []string
	for tries := 1; ; tries++ {
		ex, p, err := c.sendOrder(ctx, req, grant, tried)
		if err == nil {
			defer p.Release(true)
			return c.finishOrder(ex, grant)
		}
		if p != nil {
			p.Release(false)
			tried = append(tried, p.Host.ID)
		}
		if c.attempted {
			grant.Abandon()
			return err
		}
		if p == nil || !c.mayRetry(tries) {
			c.inBackground(grant.Release)
			return err
		}
	}
}

// sendOrder sends the order to one backend server. After an error the placement
// is set if there was one; the call's attempted flag says whether another
// backend server may be tried.
func (c *call) sendOrder(ctx context.Context, req *fasthttp.Request, grant OrderGrant, tried []string) (*connection.Exchange, *placement.Reservation, error) {
	p, err := c.place(work{}, tried)
	if err != nil {
		return nil, nil, err
	}
	c.out.Backend = p.Host.ID
	c.out.Attempts = len(tried) + 1
	c.requestTo(req, p.Host.Address)
	if !grant.MaySend(c.g.Now()) {
		p.Release(false)
		return nil, nil, claimLapsed()
	}
	options := c.sendOptions(p, true)
	options.BeforeSend = func() error {
		// The connection setup takes time, in which the claim can lapse.
		if !grant.MaySend(c.g.Now()) {
			return claimLapsed()
		}
		return c.mayStillSend(p)
	}
	ex, err := c.g.Pool.Do(ctx, p.Host.Address, req, options)
	if err != nil {
		c.noteSendFailure(p, err)
		return nil, p, err
	}
	c.attempted = true
	return ex, p, nil
}

func claimLapsed() error {
	return verdict.New(verdict.NotRun, 503, "claim_lapsed", "the order's claim lapsed before it could be sent")
}

// finishOrder reads, stores and delivers the answer.
func (c *call) finishOrder(ex *connection.Exchange, grant OrderGrant) error {
	err := c.checkAnswer(ex)
	var body []byte
	if err == nil {
		body, err = readAnswer(ex, maxWholeBytes)
	}
	if err != nil {
		ex.Finish(false)
		grant.Abandon()
		return verdict.Wrap(err, verdict.MayHaveRun, 502, "backend_failed", "the answer was cut off or belongs to another request")
	}
	c.copyHead(ex)
	c.setBody(ex, body)
	answer := OrderResponse{Status: ex.Response.StatusCode(), ContentType: string(ex.Response.Header.ContentType()), Body: body}
	ex.Finish(true)
	c.out.FirstToken = c.g.Now().Sub(c.start)
	c.inBackground(func(ctx context.Context) error { return grant.Finish(ctx, answer) })
	return nil
}

func (c *call) writeOrderAnswer(a OrderResponse) {
	c.http.SetStatusCode(a.Status)
	c.http.SetContentType(a.ContentType)
	c.http.SetBody(a.Body)
	c.out.FirstToken = c.g.Now().Sub(c.start)
}

// inBackground runs a write that the caller does not wait for; shutdown does.
func (c *call) inBackground(f func(context.Context) error) {
	g, id := c.g, c.out.RequestID
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			g.Log.Warn().Err(err).Str("request_id", id).Msg("order record not written")
		}
	}()
}
