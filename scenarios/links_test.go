package scenarios

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// links are TCP proxies in this process between the daemons and the object API
// and among the daemons, so that a host can be partitioned. A cut link keeps its
// connections open and accepts new ones, but forwards no bytes.
type links struct {
	hostsURL       string
	objectsAddress string

	mu sync.Mutex
	// byEndpoints holds the links by "FROM TO", the names of both processes.
	byEndpoints map[string]*link
	servers     []*http.Server
	cutHosts    map[string]bool
}

// link proxies connections from one host to another process, at the address target.
type link struct {
	owner    *links
	from, to string
	target   string
	listener net.Listener

	mu    sync.Mutex
	conns []net.Conn
	cut   atomic.Bool
}

func newLinks(d *deployment) *links {
	return &links{
		hostsURL: d.processes["hosts"].url(), objectsAddress: d.processes["objects"].address,
		byEndpoints: map[string]*link{}, cutHosts: map[string]bool{},
	}
}

// attach returns the URLs of the object API and host list for a host. Its host
// list has the addresses of links in place of the peers' addresses.
func (l *links) attach(p *process) (objects, hosts string, err error) {
	object, err := l.open(p.name, "objects", l.objectsAddress)
	if err != nil {
		return "", "", err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { l.serveHosts(w, p) })}
	l.mu.Lock()
	l.servers = append(l.servers, server)
	l.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return "http://" + object.listener.Addr().String(), "http://" + listener.Addr().String(), nil
}

func (l *links) serveHosts(w http.ResponseWriter, p *process) {
	list, err := getJSON[struct {
		Revision uint64          `json:"revision"`
		Hosts    []platform.Host `json:"hosts"`
	}](l.hostsURL + "/hosts")
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	for i, h := range list.Hosts {
		if h.Role != platform.RoleEntry || h.ID == p.name {
			continue
		}
		to, err := l.open(p.name, h.ID, h.PeerAddress)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		list.Hosts[i].PeerAddress = to.listener.Addr().String()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// open returns the link from a host to another process and creates it if needed.
// A new link of a host that is cut off is cut too.
func (l *links) open(from, to, target string) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := from + " " + to
	if k := l.byEndpoints[name]; k != nil {
		return k, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{owner: l, from: from, to: to, target: target, listener: listener}
	k.cut.Store(l.cutHosts[from] || l.cutHosts[to])
	l.byEndpoints[name] = k
	go k.serve()
	return k, nil
}

func (k *link) serve() {
	for {
		in, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.track(in)
		go func() {
			out, err := net.Dial("tcp", k.target)
			if err != nil {
				_ = in.Close()
				return
			}
			k.track(out)
			go k.copy(out, in)
			k.copy(in, out)
		}()
	}
}

func (k *link) track(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns = append(k.conns, c)
}

// copy forwards bytes until the link is cut. Bytes read while it is cut are
// dropped; the connection is closed when the link is healed.
func (k *link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if k.cut.Load() {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
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

// closeConns closes all connections of the link, accepted and dialed.
func (k *link) closeConns() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		_ = c.Close()
	}
	k.conns = nil
}

// set cuts or heals all links of a host. A healed link stays cut while the host
// at its other end is cut off.
func (l *links) set(host string, cut bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutHosts[host] = cut
	found := false
	for _, k := range l.byEndpoints {
		if k.from != host && k.to != host {
			continue
		}
		found = true
		k.cut.Store(cut || l.cutHosts[k.from] || l.cutHosts[k.to])
		if !cut {
			k.closeConns()
		}
	}
	if !found {
		return fmt.Errorf("no links of %s", host)
	}
	return nil
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.byEndpoints {
		_ = k.listener.Close()
		k.closeConns()
	}
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// cmdCut cuts hosts off from the object API and from their peers. Callers,
// backend servers and the host list stay reachable.
func cmdCut(d *deployment, args []string) (string, error) { return d.setLinks(args, true) }

func cmdHeal(d *deployment, args []string) (string, error) { return d.setLinks(args, false) }

func (d *deployment) setLinks(names []string, cut bool) (string, error) {
	if d.links == nil {
		return "", fmt.Errorf("the deployment has no links; use deployment -links")
	}
	for _, name := range names {
		if err := d.links.set(name, cut); err != nil {
			return "", fmt.Errorf("%s: %w", strings.Join(names, " "), err)
		}
	}
	return "", nil
}
