package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// requester is a channel of a requester to a front address.
type requester struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(address string) (*requester, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &requester{conn: c, reader: bufio.NewReader(c)}, nil
}

// ask describes a request.
type ask struct {
	id, method, host, path, key string
	headers                     []string
	body                        string
	deadline                    time.Duration
}

func (a ask) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, a.host, a.id, a.deadline.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&b, "X-Credential: %s\r\n", a.key)
	}
	for _, h := range a.headers {
		b.WriteString(h + "\r\n")
	}
	if a.body != "" || a.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n" + a.body)
	return b.String()
}

// result is what a requester saw of one request.
type result struct {
	status int
	header http.Header
	body   string
	// complete is set if the answer arrived whole.
	complete bool
	err      error
}

// send sends a request and reads the answer to it. wait limits the time until its end.
func (q *requester) send(a ask, wait time.Duration) result {
	_ = q.conn.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(q.conn, a.text()); err != nil {
		return result{err: err}
	}
	return q.read(a.method)
}

func (q *requester) read(method string) result {
	resp, err := http.ReadResponse(q.reader, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(body), complete: err == nil, err: err}
}

func (q *requester) close() { _ = q.conn.Close() }

func (r result) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer (%v)", r.err)
	}
	return fmt.Sprintf("status %d, stamp %q, %d bytes, complete %v (%v)", r.status, r.header.Get("X-Server-Stamp"), len(r.body), r.complete, r.err)
}
