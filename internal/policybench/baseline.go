package policybench

import "math/rand/v2"

// baseline dispatches each request on arrival, without admission control.
type baseline struct {
	sim     *simulation
	host    *hostState
	rng     *rand.Rand
	choose  func(b *baseline, allowed []int) int
	next    int        // position of the next engine for roundRobin
	waiting []*request // requests for which no engine has capacity
}

func newBaseline(choose func(*baseline, []int) int) func(*simulation, *hostState) policy {
	return func(sim *simulation, h *hostState) policy {
		return &baseline{sim: sim, host: h, choose: choose, next: h.index,
			rng: rand.New(rand.NewPCG(uint64(h.index), 0x62617365))}
	}
}

func (b *baseline) arrive(q *request) {
	var buf [engines]int
	allowed := buf[:0]
	for i := range engines {
		if b.host.views[i].inFlight < b.sim.limit(b.host, i) {
			allowed = append(allowed, i)
		}
	}
	if len(allowed) == 0 {
		b.waiting = append(b.waiting, q)
		return
	}
	b.sim.send(b.host, q, b.choose(b, allowed))
}

func (b *baseline) token(*request)   {}
func (b *baseline) ended(*request)   {}
func (b *baseline) loadReported(int) {}

func (b *baseline) tick() {
	waiting := b.waiting
	b.waiting = nil
	for _, q := range waiting {
		b.arrive(q)
	}
}

// load estimates the requests in flight at an engine: those in the latest load report and
// those that this host sent since.
func (b *baseline) load(engine int) int {
	v := &b.host.views[engine]
	return v.report.Running + v.report.Waiting + v.sinceReport()
}

func roundRobin(b *baseline, allowed []int) int {
	b.next++
	return allowed[b.next%len(allowed)]
}

func leastRequests(b *baseline, allowed []int) int {
	best := -1
	at := b.rng.IntN(len(allowed))
	for range allowed {
		e := allowed[at]
		if best < 0 || b.load(e) < b.load(best) {
			best = e
		}
		at = (at + 1) % len(allowed)
	}
	return best
}

func powerOfTwo(b *baseline, allowed []int) int {
	x := allowed[b.rng.IntN(len(allowed))]
	y := allowed[b.rng.IntN(len(allowed))]
	if b.load(y) < b.load(x) {
		return y
	}
	return x
}
