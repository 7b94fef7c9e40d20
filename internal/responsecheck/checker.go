// Package responsecheck checks the format of HTTP/1.x responses (RFC 9112) as they are received. The parsers of the HTTP libraries
// accept more than the RFC does, and each of them something else.
package responsecheck

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	// maxSectionBytes limits a header or trailer section.
	maxSectionBytes = 64 << 10
	// maxInterim is how many interim responses may precede a response.
	maxInterim = 16
	// maxQuotedBytes limits the part of an invalid line that an error quotes.
	maxQuotedBytes = 80
)

// errTooManyInterim is returned for more than maxInterim interim responses to a request.
var errTooManyInterim = errors.New("too many interim responses")

// state is the part of a response that is expected next.
type state uint8

const (
	stateStatusLine state = iota
	stateHeader
	stateBody
	stateChunkSize
	stateChunkData
	stateChunkEnd
	stateTrailer
	// stateUnframed is a body that ends with its connection.
	stateUnframed
)

// Checker checks the bytes of successive responses on a connection. The zero value expects a response to a request whose
// method is not HEAD. It is not safe for concurrent use.
//
// Beyond the grammar it accepts what RFC 9112 lets a recipient accept: lines of a header or trailer section that end with a
// line feed alone, folded fields, empty lines before a response and a status line without the space before a missing reason. It
// also accepts blanks after the size of a chunk, which some servers use as padding.
type Checker struct {
	state state
	// line is the part of the current line that was received by earlier calls.
	line []byte
	// sectionBytes is the length of the current header or trailer section so far.
	sectionBytes int
	// left is the number of bytes of the body or chunk that are still expected.
	left int64
	// interim counts the interim responses to the current request.
	interim int
	head    head
	noBody  bool
}

// head is what the header section of the current response says of its body.
type head struct {
	status int
	// http10 is set for HTTP/1.0, which has no chunks.
	http10 bool
	// length is the Content-Length; -1 for none.
	length  int64
	chunked bool
	// foldable is set after a field that the next line may continue.
	foldable bool
}

// ExpectResponse starts to check the response to a new request; isHead is set if its method is HEAD.
func (c *Checker) ExpectResponse(isHead bool) {
	c.noBody, c.interim = isHead, 0
}

// BetweenResponses reports whether the bytes so far end with a complete response. There may be none.
func (c *Checker) BetweenResponses() bool {
	return c.state == stateStatusLine && len(c.line) == 0
}

// Check checks the next bytes of the connection. It returns how many of them may be passed on, and an error if the line that
// follows them must not be in a response. No further calls are allowed after an error. A minor version above 1 is replaced in p.
func (c *Checker) Check(p []byte) (valid int, err error) {
	for valid < len(p) {
		rest := p[valid:]
		switch c.state {
		case stateUnframed:
			return len(p), nil
		case stateBody, stateChunkData:
			n := min(int64(len(rest)), c.left)
			c.left -= n
			valid += int(n)
			if c.left == 0 {
				c.endData()
			}
			continue
		}
		if c.state == stateStatusLine {
			c.lowerVersion(rest)
		}
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			c.line = append(c.line, rest...)
			return len(p), c.checkLength(len(rest))
		}
		line := rest[:end]
		if len(c.line) > 0 {
			line = append(c.line, line...)
			c.line = c.line[:0]
		}
		if err := c.checkLength(end + 1); err != nil {
			return valid, err
		}
		if err := c.checkLine(line); err != nil {
			return valid, err
		}
		valid += end + 1
	}
	return valid, nil
}

// endData continues after the last byte of a body or of the data of a chunk.
func (c *Checker) endData() {
	if c.state == stateChunkData {
		c.state = stateChunkEnd
		return
	}
	c.expectStatusLine()
}

func (c *Checker) expectStatusLine() {
	c.state, c.sectionBytes = stateStatusLine, 0
	c.line = nil // an idle connection should not hold memory
}

// lowerVersion changes a minor version above 1 in the rest of a status line to 1: a recipient processes such a response as one of
// the highest version that it knows (RFC 9110, section 2.5), but fasthttp takes it for HTTP/1.0, which has no chunks.
func (c *Checker) lowerVersion(rest []byte) {
	i := len("HTTP/1.") - len(c.line)
	if 0 <= i && i < len(rest) && '1' < rest[i] && rest[i] <= '9' {
		rest[i] = '1'
	}
}

// checkLength counts n more bytes of the current section.
func (c *Checker) checkLength(n int) error {
	c.sectionBytes += n
	if c.sectionBytes > maxSectionBytes {
		return fmt.Errorf("a section of the response is longer than %d bytes", maxSectionBytes)
	}
	return nil
}

// checkLine checks a line, which is given without its line feed.
func (c *Checker) checkLine(line []byte) error {
	content, hasReturn := bytes.CutSuffix(line, []byte("\r"))
	switch c.state {
	case stateStatusLine:
		if len(content) == 0 {
			return nil
		}
		return c.checkStatusLine(content)
	case stateHeader:
		if len(content) > 0 {
			return c.checkHeaderLine(content)
		}
		if !hasReturn {
			return errors.New("the header section ends without a carriage return")
		}
		return c.endHeader()
	case stateTrailer:
		if len(content) > 0 {
			return c.checkTrailerLine(content)
		}
		if !hasReturn {
			return errors.New("the trailer section ends without a carriage return")
		}
		c.expectStatusLine()
		return nil
	}
	if !hasReturn {
		return fmt.Errorf("invalid line %s between chunks: it ends without a carriage return", quote(line))
	}
	if c.state == stateChunkSize {
		return c.checkChunkSize(content)
	}
	if len(content) > 0 {
		return fmt.Errorf("unexpected %s after the data of a chunk", quote(content))
	}
	c.state, c.sectionBytes = stateChunkSize, 0
	return nil
}

