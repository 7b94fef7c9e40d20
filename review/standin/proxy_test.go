package standin

import (
	"net"
	"sync"
)

// link is a TCP proxy to an address. While it is cut, it holds what either side sends, as a partition does until the
// packets are sent again.
type link struct {
	address string
	mu      sync.Mutex
	held    chan struct{} // nil unless the link is cut
}

func newLink(to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("proxy: %v", err)
	}
	k := &link{address: l.Addr().String()}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go k.join(near, to)
		}
	}()
	return k
}

func (k *link) join(near net.Conn, to string) {
	k.pass()
	far, err := net.Dial("tcp", to)
	if err != nil {
		_ = near.Close()
		return
	}
	go k.copy(near, far)
	k.copy(far, near)
}

func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		k.pass()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// pass waits until the link is not cut.
func (k *link) pass() {
	for {
		k.mu.Lock()
		held := k.held
		k.mu.Unlock()
		if held == nil {
			return
		}
		<-held
	}
}

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held == nil {
		k.held = make(chan struct{})
	}
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held != nil {
		close(k.held)
		k.held = nil
	}
}
