package request

import (
	"context"
	"io"
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
	g, host, id := gen.c.g, gen.host, gen.id
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		if delay > 0 {
			time.Sleep(delay)
		}
		g.cancelWithRetry(host, id, ifDetached)
		if reservation != nil {
			reservation.Release(false)
		}
	}()
}

// cancelWithRetry cancels a generation. It retries after an error, and while the engine
// rejects the cancellation because a reader is attached: the engine may not have detected
// yet that this host closed its connection. A reader that remains attached belongs to
// another host.
func (g *Gateway) cancelWithRetry(host platform.Host, id string, ifDetached bool) {
	for i := range maxCancelAttempts {
		if i > 0 {
			time.Sleep(cancelBackoff << i)
		}
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		status, err := g.sendCancel(ctx, host, id, ifDetached)
		cancel()
		if err != nil {
			g.Log.Debug().Err(err).Str("backend", host.ID).Msg("failed to cancel the generation at the engine")
		}
		if err == nil && status != fasthttp.StatusConflict {
			return
		}
	}
}

func (g *Gateway) sendCancel(ctx context.Context, host platform.Host, id string, ifDetached bool) (status int, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	uri := "/v1/generations/" + id
	if ifDetached {
		uri += "?if_detached=1"
	}
	req.SetRequestURI(uri)
	req.Header.SetHost(host.Address)
	req.Header.SetMethod("DELETE")
	ex, err := g.Pool.Do(ctx, host.Address, req, connection.Options{NoReuse: true})
	if err != nil {
		return 0, err
	}
	status = ex.Response.StatusCode()
	ex.Finish(false)
	return status, nil
}
