package pace

import (
	"math"
	"slices"
	"time"

	"monsoonkeel.example/monsoonkeel/core/serverstate"
)

const (
	// fastHalfLife is that of the samples that hosts report: a change of a server's speed shows within seconds. Faster changes are
	// those that servers state.
	fastHalfLife = 5 * time.Second
	// speedHalfLife is that of the speed as long as it does not change. Servers that are slowed for 600 ms at a time would
	// seem of different speeds over a shorter time.
	speedHalfLife = 30 * time.Second
	// changed is the difference between the recent speed and that of the last minute, as binary logarithm, past which the speed
	// has changed and older samples do not count: some three times the standard error of the recent one.
	changed = 0.5
	// slowHalfLife is that of the samples behind the limit, which needs samples at many loads.
	slowHalfLife = time.Minute
	// priorSamples is the number of samples at the usual speed that count in addition to those taken.
	priorSamples = 4
	// minWork is the number of recent samples below which a server has so little work that former samples count less.
	minWork = 8
	// minSamples is the number of samples at a step of load from which it counts for the limit.
	minSamples = 16
	// limitThroughput is the throughput past the limit, in fractions of the best one, below which the server counts as slowed.
	// It leaves room for the error of the mean of minSamples.
	limitThroughput = 0.75
	// MinSpeed, MaxSpeed and MinLimit bound the results, so that one bad estimate cannot starve a server.
	MinSpeed, MaxSpeed = 0.5, 4.0
	MinLimit           = 0.25
	// equalSpeeds is the difference from the median, as binary logarithm (some 7%), up to which a speed counts as usual. It is the usual error
	// of the estimates: without it, all hosts send to the one of several equal idle servers that seems best.
	equalSpeeds = 0.1
	// equalFastSpeeds is the same for servers that seem faster (some 23%). They attract work and are then measured at a higher load,
	// where an error of the slope makes them seem faster still.
	equalFastSpeeds = 0.3
	// maxLogRatio bounds a sample's difference from the usual value: a response that took a minute counts like one that took
	// eight times as long as usual.
	maxLogRatio = 3
	// maxSlope is the largest slow-down by load that counts as usual, in binary logarithms per step of load.
	maxSlope = 0.3
	// usualGain and anchorGain are the parts of the difference by which the usual value of a kind of sample is corrected at
	// each update. Several hosts correct theirs towards each other by news that is a second old, and higher gains can
	// oscillate.
	usualGain, anchorGain = 0.1, 0.02
	// minReported is the number of samples below which a process is not reported.
	minReported = 0.25
)

// Sample is a measurement of a server. Only Values of the same Kind are compared.
type Sample struct {
	serverstate.Process
	// Kind is what was measured, such as the time to the response on a route.
	Kind string
	// Step is the step of load at the time.
	Step int
	// Value is the time measured, in any unit.
	Value float64
	// Weight is 1 for a whole sample.
	Weight float64
	// Gaps are the events that the sample is about, for gaps of generations with an objective.
	Gaps Gaps
}

// Step returns the step of load of a server of which a share of what it can hold is in use.
func Step(share float64) int { return int(min(max(share, 0)*(LoadSteps-1), LoadSteps-1)) }

// Estimate is what is known of a server.
type Estimate struct {
	// Speed is how long work takes there, as a multiple of the usual time.
	Speed float64
	// Slowdown is the same for this moment only, in addition to Speed; 1 if nothing is known.
	Slowdown float64
	// Limit is the load past which the server slows, as a fraction of what it can hold; 1 if it does not.
	Limit float64
	// LateRate is the number of spells with late gaps per event of a generation.
	LateRate float64
	// Samples is the number of recent samples of all hosts, and SampledAt the time of the last one of this host.
	Samples   float64
	SampledAt time.Time
}

type sums struct{ n, log [LoadSteps]float64 }

