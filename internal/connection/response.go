package connection

import "github.com/valyala/fasthttp"

// statusLineBytes is the length of the shortest complete status line, such as "HTTP/1.1 200" and a line end.
const statusLineBytes = len("HTTP/1.1 200\n")

// readResponse reads a response without its body, if that is to be streamed. The connection limits the interim responses before
// it.
func (c *upstreamConn) readResponse(resp *fasthttp.Response, maxBodyBytes int) error {
	for c.nextIsInterim() {
		if err := resp.Header.Read(c.reader); err != nil {
			return err
		}
	}
	return resp.ReadLimitBody(c.reader, maxBodyBytes)
}

// nextIsInterim reports whether an interim response is next. Errors are left to the read that follows.
func (c *upstreamConn) nextIsInterim() bool {
	for {
		first, err := c.reader.Peek(1)
		if err != nil {
			return false
		}
		if first[0] != '\r' && first[0] != '\n' {
			break
		}
		_, _ = c.reader.Discard(1) // an empty line before the response
	}
	line, err := c.reader.Peek(statusLineBytes)
	return err == nil && line[len("HTTP/1.1 ")] == '1'
}
