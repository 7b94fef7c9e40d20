package request

import (
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/placement"
)

const (
	// defaultPlainTimeout applies to a request to a plain service if the caller sets no
	// timeout, so that a hung backend server does not block it forever.
	defaultPlainTimeout = 30 * time.Second
	// maxBufferedBody is the maximum size in bytes of a response that is buffered before it is
	// relayed, so that the request can be retried or the failure reported if the
	// response breaks off.
	maxBufferedBody = 256 << 10
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Upgrade",
}

// servePlain serves /services/<name>/<path>.
func (c *call) servePlain(rest string) error {
	name, path, _ := strings.Cut(rest, "/")
	if err := c.authenticate(); err != nil {
		return err
	}
	svc, ok := c.snapshot.Service(name)
	if ok && svc.Kind == config.ServiceKindEngine && (path == "v1/completions" || path == "v1/chat/completions") {
		return c.serveCompletion("/"+path, name)
	}
	if !ok || svc.Kind != config.ServiceKindPlain {
		return verdict.New(verdict.NotRun, 404, "unknown_service", "unknown plain service %q", name)
	}
	c.service = svc
	c.outcome.Service = name
	method := string(c.http.Method())
	if err := c.classify(method, "/"+path); err != nil {
		return err
	}
	if err := c.applyTimeout(); err != nil {
		return err
	}
	if err := c.acquireTeamSlot(); err != nil {
		return err
	}
	c.applyDefaultTimeout()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.copyRequest(req, "/"+path)
	if c.class.Order {
		return c.serveOrder(req)
	}
	return c.passThrough(req)
}

// applyDefaultTimeout sets defaultPlainTimeout if the caller set no timeout.
func (c *call) applyDefaultTimeout() {
	if _, ok := c.ctx.Deadline(); !ok {
		c.setTimeout(defaultPlainTimeout)
	}
}

// copyRequest copies the caller's request for a backend server, without hop-by-hop
// headers, the team's key and the internal headers.
func (c *call) copyRequest(req *fasthttp.Request, path string) {
	c.http.Request.CopyTo(req)
	// The path is decoded, so it is encoded again. Otherwise its bytes could end up in
	// the request line or the query.
	var uri fasthttp.URI
	uri.SetPath(path)
	uri.SetQueryStringBytes(c.http.URI().QueryString())
	req.SetRequestURIBytes(uri.RequestURI())
	removeHopByHop(&req.Header, req.Header.Peek("Connection"))
	if !bytes.Contains(req.Header.Peek("TE"), []byte("trailers")) {
		req.Header.Del("TE")
	}
	for _, h := range internalHeaders {
		req.Header.Del(h)
	}
	if c.class.Order {
		// The response is stored without its Content-Encoding, so it must not be encoded.
		req.Header.Del("Accept-Encoding")
	}
}

// internalHeaders are the headers that this system defines or consumes. They are not
// forwarded from callers to backend servers.
var internalHeaders = []string{
	"Authorization", headerClass, headerTimeout, headerGenerationID, headerIncarnation, headerPriority, headerDeadline,
	headerFencing,
}

