// Package length estimates the distribution of output lengths per class and team from
// completed generations, and predicts how many more tokens a generation will produce,
// given the number that it has already produced.
//
// The package does no I/O and has no clock or goroutines. A Model is not safe for
// concurrent use; callers shard or lock.
package length

import (
	"math"
	"math/bits"
)

const (
	// MaxTokens is the largest output length that is distinguished; longer outputs count
	// as this length.
	MaxTokens = 65536

	// The buckets are logarithmic, with each octave divided into 4, so that a
	// distribution takes about 300 bytes and the error of a quantile is at most 25%.
	// HdrHistogram would need 1.8 KB at one significant digit, and its integer counts
	// cannot decay.
	bucketsPerOctave = 4
	octaves          = 16
	bucketCount      = bucketsPerOctave*octaves + 1

	// classHalfLife and teamHalfLife are the numbers of further observations after which
	// the weight of an observation has halved. Lower values follow a shift of the
	// distribution faster; higher values reduce the noise of the upper quantiles.
	classHalfLife = 512
	teamHalfLife  = 128

	// priorWeight is the weight, in observations, of the class distribution in a team's
	// distribution, so that predictions for a new team are those of its class.
	priorWeight = 16

	// maxTeams limits the teams in each of a class's two maps, and with it the memory:
	// 2 * 2048 * 300 B = 1.2 MB per class.
	maxTeams = 2048

	// builtinWeight is the weight, in observations, of the built-in distribution, which is
	// mixed in while there are fewer than priorWeight observations.
	builtinWeight = 4

	// rescaleAt is the gain at which all weights are scaled down, which keeps float32
	// weights far from overflow and loss of precision.
	rescaleAt = 1 << 12
)

// histogram is a decaying histogram. A new observation has the weight gain, which grows
// with each observation, so that older ones lose weight relative to it.
type histogram struct {
	weights [bucketCount]float32
	total   float32
	gain    float32
	count   uint32
}

func (h *histogram) observe(tokens int, growth float32) {
	if h.gain == 0 {
		h.gain = 1
	}
	h.weights[bucketOf(tokens)] += h.gain
	h.total += h.gain
	h.count++
	h.gain *= growth
	if h.gain < rescaleAt {
		return
	}
	h.total = 0
	for i := range h.weights {
		h.weights[i] /= h.gain
		h.total += h.weights[i]
	}
	h.gain = 1
}

func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	octave := bits.Len(uint(tokens)) - 1
	quarter := tokens<<2>>octave - bucketsPerOctave
	return min(octave*bucketsPerOctave+quarter, bucketCount-1)
}

// lowerBounds[i] is the smallest length in bucket i, in tokens.
var lowerBounds = func() (b [bucketCount + 1]float64) {
	for i := range b {
		b[i] = math.Ldexp(1+float64(i%bucketsPerOctave)/bucketsPerOctave, i/bucketsPerOctave)
	}
	return b
}()

var (
	classGrowth = float32(math.Exp2(1.0 / classHalfLife))
	teamGrowth  = float32(math.Exp2(1.0 / teamHalfLife))
)

type class struct {
	histogram histogram
	// recent holds the teams observed last. When it is full it replaces old, and a team
	// that is observed again is added back, so that unused teams are dropped.
	recent, old map[string]*histogram
}

func (c *class) team(name string) *histogram {
	if h := c.recent[name]; h != nil {
		return h
	}
	return c.old[name]
}

func (c *class) teamForUpdate(name string) *histogram {
	h := c.recent[name]
	if h != nil {
		return h
	}
	if h = c.old[name]; h == nil {
		h = &histogram{}
	}
	if len(c.recent) >= maxTeams {
		c.old, c.recent = c.recent, make(map[string]*histogram)
	}
	c.recent[name] = h
	return h
}

// Model holds the observed distributions of all classes and their teams.
type Model struct {
	classes map[string]*class
	all     histogram
}

