package scenarios

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// load is a group of background callers.
type load struct {
	cancel context.CancelFunc
	stop   chan struct{}
	done   chan struct{}
	calls  atomic.Int64
	// complete counts the complete responses.
	complete atomic.Int64
}

// cmdLoad starts background callers: load NAME.
func cmdLoad(d *deployment, args []string) (string, error) {
	fs := flags("load")
	kinds := fs.String("kinds", "stream,whole,title,lookup,order", "kinds of calls, round robin")
	workers := fs.Int("workers", 8, "number of concurrent callers")
	tokens := fs.Int("tokens", 20, "number of tokens of a generation")
	limit := fs.Int64("max", 3000, "maximum number of calls")
	deadline := fs.Int("order-deadline-ms", 0, "deadline of orders; 0 is the default deadline")
	pause := fs.Duration("pause", 20*time.Millisecond, "pause of a caller between calls")
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	if fs.NArg() != 1 || d.loads[fs.Arg(0)] != nil {
		return "", fmt.Errorf("usage: load [FLAGS] NAME, with a new name")
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, stop: make(chan struct{}), done: make(chan struct{})}
	d.loads[fs.Arg(0)] = l
	names := strings.Split(*kinds, ",")
	var wg sync.WaitGroup
	client := newClient()
	for i := range *workers {
		wg.Go(func() {
			for n := i; l.calls.Add(1) <= *limit; n++ {
				s := d.loadSpec(kind(names[n%len(names)]), *tokens)
				if *deadline > 0 && (s.kind == kindOrder || s.kind == kindRepeated) {
					s.headers["Monsoonkeel-Timeout-Ms"] = strconv.Itoa(*deadline)
				}
				if rec := d.loadCall(ctx, client, s); rec != nil && rec.result == complete {
					l.complete.Add(1)
				}
				select {
				case <-l.stop:
					return
				case <-ctx.Done():
					return
				case <-time.After(*pause):
				}
			}
		})
	}
	go func() {
		wg.Wait()
		client.CloseIdleConnections()
		close(l.done)
	}()
	return "", nil
}

// loadCall makes one call through a ready entry host, which take turns, and retries at
// another one if the connection is refused, as the platform's load balancer does. A
// repeated order goes through all ready hosts at once, and the last response is returned.
func (d *deployment) loadCall(ctx context.Context, client *http.Client, s callSpec) *callRecord {
	hosts := slices.Clone(*d.ready.Load())
	if n := len(hosts); n > 0 {
		turn := int(d.loadCalls.Add(1)) % n
		hosts = append(hosts[turn:], hosts[:turn]...)
	}
	if s.kind == kindRepeated {
		responses := make(chan *callRecord, len(hosts))
		for _, p := range hosts {
			go func() { responses <- d.call(ctx, client, p, s) }()
		}
		var last *callRecord
		for range hosts {
			last = <-responses
		}
		return last
	}
	for _, p := range hosts {
		if rec := d.call(ctx, client, p, s); rec.result != unreachable {
			return rec
		}
	}
	return nil
}

func (d *deployment) loadSpec(k kind, tokens int) callSpec {
	switch k {
	case kindStream:
		return generationSpec(k, "caption", tokens)
	case kindBuffered:
		return generationSpec(k, "whole", tokens)
	case kindUnstreamed:
		return generationSpec(k, "title", tokens)
	case kindLookup:
		return callSpec{kind: k, method: http.MethodGet, path: "/services/" + plainService + "/status/" + uuid.NewString()}
	}
	key := uuid.NewString()
	return callSpec{
		kind: k, method: http.MethodPost, path: "/services/" + plainService + "/orders", idempotencyKey: key, body: `{"order":"` + key + `"}`,
		headers: map[string]string{"Content-Type": "application/json"},
	}
}

// cmdLoadProgress waits until a load has received N more complete responses:
// load-progress NAME N.
func cmdLoadProgress(d *deployment, args []string) (string, error) {
	if len(args) != 2 || d.loads[args[0]] == nil {
		return "", fmt.Errorf("usage: load-progress NAME N")
	}
	n, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return "", err
	}
	l := d.loads[args[0]]
	wanted := l.complete.Load() + n
	return "", waitFor(context.Background(), callTimeout, func() (bool, string) {
		return l.complete.Load() >= wanted, fmt.Sprintf("%d of %d complete responses, %d calls", l.complete.Load(), wanted, l.calls.Load())
	})
}

// cmdLoadStop stops new calls and waits for the running ones.
func cmdLoadStop(d *deployment, args []string) (string, error) {
	for _, name := range args {
		l := d.loads[name]
		if l == nil {
			return "", fmt.Errorf("no load %s", name)
		}
		close(l.stop)
		select {
		case <-l.done:
		case <-time.After(callTimeout + 5*time.Second):
			return "", fmt.Errorf("the calls of load %s did not end", name)
		}
	}
	return "", nil
}
