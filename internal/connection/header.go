package connection

import (
	"bytes"
	"strings"
)

// requestError holds the status of the response to a rejected request, and the reason,
// which is the body of the response. If status is 0, the connection failed and no response
// is sent.
type requestError struct {
	status int
	reason string
}

// header yields the header fields of the response.
func (e *requestError) header(yield func(name, value string) bool) {
	if e.status == 503 {
		plainTextRetryAfter(yield)
		return
	}
	plainText(yield)
}

// checkHeader validates a request line and header section, including the final empty
// line. It rejects a request whose length two parsers could read differently, since a
// second request could be smuggled in its body.
func checkHeader(header []byte) *requestError {
	lines := strings.Split(strings.TrimSuffix(string(header), "\r\n\r\n"), "\r\n")
	if reqErr := checkRequestLine(lines[0]); reqErr != nil {
		return reqErr
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

// isOriginForm reports whether s is a request target in origin form (RFC 9112, section 3.2.1).
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
