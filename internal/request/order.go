package request

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/placement"
)

const (
	// headerReplayed marks a stored response of an earlier request with the same key.
	headerReplayed = "Monsoonkeel-Replayed"
	// orderWriteTimeout bounds a write to the record of an order.
	orderWriteTimeout = 10 * time.Second
	// maxIdempotencyKeyBytes bounds an Idempotency-Key.
	maxIdempotencyKeyBytes = 256
)

// OrderRequest identifies an order by team and idempotency key.
type OrderRequest struct {
	Team, Key   string
	RequestHash [sha256.Size]byte
	// Deadline is the latest time at which the order may be sent.
	Deadline time.Time
}

// OrderResponse is the response to the only execution of an order.
type OrderResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// OrderGrant is the exclusive right to send an order once.
type OrderGrant interface {
	// MaySend reports whether the order may still be sent.
	MaySend(now time.Time) bool
	// Finish stores the response, which is replayed to repeated requests.
	Finish(ctx context.Context, response OrderResponse) error
	// Release gives up the right; the order must not have been sent.
	Release(ctx context.Context) error
	// Abandon ends the grant of an order that may have run but has no response.
	Abandon()
}

// ClaimResult holds a Grant, or the Response of an earlier request with the same key,
// or neither if an earlier request has no known response.
type ClaimResult struct {
	Grant    OrderGrant
	Response *OrderResponse
}

// Orders records durable claims on non-idempotent requests before they are sent.
type Orders interface {
	// Claim requests the right to send an order. An error means that this request did
	// not send it. While another request holds the claim, Claim waits for its response
	// until ctx ends.
	Claim(ctx context.Context, o OrderRequest) (ClaimResult, error)
}

// serveOrder sends a non-idempotent request at most once per idempotency key.
func (c *call) serveOrder(req *fasthttp.Request) error {
	key := string(c.http.Request.Header.Peek(headerIdempotencyKey))
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return verdict.New(verdict.NotRun, 400, "idempotency_key_required",
			"requests of class %q require an %s of 1 to %d bytes", c.class.Name, headerIdempotencyKey, maxIdempotencyKeyBytes)
	}
	deadline, _ := c.ctx.Deadline()
	out, err := c.g.Orders.Claim(c.ctx, OrderRequest{Team: c.team.Name, Key: key, RequestHash: orderHash(req), Deadline: deadline})
	if err != nil {
		return annotateClaimError(err)
	}
	switch {
	case out.Grant != nil:
		return c.runOrder(req, out.Grant, deadline)
	case out.Response != nil:
		c.http.Response.Header.Set(headerReplayed, "true")
		c.writeOrderResponse(*out.Response)
		return nil
	}
	// An earlier request may have sent the order, so the verdict must not be NotRun.
	c.maybeSent = true
	return verdict.New(verdict.MayHaveRun, 409, "order_outcome_unknown", "an earlier request with the same idempotency key has no known response")
}

