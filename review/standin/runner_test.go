package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in for a server of one service. It speaks HTTP/1.1, one request at a time on a channel.
type runner struct {
	id, service, zone string
	address           string
	born              int64
	slots             int
	// handle answers a request. It returns false if the channel must be closed.
	handle func(c *channel, r *http.Request, body []byte) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// channel is one connection to a runner.
type channel struct {
	net.Conn
	runner *runner
	reader *bufio.Reader
	// gone is set once the other side has closed the connection, while watched.
	gone atomic.Bool
}

func newRunner(s *store, id, service, zone string, slots int, handle func(*channel, *http.Request, []byte) bool) *runner {
	r := &runner{id: id, service: service, zone: zone, slots: slots, handle: handle, conns: map[net.Conn]bool{}}
	r.listen("127.0.0.1:0")
	r.register(s, "ready")
	return r
}

func (r *runner) listen(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("runner %s: %v", r.id, err)
	}
	r.listener, r.address, r.born = l, l.Addr().String(), time.Now().UnixMilli()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = true
			r.mu.Unlock()
			go r.serve(c)
		}
	}()
}

// register writes the entry of the runner.
func (r *runner) register(s *store, state string) {
	s.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"cold_left_ms": 0, "sequence": 1, "born": r.born,
	})
}

// crash closes the listener and resets all channels, as the end of the process does.
func (r *runner) crash() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		delete(r.conns, c)
	}
}

func (r *runner) serve(conn net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
		_ = conn.Close()
	}()
	c := &channel{Conn: conn, runner: r, reader: bufio.NewReader(conn)}
	for {
		req, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		if !r.handle(c, req, body) {
			return
		}
	}
}

// watch sets gone when the other side closes the channel during an answer. No request may follow.
func (c *channel) watch() {
	go func() {
		_, _ = c.reader.Peek(1)
		c.gone.Store(true)
	}()
}

// head writes the head of an answer with the receipt. framing is its last header line.
func (c *channel) head(r *http.Request, status int, framing string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s.%s\r\n%s\r\n\r\n",
		status, http.StatusText(status), r.Header.Get("X-Request-Id"), c.runner.id, r.Header.Get("X-Request-Id"), framing)
	return err
}

// reply answers with a whole body.
func (c *channel) reply(r *http.Request, status int, body string) bool {
	return c.head(r, status, fmt.Sprintf("Content-Length: %d", len(body))) == nil && write(c, body) == nil
}

func write(w io.Writer, text string) error {
	_, err := io.WriteString(w, text)
	return err
}

// stream answers with n events, the first after wait and the others after gap. It returns the number that was
// sent before the other side closed the channel.
func (c *channel) stream(r *http.Request, n int, wait, gap time.Duration) int {
	c.watch()
	if err := c.head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close"); err != nil {
		return 0
	}
	for i := 1; i <= n; i++ {
		time.Sleep(map[bool]time.Duration{true: wait, false: gap}[i == 1])
		text := fmt.Sprintf("id: %d\ndata: piece %d of %d for %s\n\n", i, i, n, r.Header.Get("X-Request-Id"))
		if c.gone.Load() || write(c, fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) != nil {
			return i - 1
		}
	}
	_ = write(c, "0\r\n\r\n")
	return n
}