// removeHopByHop removes the standard hop-by-hop headers and those listed in the value of
// the Connection header.
func removeHopByHop(h interface{ Del(string) }, connection []byte) {
	for name := range strings.SplitSeq(string(connection), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// idempotent reports whether the request may be retried even if it may have run.
func (c *call) idempotent() bool {
	m := string(c.http.Method())
	return c.class.Idempotent || m == "GET" || m == "HEAD" || m == "OPTIONS"
}

// passThrough sends the request and relays the response. After a failure it retries at
// another backend server, within the retry budget, if the request did not run or is
// idempotent.
func (c *call) passThrough(req *fasthttp.Request) error {
	c.g.RetryBudget.RecordFirstAttempt(c.g.Now())
	var attempted []string
	for attempt := 1; ; attempt++ {
		reservation, err := c.acquire(workload{}, attempted)
		if err != nil {
			return err
		}
		c.outcome.Backend, c.outcome.Attempts = reservation.Host.ID, attempt
		err = c.exchange(req, reservation, c.idempotent())
		if err == nil {
			return nil
		}
		reservation.Release(false)
		attempted = append(attempted, reservation.Host.ID)
		if c.ctx.Err() != nil {
			return c.contextError()
		}
		safe := verdict.Of(err) == verdict.NotRun || c.idempotent()
		if !safe || !c.acquireRetry(attempt) {
			return err
		}
	}
}

// exchange makes one attempt: it sends the request to a backend server and relays the
// response.
func (c *call) exchange(req *fasthttp.Request, reservation *placement.Reservation, idempotent bool) error {
	c.setRequestHeaders(req, reservation.Host.Address)
	sentAt := c.g.Now()
	ex, err := c.g.Pool.Do(c.ctx, reservation.Host.Address, req, c.sendOptions(reservation, !idempotent))
	if err != nil {
		c.reportSendFailure(reservation, err)
		return err
	}
	c.maybeSent = true
	if err := c.checkResponse(ex); err != nil {
		ex.Finish(false)
		return err
	}
	c.observeAnswer(reservation, &ex.Response.Header, sentAt)
	if status := ex.Response.StatusCode(); idempotent && status >= 502 && status <= 504 {
		ex.Finish(false)
		return c.newError(status, "backend_refused", "the backend server responded with status %d", status)
	}
	return c.relayResponse(ex, reservation)
}

// checkResponse rejects a response with the id of another request.
func (c *call) checkResponse(ex *connection.Exchange) error {
	seen := ex.Response.Header.Peek(headerRequestID)
	if len(seen) > 0 && string(seen) != c.outcome.RequestID {
		return verdict.New(verdict.MayHaveRun, 502, "backend_protocol", "the response belongs to another request")
	}
	return nil
}

// relayResponse relays the response, buffered if its length is known to be at most
// maxBufferedBody, else as a stream.
func (c *call) relayResponse(ex *connection.Exchange, reservation *placement.Reservation) error {
	length := ex.Response.Header.ContentLength()
	// Responses with status 204 or 304 have neither a body nor a Content-Length.
	if ex.Response.SkipBody || ex.Body() == nil || (length >= 0 && length <= maxBufferedBody) {
		buffer := c.newBuffer()
		body, err := readResponse(ex, maxBufferedBody, buffer)
		if err != nil {
			ex.Finish(false)
			return verdict.Wrap(err, verdict.MayHaveRun, 502, "backend_failed", "the response was truncated")
		}
		c.copyResponseHeaders(ex)
		c.setResponseBody(ex, body, buffer)
		ex.Finish(true)
		reservation.Release(true)
		c.outcome.FirstToken = c.g.Now().Sub(c.start)
		return nil
	}
	c.copyResponseHeaders(ex)
	c.outcome.FirstToken = c.g.Now().Sub(c.start)
	c.outcome.Status = ex.Response.StatusCode()
	c.streaming = true
	c.responseBegun.Store(true)
	c.setBodyStream(&responseBody{c: c, ex: ex, reservation: reservation}, length)
	return nil
}

// copyResponseHeaders copies the status and the end-to-end headers to the caller's
// response.
func (c *call) copyResponseHeaders(ex *connection.Exchange) {
	out := &c.http.Response
	closing := out.ConnectionClose()
	connectionHeader := append([]byte(nil), ex.Response.Header.Peek("Connection")...)
	ex.Response.Header.CopyTo(&out.Header)
	// The version is that of this connection: a body without a length is sent in chunks, which HTTP/1.0 does not have.
	out.Header.SetProtocol([]byte("HTTP/1.1"))
	removeHopByHop(&out.Header, connectionHeader)
	out.Header.Set(headerRequestID, c.outcome.RequestID)
	if closing {
		out.SetConnectionClose()
	}
}

func (c *call) setResponseBody(ex *connection.Exchange, body []byte, buffer *responseBuffer) {
	if ex.Response.SkipBody {
		c.http.Response.SkipBody = true
		return
	}
	c.setBody(body, buffer)
}

// responseBody streams a response that is not buffered. For a truncated response, Read
// returns an error, on which fasthttp closes the caller's connection, so that the
// response does not appear complete.
type responseBody struct {
	c           *call
	ex          *connection.Exchange
	reservation *placement.Reservation
	ended       bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ex.Body().Read(p)
	if err == io.EOF {
		b.ended = true
		b.copyTrailers()
	}
	return n, err
}

// copyTrailers copies the trailers, which arrive after the body.
func (b *responseBody) copyTrailers() {
	out := &b.c.http.Response.Header
	in := &b.ex.Response.Header
	for name := range in.Trailers() {
		out.SetBytesKV(name, in.PeekBytes(name))
	}
}

// Close implements io.Closer. It records a response that was not read to its end as cut
// off.
func (b *responseBody) Close() error {
	if !b.ended {
		b.c.outcome.Code = "answer_cut"
		b.c.outcome.Verdict = verdict.MayHaveRun.String()
	}
	b.ex.Finish(b.ended)
	b.reservation.Release(b.ended)
	b.c.end()
	return nil
}
