package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// A host that has lost its path to the servers of a service sends the requests for it to another host as their callers sent them.
// That one serves them like those of its own callers, with its own checks and limits, but does not send them on.

const (
	// maxHosts is how many other hosts are asked to serve a request, and maxHostsOfRegion how many of the own region as long as
	// there are others: a cut may be that of a whole domain.
	maxHosts         = 4
	maxHostsOfRegion = 2
	// unusableTime is how long a host is not asked again after it could not serve a request.
	unusableTime = 3 * time.Second
	// errorHeader names the reason of a host that has rejected a request of another one.
	errorHeader = "Entry-Error"
)

const (
	// codeNoPath is the code of a request for a service to which this host has no path.
	codeNoPath = "no_path"
	// codeNoHost is the code of a request that the last host asked did not accept.
	codeNoHost = "no_host"
)

// reasonsOfOneHost are the reasons for which another host may serve the request that one has rejected unexecuted.
var reasonsOfOneHost = []string{codeNoPath, codeHostStops, connection.CodeConnectFailed, "no_configuration", "keys_not_current", "no_route", "unknown_key"}

// otherHosts are the hosts that have just been unable to serve requests of this one.
type otherHosts struct {
	mu       sync.Mutex
	unusable map[string]time.Time // until when
}

func (o *otherHosts) setUnusable(host string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.unusable, func(_ string, until time.Time) bool { return !now.Before(until) })
	o.unusable[host] = now.Add(unusableTime)
}

func (o *otherHosts) isUsable(host string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !now.Before(o.unusable[host])
}

