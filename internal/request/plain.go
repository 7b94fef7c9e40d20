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
	// defaultPlainTimeout bounds a call to a plain service without a timeout
	// of the caller, so that a hung backend server does not hold it forever.
	defaultPlainTimeout = 30 * time.Second
	// maxBufferedBody is the largest answer that is read whole before it is
	// passed on, so that a broken one can be repeated or reported.
	maxBufferedBody = 256 << 10
)

// hopByHop headers concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Upgrade",
}

// plain serves /services/<name>/<path>.
func (c *call) plain(rest string) error {
	name, path, _ := strings.Cut(rest, "/")
	if err := c.authenticate(); err != nil {
		return err
	}
	svc, ok := c.g.Snapshot().Service(name)
	if ok && svc.Kind == config.KindEngine && (path == "v1/completions" || path == "v1/chat/completions") {
		return c.model("/"+path, name)
	}
	if !ok || svc.Kind != config.KindPlain {
		return verdict.New(verdict.NotRun, 404, "unknown_service", "unknown plain service %q", name)
	}
	c.service = svc
	c.out.Service = name
	method := string(c.http.Method())
	if err := c.classify(method, "/"+path); err != nil {
		return err
	}
	if err := c.deadline(); err != nil {
		return err
	}
	if err := c.limitTeam(); err != nil {
		return err
	}
	c.defaultDeadline()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.copyRequest(req, "/"+path)
	if c.class.Order {
		return c.order(req)
	}
	return c.passThrough(req)
}

// defaultDeadline applies when the caller gave none.
func (c *call) defaultDeadline() {
	if _, ok := c.ctx.Deadline(); !ok {
		c.endAfter(defaultPlainTimeout)
	}
}

// copyRequest prepares the request for a backend server. The team's key and
// this system's own headers stay here.
func (c *call) copyRequest(req *fasthttp.Request, path string) {
	c.http.Request.CopyTo(req)
	// The path is decoded; it is encoded again, so that none of its bytes
	// becomes a part of the request line or of the query.
	var uri fasthttp.URI
	uri.SetPath(path)
	uri.SetQueryStringBytes(c.http.URI().QueryString())
	req.SetRequestURIBytes(uri.RequestURI())
	delHopByHop(&req.Header, req.Header.Peek("Connection"))
	if !bytes.Contains(req.Header.Peek("TE"), []byte("trailers")) {
		req.Header.Del("TE")
	}
	for _, h := range ownHeaders {
		req.Header.Del(h)
	}
	if c.class.Order {
		// The answer is stored without its Content-Encoding.
		req.Header.Del("Accept-Encoding")
	}
}

// ownHeaders are this system's own towards callers and backend servers; a
// caller cannot set them at a backend server.
var ownHeaders = []string{
	"Authorization", headerClass, headerTimeout, headerGenerationID, headerIncarnation, headerPriority, headerDeadline,
	headerFencing,
}

