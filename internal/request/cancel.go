package request

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/placement"
	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// abandon ends the current attempt: it cancels the generation at the engine and lets
// further attempts of this call prefer other backend servers.
func (gen *generation) abandon() {
	gen.attemptedBackends = append(gen.attemptedBackends, gen.host.ID)
	if gen.exchange != nil {
		gen.exchange.Finish(false)
	}
	if gen.refused {
		gen.reservation.Release(false) // there is no generation to cancel, and the engine wants no request
	} else {
		gen.cancelInBackground(0, false, gen.reservation)
	}
	gen.reservation = nil
}

// finish releases the exchange and the reservation of a completed generation.
func (gen *generation) finish() {
	// Only the end of the chunked body follows the end marker. The connection is
	// reused only if that end arrives.
	const limit = 1 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(gen.exchange.Body(), limit))
	gen.exchange.Finish(err == nil && n < limit)
	if gen.reservation != nil {
		gen.reservation.Release(true)
	}
}

// cancelInBackground cancels the generation at the engine after a delay and then
// releases the reservation. With ifDetached, the engine keeps the generation if a
// reader is attached to it.
func (gen *generation) cancelInBackground(delay time.Duration, ifDetached bool, reservation *placement.Reservation) {
	g := gen.c.g
	c := cancellation{host: gen.host, process: gen.processOf(gen.incarnation), id: gen.id, ifDetached: ifDetached}
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		g.cancelAfter(delay, c)
		if reservation != nil {
			reservation.Release(false)
		}
	}()
}

// cancellation is the request to cancel a generation.
type cancellation struct {
	host       platform.Host
	process    placement.Process
	id         string
	ifDetached bool
}

// cancelAfter cancels a generation after a delay. An engine that refuses requests, fails or does not respond may still
// run it, and is asked again. The delay starts anew then, since the caller could not resume the generation in the
// meantime.
func (g *Gateway) cancelAfter(delay time.Duration, c cancellation) {
	for giveUpAt := time.Now().Add(maxCancelWait); ; {
		if delay > 0 {
			time.Sleep(delay)
		}
		againAt, err := g.cancelWithRetry(c)
		var refusal *refusedError
		switch {
		case err == nil:
			return
		case againAt.After(giveUpAt):
			g.Log.Warn().Err(err).Str("backend", c.host.ID).Str("generation", c.id).Time("refuses_until", againAt).
				Msg("generation not cancelled: its engine has refused requests, failed or not responded for too long")
			return
		case delay > 0 && errors.As(err, &refusal):
			delay = max(delay, minGraceAfterRefusal)
		}
		time.Sleep(time.Until(againAt))
	}
}

// errCancelRejected is returned for a cancellation that an engine rejected, but may accept later.
var errCancelRejected = errors.New("the engine rejected the cancellation")

// cancelWithRetry cancels a generation. It retries after an error, and while the engine
// rejects the cancellation because a reader is attached: the engine may not have detected
// yet that this host closed its connection. A reader that remains attached belongs to
// another host. An error means that the engine may still run the generation, and is to be asked again at againAt; one
// that refuses connections has ended.
func (g *Gateway) cancelWithRetry(c cancellation) (againAt time.Time, err error) {
	for i := range maxCancelAttempts {
		if i > 0 {
			time.Sleep(cancelBackoff << i)
		}
		var status int
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		status, err = g.sendCancel(ctx, c)
		cancel()
		var refusal *refusedError
		switch {
		case errors.As(err, &refusal):
			return refusal.returnsAt, err
		case err == nil && !mayAcceptCancelLater(status):
			return time.Time{}, nil
		case err == nil && status != fasthttp.StatusConflict:
			err = fmt.Errorf("%w with status %d", errCancelRejected, status)
		}
		g.Log.Debug().Err(err).Int("status", status).Str("backend", c.host.ID).Msg("failed to cancel the generation at the engine")
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return time.Time{}, nil
	}
	return time.Now().Add(cancelRetryInterval), err
}

// mayAcceptCancelLater reports whether an engine that responded to a cancellation with a status may cancel the
// generation later.
func mayAcceptCancelLater(status int) bool {
	switch status {
	case fasthttp.StatusConflict, fasthttp.StatusRequestTimeout, fasthttp.StatusTooManyRequests:
		return true
	}
	return status >= 500
}

func (g *Gateway) sendCancel(ctx context.Context, c cancellation) (status int, err error) {
	beforeSend, err := takeUnreserved(c.process)
	if err != nil {
		return 0, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	uri := "/v1/generations/" + c.id
	if c.ifDetached {
		uri += "?if_detached=1"
	}
	req.SetRequestURI(uri)
	req.Header.SetHost(c.host.Address)
	req.Header.SetMethod("DELETE")
	sentAt := time.Now()
	ex, err := g.Pool.Do(ctx, c.host.Address, req, connection.Options{NoReuse: true, BeforeSend: beforeSend})
	if err != nil {
		return 0, err
	}
	defer ex.Finish(false)
	if g.observeAnswer(c.process, &ex.Response.Header, sentAt) {
		return 0, &refusedError{returnsAt: c.process.ReturnsAt()}
	}
	return ex.Response.StatusCode(), nil
}
