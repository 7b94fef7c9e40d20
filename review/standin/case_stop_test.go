package standin

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = caseStop }

// caseStop stops a host by SIGTERM while requesters go on using the channels that they have open.
func caseStop() bool {
	const (
		requesters = 60
		// The pace of a runner whose streams are on time: gap_target_ms is 180, goal_ms is 1,800.
		firstEvent = 900 * time.Millisecond
		gap        = 150 * time.Millisecond
		events     = 40
		// A request that was sent later than this after the SIGTERM has no excuse: 3 s, and a margin for the clock.
		excusedUntil = 3050 * time.Millisecond
	)
	d := newDeployment()
	serve := func(c *channel, r *http.Request, _ []byte) bool {
		if r.URL.Path == "/order-lookup/1" {
			return c.reply(r, 200, "ok")
		}
		d.ran(r, c.runner)
		n := c.stream(r, events, firstEvent, gap)
		record("runner %s made %d of %d events for request %s", c.runner.id, n, events, r.Header.Get("X-Request-Id"))
		return false
	}
	for i, zone := range zones {
		newRunner(d.store, fmt.Sprintf("i-caption-%d", i), "caption-models", zone, 64, serve)
		newRunner(d.store, fmt.Sprintf("i-desk-%d", i), "order-desk", zone, 6, serve)
	}
	d.start()
	stopped := d.hosts[0]

	var mu sync.Mutex
	var wg sync.WaitGroup
	lost, accepted := 0, 0
	ready := make(chan struct{}, requesters)
	begin := make(chan time.Time)
	for i := range requesters {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q, err := connect(stopped.front)
			if err != nil {
				cannotRun("%v", err)
			}
			defer q.close()
			first := q.send(ask{id: fmt.Sprintf("first-%02d", i), method: "GET", host: hostName, path: "/order-lookup/1", key: apiKey, deadline: 1200 * time.Millisecond}, 2*time.Second)
			if first.status != 200 {
				cannotRun("first request: %v", first)
			}
			ready <- struct{}{}
			term := <-begin
			time.Sleep(time.Until(term.Add(2*time.Second + time.Duration(i)*2*time.Second/requesters)))
			id := fmt.Sprintf("caption-%02d", i)
			sent := time.Since(term)
			got := q.send(ask{
				id: id, method: "POST", host: hostName, path: "/tribute-caption/1", key: apiKey, deadline: 39 * time.Second, body: "a prompt",
				headers: []string{"X-Model: m", fmt.Sprintf("X-Token-Counts: 1460,%d", 4*events), fmt.Sprintf("X-Prompt-Prefix: 5c1e07a2:800,%08x:660", i+1)},
			}, 39*time.Second)
			ran := d.runsOf(id)
			record("request %s, sent %.3f s after the SIGTERM, run by %v: %v", id, sent.Seconds(), ran, got)
			mu.Lock()
			defer mu.Unlock()
			if len(ran) > 0 {
				accepted++
			}
			if len(ran) > 0 && !got.complete && sent > excusedUntil {
				lost++
				record("LOST: request %s was read and passed on, and its channel ended without a complete answer", id)
			}
		}()
	}
	for range requesters {
		<-ready
	}
	time.Sleep(500 * time.Millisecond)
	term := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	for range requesters {
		begin <- term
	}
	wg.Wait()
	record("%d requests were passed on; %d of those sent later than %v after the SIGTERM were cut", accepted, lost, excusedUntil)
	return lost == 0
}
