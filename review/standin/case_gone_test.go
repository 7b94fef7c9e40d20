package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["gone"] = caseGone }

// caseGone partitions one host from the store for a moment in which a runner leaves without a notice.
func caseGone() bool {
	const (
		rounds  = 5
		beat    = 1200 * time.Millisecond // heartbeat_ms
		cold    = 6 * time.Second
		cutFor  = 700 * time.Millisecond
		drain   = 3 * time.Second // drain_ms
		contact = 4 * time.Second // contact_ms
		serves  = 12 * time.Second
		work    = 100 * time.Millisecond // of an order
	)
	d := newDeployment()
	d.configure(func(config settings) {
		desk := config["services"].([]settings)[1]
		desk["cold_start_s"], desk["cold_per_s"] = cold.Seconds(), 30.0
	})
	type leaving struct {
		at      time.Time // of the store's ack
		calm    time.Time // from when all hosts are in touch
		arrived int
		late    int
	}
	var mu sync.Mutex
	gone := map[string]*leaving{}
	sentAt := map[string]time.Time{}
	ranAt := map[string]string{}
	serve := func(c *channel, r *http.Request, _ []byte) bool {
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		ranAt[id] = c.runner.id
		if g := gone[c.runner.id]; g != nil && !g.at.IsZero() {
			g.arrived++
			if sent := sentAt[id]; sent.After(g.at.Add(drain)) && sent.After(g.calm) {
				if g.late++; g.late <= 3 {
					record("DRAIN: request %s, sent %.3f s after the entry of runner %s was removed, reaches it", id, sent.Sub(g.at).Seconds(), c.runner.id)
				}
			}
		}
		mu.Unlock()
		time.Sleep(work)
		return c.reply(r, 200, "ok")
	}
	for i, zone := range zones {
		newRunner(d.store, fmt.Sprintf("i-desk-%d", i), "order-desk", zone, 6, serve)
	}
	toStore := newLink(d.store.address)
	d.startBehind(func(i int) string {
		if i == 0 {
			return toStore.address
		}
		return d.store.address
	})

	done := make(chan struct{})
	var wg sync.WaitGroup
	answers := map[int]int{}
	lost := 0
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(50*time.Millisecond + rand.N(100*time.Millisecond)):
				}
				id := fmt.Sprintf("commit-%02d-%04d", i, n)
				q, err := connect(d.hosts[i%len(d.hosts)].front)
				if err != nil {
					continue
				}
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				got := q.send(ask{id: id, method: "POST", host: hostName, path: "/order-commit/1", key: apiKey, deadline: 1200 * time.Millisecond, body: "an order"}, 3*time.Second)
				q.close()
				mu.Lock()
				answers[got.status]++
				if x := gone[ranAt[id]]; x != nil && got.status != 200 && sentAt[id].After(x.at.Add(drain)) {
					lost++
					record("order %s was passed on to runner %s, which ended %.3f s after its removal: %v", id, ranAt[id], time.Since(x.at).Seconds(), got)
				}
				mu.Unlock()
			}
		}()
	}
	for round := range rounds {
		x := newRunner(d.store, fmt.Sprintf("i-cold-%d", round), "order-desk", zones[0], 6, serve)
		begun := time.Now()
		beats := func(left time.Duration) {
			d.store.put("servers", x.id, map[string]any{"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": x.slots,
				"state": "ready", "cold_left_ms": left.Milliseconds(), "sequence": 1, "born": x.born})
		}
		beats(cold)
		time.Sleep(beat)
		beats(cold - beat)
		time.Sleep(beat - 50*time.Millisecond)
		if trouble {
			record("host %s is partitioned from the store", d.hosts[0].name)
			toStore.cut()
		}
		time.Sleep(50 * time.Millisecond)
		beats(cold - 2*beat)
		time.Sleep(250 * time.Millisecond)
		g := &leaving{}
		mu.Lock()
		gone[x.id] = g
		mu.Unlock()
		d.store.remove("servers", x.id)
		mu.Lock()
		g.at = time.Now()
		mu.Unlock()
		record("the entry of runner %s is removed, %.3f s after its start; it serves %v longer", x.id, time.Since(begun).Seconds(), serves)
		time.Sleep(cutFor - 300*time.Millisecond)
		toStore.heal()
		record("host %s reaches the store again", d.hosts[0].name)
		mu.Lock()
		g.calm = time.Now().Add(contact)
		mu.Unlock()
		time.Sleep(serves)
		x.crash()
		mu.Lock()
		record("runner %s has ended; it got %d requests after its removal, %d of them too late", x.id, g.arrived, g.late)
		mu.Unlock()
	}
	close(done)
	wg.Wait()
	late := 0
	for _, g := range gone {
		late += g.late
	}
	record("answers by status: %v; %d requests reached a runner that had been gone for longer than %v; %d orders were lost there", answers, late, drain, lost)
	return late == 0
}