func (s *sums) add(o *sums, factor, offset float64) {
	for i := range s.n {
		s.n[i] += factor * o.n[i]
		s.log[i] += factor * (o.log[i] - offset*o.n[i])
	}
}

func (s *sums) scale(factor float64) {
	for i := range s.n {
		s.n[i] *= factor
		s.log[i] *= factor
	}
}

func (s *sums) total() (n float64) {
	for _, v := range s.n {
		n += v
	}
	return n
}

type server struct {
	// own are this host's samples by kind, with the logarithms of the values as measured.
	own map[string]*sums
	// peers are the ratios of the other hosts, merged those of all hosts, and slow those of the last minutes relative to
	// the speed at the time.
	peers, merged, slow sums
	// n and log are the number of samples of the last minute and the sum of their differences from the level and the slope.
	n, log float64
	// logSpeed is the speed relative to the service's median.
	logSpeed, limit float64
	// gaps are those that this host counted, and peerGaps those of the other hosts.
	gaps, peerGaps Gaps
	lateRate       float64
	sampledAt      time.Time
	stated         stated
}

// Learner learns the servers of one service at one host.
//
// Samples are ratios to the usual value of their kind, which each host learns for itself. Servers are compared by
//
//	log ratio = level + speed of the server + slope x step of load
//
// with the level and the slope common to the service, fitted to the ratios of all hosts. A host sets the usual value of a kind
// so that its own samples fit, so that a host that starts later takes over the values of the others with its first samples:
// it measures the same servers as they do. Later, each host corrects its values slowly towards the common fit, and towards
// the level 0, at which ratios are relative to the median server without load. A common error of all hosts changes the
// level only, not the comparison of the servers.
type Learner struct {
	servers map[serverstate.Process]*server
	// usual are the usual values by kind, once known.
	usual        map[string]usual
	level, slope float64
	updated      time.Time
}

// usual is the usual value of a kind of sample, as binary logarithm, and the number of its corrections.
type usual struct {
	log     float64
	updates int
}

// New returns a Learner without servers.
func New() *Learner {
	return &Learner{servers: map[serverstate.Process]*server{}, usual: map[string]usual{}}
}

func (l *Learner) server(p serverstate.Process) *server {
	s := l.servers[p]
	if s == nil {
		s = &server{own: map[string]*sums{}, limit: 1}
		l.servers[p] = s
	}
	return s
}

// Observe adds a measurement of this host.
func (l *Learner) Observe(o Sample, now time.Time) {
	if !(o.Value > 0) || math.IsInf(o.Value, 0) || !(o.Weight > 0) || o.Step < 0 || o.Step >= LoadSteps {
		return
	}
	s := l.server(o.Process)
	log := math.Log2(o.Value)
	if usual, known := l.usual[o.Kind]; known {
		expected := l.level + s.logSpeed + l.slope*float64(o.Step)
		expected += usual.log
		log = min(max(log, expected-maxLogRatio), expected+maxLogRatio)
		s.stated.compare(log-expected, o.Weight, now)
	}
	if s.own[o.Kind] == nil {
		s.own[o.Kind] = &sums{}
	}
	s.own[o.Kind].n[o.Step] += o.Weight
	s.own[o.Kind].log[o.Step] += o.Weight * log
	s.gaps = s.gaps.Plus(o.Gaps)
	s.sampledAt = now
}

// SetPeers replaces what the other hosts measured together.
func (l *Learner) SetPeers(reports []Report) {
	for _, s := range l.servers {
		s.peers, s.peerGaps = sums{}, Gaps{}
	}
	for _, r := range reports {
		if r.Gaps.isValid() {
			l.server(r.Process).peerGaps = r.Gaps
		}
		p := &l.server(r.Process).peers
		for i, n := range r.Samples {
			// Damaged or false figures of one host must not exceed the bounds of a sample.
			if n > 0 && !math.IsInf(n, 0) && !math.IsNaN(r.LogRatios[i]) {
				p.n[i] += n
				p.log[i] += min(max(r.LogRatios[i], -2*maxLogRatio*n), 2*maxLogRatio*n)
			}
		}
	}
}

