package connection

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

const (
	// maxInterimResponses is how many interim responses may precede a response.
	maxInterimResponses = 16
	// statusLineBytes is the length of the shortest complete status line, such as "HTTP/1.1 200" and a line end.
	statusLineBytes = len("HTTP/1.1 200\n")
)

var errTooManyInterim = errors.New("the backend server sent too many interim responses")

// readResponse reads a response without its body, if that is to be streamed. A status that HTTP does not define is an
// error: fasthttp takes status 000 for 200.
func (c *upstreamConn) readResponse(resp *fasthttp.Response, maxBodyBytes int) error {
	for range maxInterimResponses {
		status, err := c.peekStatus()
		if err != nil {
			return err
		}
		if status >= fasthttp.StatusOK || status == 0 || status == fasthttp.StatusSwitchingProtocols {
			return resp.ReadLimitBody(c.reader, maxBodyBytes)
		}
		if err := resp.Header.Read(c.reader); err != nil {
			return err
		}
	}
	return errTooManyInterim
}

// peekStatus returns the status of the next response, or 0 if the connection ends before it.
func (c *upstreamConn) peekStatus() (int, error) {
	for {
		first, err := c.reader.Peek(1)
		if err != nil {
			return 0, nil // the error is returned again by the read that follows
		}
		if first[0] != '\r' && first[0] != '\n' {
			break
		}
		_, _ = c.reader.Discard(1) // an empty line before the response
	}
	line, err := c.reader.Peek(statusLineBytes)
	if err != nil {
		return 0, nil
	}
	_, code, found := bytes.Cut(line[:statusLineBytes-1], []byte(" "))
	if !found || len(code) != 3 || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0, fmt.Errorf("the backend server sent a response with the invalid status line %q", line)
	}
	return int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0'), nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