// checkStatusLine checks a line such as "HTTP/1.1 200 OK".
func (c *Checker) checkStatusLine(line []byte) error {
	version, rest, found := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	minor, isHTTP1 := bytes.CutPrefix(version, []byte("HTTP/1."))
	switch {
	case !found, !isHTTP1, len(minor) != 1, !isDigit(minor[0]):
		return fmt.Errorf("invalid version in the status line %s", quote(line))
	case len(code) != 3, code[0] < '1', code[0] > '5', !isDigit(code[1]), !isDigit(code[2]):
		return fmt.Errorf("invalid status in the status line %s", quote(line))
	case !isFieldText(reason):
		return fmt.Errorf("control character in the status line %s", quote(line))
	}
	status, err := strconv.Atoi(string(code))
	if err != nil {
		return err
	}
	c.head = head{status: status, http10: minor[0] == '0', length: -1}
	c.state = stateHeader
	return nil
}

func (c *Checker) checkHeaderLine(line []byte) error {
	name, value, err := c.checkField(line)
	if err != nil {
		return err
	}
	switch h := &c.head; {
	case strings.EqualFold(name, "Content-Length"):
		if h.length, err = checkContentLength(h.length, value); err != nil {
			return err
		}
		h.foldable = false
	case strings.EqualFold(name, "Transfer-Encoding"):
		if h.chunked || !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("unsupported or repeated Transfer-Encoding %s", quote([]byte(value)))
		}
		h.chunked, h.foldable = true, false
	}
	return nil
}

func checkContentLength(earlier int64, value string) (int64, error) {
	if earlier >= 0 {
		return 0, errors.New("more than one Content-Length")
	}
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("invalid Content-Length %s", quote([]byte(value)))
	}
	return int64(length), nil
}

// checkTrailerLine checks a line of the trailer section, which must not frame the body that it follows (RFC 9110, section
// 6.5.1).
func (c *Checker) checkTrailerLine(line []byte) error {
	name, _, err := c.checkField(line)
	if err != nil {
		return err
	}
	if strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding") {
		return fmt.Errorf("forbidden trailer field %s", name)
	}
	return nil
}

// checkField checks a field line. It returns an empty name for a line that continues the field before it.
func (c *Checker) checkField(line []byte) (name, value string, err error) {
	if isBlank(line[0]) {
		if !c.head.foldable || !isFieldText(line) {
			return "", "", fmt.Errorf("invalid field line %s", quote(line))
		}
		return "", "", nil
	}
	rawName, rawValue, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found:
		return "", "", fmt.Errorf("field line %s without a colon", quote(line))
	case !isToken(rawName):
		return "", "", fmt.Errorf("invalid field name %s", quote(rawName))
	case !isFieldText(rawValue):
		return "", "", fmt.Errorf("control character in the value of field %s", quote(rawName))
	}
	c.head.foldable = true
	return string(rawName), string(bytes.Trim(rawValue, " \t")), nil
}

// endHeader decides from the header section how the response goes on (RFC 9112, section 6.3).
func (c *Checker) endHeader() error {
	h := c.head
	interim := h.status < 200
	switch {
	case h.status == 101:
		return errors.New("status 101, but no other protocol was requested")
	case h.chunked && h.length >= 0:
		return errors.New("both Content-Length and Transfer-Encoding")
	case h.chunked && h.http10:
		return errors.New("Transfer-Encoding in a response of HTTP/1.0")
	case (interim || h.status == 204) && (h.chunked || h.length > 0):
		return fmt.Errorf("Content-Length or Transfer-Encoding in a response of status %d, which has no body", h.status)
	case interim:
		if c.interim++; c.interim > maxInterim {
			return errTooManyInterim
		}
		c.expectStatusLine()
	case c.noBody, h.status == 204, h.status == 304, h.length == 0:
		c.expectStatusLine()
	case h.chunked:
		c.state, c.sectionBytes = stateChunkSize, 0
	case h.length > 0:
		c.state, c.left = stateBody, h.length
	default:
		c.state = stateUnframed
	}
	return nil
}

// checkChunkSize checks the line before the data of a chunk, such as "1a;name=value".
func (c *Checker) checkChunkSize(line []byte) error {
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	if err != nil || !isFieldText(extension) {
		return fmt.Errorf("invalid size line %s of a chunk", quote(line))
	}
	c.sectionBytes = 0
	c.state, c.left = stateChunkData, int64(size)
	if size == 0 {
		c.state, c.head.foldable = stateTrailer, false
	}
	return nil
}

func quote(b []byte) string { return strconv.Quote(string(b[:min(len(b), maxQuotedBytes)])) }

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// isFieldText reports whether b has only characters that a field value or a reason may have (RFC 9110, section 5.5).
func isFieldText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether b may be the name of a field (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		alphanumeric := isDigit(c) || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}
