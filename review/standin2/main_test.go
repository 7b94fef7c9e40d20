// Package standin2 plays the cases of the second review: it starts stand-ins for the metadata store, the backend servers and the
// callers, and the program of the deploy file as separate processes on loopback addresses. It is a test program without tests of
// its own, so that the default test run plays no case; review/build-2.sh builds it.
//
//	standin2 CASE DIR
//
// It writes DIR/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package standin2

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// runLimit is the longest time that a case may take.
	runLimit = 110 * time.Second
)

var cases = map[string]func(*world) (broken bool, err error){
	"cold":   playCold,
	"resume": playResume,
	"cut":    playCut,
	"last":   playLast,
	"poison": playPoison,
}

// TestMain plays a case if the arguments are CASE DIR.
func TestMain(m *testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		os.Exit(m.Run())
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*world) (bool, error), dir string) int {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	temporary, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	w := &world{dir: temporary, program: "target/monsoonkeel-entry", start: time.Now(), record: record, sends: map[string]time.Time{}, trouble: os.Getenv("TROUBLE") != "0"}
	defer w.close()
	if w.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(w)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-interrupted:
		w.dump()
		fmt.Fprintln(os.Stderr, "interrupted")
		return exitFailed
	case r := <-done:
		w.dump()
		switch {
		case r.err != nil:
			fmt.Fprintln(os.Stderr, r.err)
			return exitFailed
		case r.broken:
			fmt.Println("broken")
			return exitBroken
		}
		fmt.Println("held")
		return exitHeld
	case <-time.After(runLimit):
		w.dump()
		fmt.Fprintln(os.Stderr, "the case took too long")
		return exitFailed
	}
}

// configure writes the configuration: a stream route for long and one for short answers of a service.
func (w *world) configure(service map[string]any) {
	route := func(name, prefix string, goal int) map[string]any {
		return map[string]any{
			"name": name, "host": "captions.example", "path_prefix": prefix, "kind": "stream", "timeout_ms": 39000, "goal_ms": goal,
			"gap_target_ms": 1000, "priority": 0, "attempts": 1, "service": service["name"], "sticky": true,
		}
	}
	w.store.put("config", "main", map[string]any{
		"version":  3,
		"routes":   []any{route("long", "/long/", 1800), route("short", "/short/", 1500)},
		"services": []any{service},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
		"tenants":  []any{map[string]any{"name": "team-1", "api_keys": []string{"key-1"}}},
	})
}

const (
	// coldPerSecond is the rate of requests that a cold engine tolerates, and coldBound the most that it may get in a second.
	coldPerSecond = 30
	coldBound     = int(coldPerSecond*coldOver + coldSlack)
)

// engineService is a service of model engines that can move and back up runs.
func engineService(cold time.Duration) map[string]any {
	return map[string]any{
		"name": "models", "health_path": "/healthz", "max_conns": 442, "cold_start_s": cold.Seconds(), "cold_per_s": coldPerSecond,
		"engine": map[string]any{
			"slots": slots, "kv_capacity": kvTokens, "kv_token_bytes": 18432, "link_mbps": 2700, "moves": true, "backups": true, "stride": stride, "handle_s": 5,
		},
	}
}

// load keeps sending requests at a rate, spread over the hosts, until stop is closed; it returns when all are answered.
func (w *world) load(perSecond float64, q func() request, stop <-chan struct{}) (wait func()) {
	pending := make(chan struct{}, 4096)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		idle := make([]chan *caller, len(w.hosts))
		for i := range idle {
			idle[i] = make(chan *caller, 4096)
		}
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			i := n % len(w.hosts)
			var c *caller
			select {
			case c = <-idle[i]:
			default:
				c = w.newCaller(w.hosts[i])
			}
			pending <- struct{}{}
			go func() {
				c.stream(q())
				idle[i] <- c
				<-pending
			}()
		}
	}()
	return func() {
		<-done
		for range cap(pending) {
			pending <- struct{}{} // full once no request is pending
		}
	}
}

func short() request { return request{path: "/short/x", prompt: 40, output: 4} }