// Retain drops the processes for which keep returns false.
func (l *Learner) Retain(keep func(serverstate.Process) bool) {
	for p := range l.servers {
		if !keep(p) {
			delete(l.servers, p)
		}
	}
}

// Update applies the samples since the last update to the estimates.
func (l *Learner) Update(now time.Time) {
	elapsed := now.Sub(l.updated)
	if l.updated.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	l.updated = now
	fast, slow := decay(elapsed, fastHalfLife), decay(elapsed, slowHalfLife)
	for _, s := range l.servers {
		s.merged = s.peers
		s.gaps = s.gaps.times(decay(elapsed, gapHalfLife))
		for kind, own := range s.own {
			own.scale(fast)
			if usual, known := l.usual[kind]; known {
				s.merged.add(own, 1, usual.log)
			}
			if own.total() < 1e-3 {
				delete(s.own, kind)
			}
		}
	}
	l.fitSlope()
	l.fitSpeeds(1-fast, decay(elapsed, speedHalfLife))
	for _, s := range l.servers {
		s.slow.scale(slow)
		// The fast sums lose a part 1-fast, which is what the slow ones take over: each sample counts once in both.
		s.slow.add(&s.merged, 1-fast, s.logSpeed+l.level)
		s.limit = s.fitLimit()
		s.stated.decay(slow)
	}
	l.fitLateRates()
	l.alignUsual()
}

func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// belowLimit reports whether samples at a step of load were taken below the limit of the server.
func (s *server) belowLimit(step int) bool {
	return float64(step) < s.limit*(LoadSteps-1) || s.limit >= 1
}

// fitSlope fits the slow-down by load that the servers have in common, by the differences within each server.
func (l *Learner) fitSlope() {
	var covariance, variance float64
	for _, s := range l.servers {
		var n, x, y float64
		for i, w := range s.slow.n {
			if s.belowLimit(i) {
				n, x, y = n+w, x+w*float64(i), y+s.slow.log[i]
			}
		}
		if n < 1 {
			continue
		}
		for i, w := range s.slow.n {
			if s.belowLimit(i) && w > 0 {
				dx := float64(i) - x/n
				covariance += dx * (s.slow.log[i] - w*y/n)
				variance += w * dx * dx
			}
		}
	}
	l.slope = min(max(covariance/(variance+priorSamples), 0), maxSlope)
}

// fitSpeeds fits the speed of each server and the level. A part of the recent samples is added to those of the last minute, which
// decay by a factor.
func (l *Learner) fitSpeeds(part, factor float64) {
	type fit struct {
		s      *server
		n, log float64
	}
	var fits []fit
	var levels []weighted
	for _, s := range l.servers {
		f := fit{s: s}
		f.n, f.log = s.recent(l.slope)
		s.n, s.log = factor*s.n, factor*s.log
		if f.n > 0.05 {
			fits = append(fits, f)
			levels = append(levels, weighted{f.log / f.n, min(f.n, priorSamples)})
		}
		if f.n < minWork && s.n > 0 { // it is judged anew soon
			factor := (1 - part) * min(1, minWork/s.n)
			s.n, s.log = factor*s.n, factor*s.log
		}
		s.logSpeed = s.log / (s.n + priorSamples)
	}
	l.level = median(levels)
	for _, f := range fits {
		s, log := f.s, f.log-l.level*f.n
		recent := log / (f.n + priorSamples)
		s.logSpeed = (s.log + log) / (s.n + f.n + priorSamples)
		if math.Abs(recent-s.logSpeed) > changed {
			s.n, s.log, s.logSpeed = 0, 0, recent
		}
		s.n, s.log = s.n+part*f.n, s.log+part*log
	}
}

