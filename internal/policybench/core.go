package policybench

import (
	"slices"
	"strconv"
	"time"

	"monsoonkeel.example/monsoonkeel/core/admit"
	"monsoonkeel.example/monsoonkeel/core/dispatch"
	"monsoonkeel.example/monsoonkeel/core/schedule"
)

const (
	// refreshTicks is the number of ticks between predictions of KV cache demand, 100 ms
	// with ticks of 25 ms. The daemon predicts every 200 ms and on each load report.
	refreshTicks = 4
	// initialCapacity is the assumed number of concurrent requests of a backend server until
	// its step times are reported.
	initialCapacity = 100
)

var teamNames = func() (n [teams]string) {
	for i := range n {
		n[i] = "team-" + strconv.Itoa(i)
	}
	return n
}()

var regionNames = [regions]string{"a", "b", "c"}

// engineNames contains the server IDs of the engines, by index.
var engineNames = func() (n [engines]string) {
	for i := range n {
		n[i] = strconv.Itoa(i)
	}
	return n
}()

// corePolicy runs the daemon's dispatcher for one host in the simulation.
type corePolicy struct {
	sim        *simulation
	host       *hostState
	position   int
	dispatcher *dispatch.Dispatcher
	// servers is the list last passed to the dispatcher, and latest a buffer for the current
	// one.
	servers, latest []dispatch.Server
	waiting         map[uint64]*request
	ticks           int
}

func newCorePolicy(sim *simulation, h *hostState) policy {
	return &corePolicy{sim: sim, host: h, waiting: map[uint64]*request{},
		dispatcher: dispatch.New(dispatch.Options{Region: regionNames[h.region], Engine: true, Seed: uint64(h.index)})}
}

// updateServers passes the engines that may receive new requests to the dispatcher if the
// engines, their limits or the host's position changed.
func (c *corePolicy) updateServers() {
	c.latest = c.latest[:0]
	for region := range regions {
		for i := range engines {
			v := &c.host.views[i]
			if regionOf(i) != region || v.outOfService {
				continue
			}
			s := dispatch.Server{ID: engineNames[i], Incarnation: v.report.Incarnation, Region: regionNames[region],
				Domain: regionNames[region], Limit: c.sim.limit(c.host, i), Capacity: initialCapacity}
			// The limit of a cold engine depends on a load report of the same incarnation.
			if v.cold && !v.hasReport {
				s.Limit = 0
			}
			s.Warm = !v.cold
			c.latest = append(c.latest, s)
		}
	}
	position, hosts := c.hostPosition()
	if position == c.position && slices.Equal(c.servers, c.latest) {
		return
	}
	c.position = position
	c.servers = append(c.servers[:0], c.latest...)
	c.dispatcher.SetServers(c.servers, position, hosts)
}

// hostPosition returns the index of this host in the list of hosts sorted by region, and the
// number of hosts.
func (c *corePolicy) hostPosition() (position, hosts int) {
	for h, o := range c.sim.hosts {
		if o.region < c.host.region || (o.region == c.host.region && h < c.host.index) {
			position++
		}
	}
	return position, len(c.sim.hosts)
}

func (c *corePolicy) arrive(q *request) {
	c.updateServers()
	r := dispatch.Request{ID: q.id, Class: classes[q.class].name, Team: teamNames[q.team],
		Priority: classes[q.class].priority, Arrival: q.arrival, Target: classes[q.class].firstToken,
		TokenGapMS: int(classes[q.class].gap / time.Millisecond), PromptTokens: q.prompt,
		Prefix: q.prefix, PrefixTokens: q.prefixTokens}
	for _, i := range q.attempted {
		r.Attempted = append(r.Attempted, engineNames[i])
	}
	c.waiting[q.id] = q
	c.apply(c.dispatcher.Offer(r, c.sim.now))
}

// apply executes a decision of the dispatcher.
func (c *corePolicy) apply(out dispatch.Outcome) {
	q := c.waiting[out.ID]
	switch out.Action {
	case admit.Wait:
		return
	case admit.Reject:
		delete(c.waiting, out.ID)
		c.sim.reject(q)
	case admit.Dispatch:
		delete(c.waiting, out.ID)
		engine, err := strconv.Atoi(out.Server)
		if err != nil {
			panic(err) // all server IDs come from engineNames
		}
		c.sim.send(c.host, q, engine)
	}
}

func (c *corePolicy) drain() {
	c.updateServers()
	for _, out := range c.dispatcher.Drain(c.sim.now) {
		c.apply(out)
	}
}

func (c *corePolicy) token(q *request) {
	c.dispatcher.Progress(q.id, q.delivered)
	if q.delivered == 1 {
		c.drain()
	}
}

func (c *corePolicy) ended(q *request) {
	c.dispatcher.Ended(q.id, q.done && !q.interrupted, c.sim.now)
	c.drain()
}

func (c *corePolicy) loadReported(i int) {
	c.updateServers()
	v := &c.host.views[i]
	c.dispatcher.ApplyReport(engineNames[i], schedule.Report{At: v.reportAt, InFlight: v.report.Running + v.report.Waiting,
		Running: v.report.Running, KVUsed: v.report.BlocksUsed * v.report.BlockTokens,
		KVTotal: v.report.BlocksTotal * v.report.BlockTokens, Preemptions: v.report.Preemptions,
		StepMS: v.report.StepMS, Incarnation: v.report.Incarnation}, c.sim.now)
}

func (c *corePolicy) tick() {
	c.updateServers()
	if c.ticks%refreshTicks == 0 {
		c.dispatcher.Refresh(c.sim.now)
	}
	c.ticks++
	c.drain()
}