// NewModel returns an empty model. Until lengths have been observed, it predicts from a wide
// built-in distribution.
func NewModel() *Model { return &Model{classes: make(map[string]*class)} }

// Observe records the output length of a completed generation, in tokens. Cancelled or failed
// generations must not be recorded: their length is not the one that the engine would have
// produced. Lengths below 1 are ignored.
func (m *Model) Observe(className, team string, tokens int) {
	if tokens < 1 {
		return
	}
	c := m.classes[className]
	if c == nil {
		c = &class{recent: make(map[string]*histogram)}
		m.classes[className] = c
	}
	m.all.observe(tokens, classGrowth)
	c.histogram.observe(tokens, classGrowth)
	c.teamForUpdate(team).observe(tokens, teamGrowth)
}

// Dist is a distribution of output lengths, copied from a Model at one time.
type Dist struct {
	// tail[i] is the probability that a length is at least lowerBounds[i].
	tail [bucketCount + 1]float32
}

// Dist returns the distribution for a class and team: that of the team mixed with that of the
// class, which has a weight of up to priorWeight observations. For an unknown class it uses the
// distribution of all classes.
func (m *Model) Dist(className, team string) Dist {
	var mix [bucketCount]float32
	var total float32
	add := func(h *histogram, weight float32) {
		if h == nil || h.total <= 0 {
			return
		}
		f := weight / h.total
		for i, w := range h.weights {
			mix[i] += f * w
		}
		total += weight
	}
	c := m.classes[className]
	if c != nil {
		if h := c.team(team); h != nil {
			add(h, min(float32(h.count), h.total/h.gain))
		}
		add(&c.histogram, min(float32(c.histogram.count), priorWeight))
	} else {
		add(&m.all, min(float32(m.all.count), priorWeight))
	}
	if total < priorWeight {
		add(&builtin, builtinWeight)
	}
	var d Dist
	for i := bucketCount - 1; i >= 0; i-- {
		d.tail[i] = d.tail[i+1] + mix[i]
	}
	// Divided by their own sum, since the rounded total of the weights may be lower: a probability above 1
	// has a negative variance.
	sum := d.tail[0]
	for i := range d.tail {
		d.tail[i] /= sum
	}
	return d
}

// builtin has equal weight in all buckets from 16 to 2048 tokens.
var builtin = func() (h histogram) {
	for i := 4 * bucketsPerOctave; i < 11*bucketsPerOctave; i++ {
		h.weights[i] = 1
		h.total++
	}
	h.count, h.gain = uint32(h.total), 1
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
	hi, lo := float64(d.tail[i]), float64(d.tail[i+1])
	return hi - (hi-lo)*min(max(share, 0), 1)
}

// minTail is the tail probability below which the distribution has too little data on longer
// outputs. Beyond that point, the expected number of further tokens is the number produced so far.
const minTail = 1e-4

// Survival returns the probability that a generation that has produced soFar tokens produces
// more than ahead further tokens.
func (d *Dist) Survival(soFar, ahead int) float64 {
	base := d.ProbabilityAbove(soFar)
	if base < minTail {
		return 1 / (1 + float64(ahead)/float64(max(soFar, 1)))
	}
	return min(d.ProbabilityAbove(soFar+ahead)/base, 1)
}

// Remaining returns the q-quantile of the number of further tokens of a generation that has
// produced soFar tokens. q is limited to the range from 0 to 1.
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
	for i := bucketOf(soFar); i < bucketCount; i++ {
		to := lowerBounds[i+1]
		if to <= from {
			continue
		}
		sum += (to - from) * (d.ProbabilityAbove(int(from)) + float64(d.tail[i+1])) / 2
		from = to
	}
	return sum / base
}

// RemainingQuantile is Dist followed by Remaining, for callers that need a single quantile.
func (m *Model) RemainingQuantile(className, team string, q float64, soFar int) int {
	d := m.Dist(className, team)
	return d.Remaining(soFar, q)
}