// annotateClaimError adds to the error of a failed claim that, although this request
// was not sent, an earlier one with the same key may have been.
func annotateClaimError(err error) error {
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

// runOrder sends a granted order. Once the order may have reached a backend server, it
// is not retried after an error, nor cancelled when the caller disconnects. At the end of a shutdown it
// is cancelled, so that its caller gets a response and the claim is abandoned before the process ends.
func (c *call) runOrder(req *fasthttp.Request, grant OrderGrant, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	stop := context.AfterFunc(c.ctx, func() {
		if c.cancelledByShutdown() {
			cancel()
		}
	})
	defer stop()
	err := c.runOrderAttempts(ctx, req, grant)
	if err != nil && c.cancelledByShutdown() {
		return c.shutdownError()
	}
	return err
}

func (c *call) runOrderAttempts(ctx context.Context, req *fasthttp.Request, grant OrderGrant) error {
	c.g.RetryBudget.RecordFirstAttempt(c.g.Now())
	var attempted []string
	for attempt := 1; ; attempt++ {
		ex, reservation, err := c.sendOrder(ctx, req, grant, attempted)
		if err == nil {
			defer reservation.Release(true)
			return c.finishOrder(ex, grant)
		}
		if reservation != nil {
			reservation.Release(false)
			attempted = append(attempted, reservation.Host.ID)
		}
		if c.maybeSent {
			grant.Abandon()
			return err
		}
		if reservation == nil || !c.acquireRetry(attempt) {
			c.runInBackground(grant.Release)
			return err
		}
	}
}

// sendOrder makes one attempt to send the order. After an error it also returns the
// reservation, if there is one, which the caller must release; unless c.maybeSent is
// set, another backend server may be attempted.
func (c *call) sendOrder(ctx context.Context, req *fasthttp.Request, grant OrderGrant, attempted []string) (*connection.Exchange, *placement.Reservation, error) {
	reservation, err := c.acquire(workload{}, attempted)
	if err != nil {
		return nil, nil, err
	}
	c.outcome.Backend = reservation.Host.ID
	c.outcome.Attempts = len(attempted) + 1
	c.setRequestHeaders(req, reservation.Host.Address)
	if !grant.MaySend(c.g.Now()) {
		reservation.Release(false)
		return nil, nil, newClaimExpiredError()
	}
	options := c.sendOptions(reservation, true)
	options.BeforeSend = func() error {
		// The claim can expire while the connection is being established.
		if !grant.MaySend(c.g.Now()) {
			return newClaimExpiredError()
		}
		return c.checkMaySend(reservation)
	}
	sentAt := c.g.Now()
	ex, err := c.g.Pool.Do(ctx, reservation.Host.Address, req, options)
	if err != nil {
		c.reportSendFailure(reservation, err)
		return nil, reservation, err
	}
	c.maybeSent = true
	c.observeAnswer(reservation, &ex.Response.Header, sentAt)
	return ex, reservation, nil
}

func newClaimExpiredError() error {
	return verdict.New(verdict.NotRun, 503, "claim_lapsed", "the order's claim expired before the order could be sent")
}

// finishOrder reads the response, delivers it to the caller and stores it in the
// background.
func (c *call) finishOrder(ex *connection.Exchange, grant OrderGrant) error {
	err := c.checkResponse(ex)
	var body []byte
	buffer := c.newBuffer()
	if err == nil {
		body, err = readResponse(ex, maxBufferedResponse, buffer)
	}
	if err != nil {
		buffer.release()
		ex.Finish(false)
		grant.Abandon()
		if errors.Is(err, errBuffersFull) {
			return newBuffersFullError(verdict.MayHaveRun)
		}
		return verdict.Wrap(err, verdict.MayHaveRun, 502, "backend_failed", "the response was truncated or belongs to another request")
	}
	c.copyResponseHeaders(ex)
	c.setResponseBody(ex, body, buffer)
	response := OrderResponse{Status: ex.Response.StatusCode(), ContentType: string(ex.Response.Header.ContentType()), Body: body}
	ex.Finish(true)
	c.outcome.FirstToken = c.g.Now().Sub(c.start)
	c.runInBackground(func(ctx context.Context) error { return grant.Finish(ctx, response) })
	return nil
}

func (c *call) writeOrderResponse(response OrderResponse) {
	c.http.SetStatusCode(response.Status)
	c.http.SetContentType(response.ContentType)
	c.http.SetBody(response.Body)
	c.outcome.FirstToken = c.g.Now().Sub(c.start)
}

// runInBackground runs a write for which the caller does not wait, but which a graceful
// shutdown waits for.
func (c *call) runInBackground(f func(context.Context) error) {
	g, id := c.g, c.outcome.RequestID
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), orderWriteTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			g.Log.Warn().Err(err).Str("request_id", id).Msg("failed to write the order record")
		}
	}()
}
