package policybench

import (
	"strconv"
	"time"

	"monsoonkeel.example/monsoonkeel/core/admit"
	"monsoonkeel.example/monsoonkeel/core/length"
	"monsoonkeel.example/monsoonkeel/core/schedule"
)

const (
	// refreshEvery is the number of ticks between predictions of demand.
	refreshEvery = 4
	// serviceEstimate is the expected time from placement to first token.
	serviceEstimate = 150 * time.Millisecond
	// localWait is how long a request waits for its own region before other
	// regions are used.
	localWait = 300 * time.Millisecond
	// maxPrefill bounds a host's concurrent prefills at an engine.
	maxPrefill = 1
)

var teamNames = func() (n [teams]string) {
	for i := range n {
		n[i] = "team-" + strconv.Itoa(i)
	}
	return n
}()

var regionNames = [regions]string{"a", "b", "c"}

// core is the decision core of one host: admission, placement and prediction.
type core struct {
	run        *run
	host       *hostState
	lengths    *length.Model
	queue      *admit.Queue
	reserve    schedule.Reserve
	trackers   [engines]*schedule.Tracker
	steps      [engines]schedule.StepModel
	candidates [engines]schedule.Candidate
	shares     [engines]float32
	waiting    map[uint64]*request
	ticks      int
	seed       uint64
	holders    map[uint64][]schedule.Holder
}

func newCore(r *run, h *hostState) policy {
	c := &core{run: r, host: h, lengths: length.NewModel(), queue: admit.NewQueue(),
		waiting: map[uint64]*request{}, seed: uint64(h.index), holders: map[uint64][]schedule.Holder{}}
	for i := range c.trackers {
		c.trackers[i] = schedule.NewTracker()
	}
	return c
}

func (c *core) arrive(q *request) {
	d := c.lengths.Dist(classes[q.class].name, teamNames[q.team])
	q.estimate = float64(q.prompt-q.prefixTokens) + d.Mean(0)
	engine := c.pick(q, true)
	item := admit.Item{ID: q.id, Class: classes[q.class].name, Team: teamNames[q.team],
		Priority: classes[q.class].priority, Arrival: q.arrival, Target: classes[q.class].firstToken,
		Service: serviceEstimate, Tokens: q.estimate}
	switch c.queue.Offer(item, engine >= 0, c.run.now).Action {
	case admit.Place:
		c.place(q, engine)
	case admit.Wait:
		c.waiting[q.id] = q
	case admit.Refuse:
		if engine = c.pick(q, false); engine >= 0 {
			c.place(q, engine)
			return
		}
		c.run.refuse(q)
	}
}

func (c *core) pick(q *request, localOnly bool) int {
	d := c.lengths.Dist(classes[q.class].name, teamNames[q.team])
	for i := range c.candidates {
		c.fill(i)
	}
	c.seed = hash(c.seed)
	return schedule.Pick(c.candidates[:], schedule.Request{
		Region: regionNames[c.host.region], LocalOnly: localOnly, Tried: q.tried, Prompt: q.prompt,
		Survival: schedule.SurvivalOf(&d, 0), Holders: c.holders[q.prefix]}, c.seed)
}

func (c *core) fill(i int) {
	k := &c.candidates[i]
	k.Index, k.Region = i, regionNames[regionOf(i)]
	k.Limit = c.run.limit(c.host, i)
	c.trackers[i].Fill(k)
	k.Reserve = c.reserve.Value(c.run.now)
	k.MaxBatch = c.steps[i].BatchBound(int(gapTarget / time.Millisecond))
	k.Capacity = 100
	if k.MaxBatch > 0 {
		k.Capacity = k.MaxBatch
	}
	k.MaxPrefill = maxPrefill
	k.Hosts = len(c.run.hosts)
	k.Share = c.shares[i]
}

func (c *core) place(q *request, engine int) {
	d := c.lengths.Dist(classes[q.class].name, teamNames[q.team])
	c.trackers[engine].Sent(q.id, q.prompt, &d, c.run.now)
	hs := c.holders[q.prefix]
	found := false
	for _, h := range hs {
		found = found || h.Index == engine
	}
	if !found {
		c.holders[q.prefix] = append(hs, schedule.Holder{Index: engine, Tokens: q.prefixTokens})
	}
	c.run.send(c.host, q, engine)
}

func (c *core) drain() {
	for _, r := range c.queue.Refused(c.run.now) {
		q := c.waiting[r.Item.ID]
		delete(c.waiting, r.Item.ID)
		c.run.refuse(q)
	}
	for {
		item, ok := c.queue.Peek(c.run.now)
		if !ok {
			return
		}
		q := c.waiting[item.ID]
		engine := c.pick(q, c.run.now.Sub(item.Arrival) < localWait)
		if engine < 0 {
			return
		}
		c.queue.Next(c.run.now)
		delete(c.waiting, item.ID)
		c.place(q, engine)
	}
}

func (c *core) token(q *request) {
	c.trackers[q.engine].Progress(q.id, q.delivered)
	if q.delivered == 1 {
		c.drain()
	}
}

func (c *core) ended(q *request) {
	c.trackers[q.engine].Ended(q.id, c.run.now)
	if q.done && !q.cut {
		c.lengths.Observe(classes[q.class].name, teamNames[q.team], q.delivered)
		c.queue.Finished(teamNames[q.team], q.estimate, float64(q.prompt-q.prefixTokens+q.delivered))
	}
	c.drain()
}

func (c *core) reported(i int) {
	v := &c.host.views[i]
	n := c.trackers[i].Reported(schedule.Report{At: v.reportAt, Work: v.report.Running + v.report.Waiting,
		Running: v.report.Running, TokensUsed: v.report.BlocksUsed * v.report.BlockTokens,
		TokensTotal: v.report.BlocksTotal * v.report.BlockTokens, Preemptions: v.report.Preemptions,
		StepMS: v.report.StepMS, Incarnation: v.report.Incarnation}, c.run.now)
	if n > 0 {
		c.reserve.Preempted(n, c.run.now)
	}
	c.steps[i].Observe(v.report.Running, v.report.StepMS)
}

func (c *core) tick() {
	if c.ticks%refreshEvery == 0 {
		c.refresh()
	}
	c.ticks++
	c.drain()
}

// divide computes this host's shares of the engines that get new work, in the
// order of regions.
func (c *core) divide() {
	position := 0
	for h := range c.run.hosts {
		if o := c.run.hosts[h]; o.region < c.host.region || (o.region == c.host.region && h < c.host.index) {
			position++
		}
	}
	var order []int
	for region := range regions {
		for i := range engines {
			if regionOf(i) == region && !c.host.views[i].out && !c.host.views[i].cold {
				order = append(order, i)
			}
		}
	}
	c.shares = [engines]float32{}
	for j, i := range order {
		c.shares[i] = schedule.Share(position, len(c.run.hosts), j, len(order))
	}
}

func (c *core) refresh() {
	c.divide()
	var sum schedule.Survival
	n := 0
	for _, t := range c.trackers {
		n += t.AddPopulation(&sum)
	}
	for i := range sum {
		if n > 0 {
			sum[i] /= float32(n)
		}
	}
	for _, t := range c.trackers {
		t.Refresh(&sum, c.run.now)
	}
}
