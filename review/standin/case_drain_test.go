package standin

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["drain"] = caseDrain }

// caseDrain takes a runner away as planned while it runs streams. The runner is one of the few that work on when a
// channel closes.
func caseDrain() bool {
	const (
		streams = 24
		events  = 100
		// allowed is how long the runner before may still work on a request that goes on at another one.
		allowed = 400 * time.Millisecond
	)
	d := newDeployment()
	e := newEngines(d, events, 300*time.Millisecond, 60*time.Millisecond)
	var leaving *runner
	for i, zone := range zones {
		for j := range 2 {
			r := newRunner(d.store, fmt.Sprintf("i-caption-%d%d", i, j), "caption-models", zone, 64, e.handler(i+j > 0))
			if leaving == nil {
				leaving = r
			}
		}
	}
	d.start()
	var wg sync.WaitGroup
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q, err := connect(d.hosts[i%len(d.hosts)].front)
			if err != nil {
				cannotRun("%v", err)
			}
			defer q.close()
			id := fmt.Sprintf("caption-%02d", i)
			got := q.send(captionRequest(id, i, events), 39*time.Second)
			record("request %s, run by %v: %v", id, d.runsOf(id), got)
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		record("runner %s reports that it is draining", leaving.id)
		leaving.register(d.store, "draining")
	}
	wg.Wait()
	time.Sleep(8 * time.Second) // until the last run ends
	broken := 0
	for i := range streams {
		id := fmt.Sprintf("caption-%02d", i)
		if both, who := e.overlap(id); both > allowed {
			broken++
			record("TWICE: %s worked on request %s at the same time for %v", who, id, both.Round(time.Millisecond))
		}
	}
	record("%d of %d requests were worked on by two runners for longer than %v", broken, streams, allowed)
	return broken == 0
}