// recent returns the number of recent samples, and the sum of their logarithms without the usual slow-down by load. Samples past
// the limit count only if there are few others.
func (s *server) recent(slope float64) (n, log float64) {
	for _, all := range []bool{false, true} {
		if n >= priorSamples {
			break
		}
		n, log = 0, 0
		for i, w := range s.merged.n {
			if all || s.belowLimit(i) {
				n, log = n+w, log+s.merged.log[i]-slope*float64(i)*w
			}
		}
	}
	return n, log
}

// fitLimit returns the load past which the server completes less work than below it.
func (s *server) fitLimit() float64 {
	best, bestThroughput, limited := 0, 0.0, false
	for i, n := range s.slow.n {
		if n < minSamples {
			continue
		}
		// By Little's law: the requests in progress divided by the time that they take.
		throughput := (float64(i) + 0.5) * math.Exp2(-s.slow.log[i]/n)
		switch {
		case throughput >= bestThroughput:
			best, bestThroughput, limited = i, throughput, false
		case throughput < limitThroughput*bestThroughput:
			limited = true
		}
	}
	if !limited {
		return 1
	}
	return min(max(float64(best+1)/(LoadSteps-1), MinLimit), 1)
}

// alignUsual corrects the usual values so that the samples of this host fit the estimates.
func (l *Learner) alignUsual() {
	differences := map[string][]weighted{}
	for _, s := range l.servers {
		for kind, own := range s.own {
			for i, n := range own.n {
				if n > 0.05 && s.belowLimit(i) {
					differences[kind] = append(differences[kind], weighted{own.log[i]/n - l.level - s.logSpeed - l.slope*float64(i), n})
				}
			}
		}
	}
	for kind, list := range differences {
		target := median(list)
		u := l.usual[kind]
		// The first samples may have been taken at another time than those of the other hosts.
		gain := max(usualGain, 1/float64(u.updates+1))
		u.log += gain * (target - u.log)
		if u.updates++; gain == usualGain {
			u.log += anchorGain * l.level
		}
		l.usual[kind] = u
	}
}

type weighted struct{ value, weight float64 }

// median returns the weighted median; 0 for an empty list.
func median(list []weighted) float64 {
	slices.SortFunc(list, func(a, b weighted) int {
		switch {
		case a.value < b.value:
			return -1
		case a.value > b.value:
			return 1
		}
		return 0
	})
	total := 0.0
	for _, w := range list {
		total += w.weight
	}
	sum := 0.0
	for i, w := range list {
		sum += w.weight
		if sum*2 > total*(1+1e-9) {
			return w.value
		}
		if sum*2 >= total*(1-1e-9) && i+1 < len(list) {
			return (w.value + list[i+1].value) / 2
		}
	}
	return 0
}

// Estimates returns what is known of each process.
func (l *Learner) Estimates(now time.Time) map[serverstate.Process]Estimate {
	out := make(map[serverstate.Process]Estimate, len(l.servers))
	for p, s := range l.servers {
		speed := 1.0
		if s.logSpeed > equalSpeeds || s.logSpeed < -equalFastSpeeds {
			speed = bounded(s.logSpeed)
		}
		out[p] = Estimate{
			Speed: speed, Slowdown: bounded(s.stated.excess(now)), Limit: s.limit, LateRate: s.lateRate,
			Samples: s.merged.total(), SampledAt: s.sampledAt,
		}
	}
	return out
}

func bounded(log float64) float64 { return min(max(math.Exp2(log), MinSpeed), MaxSpeed) }

// Reports returns the measurements of this host for the others.
func (l *Learner) Reports() (list []Report) {
	for p, s := range l.servers {
		var own sums
		for kind, k := range s.own {
			if usual, known := l.usual[kind]; known {
				own.add(k, 1, usual.log)
			}
		}
		if own.total() >= minReported || s.gaps.Late >= minReported {
			list = append(list, Report{Process: p, Samples: own.n, LogRatios: own.log, Gaps: s.gaps})
		}
	}
	return list
}