// chooseHost returns a host that may serve the request: one of this host's region unless too many were asked there.
func (r *request) chooseHost(asked []string) (host fleet.Host, ok bool) {
	g, now := r.g, time.Now()
	allowed := route.RegionFilter(r.route, r.team)
	var candidates, ofOtherRegions []fleet.Host
	askedOfRegion := 0
	for id, h := range r.snapshot.Hosts {
		if slices.Contains(asked, id) {
			if h.Region == g.opts.Region {
				askedOfRegion++
			}
			continue
		}
		if id == g.opts.HostID || !allowed(h.Region) || !g.others.isUsable(id, now) || !g.isLive(id) {
			continue
		}
		if h.Region == g.opts.Region {
			candidates = append(candidates, h)
		} else {
			ofOtherRegions = append(ofOtherRegions, h)
		}
	}
	if len(candidates) == 0 || askedOfRegion >= maxHostsOfRegion && len(ofOtherRegions) > 0 {
		candidates = ofOtherRegions
	}
	if len(candidates) == 0 {
		return fleet.Host{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// isLive reports whether another host may be live, as far as this host hears of it.
func (g *Gateway) isLive(host string) bool {
	v := g.view.Load()
	return !v.InMesh || slices.ContainsFunc(v.Peers, func(p gossip.Peer) bool { return p.Host == host })
}

// mayServeElsewhere reports whether another host may serve a request that failed here with err.
func (r *request) mayServeElsewhere(err error) bool {
	return err != nil && !r.fromHost && !r.responded && verdict.Of(err) == verdict.NotRun && r.runs.count() == 0 &&
		r.rejection == nil && r.ctx.Err() == nil && time.Until(r.deadline) > minRetryTime && r.g.paths.lost(r.service)
}

// serveElsewhere has another host serve the request. last is why this one cannot; nil for the lost path alone.
func (r *request) serveElsewhere(last error) error {
	if last == nil {
		last = notRun(503, codeNoPath, "this host cannot reach the backend servers of "+r.service)
	}
	var asked []string
	for len(asked) < maxHosts {
		host, ok := r.chooseHost(asked)
		if !ok {
			break
		}
		asked = append(asked, host.ID)
		r.via = host.ID
		err := r.askHost(host)
		if err == nil || r.responded {
			return err
		}
		if r.ctx.Err() != nil {
			return r.interruptionError(verdict.Of(err) != verdict.NotRun)
		}
		last = err
		if verdict.Of(err) != verdict.NotRun {
			break
		}
		r.g.others.setUnusable(host.ID, time.Now())
	}
	return r.giveUp(last, 0)
}

// askHost sends the request to another host and forwards its response, unless that is a rejection for a reason that
// concerns the host alone.
func (r *request) askHost(host fleet.Host) error {
	r.g.Metrics.SentToHosts.Add(1)
	req := r.forHost()
	defer fasthttp.ReleaseRequest(req)
	ex, err := r.g.hostPool.Do(r.ctx, host.PeerAddress, req, connection.Options{
		NoReuse: true, DialTimeout: connectTimeout, IDHeader: r.g.opts.Dialect.RequestID, SkipOtherIDs: true, BodyNotReused: true,
	})
	if err != nil {
		return verdict.Wrap(err, verdict.Of(err), 502, codeNoHost, "the host %s did not respond", host.ID)
	}
	if err := r.checkHostResponse(host, &ex.Response.Header); err != nil {
		ex.Finish(false)
		return err
	}
	if r.route.Kind == route.Stream && ex.Response.StatusCode() == fasthttp.StatusOK {
		return r.forwardStream(ex)
	}
	body, complete, release, err := r.g.responseBuffers.readStart(ex.Body())
	if err != nil {
		release()
		ex.Finish(false)
		return unusableResponse(err)
	}
	r.status, r.responded = ex.Response.StatusCode(), true
	header := r.hostHeader(&ex.Response.Header)
	if complete {
		r.call.Respond(r.status, header, body)
		release()
		ex.Finish(false)
		return nil
	}
	err = toCaller(r.call.Begin(r.status, header))
	if err == nil {
		_, err = callerBody{r.call}.Write(body)
	}
	release()
	return r.forwardRest(ex, err)
}

// forHost returns the request as another host gets it: as the caller sent it, with the time that is left.
func (r *request) forHost() *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	r.call.Request.Header.CopyTo(&req.Header)
	req.SetBodyRaw(r.call.Request.Body())
	req.Header.SetNoDefaultContentType(true)
	removeHopByHop(&req.Header)
	left := max(time.Until(r.deadline).Milliseconds(), 1)
	req.Header.Set(r.g.opts.Dialect.CallerTimeout, strconv.FormatInt(left, 10))
	return req
}

// checkHostResponse returns an error for a response of another host that must not be forwarded.
func (r *request) checkHostResponse(host fleet.Host, h *fasthttp.ResponseHeader) error {
	d, status := &r.g.opts.Dialect, h.StatusCode()
	reason := string(h.Peek(errorHeader))
	switch {
	case len(h.Peek(d.ServerMark)) > 0 && string(h.Peek(d.RequestID)) == r.id && !meansNotRun(status):
		return nil // that of a backend server
	case len(h.Peek(d.ServerMark)) > 0 || status < fasthttp.StatusBadRequest:
		return verdict.New(verdict.MayHaveRun, 502, codeUnusable, "the response of the host %s is not that of a backend server to the request", host.ID)
	case slices.Contains(reasonsOfOneHost, reason) && status != fasthttp.StatusBadGateway:
		return notRun(503, codeNoHost, "this host cannot reach the backend servers, and the host "+host.ID+" cannot serve the request: "+reason)
	case reason == "" && meansNotRun(status):
		return notRun(503, codeNoHost, "this host cannot reach the backend servers, and the host "+host.ID+" did not accept the request")
	}
	return nil
}

// hostHeader yields the header fields of another host's response that are forwarded to the caller.
func (r *request) hostHeader(h *fasthttp.ResponseHeader) connection.HeaderFields {
	fields := responseHeader(h)
	if len(h.Peek(r.g.opts.Dialect.ServerMark)) > 0 {
		return fields
	}
	return func(yield func(name, value string) bool) {
		fields(func(name, value string) bool {
			return strings.EqualFold(name, errorHeader) || yield(name, value)
		})
	}
}

// forwardStream forwards a stream from another host, each part as it arrives.
func (r *request) forwardStream(ex *connection.Exchange) error {
	r.status, r.responded = ex.Response.StatusCode(), true
	return r.forwardRest(ex, toCaller(r.call.Begin(r.status, r.hostHeader(&ex.Response.Header))))
}

// forwardRest forwards the rest of another host's response, unless err is set, and ends the caller's response so that it looks
// complete only if it is.
func (r *request) forwardRest(ex *connection.Exchange, err error) error {
	if body := ex.Body(); err == nil && body != nil {
		err = r.g.responseBuffers.copyRest(callerBody{r.call}, body)
	}
	if err == nil {
		err = toCaller(r.call.End())
	}
	ex.Finish(false)
	if err != nil {
		return r.abort(err)
	}
	return nil
}
