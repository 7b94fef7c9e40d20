// Package length learns output length distributions per class and team and
// answers conditional questions about them: how many more tokens will a
// generation produce, given that it has produced some already.
//
// It is pure and not safe for concurrent use; callers shard or lock.
package length

import (
	"math"
	"math/bits"
)

const (
	// MaxTokens is the longest output that is told apart; longer ones count as this.
	MaxTokens = 65536

	// The buckets are logarithmic, each octave divided into 4, so that a
	// distribution takes about 300 bytes and a quantile is off by at most 25%.
	// HdrHistogram was compared: it needs 1.8 KB at one digit and its integer
	// counts do not decay.
	perOctave = 4
	octaves   = 16
	nBuckets  = perOctave*octaves + 1

	// classHalfLife and teamHalfLife are the numbers of observations after
	// which an observation counts half. They bound how long a shift of the
	// distribution stays unnoticed, against the noise of the upper quantiles.
	classHalfLife = 512
	teamHalfLife  = 128

	// priorWeight is the number of observations that the class distribution
	// counts for in a team's distribution, so that a new team is predicted by
	// its class.
	priorWeight = 16

	// maxTeams bounds the distributions kept per class and generation, and
	// with it memory: 2 * 2048 * 300 B = 1.2 MB per class.
	maxTeams = 2048

	// coldWeight is the weight of the built-in distribution used before
	// anything was observed.
	coldWeight = 4

	// rescaleAt keeps float32 weights far from overflow and loss of precision.
	rescaleAt = 1 << 12
)

// hist is a decaying histogram. A new observation has weight gain, which grows
// with each observation, so that old ones lose weight relative to it.
type hist struct {
	w     [nBuckets]float32
	total float32
	gain  float32
	n     uint32
}

func (h *hist) observe(tokens int, growth float32) {
	if h.gain == 0 {
		h.gain = 1
	}
	h.w[bucketOf(tokens)] += h.gain
	h.total += h.gain
	h.n++
	h.gain *= growth
	if h.gain < rescaleAt {
		return
	}
	h.total = 0
	for i := range h.w {
		h.w[i] /= h.gain
		h.total += h.w[i]
	}
	h.gain = 1
}

func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	octave := bits.Len(uint(tokens)) - 1
	quarter := tokens<<2>>octave - perOctave
	return min(octave*perOctave+quarter, nBuckets-1)
}

// lowerBounds[i] is the smallest length of bucket i.
var lowerBounds = func() (b [nBuckets + 1]float64) {
	for i := range b {
		b[i] = math.Ldexp(1+float64(i%perOctave)/perOctave, i/perOctave)
	}
	return b
}()

var (
	classGrowth = float32(math.Exp2(1.0 / classHalfLife))
	teamGrowth  = float32(math.Exp2(1.0 / teamHalfLife))
)

type class struct {
	hist hist
	// Teams are kept in two generations: when recent is full it becomes old,
	// and a team used again moves back, so that unused teams are dropped.
	recent, old map[string]*hist
}

func (c *class) team(name string) *hist {
	if h := c.recent[name]; h != nil {
		return h
	}
	return c.old[name]
}

func (c *class) teamForUpdate(name string) *hist {
	h := c.recent[name]
	if h != nil {
		return h
	}
	if h = c.old[name]; h == nil {
		h = &hist{}
	}
	if len(c.recent) >= maxTeams {
		c.old, c.recent = c.recent, make(map[string]*hist)
	}
	c.recent[name] = h
	return h
}

// Model holds the distributions of all classes.
type Model struct {
	classes map[string]*class
	all     hist
}

// NewModel returns an empty model. Before anything is observed it answers from
// a wide built-in distribution.
func NewModel() *Model { return &Model{classes: make(map[string]*class)} }

// Observe records the output length of a finished generation, in tokens.
// Cancelled or failed generations must not be recorded: their length is not
// the length the engine would have produced.
func (m *Model) Observe(className, team string, tokens int) {
	if tokens < 1 {
		return
	}
	c := m.classes[className]
	if c == nil {
		c = &class{recent: make(map[string]*hist)}
		m.classes[className] = c
	}
	m.all.observe(tokens, classGrowth)
	c.hist.observe(tokens, classGrowth)
	c.teamForUpdate(team).observe(tokens, teamGrowth)
}

