package connection

import (
	"bytes"
	"strings"
)

// requestError is what is wrong with the head of a request.
type requestError struct {
	status int
	reason string
}

// header is that of the answer to the faulty request.
func (f *requestError) header(yield func(name, value string) bool) {
	if f.status == 503 {
		plainTextRetryAfter(yield)
		return
	}
	plainText(yield)
}

// checkHeader examines a whole request head, its empty last line included. It
// refuses whatever two parsers could frame in different ways, because a second
// request could then be hidden in the body of the first.
func checkHeader(head []byte) *requestError {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n")
	if fault := checkRequestLine(lines[0]); fault != nil {
		return fault
	}
	var lengths, encodings, hosts int
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || strings.ContainsAny(value, "\r\n\x00") {
			return &requestError{400, "malformed header line"}
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if !isDigits(value) {
				return &requestError{400, "malformed Content-Length"}
			}
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(value, "chunked") {
				return &requestError{400, "unsupported Transfer-Encoding"}
			}
		case "host":
			hosts++
		}
	}
	if lengths > 1 || encodings > 1 || lengths+encodings > 1 {
		return &requestError{400, "ambiguous body length"}
	}
	if hosts != 1 {
		return &requestError{400, "exactly one Host header is needed"}
	}
	return nil
}

func checkRequestLine(line string) *requestError {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || !isOriginForm(parts[1]) {
		return &requestError{400, "malformed request line"}
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return &requestError{505, "unsupported HTTP version"}
	}
	return nil
}

// isOriginForm accepts the origin form of a request target.
func isOriginForm(s string) bool {
	if !strings.HasPrefix(s, "/") {
		return false
	}
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		alnum := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !alnum && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return s != ""
}

func isDigits(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != "" && len(s) <= 18
}
