package policybench

import (
	"math"
	"math/rand/v2"
	"time"
)

// class is a class of requests in the benchmark. Lengths follow a log-normal distribution, given
// by the median in tokens and the standard deviation of the logarithm.
type class struct {
	name                        string
	share                       float64
	prompt                      int // median prompt, without the shared prefix
	prefix                      int // shared prefix
	output                      float64
	sigma                       float64
	firstToken, gap             time.Duration
	priority                    int
	shiftedOutput, shiftedSigma float64 // of the output in the shift scenario; 0 means unchanged
}

// classes is the request mix: short questions, drafts and captions. The shifted draft lengths
// have the same mean and a heavier tail.
var classes = []class{
	{name: "quick", share: 0.50, prompt: 100, prefix: 200, output: 40, sigma: 0.8,
		firstToken: 1900 * time.Millisecond, gap: 52 * time.Millisecond},
	{name: "draft", share: 0.35, prompt: 200, prefix: 300, output: 200, sigma: 0.9,
		firstToken: 1900 * time.Millisecond, gap: 52 * time.Millisecond, shiftedOutput: 84, shiftedSigma: 1.6},
	{name: "caption", share: 0.15, prompt: 700, prefix: 500, output: 500, sigma: 0.8,
		firstToken: 1900 * time.Millisecond, gap: 52 * time.Millisecond},
}

const (
	teams = 10
	// largeTeams is the number of teams that send a quarter of the load each.
	largeTeams = 2
	// prefixesPerTeam is the number of shared prompt prefixes a team has in each class.
	prefixesPerTeam = 4
	// maxOutput is the maximum output length, in tokens.
	maxOutput = 20000
	// promptSigma is the standard deviation of the logarithm of the prompt length.
	promptSigma = 0.5
)

// teamShare returns a team's share of the load without a burst.
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

	engine       int
	delivered    int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	attempted    []int
	done         bool
	rejected     bool
	interrupted  bool
}

// generator draws random requests. Each simulation has its own generator, so that all policies
// receive the same requests for the same seed.
type generator struct {
	rng     *rand.Rand
	shifted bool
	// burst is the factor on team 0's rate.
	burst float64
}

func newGenerator(seed uint64) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 0x776f726b)), burst: 1}
}

// rateFactor returns the total request rate relative to the rate without a burst.
func (g *generator) rateFactor() float64 { return 1 + teamShare(0)*(g.burst-1) }

func (g *generator) draw(id uint64, now time.Time, hosts int) *request {
	r := &request{id: id, arrival: now, host: g.rng.IntN(hosts), engine: -1}
	u := g.rng.Float64() * g.rateFactor()
	for r.team = 0; r.team < teams-1; r.team++ {
		w := teamShare(r.team)
		if r.team == 0 {
			w *= g.burst
		}
		if u < w {
			break
		}
		u -= w
	}
	u = g.rng.Float64()
	for r.class = 0; r.class < len(classes)-1 && u >= classes[r.class].share; r.class++ {
		u -= classes[r.class].share
	}
	c := &classes[r.class]
	r.prefixTokens = c.prefix
	r.prefix = 1 + uint64((r.team*len(classes)+r.class)*prefixesPerTeam+g.rng.IntN(prefixesPerTeam))
	r.prompt = c.prefix + 1 + int(float64(c.prompt)*math.Exp(promptSigma*g.rng.NormFloat64()))
	median, sigma := c.output, c.sigma
	if g.shifted && c.shiftedOutput > 0 {
		median, sigma = c.shiftedOutput, c.shiftedSigma
	}
	r.output = 1 + min(int(median*math.Exp(sigma*g.rng.NormFloat64())), maxOutput)
	return r
}

func (g *generator) interarrival(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / (rate * g.rateFactor()) * float64(time.Second))
}
