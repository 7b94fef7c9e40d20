package standin2

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the path from the hosts to an engine. While it is cut, nothing passes, and new connections hang.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed chan struct{} // closed while the link is not cut
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, healed: make(chan struct{})}
	close(k.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(c)
		}
	}()
	return k, nil
}

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
}

// await returns once the link is not cut.
func (k *link) await() {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	<-healed
}

func (k *link) isCut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.healed:
		return false
	default:
		return true
	}
}

func (k *link) forward(host net.Conn) {
	if k.isCut() {
		// Its opening packets are lost, and the host gives the connection up after some hundred milliseconds.
		k.await()
		resetConn(host)
		return
	}
	engine, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		resetConn(host)
		return
	}
	var once sync.Once
	end := func() {
		once.Do(func() {
			_ = host.Close()
			_ = engine.Close()
		})
	}
	go func() {
		defer end()
		k.copy(engine, host)
	}()
	defer end()
	k.copy(host, engine)
}

// copy forwards what arrives; what arrives during a cut waits for its end.
func (k *link) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		k.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// resetConn closes a connection with a reset, as a machine without a listener does.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
