package standin

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["silence"] = caseSilence }

// caseSilence lets a sound runner fall silent for a second while it runs streams.
func caseSilence() bool {
	const (
		streams = 24
		events  = 150
		silent  = time.Second
		// allowed is how long the runner before may still work on a request that goes on at another one.
		allowed = 400 * time.Millisecond
	)
	d := newDeployment()
	e := newEngines(d, events, 300*time.Millisecond, 60*time.Millisecond)
	var runners []*runner
	for i, zone := range zones {
		for j := range 4 {
			runners = append(runners, newRunner(d.store, fmt.Sprintf("i-caption-%d%d", i, j), "caption-models", zone, 64, e.handler(true)))
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
	time.Sleep(3 * time.Second)
	if trouble {
		record("runner %s is silent for %v and goes on", runners[0].id, silent)
		e.longStep(runners[0].id, silent)
	}
	wg.Wait()
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