// Dist is a distribution of output lengths at one moment.
type Dist struct {
	// above[i] is the probability that a length is at least lowerBounds[i].
	above [nBuckets + 1]float32
}

// Dist returns the distribution for a class and team: the team's own, mixed
// with its class's for priorWeight observations.
func (m *Model) Dist(className, team string) Dist {
	var mix [nBuckets]float32
	var total float32
	add := func(h *hist, weight float32) {
		if h == nil || h.total <= 0 {
			return
		}
		f := weight / h.total
		for i, w := range h.w {
			mix[i] += f * w
		}
		total += weight
	}
	c := m.classes[className]
	if c != nil {
		if h := c.team(team); h != nil {
			add(h, min(float32(h.n), h.total/h.gain))
		}
		add(&c.hist, min(float32(c.hist.n), priorWeight))
	} else {
		add(&m.all, min(float32(m.all.n), priorWeight))
	}
	if total < priorWeight {
		add(&builtin, coldWeight)
	}
	var d Dist
	sum := float32(0)
	for i := nBuckets - 1; i >= 0; i-- {
		sum += mix[i]
		d.above[i] = sum / total
	}
	return d
}

// builtin spreads lengths evenly over the octaves from 16 to 2048 tokens.
var builtin = func() (h hist) {
	for i := 4 * perOctave; i < 11*perOctave; i++ {
		h.w[i] = 1
		h.total++
	}
	h.n, h.gain = uint32(h.total), 1
	return h
}()

// ProbabilityAbove returns the probability that an output is longer than tokens.
func (d *Dist) ProbabilityAbove(tokens int) float64 {
	if tokens < 1 {
		return 1
	}
	if tokens >= MaxTokens {
		return 0
	}
	x := float64(tokens)
	i := bucketOf(tokens)
	share := (x - lowerBounds[i]) / (lowerBounds[i+1] - lowerBounds[i])
	hi, lo := float64(d.above[i]), float64(d.above[i+1])
	return hi - (hi-lo)*min(max(share, 0), 1)
}

// minTail is the probability below which the distribution says nothing about
// longer outputs; from there on a generation is expected to go on for as long
// again as it has.
const minTail = 1e-4

// Survival returns the probability that a generation with soFar tokens
// produces more than ahead further tokens.
func (d *Dist) Survival(soFar, ahead int) float64 {
	base := d.ProbabilityAbove(soFar)
	if base < minTail {
		return 1 / (1 + float64(ahead)/float64(max(soFar, 1)))
	}
	return d.ProbabilityAbove(soFar+ahead) / base
}

// Remaining returns the q-quantile (0 to 1) of the number of further tokens of
// a generation that has produced soFar tokens.
func (d *Dist) Remaining(soFar int, q float64) int {
	q = min(max(q, 0), 1)
	lo, hi := 0, max(MaxTokens-soFar, 1)
	for lo < hi {
		mid := (lo + hi) / 2
		if 1-d.Survival(soFar, mid) >= q {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// MeanRemaining returns the expected number of further tokens of a generation that has
// produced soFar tokens.
func (d *Dist) MeanRemaining(soFar int) float64 {
	base := d.ProbabilityAbove(soFar)
	if base < minTail {
		return float64(max(soFar, 1))
	}
	sum, from := 0.0, float64(soFar)
	for i := bucketOf(soFar); i < nBuckets; i++ {
		to := lowerBounds[i+1]
		if to <= from {
			continue
		}
		sum += (to - from) * (d.ProbabilityAbove(int(from)) + float64(d.above[i+1])) / 2
		from = to
	}
	return sum / base
}

// RemainingQuantile returns the q-quantile of the further tokens of a generation of the
// class and team that has produced soFar tokens.
func (m *Model) RemainingQuantile(className, team string, q float64, soFar int) int {
	d := m.Dist(className, team)
	return d.Remaining(soFar, q)
}
