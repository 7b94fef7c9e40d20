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
	// refreshEvery is the number of ticks between predictions of demand. With
	// ticks of 25 ms it is 100 ms; the daemon predicts every 200 ms and
	// whenever a load report arrives.
	refreshEvery = 4
	// engineCapacity is the number of requests that a backend server is taken
	// to run at once until its step times tell.
	engineCapacity = 100
)

var teamNames = func() (n [teams]string) {
	for i := range n {
		n[i] = "team-" + strconv.Itoa(i)
	}
	return n
}()

var regionNames = [regions]string{"a", "b", "c"}

// engineNames are the engines' ids, by index.
var engineNames = func() (n [engines]string) {
	for i := range n {
		n[i] = strconv.Itoa(i)
	}
	return n
}()

// core is the daemon's dispatcher of one host, driven by the simulation.
type core struct {
	run      *run
	host     *hostState
	position int
	d        *dispatch.Dispatcher
	// servers is the list that the dispatcher has, and next the newest one.
	servers, next []dispatch.Server
	waiting       map[uint64]*request
	ticks         int
}

func newCore(r *run, h *hostState) policy {
	return &core{run: r, host: h, waiting: map[uint64]*request{},
		d: dispatch.New(dispatch.Options{Region: regionNames[h.region], Engine: true, Seed: uint64(h.index)})}
}

// update gives the dispatcher the engines that may get new work, when they or
// their limits changed.
func (c *core) update() {
	c.next = c.next[:0]
	for region := range regions {
		for i := range engines {
			v := &c.host.views[i]
			if regionOf(i) != region || v.out {
				continue
			}
			s := dispatch.Server{ID: engineNames[i], Incarnation: v.report.Incarnation, Region: regionNames[region],
				Domain: regionNames[region], Limit: c.run.limit(c.host, i), Capacity: engineCapacity}
			// A limit rests on a load report of the same incarnation.
			if v.cold && !v.known {
				s.Limit = 0
			}
			s.Warm = !v.cold
			c.next = append(c.next, s)
		}
	}
	position, hosts := c.place()
	if position == c.position && slices.Equal(c.servers, c.next) {
		return
	}
	c.position = position
	c.servers = append(c.servers[:0], c.next...)
	c.d.SetServers(c.servers, position, hosts)
}

// place is this host's number among the hosts, sorted by region.
func (c *core) place() (position, hosts int) {
	for h, o := range c.run.hosts {
		if o.region < c.host.region || (o.region == c.host.region && h < c.host.index) {
			position++
		}
	}
	return position, len(c.run.hosts)
}

func (c *core) arrive(q *request) {
	c.update()
	r := dispatch.Request{ID: q.id, Class: classes[q.class].name, Team: teamNames[q.team],
		Priority: classes[q.class].priority, Arrival: q.arrival, Target: classes[q.class].firstToken,
		TokenGapMS: int(classes[q.class].gap / time.Millisecond), PromptTokens: q.prompt,
		Prefix: q.prefix, PrefixTokens: q.prefixTokens}
	for _, i := range q.tried {
		r.Attempted = append(r.Attempted, engineNames[i])
	}
	c.waiting[q.id] = q
	c.take(c.d.Offer(r, c.run.now))
}

// take carries out a decision.
func (c *core) take(out dispatch.Outcome) {
	q := c.waiting[out.ID]
	switch out.Action {
	case admit.Wait:
		return
	case admit.Reject:
		delete(c.waiting, out.ID)
		c.run.refuse(q)
	case admit.Dispatch:
		delete(c.waiting, out.ID)
		engine, err := strconv.Atoi(out.Server)
		if err != nil {
			panic(err) // no engine has such an id
		}
		c.run.send(c.host, q, engine)
	}
}

func (c *core) drain() {
	c.update()
	for _, out := range c.d.Drain(c.run.now) {
		c.take(out)
	}
}

func (c *core) token(q *request) {
	c.d.Progress(q.id, q.delivered)
	if q.delivered == 1 {
		c.drain()
	}
}

func (c *core) ended(q *request) {
	c.d.Ended(q.id, q.done && !q.cut, c.run.now)
	c.drain()
}

func (c *core) reported(i int) {
	c.update()
	v := &c.host.views[i]
	c.d.ApplyReport(engineNames[i], schedule.Report{At: v.reportAt, InFlight: v.report.Running + v.report.Waiting,
		Running: v.report.Running, KVUsed: v.report.BlocksUsed * v.report.BlockTokens,
		KVTotal: v.report.BlocksTotal * v.report.BlockTokens, Preemptions: v.report.Preemptions,
		StepMS: v.report.StepMS, Incarnation: v.report.Incarnation}, c.run.now)
}

func (c *core) tick() {
	c.update()
	if c.ticks%refreshEvery == 0 {
		c.d.Refresh(c.run.now)
	}
	c.ticks++
	c.drain()
}
