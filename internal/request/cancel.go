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

// abandon gives up the present run: the engine is told to cancel it and the
// backend server is not tried again by this call.
func (gen *generation) abandon() {
	gen.tried = append(gen.tried, gen.host.ID)
	if gen.ex != nil {
		gen.ex.Finish(false)
	}
	gen.cancelLater(0, false, gen.place)
	gen.place = nil
}

// finish ends a complete generation.
func (gen *generation) finish() {
	// The end marker came, and only the end of the chunked body is left.
	const limit = 1 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(gen.ex.Body(), limit))
	gen.ex.Finish(err == nil && n < limit)
	if gen.place != nil {
		gen.place.Release(true)
	}
}

// cancelLater cancels the run at the engine after a delay and then gives its
// place back. With ifDetached the engine keeps a run that has a reader.
func (gen *generation) cancelLater(delay time.Duration, ifDetached bool, place *placement.Reservation) {
	g, host, id := gen.c.g, gen.host, gen.id
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		if delay > 0 {
			time.Sleep(delay)
		}
		g.cancelUntilDetached(host, id, ifDetached)
		if place != nil {
			place.Release(false)
		}
	}()
}

// cancelUntilDetached repeats a cancellation that the engine refuses because a
// reader is attached: the engine may not have noticed yet that this host's own
// connection is closed. A reader that stays is another host's.
func (g *Gateway) cancelUntilDetached(host platform.Host, id string, ifDetached bool) {
	for i := range maxCancels {
		if i > 0 {
			time.Sleep(cancelPause << i)
		}
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		status, err := g.cancelAtEngine(ctx, host, id, ifDetached)
		cancel()
		if err != nil {
			g.Log.Debug().Err(err).Str("backend", host.ID).Msg("cancel at engine failed")
		}
		if err == nil && status != fasthttp.StatusConflict {
			return
		}
	}
}

func (g *Gateway) cancelAtEngine(ctx context.Context, host platform.Host, id string, ifDetached bool) (status int, err error) {
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