// delHopByHop removes the headers of one connection: the usual ones and those
// that its Connection header names.
func delHopByHop(h interface{ Del(string) }, connection []byte) {
	for name := range strings.SplitSeq(string(connection), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// idempotent says whether the call may be repeated after it may have run.
func (c *call) idempotent() bool {
	m := string(c.http.Method())
	return c.class.Idempotent || m == "GET" || m == "HEAD" || m == "OPTIONS"
}

// passThrough sends the request and relays the answer, repeating it elsewhere
// within the retry budget if that is safe.
func (c *call) passThrough(req *fasthttp.Request) error {
	c.g.RetryBudget.RecordFirstAttempt(c.g.Now())
	var tried []string
	for tries := 1; ; tries++ {
		p, err := c.place(work{}, tried)
		if err != nil {
			return err
		}
		c.out.Backend, c.out.Attempts = p.Host.ID, tries
		err = c.exchange(req, p, c.idempotent())
		if err == nil {
			return nil
		}
		p.Release(false)
		tried = append(tried, p.Host.ID)
		if c.ctx.Err() != nil {
			return c.interrupted()
		}
		safe := verdict.Of(err) == verdict.NotRun || c.idempotent()
		if !safe || !c.mayRetry(tries) {
			return err
		}
	}
}

// exchange sends the request to one backend server and hands over the answer.
func (c *call) exchange(req *fasthttp.Request, p *placement.Reservation, idempotent bool) error {
	c.requestTo(req, p.Host.Address)
	ex, err := c.g.Pool.Do(c.ctx, p.Host.Address, req, c.sendOptions(p, !idempotent))
	if err != nil {
		c.noteSendFailure(p, err)
		return err
	}
	c.attempted = true
	if err := c.checkAnswer(ex); err != nil {
		ex.Finish(false)
		return err
	}
	if status := ex.Response.StatusCode(); idempotent && status >= 502 && status <= 504 {
		ex.Finish(false)
		return c.failure(status, "backend_refused", "the backend server answered %d", status)
	}
	return c.relayAnswer(ex, p)
}

// checkAnswer refuses an answer that names another request.
func (c *call) checkAnswer(ex *connection.Exchange) error {
	seen := ex.Response.Header.Peek(headerRequestID)
	if len(seen) > 0 && string(seen) != c.out.RequestID {
		return verdict.New(verdict.MayHaveRun, 502, "backend_protocol", "the answer belongs to another request")
	}
	return nil
}

// relayAnswer passes the answer on: whole if it is small, else as a stream.
func (c *call) relayAnswer(ex *connection.Exchange, p *placement.Reservation) error {
	length := ex.Response.Header.ContentLength()
	// Status 204 and 304 have neither a body nor a length.
	if ex.Response.SkipBody || ex.Body() == nil || (length >= 0 && length <= maxBufferedBody) {
		body, err := readAnswer(ex, maxBufferedBody)
		if err != nil {
			ex.Finish(false)
			return verdict.Wrap(err, verdict.MayHaveRun, 502, "backend_failed", "the answer was cut off")
		}
		c.copyHead(ex)
		c.setBody(ex, body)
		ex.Finish(true)
		p.Release(true)
		c.out.FirstToken = c.g.Now().Sub(c.start)
		return nil
	}
	c.copyHead(ex)
	c.out.FirstToken = c.g.Now().Sub(c.start)
	c.out.Status = ex.Response.StatusCode()
	c.streaming = true
	c.http.Response.SetBodyStream(&answerBody{c: c, ex: ex, place: p}, length)
	return nil
}

// readAnswer reads a whole body and refuses one that is cut off or too large.
func readAnswer(ex *connection.Exchange, limit int) ([]byte, error) {
	if ex.Response.SkipBody || ex.Body() == nil {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(ex.Body(), int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if n := ex.Response.Header.ContentLength(); n >= 0 && n != len(body) {
		return nil, io.ErrUnexpectedEOF
	}
	if len(body) > limit {
		return nil, errAnswerTooLarge
	}
	return body, nil
}

// copyHead copies the status and the end-to-end headers.
func (c *call) copyHead(ex *connection.Exchange) {
	out := &c.http.Response
	closing := out.ConnectionClose()
	named := append([]byte(nil), ex.Response.Header.Peek("Connection")...)
	ex.Response.Header.CopyTo(&out.Header)
	delHopByHop(&out.Header, named)
	out.Header.Set(headerRequestID, c.out.RequestID)
	if closing {
		out.SetConnectionClose()
	}
}

func (c *call) setBody(ex *connection.Exchange, body []byte) {
	if ex.Response.SkipBody {
		c.http.Response.SkipBody = true
		return
	}
	c.http.Response.SetBody(body)
}

// answerBody streams a large answer. A cut answer returns an error, on which
// fasthttp closes the caller's connection, so that it never looks complete.
type answerBody struct {
	c     *call
	ex    *connection.Exchange
	place *placement.Reservation
	ended bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ex.Body().Read(p)
	if err == io.EOF {
		b.ended = true
		b.copyTrailers()
	}
	return n, err
}

// copyTrailers passes on the trailers, which arrive after the body.
func (b *answerBody) copyTrailers() {
	out := &b.c.http.Response.Header
	in := &b.ex.Response.Header
	for name := range in.Trailers() {
		out.SetBytesKV(name, in.PeekBytes(name))
	}
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if !b.ended {
		b.c.out.Code = "answer_cut"
		b.c.out.Verdict = verdict.MayHaveRun.String()
	}
	b.ex.Finish(b.ended)
	b.place.Release(b.ended)
	b.c.end()
	return nil
}
