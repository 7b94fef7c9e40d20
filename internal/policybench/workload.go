package policybench

import (
	"math"
	"math/rand/v2"
	"time"
)

// class is a class of work in the benchmark. Lengths are log-normal: medians
// in tokens and the standard deviation of the logarithm.
type class struct {
	name               string
	share              float64
	prompt             int // median prompt, without the shared prefix
	prefix             int // shared prefix
	output             float64
	sigma              float64
	firstToken, gap    time.Duration
	priority           int
	shiftOut, shiftSig float64 // output after a shift; 0 means unchanged
}

// classes is an assumed mix: quick questions, drafts and captions. The shifted
// draft lengths have the same mean and a heavier tail.
var classes = []class{
	{name: "quick", share: 0.50, prompt: 100, prefix: 200, output: 40, sigma: 0.8,
		firstToken: 1900 * time.Millisecond, gap: 52 * time.Millisecond},
	{name: "draft", share: 0.35, prompt: 200, prefix: 300, output: 200, sigma: 0.9,
		firstToken: 1900 * time.Millisecond, gap: 52 * time.Millisecond, shiftOut: 84, shiftSig: 1.6},
	{name: "caption", share: 0.15, prompt: 700, prefix: 500, output: 500, sigma: 0.8,
		firstToken: 1900 * time.Millisecond, gap: 52 * time.Millisecond},
}

const (
	teams = 10
	// largeTeams is the number of teams with a quarter of the load each.
	largeTeams = 2
	// prefixesPerTeam is the number of shared prompt prefixes a team has in each class.
	prefixesPerTeam = 4
	// maxOutput cuts the output lengths off, in tokens.
	maxOutput = 20000
	// promptSigma spreads the prompt lengths around their median.
	promptSigma = 0.5
)

// teamShare is a team's part of the load.
func teamShare(team int) float64 {
	if team < largeTeams {
		return 0.25
	}
	return (1 - 0.25*largeTeams) / (teams - largeTeams)
}

type request struct {
	id             uint64
	host           int
	class, team    int
	prompt, output int
	prefix         uint64
	prefixTokens   int
	arrival        time.Time

	engine    int
	delivered int
	first     time.Time
	last      time.Time
	tried     []int
	done      bool
	refused   bool
	cut       bool
}

// source draws requests. One source drives one run, so that all policies get
// the same requests for the same seed.
type source struct {
	rng     *rand.Rand
	shifted bool
	// burst is the factor on team 0's rate.
	burst float64
}

func newSource(seed uint64) *source {
	return &source{rng: rand.New(rand.NewPCG(seed, 0x776f726b)), burst: 1}
}

// rateFactor is the total rate relative to a run without a burst.
func (s *source) rateFactor() float64 { return 1 + teamShare(0)*(s.burst-1) }

func (s *source) draw(id uint64, now time.Time, hosts int) *request {
	r := &request{id: id, arrival: now, host: s.rng.IntN(hosts), engine: -1}
	u := s.rng.Float64() * s.rateFactor()
	for r.team = 0; r.team < teams-1; r.team++ {
		w := teamShare(r.team)
		if r.team == 0 {
			w *= s.burst
		}
		if u < w {
			break
		}
		u -= w
	}
	u = s.rng.Float64()
	for r.class = 0; r.class < len(classes)-1 && u >= classes[r.class].share; r.class++ {
		u -= classes[r.class].share
	}
	c := &classes[r.class]
	r.prefixTokens = c.prefix
	r.prefix = 1 + uint64((r.team*len(classes)+r.class)*prefixesPerTeam+s.rng.IntN(prefixesPerTeam))
	r.prompt = c.prefix + 1 + int(float64(c.prompt)*math.Exp(promptSigma*s.rng.NormFloat64()))
	median, sigma := c.output, c.sigma
	if s.shifted && c.shiftOut > 0 {
		median, sigma = c.shiftOut, c.shiftSig
	}
	r.output = 1 + min(int(median*math.Exp(sigma*s.rng.NormFloat64())), maxOutput)
	return r
}

func (s *source) wait(rate float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() / (rate * s.rateFactor()) * float64(time.Second))
}
